package consensus

import "time"

// Status is a view of a Node for operators and for the caller's own decisions.
type Status struct {
	Self   MemberID
	Role   Role
	Term   Term
	Leader Member
	// Commit, Applied and Last are the indexes of the latest committed entry, of
	// the latest handed to the caller and of the last in the log.
	Commit  Index
	Applied Index
	Last    Index
	// Stable is the index up to which the log is on the own disk.
	Stable Index
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex Index
	// Membership is in force; it is committed unless MembershipPending.
	Membership        Membership
	MembershipPending bool
	// DiskFailed says that the own disk refuses writes.
	DiskFailed bool
	// Transferring is the member leadership is being handed to, or zero.
	Transferring MemberID
	// Members is the leader's view of the other members, in the order of their
	// identities; nil on others.
	Members []MemberStatus
}

// MemberStatus is a leader's view of another member.
type MemberStatus struct {
	Member Member
	Voter  bool
	State  ProgressState
	// Match is the index up to which the member has the leader's log on disk.
	Match Index
	// Next is the index of the entry to send next.
	Next Index
	// Contacted says that LastContact, the time of the latest answer, is set.
	Contacted   bool
	LastContact time.Duration
}

// Leader returns the leader of the term, if the member knows of one.
func (node *Node) Leader() (Member, bool) {
	if node.leader == 0 {
		return Member{}, false
	}
	return node.member(node.leader), true
}

// IsVoter reports whether the member votes by the membership in force.
func (node *Node) IsVoter() bool {
	return node.memberships.current().isVoter(node.config.Self)
}

// IsLeader reports whether the member believes itself the leader. See LeaseUntil
// for a promise.
func (node *Node) IsLeader() bool {
	return node.role == RoleLeader
}

// Status returns the current state.
func (node *Node) Status() Status {
	leader, _ := node.Leader()
	latest := node.memberships.latest()
	status := Status{
		Self:              node.config.Self,
		Role:              node.role,
		Term:              node.hard.Term,
		Leader:            leader,
		Commit:            node.commit,
		Applied:           node.applied,
		Last:              node.log.lastIndex(),
		Stable:            node.disk.stable,
		SnapshotIndex:     node.snapshot.Index,
		Membership:        latest.membership,
		MembershipPending: latest.index > node.commit,
		DiskFailed:        node.diskFailed,
	}
	if node.leading == nil {
		return status
	}
	if transfer := node.leading.transfer; transfer != nil {
		status.Transferring = transfer.to
	}
	for _, id := range node.leading.members() {
		status.Members = append(status.Members, node.memberStatus(id))
	}
	return status
}

// memberStatus returns the leader's view of a member.
func (node *Node) memberStatus(id MemberID) MemberStatus {
	progress := node.leading.progress[id]
	return MemberStatus{
		Member:      node.member(id),
		Voter:       node.memberships.current().isVoter(id),
		State:       progress.state,
		Match:       progress.match,
		Next:        progress.next,
		Contacted:   progress.contacted,
		LastContact: progress.lastContact,
	}
}
