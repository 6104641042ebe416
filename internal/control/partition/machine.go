package partition

// StateMachine is the state of one partition. Its methods are called only by the host's goroutine.
type StateMachine interface {
	// Apply applies a committed command. The result is returned to a local proposer.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// ApplicationMachine is a StateMachine for application calls, with many small commands and a possibly large state. Its commit
// index is not recorded on disk, so entries after the snapshot are applied only once a leader confirms them. A missing leader
// of such a partition does not affect Host.HasLeaders.
type ApplicationMachine interface {
	StateMachine
	// SnapshotEntries is the number of entries after which a snapshot is taken, unless their size triggers one earlier.
	SnapshotEntries() int
}
