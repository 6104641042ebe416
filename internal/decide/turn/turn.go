// Package turn contains what the deciders of control loops share: the age of record revisions by a router's own clock, the
// order in which routers write, and counts of decisions judged in hindsight. It does no I/O and reads no clock: the time is
// an argument, monotonic and of any origin.
package turn

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RevisionAges remembers when revisions of records were first seen. It uses the clock of this process only, so an age is
// never longer than the true one: a decider that takes over from another may wait longer, never shorter.
type RevisionAges struct{ seen map[string]observation }

type observation struct {
	rev int64
	at  time.Duration
}

// Age returns how long a record has been at a revision, as far as this process has seen.
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

// Retain drops all records for which keep returns false.
func (a *RevisionAges) Retain(keep func(key string) bool) {
	for key := range a.seen {
		if !keep(key) {
			delete(a.seen, key)
		}
	}
}

// Rank returns a router's position among others, by rendezvous hashing with the loop's salt. 0 is the first.
func Rank(salt, self string, others []string) (rank int) {
	weight := func(name string) uint64 { return xxhash.Sum64String(salt + "\x00" + name) }
	for _, name := range others {
		if name != self && weight(name) < weight(self) {
			rank++
		}
	}
	return rank
}

// WriteDelay decides whether it is a router's turn to perform a pending write. Each router waits one step longer than the
// router ranked before it.
type WriteDelay struct {
	pending bool
	since   time.Duration
}

// Clear records that no write is pending.
func (d *WriteDelay) Clear() { d.pending = false }

// Elapsed records that a write is pending and reports whether the delay of the router with the given rank has passed.
func (d *WriteDelay) Elapsed(rank int, step, now time.Duration) bool {
	if !d.pending {
		d.pending, d.since = true, now
	}
	return now >= d.since+time.Duration(rank)*step
}
