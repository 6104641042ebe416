package outage_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/turn"
)

// A halt is settled by what is counted after it alone: taken back while the version goes on failing it was right, and wrong
// where it fails no more than the old one; resumed it was wrong once the release is done, right once it is halted again.
func TestHaltsInHindsight(t *testing.T) {
	back := func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }
	resume := func(v outage.View) (*outage.State, error) { return v.Resume("op") }
	for _, c := range []struct {
		name   string
		after  float64 // part of requests that the new version fails once it was halted
		change func(v outage.View) (*outage.State, error)
		looks  int64 // requests of the new version after the halt that are waited for
		want   turn.Judged
	}{
		{"taken back, as bad", 0.2, back, 300, turn.Judged{Right: 1}},
		{"taken back, no worse", 0, back, 2000, turn.Judged{Wrong: 1}},
		{"taken back at once", 0.2, back, 0, turn.Judged{Open: 1}},
		{"resumed to the end", 0.002, resume, 0, turn.Judged{Wrong: 1}},
		{"resumed, and halted again", 0.2, resume, 0, turn.Judged{Right: 1, Open: 1}},
	} {
		f := newFleet(3, testModel, "")
		f.badLabel, f.failureRate = "v2", 0.2
		f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
		if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
			t.Fatal(err)
		}
		f.waitUntil(t, "halted", 10*time.Minute, func() bool { return f.phase() == outage.Halted })
		f.failureRate = c.after
		if c.looks > 0 {
			f.waitUntil(t, c.name+": looked at", 2*time.Hour, func() bool { return f.release().Unsettled.Requests >= c.looks })
		}
		if err := f.applyOrder(c.change); err != nil {
			t.Fatal(err)
		}
		f.waitUntil(t, c.name+": come to an end", time.Hour, func() bool {
			return f.phase().Finished() || f.phase() == outage.Halted
		})
		if got := f.state.Hindsight.Halts; got != c.want {
			t.Errorf("%s: %v, want %v; %+v", c.name, got, c.want, f.state.Hindsight.Recent)
		}
		f.checkNoFaults(t)
		// What is lost of the count is found.
		broken := *f.state
		broken.Seq, broken.Hindsight = broken.Seq+1, outage.Hindsight{}
		if f.audit.Check(&broken); !strings.Contains(strings.Join(f.audit.Faults, ""), "in hindsight") {
			t.Errorf("%s: a count that begins anew is not found", c.name)
		}
	}
}

// Of versions that are halted, then fail so much and are taken back after so many requests: none that is no worse than the old one
// is found worse, and none that is five times as bad is cleared.
func TestHindsightErrorRates(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("a minute: LAB_LONG=1")
	}
	for _, c := range []struct {
		rate float64
		n    int64
	}{{0.002, 500}, {0.002, 2000}, {0.002, 8000}, {0.01, 500}, {0.01, 2000}, {0.05, 100}, {0.05, 500}} {
		var sum turn.Judged
		for seed := range uint64(40) {
			f := newFleet(seed, testModel, "")
			f.badLabel, f.failureRate = "v2", 0.2
			f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
			if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
				t.Fatal(err)
			}
			f.waitUntil(t, "halted", 10*time.Minute, func() bool { return f.phase() == outage.Halted })
			f.failureRate = c.rate
			f.waitUntil(t, "looked at", 3*time.Hour, func() bool { return f.release().Unsettled.Requests >= c.n })
			if err := f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }); err != nil {
				t.Fatal(err)
			}
			f.waitUntil(t, "taken back", time.Hour, func() bool { return f.phase().Finished() })
			h := f.state.Hindsight.Halts
			sum.Right, sum.Wrong, sum.Open = sum.Right+h.Right, sum.Wrong+h.Wrong, sum.Open+h.Open
		}
		t.Logf("fails %g after the halt, %d requests: %v", c.rate, c.n, sum)
		if c.rate < 0.01 && sum.Right > 0 || c.rate >= 0.01 && sum.Wrong > 0 {
			t.Errorf("fails %g: %v", c.rate, sum)
		}
	}
}
