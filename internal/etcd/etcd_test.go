package etcd

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sumacloft/internal/standin"
	"sumacloft/internal/store"
)

// node is one node of a store on loopback with its gRPC server.
type node struct {
	*store.Node
	grpc *grpc.Server
	addr string
}

func (n *node) stop() {
	n.grpc.Stop()
	_ = n.Close()
}

func start(t *testing.T, size int) []*node {
	t.Helper()
	var peers []store.Peer
	var listeners []net.Listener
	for i := range size {
		raft := standin.Listen(t)
		client := standin.Listen(t)
		peers = append(peers, store.Peer{ID: fmt.Sprint("n", i), Raft: raft.Addr().String(), Client: client.Addr().String()})
		listeners = append(listeners, client)
		_ = raft.Close() // raft opens it again
	}
	var nodes []*node
	for i, p := range peers {
		n, err := store.Open(store.Options{Self: p, Peers: peers, Log: io.Discard, Heartbeat: 100 * time.Millisecond})
		require.NoError(t, err)
		g := grpc.NewServer()
		Register(g, n, nil)
		go func() { _ = g.Serve(listeners[i]) }()
		out := &node{n, g, p.Client}
		t.Cleanup(out.stop)
		nodes = append(nodes, out)
	}
	standin.Eventually(t, 10*time.Second, "a node leads", func() bool { return leader(nodes) != nil })
	return nodes
}

func leader(nodes []*node) *node {
	for _, n := range nodes {
		if n.IsLeader() && n.ReadBarrier() == nil {
			return n
		}
	}
	return nil
}

func dial(t *testing.T, n *node) (pb.KVClient, pb.WatchClient) {
	conn, err := grpc.NewClient("passthrough:///"+n.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return pb.NewKVClient(conn), pb.NewWatchClient(conn)
}

func put(t *testing.T, kv pb.KVClient, key, value string) int64 {
	t.Helper()
	r, err := kv.Put(t.Context(), &pb.PutRequest{Key: []byte(key), Value: []byte(value)})
	require.NoError(t, err)
	return r.Header.Revision
}

func create(c *pb.WatchCreateRequest) *pb.WatchRequest {
	return &pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: c}}
}

// next is the stream's next answer, or the test fails.
func next(t *testing.T, s pb.Watch_WatchClient) *pb.WatchResponse {
	t.Helper()
	got := make(chan *pb.WatchResponse, 1)
	go func() {
		if r, err := s.Recv(); err == nil {
			got <- r
		}
	}()
	select {
	case r := <-got:
		return r
	case <-time.After(3 * time.Second):
		t.Fatal("the watch says nothing")
		return nil
	}
}

// A watch starts at its revision, tells events in order with a transaction in one piece, answers a request for
// progress, and is cancelled with the oldest revision there is when it starts before a compaction.
func TestWatch(t *testing.T) {
	n := start(t, 1)[0]
	kv, w := dial(t, n)
	first := put(t, kv, "m/a", "1")
	put(t, kv, "other", "1")
	op := func(k string) *pb.RequestOp {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(k), Value: []byte("2")}}}
	}
	_, err := kv.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{op("m/a"), op("m/b")}})
	require.NoError(t, err)
	s, err := w.Watch(t.Context())
	require.NoError(t, err)
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/"), RangeEnd: []byte("m0"), StartRevision: first, PrevKv: true}))
	require.True(t, next(t, s).Created)
	revisions := func(r *pb.WatchResponse) (all []int64) {
		for _, e := range r.Events {
			all = append(all, e.Kv.ModRevision)
		}
		return all
	}
	r := next(t, s)
	require.Equal(t, []int64{first, first + 2, first + 2}, revisions(r))
	require.Equal(t, "1", string(r.Events[1].PrevKv.GetValue()))
	_ = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{ProgressRequest: &pb.WatchProgressRequest{}}})
	p := next(t, s)
	require.Equal(t, []int64{none, first + 2}, []int64{p.WatchId, p.Header.Revision}, "progress")
	require.Empty(t, p.Events)
	_, err = kv.DeleteRange(t.Context(), &pb.DeleteRangeRequest{Key: []byte("m/a")})
	require.NoError(t, err)
	d := next(t, s)
	require.Equal(t, []int64{first + 3}, revisions(d))
	require.Equal(t, mvccpb.DELETE, d.Events[0].Type)
	_, err = kv.Compact(t.Context(), &pb.CompactionRequest{Revision: first + 2})
	require.NoError(t, err)
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/a"), StartRevision: first, WatchId: 7}))
	r = next(t, s)
	require.True(t, r.Created && r.WatchId == 7, r)
	r = next(t, s)
	require.True(t, r.Canceled && r.CompactRevision == first+2 && r.WatchId == 7, "a watch from before the compaction: %v", r)
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/"), RangeEnd: []byte("m0"), StartRevision: first + 2, WatchId: 8,
		Filters: []pb.WatchCreateRequest_FilterType{pb.WatchCreateRequest_NOPUT}}))
	next(t, s) // created
	r = next(t, s)
	require.True(t, len(r.Events) == 1 && r.Events[0].Type == mvccpb.DELETE, "from the compaction on, deletes only: %v", r)
	_ = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CancelRequest{CancelRequest: &pb.WatchCancelRequest{WatchId: 8}}})
	r = next(t, s)
	require.True(t, r.Canceled && r.WatchId == 8 && r.CompactRevision == 0, r)
	_, err = kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("m/a"), Revision: first})
	require.Error(t, err, "read at a compacted revision")
	read, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("m/a"), Revision: first + 2})
	require.NoError(t, err)
	require.Len(t, read.Kvs, 1, "read before the delete")
}

// Transactions within one another: each branch by its own comparisons, all of them looked at before anything changes,
// all in one revision; a key that two would change is refused.
func TestNestedTransactions(t *testing.T) {
	n := start(t, 1)[0]
	kv, _ := dial(t, n)
	put(t, kv, "there", "1")
	set := func(key string) *pb.RequestOp {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(key), Value: []byte("new")}}}
	}
	get := func(key string) *pb.RequestOp {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestRange{RequestRange: &pb.RangeRequest{Key: []byte(key)}}}
	}
	absent := func(key string, then, or *pb.RequestOp) *pb.RequestOp {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestTxn{RequestTxn: &pb.TxnRequest{Success: []*pb.RequestOp{then}, Failure: []*pb.RequestOp{or},
			Compare: []*pb.Compare{{Key: []byte(key), Target: pb.Compare_MOD, TargetUnion: &pb.Compare_ModRevision{}}}}}}
	}
	r, err := kv.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{absent("there", set("there"), get("there")), absent("a", set("a"), get("a")), absent("a", set("b"), get("a"))}})
	require.NoError(t, err)
	require.True(t, r.Succeeded)
	require.Len(t, r.Responses, 3)
	for i, held := range []bool{false, true, true} {
		assert.Equal(t, held, r.Responses[i].GetResponseTxn().Succeeded, "branch %d", i)
	}
	kvs := r.Responses[0].GetResponseTxn().Responses[0].GetResponseRange().Kvs
	require.Len(t, kvs, 1)
	assert.Equal(t, "1", string(kvs[0].Value))
	all, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("a"), RangeEnd: []byte("c")})
	require.NoError(t, err)
	require.Len(t, all.Kvs, 2)
	assert.Equal(t, all.Kvs[0].ModRevision, all.Kvs[1].ModRevision)
	_, err = kv.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{set("a"), absent("x", get("x"), set("a"))}})
	assert.Error(t, err, "a key was changed twice")
}

// A transaction that only reads makes no entry of the log, and a node that has lost the others still answers it from
// its own copy, at one revision.
func TestReadingTransaction(t *testing.T) {
	nodes := start(t, 3)
	kv, _ := dial(t, leader(nodes))
	put(t, kv, "a", "1")
	last := put(t, kv, "b", "2")
	both := func(copied bool) *pb.TxnRequest {
		get := func(key string) *pb.RequestOp {
			return Get(&pb.RangeRequest{Key: []byte(key), Serializable: copied})
		}
		return &pb.TxnRequest{Success: []*pb.RequestOp{get("a"), get("b")}}
	}
	for _, n := range nodes {
		kv, _ := dial(t, n)
		r, err := kv.Txn(t.Context(), both(false))
		require.NoError(t, err)
		require.Len(t, r.Responses, 2)
		require.Equal(t, "2", string(r.Responses[1].GetResponseRange().Kvs[0].Value))
		require.Equal(t, last, r.Header.Revision)
	}
	lone := nodes[0]
	standin.Eventually(t, 5*time.Second, "the copy is there", func() bool { return lone.Node.Revision() == last })
	kv, _ = dial(t, lone)
	nodes[1].stop()
	nodes[2].stop()
	r, err := kv.Txn(t.Context(), both(true))
	require.NoError(t, err)
	require.Equal(t, "1", string(r.Responses[0].GetResponseRange().Kvs[0].Value))
	require.Equal(t, last, r.Header.Revision)
	ctx, done := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer done()
	_, err = kv.Txn(ctx, both(false))
	require.Error(t, err, "a node alone vouches for what it reads")
}
