package replica

import (
	"bytes"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Snapshot is the state of a Map at one moment. It is immutable and safe for concurrent use.
type Snapshot struct {
	entries  *immutable.SortedMap[string, Entry]
	revision uint64
}

// Get returns the entry of a key, which may be a tombstone.
func (s Snapshot) Get(key string) (Entry, bool) {
	return s.entries.Get(key)
}

// Prefix lists the entries whose keys begin with prefix, sorted by key, tombstones included.
func (s Snapshot) Prefix(prefix string) []Entry {
	var found []Entry
	iterator := s.entries.Iterator()
	iterator.Seek(prefix)
	for !iterator.Done() {
		key, entry, _ := iterator.Next()
		if !strings.HasPrefix(key, prefix) {
			break
		}
		found = append(found, entry)
	}
	return found
}

// Changes compares with an earlier snapshot of the same map. It lists the entries under a prefix that were added or changed
// since, and the keys that were removed, both sorted by key.
func (s Snapshot) Changes(since Snapshot, prefix string) (changed []Entry, removed []string) {
	if s.entries == since.entries {
		return nil, nil
	}
	before := since.Prefix(prefix)
	for _, entry := range s.Prefix(prefix) {
		for len(before) > 0 && before[0].Key < entry.Key {
			removed = append(removed, before[0].Key)
			before = before[1:]
		}
		if len(before) > 0 && before[0].Key == entry.Key {
			same := before[0].Version == entry.Version && bytes.Equal(before[0].Value, entry.Value)
			before = before[1:]
			if same {
				continue
			}
		}
		changed = append(changed, entry)
	}
	for _, entry := range before {
		removed = append(removed, entry.Key)
	}
	return changed, removed
}

// Len is the number of entries, tombstones included.
func (s Snapshot) Len() int {
	return s.entries.Len()
}

// Revision is the revision of the Map when the snapshot was taken.
func (s Snapshot) Revision() uint64 {
	return s.revision
}
