package brain

import (
	"cmp"
	"time"
)

func (s *Scheduler) onArrived(ev Arrived) {
	if s.requests[ev.Request] != nil {
		return
	}
	r := &request{Arrived: ev, arrived: s.now, class: &Class{Aim: ev.Timeout, Effect: Unsafe}, cost: lossCost}
	aim := ev.Timeout
	if ev.Class >= 0 && ev.Class < len(s.set.Classes) {
		r.class = &s.set.Classes[ev.Class]
		aim = min(aim, s.waitSeen[ev.Class])
	}
	if r.class.Effect == Safe {
		r.cost = failCost
	}
	r.aimAt = s.now + min(aim, r.class.Aim+scale(ev.PromptTokens/1000, r.class.AimPer1kPrompt))
	r.deadline = s.now + ev.Timeout - 2*s.set.Step
	s.requests[ev.Request] = r
	if k := ev.Class; k >= 0 && k < len(s.set.Admitted) && ev.Rank >= s.set.Admitted[k] {
		s.giveUp(r, scale((1+unit(s.seed, uint64(ev.Request)))/2, s.set.MaxHoldOff), NotAdmitted) // jitter
		return
	}
	s.seen++
	s.emit(SetTimer{At: r.deadline, Key: uint64(ev.Request)})
	s.advance(r)
}

// aim is the time within which the first token counts in full and the client is expected to still wait.
func (r *request) aim() time.Duration { return r.aimAt - r.arrived }

// advance takes the next step for a request that has no attempt out.
func (s *Scheduler) advance(r *request) {
	pinned := r.holder != nil && s.now-r.heldSince > scale(pinShare, s.set.PinLimit)
	if s.now >= r.deadline || !s.mayRepeat(r) || pinned { // pinned: a new prefill would only add to the load
		s.giveUp(r, s.set.MaxHoldOff, Exhausted)
	} else if r.holder != nil || r.PromptTokens < s.set.MinPrefillTokens {
		s.decode(r)
	} else {
		s.prefill(r)
	}
}

func (s *Scheduler) onStarted(ev Started) {
	r := s.requests[ev.Request]
	if e := s.engines[ev.Engine]; e != nil {
		s.heartbeat(e)
	}
	if r == nil || r.started || r.current == nil || ev.Attempt != r.sends-1 {
		return
	}
	e := r.current
	if r.whole {
		s.learnPace(e, r, ev.Took, r.work)
		e.remember(r)
	} else {
		s.learnStart(e, r, ev.Took, gain)
	}
	s.addOutcome(e, r.Class, 0)
	s.addOutcome(e, anyClass, 0)
	s.countServed(e, r)
	if r.Class >= 0 && r.Class < len(s.waitSeen) {
		s.waitSeen[r.Class] += scale(poolGain, r.class.Deadline-s.waitSeen[r.Class])
	}
	e.remove(r)
	e.streams = append(e.streams, r)
	r.started, r.holder = true, nil
}

func (s *Scheduler) onEnded(ev Ended) {
	r, e := s.requests[ev.Request], s.engines[ev.Engine]
	if e != nil {
		s.assess(e, r, ev)
	}
	if r == nil || r.current == nil || ev.Attempt != r.sends-1 {
		if ev.Result == Read {
			s.emit(Release{Request: ev.Request}) // a prefill that outlived its request still holds state
		}
		return
	}
	e = r.current
	e.remove(r)
	r.current = nil
	if r.done || ev.Last || ev.Result == Served {
		s.close(r)
		return
	}
	if ev.Result == Rejected { // neither another engine nor a retry would help
		s.emit(Fail{Request: r.Request, Reason: InvalidRequest})
		s.close(r)
		return
	}
	s.settle(r, e, ev)
	s.advance(r)
}

// onClientGone ends a request whose client has left. If it left early, it shows how long its class waits.
// Later requests are held to that, or their prefills would be wasted.
func (s *Scheduler) onClientGone(ev ClientGone) {
	r := s.requests[ev.Request]
	if r == nil {
		return
	}
	if waited := s.now - r.arrived; !r.done && !r.started && s.now < r.deadline && r.Class < len(s.waitSeen) {
		s.waitSeen[r.Class] += scale(gain, min(waited-s.waitSeen[r.Class], 0))
	}
	s.close(r)
}

func (s *Scheduler) send(r *request, e *engine) {
	r.current, r.sentAt, r.cancelled = e, s.now, false
	r.whole = r.holder == nil && e.role == Mixed
	r.ahead, r.work = s.backlog(e), 0
	p, size := &s.pools[e.role], r.PromptTokens
	if r.holder == nil {
		r.work = s.uncachedTokens(e, r)
		size = r.work
	}
	p.uncached = cmp.Or(p.uncached, size)
	p.uncached += poolGain * (size - p.uncached)
	r.sends++
	r.lease = s.now + s.requestLease(r)
	e.pending = append(e.pending, r)
	e.coldBudget -= r.size(e)
	timeout := time.Duration(0)
	if !s.set.Cancelling && e.role == Reader {
		timeout = max((r.deadline-s.now)/2, s.set.Step) // without cancellation it has to end by itself
	}
	s.emit(Send{Request: r.Request, Engine: e.ID, Timeout: timeout})
}

// settle records what the end of an attempt proves.
func (s *Scheduler) settle(r *request, e *engine, ev Ended) {
	if r.started && r.ranAt == nil { // whatever the outcome says: what has streamed has run
		r.ranAt, r.ranSince = e, r.sentAt
	}
	r.started, r.avoid = false, e
	switch ev.Result {
	case Read:
		r.avoid = nil
		s.learnPace(e, r, ev.Took, max(r.PromptTokens-ev.CachedTokens, 1))
		if e == r.home && e.cachedTokens(r) == 0 && r.PromptTokens > 0 {
			s.homeHit += s.poolWeight() * (min(ev.CachedTokens/r.PromptTokens, 1) - s.homeHit)
		}
		s.countServed(e, r)
		e.remember(r)
		r.holder = e
	case Full:
		if ev.NoState {
			r.avoid, r.holder = nil, nil
		}
	case Errored, TimedOut, Broke, Cancelled, NetworkFault:
		if e.role == Reader {
			r.holder = nil
		} else if r.ranAt == nil {
			r.ranAt, r.ranSince = e, r.sentAt
		}
	}
	r.heldSince = s.now
}

// mayRepeat reports whether the class allows another attempt after those that may have run.
func (s *Scheduler) mayRepeat(r *request) bool {
	if s.set.MaxAttempts > 0 && r.PriorAttempts+r.sends >= s.set.MaxAttempts {
		return false
	}
	if r.ranAt == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Keyed && s.now < r.ranSince+r.class.RepeatWindow-2*s.set.Step
}

// inScope reports whether an engine drops repeats of what may have run.
func (r *request) inScope(e *engine) bool {
	if r.ranAt == nil || r.class.Effect == Safe || r.class.Scope == ScopeAll {
		return true
	}
	return e.Cell == r.ranAt.Cell || (r.class.Scope == ScopeZone && e.Zone == r.ranAt.Zone)
}

// mayRefuse reports whether the client may be told that a retry is harmless.
func (r *request) mayRefuse() bool {
	ran := r.ranAt != nil || r.current != nil // even a prefill proves nothing while it is out
	return !ran || r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Scope == ScopeAll)
}

// giveUp sends the final answer at once. A refusal carries a hold-off.
func (s *Scheduler) giveUp(r *request, holdOff time.Duration, reason Reason) {
	if r.mayRefuse() {
		s.emit(Refuse{Request: r.Request, Reason: reason, HoldOff: min(holdOff, s.set.MaxHoldOff)})
	} else {
		s.emit(Fail{Request: r.Request, Reason: reason})
	}
	s.close(r)
}

// close ends a request that is owed no further answer. Its state is released once no attempt is out.
func (s *Scheduler) close(r *request) {
	if r.done = true; r.current == nil {
		s.forget(r)
	} else {
		s.cancel(r)
	}
}

func (s *Scheduler) forget(r *request) {
	if !r.started && r.sends > 0 {
		r.holder = nil
		s.emit(Release{Request: r.Request})
	}
	delete(s.requests, r.Request)
}

// eligible lists the engines that may be sent to: ready, in scope, within their cold budget and not full a
// moment ago (otherwise state bounces between full writers and uses up its attempts).
func (s *Scheduler) eligible(r *request, fits func(*engine) bool) []*engine {
	var list []*engine
	for _, e := range s.order {
		open := e.Availability == Ready && s.now >= e.fullUntil && e.classShare(r.Class) > 0
		if open && r.inScope(e) && fits(e) && s.withinColdBudget(e, r) {
			list = append(list, e)
		}
	}
	return list
}
