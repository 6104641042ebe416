package upstream

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"sumacloft/internal/core"
)

const (
	// shareWait is how long a call waits for a connection where all that it may use are in use; after that its request
	// is better off at another worker.
	shareWait = 50 * time.Millisecond
	// spareFrom is the share from which on one connection is kept for calls that are no attempts, such as probes and
	// the release of what a worker holds: all others may carry streams for long.
	spareFrom = 4
)

// errShare is a kind of core.ErrNoSocket: no word on the worker, and nothing was sent.
var errShare = fmt.Errorf("%w: this process's share of the worker's connections is in use", core.ErrNoSocket)

// shares bounds how many connections there are to each address, those that come up included. Safe for concurrent use.
type shares struct {
	mu     sync.Mutex
	limits map[string]int // 0: no bound
	open   map[string]int
	freed  map[string]chan struct{} // closed once a connection may be had, where somebody waits for that
}

func newShares() *shares {
	return &shares{open: map[string]int{}, freed: map[string]chan struct{}{}}
}

// allot takes new limits. It tells whether they are any different.
func (s *shares) allot(limits map[string]int) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(limits, s.limits) {
		return false
	}
	s.limits = maps.Clone(limits)
	for addr := range s.freed {
		s.wake(addr)
	}
	return true
}

// enter takes a place for a new connection, if there is one.
func (s *shares) enter(addr string, attempt bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limits[addr]
	if attempt && limit >= spareFrom {
		limit--
	}
	if limit > 0 && s.open[addr] >= limit {
		return false
	}
	s.open[addr]++
	return true
}

// leave gives a place back.
func (s *shares) leave(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[addr]--
	if s.open[addr] == 0 {
		delete(s.open, addr)
	}
	s.wake(addr)
}

// over tells how many connections there are beyond an address's share.
func (s *shares) over(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits[addr] == 0 {
		return 0
	}
	return max(s.open[addr]-s.limits[addr], 0)
}

// given tells those who wait that a connection is idle again.
func (s *shares) given(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(addr)
}

// watch gives a channel that is closed once a connection may be had.
func (s *shares) watch(addr string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed[addr] == nil {
		s.freed[addr] = make(chan struct{})
	}
	return s.freed[addr]
}

// wake lets those go who wait. The lock is held.
func (s *shares) wake(addr string) {
	if freed := s.freed[addr]; freed != nil {
		close(freed)
		delete(s.freed, addr)
	}
}

// Allot bounds how many connections the pool has to each address; to others than these there is no bound. Idle ones
// beyond that are closed at once, those in use once their exchange has ended.
func (p *Pool) Allot(limits map[string]int) {
	if !p.shares.allot(limits) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		surplus := min(p.shares.over(addr), len(list))
		for _, c := range list[:surplus] {
			c.discard()
		}
		p.set(addr, list[surplus:])
	}
}

// await waits, for a short time, for a connection in use to become idle, which is returned, or to end: then a place for a
// new one has been taken, and no connection is returned.
func (p *Pool) await(ctx context.Context, addr string, attempt bool, avoid func(uint64) bool) (*conn, error) {
	limit := time.NewTimer(shareWait)
	defer limit.Stop()
	for {
		freed := p.shares.watch(addr) // before the looks that follow: what comes after them is not missed
		if c := p.reuse(addr, avoid); c != nil {
			return c, nil
		}
		if p.shares.enter(addr, attempt) {
			return nil, nil
		}
		rested := time.NewTimer(p.restLeft(addr))
		select {
		case <-freed:
		case <-rested.C:
		case <-limit.C:
			return nil, errShare
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		rested.Stop()
	}
}

// restLeft is how long it takes until the next idle connection to an address has rested.
func (p *Pool) restLeft(addr string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	soonest := shareWait
	for _, c := range p.idle[addr] {
		if left := p.settle - time.Since(c.since); left > 0 { // one that has rested is not for this exchange
			soonest = min(soonest, left)
		}
	}
	return soonest
}
