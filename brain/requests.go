package brain

import (
	"cmp"
	"time"
)

func (s *Scheduler) arrive(ev Arrived) {
	if s.requests[ev.Request] != nil {
		return
	}
	r := &request{Arrived: ev, arrived: s.now, class: &Class{Aim: ev.Left, Effect: Unsafe}, stake: lostCost}
	aim := ev.Left
	if ev.Class >= 0 && ev.Class < len(s.set.Classes) {
		r.class = &s.set.Classes[ev.Class]
		aim = min(aim, s.patience[ev.Class])
	}
	if r.class.Effect == Safe {
		r.stake = failCost
	}
	r.aimAt = s.now + min(aim, r.class.Aim+share(ev.PromptTokens/1000, r.class.AimPer1kPrompt))
	r.deadline = s.now + ev.Left - 2*s.set.Step
	s.requests[ev.Request] = r
	if k := ev.Class; k >= 0 && k < len(s.set.Admitted) && ev.Rank >= s.set.Admitted[k] {
		s.giveUp(r, share((1+unit(s.seed, uint64(ev.Request)))/2, s.set.MaxHoldOff), NoShare) // no wave
		return
	}
	s.seen++
	s.do(SetTimer{At: r.deadline, Key: uint64(ev.Request)})
	s.next(r)
}

// aim is the time within which the request's first token counts in full, and its client still waits.
func (r *request) aim() time.Duration { return r.aimAt - r.arrived }

// next takes a request that has no attempt out one step on.
func (s *Scheduler) next(r *request) {
	pinned := r.state != nil && s.now-r.stateAt > share(pinShare, s.set.PinLimit)
	if s.now >= r.deadline || !s.mayRepeat(r) || pinned { // pinned: a new read would only add to the load
		s.giveUp(r, s.set.MaxHoldOff, NothingTo)
	} else if r.state != nil || r.PromptTokens < s.set.WholeTokens {
		s.write(r)
	} else {
		s.read(r)
	}
}

func (s *Scheduler) start(ev Started) {
	r := s.requests[ev.Request]
	if e := s.engines[ev.Engine]; e != nil {
		s.alive(e)
	}
	if r == nil || r.started || r.at == nil || ev.Attempt != r.sends-1 {
		return
	}
	e := r.at
	if r.whole {
		s.learnPace(e, r, ev.Took, r.work)
		e.keep(r)
	} else {
		s.learnStart(e, r, ev.Took, gain)
	}
	s.note(e, r.Class, 0)
	s.note(e, anyClass, 0)
	s.countServed(e, r)
	if r.Class >= 0 && r.Class < len(s.patience) {
		s.patience[r.Class] += share(poolGain, r.class.Deadline-s.patience[r.Class])
	}
	e.leave(r)
	e.streams = append(e.streams, r)
	r.started, r.state = true, nil
}

func (s *Scheduler) ended(ev Ended) {
	r, e := s.requests[ev.Request], s.engines[ev.Engine]
	if e != nil {
		s.judge(e, r, ev)
	}
	if r == nil || r.at == nil || ev.Attempt != r.sends-1 {
		if ev.Result == Read {
			s.do(Release{Request: ev.Request}) // a read that outlived its request still holds state
		}
		return
	}
	e = r.at
	e.leave(r)
	r.at = nil
	if r.over || ev.Last || ev.Result == Served {
		s.close(r)
		return
	}
	if ev.Result == Rejected { // neither another engine nor another try would help
		s.do(Fail{Request: r.Request, Why: AtFault})
		s.close(r)
		return
	}
	s.settle(r, e, ev)
	s.next(r)
}

// gone ends a request whose client has left. One that left early shows how long its class waits: later ones
// are held to that, or all that is read for them is read for nobody.
func (s *Scheduler) gone(ev Gone) {
	r := s.requests[ev.Request]
	if r == nil {
		return
	}
	if waited := s.now - r.arrived; !r.over && !r.started && s.now < r.deadline && r.Class < len(s.patience) {
		s.patience[r.Class] += share(gain, min(waited-s.patience[r.Class], 0))
	}
	s.close(r)
}

func (s *Scheduler) send(r *request, e *engine) {
	r.at, r.sentAt, r.called = e, s.now, false
	r.whole = r.state == nil && e.role == Mixed
	r.ahead, r.work = s.backlog(e), 0
	p, size := &s.pools[e.role], r.PromptTokens
	if r.state == nil {
		r.work = s.toRead(e, r)
		size = r.work
	}
	p.reading = cmp.Or(p.reading, size)
	p.reading += poolGain * (size - p.reading)
	r.sends++
	r.lease = s.now + s.leaseOf(r)
	e.out = append(e.out, r)
	e.coldRoom -= r.size(e)
	timeout := time.Duration(0)
	if !s.set.Cancelling && e.role == Reader {
		timeout = max((r.deadline-s.now)/2, s.set.Step) // what can't be called off has to end by itself
	}
	s.do(Send{Request: r.Request, Engine: e.ID, Timeout: timeout})
}

// settle notes what the end of an attempt proves.
func (s *Scheduler) settle(r *request, e *engine, ev Ended) {
	if r.started && r.ranAt == nil { // whatever the outcome says: what has streamed has run
		r.ranAt, r.ranSince = e, r.sentAt
	}
	r.started, r.avoid = false, e
	switch ev.Result {
	case Read:
		r.avoid = nil
		s.learnPace(e, r, ev.Took, max(r.PromptTokens-ev.Kept, 1))
		if e == r.home && e.keeps(r) == 0 && r.PromptTokens > 0 {
			s.found += s.early() * (min(ev.Kept/r.PromptTokens, 1) - s.found)
		}
		s.countServed(e, r)
		e.keep(r)
		r.state = e
	case Full:
		if ev.NoState {
			r.avoid, r.state = nil, nil
		}
	case Errored, TimedOut, Broke, Cancelled, Mishap:
		if e.role == Reader {
			r.state = nil
		} else if r.ranAt == nil {
			r.ranAt, r.ranSince = e, r.sentAt
		}
	}
	r.stateAt = s.now
}

// mayRepeat tells whether the class allows another attempt after those that may have run.
func (s *Scheduler) mayRepeat(r *request) bool {
	if s.set.MaxAttempts > 0 && r.Tried+r.sends >= s.set.MaxAttempts {
		return false
	}
	if r.ranAt == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Keyed && s.now < r.ranSince+r.class.RepeatWindow-2*s.set.Step
}

// inScope tells whether an engine drops repeats of what may have run.
func (r *request) inScope(e *engine) bool {
	if r.ranAt == nil || r.class.Effect == Safe || r.class.Scope == ScopeAll {
		return true
	}
	return e.Cell == r.ranAt.Cell || (r.class.Scope == ScopeZone && e.Zone == r.ranAt.Zone)
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (r *request) mayRefuse() bool {
	ran := r.ranAt != nil || r.at != nil // even a read proves nothing while it is out
	return !ran || r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Scope == ScopeAll)
}

// giveUp gives the final answer at once; a refusal tells when to come back.
func (s *Scheduler) giveUp(r *request, holdOff time.Duration, why Why) {
	if r.mayRefuse() {
		s.do(Refuse{Request: r.Request, Why: why, HoldOff: min(holdOff, s.set.MaxHoldOff)})
	} else {
		s.do(Fail{Request: r.Request, Why: why})
	}
	s.close(r)
}

// close ends a request: nothing is owed any more, and what it holds is let go of once no attempt is out.
func (s *Scheduler) close(r *request) {
	if r.over = true; r.at == nil {
		s.forget(r)
	} else {
		s.callOff(r)
	}
}

func (s *Scheduler) forget(r *request) {
	if !r.started && r.sends > 0 {
		r.state = nil
		s.do(Release{Request: r.Request})
	}
	delete(s.requests, r.Request)
}

// usable lists the engines that may be sent to: ready, in scope, with room while cold, and not full a moment
// ago (else a state bounces between full writers and spends its attempts).
func (s *Scheduler) usable(r *request, fits func(*engine) bool) []*engine {
	var list []*engine
	for _, e := range s.order {
		open := e.Availability == Ready && s.now >= e.fullTill && e.part(r.Class) > 0
		if open && r.inScope(e) && fits(e) && s.hasRoom(e, r) {
			list = append(list, e)
		}
	}
	return list
}
