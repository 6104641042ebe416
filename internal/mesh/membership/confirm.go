package membership

import (
	"context"
	"time"

	"sumacloft/internal/mesh/replica"
)

// Confirm pushes entries to the other control members and waits until the wanted number of them has acknowledged, for at most
// limit. It reports whether they have.
func (m *Membership) Confirm(ctx context.Context, entries []replica.Entry, wanted int, limit time.Duration) bool {
	others := m.otherControls()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	results := make(chan error, len(others))
	for _, member := range others {
		go func() { results <- m.node.Push(ctx, member.Address, entries) }()
	}
	for range others {
		if wanted <= 0 {
			return true
		}
		if <-results == nil {
			wanted--
		}
	}
	return wanted <= 0
}

// OthersForMajority is how many other control members form a majority together with this one. The majority is that of the
// live control members or of the wanted voters, whichever are more.
func (m *Membership) OthersForMajority(voters int) int {
	return max(len(m.otherControls())+1, voters) / 2
}
