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
	// leaveMargin is what of the grace is left when the member ends whether the others can do without it or not.
	leaveMargin = 1500 * time.Millisecond
	// leaveWait is how long calls that are under way are given to end.
	leaveWait = 600 * time.Millisecond
)

// leave hands over what this member leads, waits until the others can do without it, tells them that it ends, and serves
// on for a moment.
func (m *Member) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), max(m.settings.Rules.Grace-leaveMargin, 0))
	defer cancel()
	if !m.faults.LeaveAtOnce && !m.host.Leave(ctx) {
		m.log.Warn().Interface("waited_for", m.ending()).Msg("ending though the other members may not hold everything")
	}
	m.members.Leave()
	time.Sleep(leaveWait)
}

// ending lists what this member, told to end, still waits for.
func (m *Member) ending() []status.Wait {
	holds := m.host.Ending()
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
