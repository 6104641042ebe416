package coordination

import "github.com/fxamacker/cbor/v2"

// snapshotLayout is the layout of snapshots; it rises when an older release can no longer read them.
const snapshotLayout = 1

// snapshot is a State as it is stored and sent to other replicas.
type snapshot struct {
	Layout int                   `cbor:"1,keyasint"`
	Locks  map[string]*Holding   `cbor:"2,keyasint,omitempty"`
	Cells  map[string]*cellGroup `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the whole state.
func (s *State) Snapshot() []byte {
	encoded, err := cbor.Marshal(snapshot{Layout: snapshotLayout, Locks: s.locks, Cells: s.cells})
	if err != nil {
		panic(err) // plain structs can always be encoded
	}
	return encoded
}

// Restore replaces the state; the empty snapshot is the empty state.
func (s *State) Restore(encoded []byte) error {
	next := NewBroken(s.faults)
	if len(encoded) > 0 {
		var stored snapshot
		if err := cbor.Unmarshal(encoded, &stored); err != nil {
			return Error.New("a snapshot can't be read, restore this replica from another one: %w", err)
		}
		if stored.Layout != snapshotLayout {
			return Error.New("snapshot has layout %d and %d is known; run a release that knows it", stored.Layout, snapshotLayout)
		}
		next.take(stored)
	}
	*s = *next
	return nil
}

func (s *State) take(stored snapshot) {
	for name, held := range stored.Locks {
		s.locks[name] = held
	}
	for scope, group := range stored.Cells {
		if group.Cells == nil {
			group.Cells = map[string]cell{}
		}
		s.cells[scope] = group
		s.keys += len(group.Cells)
		for _, event := range group.Events {
			s.history += event.size()
		}
	}
}
