package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// updateShares settles each engine's share of the prefix keys: readers lean towards cells with more writers for each
// reader, so that state need not leave its cell; mixed servers count for their part of the work.
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

// read sends the prompt to the first engine in hash order that would end it in time, else to the soonest, and
// refuses it at once when even that would be too late (admission).
func (s *Scheduler) read(r *request) {
	limit := spillShare * r.aim().Seconds()
	var best *engine
	bestCost := math.Inf(1)
	list := s.readersInOrder(r)
	if len(list) > 0 {
		r.home = list[0]
	}
	for _, e := range list {
		// a jam at its own writers speaks against a reader too, though no more than a long queue
		cost := s.projectedWait(e, r) + min(s.startDelay(e), limit) + 2*failCost*limit*s.risk(e, r.Class)
		if missing := r.PrefixTokens - e.cachedTokens(r); e.role != Writer && e != r.home && missing > 0 {
			cost += s.set.RereadWeight * s.paceOf(e) * missing // read once more it takes the room of others
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
		if s.parked = append(s.parked, r); r.sends > 0 { // all are full: waiting would feed the jam
			s.giveUp(r, s.set.MaxHoldOff, ReadersFull)
		}
		return
	}
	if wait := s.projectedWait(best, r) + s.startDelay(best); r.sends == 0 && wait > s.admitLimit(r) {
		s.giveUp(r, scale(wait, time.Second), WaitTooLong)
	} else if best.role == Reader && s.set.MaxAttempts > 0 && r.PriorAttempts+r.sends+2 > s.set.MaxAttempts {
		s.giveUp(r, s.set.MaxHoldOff, Exhausted) // no attempt would be left to have the answer written
	} else {
		s.send(r, best)
	}
}

// localKeyShare is the part of the prefix keys that stay in our zone: all, unless its readers are colder than the
// others'. A zone that comes back all cold would else read all of its prompts while the others have room.
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

// admitLimit is the wait, in seconds, from which a request is turned away. It guards against any overload,
// whatever its cause; it can do harm just after a jam, so what was seen of it fades.
func (s *Scheduler) admitLimit(r *request) float64 {
	limit := admitShare * (r.aim() + scale(s.set.LateShare, r.deadline-r.aimAt)).Seconds()
	if r.Resumed { // what it waits costs it little; turned away it loses all that it has
		limit = admitShare * (r.deadline - r.arrived).Seconds()
	}
	if r.class.Worth < s.maxWorth {
		limit *= lowWorthShare
	}
	return limit
}

// startDelay is the time in which an answer would start whose prompt this engine reads: a slow link between
// cells is no reason to turn away what a writer of its own cell has room for. Without one it starts like the
// slowest.
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

// readersInOrder lists the engines that may read, by rendezvous hashing: those of our own zone first, since
// every crossing has a price, then the others, last those that are likely to fail; of each a home first.
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

// projectedWait is the time, in seconds, until the engine would have read the prompt; an attempt that is out
// for longer than was projected shows a slower engine before it ends.
func (s *Scheduler) projectedWait(e *engine, r *request) float64 {
	pace, late := s.paceOf(e), 0.0
	if len(e.pending) > 0 {
		oldest := e.pending[0]
		late = (s.now - oldest.sentAt).Seconds() - pace*(oldest.ahead+oldest.work+overheadTokens)
	}
	return max(late, 0) + pace*(s.backlog(e)+s.uncachedTokens(e, r)+overheadTokens)
}

// uncachedTokens is what of the prompt this engine is thought not to have kept. Other routers send the same
// beginnings to the same home, so there what is usually found counts, also if this router never sent it one.
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

// backlog is what waits to be read, or fetched, at an engine, in tokens: by its last report, which fades
// into the pool's mean, and what we have sent since.
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
