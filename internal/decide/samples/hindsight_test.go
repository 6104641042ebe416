package samples

import (
	"errors"
	"testing"
	"time"

	"sumacloft/internal/decide/turn"
)

// runRounds has each worker finish some samples for n rounds, those of w0 longer than others' by a factor.
func (f *fleet) runRounds(t *testing.T, n, factor int) *State {
	for range n {
		for i, w := range f.workers {
			for range 12 {
				s := f.sample(w, f.openEpoch())
				if i == 0 {
					s.Tokens, s.TookMs = s.Tokens*factor, s.TookMs*int64(factor)
				}
				f.finish(f.routers[0], s)
			}
		}
		f.now += 500 * time.Millisecond
		f.settle(t)
		f.publish(f.tuner.Version, f.openEpoch()-1)
	}
	return f.settle(t)
}

// A hold was wrong if the worker's samples come to agree, right if they deviate until it restarts, and void if it leaves.
func TestHoldsInHindsight(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(f *fleet)
		want  turn.VerdictCounts
	}{
		{"hold stays open", func(f *fleet) { f.runRounds(t, 4, 8) }, turn.VerdictCounts{Open: 1}},
		{"worker agrees", func(f *fleet) { f.runRounds(t, 40, 1) }, turn.VerdictCounts{Wrong: 1}},
		{"worker deviates until it restarts", func(f *fleet) {
			f.runRounds(t, 4, 8)
			f.workers[0].Boot = "2"
		}, turn.VerdictCounts{Right: 1}},
		{"worker restarts at once", func(f *fleet) { f.workers[0].Boot = "2" }, turn.VerdictCounts{Void: 1}},
		{"worker leaves", func(f *fleet) { f.workers = f.workers[1:] }, turn.VerdictCounts{Void: 1}},
	} {
		f := newFleet(1, 1, 7)
		f.model.HalfLifeMs, f.model.HoldMs = 4000, 1000
		if s := f.runRounds(t, 1, 8); s.Workers["w0"].HoldReason == "" {
			t.Fatalf("w0 is not held: %+v", s.Workers["w0"])
		}
		c.after(f)
		if got := f.settle(t).Hindsight.Holds; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A weight above the mean was wrong if the samples are beyond the staleness bound when the tuner takes them. The audit
// detects a lost count and one that is not settled.
func TestWeightsInHindsight(t *testing.T) {
	for _, c := range []struct {
		versionsAhead int64 // versions published before the epoch is taken
		want          func(w turn.VerdictCounts) bool
	}{{0, func(w turn.VerdictCounts) bool { return w.Right > 0 && w.Wrong == 0 }},
		{20, func(w turn.VerdictCounts) bool { return w.Right > 0 && w.Wrong > 0 }}} {
		f := newFleet(1, 1, 6)
		f.model.WorkerCap, f.model.VersionCap, f.model.Floor = 0.5, 1, 0.1
		f.publish(3, 0)
		f.relabel(3, "w0", "w1")
		f.produce(40)
		f.settle(t)
		if s := f.last(); s.Hindsight.Weights.Open == 0 || len(s.Closed) == 0 {
			t.Fatalf("no weight is above the mean: %+v", s.Closed)
		}
		for _, p := range []Published{{3, 1}, {3 + c.versionsAhead, 1}, {4 + c.versionsAhead, 2}} {
			f.publish(p.Version, p.Epoch)
			f.settle(t)
		}
		f.publish(5+c.versionsAhead, f.openEpoch()-1)
		s := f.settle(t)
		if w := s.Hindsight.Weights; !c.want(w) || w.Open != 0 {
			t.Errorf("%d versions ahead: %v", c.versionsAhead, w)
		}
		for name, counts := range map[string]turn.VerdictCounts{"lost": {}, "not settled": {Open: s.Hindsight.Weights.Settled()}} {
			tampered := *s
			tampered.Hindsight.Weights = counts
			var e *AuditError
			if err := Audit(append(f.history[:len(f.history)-1:len(f.history)-1], &tampered)); !errors.As(err, &e) || e.Rule != "hindsight" {
				t.Errorf("count that is %s: %v", name, err)
			}
		}
	}
}
