package replica_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/mesh/replica"
)

func entry(key string, major uint64, value string) replica.Entry {
	return replica.Entry{Key: key, Version: replica.Version{Major: major}, Value: []byte(value)}
}

func mapOf(entries ...replica.Entry) *replica.Map {
	replicated := replica.New()
	replicated.Merge(entries)
	return replicated
}

// forgetOthers merges and forgets the given number of other keys.
func forgetOthers(replicated *replica.Map, count int) {
	for number := range count {
		key := fmt.Sprint("other", number)
		replicated.Merge([]replica.Entry{entry(key, 1, "")})
		replicated.Forget(key)
	}
}

func TestMergeTakesTheNewerOfTwoVersions(t *testing.T) {
	c := qt.New(t)

	c.Run("given a key, when a larger version arrives, then it is accepted", func(c *qt.C) {
		replicated := mapOf(entry("a", 1, "old"))
		newer := entry("a", 2, "new")
		c.Assert(replicated.Merge([]replica.Entry{newer}), qt.DeepEquals, []replica.Entry{newer})
		found, known := replicated.Get("a")
		c.Assert(known, qt.IsTrue)
		c.Assert(found, qt.DeepEquals, newer)
		c.Assert(replicated.Revision(), qt.Equals, uint64(2))
	})

	c.Run("given a key, when a smaller version arrives, then nothing changes", func(c *qt.C) {
		replicated := mapOf(entry("a", 2, "new"))
		before := replicated.Digest()
		c.Assert(replicated.Merge([]replica.Entry{entry("a", 1, "old")}), qt.HasLen, 0)
		c.Assert(replicated.Revision(), qt.Equals, uint64(1))
		c.Assert(replicated.Digest(), qt.Equals, before)
	})

	c.Run("given equal versions, when values differ, then the larger value wins", func(c *qt.C) {
		replicated := mapOf(entry("a", 1, "x"), entry("a", 1, "z"), entry("a", 1, "y"))
		found, _ := replicated.Get("a")
		c.Assert(string(found.Value), qt.Equals, "z")
	})

	c.Run("given equal majors, when minors differ, then the larger minor wins", func(c *qt.C) {
		older := replica.Entry{Key: "a", Version: replica.Version{Major: 3, Minor: 1}}
		newer := replica.Entry{Key: "a", Version: replica.Version{Major: 3, Minor: 2}}
		c.Assert(newer.Supersedes(older), qt.IsTrue)
		c.Assert(older.Supersedes(newer), qt.IsFalse)
		c.Assert(older.Supersedes(older), qt.IsFalse)
	})
}

func TestTombstonesStayUntilForgotten(t *testing.T) {
	c := qt.New(t)
	tombstone := entry("a", 2, "")

	c.Run("given a tombstone, when it is not forgotten, then it is listed", func(c *qt.C) {
		replicated := mapOf(entry("a", 1, "x"), tombstone)
		c.Assert(replicated.Len(), qt.Equals, 1)
		c.Assert(replicated.Prefix(""), qt.DeepEquals, []replica.Entry{tombstone})
	})

	c.Run("given a forgotten tombstone, when it arrives again, then it is not accepted", func(c *qt.C) {
		replicated := mapOf(tombstone)
		replicated.Forget("a", "never known")
		c.Assert(replicated.Len(), qt.Equals, 0)
		c.Assert(replicated.Digest(), qt.Equals, replica.Digest{})
		c.Assert(replicated.Merge([]replica.Entry{tombstone}), qt.HasLen, 0)
	})

	c.Run("given a forgotten tombstone, when the entry that it removed arrives, then the tombstone is restored", func(c *qt.C) {
		replicated := mapOf(tombstone)
		replicated.Forget("a")
		accepted := replicated.Merge([]replica.Entry{entry("a", 1, "x")})
		c.Assert(accepted, qt.DeepEquals, []replica.Entry{tombstone})
		found, _ := replicated.Get("a")
		c.Assert(found, qt.DeepEquals, tombstone)
	})

	c.Run("given a forgotten tombstone, when a newer version arrives, then it is accepted", func(c *qt.C) {
		replicated := mapOf(tombstone)
		replicated.Forget("a")
		newer := entry("a", 3, "y")
		c.Assert(replicated.Merge([]replica.Entry{newer}), qt.DeepEquals, []replica.Entry{newer})
	})

	c.Run("given a key forgotten twice, when other keys fill the limit, then it is remembered once", func(c *qt.C) {
		replicated := mapOf(entry("a", 1, ""))
		replicated.Forget("a")
		replicated.Merge([]replica.Entry{tombstone})
		replicated.Forget("a")
		forgetOthers(replicated, replica.ForgottenLimit-1)
		c.Assert(replicated.Merge([]replica.Entry{tombstone}), qt.HasLen, 0)
	})

	c.Run("given more forgotten keys than the limit, when the oldest arrives, then it is accepted as new", func(c *qt.C) {
		replicated := mapOf(tombstone)
		replicated.Forget("a")
		forgetOthers(replicated, replica.ForgottenLimit)
		c.Assert(replicated.Merge([]replica.Entry{tombstone}), qt.HasLen, 1)
	})
}

func TestSnapshotsDoNotChange(t *testing.T) {
	c := qt.New(t)
	// Given a snapshot,
	replicated := mapOf(entry("a/1", 1, "x"), entry("b/1", 1, "y"))
	snapshot := replicated.Snapshot()
	// when the map changes,
	replicated.Merge([]replica.Entry{entry("a/1", 2, "z"), entry("a/2", 1, "z")})
	// then the snapshot is unchanged.
	c.Assert(snapshot.Prefix("a/"), qt.DeepEquals, []replica.Entry{entry("a/1", 1, "x")})
	c.Assert(snapshot.Len(), qt.Equals, 2)
	c.Assert(snapshot.Revision(), qt.Equals, uint64(2))
	c.Assert(replicated.Prefix("a/"), qt.HasLen, 2)
}

func TestDigestOnTheWire(t *testing.T) {
	c := qt.New(t)

	c.Run("given a digest, when it is encoded as CBOR and decoded, then it is equal, and its encoding compact", func(c *qt.C) {
		digest := mapOf(entry("a", 1, "x"), entry("b", 7, "y")).Digest()
		body, err := cbor.Marshal(digest)
		c.Assert(err, qt.IsNil)
		c.Assert(len(body) < replica.Buckets*8+8, qt.IsTrue)
		var read replica.Digest
		c.Assert(cbor.Unmarshal(body, &read), qt.IsNil)
		c.Assert(read, qt.Equals, digest)
		c.Assert(read.Sum(), qt.Equals, digest.Sum())
	})

	c.Run("given a digest of another release, when it is decoded, then the error says what to do", func(c *qt.C) {
		var read replica.Digest
		err := read.UnmarshalBinary([]byte("short"))
		var fault *replica.DigestSizeError
		c.Assert(errors.As(err, &fault), qt.IsTrue)
		c.Assert(fault.Got, qt.Equals, 5)
		c.Assert(replica.Error.Has(err), qt.IsTrue)
		c.Assert(err, qt.ErrorMatches, ".*same release.*")
	})
}

func TestDigestCoversValuesAtEqualVersions(t *testing.T) {
	c := qt.New(t)
	// Given two copies with different values at one version of a key,
	one, other := mapOf(entry("a", 1, "x")), mapOf(entry("a", 1, "y"))
	// then their digests differ, and a repair makes them equal.
	c.Assert(one.Digest(), qt.Not(qt.Equals), other.Digest())
	one.Merge(other.Missing(one.Digest(), 1000))
	c.Assert(one.Digest(), qt.Equals, other.Digest())
}

func TestMissingIsBounded(t *testing.T) {
	c := qt.New(t)
	var entries []replica.Entry
	for number := range 200 {
		entries = append(entries, entry(fmt.Sprintf("key%03d", number), 1, "0123456789"))
	}
	full := mapOf(entries...)
	size := entries[0].Size()

	c.Run("given an equal map, when asked for missing entries, then there are none", func(c *qt.C) {
		c.Assert(full.Missing(mapOf(entries...).Digest(), 1000), qt.HasLen, 0)
	})

	c.Run("given a limit of zero, when asked for missing entries, then none is returned", func(c *qt.C) {
		c.Assert(full.Missing(replica.Digest{}, 0), qt.HasLen, 0)
	})

	c.Run("given a limit below the size of one entry, when asked for missing entries, then one is returned", func(c *qt.C) {
		c.Assert(full.Missing(replica.Digest{}, 1), qt.HasLen, 1)
	})

	c.Run("given a limit of seven entries, when a peer never merges them, then repeated calls return all entries", func(c *qt.C) {
		seen := make(map[string]bool)
		for range 200/7 + 1 {
			missing := full.Missing(replica.Digest{}, 7*size)
			c.Assert(missing, qt.HasLen, 7)
			for _, missed := range missing {
				seen[missed.Key] = true
			}
		}
		c.Assert(seen, qt.HasLen, 200)
	})

	c.Run("given one entry that differs, when asked for missing entries, then only those of its bucket are returned", func(c *qt.C) {
		other := mapOf(entries...)
		other.Merge([]replica.Entry{entry("key042", 2, "news")})
		missing := other.Missing(full.Digest(), 1<<20)
		c.Assert(len(missing) < 20, qt.IsTrue)
		full.Merge(missing)
		c.Assert(full.Digest(), qt.Equals, other.Digest())
	})
}
