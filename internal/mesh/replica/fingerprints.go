package replica

import "encoding/binary"

// fingerprintBytes is the size of a fingerprint.
const fingerprintBytes = 8

// Fingerprints identify entries by hashes of key, version and value. Comparing copies by fingerprints takes a tenth of the
// bytes of the entries. The CBOR form is one string.
type Fingerprints []byte

// add appends the fingerprint of an entry.
func (f Fingerprints) add(entry Entry) Fingerprints {
	return binary.BigEndian.AppendUint64(f, entry.fingerprint())
}

// set returns the fingerprints as a set, without a truncated one at the end.
func (f Fingerprints) set() map[uint64]bool {
	set := make(map[uint64]bool, len(f)/fingerprintBytes)
	for rest := f; len(rest) >= fingerprintBytes; rest = rest[fingerprintBytes:] {
		set[binary.BigEndian.Uint64(rest)] = true
	}
	return set
}

// DifferingFingerprints returns the fingerprints of the entries in the buckets that differ from another copy's.
func (m *Map) DifferingFingerprints(theirs Digest) Fingerprints {
	var held Fingerprints
	m.eachDiffering(theirs, func(entry Entry) { held = held.add(entry) })
	return held
}

// Compare compares this copy with another that holds exactly the given fingerprints in the buckets that differ. It returns the
// entries that the other copy lacks, up to limit bytes (see Entry.Size) but at least one, and the fingerprints of the other's
// entries that this copy lacks or holds at another version. Entries beyond the limit follow at the next comparison, when the
// other copy lists those that it received.
func (m *Map) Compare(theirs Digest, held Fingerprints, limit int) (entries []Entry, wanted Fingerprints) {
	known := held.set()
	bytesLeft := limit
	m.eachDiffering(theirs, func(entry Entry) {
		print := entry.fingerprint()
		if known[print] {
			delete(known, print)
			return
		}
		if len(entries) == 0 || entry.Size() <= bytesLeft {
			entries = append(entries, entry)
			bytesLeft -= entry.Size()
		}
	})
	for rest := held; len(rest) >= fingerprintBytes; rest = rest[fingerprintBytes:] {
		if known[binary.BigEndian.Uint64(rest)] {
			wanted = append(wanted, rest[:fingerprintBytes]...)
		}
	}
	return entries, wanted
}

// ByFingerprint lists the entries with the given fingerprints, up to limit bytes but at least one.
func (m *Map) ByFingerprint(wanted Fingerprints, limit int) (entries []Entry) {
	set := wanted.set()
	bytesLeft := limit
	iterator := m.entries.Iterator()
	for iterator.First(); !iterator.Done(); {
		_, entry, _ := iterator.Next()
		if set[entry.fingerprint()] && (len(entries) == 0 || entry.Size() <= bytesLeft) {
			entries = append(entries, entry)
			bytesLeft -= entry.Size()
		}
	}
	return entries
}

// eachDiffering calls do for each entry in a bucket that differs from another copy's, in key order.
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
