package consensus

// replicate sends every member what it lacks, as far as it may be sent.
func (node *Node) replicate() {
	for _, id := range node.leading.members() {
		node.replicateTo(id, node.leading.progress[id])
	}
}

// replicateTo sends one member what it lacks.
func (node *Node) replicateTo(id MemberID, progress *progress) {
	switch progress.state {
	case StateProbe:
		if progress.paused {
			return
		}
		if !node.canAppendFrom(progress.next) {
			node.startSnapshot(id, progress)
			return
		}
		progress.paused = true
		node.sendAppend(id, progress, node.log.batch(progress.next, node.config.MaxBatchBytes))
	case StateReplicate:
		node.streamTo(id, progress)
	case StateSnapshot:
		node.sendSnapshotPart(id, progress)
	}
}

// streamTo sends appends without waiting for answers, up to the bound.
func (node *Node) streamTo(id MemberID, progress *progress) {
	if !node.canAppendFrom(progress.next) {
		// Also if appends are in flight: should they be lost, nothing in the log
		// could follow them.
		node.startSnapshot(id, progress)
		return
	}
	for progress.next <= node.log.lastIndex() && len(progress.inflight) < node.config.MaxInflight {
		entries := node.log.batch(progress.next, node.config.MaxBatchBytes)
		node.sendAppend(id, progress, entries)
		progress.sent(entries[len(entries)-1].Index)
	}
	if node.commit > progress.sentCommit {
		node.sendProbe(id, progress)
	}
}

// canAppendFrom reports whether the log still has the entry before an index.
func (node *Node) canAppendFrom(next Index) bool {
	_, known := node.log.term(next - 1)
	return known
}

// sendProbe sends an append without entries, which tells the commit index and
// finds out about lost appends.
func (node *Node) sendProbe(id MemberID, progress *progress) {
	if node.canAppendFrom(progress.next) {
		node.sendAppend(id, progress, nil)
	}
}

// sendAppend sends the entries that begin at the member's next index.
func (node *Node) sendAppend(id MemberID, progress *progress, entries []Entry) {
	previous := progress.next - 1
	previousTerm, _ := node.log.term(previous)
	message := Message{
		Kind:     MessageAppend,
		LogIndex: previous,
		LogTerm:  previousTerm,
		Entries:  entries,
		Commit:   node.commit,
		Sent:     int64(node.now),
	}
	if progress.state == StateProbe {
		message.Sender = node.self()
	}
	progress.sentCommit = node.commit
	node.send(id, message)
}

// handleAppend takes in a leader's entries.
func (node *Node) handleAppend(message Message) {
	if node.diskFailed {
		return
	}
	if message.LogIndex < node.commit {
		// Committed entries agree for certain.
		node.answerAppend(message, node.commit)
		return
	}
	if !node.log.matches(message.LogIndex, message.LogTerm) && !node.config.faults.skipLogCheck {
		node.refuseAppend(message)
		return
	}
	if !contiguous(message.LogIndex, message.Entries) {
		return
	}
	last := message.LogIndex + Index(len(message.Entries))
	if !node.appendReceived(node.log.unknown(message.Entries)) {
		return
	}
	node.commitUpTo(min(message.Commit, last))
	node.answerAppend(message, last)
}

// contiguous reports whether entries follow an index without a gap.
func contiguous(after Index, entries []Entry) bool {
	for position, entry := range entries {
		if entry.Index != after+Index(position)+1 {
			return false
		}
	}
	return true
}

// appendReceived replaces the log from the first entry on. It reports false if an
// entry is damaged, or would replace a committed one.
func (node *Node) appendReceived(entries []Entry) bool {
	if len(entries) == 0 {
		return true
	}
	if entries[0].Index <= node.commit {
		return false
	}
	if membershipsOf(entries) != nil {
		return false
	}
	node.memberships.truncate(entries[0].Index)
	_ = node.memberships.append(entries)
	node.log.append(entries)
	node.disk.addEntries(entries)
	return true
}

// commitUpTo commits entries that the leader says are committed.
func (node *Node) commitUpTo(index Index) {
	node.commit = max(node.commit, min(index, node.log.lastIndex()))
}

// answerAppend says, once it is on disk, that the log agrees up to an index.
func (node *Node) answerAppend(message Message, match Index) {
	answer := Message{Kind: MessageAppendAnswer, LogIndex: match, Sent: message.Sent}
	node.sendAfter(message.From, answer, node.disk.last)
}

// refuseAppend says where the logs may agree.
func (node *Node) refuseAppend(message Message) {
	index, term := node.log.lastNotAfter(message.LogIndex, message.LogTerm)
	answer := Message{
		Kind:      MessageAppendAnswer,
		Reject:    true,
		LogIndex:  message.LogIndex,
		HintIndex: index,
		HintTerm:  term,
		Sent:      message.Sent,
	}
	node.sendAfter(message.From, answer, node.disk.hardState)
}

// handleHeartbeat answers a leader.
func (node *Node) handleHeartbeat(message Message) {
	node.commitUpTo(message.Commit)
	answer := Message{Kind: MessageHeartbeatAnswer, Sent: message.Sent}
	node.sendAfter(message.From, answer, node.disk.hardState)
}

// handleAppendAnswer notes how far a member is.
func (node *Node) handleAppendAnswer(answer Message) {
	progress := node.progressOf(answer.From)
	if progress == nil || answer.LogIndex > node.log.lastIndex() {
		return
	}
	node.noteContact(progress, answer)
	if answer.Reject {
		node.backtrack(progress, answer)
		return
	}
	fresh := answer.LogIndex > progress.match
	progress.matched(answer.LogIndex)
	switch progress.state {
	case StateProbe:
		if fresh || answer.LogIndex == progress.match {
			progress.replicateOn()
		}
	case StateSnapshot:
		if progress.match >= progress.snapshot.Index {
			progress.replicateOn()
		}
	}
	node.advanceCommit()
	node.continueTransfer()
}

// backtrack goes back to where the logs may agree.
func (node *Node) backtrack(progress *progress, answer Message) {
	if progress.state == StateSnapshot || answer.LogIndex <= progress.match {
		return
	}
	if progress.state == StateProbe && answer.LogIndex != progress.next-1 {
		return // An answer to an earlier append.
	}
	index, _ := node.log.lastNotAfter(min(answer.HintIndex, answer.LogIndex-1), answer.HintTerm)
	progress.probeFrom(index + 1)
}
