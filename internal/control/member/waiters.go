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
	groups map[string]*watchGroup
}

// watchGroup are the watches that wait for the next put in one group.
type watchGroup struct {
	updated chan struct{} // closed at the put
	count   int
}

// wait waits for the put, at most for so long or until the context ends.
func (w *watchGroup) wait(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func newWaiters() *waiters { return &waiters{groups: map[string]*watchGroup{}} }

// join has a watch wait; call leave once it does no longer.
func (w *waiters) join(scope string) *watchGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := w.groups[scope]
	if group == nil {
		group = &watchGroup{updated: make(chan struct{})}
		w.groups[scope] = group
	}
	group.count++
	return group
}

func (w *waiters) leave(scope string, group *watchGroup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group.count--
	if group.count == 0 && w.groups[scope] == group {
		delete(w.groups, scope)
	}
}

// wake ends the waiting in a group.
func (w *waiters) wake(scope string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if group := w.groups[scope]; group != nil {
		close(group.updated)
		delete(w.groups, scope)
	}
}

// wakeAll ends it in all groups.
func (w *waiters) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, group := range w.groups {
		close(group.updated)
	}
	clear(w.groups)
}
