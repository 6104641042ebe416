package store

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"sumacloft/internal/standin"
)

// scriptedLeader sends a node under test what a leader may send it. Entry i of its log puts the i-th value, so that a
// node that has applied i entries is at revision i+1.
type scriptedLeader struct {
	t    *testing.T
	node *Node
	link *raft.InmemTransport
	to   raft.ServerAddress
	term uint64
}

// followed opens a node with two other members, neither of which runs, and the leader that the test plays. The leader has had
// it install a snapshot of so many entries.
func followed(t *testing.T, entries uint64) *scriptedLeader {
	t.Helper()
	address, link := raft.NewInmemTransport("follower")
	other, leader := raft.NewInmemTransport("leader")
	peers := []Peer{{ID: "follower", Raft: string(address)}, {ID: "leader", Raft: string(other)}, {ID: "third", Raft: "third"}}
	node, err := Open(Options{Self: peers[0], Peers: peers, Transport: link, Log: io.Discard, Heartbeat: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	leader.Connect(address, link)
	l := &scriptedLeader{t: t, node: node, link: leader, to: address, term: 2}
	if r := l.snapshot(entries); !r.Success {
		t.Fatal("the first snapshot was not installed")
	}
	return l
}

func (l *scriptedLeader) header() raft.RPCHeader {
	return raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("leader"), Addr: []byte("leader")}
}

// entries are those of one term, from first to last.
func (l *scriptedLeader) entries(term, first, last uint64) []*raft.Log {
	var entries []*raft.Log
	for index := first; index <= last; index++ {
		data, err := proto.Marshal(putRequest("key", fmt.Sprintf("%d of term %d", index, term)))
		if err != nil {
			l.t.Fatal(err)
		}
		entries = append(entries, &raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: data})
	}
	return entries
}

func (l *scriptedLeader) append(previous, previousTerm, commit uint64, entries ...*raft.Log) *raft.AppendEntriesResponse {
	l.t.Helper()
	var response raft.AppendEntriesResponse
	err := l.link.AppendEntries("follower", l.to, &raft.AppendEntriesRequest{RPCHeader: l.header(), Term: l.term,
		PrevLogEntry: previous, PrevLogTerm: previousTerm, LeaderCommitIndex: commit, Entries: entries}, &response)
	if err != nil {
		l.t.Fatal(err)
	}
	return &response
}

// snapshot sends the state after so many entries.
func (l *scriptedLeader) snapshot(last uint64) *raft.InstallSnapshotResponse {
	l.t.Helper()
	state := &fsm{newKV(), func() time.Duration { return 0 }}
	for _, entry := range l.entries(2, 1, last) {
		state.Apply(entry)
	}
	data, err := state.kv.save()
	if err != nil {
		l.t.Fatal(err)
	}
	members := raft.Configuration{Servers: []raft.Server{{ID: "follower", Address: "follower"}, {ID: "leader", Address: "leader"}, {ID: "third", Address: "third"}}}
	var response raft.InstallSnapshotResponse
	err = l.link.InstallSnapshot("follower", l.to, &raft.InstallSnapshotRequest{RPCHeader: l.header(), SnapshotVersion: raft.SnapshotVersionMax,
		Term: l.term, LastLogIndex: last, LastLogTerm: 2, Configuration: raft.EncodeConfiguration(members), ConfigurationIndex: 1,
		Size: int64(len(data))}, &response, bytes.NewReader(data))
	if err != nil {
		l.t.Fatal(err)
	}
	return &response
}

// applied waits until the node's state is that of so many entries; the last one was written in term.
func (l *scriptedLeader) applied(term, index uint64) {
	l.t.Helper()
	standin.Eventually(l.t, 5*time.Second, fmt.Sprintf("%d entries are applied", index), func() bool { return uint64(l.node.Revision()) == index+1 })
	if got, want := value(l.node, "key"), fmt.Sprintf("%d of term %d", index, term); got != want {
		l.t.Fatalf("after %d entries the value is %q, want %q", index, got, want)
	}
}

// A follower whose state went back to an older snapshot ended with "log not found" at the next commit.
func TestOlderSnapshotIsNotInstalled(t *testing.T) {
	l := followed(t, 100)
	if r := l.append(100, 2, 110, l.entries(2, 101, 110)...); !r.Success {
		t.Fatal("entries right after the snapshot were refused")
	}
	l.applied(2, 110)
	if r := l.snapshot(60); !r.Success {
		t.Fatal("a leader that sends an older snapshot has to be told that it is there")
	}
	l.applied(2, 110)
	if r := l.append(110, 2, 111, l.entries(2, 111, 111)...); !r.Success {
		t.Fatal("the next entry was refused")
	}
	l.applied(2, 111)
	if r := l.snapshot(120); !r.Success {
		t.Fatal("a newer snapshot was not installed")
	}
	l.applied(2, 120)
}

// A leader that lost the answer to the first append after a snapshot was refused from then on.
func TestAppendAfterSnapshotIsRepeated(t *testing.T) {
	l := followed(t, 100)
	for range 2 {
		if r := l.append(100, 2, 110, l.entries(2, 101, 110)...); !r.Success {
			t.Fatal("entries right after the snapshot were refused")
		}
	}
	l.applied(2, 110)
	if r := l.append(90, 2, 110, l.entries(2, 91, 105)...); !r.Success {
		t.Fatal("entries that are known already were refused")
	}
	l.applied(2, 110)
}

// What is left out of an append must not commit the follower's own entries that the leader does not have.
func TestAppendAfterSnapshotCommitsOnlyTheLeadersEntries(t *testing.T) {
	l := followed(t, 100)
	l.append(100, 2, 100, l.entries(2, 101, 105)...) // not committed
	l.term = 3
	if r := l.append(90, 2, 104, l.entries(2, 91, 100)...); !r.Success {
		t.Fatal("entries that are known already were refused")
	}
	l.applied(2, 100)
	if r := l.append(100, 2, 103, l.entries(3, 101, 103)...); !r.Success {
		t.Fatal("the new leader's entries were refused")
	}
	l.applied(3, 103)
}

// Entries that an installed snapshot covers may never have been committed: a node that leads later must not send them.
func TestEntriesUnderAnInstalledSnapshotAreDeleted(t *testing.T) {
	l := followed(t, 100)
	l.append(100, 2, 100, l.entries(2, 101, 105)...) // not committed
	l.term = 3
	if r := l.snapshot(108); !r.Success {
		t.Fatal("the newer snapshot was not installed")
	}
	for index := uint64(1); index <= 108; index++ {
		standin.Eventually(t, 5*time.Second, fmt.Sprintf("entry %d is deleted", index), func() bool {
			return l.node.incoming.logs.GetLog(index, new(raft.Log)) != nil
		})
	}
	if r := l.append(108, 2, 109, l.entries(3, 109, 109)...); !r.Success {
		t.Fatal("the next entry was refused")
	}
	l.applied(3, 109)
}
