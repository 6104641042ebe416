package member

import (
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// keep has the disk keep the registry of workers, if it has changed. A worker's heartbeats would bring it back within a
// moment, but in that moment a fleet that starts as a whole could serve nobody.
func (m *Member) keep() {
	m.mu.Lock()
	revision := m.registry.View().Revision()
	entries := m.registry.Entries()
	m.mu.Unlock()
	if revision == m.kept {
		return
	}
	m.kept = revision
	note, err := cbor.Marshal(entries)
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	m.host.SetNote(note)
}

// remember takes the workers that the disk knows. Those that are gone by now lapse like any other.
func (m *Member) remember() {
	var entries []replica.Entry
	if note := m.host.Note(); len(note) > 0 {
		if err := cbor.Unmarshal(note, &entries); err != nil {
			m.log.Warn().Err(err).Msg("the registry on disk can't be read; heartbeats will bring it back")
			return
		}
	}
	m.mu.Lock()
	known := m.registry.Merge(m.now(), entries)
	m.mu.Unlock()
	told := make([]replica.Entry, 0, len(known))
	for _, worker := range known {
		told = append(told, registry.EntryOf(worker))
	}
	m.members.Node().Put(told...)
}
