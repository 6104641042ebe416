package consensus

import "time"

// MemberID names one member for the life of its disk. Zero names nobody.
type MemberID uint64

// Index is a position in the replicated log. The first entry has index 1.
type Index uint64

// Term numbers the elections. A term has at most one leader.
type Term uint64

// Member is one participant of a partition.
type Member struct {
	// ID is the member's identity, drawn anew when its disk was lost.
	ID MemberID `cbor:"1,keyasint,omitempty"`
	// Address is where the member listens for messages of other members.
	Address string `cbor:"2,keyasint,omitempty"`
	// Node is the name of the machine.
	Node string `cbor:"3,keyasint,omitempty"`
}

// Membership is the set of members of a partition.
type Membership struct {
	// Voters elect the leader; a majority of them commits an entry.
	Voters []Member `cbor:"1,keyasint,omitempty"`
	// Learners receive the log, but neither vote nor count.
	Learners []Member `cbor:"2,keyasint,omitempty"`
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is the empty entry that a new leader begins its term with.
	EntryNoop EntryKind = iota + 1
	// EntryCommand holds a command of the caller.
	EntryCommand
	// EntryMembership holds a Membership in CBOR.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index Index     `cbor:"1,keyasint,omitempty"`
	Term  Term      `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must never forget beside its log.
type HardState struct {
	// Term is the latest term the member has seen.
	Term Term `cbor:"1,keyasint,omitempty"`
	// Vote is the candidate the member voted for in Term, or zero.
	Vote MemberID `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the caller's state after the entry at Index.
type Snapshot struct {
	Index Index `cbor:"1,keyasint,omitempty"`
	Term  Term  `cbor:"2,keyasint,omitempty"`
	// Membership is the membership in force at Index.
	Membership Membership `cbor:"3,keyasint,omitempty"`
	// Data is the caller's state; empty means the initial state.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Role is what a member currently is in its term.
type Role uint8

// The roles of a member.
const (
	RoleFollower Role = iota + 1
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (role Role) String() string {
	switch role {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "unknown"
	}
}

// Restored is what a member finds on its disk when it starts. A member that
// joins an existing partition starts with the zero value.
type Restored struct {
	HardState HardState
	// Snapshot is the latest snapshot; see Bootstrap for a new partition. The
	// caller restores its own state from it before it starts the Node.
	Snapshot Snapshot
	// Entries is the log on disk. It may overlap the snapshot.
	Entries []Entry
	// Restarted says that a former life of the member may have acknowledged a
	// leader: the member grants no vote for an election timeout.
	Restarted bool
}

// Bootstrap returns the snapshot that every initial member of a new partition
// starts with: the empty state at index 1 of term 1. Members that join later
// receive it, or a later one, from the leader.
func Bootstrap(initial Membership) Snapshot {
	return Snapshot{Index: 1, Term: 1, Membership: initial}
}

// Output is what a Node wants done since the previous TakeOutput.
type Output struct {
	// Persist is nil if there is nothing to write.
	Persist *PersistBatch
	// Messages are to be sent; a lost one is made up for.
	Messages []Outgoing
	// Restore replaces the caller's state before Committed is applied, if not
	// nil.
	Restore *Snapshot
	// Committed are the entries to apply, of all kinds, in order. An entry may be
	// committed by the others before the own disk has it.
	Committed []Entry
}

// PersistBatch is one write to the disk. Batches are written in the order of
// their sequence numbers. Inside a batch the parts apply in the order of the
// fields.
type PersistBatch struct {
	// Sequence numbers the batches from 1.
	Sequence uint64
	// HardState replaces the previous one, if not nil.
	HardState *HardState
	// Snapshot replaces the previous snapshot and the whole log, if not nil.
	Snapshot *Snapshot
	// Entries replace all entries at and after the index of the first of them.
	Entries []Entry
}

// Outgoing is a message to send.
type Outgoing struct {
	// To is the receiver. Its Address is empty if the member is known by its
	// identity only.
	To      Member
	Message Message
	// AfterPersist is the sequence number of the batch that must be on disk before
	// the message is sent; zero if it need not wait.
	AfterPersist uint64
}

// never is later than any time a caller passes in.
const never = time.Duration(1<<63 - 1)
