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

// dead is the tombstone of a key, and live the entry that it supersedes.
func dead(key string, finality uint64) replica.Entry {
	return replica.Entry{Key: key, Version: replica.Version{Major: finality}}
}

func live(key string) replica.Entry { return replica.Entry{Key: key, Value: []byte("live")} }

// looks calls Expire at regular intervals in (from, to] and collects the keys that it returns.
func looks(keeper *tombstone.Keeper, from, to time.Duration, tombstones ...replica.Entry) (keys []string) {
	for now := from + interval; now <= to; now += interval {
		keys = append(keys, keeper.Expire(now, tombstones)...)
	}
	return keys
}

func TestTombstonesAreKeptForTheGrace(t *testing.T) {
	c := qt.New(t)
	grace, last := tombstone.Grace, tombstone.Grace+2*interval

	c.Run("given a tombstone, when the grace period is over, then it may be dropped", func(c *qt.C) {
		keeper := tombstone.New()
		c.Assert(looks(keeper, 0, grace+interval, dead("a", 2)), qt.HasLen, 0)
		c.Assert(looks(keeper, grace+interval, last, dead("a", 2)), qt.DeepEquals, []string{"a"})
	})

	c.Run("given a tombstone whose major version grows, then its grace period starts again", func(c *qt.C) {
		keeper := tombstone.New()
		looks(keeper, 0, grace/2, dead("a", 0))
		c.Assert(looks(keeper, grace/2, last, dead("a", 2)), qt.HasLen, 0)
	})

	c.Run("given a superseded tombstone, when the key has one again, then its grace period starts again", func(c *qt.C) {
		keeper := tombstone.New()
		looks(keeper, 0, grace/2, dead("a", 0))
		looks(keeper, grace/2, grace/2+interval)
		c.Assert(looks(keeper, grace/2+interval, last, dead("a", 0)), qt.HasLen, 0)
	})

	c.Run("given a router that was halted, then grace periods start again", func(c *qt.C) {
		keeper := tombstone.New()
		looks(keeper, 0, grace/2, dead("a", 2))
		c.Assert(looks(keeper, 2*grace, 3*grace, dead("a", 2)), qt.HasLen, 0)
		c.Assert(looks(keeper, 3*grace, 3*grace+2*interval, dead("a", 2)), qt.DeepEquals, []string{"a"})
	})
}

// tombstones lists the tombstones of a copy.
func tombstones(copied *replica.Map) (found []replica.Entry) {
	for _, entry := range copied.Prefix("") {
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
	copied, keeper := replica.New(), tombstone.New()
	most := 0
	for second := range seconds {
		for number := range perSecond {
			copied.Merge([]replica.Entry{dead(fmt.Sprintf("%d/%d", second, number), 2)})
		}
		copied.Forget(keeper.Expire(time.Duration(second)*interval, tombstones(copied))...)
		most = max(most, copied.Len())
	}
	inGrace := perSecond * int(tombstone.Grace/interval+2)
	c.Assert(most <= inGrace, qt.IsTrue, qt.Commentf("%d entries, of %d incarnations", most, perSecond*seconds))
}

// Given copies that exchange entries and drop tombstones after the grace period, when one copy is partitioned for any time
// and returns with its old entries, then no copy that has received a tombstone holds the superseded entry again.
func TestLateNewsBringsNothingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copies = 3
		maps, keepers := [copies]*replica.Map{}, [copies]*tombstone.Keeper{}
		for i := range copies {
			maps[i], keepers[i] = replica.New(), tombstone.New()
			maps[i].Merge([]replica.Entry{live("a")})
		}
		maps[0].Merge([]replica.Entry{dead("a", 2)})
		grace := int(tombstone.Grace / interval)
		cutFrom := rapid.IntRange(0, 3).Draw(t, "cut from")
		cutTo := cutFrom + rapid.IntRange(0, 3*grace).Draw(t, "cut for")
		heard := [copies]bool{true}
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
				if known && entry.Version.Major == 0 && heard[i] {
					t.Fatalf("second %d: copy %d holds an entry again that a tombstone had superseded", second, i)
				}
				heard[i] = heard[i] || known && entry.Version.Major > 0
				maps[i].Forget(keepers[i].Expire(time.Duration(second)*interval, tombstones(maps[i]))...)
			}
		}
	})
}
