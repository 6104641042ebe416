package partition

// StateMachine is the state of one partition. Its methods are called by the host's goroutine only.
type StateMachine interface {
	// Apply applies a committed command; the result goes to who proposed it here.
	Apply(index uint64, command []byte) any
	// Snapshot is the whole state.
	Snapshot() []byte
	// Restore replaces the state.
	Restore(snapshot []byte) error
}

// ApplicationMachine is a StateMachine of applications' calls: many small commands, and a state that may be large. What the
// disk knows to be committed is not told before a leader confirms it, and a member that knows no leader of such a partition
// still counts as led.
type ApplicationMachine interface {
	StateMachine
	// SnapshotEntries is after how many entries a snapshot is taken, unless their bytes ask for one before.
	SnapshotEntries() int
}
