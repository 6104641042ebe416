package consensus

import "time"

// election is what a member remembers for electing a leader.
type election struct {
	// deadline is when the member stands for election.
	deadline time.Duration
	// heard says that heardAt, the time a leader was last heard from, is set. It
	// outlives the term: the lease of that leader rests on it.
	heard   bool
	heardAt time.Duration
	// holdVotesUntil is until when no vote is granted after a restart.
	holdVotesUntil time.Duration
	// votes are the members that granted the current (pre-)candidacy.
	votes map[MemberID]bool
	// ownVote is the batch that holds the vote for oneself.
	ownVote uint64
	// transfer says that the former leader asked for the candidacy.
	transfer bool
}

// resetElectionTimer draws the next time to stand for election.
func (node *Node) resetElectionTimer() {
	timeout := node.config.ElectionTimeout
	node.election.deadline = node.now + timeout + time.Duration(node.random.Int64N(int64(timeout)))
}

// canCampaign reports whether the member may stand for election. A voter whose
// removal is not known to be committed may: it can be the only one that has the
// removal in its log, and it wins by the votes of the others only.
func (node *Node) canCampaign() bool {
	if node.diskFailed {
		return false
	}
	latest := node.memberships.latest()
	if latest.membership.isVoter(node.config.Self) {
		return true
	}
	return latest.index > node.commit && node.memberships.at(latest.index-1).isVoter(node.config.Self)
}

// preCampaign asks the voters whether they would elect this member. No term is
// spent on it, so a member that cannot win disturbs nobody.
func (node *Node) preCampaign() {
	node.becomeFollower(node.hard.Term, 0)
	node.resetElectionTimer()
	node.role = RolePreCandidate
	node.election.votes = map[MemberID]bool{node.config.Self: true}
	if node.hasQuorum(node.election.votes) {
		node.campaign(false)
		return
	}
	node.askVoters(Message{Kind: MessagePreVote, Term: node.hard.Term + 1}, 0)
}

// campaign stands for election in the next term.
func (node *Node) campaign(transfer bool) {
	node.becomeFollower(node.hard.Term, 0)
	node.resetElectionTimer()
	node.role = RoleCandidate
	node.election.votes = map[MemberID]bool{}
	node.setHardState(HardState{Term: node.hard.Term + 1, Vote: node.config.Self})
	node.election.ownVote = node.disk.hardState
	node.askVoters(Message{Kind: MessageVote, Transfer: transfer}, node.disk.last)
	node.countOwnVote()
}

// askVoters sends a request for votes.
func (node *Node) askVoters(request Message, afterPersist uint64) {
	request.LogIndex = node.log.lastIndex()
	request.LogTerm = node.log.lastTerm()
	request.Sender = node.self()
	for _, voter := range node.memberships.current().Voters {
		if voter.ID != node.config.Self {
			node.sendAfter(voter.ID, request, afterPersist)
		}
	}
}

// countOwnVote counts a candidate's vote for itself once it is on disk.
func (node *Node) countOwnVote() {
	onDisk := node.disk.persisted >= node.election.ownVote
	if !onDisk && !node.config.faults.acknowledgeBeforePersist {
		return
	}
	node.election.votes[node.config.Self] = true
	node.finishElection()
}

// finishElection becomes the leader if a majority voted for it.
func (node *Node) finishElection() {
	if node.hasQuorum(node.election.votes) {
		node.becomeLeader()
	}
}

// hasQuorum reports whether a majority of the voters is in a set.
func (node *Node) hasQuorum(granted map[MemberID]bool) bool {
	membership := node.memberships.current()
	count := 0
	for _, voter := range membership.Voters {
		if granted[voter.ID] {
			count++
		}
	}
	return count >= node.quorum(membership)
}

// sticksToLeader reports whether a request for a vote is refused because a leader
// may still hold a lease that counts on this member.
func (node *Node) sticksToLeader(request Message) bool {
	if request.Transfer || node.config.faults.ignoreStickiness {
		return false
	}
	if node.role == RoleLeader || node.now < node.election.holdVotesUntil {
		return true
	}
	return node.election.heard && node.now < node.election.heardAt+node.config.ElectionTimeout
}

// grants reports whether the member would vote for the sender of a request.
func (node *Node) grants(request Message) bool {
	if node.diskFailed || node.sticksToLeader(request) {
		return false
	}
	if !node.config.faults.ignoreLogInVotes && !node.log.upToDate(request.LogIndex, request.LogTerm) {
		return false
	}
	if request.Term > node.hard.Term || node.config.faults.voteTwice {
		return true
	}
	if node.hard.Vote == 0 {
		return node.leader == 0
	}
	return node.hard.Vote == request.From
}

// handlePreVote answers whether a vote would be granted.
func (node *Node) handlePreVote(request Message) {
	if node.grants(request) {
		node.send(request.From, Message{Kind: MessagePreVoteAnswer, Term: request.Term})
		return
	}
	node.sendAfter(request.From, Message{Kind: MessagePreVoteAnswer, Reject: true}, node.disk.hardState)
}

// handlePreVoteAnswer counts an answer and stands for election at a majority.
func (node *Node) handlePreVoteAnswer(answer Message) {
	if node.role != RolePreCandidate || answer.Reject || answer.Term != node.hard.Term+1 {
		return
	}
	node.election.votes[answer.From] = true
	if node.hasQuorum(node.election.votes) {
		node.campaign(false)
	}
}

// handleVote votes.
func (node *Node) handleVote(request Message) {
	if !node.grants(request) {
		node.sendAfter(request.From, Message{Kind: MessageVoteAnswer, Reject: true}, node.disk.hardState)
		return
	}
	node.setHardState(HardState{Term: node.hard.Term, Vote: request.From})
	node.resetElectionTimer()
	node.sendAfter(request.From, Message{Kind: MessageVoteAnswer}, node.disk.hardState)
}

// handleVoteAnswer counts a vote.
func (node *Node) handleVoteAnswer(answer Message) {
	if node.role != RoleCandidate || answer.Reject {
		return
	}
	node.election.votes[answer.From] = true
	node.finishElection()
}

// followLeader notes that the term's leader was heard from. It reports false for
// a message that contradicts the own leadership.
func (node *Node) followLeader(leader MemberID) bool {
	if node.role == RoleLeader {
		return false
	}
	if node.role != RoleFollower || node.leader != leader {
		node.becomeFollower(node.hard.Term, leader)
	}
	node.election.heard = true
	node.election.heardAt = node.now
	node.resetElectionTimer()
	return true
}
