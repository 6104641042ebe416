package core

import (
	"context"
	"time"
)

const (
	// releaseTryTimeout is how long one worker is given to take a release, releaseLimit how long it is tried at all:
	// what is held must be let go within 500 ms, and while connections fail to come up that time runs on.
	releaseTryTimeout = 120 * time.Millisecond
	releaseTimeout    = 5 * time.Second
	releaseRetryDelay = 5 * time.Millisecond
	// releaseHedgeDelay is after how long the next worker is asked beside one that has not answered. Where a zone is cut off most
	// of those asked may be silent, and one after the other they would use up all the time that there is.
	releaseHedgeDelay = 30 * time.Millisecond
)

// release lets go of what is held for a job: any worker may be told, so it asks one after the other until one
// has taken it, not waiting long for any.
func (c *Core) release(job Job) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel() // also calls off the others that were asked
	taken := make(chan error)
	ask := func(w Worker) {
		began := time.Now()
		try, done := context.WithTimeout(ctx, releaseTryTimeout)
		defer done()
		err := job.Release(try, w)
		if err != nil && ctx.Err() == nil {
			c.log.WithField("worker", w.Name).WithError(err).Debug("release not taken")
		}
		if err != nil && time.Since(began) >= releaseHedgeDelay { // the next one was asked meanwhile
			return
		}
		select {
		case taken <- err:
		case <-ctx.Done():
		}
	}
	next := time.NewTimer(0)
	defer next.Stop()
	wait := func(limit time.Duration) (done bool) { // until one has answered
		next.Reset(limit)
		select {
		case <-ctx.Done():
			return false
		case <-next.C:
			return false
		case err := <-taken:
			return err == nil
		}
	}
	for ctx.Err() == nil {
		for _, w := range c.ready() {
			go ask(w)
			if wait(releaseHedgeDelay) {
				return
			}
		}
		if wait(releaseRetryDelay) {
			return
		}
	}
	c.log.Warn("a release found no worker")
}
