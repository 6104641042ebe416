package outage_test

import (
	"fmt"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
)

// A version that received most of its requests in a bad hour is not halted for it. The same counts pooled would halt it,
// so it is the expected number per stretch that prevents this. A version that fails more in each hour is halted.
func TestBadHourHaltsNobody(t *testing.T) {
	sides := func(newServers int) map[string]outage.Cohort {
		out := map[string]outage.Cohort{}
		for i := range 10 {
			out[fmt.Sprint(i)] = outage.OldCohort
			if i < newServers {
				out[fmt.Sprint(i)] = outage.NewCohort
			}
		}
		return out
	}
	count := func(ratio int) outage.Counts {
		var m outage.Meter
		for _, hour := range []struct{ newServers, failing int }{{1, 1}, {5, 10}} { // of 100
			m.Configure("up-1", sides(hour.newServers), nil, 1.5)
			for i := range 10_000 {
				attempt := outage.Attempt{Server: fmt.Sprint(i % 10), Answered: true, InTime: true, FirstToken: 100 * time.Millisecond}
				attempt.Failed = i/10%100 < hour.failing
				if i%10 < hour.newServers && i/10%100 < hour.failing*ratio {
					attempt.Failed = true
				}
				m.Record(attempt)
			}
		}
		_, c := m.Snapshot()
		return c
	}
	h := outage.Model{}.WithDefaults().Halt
	c := count(1)
	if bad, looked := h.Look(c, 0); bad != "" || !looked {
		t.Errorf("halted although no worse: %q", bad)
	}
	c.Expected = outage.Expected{}
	if bad, _ := h.Look(c, 0); bad == "" {
		t.Error("the pooled counts do not halt: the case proves nothing")
	}
	if bad, _ := h.Look(count(3), 0); bad == "" {
		t.Error("not halted with three times the failures in each hour")
	}
}
