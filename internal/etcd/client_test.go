package etcd

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"sumacloft/internal/standin"
)

// Calls at a follower reach the leader, and what a follower forwards it then serves itself.
func TestFollowerForwards(t *testing.T) {
	nodes := start(t, 3)
	for _, n := range nodes {
		kv, _ := dial(t, n)
		rev := put(t, kv, "k", n.addr)
		r, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("k")})
		require.NoError(t, err)
		require.Len(t, r.Kvs, 1)
		assert.Equal(t, n.addr, string(r.Kvs[0].Value))
		assert.GreaterOrEqual(t, r.Header.Revision, rev)
		if once := metadata.AppendToOutgoingContext(t.Context(), forwarded, "1"); !n.IsLeader() {
			_, err = kv.Put(once, &pb.PutRequest{Key: []byte("k")})
			assert.Error(t, err, "a call that was passed on is passed on again")
		}
		_, err = kv.Put(t.Context(), &pb.PutRequest{})
		assert.ErrorContains(t, err, "key", "a put without a key")
		_, err = kv.Put(t.Context(), &pb.PutRequest{Key: []byte("k"), Lease: 3})
		assert.Error(t, err, "a lease was taken")
	}
}

// A client passes over an endpoint that is dead, and one that is silent; a change whose answer is lost says so.
func TestClientPassesOver(t *testing.T) {
	n := start(t, 1)[0]
	silent := standin.Raw(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	c, err := NewClient([]string{"127.0.0.1:1", silent, n.addr})
	require.NoError(t, err)
	defer c.Close()
	put := &pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte("k")}}}}}
	_, err = c.Txn(t.Context(), put)
	require.NoError(t, err)
	r, err := c.Range(t.Context(), &pb.RangeRequest{Key: []byte("k")})
	require.NoError(t, err)
	assert.Len(t, r.Kvs, 1)
	n.stop()
	_, err = c.Txn(t.Context(), put)
	assert.Error(t, err, "a change was made without a store")
	lost := standin.Listen(t)
	g := grpc.NewServer()
	pb.RegisterKVServer(g, hung{})
	go func() { _ = g.Serve(lost) }()
	t.Cleanup(g.Stop)
	h, err := NewClient([]string{lost.Addr().String(), n.addr})
	require.NoError(t, err)
	defer h.Close()
	_, err = h.Txn(t.Context(), put)
	assert.ErrorIs(t, err, ErrUnknown, "the answer is lost")
}

// Calls that have no time for two endpoints reach a live one all the same: what did not answer is not asked first again.
func TestClientLeavesASilentEndpoint(t *testing.T) {
	n := start(t, 1)[0]
	silent := standin.Raw(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	c, err := NewClient([]string{silent, n.addr})
	require.NoError(t, err)
	defer c.Close()
	ask := func() error {
		ctx, done := context.WithTimeout(t.Context(), clientTry/2)
		defer done()
		_, err := c.Range(ctx, &pb.RangeRequest{Key: []byte("k")})
		return err
	}
	require.Error(t, ask(), "the silent endpoint is asked first")
	assert.NoError(t, ask())
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
