// Package replica implements a map that is replicated on all routers of the fleet. Copies merge entries in any order and
// compare digests to find the entries that one of them lacks (anti-entropy).
//
// Merging is commutative, associative and idempotent: of two entries with the same key, the one that supersedes the other
// stays, whichever arrives first. Copies that received the same entries are therefore equal.
//
// A removal is also an entry: a tombstone, usually with an empty value. It has to stay until every router has received it;
// Forget then drops it. The package performs no I/O, reads no clock and starts no goroutine.
// A Map is not safe for concurrent use; its snapshots are.
package replica

import (
	"bytes"
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Version orders the entries of one key: by Major first, then by Minor.
type Version struct {
	Major uint64 `cbor:"1,keyasint"`
	Minor uint64 `cbor:"2,keyasint"`
}

// Compare is negative if v is older than other, positive if it is newer, and 0 if they are equal.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Major, other.Major); order != 0 {
		return order
	}
	return cmp.Compare(v.Minor, other.Minor)
}

// Entry is the value of a key at one version. Entries and the bytes of their values are immutable.
type Entry struct {
	Key     string  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	Value   []byte  `cbor:"3,keyasint,omitempty"`
}

// Supersedes reports whether e replaces other, an entry with the same key. The larger version wins. At equal versions the
// larger value wins: an arbitrary rule that has the same result on every router.
func (e Entry) Supersedes(other Entry) bool {
	if order := e.Version.Compare(other.Version); order != 0 {
		return order > 0
	}
	return bytes.Compare(e.Value, other.Value) > 0
}

// Size is the number of bytes that the entry takes of the limits of Map.Missing, Map.Compare and Map.ByFingerprint.
func (e Entry) Size() int {
	const versionBytes = 16
	return len(e.Key) + versionBytes + len(e.Value)
}

// fingerprint is the entry's hash in the digest of its bucket. It includes the value, so that copies with different values
// at equal versions have different digests.
func (e Entry) fingerprint() uint64 {
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], e.Version.Major)
	binary.BigEndian.PutUint64(numbers[8:], e.Version.Minor)
	binary.BigEndian.PutUint64(numbers[16:], uint64(len(e.Key)))
	hash := xxhash.New()
	// Writing to this hash never fails.
	_, _ = hash.Write(numbers[:])
	_, _ = hash.WriteString(e.Key)
	_, _ = hash.Write(e.Value)
	return hash.Sum64()
}
