package consensus

import "time"

// TakeOutput returns what is to be done since it was last called. On a leader it
// also fills the appends: proposals made since then travel together.
func (node *Node) TakeOutput() Output {
	if node.leading != nil {
		node.replicate()
	}
	output := Output{
		Persist:   node.disk.take(),
		Messages:  node.outbox,
		Restore:   node.restore,
		Committed: node.log.between(node.applied, node.commit),
	}
	node.outbox = nil
	node.restore = nil
	node.applied = node.commit
	return output
}

// Persisted reports that the batches up to a sequence number are on disk.
func (node *Node) Persisted(now time.Duration, sequence uint64) {
	node.advance(now)
	node.disk.report(sequence)
	switch node.role {
	case RoleLeader:
		node.advanceCommit()
	case RoleCandidate:
		node.countOwnVote()
	}
}

// DiskFailed reports that the own disk refuses writes. The member grants no
// votes and does not stand for election; a leader hands leadership over, or steps
// down if it finds nobody to hand it to. Batches handed out stay outstanding.
func (node *Node) DiskFailed(now time.Duration) {
	node.advance(now)
	node.diskFailed = true
	switch node.role {
	case RoleLeader:
		node.leaveLeadership()
	case RolePreCandidate, RoleCandidate:
		node.becomeFollower(node.hard.Term, 0)
	}
}

// DiskRecovered reports that the own disk takes writes again. The caller writes
// the outstanding batches first, in order.
func (node *Node) DiskRecovered(now time.Duration) {
	node.advance(now)
	if !node.diskFailed {
		return
	}
	node.diskFailed = false
	if node.role == RoleFollower {
		node.resetElectionTimer()
	}
}

// Propose appends a command to the log and returns its place. It is committed
// once Committed has an entry with that index and term; an entry of another term
// at that index means that it was lost. Errors: ErrNotLeader, ErrTransferring.
func (node *Node) Propose(now time.Duration, data []byte) (Index, Term, error) {
	node.advance(now)
	if err := node.checkLeading(); err != nil {
		return 0, 0, err
	}
	index := node.appendOwn(EntryCommand, data)
	return index, node.hard.Term, nil
}

// checkLeading returns an error unless the member leads and takes proposals.
func (node *Node) checkLeading() error {
	if node.role != RoleLeader {
		leader, _ := node.Leader()
		return ErrNotLeader{Leader: leader}
	}
	if transfer := node.leading.transfer; transfer != nil {
		return ErrTransferring{To: transfer.to}
	}
	return nil
}
