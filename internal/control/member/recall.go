package member

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// saveInterval is how often the registry is saved without a request.
const saveInterval = 500 * time.Millisecond

// registrySaves tracks which revision of the registry is on disk. Create it with newRegistrySaves.
type registrySaves struct {
	requested chan struct{} // holds a token if a save is due now

	mu       sync.Mutex
	revision uint64        // of the newest registry view on disk
	advanced chan struct{} // closed at the next save
}

func newRegistrySaves() *registrySaves {
	return &registrySaves{requested: make(chan struct{}, 1), advanced: make(chan struct{})}
}

// request makes a save due.
func (s *registrySaves) request() {
	select {
	case s.requested <- struct{}{}:
	default: // one is due already
	}
}

// saved returns the revision on disk and a channel that is closed at the next save.
func (s *registrySaves) saved() (revision uint64, advanced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.advanced
}

// complete records that a revision is on disk.
func (s *registrySaves) complete(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	close(s.advanced)
	s.advanced = make(chan struct{})
}

// runSaves saves the registry of workers when it was requested, and periodically, until the context ends. Only one save is
// under way at a time, so concurrent requests share one write however slow the disk is.
func (m *Member) runSaves(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.saves.requested:
		}
		m.saveRegistry(ctx)
	}
}

// saveRegistry saves the registry of workers to disk if it has changed, and waits until it is there. Heartbeats would rebuild
// the registry soon after a restart, but until then a fleet that restarts as a whole could not serve requests, and workers
// that have left would be listed again.
func (m *Member) saveRegistry(ctx context.Context) {
	m.mu.Lock()
	revision := m.registry.View().Revision()
	entries := m.registry.Entries()
	m.mu.Unlock()
	if saved, _ := m.saves.saved(); revision == saved {
		return
	}
	encoded, err := cbor.Marshal(entries)
	if err != nil {
		panic(err) // encoding a plain struct cannot fail
	}
	if m.host.SaveNote(ctx, encoded) == nil { // it fails only if the context ends first
		m.saves.complete(revision)
	}
}

// persistWorkers returns once entries of workers are on disk. It implements node.Persist. The entries may have arrived by
// another call that has not merged them into the registry yet.
func (m *Member) persistWorkers(ctx context.Context, entries []replica.Entry) error {
	if m.faults.AcknowledgeUnsaved {
		return nil
	}
	m.mergeUpdates(entries)
	return m.persistRegistry(ctx)
}

// persistRegistry returns once the registry is on disk as it is now. It fails if the context ends first.
func (m *Member) persistRegistry(ctx context.Context) error {
	m.mu.Lock()
	revision := m.registry.View().Revision()
	m.mu.Unlock()
	for {
		saved, advanced := m.saves.saved()
		if saved >= revision {
			return nil
		}
		m.saves.request()
		select {
		case <-advanced:
		case <-ctx.Done():
			return Error.New("the disk has not taken the registry of workers in time: %w", ctx.Err())
		}
	}
}

// restoreRegistry loads the workers from disk. Workers that no longer exist lapse as usual.
func (m *Member) restoreRegistry() {
	var entries []replica.Entry
	if encoded := m.host.Note(); len(encoded) > 0 {
		if err := cbor.Unmarshal(encoded, &entries); err != nil {
			m.log.Warn().Err(err).Msg("cannot decode the registry on disk; heartbeats will rebuild it")
			return
		}
	}
	m.mu.Lock()
	known := m.registry.Merge(m.now(), entries)
	m.mu.Unlock()
	published := make([]replica.Entry, 0, len(known))
	states := map[registry.State]int{}
	for _, worker := range known {
		published = append(published, registry.EntryOf(worker))
		states[worker.State]++
	}
	m.log.Info().Int("up", states[registry.Up]).Int("leaving", states[registry.Leaving]).Int("lapsed", states[registry.Lapsed]).
		Int("gone", states[registry.Gone]).Msg("workers restored from disk")
	m.members.Node().Put(published...)
}
