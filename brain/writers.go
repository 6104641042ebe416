package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// write sends the waiting state's request, or a short prompt's, to the writer with the lowest projected
// memory; near equals rank by the reader's cell, then its zone, then by a draw. The first at ease is taken.
func (s *Scheduler) write(r *request) {
	list := s.usable(r, func(e *engine) bool { return e.role == Writer })
	if len(list) == 0 {
		list = s.usable(r, func(e *engine) bool { return e.role == Mixed })
	}
	if len(list) == 0 {
		s.parked = append(s.parked, r)
		return
	}
	away := func(e *engine) int {
		from := cmp.Or(r.state, e) // a prompt that the writer reads itself comes from nowhere
		return 3*one(e == r.avoid) + one(e.Cell != from.Cell) + one(e.Zone != from.Zone)
	}
	// a beginning that a writer reads itself is kept there: it has one home, the same for all routers
	key := cmp.Or(r.Prefix*uint64(one(r.state == nil)), s.seed^uint64(r.Request))
	draw := func(e *engine) float64 { return unit(key, uint64(e.ID)) }
	slices.SortStableFunc(list, func(a, b *engine) int {
		return cmp.Or(away(a)-away(b), cmp.Compare(draw(a), draw(b)))
	})
	var best *engine
	bestRank := math.Inf(1)
	for _, e := range list {
		rank := s.projectedMemory(e) + nearBand*float64(away(e)) + r.stake*s.risk(e, r.Class)
		if r.way(e) == far { // a slow link holds the state, and the reader's memory, for longer
			longer := (s.startWait(Writer, far) - s.startWait(Writer, r.state.Cell)) / r.aim().Seconds()
			rank += min(farCost*max(longer-farShare, 0), 1)
		}
		if len(e.out) > 0 { // what waits shows a full memory, also where others filled it and no report tells
			longer := max((s.now-e.out[0].sentAt).Seconds()-s.startWait(Writer, e.out[0].way(e)), 0)
			rank += min(waitCost*longer/r.aim().Seconds(), 1)
		}
		rank += float64(one(e == r.avoid || s.mute(e, r)))
		if rank < bestRank {
			best, bestRank = e, rank
		}
		if rank <= min(s.pools[e.role].memory+nearBand, crowdShare) {
			break
		}
	}
	s.send(r, best)
}

// footprint is the memory, in tokens, that the request is thought to take at the end of its answer.
func (r *request) footprint() float64 {
	if r.HintTokens > 0 {
		return r.PromptTokens + min(r.HintTokens, r.MaxTokens)
	}
	return r.PromptTokens + r.MaxTokens/2
}

// projectedMemory is the share of its memory that the engine will hold: its last report, which fades into the
// pool's mean (the unheard count as average), what waits there, and what we have sent too late to be in it.
func (s *Scheduler) projectedMemory(e *engine) float64 {
	memory := s.pools[e.role].memory
	if e.load.Known && e.load.MemoryShare >= 0 {
		memory += (e.load.MemoryShare - memory) * fade(s.now-e.loadAt, streamMemory)
	}
	tokens := s.reportedWait(e) * fade(s.now-e.loadAt, waitMemory)
	for _, list := range [][]*request{e.out, e.streams} {
		for _, r := range list {
			if r.sentAt > e.loadAt-waitMemory/2 {
				tokens += r.footprint()
			}
		}
	}
	return memory + tokens/max(e.memory, 1)
}

func (s *Scheduler) leaseFor(patience time.Duration) time.Duration {
	return min(leaseMax, share(leaseShare, patience))
}

// leaseOf is a request's lease: no shorter than the signs of life take that renew it, however little its
// client waits, or a slow engine's work would be called off and begun anew all over.
func (s *Scheduler) leaseOf(r *request) time.Duration {
	return max(s.leaseFor(r.Left), s.tick*leaseChecks)
}

// alive is a sign of life: it renews all leases at the engine, and never shortens one. An attempt whose wait
// the engine's own report does not explain is not renewed: it was lost, though the engine lives.
func (s *Scheduler) alive(e *engine) {
	if s.now-e.lastLife > leaseMax && s.risk(e, anyClass) > 0.5 { // long enough away to have restarted
		s.chill(e, s.now)
	}
	e.lastLife = s.now
	for _, r := range e.out {
		if !s.overdue(e, r) {
			r.lease = max(r.lease, s.now+share(leaseExtend, s.leaseOf(r)))
		}
	}
}

// overdue tells whether an attempt is out for much longer than the engine's report explains, or than what was
// sent there later took: one that serves others shows life all the time, whatever a connection has lost.
func (s *Scheduler) overdue(e *engine, r *request) bool {
	expected := s.startWait(Writer, r.way(e))
	if e.role != Writer {
		pace := max(s.paceOf(e), s.pools[e.role].pace)
		expected = pace * (max(s.reportedWait(e), r.ahead) + r.work + stepTokens)
	} else if e.load.WaitTokens > 0 || e.load.MemoryShare > crowdShare {
		return false
	}
	least, age := share(lostShare, r.aim()), s.now-r.sentAt
	late := max(least, share(passedTimes*expected, time.Second))
	passed := age > late && e.passed-r.sentAt > late/2 && (e.role == Reader || r.class.Effect == Safe)
	known := e.load.WaitTokens >= 0 && !e.load.Hearsay && e.loadAt > r.sentAt
	return passed || (known && age > max(least, share(lostTimes*expected, time.Second)))
}

func (s *Scheduler) checkLeases(e *engine) {
	for _, r := range slices.Clone(e.out) {
		passed := e.passed > r.sentAt && s.overdue(e, r)
		if r.called || (s.now < r.lease && !passed) {
			continue
		}
		if e.lastLife > r.sentAt {
			s.note(e, r.Class, 1)
		} else {
			s.note(e, anyClass, 1)
		}
		s.callOff(r)
	}
}

// callOff cancels the attempt that is out; its end decides what comes next.
func (s *Scheduler) callOff(r *request) {
	if s.set.Cancelling && !r.called && !r.started {
		r.called = true
		s.do(Cancel{Request: r.Request, Attempt: r.sends - 1})
	}
}
