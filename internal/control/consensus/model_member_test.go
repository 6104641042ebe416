package consensus_test

import (
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
)

// image is what is on a member's disk.
type image struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

// write returns the image after a batch.
func (disk image) write(batch *consensus.PersistBatch) image {
	if batch.HardState != nil {
		disk.hard = *batch.HardState
	}
	if batch.Snapshot != nil {
		disk.snapshot = *batch.Snapshot
		disk.entries = nil
	}
	if len(batch.Entries) == 0 {
		return disk
	}
	first := batch.Entries[0].Index
	keep := slices.IndexFunc(disk.entries, func(entry consensus.Entry) bool { return entry.Index >= first })
	if keep < 0 {
		keep = len(disk.entries)
	}
	disk.entries = append(slices.Clip(disk.entries[:keep]), batch.Entries...)
	return disk
}

// connects reports whether a batch's entries follow those on the disk: not where a batch before it was lost.
func (disk image) connects(batch *consensus.PersistBatch) bool {
	if batch.Snapshot != nil || len(batch.Entries) == 0 {
		return true
	}
	last := disk.snapshot.Index
	if count := len(disk.entries); count > 0 {
		last = disk.entries[count-1].Index
	}
	return batch.Entries[0].Index <= last+1
}

// actor is one member in a state of the model. It is not changed once the state is made.
type actor struct {
	id consensus.MemberID
	// replaces is the member that the machine was before it lost its disk, or zero.
	replaces consensus.MemberID
	node     *consensus.Node
	// clock is the member's own time.
	clock time.Duration
	disk  image
	// writes are the batches the disk has not finished.
	writes   []*consensus.PersistBatch
	reported uint64
	// held are messages that wait for the disk.
	held []consensus.Outgoing
	// led is since when the member leads, as its host notes it.
	led time.Duration
	// refuses says that the disk refuses writes; a restart finds one that takes them.
	refuses bool
	// print is the actor's part of the fingerprint where times do not count.
	print []byte
}

// clone returns an actor that may be changed.
func (member *actor) clone() *actor {
	copied := *member
	copied.node = consensus.Clone(member.node)
	copied.writes = slices.Clip(member.writes)
	copied.held = slices.Clip(member.held)
	copied.print = nil
	return &copied
}

// appendPrint writes down the actor.
func (member *actor) appendPrint(bytes []byte, timed bool) []byte {
	bytes = consensus.AppendNode(bytes, member.node, member.clock, timed)
	bytes = append(bytes, byte(member.disk.hard.Term), byte(member.disk.hard.Vote), byte(member.disk.snapshot.Index))
	for _, entry := range member.disk.entries {
		bytes = append(bytes, byte(entry.Index), byte(entry.Term), byte(entry.Kind))
		bytes = append(bytes, entry.Data...)
	}
	bytes = append(bytes, byte(len(member.disk.entries)), byte(len(member.writes)))
	for _, write := range member.writes {
		if write.HardState != nil {
			bytes = append(bytes, 1, byte(write.HardState.Term), byte(write.HardState.Vote))
		}
		if write.Snapshot != nil {
			bytes = append(bytes, 2, byte(write.Snapshot.Index), byte(write.Snapshot.Term))
		}
		for _, entry := range write.Entries {
			bytes = append(bytes, 3, byte(entry.Index), byte(entry.Term), byte(entry.Kind))
			bytes = append(bytes, entry.Data...)
		}
		bytes = append(bytes, 4)
	}
	for _, held := range member.held {
		bytes = append(bytes, byte(held.AfterPersist-member.reported))
		bytes = consensus.AppendMessage(bytes, held.Message)
	}
	if timed {
		bytes = append(bytes, byte(min(member.clock-member.led, longestHold)))
	}
	if member.refuses {
		bytes = append(bytes, 1)
	}
	return append(bytes, byte(len(member.held)))
}

// refuse has the disk refuse writes, of which the build that ignores it does not hear.
func (member *actor) refuse(plan *scenario) {
	member.refuses = true
	if !plan.ignoresRefusal {
		member.node.DiskFailed(member.clock)
	}
}

// accept has the disk take writes again.
func (member *actor) accept(plan *scenario) {
	member.refuses = false
	if !plan.ignoresRefusal {
		member.node.DiskRecovered(member.clock)
	}
}

// leads reports whether the member believes itself the leader.
func (member *actor) leads() bool { return member.node.IsLeader() }

// forgets reports whether a message to the member can never have an effect again. Such a message is taken off the network.
//
// A member does not act on answers, or on the wish that it stands for election, of a term before its own, and no restart
// brings it back before the term on its disk. In the term on its disk an answer counts for the leader only, or for who may
// yet become it: a member becomes a candidate in a later term only.
func (member *actor) forgets(message consensus.Message) bool {
	term := member.disk.hard.Term
	role := consensus.RoleOf(member.node)
	switch message.Kind {
	case consensus.MessageTimeoutNow:
		return message.Term < term
	case consensus.MessagePreVoteAnswer:
		return message.Term <= term
	case consensus.MessageVoteAnswer:
		stands := role == consensus.RoleCandidate && !message.Reject
		return message.Term < term || message.Term == term && !stands
	case consensus.MessageAppendAnswer, consensus.MessageHeartbeatAnswer, consensus.MessageSnapshotAnswer:
		may := role == consensus.RoleCandidate || role == consensus.RoleLeader
		return message.Term < term || message.Term == term && !may
	default:
		return false
	}
}
