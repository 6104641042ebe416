package etcd

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sumacloft/internal/standin"
)

// Leases as etcd's clients use them, through a follower: granted, renewed, asked about, ended with their keys, which a
// watch hears of.
func TestLeases(t *testing.T) {
	nodes := start(t, 3)
	var at *node
	for _, n := range nodes {
		if !n.IsLeader() {
			at = n
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+at.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer conn.Close()
	leases, kv := pb.NewLeaseClient(conn), pb.NewKVClient(conn)
	_, err = leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{TTL: 0})
	assert.Error(t, err, "a lease without time was granted")
	var ids []int64
	for _, ttl := range []int64{1, 60} {
		g, err := leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{TTL: ttl})
		require.NoError(t, err)
		require.NotZero(t, g.ID)
		require.Equal(t, ttl, g.TTL)
		ids = append(ids, g.ID)
		_, err = kv.Put(t.Context(), &pb.PutRequest{Key: fmt.Append(nil, "l/", ttl), Lease: g.ID})
		require.NoError(t, err)
	}
	_, err = leases.LeaseGrant(t.Context(), &pb.LeaseGrantRequest{ID: ids[1], TTL: 1})
	assert.Error(t, err, "an id was granted twice")
	there := func() int64 {
		r, err := kv.Range(t.Context(), &pb.RangeRequest{Key: []byte("l/"), RangeEnd: []byte("l0")})
		require.NoError(t, err)
		return r.Count
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		r, err := keepAlive(t.Context(), leases, ids[0])
		require.NoError(t, err)
		require.Equal(t, []int64{1, 2}, []int64{r.TTL, there()}, "seconds to go, keys")
	}
	ttl, err := leases.LeaseTimeToLive(t.Context(), &pb.LeaseTimeToLiveRequest{ID: ids[1], Keys: true})
	require.NoError(t, err)
	assert.EqualValues(t, 60, ttl.GrantedTTL)
	assert.GreaterOrEqual(t, ttl.TTL, int64(50))
	assert.Len(t, ttl.Keys, 1)
	standin.Eventually(t, 5*time.Second, "the lease that is not renewed any more ends, and its key", func() bool { return there() == 1 })
	r, err := keepAlive(t.Context(), leases, ids[0])
	require.NoError(t, err)
	assert.Zero(t, r.TTL)
	ttl, err = leases.LeaseTimeToLive(t.Context(), &pb.LeaseTimeToLiveRequest{ID: ids[0]})
	require.NoError(t, err)
	assert.EqualValues(t, -1, ttl.TTL)
	_, err = kv.Put(t.Context(), &pb.PutRequest{Key: []byte("k"), Lease: ids[0]})
	assert.Error(t, err, "a key was put under a lease that has ended")
	list, err := leases.LeaseLeases(t.Context(), &pb.LeaseLeasesRequest{})
	require.NoError(t, err)
	assert.Len(t, list.Leases, 1)
	_, err = leases.LeaseRevoke(t.Context(), &pb.LeaseRevokeRequest{ID: ids[1]})
	require.NoError(t, err)
	assert.Zero(t, there(), "keys")
}
