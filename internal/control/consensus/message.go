package consensus

// MessageKind tells what a message is.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether a vote would be granted. Term is the term of the
	// election to come, LogIndex and LogTerm are the sender's last entry.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteAnswer answers MessagePreVote.
	MessagePreVoteAnswer
	// MessageVote asks for a vote. LogIndex and LogTerm are the sender's last entry.
	MessageVote
	// MessageVoteAnswer answers MessageVote.
	MessageVoteAnswer
	// MessageAppend carries entries after the entry at LogIndex and LogTerm.
	MessageAppend
	// MessageAppendAnswer says that the log agrees with the leader's up to LogIndex,
	// or, with Reject, that the entry at LogIndex does not.
	MessageAppendAnswer
	// MessageHeartbeat says that the leader is there.
	MessageHeartbeat
	// MessageHeartbeatAnswer answers MessageHeartbeat.
	MessageHeartbeatAnswer
	// MessageSnapshot carries a part of a snapshot.
	MessageSnapshot
	// MessageSnapshotAnswer says which part of a snapshot is wanted next.
	MessageSnapshotAnswer
	// MessageTimeoutNow asks the receiver to stand for election at once.
	MessageTimeoutNow
)

// Message is what members send to each other. Which fields have a meaning
// depends on Kind.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint,omitempty"`
	From MemberID    `cbor:"2,keyasint,omitempty"`
	To   MemberID    `cbor:"3,keyasint,omitempty"`
	Term Term        `cbor:"4,keyasint,omitempty"`
	// LogIndex and LogTerm name an entry of the log; see the kinds.
	LogIndex Index `cbor:"5,keyasint,omitempty"`
	LogTerm  Term  `cbor:"6,keyasint,omitempty"`
	// Commit is the latest index the receiver may take as committed.
	Commit  Index   `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Sent is the leader's own time of sending in nanoseconds, returned in answers.
	Sent int64 `cbor:"9,keyasint,omitempty"`
	// Reject marks a refusal in an answer.
	Reject bool `cbor:"10,keyasint,omitempty"`
	// HintIndex and HintTerm name, in a refused append, the last entry of the
	// receiver that may agree with the leader's log.
	HintIndex Index `cbor:"11,keyasint,omitempty"`
	HintTerm  Term  `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote that the former leader asked for itself: the voter
	// grants it although it has just heard from that leader.
	Transfer bool `cbor:"13,keyasint,omitempty"`
	// Snapshot is a part of a snapshot.
	Snapshot *SnapshotPart `cbor:"14,keyasint,omitempty"`
	// Offset is, in the answer to a part, the offset of that part.
	Offset uint64 `cbor:"15,keyasint,omitempty"`
	// Wanted is, in the answer to a part, the offset of the part wanted next.
	Wanted uint64 `cbor:"16,keyasint,omitempty"`
	// Sender is the sender's own entry, where the receiver may not know it yet.
	Sender *Member `cbor:"17,keyasint,omitempty"`
}

// SnapshotPart is a part of a snapshot that is sent in several messages.
type SnapshotPart struct {
	Index      Index      `cbor:"1,keyasint,omitempty"`
	Term       Term       `cbor:"2,keyasint,omitempty"`
	Membership Membership `cbor:"3,keyasint,omitempty"`
	// Offset is where Data begins in the snapshot's data, in bytes.
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	// Size is the length of the snapshot's data in bytes.
	Size uint64 `cbor:"5,keyasint,omitempty"`
	Data []byte `cbor:"6,keyasint,omitempty"`
}

// fromLeader reports whether only a term's leader sends messages of the kind.
func (kind MessageKind) fromLeader() bool {
	switch kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return true
	default:
		return false
	}
}

// answer reports whether messages of the kind answer another message.
func (kind MessageKind) answer() bool {
	switch kind {
	case MessagePreVoteAnswer, MessageVoteAnswer, MessageAppendAnswer,
		MessageHeartbeatAnswer, MessageSnapshotAnswer:
		return true
	default:
		return false
	}
}
