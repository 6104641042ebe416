package membership

import (
	"context"

	"sumacloft/internal/mesh/node"
	"sumacloft/internal/mesh/replica"
)

// Confirm has entries stored on the disks of this control member and the others, and waits until the wanted number of them
// has confirmed. persist stores them on this member's own disk. It reports whether they have.
func (m *Membership) Confirm(ctx context.Context, entries []replica.Entry, persist node.Persist, wanted int) bool {
	others := m.otherControls()
	results := make(chan error, len(others)+1)
	go func() { results <- persist(ctx, entries) }()
	for _, member := range others {
		go func() { results <- m.node.PushDurably(ctx, member.Address, entries) }()
	}
	for range cap(results) {
		if wanted <= 0 {
			return true
		}
		if <-results == nil {
			wanted--
		}
	}
	return wanted <= 0
}

// Majority is how many control members form a majority: of the live control members or of the wanted voters, whichever are
// more.
func (m *Membership) Majority(voters int) int {
	return max(len(m.otherControls())+1, voters)/2 + 1
}
