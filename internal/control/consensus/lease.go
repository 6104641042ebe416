package consensus

import (
	"slices"
	"time"
)

// noContact is the time of an answer that never came.
const noContact = time.Duration(-1 << 62)

// quorumContact returns the latest time such that a majority of the voters, the
// leader included, answered something the leader sent at or after it.
func (node *Node) quorumContact() time.Duration {
	membership := node.memberships.current()
	times := make([]time.Duration, 0, len(membership.Voters))
	for _, voter := range membership.Voters {
		times = append(times, node.acknowledgedBy(voter.ID))
	}
	if len(times) == 0 {
		return noContact
	}
	slices.Sort(times)
	return times[len(times)-node.quorum(membership)]
}

// acknowledgedBy returns when the latest message that a voter answered was sent.
func (node *Node) acknowledgedBy(id MemberID) time.Duration {
	if id == node.config.Self {
		return node.now
	}
	if progress := node.leading.progress[id]; progress != nil {
		return progress.acknowledged
	}
	return noContact
}

// leaseLength is how long a lease lasts from the time of sending.
func (node *Node) leaseLength() time.Duration {
	return node.config.ElectionTimeout - node.config.ClockDriftMargin
}

// quorumDeadline returns when a leader steps down unless a majority of the voters
// answers until then.
func (node *Node) quorumDeadline() time.Duration {
	return max(node.quorumContact(), node.leading.electedAt) + node.leaseLength()
}

// LeaseUntil returns the time until which no other leader can have been elected,
// and zero if the member has no such promise. It must be read anew after each
// call to the Node and before what TakeOutput returns is sent.
func (node *Node) LeaseUntil() time.Duration {
	if node.role != RoleLeader {
		return 0
	}
	if node.leading.leaseGivenUp && !node.config.faults.keepLeaseInTransfer {
		return 0
	}
	return max(node.quorumContact()+node.leaseLength(), 0)
}

// ReadIndexReady returns the index that the caller's state must have applied for
// a read that begins now to be linearizable. It reports false unless the member
// leads with a valid lease and has committed an entry of its own term.
func (node *Node) ReadIndexReady(now time.Duration) (Index, bool) {
	node.advance(now)
	if node.role != RoleLeader || node.now >= node.LeaseUntil() {
		return 0, false
	}
	if !node.committedOwnTerm() {
		return 0, false
	}
	return node.commit, true
}

// committedOwnTerm reports whether an entry of the own term is committed.
func (node *Node) committedOwnTerm() bool {
	term, _ := node.log.term(node.commit)
	return term == node.hard.Term
}
