// Package etcd speaks etcd's v3 API: it serves the daemon's store with the calls for keys, watches and leases, and it
// follows members in any store that does so. Authentication and cluster administration are not served.
package etcd

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"sumacloft/internal/store"
)

const (
	// batch is about how many events one answer to a watch holds.
	batch = 256
	// progressEvery is when a quiet watch that asked for progress hears of it.
	progressEvery = time.Second
	forwardLimit  = 5 * time.Second
)

// Server serves a node of the store. Use Register.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	node     *store.Node
	reserved map[string]string // by key: why it is not written by hand

	mu   sync.Mutex
	conn *grpc.ClientConn // to the leader that was asked last
	addr string
}

// Register adds the services for a node to a gRPC server. A reserved key is not written here, with the reason given.
func Register(g *grpc.Server, node *store.Node, reserved map[string]string) *Server {
	s := &Server{node: node, reserved: reserved}
	pb.RegisterLeaseServer(g, s)
	pb.RegisterKVServer(g, s)
	pb.RegisterWatchServer(g, s)
	return s
}

// MemberID is the id that a node of this name has in the headers of answers; a read from the leader bears the leader's.
func MemberID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

func (s *Server) header(rev int64) *pb.ResponseHeader {
	return &pb.ResponseHeader{MemberId: MemberID(s.node.Self().ID), Revision: rev}
}

// forwarded marks a call that a node has passed on to the leader as it knew it.
const forwarded = "sumacloft-forwarded"

// leader gives a connection to the node that leads, and the context for a call to it. A call is passed on once: nodes
// that each take the other for the leader would else hand it to and fro.
func (s *Server) leader(ctx context.Context) (*grpc.ClientConn, context.Context, error) {
	p, ok := s.node.Leader()
	if !ok || p.ID == s.node.Self().ID || len(metadata.ValueFromIncomingContext(ctx, forwarded)) > 0 {
		return nil, nil, rpctypes.ErrGRPCNoLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr != p.Client {
		conn, err := grpc.NewClient("passthrough:///"+p.Client, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, nil, err
		}
		if s.conn != nil {
			_ = s.conn.Close()
		}
		s.conn, s.addr = conn, p.Client
	}
	return s.conn, metadata.AppendToOutgoingContext(ctx, forwarded, "1"), nil
}

// passOn has the leader answer a call.
func passOn[R any](ctx context.Context, s *Server, forward func(context.Context, *grpc.ClientConn) (R, error)) (none R, err error) {
	conn, ctx, err := s.leader(ctx)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	return forward(ctx, conn)
}

// propose has the cluster agree, here or through the leader. What went out to a leader is not sent again.
func propose[R any](ctx context.Context, s *Server, req *pb.InternalRaftRequest, forward func(context.Context, *grpc.ClientConn) (R, error)) (R, error) {
	var none R
	out, err := s.node.Apply(req)
	switch {
	case err == nil:
		return out.(R), nil
	case errors.Is(err, store.ErrNotLeader):
		return passOn(ctx, s, forward)
	}
	if fault := faults[err]; fault != nil {
		return none, fault
	}
	return none, rpctypes.ErrGRPCTimeout
}

// Put serves pb.KVServer.
func (s *Server) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := s.checkPut(r); err != nil {
		return nil, err
	}
	return propose(ctx, s, &pb.InternalRaftRequest{Put: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.PutResponse, error) {
		return pb.NewKVClient(conn).Put(ctx, r)
	})
}

func (s *Server) checkPut(r *pb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.IgnoreValue || r.IgnoreLease:
		return rpctypes.ErrGRPCNotCapable
	}
	return s.open(r.Key, nil)
}

// open refuses to write a reserved key.
func (s *Server) open(key, end []byte) error {
	for name, why := range s.reserved {
		if store.In(name, key, end) {
			return status.Errorf(codes.FailedPrecondition, "%s: %s", name, why)
		}
	}
	return nil
}

// DeleteRange serves pb.KVServer.
func (s *Server) DeleteRange(ctx context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	if err := s.open(r.Key, r.RangeEnd); err != nil {
		return nil, err
	}
	return propose(ctx, s, &pb.InternalRaftRequest{DeleteRange: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.DeleteRangeResponse, error) {
		return pb.NewKVClient(conn).DeleteRange(ctx, r)
	})
}

// Txn serves pb.KVServer. A key changes once in each transaction, those within it included.
func (s *Server) Txn(ctx context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	for _, ops := range [...][]*pb.RequestOp{r.Success, r.Failure} {
		if err := s.checkOps(ops); err != nil {
			return nil, err
		}
	}
	if reads, copied := onlyReads(r); reads && (copied || s.node.Leads() && s.node.Fresh() == nil) {
		out := s.node.Look(r)
		out.Header = s.header(out.Header.Revision)
		return out, nil
	}
	return propose(ctx, s, &pb.InternalRaftRequest{Txn: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.TxnResponse, error) {
		return pb.NewKVClient(conn).Txn(ctx, r)
	})
}

// onlyReads tells whether a transaction can change nothing, and whether it is content with a node's own copy: as in
// etcd it is if all that it reads is. The log has no part in one that only reads.
func onlyReads(r *pb.TxnRequest) (reads, copied bool) {
	copied = true
	for _, ops := range [...][]*pb.RequestOp{r.Success, r.Failure} {
		for _, op := range ops {
			get := op.GetRequestRange()
			if get == nil || get.Revision != 0 {
				return false, false
			}
			copied = copied && get.Serializable
		}
	}
	return true, copied && len(r.Compare) == 0
}

func (s *Server) checkOps(ops []*pb.RequestOp) error {
	return s.checkChanges(ops, map[string]bool{}, maxNesting)
}

// maxNesting is how deep transactions may nest.
const maxNesting = 4

// checkChanges checks the operations that may all be carried out together; puts has the keys put so far.
func (s *Server) checkChanges(ops []*pb.RequestOp, puts map[string]bool, depth int) error {
	for _, op := range ops {
		if t := op.GetRequestTxn(); t != nil {
			if depth == 0 {
				return rpctypes.ErrGRPCNotCapable
			}
			other := maps.Clone(puts) // one of the two branches is carried out
			if err := s.checkChanges(t.Success, puts, depth-1); err != nil {
				return err
			}
			if err := s.checkChanges(t.Failure, other, depth-1); err != nil {
				return err
			}
			maps.Copy(puts, other)
		}
		if put := op.GetRequestPut(); put != nil {
			if err := s.checkPut(put); err != nil {
				return err
			}
			key := string(put.Key)
			if puts[key] {
				return rpctypes.ErrGRPCDuplicateKey
			}
			puts[key] = true
		}
	}
	for _, op := range ops {
		if d := op.GetRequestDeleteRange(); d != nil {
			if err := s.open(d.Key, d.RangeEnd); err != nil {
				return err
			}
			for key := range puts {
				if key == string(d.Key) || len(d.RangeEnd) > 0 {
					return rpctypes.ErrGRPCDuplicateKey
				}
			}
		}
	}
	return nil
}

// Compact serves pb.KVServer.
func (s *Server) Compact(ctx context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	return propose(ctx, s, &pb.InternalRaftRequest{Compaction: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.CompactionResponse, error) {
		return pb.NewKVClient(conn).Compact(ctx, r)
	})
}

// Range serves pb.KVServer: the leader's word, unless the caller is content with this node's copy.
func (s *Server) Range(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	if !r.Serializable {
		if !s.node.Leads() || s.node.Fresh() != nil {
			return passOn(ctx, s, func(ctx context.Context, conn *grpc.ClientConn) (*pb.RangeResponse, error) {
				return pb.NewKVClient(conn).Range(ctx, r)
			})
		}
	}
	pairs, rev, err := s.node.Range(r.Key, r.RangeEnd, r.Revision)
	switch {
	case errors.Is(err, store.ErrCompacted):
		return nil, rpctypes.ErrGRPCCompacted
	case errors.Is(err, store.ErrFuture):
		return nil, rpctypes.ErrGRPCFutureRev
	}
	pairs = slices.DeleteFunc(pairs, func(p *mvccpb.KeyValue) bool {
		return (r.MinModRevision > 0 && p.ModRevision < r.MinModRevision) || (r.MaxModRevision > 0 && p.ModRevision > r.MaxModRevision)
	})
	out := &pb.RangeResponse{Header: s.header(rev), Count: int64(len(pairs))}
	if r.SortOrder == pb.RangeRequest_DESCEND && r.SortTarget == pb.RangeRequest_KEY {
		slices.Reverse(pairs)
	}
	if r.Limit > 0 && int64(len(pairs)) > r.Limit {
		pairs, out.More = pairs[:r.Limit], true
	}
	if r.CountOnly {
		return out, nil
	}
	for _, p := range pairs {
		if r.KeysOnly {
			p.Value = nil
		}
	}
	out.Kvs = pairs
	return out, nil
}

// watches are those of one client's stream.
type watches struct {
	server *Server
	stream pb.Watch_WatchServer

	mu     sync.Mutex // guards sending and what follows
	cancel map[int64]context.CancelFunc
	at     map[int64]int64 // by watch: the revision up to which all has been sent
	lastID int64
}

// Watch serves pb.WatchServer: any number of watches on one stream, each in the order of revisions, with no
// revision torn apart, none left out and none sent twice.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	w := &watches{server: s, stream: stream, cancel: map[int64]context.CancelFunc{}, at: map[int64]int64{}}
	ctx, stop := context.WithCancel(stream.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for {
		req, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch r := req.RequestUnion.(type) {
		case *pb.WatchRequest_CreateRequest:
			err = w.create(ctx, r.CreateRequest, &running)
		case *pb.WatchRequest_CancelRequest:
			err = w.end(r.CancelRequest.WatchId, &pb.WatchResponse{})
		case *pb.WatchRequest_ProgressRequest:
			err = w.progress()
		}
		if err != nil {
			return err
		}
	}
}

// none marks answers that belong to no watch.
const none = -1

func (w *watches) create(ctx context.Context, r *pb.WatchCreateRequest, running *sync.WaitGroup) error {
	if len(r.Key) == 0 {
		r.Key = []byte{0}
		if len(r.RangeEnd) == 0 {
			r.RangeEnd = []byte{0}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	rev, id := w.server.node.Revision(), r.WatchId
	if id == 0 {
		for w.lastID++; w.cancel[w.lastID] != nil; w.lastID++ {
		}
		id = w.lastID
	}
	if w.cancel[id] != nil || id < 0 {
		return w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: none, Created: true, Canceled: true,
			CancelReason: "the watch id is taken or negative"})
	}
	from := r.StartRevision
	if from <= 0 {
		from = rev + 1
	}
	ctx, w.cancel[id] = context.WithCancel(ctx)
	w.at[id] = min(from-1, rev)
	if err := w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: id, Created: true}); err != nil {
		return err
	}
	running.Add(1)
	go func() {
		defer running.Done()
		w.follow(ctx, id, from, r)
	}()
	return nil
}

// end ends a watch and says so.
func (w *watches) end(id int64, last *pb.WatchResponse) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancel := w.cancel[id]
	if cancel == nil {
		return nil
	}
	cancel()
	delete(w.cancel, id)
	delete(w.at, id)
	last.Header, last.WatchId, last.Canceled = w.server.header(w.server.node.Revision()), id, true
	return w.stream.Send(last)
}

// progress answers with a revision up to which every watch of the stream has been sent everything.
func (w *watches) progress() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	rev := w.server.node.Revision()
	for _, at := range w.at {
		if at < rev { // one is still behind: its own events will tell
			return nil
		}
	}
	return w.stream.Send(&pb.WatchResponse{Header: w.server.header(rev), WatchId: none})
}

// follow sends one watch's events until ctx ends or they have been compacted away.
func (w *watches) follow(ctx context.Context, id, from int64, r *pb.WatchCreateRequest) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		c, err := w.server.node.Changes(r.Key, r.RangeEnd, from, r.PrevKv, batch)
		if err != nil {
			_ = w.end(id, &pb.WatchResponse{CompactRevision: c.Compacted, CancelReason: rpctypes.ErrCompacted.Error()})
			return
		}
		events := slices.DeleteFunc(c.Events, func(e *mvccpb.Event) bool { return filtered(r.Filters, e.Type) })
		from = c.Next
		if !w.send(ctx, id, from-1, &pb.WatchResponse{Header: w.server.header(min(c.Revision, from-1)), WatchId: id, Events: events}) {
			return
		}
		if from <= c.Revision {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Changed:
		case <-tick.C:
			if r.ProgressNotify && c.Revision >= from-1 {
				if !w.send(ctx, id, from-1, nil) {
					return
				}
			}
		}
	}
}

// send sends a watch's events, if there are any; nil stands for its progress.
func (w *watches) send(ctx context.Context, id, upTo int64, resp *pb.WatchResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.at[id] = upTo
	if resp == nil {
		resp = &pb.WatchResponse{Header: w.server.header(upTo), WatchId: id}
	} else if len(resp.Events) == 0 {
		return true
	}
	return w.stream.Send(resp) == nil
}

func filtered(filters []pb.WatchCreateRequest_FilterType, kind mvccpb.Event_EventType) bool {
	return (kind == mvccpb.PUT && slices.Contains(filters, pb.WatchCreateRequest_NOPUT)) ||
		(kind == mvccpb.DELETE && slices.Contains(filters, pb.WatchCreateRequest_NODELETE))
}
