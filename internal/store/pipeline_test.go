package store

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// A follower that refuses one append, as with a disk that is full, must not hold its leader's sender up for good: raft
// reads no further answer after it, and sends on until it is told.
func TestSenderIsToldOfARefusedAppend(t *testing.T) {
	open := func() *raft.NetworkTransport {
		tcp, err := raft.NewTCPTransport("127.0.0.1:0", nil, 1, raftIOTimeout, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = tcp.Close() })
		return tcp
	}
	leader, follower := open(), open()
	go func() {
		for rpc := range follower.Consumer() {
			rpc.Respond(&raft.AppendEntriesResponse{Success: false}, nil)
		}
	}()
	p, err := transport{leader}.AppendEntriesPipeline("f", follower.LocalAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if _, err := p.AppendEntries(&raft.AppendEntriesRequest{}, new(raft.AppendEntriesResponse)); err != nil {
		t.Fatal(err)
	}
	if f := <-p.Consumer(); f.Error() != nil || f.Response().Success {
		t.Fatalf("answered %v, %+v", f.Error(), f.Response())
	}
	told := make(chan error, 1)
	go func() { // as raft's sender goes on
		for {
			if _, err := p.AppendEntries(&raft.AppendEntriesRequest{}, new(raft.AppendEntriesResponse)); err != nil {
				told <- err
				return
			}
		}
	}()
	select {
	case <-told:
	case <-time.After(20 * time.Second):
		t.Fatal("the sender waits for a reader that is gone")
	}
}
