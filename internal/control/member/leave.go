package member

import (
	"context"
	"time"
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
		m.log.Warn().Msg("ending though the other members may not hold everything")
	}
	m.members.Leave()
	time.Sleep(leaveWait)
}
