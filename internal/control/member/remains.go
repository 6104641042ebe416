package member

import (
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/status"
)

// OfflineDisk is the content of the disk of a stopped control member. Operators use it to recover after the loss of a majority
// of the disks. Open it with OpenOfflineDisk and release it with Close.
type OfflineDisk struct {
	partitions *partition.OfflineDisk
	settings   *settingsMachine
}

// OpenOfflineDisk reads the disk of a control member that is not running.
func OpenOfflineDisk(files disklog.FileSystem) (*OfflineDisk, error) {
	r := &OfflineDisk{settings: &settingsMachine{publish: func(uint64, []byte) {}}}
	machines := serviceMachines()
	machines[settingsGroup] = r.settings
	for number := range partition.Group(coordinationPartitions) {
		now := func() time.Duration { return 0 } // nothing lapses while the member is stopped
		machines[firstCoordinationGroup+number] = newCoordinationMachine(now, zerolog.Nop(), coordination.Faults{})
	}
	opened, err := partition.OpenOfflineDisk(files, machines)
	if err != nil {
		return nil, err
	}
	r.partitions = opened
	return r, nil
}

// Close releases the disk.
func (r *OfflineDisk) Close() error { return r.partitions.Close() }

// Self returns the member that the disk belongs to.
func (r *OfflineDisk) Self() consensus.Member { return r.partitions.Self() }

// Groups lists the stored state of each partition.
func (r *OfflineDisk) Groups() []partition.OfflineGroup { return r.partitions.Groups() }

// Name returns the name of a partition for operators.
func (r *OfflineDisk) Name(number partition.Group) string { return partitionName(number) }

// Restore makes this member the only member of all partitions and keeps the state on its disk; see partition.OfflineDisk. It
// returns the configuration that is then in force.
func (r *OfflineDisk) Restore() (status.Configuration, error) {
	if err := r.partitions.Restore(); err != nil {
		return status.Configuration{}, err
	}
	state := &r.settings.state
	return status.Configuration{Version: state.Version(), Index: state.Index()}, nil
}

// Rebase implements partition.Rebaser.
func (s *settingsMachine) Rebase(index uint64) { s.state.Rebase(index) }

// serviceMachines returns the state machines of the services' partitions.
func serviceMachines() map[partition.Group]partition.StateMachine {
	machines := map[partition.Group]partition.StateMachine{}
	for number := range servicePartitions {
		machines[firstServiceGroup+partition.Group(number)] = &intentMachine{}
	}
	return machines
}
