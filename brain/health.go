package brain

import (
	"slices"
	"time"
)

// immediate is the longest time for a reply that has not waited.
func (s *Scheduler) immediate(r *request) time.Duration {
	return max(scale(immediateShare, r.aim()), s.set.Step)
}

// unresponsive reports whether the engine's reply to a probe is later than usual. Where probes wait like
// requests, a reply takes as long as a queue, and a short silence proves nothing.
func (s *Scheduler) unresponsive(e *engine, r *request) bool {
	return e.probedAt > e.lastAlive && s.now-e.probedAt >= max(s.immediate(r), scale(lateProbe, s.probeTime))
}

// Evidence is kept by engine and pooled by what engines have in common. With few attempts a router would
// otherwise have to fail once at each engine.
const (
	byZone = iota
	byCell
	byEngine
	anyClass = -1 // evidence that holds for every class
)

// parentWeight is how many outcomes wider evidence counts for against the zone's, cell's or engine's.
var parentWeight = [...]float64{byZone: 4, byCell: 4, byEngine: 1}

// addOutcome records an outcome of a class at the engine: bad is 1 for a failure, 0 for none.
func (s *Scheduler) addOutcome(e *engine, class int, bad float64) {
	for _, g := range e.tallyKeys(class) {
		t := s.tallies[g]
		left := decay(s.now-t.at, s.sampleWindow(healthSample, healthDecay, 3*healthDecay))
		s.tallies[g] = tally{t.n*left + 1, t.bad*left + bad, s.now}
	}
}

// risk is the chance that the engine fails a request of the class, for gradual outlier ejection. It ranks and
// never excludes, so the rest are not overloaded. It decays, so an engine returns gradually.
func (s *Scheduler) risk(e *engine, class int) float64 {
	worst := 0.0
	for _, c := range [...]int{anyClass, class} {
		p := 0.0
		for _, g := range e.tallyKeys(c) {
			if t, ok := s.tallies[g]; ok {
				left := decay(s.now-t.at, s.sampleWindow(healthSample, healthDecay, 3*healthDecay))
				p = (t.bad*left + parentWeight[g.scope]*p) / (t.n*left + parentWeight[g.scope])
			}
		}
		worst = max(worst, p)
	}
	return worst
}

// assess takes the end of an attempt as evidence on the engine. Failures and Full count against it for the
// class that met them, a broken or refused connection for all.
func (s *Scheduler) assess(e *engine, r *request, ev Ended) {
	s.recordLoad(e, ev.Load)
	class := anyClass
	if r != nil {
		class = r.Class
	}
	switch ev.Result {
	case ConnectFailed, Broke:
		s.addOutcome(e, anyClass, 1)
		return
	case NetworkFault:
		s.addOutcome(e, anyClass, networkFaultWeight)
		return
	case Read:
		s.addOutcome(e, class, 0)
		s.addOutcome(e, anyClass, 0)
	case Errored, TimedOut:
		if s.addOutcome(e, class, 1); ev.Result == TimedOut {
			return
		}
	case Full:
		if ev.NoState {
			break
		}
		s.addOutcome(e, class, 1)
		if r == nil || ev.Took < s.immediate(r) { // at once: no capacity; later: it selects by class
			e.fullUntil = s.now + s.tick
			if e.role != Reader && r != nil { // no capacity: a start would have taken as long as the aim
				s.learnStart(e, r, r.aim(), gain)
			}
			if e.role != Writer { // a full queue of prompts is a long wait for those behind it
				e.fullUntil = s.now + s.tick*leaseChecks/2
			}
		}
	case Served, Rejected:
	default:
		return
	}
	s.heartbeat(e)
}

// checkHealth probes a silent engine with attempts out: the probe is the lease's heartbeat.
func (s *Scheduler) checkHealth(e *engine) {
	if !s.set.Probing || e.probing || e.Availability == Removed || len(e.pending) == 0 {
		return
	}
	limit := scale(probeAfterShare, s.tick*leaseChecks)
	if s.now-max(e.lastAlive, e.probedAt) > limit && s.now-e.pending[0].sentAt > limit {
		s.probe(e)
	}
}

func (s *Scheduler) probe(e *engine) {
	e.probing, e.probedAt = true, s.now
	s.emit(Probe{Engine: e.ID})
}

// onProbed handles the result of a probe. If it fails with no other sign of life, the engine is silent: what
// can be repeated without harm moves on at once.
func (s *Scheduler) onProbed(ev Probed) {
	e := s.engines[ev.Engine]
	if e == nil {
		return
	}
	e.probing = false
	s.probeTime += scale(gain, ev.Took-s.probeTime)
	s.recordLoad(e, ev.Load)
	if ev.Result == Served || ev.Result == Full || ev.Result == Errored {
		s.addOutcome(e, anyClass, 0)
		s.heartbeat(e)                // even a refused probe was answered: a full engine is not a silent one
		for _, r := range e.pending { // prefills lapse at once, unless the engine itself had paused
			if e.role == Reader && ev.Took < scale(lostShare, r.aim()) && s.overdue(e, r) {
				r.lease = s.now
			}
		}
		s.checkLeases(e)
	} else if late := ev.Took > scale(lateProbe, s.probeTime); ev.Result != NotSent && // never sent
		e.lastAlive < e.probedAt && (late || ev.Result != TimedOut) {
		s.addOutcome(e, anyClass, 1)
		for _, r := range slices.Clone(e.pending) {
			if e.role == Reader || r.class.Effect == Safe {
				s.cancel(r)
			}
		}
	}
}
