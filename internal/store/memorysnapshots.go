package store

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// memorySnapshots keeps the newest complete snapshot of a node without a directory. Raft's own store in memory
// (1.7.3) lists a snapshot from its beginning, so that a leader could send one that was still being written.
type memorySnapshots struct {
	mu     sync.Mutex
	latest *memorySnapshot // nil: none
}

// memorySnapshot is a complete snapshot, or one being written that only its writer has.
type memorySnapshot struct {
	store *memorySnapshots
	meta  raft.SnapshotMeta
	data  bytes.Buffer
}

// Create serves raft.SnapshotStore.
func (s *memorySnapshots) Create(version raft.SnapshotVersion, index, term uint64, members raft.Configuration, membersIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	if version != raft.SnapshotVersionMax {
		return nil, fmt.Errorf("store: snapshot version %d, want %d", version, raft.SnapshotVersionMax)
	}
	return &memorySnapshot{store: s, meta: raft.SnapshotMeta{Version: version, ID: fmt.Sprintf("%d-%d", term, index),
		Index: index, Term: term, Configuration: members, ConfigurationIndex: membersIndex}}, nil
}

// List serves raft.SnapshotStore.
func (s *memorySnapshots) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil {
		return nil, nil
	}
	meta := s.latest.meta
	return []*raft.SnapshotMeta{&meta}, nil
}

// Open serves raft.SnapshotStore.
func (s *memorySnapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil || s.latest.meta.ID != id {
		return nil, nil, fmt.Errorf("store: no snapshot %q", id)
	}
	meta := s.latest.meta
	return &meta, io.NopCloser(bytes.NewReader(s.latest.data.Bytes())), nil
}

// Write serves raft.SnapshotSink.
func (m *memorySnapshot) Write(part []byte) (int, error) {
	m.meta.Size += int64(len(part))
	return m.data.Write(part)
}

// Close serves raft.SnapshotSink: the snapshot is complete, and kept unless a newer one is there.
func (m *memorySnapshot) Close() error {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if latest := m.store.latest; latest == nil || latest.meta.Index <= m.meta.Index {
		m.store.latest = m
	}
	return nil
}

// ID serves raft.SnapshotSink.
func (m *memorySnapshot) ID() string { return m.meta.ID }

// Cancel serves raft.SnapshotSink: nobody else has the snapshot yet.
func (m *memorySnapshot) Cancel() error { return nil }
