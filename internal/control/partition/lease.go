package partition

import (
	"time"

	"sumacloft/internal/control/consensus"
)

// Lease is the right to act alone for a partition.
type Lease struct {
	Fence uint64        // rises with every holder
	Held  time.Duration // for how long this member has held it
	Left  time.Duration // until it ends unless it is renewed
}

// LeaseOf is a node's lease at a time, for a member that leads since another. Nothing is left of it unless a majority
// granted it and an entry of the leader's term is committed.
func LeaseOf(node *consensus.Node, now, ledSince time.Duration) Lease {
	if _, ready := node.ReadIndexReady(now); !ready {
		return Lease{}
	}
	return Lease{
		Fence: uint64(node.Status().Term),
		Held:  now - ledSince,
		Left:  node.LeaseUntil() - now,
	}
}

// Settled tells whether the lease is held for as long as what a holder before has begun may take to end.
func (l Lease) Settled(wait time.Duration) bool { return l.Left > 0 && l.Held >= wait }

// TimeFor is how long something that was written down under a fence may take: most, but it ends a margin before the lease
// does. False says that it must not begin.
func (l Lease) TimeFor(fence uint64, limit, margin time.Duration) (time.Duration, bool) {
	if l.Left <= 0 || l.Fence != fence || l.Left < margin {
		return 0, false
	}
	return min(limit, l.Left-margin), true
}
