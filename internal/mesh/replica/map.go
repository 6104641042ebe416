package replica

import (
	"github.com/benbjohnson/immutable"
)

// Map is one router's copy of the replicated map. Use New.
type Map struct {
	entries   *immutable.SortedMap[string, Entry]
	digest    Digest
	revision  uint64
	forgotten *Forgotten
	lastSent  string // last key that Missing returned; its next call continues after it
}

// New makes an empty map.
func New() *Map {
	return &Map{
		entries:   immutable.NewSortedMap[string, Entry](nil),
		forgotten: NewForgotten(),
	}
}

// Merge merges entries of this router or of others and returns those that changed the map, for forwarding. It rejects an
// entry older than a forgotten one. The forgotten entry is restored instead and returned among the accepted ones, so that
// routers that still hold the older entry receive it.
func (m *Map) Merge(entries []Entry) (accepted []Entry) {
	for _, entry := range entries {
		result, changed := m.resolve(entry)
		if !changed {
			continue
		}
		m.set(result)
		accepted = append(accepted, result)
	}
	return accepted
}

// resolve returns the entry to store and true: the entry itself or a newer forgotten one. It returns false if nothing changes.
func (m *Map) resolve(entry Entry) (result Entry, changed bool) {
	if current, known := m.entries.Get(entry.Key); known {
		return entry, entry.Supersedes(current)
	}
	forgotten, wasForgotten := m.forgotten.Get(entry.Key)
	if !wasForgotten || entry.Supersedes(forgotten) {
		return entry, true
	}
	return forgotten, forgotten.Supersedes(entry)
}

func (m *Map) set(entry Entry) {
	if current, known := m.entries.Get(entry.Key); known {
		m.digest.toggle(current)
	}
	m.digest.toggle(entry)
	m.entries = m.entries.Set(entry.Key, entry)
	m.revision++
}

// Forget drops entries from this copy only. It is meant for tombstones that every router has had time to receive; each
// router drops them on its own. The map remembers the last few thousand forgotten entries: the same entry is not accepted
// again from a router that forgets it a little later, and an older one cannot come back (see Merge). Keys that the map does
// not hold are skipped.
func (m *Map) Forget(keys ...string) {
	for _, key := range keys {
		entry, known := m.entries.Get(key)
		if !known {
			continue
		}
		m.digest.toggle(entry)
		m.entries = m.entries.Delete(key)
		m.forgotten.Add(entry)
		m.revision++
	}
}

// Get returns the entry of a key, which may be a tombstone.
func (m *Map) Get(key string) (Entry, bool) {
	return m.entries.Get(key)
}

// Prefix lists the entries whose keys begin with prefix, sorted by key, tombstones included.
func (m *Map) Prefix(prefix string) []Entry {
	return m.Snapshot().Prefix(prefix)
}

// Len is the number of entries, tombstones included.
func (m *Map) Len() int {
	return m.entries.Len()
}

// Revision counts the changes of this copy, including those by Forget. It is not comparable between routers.
func (m *Map) Revision() uint64 {
	return m.revision
}

// Snapshot returns the current state in constant time. Later changes do not affect it.
func (m *Map) Snapshot() Snapshot {
	return Snapshot{entries: m.entries, revision: m.revision}
}

// Digest summarizes the current state, for comparison with another router's. It is maintained incrementally, so this call is
// cheap.
func (m *Map) Digest() Digest {
	return m.digest
}

// Missing lists entries that the holder of the other digest may lack: those in buckets that differ, up to limit bytes (see
// Entry.Size) but at least one if limit is positive. Each call continues after the last entry of the previous one, so that
// repeated calls reach all entries however small the limit.
func (m *Map) Missing(theirs Digest, limit int) []Entry {
	if limit <= 0 || theirs == m.digest {
		return nil
	}
	picker := missingPicker{mine: m.digest, theirs: theirs, bytesLeft: limit}
	m.pickFrom(&picker)
	if len(picker.picked) > 0 {
		m.lastSent = picker.picked[len(picker.picked)-1].Key
	}
	return picker.picked
}

// pickFrom offers all entries to the picker once, in key order, starting after sentUpTo.
func (m *Map) pickFrom(picker *missingPicker) {
	iterator := m.entries.Iterator()
	iterator.Seek(m.lastSent)
	for !iterator.Done() {
		key, entry, _ := iterator.Next()
		if key == m.lastSent {
			continue
		}
		if full := picker.offer(entry); full {
			return
		}
	}
	iterator.First()
	for !iterator.Done() {
		key, entry, _ := iterator.Next()
		if key > m.lastSent {
			return
		}
		if full := picker.offer(entry); full {
			return
		}
	}
}

// missingPicker collects the entries of differing buckets.
type missingPicker struct {
	mine, theirs Digest
	bytesLeft    int // bytes left of the limit
	picked       []Entry
}

// offer adds an entry if its bucket differs and its size fits, and reports whether the limit is reached.
func (p *missingPicker) offer(entry Entry) (full bool) {
	bucket := bucketOf(entry.Key)
	if p.mine[bucket] == p.theirs[bucket] {
		return false
	}
	if len(p.picked) > 0 && entry.Size() > p.bytesLeft {
		return true
	}
	p.picked = append(p.picked, entry)
	p.bytesLeft -= entry.Size()
	return p.bytesLeft <= 0
}
