package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// callSlot is how much time of a shared discovery each router allows itself for a call; all of them together then
	// ask for no more than one call in that time.
	callSlot = 80 * time.Millisecond
	// minWatchDuration is how long a watch must have lasted to be one: a discovery short of room takes a call and breaks it.
	minWatchDuration = 2 * time.Second
	// maxRetryDelay is the longest time between two calls, maxQueueWait the longest wait for a turn at a shared discovery. A router without a
	// watch is taken to be told after 10 s, after a call that failed after 40 s.
	maxRetryDelay, maxQueueWait = 16 * time.Second, 5 * time.Second
	// localRetryDelay lies between two tries at an agent of this router's own, which answers at once and at no cost.
	localRetryDelay = 200 * time.Millisecond
	// maxMoveDelay is the longest wait before the first call at a new place, whose news count as told 4 s after the move.
	maxMoveDelay = time.Second
)

// Pace settles when discovery is asked. Where one discovery of fixed capacity serves all routers, calls wait there
// in turn and fail once they have waited too long; routers that ask again at once keep it so full that none of them
// is served: 80 that came back each 200 ms got no list in a whole day. So they come at times of their own, and later
// after each failure. The zero value is for an agent of this router's own.
type Pace struct {
	interval time.Duration // between the calls of one router; 0: nobody else asks there
	random   *rand.Rand
	failures int // of calls, one after the other
}

// Shared is the pace of one of so many routers at one discovery, with times settled by the seed.
func Shared(routers int, seed uint64) *Pace {
	return &Pace{interval: min(time.Duration(routers)*callSlot, maxRetryDelay), random: rand.New(rand.NewPCG(seed, 0))}
}

// firstDelay is how long to wait before the first call: all routers may start, or be moved, at the same time.
func (p *Pace) firstDelay(moved bool) time.Duration {
	if moved {
		return p.jitter(0, min(p.interval, maxMoveDelay))
	}
	return p.jitter(0, p.interval)
}

// retryDelay is how long to wait after a call that ended having lasted so long. fellSilent says that a watch fell silent that had
// been heard: what it misses counts as told soon, as after a move.
func (p *Pace) retryDelay(lasted time.Duration, fellSilent bool) time.Duration {
	if p.interval == 0 {
		return localRetryDelay
	}
	if p.failures++; lasted >= minWatchDuration {
		p.failures = 0 // it was served; it broke for all routers at once, perhaps
		return p.firstDelay(fellSilent)
	}
	most := min(p.interval<<min(p.failures-1, 10), maxRetryDelay)
	return max(p.jitter(most/2, most), localRetryDelay)
}

// fetchTimeout is how long the whole list may take.
func (p *Pace) fetchTimeout() time.Duration {
	if p.interval == 0 {
		return localFetchTimeout
	}
	return maxQueueWait
}

// jitter is a random time from least up to most.
func (p *Pace) jitter(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(p.random.Int64N(int64(most-least)))
}
