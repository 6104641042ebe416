package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// updateShares sets each engine's share of the prefix keys. Readers in cells with more writers for each
// reader get more, so that state need not leave its cell. Mixed servers count for their part of the work.
func (s *Scheduler) updateShares() {
	cells, all := map[int][Mixed + 1]float64{}, [Mixed + 1]float64{}
	for _, e := range s.order {
		if e.Availability == Ready {
			near := cells[e.Cell]
			near[e.role]++
			all[e.role]++
			cells[e.Cell] = near
		}
	}
	even := max(all[Writer]/max(all[Reader], 1), 1e-3)
	for _, e := range s.order {
		if e.share = mixedShare; e.role == Reader {
			near := cells[e.Cell][Writer] / max(cells[e.Cell][Reader], 1)
			e.share = even * min(max(near/even, 1/cellTilt), cellTilt)
		}
		e.share *= e.size()
	}
}

// prefill sends the prompt to the first engine in hash order that would finish it in time, else to the
// soonest. It refuses the request at once if even that would be too late (admission).
func (s *Scheduler) prefill(r *request) {
	limit := spillShare * r.aim().Seconds()
	var best *engine
	bestCost := math.Inf(1)
	list := s.readersInOrder(r)
	if len(list) > 0 {
		r.home = list[0]
	}
	for _, e := range list {
		// an overload at the cell's writers also counts against a reader, but no more than a long queue
		cost := s.projectedWait(e, r) + min(s.startDelay(e), limit) + 2*failCost*limit*s.risk(e, r.Class)
		if missing := r.PrefixTokens - e.cachedTokens(r); e.role != Writer && e != r.home && missing > 0 {
			cost += s.set.RereadWeight * s.paceOf(e) * missing // a repeat takes others' capacity
		}
		if e == r.avoid || s.unresponsive(e, r) || (e.role != Reader && s.projectedMemory(e) > highMemory) {
			cost += limit
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
		if cost < limit {
			break
		}
	}
	if best == nil {
		if s.parked = append(s.parked, r); r.sends > 0 { // all are full: waiting would add to the overload
			s.giveUp(r, s.set.MaxHoldOff, ReadersFull)
		}
		return
	}
	if wait := s.projectedWait(best, r) + s.startDelay(best); r.sends == 0 && wait > s.admitLimit(r) {
		s.giveUp(r, scale(wait, time.Second), WaitTooLong)
	} else if best.role == Reader && s.set.MaxAttempts > 0 && r.PriorAttempts+r.sends+2 > s.set.MaxAttempts {
		s.giveUp(r, s.set.MaxHoldOff, Exhausted) // no attempt would be left for the answer
	} else {
		s.send(r, best)
	}
}

// localKeyShare is the part of the prefix keys that stay in our zone: all, unless its readers are colder than
// others. Otherwise a zone that returns cold would prefill all its prompts while others have capacity.
func (s *Scheduler) localKeyShare() float64 {
	var own, all, ownAble, allAble float64
	for _, e := range s.order {
		if e.Availability != Ready || e.role == Writer {
			continue
		}
		all, allAble = all+e.share, allAble+e.share*s.warmth(e)
		if e.Zone == s.set.Zone {
			own, ownAble = own+e.share, ownAble+e.share*s.warmth(e)
		}
	}
	return (ownAble + 1e-9) / (own + 1e-9) * all / max(allAble, 1e-9)
}

// admitLimit is the wait, in seconds, above which a request is refused. It guards against any overload,
// whatever its cause. It can do harm just after an overload, so what was seen of it decays.
func (s *Scheduler) admitLimit(r *request) float64 {
	limit := admitShare * (r.aim() + scale(s.set.LateShare, r.deadline-r.aimAt)).Seconds()
	if r.Resumed { // waiting costs it little, but a refusal loses all that it has
		limit = admitShare * (r.deadline - r.arrived).Seconds()
	}
	if r.class.Worth < s.maxWorth {
		limit *= lowWorthShare
	}
	return limit
}

// startDelay is the time in which an answer would start whose prompt this engine prefills. A slow link
// between cells is no reason to refuse what a writer of its own cell has capacity for. Without such a writer
// the slowest start counts.
func (s *Scheduler) startDelay(reader *engine) float64 {
	if reader.role != Reader {
		return 0
	}
	for _, e := range s.order {
		open := e.Availability == Ready && s.now >= max(e.fullUntil, e.coldUntil) && len(e.pending) == 0
		if open && e.role == Writer && e.Cell == reader.Cell && s.projectedMemory(e) <= highMemory {
			return s.startWait(Writer, reader.Cell)
		}
	}
	slowest := 0.0
	for way := range s.pools[Writer].starts {
		slowest = max(slowest, s.startWait(Writer, way))
	}
	return slowest
}

// readersInOrder lists the engines that may prefill, by rendezvous hashing: our own zone first, since
// crossing zones has a cost, then others, last those likely to fail. In each group Homes come first.
func (s *Scheduler) readersInOrder(r *request) []*engine {
	list := s.eligible(r, func(e *engine) bool { return e.role != Writer })
	if len(list) == 0 && s.set.WritersRead {
		list = s.eligible(r, func(*engine) bool { return true })
	}
	key := cmp.Or(r.Prefix, r.Session, uint64(r.Request))
	weight := func(e *engine) float64 { return e.classShare(r.Class) * s.warmth(e) }
	score := func(e *engine) float64 { return weight(e) / -math.Log(unit(key, uint64(e.ID))) }
	stays := s.set.Zone >= 0 && unit(key, stayKey) < s.localKeyShare()
	for _, e := range list {
		risky := e == r.avoid || s.risk(e, r.Class) > ejectRisk
		e.tier = max(2*toInt(risky), toInt(stays && e.Zone != s.set.Zone))
	}
	slices.SortStableFunc(list, func(a, b *engine) int {
		return cmp.Or(a.tier-b.tier, r.holdsPrefix(b)-r.holdsPrefix(a), cmp.Compare(score(b), score(a)))
	})
	hops := 0
	return slices.DeleteFunc(list, func(e *engine) bool {
		hops += 1 + spillZoneHops*toInt(e.tier > 0)
		return hops > spillHops
	})
}

// projectedWait is the time, in seconds, until the engine would have prefilled the prompt. An attempt that is
// out for longer than projected shows a slower engine before it ends.
func (s *Scheduler) projectedWait(e *engine, r *request) float64 {
	pace, late := s.paceOf(e), 0.0
	if len(e.pending) > 0 {
		oldest := e.pending[0]
		late = (s.now - oldest.sentAt).Seconds() - pace*(oldest.ahead+oldest.work+overheadTokens)
	}
	return max(late, 0) + pace*(s.backlog(e)+s.uncachedTokens(e, r)+overheadTokens)
}

// uncachedTokens is the part of the prompt that this engine is not expected to have cached. A home gets the
// same prefixes from other routers too, so its usual hit rate counts even without a prefill of ours.
func (s *Scheduler) uncachedTokens(e *engine, r *request) float64 {
	if e.role == Writer {
		return 0
	}
	kept := e.cachedTokens(r)
	if kept == 0 && e == r.home {
		kept = s.homeHit * r.PromptTokens
	}
	return max(r.PromptTokens-min(kept, r.PromptTokens), 1)
}

// backlog is what waits to be prefilled or fetched at an engine, in tokens: its last report, which decays to
// the pool's mean, and what we have sent since.
func (s *Scheduler) backlog(e *engine) float64 {
	own := 0.0
	for _, r := range e.pending {
		if r.sentAt > e.loadAt {
			own += r.work
		}
	}
	mean := s.pools[e.role].backlog
	return own + mean + (s.reportedBacklog(e)-mean)*decay(s.now-e.loadAt, waitDecay)
}

func (s *Scheduler) reportedBacklog(e *engine) float64 {
	if !e.load.Known {
		return s.pools[e.role].backlog
	}
	if e.load.WaitTokens >= 0 {
		return e.load.WaitTokens
	}
	return max(e.load.Queue, 0) * s.pools[e.role].uncached
}
