package ring_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/mesh/ring"
)

var drawnMembers = rapid.SliceOfNDistinct(rapid.StringMatching(`r[0-9]{1,3}`), 1, 40, rapid.ID[string])

func fleet(size int) []string {
	var members []string
	for number := range size {
		members = append(members, fmt.Sprintf("router-%d", number))
	}
	return members
}

func TestWatchersOfSmallFleets(t *testing.T) {
	c := qt.New(t)

	c.Run("given a single router, when asked for watchers, then it has none", func(c *qt.C) {
		c.Assert(ring.Watchers("a", []string{"a"}, 3), qt.HasLen, 0)
		c.Assert(ring.Watchers("a", nil, 3), qt.HasLen, 0)
		c.Assert(ring.Watched("a", nil, 3), qt.HasLen, 0)
	})

	c.Run("given fewer others than requested, when asked for watchers, then all others watch", func(c *qt.C) {
		watchers := ring.Watchers("a", []string{"c", "b", "a", "b"}, 3)
		slices.Sort(watchers)
		c.Assert(watchers, qt.DeepEquals, []string{"b", "c"})
	})

	c.Run("given a count of zero or less, when asked for members, then the result is empty", func(c *qt.C) {
		c.Assert(ring.Watchers("a", fleet(5), 0), qt.HasLen, 0)
		c.Assert(ring.Watched("a", fleet(5), -1), qt.HasLen, 0)
		c.Assert(ring.Spread(1, "a", fleet(5), -1, nil), qt.HasLen, 0)
	})
}

// Given any members in any order, when the watchers of each are computed, then these are distinct others, the same for
// every order, and Watched is the inverse.
func TestWatchedIsTheConverseOfWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawnMembers.Draw(t, "members")
		count := rapid.IntRange(0, 6).Draw(t, "count")
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		for _, self := range members {
			watchers := ring.Watchers(self, members, count)
			assert(t, watchers, qt.HasLen, min(count, len(members)-1))
			assert(t, slices.Contains(watchers, self), qt.IsFalse)
			assert(t, ring.Watchers(self, shuffled, count), qt.DeepEquals, watchers)
			for _, other := range members {
				watches := slices.Contains(watchers, other)
				watched := slices.Contains(ring.Watched(other, members, count), self)
				assert(t, watched, qt.Equals, watches)
			}
		}
	})
}

// Given any members, when one joins or leaves, then watchers change only for the at most count members that it watches,
// and each of these replaces a single watcher.
func TestChangesAffectNeighboursOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with := drawnMembers.Draw(t, "members")
		count := rapid.IntRange(1, 5).Draw(t, "count")
		changed := rapid.SampledFrom(with).Draw(t, "changed")
		without := slices.DeleteFunc(slices.Clone(with), func(id string) bool { return id == changed })
		affected := ring.Watched(changed, with, count)
		assert(t, len(affected) <= count, qt.IsTrue)
		for _, self := range without {
			before := ring.Watchers(self, with, count)
			after := ring.Watchers(self, without, count)
			if !slices.Contains(affected, self) {
				assert(t, after, qt.DeepEquals, before)
				continue
			}
			kept := slices.DeleteFunc(before, func(id string) bool { return id == changed })
			assert(t, after[:len(kept)], qt.DeepEquals, kept)
		}
	})
}

// Given any members, when targets are drawn, then they are distinct, neither self nor excluded, as many as requested and
// available, and the same for the same seed whatever the order of the members.
func TestSpreadExcludesSelfAndExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawnMembers.Draw(t, "members")
		self := rapid.SampledFrom(members).Draw(t, "self")
		seed := rapid.Uint64().Draw(t, "seed")
		count := rapid.IntRange(0, 6).Draw(t, "count")
		exclude := make(map[string]struct{})
		for _, id := range rapid.SliceOf(rapid.SampledFrom(members)).Draw(t, "exclude") {
			exclude[id] = struct{}{}
		}
		targets := ring.Spread(seed, self, members, count, exclude)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		assert(t, ring.Spread(seed, self, shuffled, count, exclude), qt.DeepEquals, targets)
		exclude[self] = struct{}{}
		assert(t, targets, qt.HasLen, min(count, len(members)-len(exclude)))
		for _, id := range targets {
			_, excluded := exclude[id]
			assert(t, excluded, qt.IsFalse)
		}
		assert(t, slices.Compact(slices.Sorted(slices.Values(targets))), qt.HasLen, len(targets))
	})
}

func TestSpreadIsFair(t *testing.T) {
	c := qt.New(t)
	// Given a fleet of 20 routers, when 4 targets are drawn for each of 5,000 seeds,
	members := fleet(20)
	drawn := make(map[string]int)
	for seed := range uint64(5000) {
		for _, id := range ring.Spread(seed, members[0], members, 4, nil) {
			drawn[id]++
		}
	}
	// then each of the 19 others is drawn about equally often: the expected count is 1,053.
	c.Assert(drawn, qt.HasLen, 19)
	for id, times := range drawn {
		c.Assert(times > 900 && times < 1200, qt.IsTrue, qt.Commentf("%s was drawn %d times", id, times))
	}
}
