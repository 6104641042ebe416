package etcd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Client asks any of a store's endpoints; one that is dead or has no leader is passed over. It is safe for concurrent
// use.
type Client struct {
	endpoints []string
	conns     []*grpc.ClientConn
	// Patient has a call go round the endpoints until its context ends, not once: while a leader is being elected
	// none of them answers. It is set before the first call.
	Patient bool

	mu   sync.Mutex
	good int // the endpoint that is asked first: the one that answered last, or the next after one that did not
}

// clientTry is how long one endpoint is waited for before the next is asked.
const clientTry = 700 * time.Millisecond

// ErrUnknown says that a change was sent and its answer was lost: it may have been made or not.
var ErrUnknown = errors.New("the answer was lost: the change may have been made or not")

// NewClient makes a client; nothing is dialled yet.
func NewClient(endpoints []string) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("no endpoint of a store is named")
	}
	c := &Client{endpoints: endpoints}
	quick := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
	for _, e := range endpoints {
		conn, err := grpc.NewClient("passthrough:///"+e, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: quick, MinConnectTimeout: clientTry}))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%s: %w", e, err), c.Close())
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends the client's connections.
func (c *Client) Close() error {
	var all error
	for _, conn := range c.conns {
		all = errors.Join(all, conn.Close())
	}
	return all
}

// Conn is the connection to one endpoint, by its place.
func (c *Client) Conn(i int) *grpc.ClientConn { return c.conns[i%len(c.conns)] }

// do asks one endpoint after the other, each for a while, until one answers or the error is the store's word. Only
// errors after which the call has surely not been carried out go to the next endpoint, unless it is harmless to
// ask again.
func (c *Client) do(ctx context.Context, again bool, call func(context.Context, *grpc.ClientConn) error) error {
	c.mu.Lock()
	first := c.good
	c.mu.Unlock()
	var last error
	rounds := pauses()
	for i := 0; i < len(c.conns) || c.Patient; i++ {
		if i > 0 && i%len(c.conns) == 0 {
			select {
			case <-ctx.Done():
				return last
			case <-time.After(rounds.NextBackOff()):
			}
		}
		at := (first + i) % len(c.conns)
		try, done := context.WithTimeout(ctx, clientTry)
		err := call(try, c.conns[at])
		done()
		if err == nil || !passing(err) {
			c.mu.Lock()
			c.good = at
			c.mu.Unlock()
			return err
		}
		last = fmt.Errorf("%s: %w", c.endpoints[at], err)
		c.mu.Lock()
		if c.good == at { // the next call may have no time to wait for this one and ask another
			c.good = (at + 1) % len(c.conns)
		}
		c.mu.Unlock()
		if ctx.Err() != nil || (!again && !refused(err)) {
			break
		}
	}
	if !again && !refused(last) {
		return errors.Join(ErrUnknown, last)
	}
	return last
}

// passing tells whether an error says something of the endpoint only.
func passing(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.Unknown, codes.Internal:
		return true
	}
	return false
}

// refused tells whether the endpoint surely did not take the call: it was never ready, or had no leader to pass it to.
func refused(err error) bool {
	return status.Code(err) == codes.Unavailable && (errors.Is(err, errNotReady) || status.Convert(err).Message() == status.Convert(rpctypes.ErrGRPCNoLeader).Message())
}

var errNotReady = errors.New("not ready")

// ready waits until a connection is up; a call made before that could not be told from one that was sent.
func ready(ctx context.Context, conn *grpc.ClientConn) error {
	if conn.GetState() == connectivity.Ready {
		return nil
	}
	// An answer from this endpoint's own copy tells that the connection is up.
	_, err := pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte{0}, Serializable: true, CountOnly: true})
	if err != nil {
		return &notReady{err}
	}
	return nil
}

// notReady is an error of the look before a call.
type notReady struct{ err error }

func (e *notReady) Error() string              { return e.err.Error() }
func (e *notReady) Is(target error) bool       { return target == errNotReady }
func (e *notReady) GRPCStatus() *status.Status { return status.New(codes.Unavailable, e.err.Error()) }

// Range reads, from the leader unless the request is content with less.
func (c *Client) Range(ctx context.Context, r *pb.RangeRequest) (out *pb.RangeResponse, err error) {
	err = c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		out, err = pb.NewKVClient(conn).Range(ctx, r)
		return err
	})
	return out, err
}

// Txn makes a transaction, once. After ErrUnknown it may have been made or not.
func (c *Client) Txn(ctx context.Context, r *pb.TxnRequest) (out *pb.TxnResponse, err error) {
	err = c.do(ctx, false, func(ctx context.Context, conn *grpc.ClientConn) error {
		if err := ready(ctx, conn); err != nil {
			return err
		}
		out, err = pb.NewKVClient(conn).Txn(ctx, r)
		return err
	})
	return out, err
}

// Look makes a transaction that only reads; it is asked again elsewhere without harm.
func (c *Client) Look(ctx context.Context, r *pb.TxnRequest) (out *pb.TxnResponse, err error) {
	err = c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		out, err = pb.NewKVClient(conn).Txn(ctx, r)
		return err
	})
	return out, err
}

// Grant grants a lease of some seconds. One whose grant is lost ends by itself.
func (c *Client) Grant(ctx context.Context, ttl int64) (id int64, err error) {
	err = c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		r, err := pb.NewLeaseClient(conn).LeaseGrant(ctx, &pb.LeaseGrantRequest{TTL: ttl})
		if err == nil {
			id = r.ID
		}
		return err
	})
	return id, err
}

// KeepAlive renews a lease once; alive tells whether it still exists. revision is the store's at that moment.
func (c *Client) KeepAlive(ctx context.Context, id int64) (alive bool, revision int64, err error) {
	err = c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		r, err := keepAlive(ctx, pb.NewLeaseClient(conn), id)
		if err == nil {
			alive, revision = r.TTL > 0, r.Header.GetRevision()
		}
		return err
	})
	return alive, revision, err
}

// Left tells how long a lease has to go by the leader's clock, in whole seconds; below 0 it is over.
func (c *Client) Left(ctx context.Context, id int64) (seconds int64, err error) {
	err = c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		r, err := pb.NewLeaseClient(conn).LeaseTimeToLive(ctx, &pb.LeaseTimeToLiveRequest{ID: id})
		if err == nil {
			seconds = r.TTL
		}
		return err
	})
	return seconds, err
}

// Revoke ends a lease, and with it its keys.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	return c.do(ctx, true, func(ctx context.Context, conn *grpc.ClientConn) error {
		_, err := pb.NewLeaseClient(conn).LeaseRevoke(ctx, &pb.LeaseRevokeRequest{ID: id})
		return err
	})
}

// Notify tells of every change under a prefix, and that a watch has begun, by the place of the endpoint that is
// watched, until ctx ends. What changed is to be read there.
func (c *Client) Notify(ctx context.Context, prefix string, tell func(endpoint int)) {
	next := 0
	Repeat(ctx, func() error {
		at := next % len(c.conns)
		next++
		return watch(ctx, c.conns[at], prefix, 0, func(r *pb.WatchResponse) error {
			if r.Created || len(r.Events) > 0 {
				tell(at)
			}
			return nil
		})
	}, func(error) {})
}
