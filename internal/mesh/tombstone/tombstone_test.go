package tombstone_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/tombstone"
)

// interval is the time between two calls of Expire.
const interval = time.Second

// tombstoneOf is the tombstone of a key, and liveEntry the entry that it supersedes.
func tombstoneOf(key string, major uint64) replica.Entry {
	return replica.Entry{Key: key, Version: replica.Version{Major: major}}
}

func liveEntry(key string) replica.Entry { return replica.Entry{Key: key, Value: []byte("live")} }

// expireRepeatedly calls Expire at regular intervals in (from, to] and collects the keys that it returns.
func expireRepeatedly(tracker *tombstone.Tracker, from, to time.Duration, tombstones ...replica.Entry) (keys []string) {
	for now := from + interval; now <= to; now += interval {
		keys = append(keys, tracker.Expire(now, tombstones)...)
	}
	return keys
}

func TestTombstonesAreKeptForTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	grace, last := tombstone.Grace, tombstone.Grace+2*interval

	c.Run("given a tombstone, when the grace period is over, then it may be dropped", func(c *qt.C) {
		tracker := tombstone.New()
		c.Assert(expireRepeatedly(tracker, 0, grace+interval, tombstoneOf("a", 2)), qt.HasLen, 0)
		c.Assert(expireRepeatedly(tracker, grace+interval, last, tombstoneOf("a", 2)), qt.DeepEquals, []string{"a"})
	})

	c.Run("given a tombstone whose major version grows, then its grace period starts again", func(c *qt.C) {
		tracker := tombstone.New()
		expireRepeatedly(tracker, 0, grace/2, tombstoneOf("a", 0))
		c.Assert(expireRepeatedly(tracker, grace/2, last, tombstoneOf("a", 2)), qt.HasLen, 0)
	})

	c.Run("given a superseded tombstone, when the key has one again, then its grace period starts again", func(c *qt.C) {
		tracker := tombstone.New()
		expireRepeatedly(tracker, 0, grace/2, tombstoneOf("a", 0))
		expireRepeatedly(tracker, grace/2, grace/2+interval)
		c.Assert(expireRepeatedly(tracker, grace/2+interval, last, tombstoneOf("a", 0)), qt.HasLen, 0)
	})

	c.Run("given a router that was halted, then grace periods start again", func(c *qt.C) {
		tracker := tombstone.New()
		expireRepeatedly(tracker, 0, grace/2, tombstoneOf("a", 2))
		c.Assert(expireRepeatedly(tracker, 2*grace, 3*grace, tombstoneOf("a", 2)), qt.HasLen, 0)
		c.Assert(expireRepeatedly(tracker, 3*grace, 3*grace+2*interval, tombstoneOf("a", 2)), qt.DeepEquals, []string{"a"})
	})
}

// tombstones lists the tombstones of a copy.
func tombstones(replicated *replica.Map) (found []replica.Entry) {
	for _, entry := range replicated.Prefix("") {
		if entry.Version.Major > 0 {
			found = append(found, entry)
		}
	}
	return found
}

// Given many incarnations that end one after the other, then a copy holds only the tombstones of one grace period, however
// many incarnations have ended before.
func TestCopiesStayBoundedOverManyIncarnations(t *testing.T) {
	c := qt.New(t)
	const perSecond, seconds = 20, 1000
	replicated, tracker := replica.New(), tombstone.New()
	largest := 0
	for second := range seconds {
		for number := range perSecond {
			replicated.Merge([]replica.Entry{tombstoneOf(fmt.Sprintf("%d/%d", second, number), 2)})
		}
		replicated.Forget(tracker.Expire(time.Duration(second)*interval, tombstones(replicated))...)
		largest = max(largest, replicated.Len())
	}
	bound := perSecond * int(tombstone.Grace/interval+2)
	c.Assert(largest <= bound, qt.IsTrue, qt.Commentf("%d entries, of %d incarnations", largest, perSecond*seconds))
}

// Given copies that exchange entries and drop tombstones after the grace period, when one copy is partitioned for any time
// and returns with its old entries, then no copy that has received a tombstone holds the superseded entry again.
func TestStaleEntriesAreNotResurrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copies = 3
		maps, trackers := [copies]*replica.Map{}, [copies]*tombstone.Tracker{}
		for i := range copies {
			maps[i], trackers[i] = replica.New(), tombstone.New()
			maps[i].Merge([]replica.Entry{liveEntry("a")})
		}
		maps[0].Merge([]replica.Entry{tombstoneOf("a", 2)})
		grace := int(tombstone.Grace / interval)
		cutFrom := rapid.IntRange(0, 3).Draw(t, "cut from")
		cutTo := cutFrom + rapid.IntRange(0, 3*grace).Draw(t, "cut for")
		received := [copies]bool{true}
		for second := range cutTo + 3*grace {
			one := rapid.IntRange(0, copies-1).Draw(t, "one")
			other := (one + 1) % copies
			cut := second >= cutFrom && second < cutTo && (one == copies-1 || other == copies-1)
			if !cut {
				maps[other].Merge(maps[one].Missing(maps[other].Digest(), 1000))
				maps[one].Merge(maps[other].Missing(maps[one].Digest(), 1000))
			}
			for i := range copies {
				entry, known := maps[i].Get("a")
				if known && entry.Version.Major == 0 && received[i] {
					t.Fatalf("second %d: copy %d holds an entry again that a tombstone had superseded", second, i)
				}
				received[i] = received[i] || known && entry.Version.Major > 0
				maps[i].Forget(trackers[i].Expire(time.Duration(second)*interval, tombstones(maps[i]))...)
			}
		}
	})
}
