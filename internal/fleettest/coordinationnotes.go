package fleettest

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sumacloft/internal/control/coordination"
)

// coordinationNotes are what applications saw of locks, numbers and keys, and what of it breaks a promise.
type coordinationNotes struct {
	mu      sync.Mutex
	faults  []string
	holds   map[string][]*hold
	numbers map[string][]drawnNumber
	puts    []*putNote
	reads   []readNote
	spans   []spanNote
}

// hold is a time in which a caller counts itself the holder of a lock.
type hold struct {
	owner     string
	fence     uint64
	sent, got time.Duration // of the call that got it
	until     time.Duration // as the caller counts
}

// drawnNumber is a number that was drawn.
type drawnNumber struct {
	value     uint64
	sent, got time.Duration
}

// putNote is what came of a put, over all its calls.
type putNote struct {
	key, amount string
	expected    uint64
	revision    uint64 // 0: none was told
	refused     bool
	sent, got   time.Duration // of the first call, and of the first answer with the revision
	events      map[uint64]bool
}

// readNote is what a read showed; revision 0: there was no key.
type readNote struct {
	key, amount string
	revision    uint64
	sent        time.Duration
}

// spanNote is what a watch told.
type spanNote struct {
	group       string
	after, upTo uint64
	events      []coordination.Event
}

func newCoordinationNotes() *coordinationNotes {
	return &coordinationNotes{holds: map[string][]*hold{}, numbers: map[string][]drawnNumber{}}
}

func (n *coordinationNotes) fault(text string, values ...any) {
	n.faults = append(n.faults, fmt.Sprintf(text, values...))
}

func (n *coordinationNotes) granted(a *Application, lock string, fence uint64, sent, got, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.holds[lock] {
		if other.owner != a.Owner && other.fence >= fence && other.got <= sent {
			n.fault("lock %s: fence %d to %s after %d to %s", lock, fence, a.Owner, other.fence, other.owner)
		}
		if other.owner != a.Owner && other.fence == fence {
			n.fault("lock %s: fence %d to %s and to %s", lock, fence, a.Owner, other.owner)
		}
		if other.owner == a.Owner && other.until > sent {
			other.until = min(other.until, got) // the caller goes by the new one
		}
	}
	n.holds[lock] = append(n.holds[lock], &hold{owner: a.Owner, fence: fence, sent: sent, got: got, until: sent + length})
}

// find is a caller's hold with a fence. The lock of the notes is held.
func (n *coordinationNotes) find(a *Application, lock string, fence uint64) *hold {
	for _, one := range n.holds[lock] {
		if one.owner == a.Owner && one.fence == fence {
			return one
		}
	}
	return nil
}

func (n *coordinationNotes) renewed(a *Application, lock string, fence uint64, sent, got, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if one := n.find(a, lock, fence); one != nil && got < one.until {
		one.until = max(one.until, sent+length)
	}
}

func (n *coordinationNotes) finished(a *Application, lock string, fence uint64, sent time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if one := n.find(a, lock, fence); one != nil {
		one.until = min(one.until, sent)
	}
}

// until tells until when a caller counts itself the holder.
func (n *coordinationNotes) until(a *Application, lock string, fence uint64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if one := n.find(a, lock, fence); one != nil {
		return one.until
	}
	return 0
}

func (n *coordinationNotes) drawn(name, amount string, sent, got time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	value, err := strconv.ParseUint(amount, 10, 64)
	if err != nil {
		n.fault("number %s: %q", name, amount)
	}
	for _, other := range n.numbers[name] {
		if other.value == value || other.got <= sent && other.value > value || got <= other.sent && other.value < value {
			n.fault("number %s: %d and %d", name, other.value, value)
		}
	}
	n.numbers[name] = append(n.numbers[name], drawnNumber{value: value, sent: sent, got: got})
}

func (n *coordinationNotes) put(key, amount string, expected uint64, answer reply, sent, got time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var note *putNote
	for _, one := range n.puts {
		if one.key == key && one.amount == amount {
			note = one
		}
	}
	if note == nil {
		note = &putNote{key: key, amount: amount, expected: expected, sent: sent, events: map[uint64]bool{}}
		n.puts = append(n.puts, note)
	}
	switch answer.Status {
	case http.StatusOK:
		if note.revision != 0 && note.revision != answer.Revision {
			n.fault("put %s=%s got revision %d and then %d", key, amount, note.revision, answer.Revision)
		}
		if note.revision == 0 {
			note.revision, note.got = answer.Revision, got
		}
	case http.StatusPreconditionFailed:
		note.refused = true
	}
}

func (n *coordinationNotes) read(key string, answer reply, sent time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reads = append(n.reads, readNote{key: key, amount: answer.text(), revision: answer.Revision, sent: sent})
}

func (n *coordinationNotes) watched(group string, after uint64, answer reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if answer.Status == http.StatusGone {
		n.fault("watch of %s after %d: its events are forgotten", group, after)
		return
	}
	span := spanNote{group: group, after: after, upTo: answer.Revision}
	for _, event := range answer.Events {
		span.events = append(span.events, coordination.Event{Key: event.Name, Amount: event.Amount, Revision: event.Revision})
	}
	n.spans = append(n.spans, span)
}
