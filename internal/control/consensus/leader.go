package consensus

import (
	"slices"
	"time"
)

// leading is the state of a leader's term.
type leading struct {
	electedAt time.Duration
	// heartbeatDue is when the next heartbeat goes out.
	heartbeatDue time.Duration
	progress     map[MemberID]*progress
	// transfer is the handover in progress, or nil.
	transfer *transfer
	// leaseGivenUp says that another member was asked to stand for election, which
	// rules out a lease for the rest of the term.
	leaseGivenUp bool
}

// becomeLeader takes office and begins the term with an empty entry.
func (node *Node) becomeLeader() {
	node.role = RoleLeader
	node.leader = node.config.Self
	node.election.votes = nil
	node.leading = &leading{
		electedAt:    node.now,
		heartbeatDue: node.nextHeartbeat(),
		progress:     map[MemberID]*progress{},
	}
	node.trackMembers()
	node.appendOwn(EntryNoop, nil)
}

// appendOwn appends an entry of the own term and returns its index.
func (node *Node) appendOwn(kind EntryKind, data []byte) Index {
	entry := Entry{
		Index: node.log.lastIndex() + 1,
		Term:  node.hard.Term,
		Kind:  kind,
		Data:  data,
	}
	node.log.append([]Entry{entry})
	node.disk.addEntries([]Entry{entry})
	if node.config.faults.countUnpersisted {
		node.advanceCommit()
	}
	return entry.Index
}

// tickLeader does what is due on a leader.
func (node *Node) tickLeader() {
	if node.now >= node.quorumDeadline() {
		node.becomeFollower(node.hard.Term, 0)
		return
	}
	if node.transferOverdue() {
		node.endTransfer()
		if node.role != RoleLeader {
			return
		}
	}
	if node.now < node.leading.heartbeatDue {
		return
	}
	node.leading.heartbeatDue = node.nextHeartbeat()
	for _, id := range node.leading.members() {
		node.sendHeartbeat(id)
	}
}

// nextLeaderTick returns when a leader has something to do.
func (node *Node) nextLeaderTick() time.Duration {
	next := min(node.leading.heartbeatDue, node.quorumDeadline())
	if transfer := node.leading.transfer; transfer != nil {
		next = min(next, transfer.deadline)
	}
	return next
}

// members returns the members the leader replicates to, in order.
func (leading *leading) members() []MemberID {
	members := make([]MemberID, 0, len(leading.progress))
	for id := range leading.progress {
		members = append(members, id)
	}
	slices.Sort(members)
	return members
}

// trackMembers makes the progress fit the membership.
func (node *Node) trackMembers() {
	membership := node.memberships.current()
	for _, member := range membership.all() {
		if member.ID == node.config.Self || node.leading.progress[member.ID] != nil {
			continue
		}
		node.leading.progress[member.ID] = newProgress(node.log.lastIndex() + 1)
	}
	for id := range node.leading.progress {
		if !membership.contains(id) {
			delete(node.leading.progress, id)
		}
	}
}

// nextHeartbeat is the next multiple of the interval, so that the heartbeats of several nodes over one clock fall together and
// may travel as one.
func (node *Node) nextHeartbeat() time.Duration {
	interval := node.config.Heartbeat
	return node.now - node.now%interval + interval
}

// sendHeartbeat tells a member that the leader is there.
func (node *Node) sendHeartbeat(to MemberID) {
	progress := node.leading.progress[to]
	heartbeat := Message{
		Kind:   MessageHeartbeat,
		Commit: min(node.commit, progress.match),
		Sent:   int64(node.now),
	}
	if progress.match == 0 {
		heartbeat.Sender = node.self()
	}
	node.send(to, heartbeat)
}

// handleHeartbeatAnswer notes that a member is there, and looks after what it
// may have missed.
func (node *Node) handleHeartbeatAnswer(answer Message) {
	progress := node.progressOf(answer.From)
	if progress == nil || answer.Reject {
		return
	}
	node.noteContact(progress, answer)
	progress.paused = false
	if progress.state == StateReplicate && progress.match < node.log.lastIndex() {
		node.sendProbe(answer.From, progress)
	}
}

// progressOf returns a leader's view of a member, or nil.
func (node *Node) progressOf(id MemberID) *progress {
	if node.leading == nil {
		return nil
	}
	return node.leading.progress[id]
}

// noteContact notes the time of an answer and of what it answers.
func (node *Node) noteContact(progress *progress, answer Message) {
	progress.contacted = true
	progress.lastContact = node.now
	sent := time.Duration(answer.Sent)
	if node.config.faults.leaseFromAnswerTime {
		sent = node.now
	}
	if sent <= node.now {
		progress.acknowledged = max(progress.acknowledged, sent)
	}
}

// advanceCommit commits what a majority of the voters has on disk.
func (node *Node) advanceCommit() {
	index := node.majorityIndex()
	if index <= node.commit {
		return
	}
	term, _ := node.log.term(index)
	if term != node.hard.Term && !node.config.faults.commitOldTerms {
		return
	}
	node.commit = index
	node.retireIfRemoved()
}

// majorityIndex returns the latest index that a majority of the voters has on
// disk.
func (node *Node) majorityIndex() Index {
	membership := node.memberships.current()
	indexes := make([]Index, 0, len(membership.Voters))
	for _, voter := range membership.Voters {
		indexes = append(indexes, node.matchOf(voter.ID))
	}
	if len(indexes) == 0 {
		return 0
	}
	slices.Sort(indexes)
	return indexes[len(indexes)-node.quorum(membership)]
}

// matchOf returns the index up to which a member has the leader's log on disk.
func (node *Node) matchOf(id MemberID) Index {
	if id == node.config.Self {
		if node.config.faults.countUnpersisted {
			return node.log.lastIndex()
		}
		return node.disk.stable
	}
	if progress := node.leading.progress[id]; progress != nil {
		return progress.match
	}
	return 0
}
