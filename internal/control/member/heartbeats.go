package member

import (
	"context"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// Beat implements steering.Workers.
func (m *Member) Beat(ctx context.Context, beat registry.Beat) (string, error) {
	m.mu.Lock()
	changed := m.registry.Beat(m.now(), beat)
	worker, known := m.registry.Find(beat.ID)
	m.mu.Unlock()
	if known {
		if err := m.propagate(ctx, worker, changed); err != nil {
			return "", err
		}
	}
	if !m.isLed(leaderlessTimeout) {
		return "", Error.New("this member is cut off from the others: tell another one")
	}
	return m.beatTo(beat), nil
}

// Leave implements steering.Workers.
func (m *Member) Leave(ctx context.Context, id string) error {
	m.mu.Lock()
	changed := m.registry.Leave(m.now(), id, 0)
	worker, known := m.registry.Find(id)
	m.mu.Unlock()
	if known {
		return m.propagate(ctx, worker, changed)
	}
	return nil
}

// propagate publishes a change of a worker to the fleet. The leave of a worker is replicated to a majority of the control
// members before it is acknowledged. If a minority of them is then partitioned or lost, a member that routers can reach still
// has it.
func (m *Member) propagate(ctx context.Context, worker registry.Worker, changed bool) error {
	entry := registry.EntryOf(worker)
	if changed {
		m.members.Node().Put(entry)
	}
	if worker.State == registry.Up || m.isConfirmed(worker) {
		return nil
	}
	required := m.members.OthersForMajority(m.voters())
	switch {
	case m.faults.AcknowledgeAlone:
		required = 0
	case m.faults.AcknowledgeByTwo:
		required = 1
	}
	if !m.members.Confirm(ctx, []replica.Entry{entry}, required, confirmTimeout) {
		return Error.New("too few other control members hear of worker %s's end: tell another one", worker.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed[worker.ID] = worker.State
	return nil
}

func (m *Member) isConfirmed(worker registry.Worker) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, found := m.confirmed[worker.ID]
	return found && state == worker.State
}

// beatTo returns the address of a control member in the worker's zone, or "" if there is none or it is this member's zone.
// Traffic between zones is charged.
func (m *Member) beatTo(beat registry.Beat) string {
	if beat.Zone == m.settings.Zone {
		return ""
	}
	snapshot, _ := m.members.Node().Snapshot()
	for _, peer := range topic.Peers(snapshot.Prefix(topic.Controls)) {
		if peer.Zone == beat.Zone {
			return peer.Steering
		}
	}
	return ""
}
