package member

import (
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// saveRegistry has the disk saveRegistry the registry of workers, if it has changed. A worker's heartbeats would bring it back within a
// moment, but in that moment a fleet that starts as a whole could serve nobody.
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
		panic(err) // plain structs can always be encoded
	}
	m.host.Keep(encoded)
}

// restoreRegistry takes the workers that the disk knows. Those that are gone by now lapse like any other.
func (m *Member) restoreRegistry() {
	var entries []replica.Entry
	if encoded := m.host.Note(); len(encoded) > 0 {
		if err := cbor.Unmarshal(encoded, &entries); err != nil {
			m.log.Warn().Err(err).Msg("the registry on disk can't be read; heartbeats will bring it back")
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
