package replica

import "encoding/binary"

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 8

// Fingerprints name entries, each at its version and with its value, by a hash. What two copies differ in is found by them
// at a tenth of the bytes that the entries take. In cbor it is one string.
type Fingerprints []byte

// add appends an entry's.
func (f Fingerprints) add(entry Entry) Fingerprints {
	return binary.BigEndian.AppendUint64(f, entry.fingerprint())
}

// set is them in a set; what is cut short is left out.
func (f Fingerprints) set() map[uint64]bool {
	set := make(map[uint64]bool, len(f)/fingerprintBytes)
	for rest := f; len(rest) >= fingerprintBytes; rest = rest[fingerprintBytes:] {
		set[binary.BigEndian.Uint64(rest)] = true
	}
	return set
}

// Held names the entries in the buckets that differ from another copy's.
func (m *Map) Held(theirs Digest) Fingerprints {
	var held Fingerprints
	m.eachDiffering(theirs, func(entry Entry) { held = held.add(entry) })
	return held
}

// Lacking lists the entries that a copy lacks which holds just the named ones in the buckets that differ, up to limit bytes
// (see Entry.Size), though never fewer than one, and names those of it that are not held here: not at all, or at another
// version. What is beyond the limit follows at the next comparison, when the copy names what it took.
func (m *Map) Lacking(theirs Digest, held Fingerprints, limit int) (entries []Entry, wanted Fingerprints) {
	known := held.set()
	left := limit
	m.eachDiffering(theirs, func(entry Entry) {
		print := entry.fingerprint()
		if known[print] {
			delete(known, print)
			return
		}
		if len(entries) == 0 || entry.Size() <= left {
			entries = append(entries, entry)
			left -= entry.Size()
		}
	})
	for rest := held; len(rest) >= fingerprintBytes; rest = rest[fingerprintBytes:] {
		if known[binary.BigEndian.Uint64(rest)] {
			wanted = append(wanted, rest[:fingerprintBytes]...)
		}
	}
	return entries, wanted
}

// Named lists the entries that are held as they are named, up to limit bytes, though never fewer than one.
func (m *Map) Named(wanted Fingerprints, limit int) (entries []Entry) {
	names := wanted.set()
	left := limit
	iterator := m.entries.Iterator()
	for iterator.First(); !iterator.Done(); {
		_, entry, _ := iterator.Next()
		if names[entry.fingerprint()] && (len(entries) == 0 || entry.Size() <= left) {
			entries = append(entries, entry)
			left -= entry.Size()
		}
	}
	return entries
}

// eachDiffering calls do with each entry in a bucket that differs from another copy's, in the order of the keys.
func (m *Map) eachDiffering(theirs Digest, do func(Entry)) {
	if theirs == m.digest {
		return
	}
	iterator := m.entries.Iterator()
	for iterator.First(); !iterator.Done(); {
		_, entry, _ := iterator.Next()
		if bucket := bucketOf(entry.Key); m.digest[bucket] != theirs[bucket] {
			do(entry)
		}
	}
}
