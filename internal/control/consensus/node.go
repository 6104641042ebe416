package consensus

import (
	"math/rand/v2"
	"time"
)

// Node is one member of a partition. See the package comment for its use.
type Node struct {
	config Config
	random *rand.Rand
	// now is the latest time passed in.
	now time.Duration

	hard   HardState
	role   Role
	leader MemberID

	log         replicatedLog
	snapshot    Snapshot
	commit      Index
	applied     Index
	memberships membershipHistory
	// contacts are members met that may be missing in the membership.
	contacts map[MemberID]Member

	election election
	// leading is the state of the leader's term; nil on others.
	leading *leading
	// incoming is the snapshot being received; nil if none.
	incoming *incomingSnapshot

	disk       pipeline
	diskFailed bool
	outbox     []Outgoing
	restore    *Snapshot
}

// New starts a member from what is on its disk. It fails with an error of class
// Error if the configuration or the restored state cannot be used.
func New(config Config, now time.Duration, restored Restored) (*Node, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	node := &Node{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.Self))),
		now:      now,
		hard:     restored.HardState,
		role:     RoleFollower,
		snapshot: restored.Snapshot,
		commit:   restored.Snapshot.Index,
		applied:  restored.Snapshot.Index,
		contacts: map[MemberID]Member{},
	}
	node.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	node.memberships.reset(restored.Snapshot.Index, restored.Snapshot.Membership)
	entries := restoredEntries(restored)
	for position, entry := range entries {
		if entry.Index != restored.Snapshot.Index+Index(position)+1 {
			return nil, Error.New("the log on disk jumps to index %d: wipe the member's disk and let it join under a new identity",
				entry.Index)
		}
	}
	if err := node.memberships.append(entries); err != nil {
		return nil, err
	}
	node.log.append(entries)
	node.disk.stable = node.log.lastIndex()
	node.hard.Term = max(node.hard.Term, node.log.lastTerm())
	node.election.holdVotesUntil = now
	if restored.Restarted && !config.faults.ignoreRestart {
		node.election.holdVotesUntil = now + config.ElectionTimeout
	}
	node.resetElectionTimer()
	return node, nil
}

// restoredEntries returns the entries on disk that follow the snapshot.
func restoredEntries(restored Restored) []Entry {
	snapshot := restored.Snapshot
	for position, entry := range restored.Entries {
		switch {
		case entry.Index < snapshot.Index:
			continue
		case entry.Index == snapshot.Index && entry.Term != snapshot.Term:
			return nil // The log on disk had not caught up with the snapshot.
		case entry.Index == snapshot.Index:
			return restored.Entries[position+1:]
		case entry.Term < snapshot.Term:
			return nil
		default:
			return restored.Entries[position:]
		}
	}
	return nil
}

// Tick does what is due at a time. It may be called at any time.
func (node *Node) Tick(now time.Duration) {
	node.advance(now)
	if node.role == RoleLeader {
		node.tickLeader()
		return
	}
	if node.now < node.election.deadline {
		return
	}
	if node.canCampaign() {
		node.preCampaign()
		return
	}
	node.resetElectionTimer()
}

// NextTick returns the time at which Tick has something to do, if nothing else
// happens before.
func (node *Node) NextTick() time.Duration {
	if node.role == RoleLeader {
		return node.nextLeaderTick()
	}
	if !node.canCampaign() {
		return never
	}
	return node.election.deadline
}

// Step takes in a message. Messages for somebody else are ignored.
func (node *Node) Step(now time.Duration, message Message) {
	node.advance(now)
	if message.To != node.config.Self || message.From == node.config.Self || message.From == 0 {
		return
	}
	if message.Kind.answer() && !node.memberships.current().contains(message.From) {
		return
	}
	if message.Sender != nil && message.Sender.ID == message.From {
		node.contacts[message.From] = *message.Sender
	}
	if message.Term < node.hard.Term {
		node.answerOldTerm(message)
		return
	}
	if message.Term > node.hard.Term && !node.enterTerm(message) {
		return
	}
	node.handle(message)
}

// enterTerm follows a message into its later term and reports whether the
// message is to be handled.
func (node *Node) enterTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote, MessagePreVoteAnswer:
		if message.Kind == MessagePreVoteAnswer && message.Reject {
			node.becomeFollower(message.Term, 0)
		}
		return true
	case MessageTimeoutNow:
		return false
	case MessageVote:
		if node.sticksToLeader(message) {
			return false
		}
	}
	node.becomeFollower(message.Term, 0)
	return true
}

// answerOldTerm answers a message of an earlier term where the sender can learn
// something from the answer.
func (node *Node) answerOldTerm(message Message) {
	switch {
	case message.Kind == MessagePreVote:
		node.sendAfter(message.From, Message{Kind: MessagePreVoteAnswer, Reject: true}, node.disk.hardState)
	case message.Kind == MessageVote:
		node.sendAfter(message.From, Message{Kind: MessageVoteAnswer, Reject: true}, node.disk.hardState)
	case message.Kind.fromLeader():
		// Also frees a member whose term ran ahead in a failed election: the leader
		// follows it into its term.
		node.sendAfter(message.From, Message{Kind: MessageHeartbeatAnswer, Reject: true}, node.disk.hardState)
	}
}

// handle takes in a message of the own term, or a pre-vote.
func (node *Node) handle(message Message) {
	if message.Kind.fromLeader() && !node.followLeader(message.From) {
		return
	}
	switch message.Kind {
	case MessagePreVote:
		node.handlePreVote(message)
	case MessagePreVoteAnswer:
		node.handlePreVoteAnswer(message)
	case MessageVote:
		node.handleVote(message)
	case MessageVoteAnswer:
		node.handleVoteAnswer(message)
	case MessageAppend:
		node.handleAppend(message)
	case MessageHeartbeat:
		node.handleHeartbeat(message)
	case MessageSnapshot:
		node.handleSnapshotPart(message)
	case MessageAppendAnswer:
		node.handleAppendAnswer(message)
	case MessageHeartbeatAnswer:
		node.handleHeartbeatAnswer(message)
	case MessageSnapshotAnswer:
		node.handleSnapshotAnswer(message)
	case MessageTimeoutNow:
		node.handleTimeoutNow(message)
	}
}

// advance moves the time on, never back.
func (node *Node) advance(now time.Duration) {
	node.now = max(node.now, now)
}

// becomeFollower steps down, into a later term if the given one is later.
func (node *Node) becomeFollower(term Term, leader MemberID) {
	if term > node.hard.Term {
		node.setHardState(HardState{Term: term})
		node.incoming = nil
	}
	if node.role != RoleFollower {
		node.resetElectionTimer()
	}
	node.role = RoleFollower
	node.leader = leader
	node.leading = nil
	node.election.votes = nil
}

// setHardState changes the hard state and has it written.
func (node *Node) setHardState(state HardState) {
	if state == node.hard {
		return
	}
	node.hard = state
	node.disk.addHardState(state)
}

// send queues a message that need not wait for the disk.
func (node *Node) send(to MemberID, message Message) {
	node.sendAfter(to, message, 0)
}

// sendAfter queues a message that waits for a batch. The sender and, unless set,
// the term are filled in.
func (node *Node) sendAfter(to MemberID, message Message, sequence uint64) {
	message.From = node.config.Self
	message.To = to
	if message.Term == 0 {
		message.Term = node.hard.Term
	}
	if node.config.faults.acknowledgeBeforePersist || sequence <= node.disk.persisted {
		sequence = 0
	}
	node.outbox = append(node.outbox, Outgoing{To: node.member(to), Message: message, AfterPersist: sequence})
}

// member returns what is known of a member.
func (node *Node) member(id MemberID) Member {
	if member, found := node.memberships.current().find(id); found {
		return member
	}
	if member, found := node.contacts[id]; found {
		return member
	}
	return Member{ID: id}
}

// self returns the own member as the membership has it.
func (node *Node) self() *Member {
	member := node.member(node.config.Self)
	return &member
}
