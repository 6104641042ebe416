package partition

import (
	"time"

	"sumacloft/internal/control/consensus"
)

// Lease is the exclusive right to act for a partition.
type Lease struct {
	Fence uint64        // increases with every holder
	Held  time.Duration // how long this member has held it
	Left  time.Duration // time until it expires unless it is renewed
}

// LeaseOf returns a node's lease at the time now, for a member that became leader at ledSince. The lease is empty unless a
// majority granted it and an entry of the leader's term is committed.
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

// Settled reports whether the lease has been held for at least wait, the time that operations of an earlier holder may still
// take.
func (l Lease) Settled(wait time.Duration) bool { return l.Left > 0 && l.Held >= wait }

// TimeFor returns the time limit for an operation recorded under a fence: limit, or less so that it ends a margin before the
// lease does. It returns false if the operation must not start.
func (l Lease) TimeFor(fence uint64, limit, margin time.Duration) (time.Duration, bool) {
	if l.Left <= 0 || l.Fence != fence || l.Left < margin {
		return 0, false
	}
	return min(limit, l.Left-margin), true
}
