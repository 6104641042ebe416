package core

import (
	"context"
	"time"
)

const (
	// releaseTryTimeout is the time limit of a release at one worker, releaseTimeout that of all tries. State must be
	// released within 500 ms, but while connections fail to come up the tries go on for longer.
	releaseTryTimeout = 120 * time.Millisecond
	releaseTimeout    = 5 * time.Second
	releaseRetryDelay = 5 * time.Millisecond
	// releaseHedgeDelay is when the next worker is asked in parallel to one that has not answered. If a zone is cut
	// off, most of the workers may be silent, and asking them in sequence would take all of the time.
	releaseHedgeDelay = 30 * time.Millisecond
)

// release frees what is held for a job. Any worker can take the release, so it asks one after the other until one has
// taken it, without waiting long for any.
func (c *Core) release(job Job) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel() // also cancels the other releases under way
	taken := make(chan error)
	ask := func(w Worker) {
		began := time.Now()
		try, done := context.WithTimeout(ctx, releaseTryTimeout)
		defer done()
		err := job.Release(try, w)
		if err != nil && ctx.Err() == nil {
			c.log.WithField("worker", w.Name).WithError(err).Debug("release failed at a worker")
		}
		if err != nil && time.Since(began) >= releaseHedgeDelay { // the next worker was asked meanwhile
			return
		}
		select {
		case taken <- err:
		case <-ctx.Done():
		}
	}
	next := time.NewTimer(0)
	defer next.Stop()
	wait := func(limit time.Duration) (done bool) { // until a worker has answered
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
	c.log.Warn("release failed: no worker took it in time")
}
