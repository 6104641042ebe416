package member

import (
	"github.com/rs/zerolog"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/mesh/topic"
)

// settingsMachine is the state machine of the configuration partition. It implements partition.StateMachine.
type settingsMachine struct {
	state   configstate.State
	publish func(index uint64, document []byte)
	log     zerolog.Logger
	faults  configstate.Faults
}

// Apply implements partition.StateMachine. Its result is a configstate.Outcome.
func (s *settingsMachine) Apply(index uint64, command []byte) any {
	order, err := configstate.DecodeOrder(command)
	if err != nil {
		s.log.Error().Err(err).Msg("cannot decode an order in the log")
		return nil
	}
	outcome := s.state.Apply(index, order)
	if outcome.Status == configstate.Taken {
		s.publishCurrent()
	}
	return outcome
}

// publishCurrent publishes the current configuration to the fleet.
func (s *settingsMachine) publishCurrent() {
	if current := s.state.Current(); current != nil {
		s.publish(s.state.Index(), current.Raw())
	}
}

// Snapshot implements partition.StateMachine.
func (s *settingsMachine) Snapshot() []byte { return s.state.Snapshot() }

// Restore implements partition.StateMachine.
func (s *settingsMachine) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		s.state = configstate.NewBroken(s.faults)
		return nil
	}
	if err := s.state.Restore(snapshot); err != nil {
		return err
	}
	s.publishCurrent()
	return nil
}

// publish puts the configuration into the replicated map.
func (m *Member) publish(index uint64, document []byte) {
	entry, err := topic.SettingsEntry(index, document)
	if err != nil {
		m.log.Error().Err(err).Msg("cannot encode the configuration")
		return
	}
	m.members.Node().Put(entry)
}
