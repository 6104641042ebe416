package etcd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"sumacloft/internal/discovery"
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
		if err != nil {
			t.Fatal(err)
		}
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
		if n.Leads() && n.Fresh() == nil {
			return n
		}
	}
	return nil
}

func dial(t *testing.T, n *node) (pb.KVClient, pb.WatchClient) {
	conn, err := grpc.NewClient("passthrough:///"+n.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return pb.NewKVClient(conn), pb.NewWatchClient(conn)
}

func put(t *testing.T, kv pb.KVClient, key, value string) int64 {
	t.Helper()
	r, err := kv.Put(t.Context(), &pb.PutRequest{Key: []byte(key), Value: []byte(value)})
	if err != nil {
		t.Fatal(err)
	}
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
	if _, err := kv.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{op("m/a"), op("m/b")}}); err != nil {
		t.Fatal(err)
	}
	s, err := w.Watch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/"), RangeEnd: []byte("m0"), StartRevision: first, PrevKv: true}))
	if r := next(t, s); !r.Created {
		t.Fatalf("%v", r)
	}
	r := next(t, s)
	if len(r.Events) != 3 || r.Events[0].Kv.ModRevision != first || r.Events[1].Kv.ModRevision != first+2 || r.Events[2].Kv.ModRevision != first+2 ||
		string(r.Events[1].PrevKv.GetValue()) != "1" {
		t.Fatalf("%v", r.Events)
	}
	_ = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{ProgressRequest: &pb.WatchProgressRequest{}}})
	if p := next(t, s); p.WatchId != none || p.Header.Revision != first+2 || len(p.Events) > 0 {
		t.Fatalf("progress %v", p)
	}
	if _, err := kv.DeleteRange(t.Context(), &pb.DeleteRangeRequest{Key: []byte("m/a")}); err != nil {
		t.Fatal(err)
	}
	if d := next(t, s); len(d.Events) != 1 || d.Events[0].Type != 1 || d.Events[0].Kv.ModRevision != first+3 {
		t.Fatalf("%v", d)
	}
	if _, err := kv.Compact(t.Context(), &pb.CompactionRequest{Revision: first + 2}); err != nil {
		t.Fatal(err)
	}
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/a"), StartRevision: first, WatchId: 7}))
	if r := next(t, s); !r.Created || r.WatchId != 7 {
		t.Fatalf("%v", r)
	}
	if r := next(t, s); !r.Canceled || r.CompactRevision != first+2 || r.WatchId != 7 {
		t.Fatalf("a watch from before the compaction: %v", r)
	}
	_ = s.Send(create(&pb.WatchCreateRequest{Key: []byte("m/"), RangeEnd: []byte("m0"), StartRevision: first + 2, WatchId: 8,
		Filters: []pb.WatchCreateRequest_FilterType{pb.WatchCreateRequest_NOPUT}}))
	next(t, s) // created
	if r := next(t, s); len(r.Events) != 1 || r.Events[0].Type != 1 {
		t.Fatalf("from the compaction on, deletes only: %v", r)
	}
	_ = s.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CancelRequest{CancelRequest: &pb.WatchCancelRequest{WatchId: 8}}})
	if r := next(t, s); !r.Canceled || r.WatchId != 8 || r.CompactRevision != 0 {
		t.Fatalf("%v", r)
	}
	if _, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("m/a"), Revision: first}); err == nil {
		t.Error("read at a compacted revision")
	}
	if r, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("m/a"), Revision: first + 2}); err != nil || len(r.Kvs) != 1 {
		t.Errorf("read before the delete: %v, %v", r, err)
	}
}

// heard keeps what Members tells: the phase of each member, and the revisions in their order.
type heard struct {
	mu        sync.Mutex
	phases    map[string]string
	revisions []int64
	wholes    int
}

func (h *heard) tell(l discovery.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Complete {
		h.phases = map[string]string{}
		h.wholes++
	}
	for _, m := range l.Members {
		h.phases[m.ID] = m.Phase
	}
	h.revisions = append(h.revisions, l.Revision)
}

func (h *heard) is(id, phase string) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.phases[id] == phase
	}
}

func follow(t *testing.T, endpoints ...string) *heard {
	h := &heard{phases: map[string]string{}}
	m := &Members{Endpoints: endpoints, Prefix: "m/", Log: standin.Log()}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx, h.tell) }()
	t.Cleanup(func() {
		stop()
		<-done
		for i := 1; i < len(h.revisions); i++ {
			if h.revisions[i] <= h.revisions[i-1] && !(h.wholes > 1) {
				t.Errorf("revisions out of order: %v", h.revisions)
			}
		}
	})
	return h
}

const serving, draining = `{"host_port":"127.0.0.1:1","phase":"SERVING"}`, `{"host_port":"127.0.0.1:1","phase":"DRAINING"}`

// The node that is watched dies, and the leader with it: members go on at another node from the last revision,
// without a second whole list, and a drain written after the election is heard.
func TestMembersOverLeaderLoss(t *testing.T) {
	nodes := start(t, 3)
	led := leader(nodes)
	kv, _ := dial(t, led)
	put(t, kv, "m/s-1", serving)
	put(t, kv, "m/odd", "{")
	endpoints := []string{led.addr}
	var other *node
	for _, n := range nodes {
		if n != led {
			endpoints, other = append(endpoints, n.addr), n
		}
	}
	h := follow(t, endpoints...)
	standin.Eventually(t, 3*time.Second, "the member is known", h.is("s-1", "SERVING"))
	led.stop()
	standin.Eventually(t, 10*time.Second, "a drain is taken after the election", func() bool {
		kv, _ := dial(t, other)
		ctx, done := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer done()
		_, err := kv.Put(ctx, &pb.PutRequest{Key: []byte("m/s-1"), Value: []byte(draining)})
		return err == nil
	})
	standin.Eventually(t, 5*time.Second, "the drain is heard", h.is("s-1", "DRAINING"))
	if h.wholes != 1 {
		t.Errorf("%d whole lists", h.wholes)
	}
}

// Calls at a follower reach the leader, and what a follower forwards it then serves itself.
func TestFollowerForwards(t *testing.T) {
	nodes := start(t, 3)
	for _, n := range nodes {
		kv, _ := dial(t, n)
		rev := put(t, kv, "k", n.addr)
		r, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("k")})
		if err != nil || len(r.Kvs) != 1 || string(r.Kvs[0].Value) != n.addr || r.Header.Revision < rev {
			t.Errorf("read back %v, %v", r, err)
		}
		if once := metadata.AppendToOutgoingContext(t.Context(), forwarded, "1"); !n.Leads() {
			if _, err := kv.Put(once, &pb.PutRequest{Key: []byte("k")}); err == nil {
				t.Error("a call that was passed on is passed on again")
			}
		}
		if _, err := kv.Put(t.Context(), &pb.PutRequest{}); err == nil || !strings.Contains(err.Error(), "key") {
			t.Errorf("a put without a key: %v", err)
		}
		if _, err := kv.Put(t.Context(), &pb.PutRequest{Key: []byte("k"), Lease: 3}); err == nil {
			t.Error("a lease was taken")
		}
	}
}

// mute is a watch service that falls silent: it lists, confirms the watch and then says nothing more.
type mute struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
}

func (mute) Range(context.Context, *pb.RangeRequest) (*pb.RangeResponse, error) {
	return &pb.RangeResponse{Header: &pb.ResponseHeader{Revision: 1}}, nil
}

func (mute) Watch(s pb.Watch_WatchServer) error {
	_ = s.Send(&pb.WatchResponse{Header: &pb.ResponseHeader{Revision: 99}, Created: true})
	<-s.Context().Done()
	return nil
}

// A watch that is silent is left for another endpoint; one whose events were compacted away reads the whole
// list again; a member that is deleted is told as gone.
func TestMembersResume(t *testing.T) {
	n := start(t, 1)[0]
	kv, _ := dial(t, n)
	put(t, kv, "m/s-1", serving)
	last := put(t, kv, "m/s-2", serving)
	if _, err := kv.Compact(t.Context(), &pb.CompactionRequest{Revision: last}); err != nil {
		t.Fatal(err)
	}
	silent := standin.Listen(t)
	g := grpc.NewServer()
	pb.RegisterKVServer(g, mute{})
	pb.RegisterWatchServer(g, mute{})
	go func() { _ = g.Serve(silent) }()
	t.Cleanup(g.Stop)
	h := follow(t, silent.Addr().String(), n.addr) // its list is empty at revision 1, which is compacted by now
	standin.Eventually(t, 6*time.Second, "the whole list is read again", h.is("s-2", "SERVING"))
	if _, err := kv.DeleteRange(t.Context(), &pb.DeleteRangeRequest{Key: []byte("m/s-2")}); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, 3*time.Second, "the member is gone", h.is("s-2", "DELETED"))
}

// Leases as etcd's clients use them, through a follower: granted, renewed, asked about, ended with their keys, which a
// watch hears of.
func TestLeases(t *testing.T) {
	nodes := start(t, 3)
	var at *node
	for _, n := range nodes {
		if !n.Leads() {
			at = n
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+at.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	leases, kv := pb.NewLeaseClient(conn), pb.NewKVClient(conn)
	if _, err := leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{TTL: 0}); err == nil {
		t.Error("a lease without time was granted")
	}
	var ids []int64
	for _, ttl := range []int64{1, 60} {
		g, err := leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{TTL: ttl})
		if err != nil || g.ID == 0 || g.TTL != ttl {
			t.Fatalf("%v, %v", g, err)
		}
		ids = append(ids, g.ID)
		if _, err := kv.Put(t.Context(), &pb.PutRequest{Key: fmt.Append(nil, "l/", ttl), Lease: g.ID}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{ID: ids[1], TTL: 1}); err == nil {
		t.Error("an id was granted twice")
	}
	there := func() int64 {
		r, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("l/"), RangeEnd: []byte("l0")})
		if err != nil {
			t.Fatal(err)
		}
		return r.Count
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		r, err := keepAlive(t.Context(), leases, ids[0])
		if err != nil || r.TTL != 1 || there() != 2 {
			t.Fatalf("%v, %v, %d keys", r, err, there())
		}
	}
	ttl, err := leases.LeaseTimeToLive(t.Context(), &pb.LeaseTimeToLiveRequest{ID: ids[1], Keys: true})
	if err != nil || ttl.GrantedTTL != 60 || ttl.TTL < 50 || len(ttl.Keys) != 1 {
		t.Errorf("%v, %v", ttl, err)
	}
	standin.Eventually(t, 5*time.Second, "the lease that is not renewed any more ends, and its key", func() bool { return there() == 1 })
	if r, err := keepAlive(t.Context(), leases, ids[0]); err != nil || r.TTL != 0 {
		t.Errorf("%v, %v", r, err)
	}
	if ttl, err := leases.LeaseTimeToLive(t.Context(), &pb.LeaseTimeToLiveRequest{ID: ids[0]}); err != nil || ttl.TTL != -1 {
		t.Errorf("%v, %v", ttl, err)
	}
	if _, err := kv.Put(t.Context(), &pb.PutRequest{Key: []byte("k"), Lease: ids[0]}); err == nil {
		t.Error("a key was put under a lease that has ended")
	}
	list, err := leases.LeaseLeases(t.Context(), &pb.LeaseLeasesRequest{})
	if err != nil || len(list.Leases) != 1 {
		t.Errorf("%v, %v", list, err)
	}
	if _, err := leases.LeaseRevoke(t.Context(), &pb.LeaseRevokeRequest{ID: ids[1]}); err != nil || there() != 0 {
		t.Errorf("%v, %d keys", err, there())
	}
}

// A client passes over an endpoint that is dead, and one that is silent; a change whose answer is lost says so.
func TestClientPassesOver(t *testing.T) {
	n := start(t, 1)[0]
	silent := standin.Raw(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	c, err := NewClient([]string{"127.0.0.1:1", silent, n.addr})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	put := &pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte("k")}}}}}
	if _, err := c.Txn(t.Context(), put); err != nil {
		t.Error(err)
	}
	if r, err := c.Range(t.Context(), &pb.RangeRequest{Key: []byte("k")}); err != nil || len(r.Kvs) != 1 {
		t.Errorf("%v, %v", r, err)
	}
	n.stop()
	if _, err := c.Txn(t.Context(), put); err == nil {
		t.Error("a change was made without a store")
	}
	lost := standin.Listen(t)
	g := grpc.NewServer()
	pb.RegisterKVServer(g, hung{})
	go func() { _ = g.Serve(lost) }()
	t.Cleanup(g.Stop)
	h, err := NewClient([]string{lost.Addr().String(), n.addr})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	if _, err := h.Txn(t.Context(), put); !errors.Is(err, ErrUnknown) {
		t.Errorf("the answer is lost, and the client says %v", err)
	}
}

// hung answers reads, and no change.
type hung struct{ pb.UnimplementedKVServer }

func (hung) Range(context.Context, *pb.RangeRequest) (*pb.RangeResponse, error) {
	return &pb.RangeResponse{Header: &pb.ResponseHeader{}}, nil
}

func (hung) Txn(ctx context.Context, _ *pb.TxnRequest) (*pb.TxnResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
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
	if err != nil || !r.Succeeded || len(r.Responses) != 3 {
		t.Fatalf("%v, %v", r, err)
	}
	for i, held := range []bool{false, true, true} {
		if got := r.Responses[i].GetResponseTxn(); got.Succeeded != held {
			t.Errorf("%d: %v", i, got)
		}
	}
	if kvs := r.Responses[0].GetResponseTxn().Responses[0].GetResponseRange().Kvs; len(kvs) != 1 || string(kvs[0].Value) != "1" {
		t.Errorf("%v", kvs)
	}
	all, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("a"), RangeEnd: []byte("c")})
	if err != nil || len(all.Kvs) != 2 || all.Kvs[0].ModRevision != all.Kvs[1].ModRevision {
		t.Errorf("%v, %v", all, err)
	}
	if _, err := kv.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{set("a"), absent("x", get("x"), set("a"))}}); err == nil {
		t.Error("a key was changed twice")
	}
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
		if err != nil || len(r.Responses) != 2 || string(r.Responses[1].GetResponseRange().Kvs[0].Value) != "2" || r.Header.Revision != last {
			t.Fatal(r, err)
		}
	}
	lone := nodes[0]
	standin.Eventually(t, 5*time.Second, "the copy is there", func() bool { return lone.Node.Revision() == last })
	kv, _ = dial(t, lone)
	nodes[1].stop()
	nodes[2].stop()
	r, err := kv.Txn(t.Context(), both(true))
	if err != nil || string(r.Responses[0].GetResponseRange().Kvs[0].Value) != "1" || r.Header.Revision != last {
		t.Fatal(r, err)
	}
	ctx, done := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer done()
	if r, err := kv.Txn(ctx, both(false)); err == nil {
		t.Fatal("a node alone vouches for what it reads:", r)
	}
}
