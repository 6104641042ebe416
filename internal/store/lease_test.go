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

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/hashicorp/raft"

	"sumacloft/internal/standin"
)

// The model of leases: which exist, which key has which, and how often each was renewed. Keys go with their lease
// and with nothing else; an expiry that a renewal came before changes nothing; snapshots keep it all.
func TestLeaseModel(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		f := &fsm{newKV(), func() time.Duration { return 0 }}
		index := uint64(0)
		apply := func(req *pb.InternalRaftRequest) applyResult {
			data, err := proto.Marshal(req)
			if err != nil {
				rt.Fatal(err)
			}
			index++
			return f.Apply(&raft.Log{Index: index, Data: data}).(applyResult)
		}
		renewed, keys := map[int64]int{}, map[string]int64{} // a key without a lease has 0
		end := func(id int64) {
			delete(renewed, id)
			maps.DeleteFunc(keys, func(_ string, l int64) bool { return l == id })
		}
		id, key := rapid.Int64Range(1, 3), rapid.SampledFrom([]string{"a", "b", "c"})
		rt.Repeat(map[string]func(*rapid.T){
			"grant": func(rt *rapid.T) {
				l := id.Draw(rt, "id")
				_, there := renewed[l]
				if err := apply(&pb.InternalRaftRequest{LeaseGrant: &pb.LeaseGrantRequest{ID: l, TTL: 5}}).err; errors.Is(err, ErrLeaseExists) != there {
					rt.Fatal(err)
				}
				if !there {
					renewed[l] = 0
				}
			},
			"renew": func(rt *rapid.T) {
				l := id.Draw(rt, "id")
				out := apply(&pb.InternalRaftRequest{LeaseCheckpoint: &pb.LeaseCheckpointRequest{Checkpoints: []*pb.LeaseCheckpoint{{ID: l}}}})
				if _, there := renewed[l]; there != (out.response.(*pb.LeaseKeepAliveResponse).TTL == 5) {
					rt.Fatal(out)
				} else if there {
					renewed[l]++
				}
			},
			"revoke": func(rt *rapid.T) {
				l := id.Draw(rt, "id")
				_, there := renewed[l]
				if err := apply(&pb.InternalRaftRequest{LeaseRevoke: &pb.LeaseRevokeRequest{ID: l}}).err; (err == nil) != there {
					rt.Fatal(err)
				}
				end(l)
			},
			"expire": func(rt *rapid.T) {
				l, seen := id.Draw(rt, "id"), rapid.IntRange(0, 3).Draw(rt, "renewals seen")
				n, there := renewed[l]
				err := apply(&pb.InternalRaftRequest{ID: uint64(seen) + 1, LeaseRevoke: &pb.LeaseRevokeRequest{ID: l}}).err
				if ends := there && n == seen; (err == nil) != ends {
					rt.Fatal(err)
				} else if ends {
					end(l)
				}
			},
			"put": func(rt *rapid.T) {
				k, l := key.Draw(rt, "key"), rapid.Int64Range(0, 3).Draw(rt, "lease")
				_, there := renewed[l]
				err := apply(&pb.InternalRaftRequest{Put: &pb.PutRequest{Key: []byte(k), Value: []byte("v"), Lease: l}}).err
				if errors.Is(err, ErrLeaseNotFound) != (l != 0 && !there) {
					rt.Fatal(err)
				}
				if err == nil {
					keys[k] = l
				}
			},
			"delete": func(rt *rapid.T) {
				k := key.Draw(rt, "key")
				apply(&pb.InternalRaftRequest{DeleteRange: &pb.DeleteRangeRequest{Key: []byte(k)}})
				delete(keys, k)
			},
			"snapshot": func(rt *rapid.T) {
				data, err := f.kv.save()
				if err != nil {
					rt.Fatal(err)
				}
				f = &fsm{newKV(), f.now}
				if err := f.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
					rt.Fatal(err)
				}
			},
			"": func(rt *rapid.T) {
				pairs, _, err := f.kv.read([]byte{0}, []byte{0}, 0)
				got := map[string]int64{}
				for _, p := range pairs {
					got[string(p.Key)] = p.Lease
				}
				if err != nil || !maps.Equal(got, keys) || !slices.Equal(f.kv.leaseIDs(), slices.Sorted(maps.Keys(renewed))) {
					rt.Fatalf("%v %v, the model has %v %v", got, f.kv.leaseIDs(), keys, renewed)
				}
			},
		})
	})
}

func grant(n *Node, id, ttl int64) error {
	_, err := n.Apply(&pb.InternalRaftRequest{LeaseGrant: &pb.LeaseGrantRequest{ID: id, TTL: ttl}})
	return err
}

func renew(n *Node, id int64) error {
	_, err := n.Apply(&pb.InternalRaftRequest{LeaseCheckpoint: &pb.LeaseCheckpointRequest{Checkpoints: []*pb.LeaseCheckpoint{{ID: id}}}})
	return err
}

// The leader is lost just after a renewal: the next one gives the lease its whole time, though that had begun long
// before by its own count; and it ends a lease that nobody renews, on all nodes in the same revision.
func TestLeaseOverLeaders(t *testing.T) {
	nodes, links := cluster(t)
	led := leaderOf(t, nodes)
	for id := range int64(2) {
		if err := grant(nodes[led], id+1, 1); err != nil {
			t.Fatal(err)
		}
		put := &pb.PutRequest{Key: fmt.Append(nil, "k", id+1), Value: []byte("v"), Lease: id + 1}
		if _, err := nodes[led].Apply(&pb.InternalRaftRequest{Put: put}); err != nil {
			t.Fatal(err)
		}
	}
	cut(links, led)
	rest := slices.Delete(slices.Clone(nodes), led, led+1)
	next := rest[leaderOf(t, rest)]
	asked := time.Now()
	for time.Since(asked) < 1500*time.Millisecond { // longer than the lease
		switch err := renew(next, 1); {
		case err != nil && !next.IsLeader(): // on a machine that is busy another may lead by now, and all begins anew
			next, asked = rest[leaderOf(t, rest)], time.Now()
			continue
		case err != nil:
			t.Fatal(err)
		}
		if value(next, "k1") == "" {
			t.Fatalf("cut short %v after a renewal was asked for", time.Since(asked))
		}
		time.Sleep(10 * time.Millisecond)
	}
	if value(next, "k2") != "" {
		t.Error("a lease that nobody renews lives on")
	}
	join(links, 0, 1, 2)
	standin.Eventually(t, 5*time.Second, "all agree on what has ended", func() bool {
		for _, n := range nodes {
			_ = renew(n, 1) // by whoever leads
		}
		return !slices.ContainsFunc(nodes, func(n *Node) bool {
			return value(n, "k1") != "v" || value(n, "k2") != "" || n.Revision() != next.Revision()
		})
	})
	if l, there := next.Lease(1); !there || l.TTL != 1 || !slices.Equal(l.Keys, []string{"k1"}) {
		t.Errorf("%+v", l)
	}
}
