package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request without an answer whose time is up (docs/incidents/empty-200.md): the end of a context by its
// own deadline does not mean that the client has left. After a pause of the process all timers of a request fire at once.
func TestExpiredContextStillGetsAnAnswer(t *testing.T) {
	const requests = 64
	for name, given := range map[string]struct {
		timeout  time.Duration // of the request
		ends     time.Duration // when its context ends
		shutdown time.Duration // when all undecided requests are ended; 0: never
	}{
		"before the scheduler decides":        {2 * limit, limit, 0},
		"at the moment the scheduler decides": {limit, limit, 0},
		"when the request is overdue":         {limit, limit + overdueAfter, 0},
		"with its answer in the inbox":        {2 * limit, limit, limit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := startCore(t, "r1", "w1")
				if given.shutdown > 0 {
					time.AfterFunc(given.shutdown, func() { c.EndUndecided() })
				}
				var all sync.WaitGroup
				for range requests {
					f := &fake{class: unsafe, left: given.timeout}
					f.try = func(ctx context.Context, _ Worker, _ func() error) (Reply, error) {
						<-ctx.Done()
						return Reply{}, &AttemptError{Stage: Written, Err: context.Cause(ctx)}
					}
					all.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), given.ends)
						defer cancel()
						c.Do(ctx, f, f)
						if answer := f.joined(&f.answers); answer != "failed" && answer != "refused" {
							t.Errorf("the request ended with the answer %q", answer)
						}
					})
				}
				all.Wait()
				if abandoned := c.Decisions().Abandoned; abandoned != 0 {
					t.Errorf("%d requests count as abandoned by their clients", abandoned)
				}
			})
		})
	}
}

// A client that has left gets no answer, and that is counted.
func TestClientThatLeftIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startCore(t, "r1", "w1")
		f := &fake{class: unsafe, left: limit}
		f.try = func(ctx context.Context, _ Worker, _ func() error) (Reply, error) {
			<-ctx.Done()
			return Reply{}, &AttemptError{Stage: Written, Err: context.Cause(ctx)}
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(limit/2, leave)
		c.Do(ctx, f, f)
		if answer := f.joined(&f.answers); answer != "" {
			t.Errorf("a client that left got the answer %q", answer)
		}
		if abandoned := c.Decisions().Abandoned; abandoned != 1 {
			t.Errorf("%d requests count as abandoned, want 1", abandoned)
		}
	})
}
