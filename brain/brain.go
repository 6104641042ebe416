package brain

import (
	"slices"
	"time"
)

const (
	// leaseMax is the longest lease, as the design has it; short deadlines shorten it.
	leaseMax = 6 * time.Second
	// leaseShare of the client's patience is a lease at most, so a lapse leaves time for another attempt.
	leaseShare = 0.25
	// leaseExtend of a lease is what a sign of life renews it to (the max rule of the design).
	leaseExtend = 2.0 / 3
	// leaseChecks is how often a lease is looked at in its length: the design's 6 s checked each 1 s.
	leaseChecks = 6
	// probeAfterShare of a lease without a sign of life, with work out, makes an engine worth a probe.
	probeAfterShare = 1.0 / 4
	// pinShare of the pin limit is how long state may wait for a writer; the rest covers late ticks.
	pinShare = 0.6
	// spillShare of the aim is the projected wait past which a prompt goes to the next reader in hash order.
	spillShare = 0.3
	// admitShare of the aim is the projected wait, at both stages, past which a request of the most worth is
	// turned away; lesserShare of that holds for the others, so that the least worth goes first.
	admitShare    = 0.6
	lowWorthShare = 0.7
	// spillHops is how far down its order a beginning may spill, and an engine of another zone counts as so
	// many more: past that each read starts from nothing, and the work that this makes feeds the jam.
	spillHops, spillZoneHops = 6, 1
	// immediateShare of the aim is how long an answer that shows nothing of a queue takes at most.
	immediateShare = 0.03
	// lateProbe of the usual time of a probe's answer is when an engine counts as mute.
	lateProbe = 4
	// initialProbe is what a probe is thought to take before any was answered: all that it may take.
	initialProbe = 250 * time.Millisecond
	// nearBand is the difference in projected memory share within which writers count as near equals.
	nearBand = 0.15
	// waitCost weighs what an attempt waits at a writer beyond the usual, in parts of the aim.
	waitCost = 2
	// farCost weighs how much longer a start takes at a writer of another cell, in parts of the aim and past
	// farShare of it: links may be slow, and what crosses them fills them.
	farCost, farShare = 4, 0.05
	// highMemory is the projected memory share from which answers wait and streams slow down.
	highMemory = 0.8
	// overheadTokens is the fixed cost of a read, in tokens, so that short prompts do not look slow.
	overheadTokens = 500
	// gain is the weight of a new sample of an engine; poolGain of one in a pool's mean.
	gain, poolGain = 0.2, 0.05
	// waitDecay, memoryMemory, healthMemory: how long a report of waiting work, a report of memory and an
	// outcome are believed: about as long as a queue, a stream and a trouble last.
	waitDecay   = 1 * time.Second
	streamDecay = 5 * time.Second
	healthDecay = 10 * time.Second
	// healthSample and startSample are how many requests of ours an outcome, and the time in which writers
	// start, are believed for, where that is longer.
	healthSample, startSample = 40, 8
	// failCost weighs a chance of failure against a share of memory at writers, against the spill at readers;
	// lossCost does where a failed attempt can't be repeated.
	failCost, lossCost = 1.0, 4.0
	// networkFaultWeight is how much of a failure counts against an engine that may have no part in it: one that
	// spoils all it sends is still told from the others.
	networkFaultWeight = 0.2
	// ejectRisk is the chance of failure from which an engine comes last in the order of readers.
	ejectRisk = 0.5
	// coldMargin of the cold budget is used: a request's true work is not known when it is sent.
	coldMargin = 0.7
	// cellTilt bounds how far reads lean towards cells with more writers for each reader.
	cellTilt = 1.5
	// mixedShare is a mixed server's share of a whole request's work against a writer that does half of it.
	mixedShare = 0.7
	// poolPaceReads is how many reads the pool's pace weighs against the engine's own.
	poolPaceReads = 2
	// lostShare of the aim, and lostFactor what a report explains, is the age from which an attempt is lost;
	// overtakenFactor what was expected, where the engine has served what was sent much later.
	lostShare, lostFactor, overtakenFactor = 0.3, 10.0, 3.0
	// cachedLimit bounds the beginnings remembered for an engine.
	cachedLimit = 2048
	// tickKey marks the scheduler's own timer, stayKey draws keys as if it were an engine; ids lie between.
	tickKey, stayKey = 1 << 63, 1
)

// New makes a scheduler. The seed settles the draws among equals: routers need different ones, or those with
// equal reports all choose alike.
func New(set Settings, seed uint64) *Scheduler {
	s := &Scheduler{set: set, seed: seed, engines: map[EngineID]*engine{}, requests: map[RequestID]*request{},
		tallies: map[tallyKey]tally{}, probeTime: initialProbe}
	for i := range s.pools {
		s.pools[i].starts = map[int]startTime{}
		s.pools[i].served, s.pools[i].warm = map[int]float64{}, map[int]float64{}
	}
	s.tick = leaseMax / leaseChecks
	if !set.HoldOff {
		s.set.MaxHoldOff = 0
	}
	for i := range set.Classes {
		s.tick = min(s.tick, s.leaseFor(set.Classes[i].Deadline)/leaseChecks)
		s.waitSeen = append(s.waitSeen, set.Classes[i].Deadline)
		s.maxWorth = max(s.maxWorth, set.Classes[i].Worth)
	}
	if set.PinLimit > 0 {
		s.tick = min(s.tick, set.PinLimit/4)
	}
	s.tick = max(s.tick, set.Step, time.Millisecond)
	return s
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) onTimer(ev TimerFired) {
	if ev.Key == tickKey {
		s.onTick()
	} else if r := s.requests[RequestID(ev.Key)]; r != nil && !r.done && !r.started && s.now >= r.deadline {
		s.giveUp(r, s.set.MaxHoldOff, Exhausted)
	}
}

func (s *Scheduler) onTick() {
	s.emit(SetTimer{At: s.now + s.tick, Key: tickKey})
	for i := range s.pools {
		clear(s.pools[i].warm)
	}
	for _, e := range s.order {
		s.checkLeases(e)
		s.checkHealth(e)
		waiting := e.role != Reader && len(e.pending) > 0 && e.lastAlive >= e.probedAt
		if waiting && s.projectedMemory(e) > highMemory { // a jam at the writers, seen before its starts are
			r := e.pending[0]
			known := scale(s.startWait(e.role, r.origin(e)), time.Second)
			s.learnStart(e, r, max(s.now-r.sentAt, known), poolGain)
		}
		if e.Availability == Ready && s.now >= e.coldUntil {
			s.pools[e.role].warm[e.Zone] += e.size()
			s.pools[e.role].warm[allZones] += e.size()
		}
	}
	s.order = slices.DeleteFunc(s.order, s.dropIfGone) // their last stream has ended since they left the list
	s.decayStarts(Writer)
	s.retryParked()
	if s.set.AskForList && s.now-s.askedAt >= s.set.AskWithin/2 {
		s.askedAt = s.now
		s.emit(Subscribe{})
	}
}

// retryParked tries again for the requests that found no engine.
func (s *Scheduler) retryParked() {
	waiting := s.parked
	s.parked = nil
	for _, r := range waiting {
		if late := r.holder == nil && s.now > r.aimAt; late && !r.done { // another router may know an engine
			s.giveUp(r, s.set.MaxHoldOff, NoWorker)
		} else if !r.done {
			s.advance(r)
		}
	}
}
