package member

import (
	"context"
	"sync"
	"time"
)

// waiters holds the watches that wait at this member, by group of keys. Callers choose the names of groups, so a group is
// kept only while a watch waits for it.
type waiters struct {
	mu     sync.Mutex
	groups map[string]*watchGroup
}

// watchGroup is the set of watches that wait for the next write in one group.
type watchGroup struct {
	updated chan struct{} // closed on a write
	count   int
}

// wait blocks until the next write, the timeout or the end of the context.
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

// join registers a watch. Call leave when it stops waiting.
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

// wake wakes the watches of a group.
func (w *waiters) wake(scope string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if group := w.groups[scope]; group != nil {
		close(group.updated)
		delete(w.groups, scope)
	}
}

// wakeAll wakes the watches of all groups.
func (w *waiters) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, group := range w.groups {
		close(group.updated)
	}
	clear(w.groups)
}
