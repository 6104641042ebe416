package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/etcd"
)

// BooksReport is what clients of the store did beside a schedule.
type BooksReport struct {
	Made    int `json:"made"`    // operations with an answer
	Unknown int `json:"unknown"` // changes whose answer was lost
	Refused int `json:"refused"` // surely not made, or reads without an answer
}

const (
	bookClients, bookKeys = 6, 4
	bookThink             = 20 * time.Millisecond // at least, twice at most, between two operations of a client
	bookCall              = 1500 * time.Millisecond
)

// books are clients of the store, each with a member of its own that it asks first, as routers have; they work on a few keys
// until they are closed.
type books struct {
	clients []*etcd.Client
	zero    time.Time
	stop    context.CancelFunc
	all     sync.WaitGroup

	mu      sync.Mutex
	history []BookOp
	made    BooksReport
}

// Books has clients of the store work beside whatever else goes on; close judges what they saw. Without Options.Books there
// are none.
func (f *OutageFleet) Books(ctx context.Context) (close func() (BooksReport, []string), err error) {
	if !f.o.Books {
		return func() (BooksReport, []string) { return BooksReport{}, nil }, nil
	}
	ctx, stop := context.WithCancel(ctx)
	b := &books{zero: time.Now(), stop: stop}
	desks := f.memberDesks()
	for i := range bookClients {
		at := i % len(desks)
		c, err := etcd.NewClient(append(append([]string{}, desks[at:]...), desks[:at]...))
		if err != nil {
			b.end()
			return nil, err
		}
		b.clients = append(b.clients, c)
	}
	for i := range b.clients {
		rng := rand.New(rand.NewPCG(f.o.Seed, uint64(i)+0xb00c))
		b.all.Go(func() { b.work(ctx, i, rng) })
	}
	return func() (BooksReport, []string) {
		b.end()
		if why := CheckBooks(b.history); why != "" {
			return b.made, []string{why}
		}
		return b.made, nil
	}, nil
}

func (b *books) end() {
	b.stop()
	b.all.Wait()
	for _, c := range b.clients {
		_ = c.Close() // nothing goes over it any more
	}
}

// work is one client's: reads, puts, swaps and deletes, one after the other. What a swap begins from it has seen.
func (b *books) work(ctx context.Context, id int, rng *rand.Rand) {
	seen := map[string]string{}
	for n := 0; ctx.Err() == nil; n++ {
		op := BookOp{Client: id, Key: fmt.Sprint("/lab/book-", rng.IntN(bookKeys)), To: fmt.Sprintf("%d-%d", id, n)}
		switch k := rng.IntN(20); {
		case k < 9:
			op.Kind = BookGet
		case k < 13:
			op.Kind = BookPut
		case k < 18:
			op.Kind, op.From = BookSwap, seen[op.Key]
		default:
			op.Kind = BookDelete
		}
		b.do(ctx, &op, seen)
		select {
		case <-ctx.Done():
		case <-time.After(bookThink + time.Duration(rng.Int64N(int64(bookThink)))):
		}
	}
}

// do makes one operation, and notes what is known of it.
func (b *books) do(ctx context.Context, op *BookOp, seen map[string]string) {
	call, done := context.WithTimeout(context.WithoutCancel(ctx), bookCall) // what has begun is made to its end
	defer done()
	client := b.clients[op.Client]
	read := &pb.RangeRequest{Key: []byte(op.Key)}
	op.Call = time.Since(b.zero)
	var err error
	switch op.Kind {
	case BookGet:
		var r *pb.RangeResponse
		if r, err = client.Range(call, read); err == nil {
			op.Saw = only(r)
		}
	case BookPut:
		_, err = client.Txn(call, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(op.Key, []byte(op.To), 0)}})
	case BookDelete:
		_, err = client.Txn(call, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Del(op.Key)}})
	case BookSwap:
		was := etcd.At(op.Key, 0) // it is not there
		if op.From != "" {
			was = &pb.Compare{Key: []byte(op.Key), Target: pb.Compare_VALUE, TargetUnion: &pb.Compare_Value{Value: []byte(op.From)}}
		}
		var r *pb.TxnResponse
		r, err = client.Txn(call, &pb.TxnRequest{Compare: []*pb.Compare{was}, Success: []*pb.RequestOp{etcd.Put(op.Key, []byte(op.To), 0)}, Failure: []*pb.RequestOp{etcd.Get(read)}})
		if err == nil {
			if op.Done = r.Succeeded; !op.Done {
				op.Saw = only(r.Responses[0].GetResponseRange())
			}
		}
	}
	op.Return = time.Since(b.zero)
	op.Unknown = errors.Is(err, etcd.ErrUnknown)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case op.Unknown:
		b.made.Unknown++
	case err != nil:
		b.made.Refused++
		return
	default:
		b.made.Made++
		seen[op.Key] = op.leaves()
	}
	b.history = append(b.history, *op)
}

// only is the value of the one key that was read; "" where it is not there.
func only(r *pb.RangeResponse) string {
	if len(r.GetKvs()) == 0 {
		return ""
	}
	return string(r.Kvs[0].Value)
}
