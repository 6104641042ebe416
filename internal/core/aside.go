package core

import (
	"context"

	"sumacloft/brain"
)

// CallReady makes a call to a worker outside of any request. The worker must be ready, which is checked again just
// before the write. The scheduler does not see the call. do gets the check that it must make just before it writes,
// as a Job does.
func (c *Core) CallReady(ctx context.Context, id brain.EngineID, do func(ctx context.Context, w Worker, clear func() error) error) error {
	c.mu.Lock()
	w, refusing := c.workers[id], c.refusing
	c.mu.Unlock()
	if w == nil || w.Availability != brain.Ready || refusing {
		return &AttemptError{Stage: NotConnected, Err: ErrNotReady}
	}
	return do(ctx, *w, func() error {
		if err := context.Cause(ctx); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if w := c.workers[id]; w == nil || w.Availability != brain.Ready || c.refusing {
			return ErrNotReady
		}
		return nil
	})
}

// OpenAttempts returns, by worker name, how many attempts are out at each worker that has any.
func (c *Core) OpenAttempts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for id, w := range c.workers {
		if n := c.sched.OpenAttempts(id); n > 0 {
			out[w.Name] = n
		}
	}
	return out
}
