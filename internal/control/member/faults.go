package member

import (
	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
)

// Faults are deliberate violations of what a control member promises, for the tests of the tests. All are off outside
// tests.
type Faults struct {
	Orders     configstate.Faults
	Partitions partition.Faults
	// Coordination breaks the state of locks, numbers and keys.
	Coordination coordination.Faults
	// ReadUnconfirmed answers reads by what this member knows.
	ReadUnconfirmed bool
	// AcknowledgeAlone acknowledges that a worker ends though no other member has heard of it.
	AcknowledgeAlone bool
	// AcknowledgeByTwo acknowledges it once one other member has heard of it, however many there are.
	AcknowledgeByTwo bool
	// IgnoreStanding looks for no routers that are taken for down.
	IgnoreStanding bool
	// LeaveAtOnce ends a member that was told to end without regard to the others.
	LeaveAtOnce bool
}

// Break puts faults into the member; call it before Run.
func (m *Member) Break(faults Faults) {
	m.faults = faults
	if faults.IgnoreStanding {
		m.members.IgnoreAuthority()
	}
}
