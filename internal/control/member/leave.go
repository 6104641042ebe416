package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"sumacloft/internal/control/reconfigure"
	"sumacloft/internal/status"
)

const (
	// leaveMargin is the part of the grace period that is left when the member stops waiting for the others.
	leaveMargin = 1500 * time.Millisecond
	// leaveWait is the time for calls in flight to complete.
	leaveWait = 600 * time.Millisecond
)

// leave transfers leadership, waits until the other members can continue without this one and announces the leave. It then
// keeps serving for leaveWait.
func (m *Member) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), max(m.settings.Rules.Grace-leaveMargin, 0))
	defer cancel()
	if !m.faults.LeaveAtOnce && !m.host.Leave(ctx) {
		m.log.Warn().Interface("waited_for", m.ending()).Msg("grace period ends: stopping although the other members may lack committed entries")
	}
	m.members.Leave()
	time.Sleep(leaveWait)
}

// ending lists what this member still waits for while it shuts down.
func (m *Member) ending() []status.Wait {
	holds := m.host.LeaveHolds()
	var waits []status.Wait
	for _, number := range slices.Sorted(maps.Keys(holds)) {
		reason := holds[number].String()
		if holds[number] == reconfigure.HoldNone {
			reason = "the answer of its leader"
		}
		waits = append(waits, status.Wait{Partition: partitionName(number), For: reason})
	}
	return waits
}
