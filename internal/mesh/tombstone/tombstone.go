// Package tombstone decides when a router's copy of the replicated map may drop tombstones: entries which record that a
// worker, router or order has ended. A tombstone has to stay until every copy has received it, and no longer: each
// incarnation of a worker leaves one.
//
// Copies compare digests once a second (the repair interval), so a copy that is connected receives what it missed within a
// few seconds. Grace is sixty such rounds: a copy that has not received the tombstone by then was partitioned. On its return
// it offers entries older than those that the others have dropped. replica.Map remembers the dropped tombstones and puts
// them back, and a new grace period begins. Only when later tombstones have filled that memory is an ended worker listed
// again, until its home misses its heartbeats.
//
// All routers must use the same Grace. While one copy has dropped an entry and another has not, their digests differ and
// each comparison transfers entries needlessly.
//
// The package performs no I/O, reads no clock and starts no goroutine.
package tombstone

import (
	"time"

	"sumacloft/internal/mesh/replica"
)

const (
	// Grace is how long a tombstone is kept.
	Grace = 60 * time.Second
	// maxGap is the time between two calls of Expire above which this router is taken to have been halted. It exchanged
	// nothing in that time, so all grace periods start again.
	maxGap = 5 * time.Second
)

// Tracker records when each tombstone was first seen. Use New.
type Tracker struct {
	sightings  map[string]sighting // by key
	lastExpire time.Duration       // time of the latest call of Expire
}

// sighting records when a tombstone was first seen.
type sighting struct {
	major uint64 // major version of the entry; a new one starts a new grace period
	since time.Duration
}

// New makes a tracker without tombstones.
func New() *Tracker { return &Tracker{sightings: map[string]sighting{}} }

// Expire takes all tombstones that the copy holds and returns the keys of those that it may drop. Call it about once a
// second; now is monotonic, from any origin.
func (t *Tracker) Expire(now time.Duration, tombstones []replica.Entry) (keys []string) {
	if now-t.lastExpire > maxGap {
		clear(t.sightings)
	}
	t.lastExpire = now
	sightings := make(map[string]sighting, len(tombstones))
	for _, entry := range tombstones {
		first, known := t.sightings[entry.Key]
		if !known || first.major != entry.Version.Major {
			first = sighting{major: entry.Version.Major, since: now}
		}
		if now-first.since > Grace {
			keys = append(keys, entry.Key)
			continue
		}
		sightings[entry.Key] = first
	}
	t.sightings = sightings
	return keys
}
