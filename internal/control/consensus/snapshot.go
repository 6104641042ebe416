package consensus

// incomingSnapshot gathers the parts of a snapshot.
type incomingSnapshot struct {
	from     MemberID
	leading  Term
	snapshot Snapshot
	size     uint64
}

// Compact drops the log up to a snapshot that the caller took of its state and
// wrote to its disk after the batches handed out before. A margin of entries is
// kept in memory. See SnapshotAt. It fails with an error of class Error for a
// snapshot that is not of applied state, and ignores an old one.
func (node *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index > node.applied {
		return Error.New("the snapshot at index %d is ahead of the applied index %d: take it of applied state",
			snapshot.Index, node.applied)
	}
	if snapshot.Index <= node.snapshot.Index {
		return nil
	}
	node.snapshot = snapshot
	node.memberships.compact(snapshot.Index)
	node.log.compact(node.log.marginBefore(snapshot.Index, node.config.CompactMargin, node.config.CompactMarginBytes))
	return nil
}

// SnapshotAt returns a snapshot with the caller's state after the entry at an
// applied index. It fails with an error of class Error if the index is not
// between the latest snapshot and the applied index.
func (node *Node) SnapshotAt(index Index, data []byte) (Snapshot, error) {
	term, known := node.log.term(index)
	if !known || index < node.snapshot.Index || index > node.applied {
		return Snapshot{}, Error.New("no snapshot can be taken at index %d: take it between the latest snapshot at %d and the applied index %d",
			index, node.snapshot.Index, node.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: node.memberships.at(index), Data: data}, nil
}

// startSnapshot begins to send the latest snapshot to a member.
func (node *Node) startSnapshot(id MemberID, progress *progress) {
	progress.sendSnapshot(node.snapshot)
	node.sendSnapshotPart(id, progress)
}

// sendSnapshotPart sends the next part of a snapshot, unless one is unanswered.
func (node *Node) sendSnapshotPart(id MemberID, progress *progress) {
	if progress.paused {
		return
	}
	if node.config.faults.restartSnapshot && node.snapshot.Index > progress.snapshot.Index {
		progress.sendSnapshot(node.snapshot)
	}
	progress.paused = true
	snapshot := progress.snapshot
	size := uint64(len(snapshot.Data))
	end := min(size, progress.offset+uint64(node.config.MaxBatchBytes))
	part := &SnapshotPart{
		Index:      snapshot.Index,
		Term:       snapshot.Term,
		Membership: snapshot.Membership,
		Offset:     progress.offset,
		Size:       size,
		Data:       snapshot.Data[progress.offset:end:end],
	}
	node.send(id, Message{Kind: MessageSnapshot, Snapshot: part, Sent: int64(node.now), Sender: node.self()})
}

// handleSnapshotPart takes in a part of a snapshot.
func (node *Node) handleSnapshotPart(message Message) {
	part := message.Snapshot
	if part == nil || node.diskFailed {
		return
	}
	if part.Index <= node.commit {
		node.incoming = nil
		node.answerAppend(message, node.commit)
		return
	}
	if !node.incomingIs(message) {
		node.incoming = &incomingSnapshot{
			from:     message.From,
			leading:  message.Term,
			snapshot: Snapshot{Index: part.Index, Term: part.Term, Membership: part.Membership},
			size:     part.Size,
		}
	}
	incoming := node.incoming
	if part.Offset == uint64(len(incoming.snapshot.Data)) {
		incoming.snapshot.Data = append(incoming.snapshot.Data, part.Data...)
	}
	received := uint64(len(incoming.snapshot.Data))
	if received < incoming.size {
		answer := Message{
			Kind:     MessageSnapshotAnswer,
			LogIndex: part.Index,
			Offset:   part.Offset,
			Wanted:   received,
			Sent:     message.Sent,
		}
		node.sendAfter(message.From, answer, node.disk.hardState)
		return
	}
	node.incoming = nil
	node.install(incoming.snapshot)
	node.answerAppend(message, part.Index)
}

// incomingIs reports whether a part belongs to the snapshot being received.
func (node *Node) incomingIs(message Message) bool {
	incoming := node.incoming
	return incoming != nil &&
		incoming.from == message.From &&
		incoming.leading == message.Term &&
		incoming.snapshot.Index == message.Snapshot.Index &&
		incoming.snapshot.Term == message.Snapshot.Term &&
		incoming.size == message.Snapshot.Size
}

// install replaces the own state by a snapshot, unless the log already agrees.
func (node *Node) install(snapshot Snapshot) {
	if node.log.matches(snapshot.Index, snapshot.Term) {
		node.commitUpTo(snapshot.Index)
		return
	}
	node.snapshot = snapshot
	node.commit = snapshot.Index
	node.applied = snapshot.Index
	node.restore = &snapshot
	node.log.reset(snapshot.Index, snapshot.Term)
	node.memberships.reset(snapshot.Index, snapshot.Membership)
	node.disk.addSnapshot(snapshot)
}

// handleSnapshotAnswer goes on with the part wanted next.
func (node *Node) handleSnapshotAnswer(answer Message) {
	progress := node.progressOf(answer.From)
	if progress == nil {
		return
	}
	node.noteContact(progress, answer)
	if progress.state != StateSnapshot || progress.snapshot.Index != answer.LogIndex {
		return
	}
	size := uint64(len(progress.snapshot.Data))
	if answer.Offset != progress.offset || answer.Wanted == answer.Offset || answer.Wanted > size {
		return // An answer to another part; heartbeats make up for what is lost.
	}
	progress.offset = answer.Wanted
	progress.paused = false
}
