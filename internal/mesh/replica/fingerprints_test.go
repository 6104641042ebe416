package replica_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/mesh/replica"
)

// compare synchronizes two copies as two routers do: one lists the fingerprints that it holds, the other returns the entries
// that the first lacks and requests those that it lacks itself.
func compare(one, other *replica.Map, limit int) (sent int) {
	mine := one.Digest()
	entries, wanted := other.Compare(mine, one.DifferingFingerprints(other.Digest()), limit)
	one.Merge(entries)
	returned := one.ByFingerprint(wanted, limit)
	other.Merge(returned)
	return len(entries) + len(returned)
}

func entryAt(key int, version uint64) replica.Entry {
	return replica.Entry{Key: fmt.Sprintf("k%d", key), Version: replica.Version{Minor: version}, Value: []byte{byte(version)}}
}

func TestComparedCopiesBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Given two copies that received different entries of the same keys,
		entries := rapid.Custom(func(t *rapid.T) replica.Entry {
			return entryAt(rapid.IntRange(0, 200).Draw(t, "key"), uint64(rapid.IntRange(0, 3).Draw(t, "version")))
		})
		one, other := replica.New(), replica.New()
		one.Merge(rapid.SliceOfN(entries, 0, 300).Draw(t, "one"))
		other.Merge(rapid.SliceOfN(entries, 0, 300).Draw(t, "other"))
		limit := rapid.SampledFrom([]int{1, 200, 1 << 20}).Draw(t, "limit")
		// when they are compared repeatedly, then they become equal, however small the limit.
		for round := 0; one.Digest() != other.Digest(); round++ {
			if round > 500 {
				t.Fatal("the copies still differ")
			}
			compare(one, other, limit)
		}
	})
}

func TestOnlyDifferingEntriesAreSent(t *testing.T) {
	c := qt.New(t)
	// Given copies of a large fleet's state that differ in three entries: one newer on each side and one on one side only,
	one, other := replica.New(), replica.New()
	for key := range 500 {
		one.Merge([]replica.Entry{entryAt(key, 1)})
		other.Merge([]replica.Entry{entryAt(key, 1)})
	}
	one.Merge([]replica.Entry{entryAt(3, 2), entryAt(700, 1)})
	other.Merge([]replica.Entry{entryAt(9, 2)})
	// when they are compared, then only the lacking entries are transferred: outdated ones are not sent back.
	c.Assert(compare(one, other, 1<<20), qt.Equals, 3+1)
	c.Assert(one.Digest(), qt.Equals, other.Digest())
}

func TestChangesListsDifferencesBetweenSnapshots(t *testing.T) {
	c := qt.New(t)
	// Given a map and an earlier snapshot of it,
	entries := replica.New()
	entries.Merge([]replica.Entry{entryAt(1, 1), entryAt(2, 1), entryAt(3, 1), entryAt(5, 1), {Key: "other", Version: replica.Version{Minor: 1}}})
	before := entries.Snapshot()
	changed, removed := before.Changes(before, "k")
	c.Assert(len(changed)+len(removed), qt.Equals, 0)
	// when entries are added, changed and forgotten, then exactly these are listed.
	entries.Merge([]replica.Entry{entryAt(2, 2), entryAt(4, 1), {Key: "other", Version: replica.Version{Minor: 2}}})
	entries.Forget("k1", "k5")
	changed, removed = entries.Snapshot().Changes(before, "k")
	c.Assert(changed, qt.DeepEquals, []replica.Entry{entryAt(2, 2), entryAt(4, 1)})
	c.Assert(removed, qt.DeepEquals, []string{"k1", "k5"})
}
