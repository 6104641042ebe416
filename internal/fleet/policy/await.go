package policy

import (
	"context"
	"errors"
	"time"

	"sumacloft/internal/decide/rollout"
)

// look is how often a waiting proposer looks where nothing tells it to.
const look = 250 * time.Millisecond

// Await waits for the outcome of a change, moves it on where no router does, and tells each view of it. When ctx ends
// first the change is given as it was seen last, with the context's error: the outcome is not known yet.
func (s Store) Await(ctx context.Context, id string, tell func(rollout.View, rollout.Change)) (rollout.Change, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	changed := make(chan int, 1)
	go s.Notify(ctx, live, func(endpoint int) { trigger(changed, endpoint) })
	var driver rollout.Driver
	var last rollout.Change
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-changed:
		case <-wake.C:
		}
		wake.Reset(look)
		v, err := s.View(ctx)
		if err != nil {
			continue
		}
		if v.Change == nil || v.Change.ID != id { // ended, and another has begun
			if c, err := s.Outcome(ctx, id); err == nil || ctx.Err() == nil && errors.Is(err, ErrNoChange) {
				return c, err
			}
			continue
		}
		last = *v.Change
		tell(v, last)
		if last.Phase.Done() {
			return last, nil
		}
		now := clock()
		next, due := driver.Next(v, now)
		if next != nil {
			_, _ = s.move(ctx, v.Change.Rev, next) // what it made is read next
			wake.Reset(time.Millisecond)
		} else if due > 0 {
			wake.Reset(min(look, max(due-now, time.Millisecond)))
		}
	}
}
