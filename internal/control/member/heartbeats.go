package member

import (
	"context"
	"time"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// Beat implements steering.Workers.
func (m *Member) Beat(ctx context.Context, beat registry.Beat) (string, error) {
	m.mu.Lock()
	if !m.registry.Admits(beat.ID) {
		m.mu.Unlock()
		return "", errTooManyWorkers
	}
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

// errTooManyWorkers refuses a worker that is not known.
var errTooManyWorkers = Error.New("%d workers are known, as many as there may be: look for callers that make up worker ids", registry.DefaultMaxWorkers)

// Leave implements steering.Workers.
func (m *Member) Leave(ctx context.Context, id string) error {
	m.mu.Lock()
	if !m.registry.Admits(id) {
		m.mu.Unlock()
		return errTooManyWorkers
	}
	changed := m.registry.Leave(m.now(), id, 0)
	worker, known := m.registry.Find(id)
	m.mu.Unlock()
	if known {
		return m.propagate(ctx, worker, changed)
	}
	return nil
}

// propagate publishes a change of a worker to the fleet. The leave of a worker is acknowledged only once it is on the disks of
// a majority of the control members and routers of each zone have it. If a minority of the members is then partitioned or lost,
// or all processes are killed, a member that routers can reach still has it.
func (m *Member) propagate(ctx context.Context, worker registry.Worker, changed bool) error {
	entry := registry.EntryOf(worker)
	if worker.State == registry.Up || m.isConfirmed(worker) {
		if changed {
			m.members.Node().Put(entry)
		}
		return nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	delivered := m.members.Publish(entry)
	required := m.members.Majority(m.voters())
	switch {
	case m.faults.AcknowledgeAlone:
		required = 1
	case m.faults.AcknowledgeByTwo:
		required = 2
	}
	if !m.members.Confirm(ctx, []replica.Entry{entry}, m.persistWorkers, required) {
		return Error.New("too few control members have worker %s's end on disk: tell another one", worker.ID)
	}
	handedOver := m.faults.AcknowledgeUndelivered || m.awaitDelivery(ctx, delivered)
	m.log.Info().Str("worker", worker.ID).Stringer("state", worker.State).Int("disks", required).Bool("routers", handedOver).
		Int64("took_ms", time.Since(started).Milliseconds()).Msg("end of a worker acknowledged")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed[worker.ID] = worker.State
	return nil
}

// awaitDelivery waits until routers have a change, or until the context ends. Routers that can't be reached in this time are
// out of touch, or receive the change from a control member: it is on the disks of a majority.
func (m *Member) awaitDelivery(ctx context.Context, delivered <-chan struct{}) bool {
	select {
	case <-delivered:
		return true
	case <-ctx.Done():
		return false
	}
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
