package replica_test

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/mesh/replica"
)

var drawnEntry = rapid.Custom(func(t *rapid.T) replica.Entry {
	return replica.Entry{
		Key: rapid.StringMatching(`[ab]/[0-9]{1,2}`).Draw(t, "key"),
		Version: replica.Version{
			Major: rapid.Uint64Range(0, 2).Draw(t, "major"),
			Minor: rapid.Uint64Range(0, 3).Draw(t, "minor"),
		},
		Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")),
	}
})

// Given any entries, when two copies merge them in any order, in any batches and some of them twice, then the copies and
// their digests are equal.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(drawnEntry).Draw(t, "entries")
		repeated := rapid.SliceOf(rapid.SampledFrom(append(entries, replica.Entry{Key: "a/0", Value: []byte{}}))).Draw(t, "again")
		shuffled := rapid.Permutation(append(slices.Clone(entries), repeated...)).Draw(t, "shuffled")
		one := mapOf(append(slices.Clone(entries), repeated...)...)
		other := replica.New()
		for _, merged := range shuffled {
			other.Merge([]replica.Entry{merged})
		}
		assert(t, one.Prefix(""), qt.DeepEquals, other.Prefix(""))
		assert(t, one.Digest(), qt.Equals, other.Digest())
	})
}

// Given any merges and removals, when the map is compared with a plain model, then both are equal; and the incrementally
// maintained digest equals that of a newly built map.
func TestMapAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicated := replica.New()
		model := make(map[string]replica.Entry)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			changed := drawnEntry.Draw(t, "entry")
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				replicated.Forget(changed.Key)
				delete(model, changed.Key)
				continue
			}
			for _, accepted := range replicated.Merge([]replica.Entry{changed}) {
				model[accepted.Key] = accepted
			}
		}
		checkModel(t, replicated, model)
	})
}

func checkModel(t *rapid.T, replicated *replica.Map, model map[string]replica.Entry) {
	prefix := rapid.SampledFrom([]string{"", "a/", "a/1", "b/", "c/"}).Draw(t, "prefix")
	var want []replica.Entry
	rebuilt := replica.New()
	for key, modelled := range model {
		rebuilt.Merge([]replica.Entry{modelled})
		if strings.HasPrefix(key, prefix) {
			want = append(want, modelled)
		}
	}
	slices.SortFunc(want, func(a, b replica.Entry) int { return strings.Compare(a.Key, b.Key) })
	assert(t, replicated.Prefix(prefix), qt.DeepEquals, want)
	assert(t, replicated.Len(), qt.Equals, len(model))
	assert(t, replicated.Digest(), qt.Equals, rebuilt.Digest())
}

// Given two copies that differ, when they repair each other in small batches, then they become equal.
func TestRepairConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := mapOf(rapid.SliceOf(drawnEntry).Draw(t, "one")...)
		other := mapOf(rapid.SliceOf(drawnEntry).Draw(t, "other")...)
		limit := rapid.IntRange(1, 200).Draw(t, "limit")
		rounds := one.Len() + other.Len()
		for range rounds {
			other.Merge(one.Missing(other.Digest(), limit))
			one.Merge(other.Missing(one.Digest(), limit))
		}
		assert(t, one.Digest().Sum(), qt.Equals, other.Digest().Sum())
		assert(t, one.Prefix(""), qt.DeepEquals, other.Prefix(""))
	})
}

// Given a tombstone that some copies have already forgotten, when all copies continue to exchange entries, then a copy that
// has received the tombstone never holds the removed entry again.
func TestForgottenEntriesAreNotResurrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alive, tombstone := entry("a", 1, "x"), entry("a", 2, "")
		copies := []*replica.Map{mapOf(alive), mapOf(alive), mapOf(tombstone)}
		received := []bool{false, false, true}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			if from == to && received[from] {
				copies[from].Forget("a")
				continue
			}
			copies[to].Merge(copies[from].Missing(copies[to].Digest(), 1000))
			found, known := copies[to].Get("a")
			isTombstone := known && found.Version == tombstone.Version
			assert(t, received[to] && known && !isTombstone, qt.IsFalse)
			received[to] = received[to] || isTombstone
		}
	})
}
