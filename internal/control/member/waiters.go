package member

import (
	"context"
	"sync"
	"time"
)

// waiters are the watches that wait at this member, by their group of keys. A group is held only while one waits: callers
// name what they like.
type waiters struct {
	mu     sync.Mutex
	groups map[string]*waiting
}

// waiting are the watches that wait for the next put in one group.
type waiting struct {
	news  chan struct{} // closed at the put
	count int
}

// wait waits for the put, at most for so long or until the context ends.
func (w *waiting) wait(ctx context.Context, most time.Duration) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	select {
	case <-w.news:
	case <-limit.C:
	case <-ctx.Done():
	}
}

func newWaiters() *waiters { return &waiters{groups: map[string]*waiting{}} }

// join has a watch wait; call leave once it does no longer.
func (w *waiters) join(scope string) *waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	joined := w.groups[scope]
	if joined == nil {
		joined = &waiting{news: make(chan struct{})}
		w.groups[scope] = joined
	}
	joined.count++
	return joined
}

func (w *waiters) leave(scope string, joined *waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	joined.count--
	if joined.count == 0 && w.groups[scope] == joined {
		delete(w.groups, scope)
	}
}

// wake ends the waiting in a group.
func (w *waiters) wake(scope string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if joined := w.groups[scope]; joined != nil {
		close(joined.news)
		delete(w.groups, scope)
	}
}

// wakeAll ends it in all groups.
func (w *waiters) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, joined := range w.groups {
		close(joined.news)
	}
	clear(w.groups)
}
