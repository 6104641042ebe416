package work

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"golang.org/x/time/rate"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd"
)

// The keys.
const (
	root      = "/sumacloft/work/"
	openKeys  = root + "open/" // in hand
	doneKeys  = root + "done/" // ended, until their lease is over
	secretKey = root + "secret"
	// SecretKey is where the fleet's secret stands, for the laboratory, which must find a client's record.
	SecretKey = secretKey
)

// Options set up a book.
type Options struct {
	Endpoints []string
	Me        ledger.Owner
	Limits    ledger.Limits
	Batch     int     // records in an entry of the log; 1: each has its own
	Pace      float64 // takeovers a second
	// Session is the lease that this router's registration stands on now, nil if none does. Another lease is another
	// session.
	Session func() any
	// Attempts is how many attempts the policy allows.
	Attempts func() int
	// Resume runs what was taken over, to its end.
	Resume func(*Entry)
	Log    logrus.FieldLogger
	Spans  Spans
	// Broken makes a book that breaks one rule on purpose, so that checkers can be shown to find it.
	Broken Fault
}

// Fault is a rule that a book breaks.
type Fault string

// The faults.
const (
	LateIntent Fault = "late-intent" // a request is sent before that is written down
	NoCheck    Fault = "no-check"    // the lease is not looked at before the write
	NoCompare  Fault = "no-compare"  // records are written whatever stands there
)

// Book is what one router has written down. Use Open, then Run.
type Book struct {
	o       Options
	client  *etcd.Client
	commits *committer
	pace    *rate.Limiter
	look    chan struct{}

	mu      sync.Mutex
	secret  Secret
	account *ledger.Account
	entries map[string]*Entry // by key
	live    []ledger.Owner
	liveAt  int64 // the store's revision at which they lived
	bucket  bucket
}

// bucket is the lease of the records that end about now.
type bucket struct {
	id    int64
	until time.Time // it is given to records until then
}

const (
	// bucketTime is how long records that end get the same lease.
	bucketTime = 10 * time.Second
	// lookEvery is how often orphans are looked for where nothing tells of any.
	lookEvery = time.Second
	callLimit = 2 * time.Second
	// lookPause lies between two tries at a store that does not answer.
	lookPause = 20 * time.Millisecond
)

// ErrAway says that the store did not take a record in time.
var ErrAway = errors.New("the store of work in hand does not answer")

// Conflict says that a record of the same key is there already.
type Conflict struct{ Record ledger.Record }

func (e *Conflict) Error() string { return "the key is known" }

// Open makes a book.
func Open(o Options) (*Book, error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	return &Book{o: o, client: client, commits: newCommitter(client, o.Batch), pace: rate.NewLimiter(rate.Limit(o.Pace), max(int(o.Pace/10), 1)),
		look: make(chan struct{}, 1), account: ledger.NewAccount(o.Limits), entries: map[string]*Entry{}}, nil
}

// Close ends the book's connections.
func (b *Book) Close() error { return b.client.Close() }

// now is Unix time in milliseconds: what is written down must mean the same to other routers.
func now() int64 { return Wall().UnixMilli() }

// Run keeps the book until ctx ends.
func (b *Book) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	all.Add(1)
	go func() { defer all.Done(); b.commits.run(ctx) }()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		if err := b.prepare(ctx); err != nil && ctx.Err() == nil {
			b.o.Log.WithError(err).Debug("work: the store does not answer")
		}
		b.takeOver(ctx, &all)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.look:
		}
	}
}

// prepare sees to what records need: the secret, and the lease of those that end next.
func (b *Book) prepare(ctx context.Context) error {
	b.mu.Lock()
	known, old := len(b.secret) > 0, time.Until(b.bucket.until) < bucketTime/2
	b.mu.Unlock()
	if !known {
		secret, err := b.readSecret(ctx)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.secret = secret
		b.mu.Unlock()
	}
	if !old {
		return nil
	}
	// Records get it for a while, and the last of them stays for its whole time.
	id, err := b.client.Grant(ctx, int64((b.o.Limits.Keep+2*bucketTime)/time.Second))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.bucket = bucket{id, time.Now().Add(bucketTime)}
	b.mu.Unlock()
	return nil
}

// readSecret reads the fleet's secret, and draws it if there is none.
func (b *Book) readSecret(ctx context.Context) (Secret, error) {
	drawn := make([]byte, 32)
	_, _ = rand.Read(drawn) // never fails
	r, err := b.client.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(secretKey, 0)}, Failure: []*pb.RequestOp{get(secretKey)},
		Success: []*pb.RequestOp{etcd.Put(secretKey, drawn, 0)}})
	switch {
	case err != nil:
		return nil, err
	case r.Succeeded:
		return drawn, nil
	}
	return r.Responses[0].GetResponseRange().Kvs[0].Value, nil
}

// Ready tells whether requests can be written down at all.
func (b *Book) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.secret) > 0 && time.Now().Before(b.bucket.until)
}

// Digest is a keyed digest of some parts; only with Ready.
func (b *Book) Digest(parts ...[]byte) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.secret.Digest(parts...)
}

// ClientKey is the record's key of a client's key.
func (s Secret) ClientKey(auth, given string) string {
	return s.Digest([]byte("key"), []byte(auth), []byte(given))
}

// ClientKey is the record's key of a client's key; only with Ready.
func (b *Book) ClientKey(auth, given string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.secret.ClientKey(auth, given)
}

// Anonymous draws a key for a request that came without one.
func Anonymous() string { return "~" + uuid.NewString() }

// Seen tells the book which processes live, as of a revision of the store.
func (b *Book) Seen(live []ledger.Owner, revision int64) {
	b.mu.Lock()
	b.live, b.liveAt = live, revision
	b.mu.Unlock()
	b.poke()
}

func (b *Book) poke() {
	select {
	case b.look <- struct{}{}:
	default:
	}
}

// Find looks a key up in this router's copy of the store, which may be a little behind.
func (b *Book) Find(ctx context.Context, key string) (none ledger.Record, found bool, err error) {
	ctx, done := context.WithTimeout(ctx, callLimit)
	defer done()
	// Both at one revision, so that one which ends meanwhile is not missed.
	look := func(key string) *pb.RequestOp {
		return etcd.Get(&pb.RangeRequest{Key: []byte(key), Serializable: true})
	}
	r, err := b.client.Look(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{look(doneKeys + key), look(openKeys + key)}})
	if err != nil {
		return none, false, err
	}
	return either(r)
}

func get(key string) *pb.RequestOp { return etcd.Get(&pb.RangeRequest{Key: []byte(key)}) }
