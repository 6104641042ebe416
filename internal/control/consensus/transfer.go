package consensus

import "time"

// transfer is a handover of leadership.
type transfer struct {
	to MemberID
	// deadline is when the handover is given up.
	deadline time.Duration
	// asked says that the successor was asked to stand for election.
	asked bool
}

// TransferLeadership hands leadership to a voter, which is asked to stand for
// election once it has the whole log. Meanwhile proposals are refused with
// ErrTransferring. If the voter does not get the log within an election timeout
// the leader goes on; if it was asked and did not win within that time, the leader
// steps down. Errors: ErrNotLeader, ErrTransferring, ErrTransferTarget.
func (node *Node) TransferLeadership(now time.Duration, to MemberID) error {
	node.advance(now)
	if err := node.checkLeading(); err != nil {
		return err
	}
	if to == node.config.Self || !node.memberships.current().isVoter(to) {
		return ErrTransferTarget{To: to}
	}
	node.startTransfer(to)
	return nil
}

// startTransfer begins a handover.
func (node *Node) startTransfer(to MemberID) {
	node.leading.transfer = &transfer{to: to, deadline: node.now + node.config.ElectionTimeout}
	node.continueTransfer()
}

// continueTransfer asks the successor to stand once it has the whole log.
func (node *Node) continueTransfer() {
	if node.leading == nil || node.leading.transfer == nil {
		return
	}
	transfer := node.leading.transfer
	if transfer.asked || node.matchOf(transfer.to) < node.log.lastIndex() {
		return
	}
	transfer.asked = true
	node.askToLead(transfer.to)
}

// askToLead asks a member to stand for election, which ends the lease.
func (node *Node) askToLead(to MemberID) {
	node.leading.leaseGivenUp = true
	node.send(to, Message{Kind: MessageTimeoutNow})
}

// transferOverdue reports whether a handover takes too long.
func (node *Node) transferOverdue() bool {
	transfer := node.leading.transfer
	return transfer != nil && node.now >= transfer.deadline
}

// endTransfer gives a handover up.
func (node *Node) endTransfer() {
	asked := node.leading.transfer.asked
	node.leading.transfer = nil
	if asked || node.diskFailed {
		node.becomeFollower(node.hard.Term, 0)
	}
}

// leaveLeadership hands leadership to the best successor, or steps down if there
// is none.
func (node *Node) leaveLeadership() {
	if node.leading.transfer != nil {
		return
	}
	successor, found := node.bestSuccessor()
	if !found {
		node.becomeFollower(node.hard.Term, 0)
		return
	}
	node.startTransfer(successor)
}

// bestSuccessor returns the voter with the longest log among those that answered
// within an election timeout.
func (node *Node) bestSuccessor() (MemberID, bool) {
	var best MemberID
	for _, voter := range node.memberships.current().Voters {
		progress := node.leading.progress[voter.ID]
		if progress == nil || !progress.contacted {
			continue
		}
		if node.now-progress.lastContact >= node.config.ElectionTimeout {
			continue
		}
		if best == 0 || progress.match > node.matchOf(best) {
			best = voter.ID
		}
	}
	return best, best != 0
}

// handleTimeoutNow stands for election on the leader's behalf.
func (node *Node) handleTimeoutNow(message Message) {
	if node.role != RoleFollower || node.leader != message.From || !node.canCampaign() {
		return
	}
	node.campaign(true)
}
