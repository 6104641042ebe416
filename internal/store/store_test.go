package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"pgregory.net/rapid"

	"sumacloft/internal/standin"
)

// The model of the store: a plain map for each revision. What it guards: reads at any revision that is kept, the
// events since any revision, compaction and snapshots all agree with it.
func TestModel(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		f := &fsm{newKV(), func() time.Duration { return 0 }}
		states := map[int64]map[string]string{1: {}}
		rev, compacted := int64(1), int64(0)
		key := rapid.SampledFrom([]string{"a", "b", "b/1", "b/2", "c"})
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				k, v := key.Draw(rt, "key"), fmt.Sprint(rev)
				f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(k), Value: []byte(v)}}}}})
				next := maps.Clone(states[rev])
				next[k] = v
				rev++
				states[rev] = next
			},
			"delete range": func(rt *rapid.T) {
				r, _ := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestDeleteRange{
					RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte("b"), RangeEnd: []byte("c")}}}}})
				next := maps.Clone(states[rev])
				maps.DeleteFunc(next, func(k, _ string) bool { return k >= "b" && k < "c" })
				gone := int64(len(states[rev]) - len(next))
				if got := r.Responses[0].GetResponseDeleteRange().Deleted; got != gone {
					rt.Fatalf("%d deleted, the model says %d", got, gone)
				}
				if gone > 0 { // what changes nothing takes no revision
					rev++
					states[rev] = next
				}
			},
			"compact": func(rt *rapid.T) {
				at := rapid.Int64Range(0, rev+1).Draw(rt, "at")
				err := f.kv.compact(at)
				switch {
				case at <= compacted:
					if !errors.Is(err, ErrCompacted) {
						rt.Fatalf("compacted again: %v", err)
					}
				case at > rev:
					if !errors.Is(err, ErrFuture) {
						rt.Fatalf("compacted what is yet to come: %v", err)
					}
				case err != nil:
					rt.Fatal(err)
				default:
					compacted = at
				}
			},
			"snapshot": func(rt *rapid.T) {
				data, err := f.kv.save()
				if err != nil {
					rt.Fatal(err)
				}
				f = &fsm{newKV(), func() time.Duration { return 0 }}
				if err := f.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
					rt.Fatal(err)
				}
			},
			"": func(rt *rapid.T) {
				at := rapid.Int64Range(0, rev+1).Draw(rt, "read at")
				pairs, now, err := f.kv.read([]byte{0}, []byte{0}, at)
				switch {
				case now != rev:
					rt.Fatalf("revision %d, the model has %d", now, rev)
				case at > rev || (at > 0 && at < compacted):
					if err == nil {
						rt.Fatalf("read at %d of %d, compacted at %d", at, rev, compacted)
					}
				default:
					if at == 0 {
						at = rev
					}
					got := map[string]string{}
					for _, p := range pairs {
						got[string(p.Key)] = string(p.Value)
					}
					if err != nil || !maps.Equal(got, states[at]) {
						rt.Fatalf("at %d: %v (%v), the model has %v", at, got, err, states[at])
					}
				}
				// The events since a revision, applied to its state, lead to the present one.
				from := rapid.Int64Range(max(compacted, 1), rev).Draw(rt, "from")
				state, next := maps.Clone(states[from]), from+1
				for next <= rev {
					c, err := f.kv.changesSince([]byte{0}, []byte{0}, next, false, 2)
					if err != nil || c.Next <= next {
						rt.Fatalf("events from %d: next %d, %v", next, c.Next, err)
					}
					for _, ev := range c.Events {
						if ev.Kv.ModRevision < next || ev.Kv.ModRevision >= c.Next {
							rt.Fatalf("an event of %d among those from %d to %d", ev.Kv.ModRevision, next, c.Next)
						}
						if delete(state, string(ev.Kv.Key)); ev.Type == 0 {
							state[string(ev.Kv.Key)] = string(ev.Kv.Value)
						}
					}
					next = c.Next
				}
				if !maps.Equal(state, states[rev]) {
					rt.Fatalf("events from %d lead to %v, the model has %v", from+1, state, states[rev])
				}
				if compacted > 0 {
					if _, err := f.kv.changesSince([]byte("a"), nil, compacted-1, false, 2); !errors.Is(err, ErrCompacted) {
						rt.Fatalf("events from before the compaction: %v", err)
					}
				}
			},
		})
	})
}

// A transaction changes all or nothing, by comparisons on what is there.
func TestTxn(t *testing.T) {
	f := &fsm{newKV(), func() time.Duration { return 0 }}
	put := func(k, v string) *pb.RequestOp {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(k), Value: []byte(v)}}}
	}
	absent := []*pb.Compare{{Key: []byte("a"), Target: pb.Compare_CREATE, TargetUnion: &pb.Compare_CreateRevision{CreateRevision: 0}}}
	if r, _ := f.txn(&pb.TxnRequest{Compare: absent, Success: []*pb.RequestOp{put("a", "1"), put("b", "1")}}); !r.Succeeded || r.Header.Revision != 2 {
		t.Fatalf("first: %v", r)
	}
	if r, _ := f.txn(&pb.TxnRequest{Compare: absent, Success: []*pb.RequestOp{put("a", "2")}, Failure: []*pb.RequestOp{put("c", "1")}}); r.Succeeded || r.Header.Revision != 3 {
		t.Fatalf("second: %v", r)
	}
	if pairs, _, _ := f.kv.read([]byte{0}, []byte{0}, 0); len(pairs) != 3 || string(pairs[0].Value) != "1" {
		t.Errorf("%v", pairs)
	}
}

// cluster starts three nodes over transports that can be cut.
func cluster(t *testing.T, dirs ...string) ([]*Node, []*raft.InmemTransport) {
	const callTimeout = 500 * time.Millisecond
	return openCluster(t, callTimeout, func(i int, o *Options) {
		o.Heartbeat = 60 * time.Millisecond
		if len(dirs) > i {
			o.Dir = dirs[i]
		}
	})
}

// openCluster opens three nodes over transports that can be cut, with options that configure completes for each.
func openCluster(t *testing.T, callTimeout time.Duration, configure func(i int, o *Options)) ([]*Node, []*raft.InmemTransport) {
	t.Helper()
	var peers []Peer
	var links []*raft.InmemTransport
	for i := range 3 {
		addr, link := raft.NewInmemTransportWithTimeout("", callTimeout)
		peers = append(peers, Peer{ID: fmt.Sprint("n", i), Raft: string(addr)})
		links = append(links, link)
	}
	join(links, 0, 1, 2)
	var nodes []*Node
	for i := range peers {
		o := Options{Self: peers[i], Peers: peers, Transport: links[i], Log: io.Discard}
		configure(i, &o)
		n, err := Open(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		nodes = append(nodes, n)
	}
	return nodes, links
}

func join(links []*raft.InmemTransport, members ...int) {
	for _, i := range members {
		for _, j := range members {
			if i != j {
				links[i].Connect(links[j].LocalAddr(), links[j])
			}
		}
	}
}

func cut(links []*raft.InmemTransport, i int) {
	links[i].DisconnectAll()
	for j := range links {
		links[j].Disconnect(links[i].LocalAddr())
	}
}

func leaderOf(t *testing.T, nodes []*Node) int {
	t.Helper()
	at := -1
	standin.Eventually(t, 5*time.Second, "one node leads", func() bool {
		at = slices.IndexFunc(nodes, (*Node).IsLeader)
		return at >= 0 && nodes[at].ReadBarrier() == nil
	})
	return at
}

func putRequest(key, value string) *pb.InternalRaftRequest {
	return &pb.InternalRaftRequest{Put: &pb.PutRequest{Key: []byte(key), Value: []byte(value)}}
}

func set(n *Node, key, value string) error {
	_, err := n.Apply(putRequest(key, value))
	return err
}

func value(n *Node, key string) string {
	pairs, _, err := n.Range([]byte(key), nil, 0)
	if err != nil || len(pairs) != 1 {
		return ""
	}
	return string(pairs[0].Value)
}

// The leader is lost: the others go on, the old one can't change anything, and it catches up when it is back.
func TestLeaderLoss(t *testing.T) {
	nodes, links := cluster(t)
	old := leaderOf(t, nodes)
	if err := set(nodes[old], "k", "1"); err != nil {
		t.Fatal(err)
	}
	cut(links, old)
	rest := slices.Delete(slices.Clone(nodes), old, old+1)
	led := leaderOf(t, rest)
	if err := set(rest[led], "k", "2"); err != nil {
		t.Fatal(err)
	}
	if err := nodes[old].ReadBarrier(); err == nil {
		t.Error("a leader that is cut off takes its copy for fresh")
	}
	if err := set(nodes[old], "k", "lost"); err == nil {
		t.Error("a leader that is cut off changed the store")
	}
	join(links, 0, 1, 2)
	standin.Eventually(t, 5*time.Second, "all have the later value at one revision", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return value(n, "k") != "2" || n.Revision() != nodes[0].Revision() })
	})
}

// A follower that was away gets what it missed, in order.
func TestLaggingFollower(t *testing.T) {
	nodes, links := cluster(t)
	led := leaderOf(t, nodes)
	late := (led + 1) % 3
	from := nodes[late].Revision() + 1
	cut(links, late)
	for i := range 20 {
		if err := set(nodes[led], "k", fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if value(nodes[late], "k") != "" {
		t.Fatal("the follower was not away")
	}
	join(links, 0, 1, 2)
	standin.Eventually(t, 5*time.Second, "the follower has caught up", func() bool { return value(nodes[late], "k") == "19" })
	c, err := nodes[late].Changes([]byte("k"), nil, from, false, 100)
	if err != nil || len(c.Events) != 20 {
		t.Fatalf("%d events, %v", len(c.Events), err)
	}
	for i, ev := range c.Events {
		if string(ev.Kv.Value) != fmt.Sprint(i) {
			t.Errorf("event %d is %s", i, ev.Kv.Value)
		}
	}
}

// With a folder a node has its state back after a restart.
func TestRestart(t *testing.T) {
	dir := t.TempDir()
	open := func() *Node {
		addr, link := raft.NewInmemTransport("one")
		p := Peer{ID: "n", Raft: string(addr)}
		n, err := Open(Options{Self: p, Peers: []Peer{p}, Transport: link, Dir: dir, Log: io.Discard, Heartbeat: 60 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	n := open()
	leaderOf(t, []*Node{n})
	if err := set(n, "k", "kept"); err != nil {
		t.Fatal(err)
	}
	rev := n.Revision()
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	n = open()
	defer n.Close()
	leaderOf(t, []*Node{n})
	if value(n, "k") != "kept" || n.Revision() != rev {
		t.Errorf("%q at %d, was at %d", value(n, "k"), n.Revision(), rev)
	}
}
