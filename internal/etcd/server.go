// Package etcd speaks etcd's v3 API: it serves the daemon's store with the calls for keys, watches and leases, and it
// follows members in any store that does so. Authentication and cluster administration are not served.
package etcd

import (
	"context"
	"errors"
	"hash/fnv"
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
		if store.InRange(name, key, end) {
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
	if reads, copied := onlyReads(r); reads && (copied || s.node.IsLeader() && s.node.ReadBarrier() == nil) {
		out := s.node.ReadTxn(r)
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
	if !r.Serializable && !ownCopy() {
		if !s.node.IsLeader() || s.node.ReadBarrier() != nil {
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
