// Package turn holds what deciders on a control loop share: how long something has stood by a router's own clock, which
// reports are still believed, and whose turn it is to write. It does no I/O and knows no clock: the time is an
// argument, monotonic and of any origin.
package turn

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RevisionAges remembers when revisions of records were first seen. No clock of another process is asked: what it gives is
// never longer than the truth, so a decider that takes over from another may wait longer, never shorter.
type RevisionAges struct{ seen map[string]observation }

type observation struct {
	rev int64
	at  time.Duration
}

// Age tells for how long a record has been at a revision, as far as was seen.
func (a *RevisionAges) Age(key string, rev int64, now time.Duration) time.Duration {
	if a.seen == nil {
		a.seen = map[string]observation{}
	}
	first, known := a.seen[key]
	if !known || first.rev != rev {
		first = observation{rev, now}
		a.seen[key] = first
	}
	return now - first.at
}

// Retain forgets all records but those that are named by a test.
func (a *RevisionAges) Retain(keep func(key string) bool) {
	for key := range a.seen {
		if !keep(key) {
			delete(a.seen, key)
		}
	}
}

// Rank is a router's turn among others, by rendezvous hashing under a loop's salt: 0 is the first.
func Rank(salt, self string, others []string) (rank int) {
	weight := func(name string) uint64 { return xxhash.Sum64String(salt + "\x00" + name) }
	for _, name := range others {
		if name != self && weight(name) < weight(self) {
			rank++
		}
	}
	return rank
}

// WriteDelay tells whether it is a router's turn to write what has been due for a while: each next router waits a step longer
// than the one before it.
type WriteDelay struct {
	pending bool
	since   time.Duration
}

// Clear says that nothing is due.
func (d *WriteDelay) Clear() { d.pending = false }

// Elapsed says that something is due, and tells whether the router of a rank writes it.
func (d *WriteDelay) Elapsed(rank int, step, now time.Duration) bool {
	if !d.pending {
		d.pending, d.since = true, now
	}
	return now >= d.since+time.Duration(rank)*step
}
