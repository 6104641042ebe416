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
	back := func(v outage.View) (*outage.State, error) { return v.Last.TakeBack("op") }
	resume := func(v outage.View) (*outage.State, error) { return v.Resume("op") }
	for _, c := range []struct {
		name  string
		after float64 // part of requests that the new version fails once it was halted
		how   func(v outage.View) (*outage.State, error)
		looks int64 // requests of the new version after the halt that are waited for
		want  turn.VerdictCounts
	}{
		{"taken back, as bad", 0.2, back, 300, turn.VerdictCounts{Right: 1}},
		{"taken back, no worse", 0, back, 2000, turn.VerdictCounts{Wrong: 1}},
		{"taken back at once", 0.2, back, 0, turn.VerdictCounts{Open: 1}},
		{"resumed to the end", 0.002, resume, 0, turn.VerdictCounts{Wrong: 1}},
		{"resumed, and halted again", 0.2, resume, 0, turn.VerdictCounts{Right: 1, Open: 1}},
	} {
		f := newFleet(3, plain, "")
		f.badLabel, f.failing = "v2", 0.2
		f.until(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
		if err := f.order(start(f, spec("v2"))); err != nil {
			t.Fatal(err)
		}
		f.until(t, "halted", 10*time.Minute, func() bool { return f.phase() == outage.Halted })
		f.failing = c.after
		if c.looks > 0 {
			f.until(t, c.name+": looked at", 2*time.Hour, func() bool { return f.running().Doubt.N >= c.looks })
		}
		if err := f.order(c.how); err != nil {
			t.Fatal(err)
		}
		f.until(t, c.name+": come to an end", time.Hour, func() bool {
			return f.phase().Over() || f.phase() == outage.Halted
		})
		if got := f.state.Hindsight.Halts; got != c.want {
			t.Errorf("%s: %v, want %v; %+v", c.name, got, c.want, f.state.Hindsight.Last)
		}
		f.clean(t)
		// What is lost of the count is found.
		broken := *f.state
		broken.Seq, broken.Hindsight = broken.Seq+1, outage.Hindsight{}
		if f.audit.Take(&broken); !strings.Contains(strings.Join(f.audit.Faults, ""), "in hindsight") {
			t.Errorf("%s: a count that begins anew is not found", c.name)
		}
	}
}

// Of versions that are halted, then fail so much and are taken back after so many requests: none that is no worse than the old one
// is found worse, and none that is five times as bad is cleared.
func TestVerdictsOfMany(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("a minute: LAB_LONG=1")
	}
	for _, c := range []struct {
		rate float64
		n    int64
	}{{0.002, 500}, {0.002, 2000}, {0.002, 8000}, {0.01, 500}, {0.01, 2000}, {0.05, 100}, {0.05, 500}} {
		var sum turn.VerdictCounts
		for seed := range uint64(40) {
			f := newFleet(seed, plain, "")
			f.badLabel, f.failing = "v2", 0.2
			f.until(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
			if err := f.order(start(f, spec("v2"))); err != nil {
				t.Fatal(err)
			}
			f.until(t, "halted", 10*time.Minute, func() bool { return f.phase() == outage.Halted })
			f.failing = c.rate
			f.until(t, "looked at", 3*time.Hour, func() bool { return f.running().Doubt.N >= c.n })
			if err := f.order(func(v outage.View) (*outage.State, error) { return v.Last.TakeBack("op") }); err != nil {
				t.Fatal(err)
			}
			f.until(t, "taken back", time.Hour, func() bool { return f.phase().Over() })
			h := f.state.Hindsight.Halts
			sum.Right, sum.Wrong, sum.Open = sum.Right+h.Right, sum.Wrong+h.Wrong, sum.Open+h.Open
		}
		t.Logf("fails %g after the halt, %d requests: %v", c.rate, c.n, sum)
		if c.rate < 0.01 && sum.Right > 0 || c.rate >= 0.01 && sum.Wrong > 0 {
			t.Errorf("fails %g: %v", c.rate, sum)
		}
	}
}
