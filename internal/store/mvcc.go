// Package store is the daemon's own small replicated key-value store: configuration and the state of members,
// with revisions as etcd counts them, kept alike by a few daemons through raft. Requests do not go through it.
package store

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

// The errors of reads at a revision.
var (
	ErrCompacted = errors.New("the revision has been compacted")
	ErrFuture    = errors.New("the revision is yet to come")
)

// kv is the state that raft replicates: every version of every key since the last compaction. It is deterministic;
// equal commands give equal states.
type kv struct {
	mu        sync.RWMutex
	rev       int64
	compacted int64
	versions  map[string][]version // ascending
	keys      btree.Set[string]    // those of versions, in order
	history   []change             // ascending, from compacted on
	leases    map[int64]*lease
	changed   chan struct{} // closed at the next change
}

// version is a key's value from a revision on; a deleted one has no value.
type version struct {
	Rev, Created, Count int64
	Value               []byte
	Deleted             bool
	Lease               int64 // 0: none
}

// change names what happened to a key at a revision.
type change struct {
	Rev int64
	Key string
}

func newKV() *kv {
	return &kv{rev: 1, versions: map[string][]version{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// versionAt is the version of a key at a revision, or nil.
func (s *kv) versionAt(key string, rev int64) *version {
	list := s.versions[key]
	i := sort.Search(len(list), func(i int) bool { return list[i].Rev > rev })
	if i == 0 || list[i-1].Deleted {
		return nil
	}
	return &list[i-1]
}

func (s *kv) keyValue(key string, v *version) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{Key: []byte(key), Value: v.Value, CreateRevision: v.Created, ModRevision: v.Rev, Version: v.Count, Lease: v.Lease}
}

// InRange tells whether a key lies in a range of etcd's form: no end is one key, an end of one zero byte is all from
// the key on.
func InRange(name string, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return name == string(key)
	case len(end) == 1 && end[0] == 0:
		return name >= string(key)
	}
	return name >= string(key) && name < string(end)
}

// keysInRange lists the keys of a range that exist at a revision.
func (s *kv) keysInRange(key, end []byte, rev int64) []string {
	var out []string
	if len(end) == 0 { // one key
		if s.versionAt(string(key), rev) != nil {
			out = append(out, string(key))
		}
		return out
	}
	s.keys.Ascend(string(key), func(name string) bool {
		if !InRange(name, key, end) {
			return false
		}
		if s.versionAt(name, rev) != nil {
			out = append(out, name)
		}
		return true
	})
	return out
}

// read gives the pairs of a range at a revision, 0 for now, with the current revision.
func (s *kv) read(key, end []byte, rev int64) ([]*mvccpb.KeyValue, int64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if rev <= 0 {
		rev = s.rev
	}
	if rev > s.rev {
		return nil, s.rev, ErrFuture
	}
	if rev < s.compacted {
		return nil, s.rev, ErrCompacted
	}
	var out []*mvccpb.KeyValue
	for _, name := range s.keysInRange(key, end, rev) {
		out = append(out, s.keyValue(name, s.versionAt(name, rev)))
	}
	return out, s.rev, nil
}

// put sets a key at a revision that is not yet current; the lock is held.
func (s *kv) put(key string, value []byte, lease, rev int64) {
	v := version{Rev: rev, Created: rev, Count: 1, Value: slices.Clone(value), Lease: lease}
	if old := s.versionAt(key, rev); old != nil {
		v.Created, v.Count = old.Created, old.Count+1
	}
	s.add(key, v)
}

func (s *kv) deleteKey(key string, rev int64) { s.add(key, version{Rev: rev, Deleted: true}) }

func (s *kv) add(key string, v version) {
	if _, known := s.versions[key]; !known {
		s.keys.Insert(key)
	}
	s.setLease(key, v.Lease)
	s.versions[key] = append(s.versions[key], v)
	s.history = append(s.history, change{v.Rev, key})
}

// commit makes a revision current and wakes those who wait for it; the lock is held.
func (s *kv) commit(rev int64) {
	s.rev = rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets what was overwritten before a revision. The changes at that revision itself stay.
func (s *kv) compact(rev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case rev <= s.compacted:
		return ErrCompacted
	case rev > s.rev:
		return ErrFuture
	}
	s.compacted = rev
	old := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev >= rev })
	changed := map[string]bool{} // what changed before has older versions, or is gone
	for _, c := range s.history[:old] {
		changed[c.Key] = true
	}
	s.history = slices.Clone(s.history[old:])
	for key := range changed {
		list := s.versions[key]
		first := max(sort.Search(len(list), func(i int) bool { return list[i].Rev > rev })-1, 0)
		if list[first].Deleted && list[first].Rev < rev {
			first++
		}
		if first == len(list) {
			delete(s.versions, key)
			s.keys.Delete(key)
			continue
		}
		s.versions[key] = slices.Clone(list[first:])
	}
	close(s.changed) // a watch that has fallen behind must learn of it
	s.changed = make(chan struct{})
	return nil
}

// Changes are events of a range in order, and where to go on.
type Changes struct {
	Events    []*mvccpb.Event
	Revision  int64 // the store's, when these were read
	Next      int64 // the first revision not looked at
	Compacted int64 // with ErrCompacted: the oldest revision that can be read
	Changed   <-chan struct{}
}

// changesSince gives the events of a range from a revision on, whole revisions only, about most of them.
func (s *kv) changesSince(key, end []byte, from int64, prev bool, most int) (Changes, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := Changes{Revision: s.rev, Next: max(from, s.rev+1), Compacted: s.compacted, Changed: s.changed}
	if from < s.compacted {
		return out, ErrCompacted
	}
	for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev >= from }); i < len(s.history); i++ {
		c := s.history[i]
		if len(out.Events) >= most && c.Rev != s.history[i-1].Rev {
			out.Next = c.Rev
			break
		}
		if !InRange(c.Key, key, end) {
			continue
		}
		ev := &mvccpb.Event{Type: mvccpb.PUT}
		if v := s.versionAt(c.Key, c.Rev); v != nil {
			ev.Kv = s.keyValue(c.Key, v)
		} else {
			ev.Type, ev.Kv = mvccpb.DELETE, &mvccpb.KeyValue{Key: []byte(c.Key), ModRevision: c.Rev}
		}
		if prev {
			if v := s.versionAt(c.Key, c.Rev-1); v != nil {
				ev.PrevKv = s.keyValue(c.Key, v)
			}
		}
		out.Events = append(out.Events, ev)
	}
	return out, nil
}

// image is a kv as a snapshot holds it.
type image struct {
	Rev, Compacted int64
	Versions       map[string][]version
	History        []change
	Leases         map[int64]*lease // none in a snapshot of a version that had no leases
}

func (s *kv) save() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(image{s.rev, s.compacted, s.versions, s.history, s.leases})
	return b.Bytes(), err
}

func (s *kv) load(r io.Reader, now time.Duration) error {
	var decoded image
	if err := gob.NewDecoder(r).Decode(&decoded); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.compacted, s.versions, s.history = decoded.Rev, decoded.Compacted, decoded.Versions, decoded.History
	if s.versions == nil {
		s.versions = map[string][]version{}
	}
	s.keys.Clear()
	for key := range s.versions {
		s.keys.Insert(key)
	}
	s.leases = map[int64]*lease{}
	for id, l := range decoded.Leases {
		s.leases[id] = &lease{TTL: l.TTL, Renewed: l.Renewed, renewedAt: now, keys: map[string]bool{}}
	}
	for key, list := range s.versions {
		if last := list[len(list)-1]; s.leases[last.Lease] != nil && !last.Deleted {
			s.leases[last.Lease].keys[key] = true
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}
