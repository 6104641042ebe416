package member

import (
	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
)

// Faults are injected violations of a control member's guarantees. They check that tests detect such violations. All are off
// outside tests.
type Faults struct {
	Orders     configstate.Faults
	Partitions partition.Faults
	// Coordination injects faults into the state of locks, counters and keys.
	Coordination coordination.Faults
	// ReadUnconfirmed answers reads from local state without confirming leadership.
	ReadUnconfirmed bool
	// AcknowledgeAlone acknowledges the leave of a worker before any other member has it.
	AcknowledgeAlone bool
	// AcknowledgeByTwo acknowledges it once one other member has it, regardless of the size of a majority.
	AcknowledgeByTwo bool
	// AcknowledgeUnsaved acknowledges it before it is on any disk.
	AcknowledgeUnsaved bool
	// AcknowledgeUndelivered acknowledges it before any router has it.
	AcknowledgeUndelivered bool
	// IgnoreAuthority treats the member as always in contact with a leader and does not try routers that are considered down.
	IgnoreAuthority bool
	// LeaveAtOnce stops a member that is shutting down without waiting for the others.
	LeaveAtOnce bool
}

// InjectFaults injects faults into the member. Call it before Run.
func (m *Member) InjectFaults(faults Faults) {
	m.faults = faults
	if faults.IgnoreAuthority {
		m.members.IgnoreAuthority()
	}
}
