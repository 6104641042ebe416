package store

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// errUnknownTerm has a leader send its snapshot again once this node has heard of the leader's term.
var errUnknownTerm = errors.New("store: this node has not heard of the leader's term yet")

// peerTransport is what a node needs of a transport.
type peerTransport interface {
	raft.Transport
	raft.WithPreVote
}

// incoming is a transport whose requests from other nodes are checked before raft gets them, one at a time. Raft
// (1.7.3) mishandles two of them:
//
//   - A snapshot that is no newer than what this node has applied. Raft would install it: the state goes back, and if
//     the log no longer reaches back to the snapshot, the next commit ends the process ("log not found").
//   - An append that follows an entry which this node has only in a snapshot. Raft refuses it, though the entry is
//     committed and matches. After one lost answer a leader then tries earlier and earlier entries, and at last sends
//     a snapshot, which may be an old one.
//
// After raft has installed a snapshot, the log entries that it covers are deleted: raft keeps some of them, which may
// never have been committed, and would send them to others when it leads.
type incoming struct {
	peerTransport
	logs     raft.LogStore
	requests chan raft.RPC // what raft receives
	quit     <-chan struct{}
}

func newIncoming(over peerTransport, logs raft.LogStore, quit <-chan struct{}) *incoming {
	return &incoming{peerTransport: over, logs: logs, requests: make(chan raft.RPC), quit: quit}
}

// Consumer serves raft.Transport.
func (in *incoming) Consumer() <-chan raft.RPC { return in.requests }

// Close serves raft.WithClose.
func (in *incoming) Close() error {
	if closer, ok := in.peerTransport.(raft.WithClose); ok {
		return closer.Close()
	}
	return nil
}

// progress is what of a node's state decides about a request.
type progress interface {
	AppliedIndex() uint64
	CurrentTerm() uint64
}

// run passes requests on until the node is closed.
func (in *incoming) run(node progress) {
	for {
		select {
		case <-in.quit:
			return
		case request := <-in.peerTransport.Consumer():
			in.serve(node, request)
		}
	}
}

func (in *incoming) serve(node progress, request raft.RPC) {
	switch command := request.Command.(type) {
	case *raft.AppendEntriesRequest:
		request.Command = in.afterSnapshot(node, command)
		in.pass(request)
	case *raft.InstallSnapshotRequest:
		if command.Term >= node.CurrentTerm() && command.LastLogIndex <= node.AppliedIndex() {
			answerOldSnapshot(node, request, command)
			return
		}
		if in.pass(request) {
			in.deleteCovered(command.LastLogIndex)
		}
	default:
		in.pass(request)
	}
}

// pass has raft answer a request, and tells whether a snapshot was installed by it. It returns only once raft has
// answered, so that what the next request is judged by is not about to change.
func (in *incoming) pass(request raft.RPC) (installed bool) {
	answers := make(chan raft.RPCResponse, 1)
	passed := raft.RPC{Command: request.Command, Reader: request.Reader, RespChan: answers}
	select {
	case in.requests <- passed:
	case <-in.quit:
		return false
	}
	select {
	case answer := <-answers:
		request.RespChan <- answer
		response, ok := answer.Response.(*raft.InstallSnapshotResponse)
		return ok && answer.Error == nil && response.Success
	case <-in.quit:
		return false
	}
}

// answerOldSnapshot accepts a snapshot of what this node has applied already without installing it.
func answerOldSnapshot(node progress, request raft.RPC, command *raft.InstallSnapshotRequest) {
	if _, err := io.Copy(io.Discard, request.Reader); err != nil {
		request.Respond(nil, fmt.Errorf("store: reading a snapshot: %w", err))
		return
	}
	if command.Term > node.CurrentTerm() {
		request.Respond(nil, errUnknownTerm)
		return
	}
	request.Respond(&raft.InstallSnapshotResponse{RPCHeader: command.RPCHeader, Term: command.Term, Success: true}, nil)
}

// afterSnapshot changes an append that follows an entry which this node has in a snapshot only. What is applied here is
// committed, so a leader of the current term has the same: those entries are left out, and raft compares the others
// with its log without looking for the one before them.
func (in *incoming) afterSnapshot(node progress, command *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	applied := node.AppliedIndex()
	if command.PrevLogEntry == 0 || command.PrevLogEntry > applied || command.Term < node.CurrentTerm() {
		return command
	}
	if err := in.logs.GetLog(command.PrevLogEntry, new(raft.Log)); !errors.Is(err, raft.ErrLogNotFound) {
		return command
	}
	changed := *command
	changed.PrevLogEntry, changed.PrevLogTerm = 0, 0
	for len(changed.Entries) > 0 && changed.Entries[0].Index <= applied {
		changed.Entries = changed.Entries[1:]
	}
	// Raft would take the rest of its log for the leader's.
	changed.LeaderCommitIndex = min(command.LeaderCommitIndex, applied+uint64(len(changed.Entries)))
	return &changed
}

// deleteCovered deletes the log entries up to the last one of an installed snapshot. An error leaves them as raft does.
func (in *incoming) deleteCovered(last uint64) {
	first, err := in.logs.FirstIndex()
	if err != nil || first == 0 || first > last {
		return
	}
	newest, err := in.logs.LastIndex()
	if err != nil {
		return
	}
	_ = in.logs.DeleteRange(first, min(last, newest)) // raft deletes them with its next snapshot
}
