package policy

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sumacloft/internal/decide/rollout"
)

// clock is the time since some start of the machine, also over its sleep.
func clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// lease is how long this router may take it that its registration stands.
type lease struct{ until atomic.Int64 }

func newLease(until time.Duration) *lease {
	l := &lease{}
	l.until.Store(int64(until))
	return l
}

func (l *lease) extend(until time.Duration) {
	if int64(until) > l.until.Load() {
		l.until.Store(int64(until))
	}
}

// endless is the lease of a router that serves on while the store is away.
const endless = time.Duration(math.MaxInt64)

// state is what arrivals meet. It is never changed, only replaced, but for its lease's time.
type state[T any] struct {
	mode    rollout.Mode
	version int64
	terms   T
	lease   *lease
	why     string
	over    chan struct{} // closed once another has taken its place
}

// Gate gives each arrival the terms of exactly one version, or none. Use NewGate.
type Gate[T any] struct {
	now      func() time.Duration
	patience time.Duration // how long an arrival waits for the outcome of a change
	most     int64         // how many may wait
	state    atomic.Pointer[state[T]]
	waiting  atomic.Int64
}

// NewGate makes a gate that is closed.
func NewGate[T any](patience time.Duration, most int) *Gate[T] {
	g := &Gate[T]{now: clock, patience: patience, most: int64(most)}
	g.state.Store(&state[T]{why: "no policy has been read yet", over: make(chan struct{})})
	return g
}

// Unsettled says that a request was not taken since no version is certain; it has not run, and may come again.
type Unsettled struct {
	Why   string
	After time.Duration // when to come again
}

func (e *Unsettled) Error() string { return e.Why }

// RetryAfter is when to come again.
func (e *Unsettled) RetryAfter() time.Duration { return e.After }

var errLapsed = errors.New("the lease is over: another policy may have taken hold")

// Take gives the terms that the request is decided under. The moment that counts is the one at which the state is
// loaded; the lease is looked at after it, so that a pause in between can only make the gate stricter.
func (g *Gate[T]) Take(ctx context.Context) (T, error) {
	s := g.state.Load()
	if s.mode == rollout.Serving && int64(g.now()) < s.lease.until.Load() {
		return s.terms, nil
	}
	return g.wait(ctx, s)
}

// Ready tells whether arrivals are taken, or will be in a moment.
func (g *Gate[T]) Ready() error {
	s := g.state.Load()
	switch {
	case s.mode == rollout.Closed:
		return errors.New(s.why)
	case int64(g.now()) >= s.lease.until.Load():
		return errLapsed
	}
	return nil
}

// Session is the lease that the registration stands on now; nil: none that is known to last. Another lease is another
// session.
func (g *Gate[T]) Session() any {
	if s := g.state.Load(); s.lease != nil && int64(g.now()) < s.lease.until.Load() {
		return s.lease
	}
	return nil
}

// Last is what was served last, whatever the gate says now.
func (g *Gate[T]) Last() T { return g.state.Load().terms }

func (g *Gate[T]) wait(ctx context.Context, s *state[T]) (none T, err error) {
	if g.waiting.Add(1) > g.most {
		g.waiting.Add(-1)
		return none, g.unsettled("too many requests wait for a change of policy")
	}
	defer g.waiting.Add(-1)
	patience := time.NewTimer(g.patience)
	defer patience.Stop()
	for {
		switch {
		case s.mode == rollout.Closed:
			return none, g.unsettled(s.why)
		case int64(g.now()) >= s.lease.until.Load():
			return none, g.unsettled(errLapsed.Error())
		case s.mode == rollout.Serving:
			return s.terms, nil
		}
		select {
		case <-s.over:
		case <-ctx.Done():
			return none, g.unsettled("the client has left")
		case <-patience.C:
			return none, g.unsettled("a change of policy is taking long")
		}
		s = g.state.Load()
	}
}

func (g *Gate[T]) unsettled(why string) error {
	return &Unsettled{Why: fmt.Sprintf("the policy in force is not certain: %s", why), After: g.patience}
}

// set replaces the state. One goroutine at a time does so.
func (g *Gate[T]) set(next state[T]) {
	next.over = make(chan struct{})
	close(g.state.Swap(&next).over)
}
