package etcd

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"

	"sumacloft/internal/store"
)

// maxTTL bounds a lease, in seconds, as etcd does.
const maxTTL = 9_000_000_000

// LeaseGrant serves pb.LeaseServer. An id of 0 has the server choose one.
func (s *Server) LeaseGrant(ctx context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	if r.TTL <= 0 || r.TTL > maxTTL {
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	}
	if r.ID == 0 { // chosen once, so that a call passed on to the leader grants the same
		r.ID = rand.Int64N(1<<62) + 1
	}
	return propose(ctx, s, &pb.InternalRaftRequest{LeaseGrant: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseGrantResponse, error) {
		return pb.NewLeaseClient(conn).LeaseGrant(ctx, r)
	})
}

// LeaseRevoke serves pb.LeaseServer.
func (s *Server) LeaseRevoke(ctx context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	return propose(ctx, s, &pb.InternalRaftRequest{LeaseRevoke: r}, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseRevokeResponse, error) {
		return pb.NewLeaseClient(conn).LeaseRevoke(ctx, r)
	})
}

// LeaseKeepAlive serves pb.LeaseServer: each renewal goes through the log, so that the next leader knows of it. A TTL
// of 0 says that the lease is gone.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		renewal := &pb.InternalRaftRequest{LeaseCheckpoint: &pb.LeaseCheckpointRequest{Checkpoints: []*pb.LeaseCheckpoint{{ID: r.ID}}}}
		resp, err := propose(stream.Context(), s, renewal, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseKeepAliveResponse, error) {
			return keepAlive(ctx, pb.NewLeaseClient(conn), r.ID)
		})
		if err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// keepAlive renews a lease once.
func keepAlive(ctx context.Context, c pb.LeaseClient, id int64) (*pb.LeaseKeepAliveResponse, error) {
	stream, err := c.LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&pb.LeaseKeepAliveRequest{ID: id}); err != nil {
		return nil, err
	}
	resp, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	return resp, stream.CloseSend()
}

// LeaseTimeToLive serves pb.LeaseServer by the leader's clock, which is the one that ends leases.
func (s *Server) LeaseTimeToLive(ctx context.Context, r *pb.LeaseTimeToLiveRequest) (*pb.LeaseTimeToLiveResponse, error) {
	if !s.node.IsLeader() || s.node.ReadBarrier() != nil {
		return passOn(ctx, s, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseTimeToLiveResponse, error) {
			return pb.NewLeaseClient(conn).LeaseTimeToLive(ctx, r)
		})
	}
	l, known := s.node.Lease(r.ID)
	out := &pb.LeaseTimeToLiveResponse{Header: s.header(s.node.Revision()), ID: r.ID, TTL: -1}
	if known {
		out.TTL, out.GrantedTTL = int64(l.Remaining.Seconds()), l.TTL
		for _, key := range l.Keys {
			if r.Keys {
				out.Keys = append(out.Keys, []byte(key))
			}
		}
	}
	return out, nil
}

// LeaseLeases serves pb.LeaseServer from this node's copy.
func (s *Server) LeaseLeases(context.Context, *pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
	out := &pb.LeaseLeasesResponse{Header: s.header(s.node.Revision())}
	for _, id := range s.node.Leases() {
		out.Leases = append(out.Leases, &pb.LeaseStatus{ID: id})
	}
	return out, nil
}

// faults are the store's errors in etcd's words.
var faults = map[error]error{
	store.ErrCompacted:     rpctypes.ErrGRPCCompacted,
	store.ErrFuture:        rpctypes.ErrGRPCFutureRev,
	store.ErrLeaseNotFound: rpctypes.ErrGRPCLeaseNotFound,
	store.ErrLeaseExists:   rpctypes.ErrGRPCLeaseExist,
}
