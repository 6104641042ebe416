package brain

import (
	"slices"
	"time"
)

const (
	// leaseMax is the longest lease, as specified by the design. Short deadlines shorten it.
	leaseMax = 6 * time.Second
	// leaseShare is the longest lease as a share of the client's timeout. It leaves time for another attempt.
	leaseShare = 0.25
	// leaseExtend is the share of a lease to which a sign of life renews it (the max rule of the design).
	leaseExtend = 2.0 / 3
	// leaseChecks is how often a lease is checked in its length. The design checks its 6 s lease every 1 s.
	leaseChecks = 6
	// probeAfterShare is the share of a lease without a sign of life after which a busy engine is probed.
	probeAfterShare = 1.0 / 4
	// pinShare is the share of the pin limit that state may wait for a writer. The rest covers late ticks.
	pinShare = 0.6
	// spillShare of the aim is the projected wait above which a prompt goes to the next reader in hash order.
	spillShare = 0.3
	// admitShare of the aim is the projected wait, over both stages, above which a request of the highest
	// worth is refused. For others the limit is lowWorthShare of that, so that they are refused first.
	admitShare    = 0.6
	lowWorthShare = 0.7
	// spillHops is how far down its hash order a prefix may spill. An engine of another zone counts as
	// spillZoneHops more. Beyond that each prefill starts uncached, and its work adds to the overload.
	spillHops, spillZoneHops = 6, 1
	// immediateShare of the aim is the longest time for a reply that did not wait in a queue.
	immediateShare = 0.03
	// lateProbe times the usual time of a probe's reply is when an engine counts as unresponsive.
	lateProbe = 4
	// initialProbe is the assumed time of a probe before any was answered: its timeout.
	initialProbe = 250 * time.Millisecond
	// nearBand is the difference in projected memory share within which writers count as nearly equal.
	nearBand = 0.15
	// waitCost weighs what an attempt waits at a writer beyond the usual, as a share of the aim.
	waitCost = 2
	// farCost weighs how much longer a start takes at a writer of another cell, as a share of the aim, beyond
	// farShare of it. Links may be slow, and transfers across them fill them.
	farCost, farShare = 4, 0.05
	// highMemory is the projected memory share from which answers wait and streams slow down.
	highMemory = 0.8
	// overheadTokens is the fixed cost of a prefill, in tokens, so that short prompts do not look slow.
	overheadTokens = 500
	// gain is the weight of a new sample of an engine, poolGain that of one in a pool's mean.
	gain, poolGain = 0.2, 0.05
	// waitDecay, streamDecay and healthDecay are the decay times of reports of waiting work, reports of
	// memory and outcomes: about as long as a queue, a stream and a fault last.
	waitDecay   = 1 * time.Second
	streamDecay = 5 * time.Second
	healthDecay = 10 * time.Second
	// healthSample and startSample are the numbers of our requests over which outcomes and the start times of
	// writers decay, where that takes longer.
	healthSample, startSample = 40, 8
	// failCost weighs a chance of failure against a share of memory at writers, and against spillShare at
	// readers. lossCost does so where a failed attempt can't be repeated.
	failCost, lossCost = 1.0, 4.0
	// networkFaultWeight is how much of a failure a network fault counts for: the engine may not have caused
	// it. One that corrupts all it sends still ranks below the others.
	networkFaultWeight = 0.2
	// ejectRisk is the chance of failure from which an engine comes last in the order of readers.
	ejectRisk = 0.5
	// coldMargin is the used share of the cold budget: a request's true work is unknown when it is sent.
	coldMargin = 0.7
	// cellTilt bounds the bias of prefills towards cells with more writers for each reader.
	cellTilt = 1.5
	// mixedShare is a mixed server's share of a whole request's work, against a writer that does half of it.
	mixedShare = 0.7
	// poolPaceReads is how many prefills the pool's pace counts for against the engine's own.
	poolPaceReads = 2
	// An attempt is lost after lostShare of the aim and lostFactor times what a report explains, or
	// overtakenFactor times the expected time where the engine has served what was sent much later.
	lostShare, lostFactor, overtakenFactor = 0.3, 10.0, 3.0
	// cachedLimit bounds the prefixes remembered for an engine.
	cachedLimit = 2048
	// tickKey marks the scheduler's own timer. stayKey replaces an engine's ID in a hash. IDs lie between.
	tickKey, stayKey = 1 << 63, 1
)

// New returns a scheduler. The seed breaks ties among equals. Routers need different seeds, or those with
// equal reports would all choose alike.
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
		if waiting && s.projectedMemory(e) > highMemory { // writers overloaded, before late starts show it
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
