package outage_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/turn"
)

// A halt is settled only by what is counted after it. After a rollback it was right if the version kept failing, and
// wrong if it failed no more than the old one. After a resume it was wrong if the release completes, and right if it is
// halted again.
func TestHaltsInHindsight(t *testing.T) {
	back := func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }
	resume := func(v outage.View) (*outage.State, error) { return v.Resume("op") }
	for _, c := range []struct {
		name   string
		after  float64 // share of requests that the new version fails after the halt
		change func(v outage.View) (*outage.State, error)
		looks  int64 // requests of the new version after the halt to wait for
		want   turn.VerdictCounts
	}{
		{"rolled back, as bad", 0.2, back, 300, turn.VerdictCounts{Right: 1}},
		{"rolled back, no worse", 0, back, 2000, turn.VerdictCounts{Wrong: 1}},
		{"rolled back at once", 0.2, back, 0, turn.VerdictCounts{Open: 1}},
		{"resumed to the end", 0.002, resume, 0, turn.VerdictCounts{Wrong: 1}},
		{"resumed, and halted again", 0.2, resume, 0, turn.VerdictCounts{Right: 1, Open: 1}},
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
			f.waitUntil(t, c.name+": enough requests", 2*time.Hour, func() bool { return f.release().Unsettled.Requests >= c.looks })
		}
		if err := f.applyOrder(c.change); err != nil {
			t.Fatal(err)
		}
		f.waitUntil(t, c.name+": finished or halted", time.Hour, func() bool {
			return f.phase().Finished() || f.phase() == outage.Halted
		})
		if got := f.state.Hindsight.Halts; got != c.want {
			t.Errorf("%s: %v, want %v; %+v", c.name, got, c.want, f.state.Hindsight.Recent)
		}
		f.checkNoFaults(t)
		// The auditor detects a count that was lost.
		broken := *f.state
		broken.Seq, broken.Hindsight = broken.Seq+1, outage.Hindsight{}
		if f.audit.Check(&broken); !strings.Contains(strings.Join(f.audit.Faults, ""), "in hindsight") {
			t.Errorf("%s: a count that starts over was not detected", c.name)
		}
	}
}

// Many versions are halted, then fail at a given rate, and are rolled back after a given number of requests. No version
// that is no worse than the old one is found worse, and none that is five times as bad is cleared.
func TestHindsightErrorRates(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("takes a minute; set LAB_LONG=1")
	}
	for _, c := range []struct {
		rate float64
		n    int64
	}{{0.002, 500}, {0.002, 2000}, {0.002, 8000}, {0.01, 500}, {0.01, 2000}, {0.05, 100}, {0.05, 500}} {
		var sum turn.VerdictCounts
		for seed := range uint64(40) {
			f := newFleet(seed, testModel, "")
			f.badLabel, f.failureRate = "v2", 0.2
			f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
			if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
				t.Fatal(err)
			}
			f.waitUntil(t, "halted", 10*time.Minute, func() bool { return f.phase() == outage.Halted })
			f.failureRate = c.rate
			f.waitUntil(t, "enough requests", 3*time.Hour, func() bool { return f.release().Unsettled.Requests >= c.n })
			if err := f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }); err != nil {
				t.Fatal(err)
			}
			f.waitUntil(t, "rolled back", time.Hour, func() bool { return f.phase().Finished() })
			h := f.state.Hindsight.Halts
			sum.Right, sum.Wrong, sum.Open = sum.Right+h.Right, sum.Wrong+h.Wrong, sum.Open+h.Open
		}
		t.Logf("fails %g after the halt, %d requests: %v", c.rate, c.n, sum)
		if c.rate < 0.01 && sum.Right > 0 || c.rate >= 0.01 && sum.Wrong > 0 {
			t.Errorf("fails %g: %v", c.rate, sum)
		}
	}
}
