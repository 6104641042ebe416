package samples

import (
	"math"
	"strings"
	"testing"
	"time"
)

// settle has routers step until the state no longer changes, then audits the history.
func (f *fleet) settle(t *testing.T) *State {
	t.Helper()
	for i := range 8 {
		f.step(i%len(f.routers), "")
	}
	if err := Audit(f.history); err != nil {
		t.Fatal(err)
	}
	if err := f.checkPlaced(false); err != nil {
		t.Fatal(err)
	}
	return f.last()
}

// A tuner that publishes a version twice changes nothing. One that publishes an older version is ignored and reported. One
// that claims to have taken an epoch that is not closed takes none.
func TestTunerRepeatsAndRegresses(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.produce(30)
	s := f.settle(t)
	if s.lastClosed() < 1 || s.Taken != 0 {
		t.Fatalf("%d closed, %d taken", s.lastClosed(), s.Taken)
	}
	f.publish(5, 1)
	f.settle(t)
	f.publish(5, 1)
	if s = f.settle(t); s.Version != 5 || s.Taken != 1 || s.Republished != 1 || s.TunerFault != "" {
		t.Errorf("version %d, %d taken, twice %d, %q", s.Version, s.Taken, s.Republished, s.TunerFault)
	}
	f.publish(4, 1)
	if s = f.settle(t); s.Version != 5 || s.OlderPublished != 1 || !strings.Contains(s.TunerFault, "version 4 after 5") {
		t.Errorf("version %d, back %d, %q", s.Version, s.OlderPublished, s.TunerFault)
	}
	f.publish(6, 99)
	if s = f.settle(t); s.Version != 6 || s.Taken != 1 || !strings.Contains(s.TunerFault, "epoch 99") {
		t.Errorf("version %d, %d taken, %q", s.Version, s.Taken, s.TunerFault)
	}
	f.publish(7, 0) // a version without an epoch takes one epoch
	if s = f.settle(t); s.Taken != 2 || s.TunerFault != "" {
		t.Errorf("%d taken, %q", s.Taken, s.TunerFault)
	}
}

// An epoch is closed by its time while half of the routers are isolated. Their samples are counted in a later epoch while
// they are not too late, and as late after that. None is lost.
func TestEpochClosesWhileHalfTheRoutersAreIsolated(t *testing.T) {
	f := newFleet(1, 4, 4)
	f.model.Batch, f.model.Ahead = 100, 4
	f.produce(5)
	f.routers[2].isolated, f.routers[3].isolated = true, true
	f.settle(t)
	f.now += 2 * time.Second
	s := f.settle(t)
	if len(s.Closed) != 1 || s.Closed[0].Counted != 10 || s.Closed[0].Silent != 2 ||
		s.Closed[0].Reporting != 2 || s.Closed[0].CloseReason != "its time is over" {
		t.Fatalf("%+v", s.Closed)
	}
	f.routers[2].isolated = false
	if s = f.settle(t); s.Open.Counted != 5 || s.Open.Late != 0 {
		t.Errorf("router that returns in time: %d counted, %d late", s.Open.Counted, s.Open.Late)
	}
	for range 2 {
		f.finish(f.routers[0], f.sample(f.workers[0], f.openEpoch()))
		f.now += 2 * time.Second
		f.settle(t)
		f.now += 2 * time.Second
		f.settle(t)
	}
	f.routers[3].isolated = false
	if s = f.settle(t); s.Totals.Late != 5 || s.Totals.Counted != 17 || s.Totals.Reported != 22 {
		t.Errorf("router that returns too late: %+v, epoch %d", s.Totals, s.Open.Number)
	}
}

// If all workers are beyond the staleness bound, no sample has weight and the state says so. No samples are requested, and
// reloads are requested with the fastest worker first. The first worker that reloads gets requests again.
func TestAllWorkersBeyondStalenessBound(t *testing.T) {
	f := newFleet(1, 2, 4)
	for i := range f.workers {
		for range 12 {
			s := f.sample(f.workers[i], 1)
			s.TookMs /= int64(1 + 3*i)
			f.finish(f.routers[0], s)
		}
	}
	f.model.Batch, f.model.Outlier = 100, 100
	f.publish(9, 0)
	f.settle(t)
	f.now += 2 * time.Second
	s := f.settle(t)
	if len(s.Closed) != 1 || s.Closed[0].Weighed != 0 || s.Taken != 1 || !strings.Contains(s.Closed[0].CloseReason, "nothing of it weighs") {
		t.Fatalf("%+v", s.Closed)
	}
	if s.AdmitFraction != 0 || !strings.Contains(s.Notice, "past the bound") || len(s.Reloads) != 4 ||
		s.Reloads[0].Worker != "w3" || s.Reloads[3].Worker != "w0" || s.Shares["w3"] != 0 {
		t.Errorf("part %g, %q, %+v", s.AdmitFraction, s.Notice, s.Reloads)
	}
	f.relabel(9, "w3")
	if s = f.settle(t); s.AdmitFraction != 1 || len(s.Reloads) != 3 || s.Shares["w3"] != 1 || s.Workers["w3"].Samples != 0 {
		t.Errorf("part %g, %d reloads, %v, %+v", s.AdmitFraction, len(s.Reloads), s.Shares, s.Workers["w3"])
	}
}

// A worker that runs an older version than it claims is held and named until it restarts. Its samples are counted with
// weight 0.
func TestMislabeledWorkerIsHeld(t *testing.T) {
	f := newFleet(1, 2, 4)
	f.publish(3, 0)
	f.relabel(3, "w0", "w1", "w2", "w3")
	f.running["w2"] = 2
	f.produce(20)
	s := f.settle(t)
	if held := s.Workers["w2"].HoldReason; held != "it claims version 3 and runs 2" || s.heldWorkers() != "w2" {
		t.Errorf("%q, held %q", held, s.heldWorkers())
	}
	for _, g := range s.Closed[0].Groups {
		if (g.Weight == 0) != (g.Worker == "w2") {
			t.Errorf("%+v", g)
		}
	}
	f.workers[2].Boot, f.running["w2"] = "2", 3
	if s = f.settle(t); s.heldWorkers() != "" || s.Workers["w2"].Samples != 0 {
		t.Errorf("after its restart: %+v", s.Workers["w2"])
	}
}

// Requests are partly admitted when generation, including samples in flight, is less than one batch short of its limit, and
// not at all at the limit. A share changes only by at least the hysteresis.
func TestActions(t *testing.T) {
	f := newFleet(1, 1, 3)
	for _, c := range []struct {
		inFlight int
		fraction float64
	}{{0, 1}, {20, 1}, {30, 0.5}, {31, 0.5}, {36, 0.2}, {40, 0}, {39, 0.05}} {
		f.routers[0].report.InFlight = c.inFlight
		f.step(0, "")
		if got := f.last().AdmitFraction; math.Abs(got-c.fraction) > 1e-9 {
			t.Errorf("%d in flight: fraction %g, want %g", c.inFlight, got, c.fraction)
		}
	}
	f = newFleet(1, 1, 3)
	f.model.Batch = 1000
	share := func(slow int64) float64 {
		for range 20 {
			for i, w := range f.workers {
				s := f.sample(w, f.openEpoch())
				if i == 0 {
					s.TookMs = s.TookMs * slow / 10
				}
				f.finish(f.routers[0], s)
			}
		}
		return f.settle(t).Shares["w0"]
	}
	if first, little, much := share(10), share(11), share(80); first < 0.9 || little != first || much > 0.7 || much < f.model.WithDefaults().ShareLeast {
		t.Errorf("shares %g, %g, %g", first, little, much)
	}
}
