package member

import (
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// saveRegistry saves the registry of workers to disk if it has changed. Heartbeats would rebuild the registry soon after a
// restart, but until then a fleet that restarts as a whole could not serve requests.
func (m *Member) saveRegistry() {
	m.mu.Lock()
	revision := m.registry.View().Revision()
	entries := m.registry.Entries()
	m.mu.Unlock()
	if revision == m.savedRevision {
		return
	}
	m.savedRevision = revision
	encoded, err := cbor.Marshal(entries)
	if err != nil {
		panic(err) // encoding a plain struct cannot fail
	}
	m.host.SetNote(encoded)
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
	for _, worker := range known {
		published = append(published, registry.EntryOf(worker))
	}
	m.members.Node().Put(published...)
}
