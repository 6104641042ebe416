package member

import (
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/control/coordination"
)

// coordinationSnapshotEntries is the number of commands between snapshots. Applications send dozens of commands per second and
// the state may be large, so snapshots are rare.
const coordinationSnapshotEntries = 4096

// coordinationMachine is the state machine of one partition of applications' names. It also records when this member applied
// each change. It implements partition.ApplicationMachine. All fields except waiters belong to the host's goroutine.
type coordinationMachine struct {
	state   *coordination.State
	ages    *coordination.Ages
	now     func() time.Duration
	log     zerolog.Logger
	waiters *waiters
}

func newCoordinationMachine(now func() time.Duration, log zerolog.Logger, faults coordination.Faults) *coordinationMachine {
	return &coordinationMachine{
		state:   coordination.NewBroken(faults),
		ages:    coordination.NewBrokenAges(faults),
		now:     now,
		log:     log,
		waiters: newWaiters(),
	}
}

// Apply implements partition.StateMachine. Its result is a coordination.Answer.
func (s *coordinationMachine) Apply(index uint64, command []byte) any {
	outcome := s.state.Apply(index, command)
	s.ages.Note(s.now(), s.state, outcome)
	if outcome.Put != "" {
		s.waiters.wake(outcome.Put)
	}
	return outcome.Answer
}

// Snapshot implements partition.StateMachine.
func (s *coordinationMachine) Snapshot() []byte { return s.state.Snapshot() }

// Restore implements partition.StateMachine.
func (s *coordinationMachine) Restore(snapshot []byte) error {
	if err := s.state.Restore(snapshot); err != nil {
		return err
	}
	s.ages.Restart(s.now(), s.state)
	s.waiters.wakeAll()
	return nil
}

// SnapshotEntries implements partition.ApplicationMachine.
func (s *coordinationMachine) SnapshotEntries() int { return coordinationSnapshotEntries }
