package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// decode sends a request with waiting state, or a short prompt, to the writer with the lowest projected
// memory. Near equals rank by the reader's cell, its zone and a draw. The first with memory free is taken.
func (s *Scheduler) decode(r *request) {
	list := s.eligible(r, func(e *engine) bool { return e.role == Writer })
	if len(list) == 0 {
		list = s.eligible(r, func(e *engine) bool { return e.role == Mixed })
	}
	if len(list) == 0 {
		s.parked = append(s.parked, r)
		return
	}
	distance := func(e *engine) int {
		from := cmp.Or(r.holder, e) // a prompt that the writer prefills itself has no source
		return 3*toInt(e == r.avoid) + toInt(e.Cell != from.Cell) + toInt(e.Zone != from.Zone)
	}
	// a prefix that a writer prefills itself stays there: it has one home, the same for all routers
	key := cmp.Or(r.Prefix*uint64(toInt(r.holder == nil)), s.seed^uint64(r.Request))
	draw := func(e *engine) float64 { return unit(key, uint64(e.ID)) }
	slices.SortStableFunc(list, func(a, b *engine) int {
		return cmp.Or(distance(a)-distance(b), cmp.Compare(draw(a), draw(b)))
	})
	var best *engine
	bestRank := math.Inf(1)
	for _, e := range list {
		rank := s.projectedMemory(e) + nearBand*float64(distance(e)) + r.cost*s.risk(e, r.Class)
		if r.origin(e) == far { // a slow link holds the state, and the reader's memory, for longer
			extra := (s.startWait(Writer, far) - s.startWait(Writer, r.holder.Cell)) / r.aim().Seconds()
			rank += min(farCost*max(extra-farShare, 0), 1)
		}
		if len(e.pending) > 0 { // a wait shows full memory, also where others filled it and no report says so
			extra := max((s.now-e.pending[0].sentAt).Seconds()-s.startWait(Writer, e.pending[0].origin(e)), 0)
			rank += min(waitCost*extra/r.aim().Seconds(), 1)
		}
		rank += float64(toInt(e == r.avoid || s.unresponsive(e, r)))
		if rank < bestRank {
			best, bestRank = e, rank
		}
		if rank <= min(s.pools[e.role].memory+nearBand, highMemory) {
			break
		}
	}
	s.send(r, best)
}

// footprint is the memory, in tokens, that the request is expected to take at the end of its answer.
func (r *request) footprint() float64 {
	if r.HintTokens > 0 {
		return r.PromptTokens + min(r.HintTokens, r.MaxTokens)
	}
	return r.PromptTokens + r.MaxTokens/2
}

// projectedMemory is the share of its memory that the engine will hold: its last report, which decays to the
// pool's mean (also used without a report), what waits there, and what we sent too late to be in it.
func (s *Scheduler) projectedMemory(e *engine) float64 {
	memory := s.pools[e.role].memory
	if e.load.Known && e.load.MemoryShare >= 0 {
		memory += (e.load.MemoryShare - memory) * decay(s.now-e.loadAt, streamDecay)
	}
	tokens := s.reportedBacklog(e) * decay(s.now-e.loadAt, waitDecay)
	for _, list := range [][]*request{e.pending, e.streams} {
		for _, r := range list {
			if r.sentAt > e.loadAt-waitDecay/2 {
				tokens += r.footprint()
			}
		}
	}
	return memory + tokens/max(e.memory, 1)
}

func (s *Scheduler) leaseFor(timeout time.Duration) time.Duration {
	return min(leaseMax, scale(leaseShare, timeout))
}

// requestLease is no shorter than the signs of life that renew it take, however short the client's timeout.
// Otherwise a slow engine's work would be cancelled and started again over and over.
func (s *Scheduler) requestLease(r *request) time.Duration {
	return max(s.leaseFor(r.Timeout), s.tick*leaseChecks)
}

// heartbeat renews all leases at an engine that showed life, and never shortens one. It skips an attempt
// whose wait the engine's own report does not explain: that was lost, though the engine lives.
func (s *Scheduler) heartbeat(e *engine) {
	if s.now-e.lastAlive > leaseMax && s.risk(e, anyClass) > 0.5 { // it may have restarted
		s.startWarmup(e, s.now)
	}
	e.lastAlive = s.now
	for _, r := range e.pending {
		if !s.overdue(e, r) {
			r.lease = max(r.lease, s.now+scale(leaseExtend, s.requestLease(r)))
		}
	}
}

// overdue reports whether an attempt takes much longer than the engine's report explains, or than later ones
// took. An engine that serves others shows life all the time, whatever a connection has lost.
func (s *Scheduler) overdue(e *engine, r *request) bool {
	expected := s.startWait(Writer, r.origin(e))
	if e.role != Writer {
		pace := max(s.paceOf(e), s.pools[e.role].pace)
		expected = pace * (max(s.reportedBacklog(e), r.ahead) + r.work + overheadTokens)
	} else if e.load.WaitTokens > 0 || e.load.MemoryShare > highMemory {
		return false
	}
	least, age := scale(lostShare, r.aim()), s.now-r.sentAt
	late := max(least, scale(overtakenFactor*expected, time.Second))
	passed := age > late && e.newestServed-r.sentAt > late/2 && (e.role == Reader || r.class.Effect == Safe)
	known := e.load.WaitTokens >= 0 && !e.load.FromPeers && e.loadAt > r.sentAt
	return passed || (known && age > max(least, scale(lostFactor*expected, time.Second)))
}

func (s *Scheduler) checkLeases(e *engine) {
	for _, r := range slices.Clone(e.pending) {
		passed := e.newestServed > r.sentAt && s.overdue(e, r)
		if r.cancelled || (s.now < r.lease && !passed) {
			continue
		}
		if e.lastAlive > r.sentAt {
			s.addOutcome(e, r.Class, 1)
		} else {
			s.addOutcome(e, anyClass, 1)
		}
		s.cancel(r)
	}
}

// cancel cancels the attempt that is out. The attempt's end decides what comes next.
func (s *Scheduler) cancel(r *request) {
	if s.set.Cancelling && !r.cancelled && !r.started {
		r.cancelled = true
		s.emit(Cancel{Request: r.Request, Attempt: r.sends - 1})
	}
}
