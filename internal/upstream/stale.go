package upstream

import (
	"errors"
	"fmt"
	"math"
	"os"
	"sync"
	"time"
)

const (
	// staleWithin of being written to, a kept connection that dies was dead before, though nothing showed it: some
	// network between here and the worker had dropped it. The request on it may have run all the same.
	staleWithin = 10 * time.Millisecond
	// staleMany such deaths (two, one after the other) in a time of staleMemory, and only connections that were idle for less than briefly are
	// used again. A new connection costs the worker a little; a filing lost so can't be sent again.
	staleMany   = 1.5
	staleMemory = 30 * time.Second
	briefly     = 80 * time.Millisecond
)

var errStale = errors.New("a kept connection had died unseen")

// stale counts the kept connections that died when they were written to.
type stale struct {
	mu    sync.Mutex
	count float64 // decayed
	at    time.Time
}

// judge looks at the error of an exchange that got no answer on a connection taken at began. One that this router gave
// up itself, for a client that left or to ask another worker, runs into its deadline and tells nothing.
func (s *stale) judge(c *conn, began time.Time, err error) error {
	gaveUp := errors.Is(err, os.ErrDeadlineExceeded)
	if c.since.IsZero() || time.Since(began) > staleWithin || gaveUp || errors.Is(err, errHead) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count, s.at = s.left()+1, time.Now()
	return fmt.Errorf("%w, idle for %v: %w", errStale, began.Sub(c.since), err)
}

// trusts tells whether a connection may be used again that was idle for this long.
func (s *stale) trusts(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return idle < briefly || s.left() < staleMany
}

func (s *stale) left() float64 {
	return s.count * math.Exp(-time.Since(s.at).Seconds()/staleMemory.Seconds())
}
