package work

import (
	"context"
	"errors"
	"sync/atomic"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/protobuf/proto"

	"sumacloft/internal/etcd"
)

// committer has many small transactions agreed on in one entry of the log, each by its own compare: while one entry is
// on its way, those that come meanwhile are gathered for the next.
type committer struct {
	client *etcd.Client
	most   int // in an entry; 1: each has its own
	in     chan *change

	entries, changes, bytes atomic.Int64 // made so far
}

// change is one small transaction.
type change struct {
	key  string
	size int
	txn  *pb.TxnRequest
	done chan changed
}

type changed struct {
	resp *pb.TxnResponse
	rev  int64 // of the entry
	err  error
}

// maxEntry is about how large an entry may become, in bytes.
const maxEntry = 1 << 20

func newCommitter(client *etcd.Client, most int) *committer {
	return &committer{client: client, most: most, in: make(chan *change, 4096)}
}

// do makes one transaction on a key. After etcd.ErrUnknown it may have been made or not.
func (c *committer) do(ctx context.Context, key string, size int, txn *pb.TxnRequest) changed {
	if c.most <= 1 {
		c.entries.Add(1)
		c.changes.Add(1)
		c.bytes.Add(int64(proto.Size(txn)))
		r, err := c.client.Txn(ctx, txn)
		return changed{r, r.GetHeader().GetRevision(), err}
	}
	ch := &change{key: key, size: size, txn: txn, done: make(chan changed, 1)}
	select {
	case c.in <- ch:
	case <-ctx.Done():
		return changed{err: ctx.Err()}
	}
	select {
	case out := <-ch.done:
		return out
	case <-ctx.Done():
		return changed{err: errors.Join(etcd.ErrUnknown, ctx.Err())}
	}
}

// run commits until ctx ends.
func (c *committer) run(ctx context.Context) {
	var held []*change // those whose key is in the entry before
	for {
		batch, keys, size := []*change(nil), map[string]bool{}, 0
		add := func(ch *change) {
			if keys[ch.key] {
				held = append(held, ch)
				return
			}
			keys[ch.key] = true
			batch, size = append(batch, ch), size+ch.size
		}
		again := held
		held = nil
		for _, ch := range again {
			add(ch)
		}
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case ch := <-c.in:
				add(ch)
			}
		}
	gather:
		for len(batch) < c.most && size < maxEntry {
			select {
			case ch := <-c.in:
				add(ch)
			default:
				break gather
			}
		}
		c.commit(ctx, batch)
	}
}

func (c *committer) commit(ctx context.Context, batch []*change) {
	txn := &pb.TxnRequest{}
	for _, ch := range batch {
		txn.Success = append(txn.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestTxn{RequestTxn: ch.txn}})
	}
	c.entries.Add(1)
	c.changes.Add(int64(len(batch)))
	c.bytes.Add(int64(proto.Size(txn)))
	r, err := c.client.Txn(ctx, txn)
	for i, ch := range batch {
		out := changed{err: err}
		if err == nil {
			out.resp, out.rev = r.Responses[i].GetResponseTxn(), r.Header.Revision
		}
		ch.done <- out
	}
}
