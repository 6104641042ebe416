package work

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/standin"
)

// desk is a book whose lease a test ends.
type desk struct {
	*Book
	session atomic.Pointer[int]
	resumes sync.Mutex
	resumed []*Entry
}

func open(t testing.TB, endpoint, name string, change func(*Options)) *desk {
	t.Helper()
	d := &desk{}
	d.session.Store(new(int))
	o := Options{Endpoints: []string{endpoint}, Me: ledger.Owner{Name: name, Boot: "1"}, Batch: 64, Pace: 1000,
		Limits: ledger.Limits{Open: 100, Kept: 100, Body: 1000, Answer: 1000, Keep: time.Minute},
		Session: func() any {
			if s := d.session.Load(); s != nil {
				return s
			}
			return nil
		},
		Attempts: func() int { return 3 }, Log: standin.Log(),
		Resume: func(e *Entry) {
			d.resumes.Lock()
			defer d.resumes.Unlock()
			d.resumed = append(d.resumed, e)
		}}
	if change != nil {
		change(&o)
	}
	b, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	d.Book = b
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); b.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done; _ = b.Close() })
	standin.Eventually(t, 5*time.Second, "the book is ready", b.Ready)
	return d
}

func record(key string, effect ledger.Effect) ledger.Record {
	return ledger.Record{Key: key, Digest: "d", Class: "c", Effect: effect, TakenMs: now(), Deadline: now() + 60_000, Request: ledger.Request{Body: []byte("what was asked")}}
}

func taken(t *testing.T, d *desk, rec ledger.Record) *Entry {
	t.Helper()
	e, err := d.New(rec, true)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A request's life in one book: written before it is sent, ended before its client hears, kept, and found by others.
func TestLife(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a, b := open(t, endpoint, "a", nil), open(t, endpoint, "b", nil)
	if a.Digest([]byte("x")) != b.Digest([]byte("x")) || a.Digest([]byte("xy"), nil) == a.Digest([]byte("x"), []byte("y")) {
		t.Error("digests are the fleet's, and of each part")
	}
	e := taken(t, a, record("k", ledger.Unsafe))
	if _, err := a.New(record("k", ledger.Unsafe), true); !errors.As(err, new(*Conflict)) {
		t.Errorf("one key in hand twice: %v", err)
	}
	must(t, e.Sending(t.Context(), "s-1"))
	found, there, err := b.Find(t.Context(), "k")
	if err != nil || !there || found.Step != ledger.Sent || found.Worker != "s-1" || found.Owner.Name != "a" || found.OnDuplicate("d") != ledger.Join || found.OnDuplicate("x") != ledger.KeyReused {
		t.Fatalf("%+v, %v, %v", found, there, err)
	}
	twin := taken(t, b, record("k", ledger.Unsafe))
	if err := twin.Sending(t.Context(), "s-2"); !errors.As(err, new(*Conflict)) {
		t.Errorf("two routers send one request: %v", err)
	}
	twin.Leave()
	must(t, e.End(t.Context(), ledger.Answered, ledger.Answer{Status: 200, Type: "text", Body: []byte("the answer")}))
	if err := e.End(t.Context(), ledger.Unknown, ledger.Answer{}); !errors.Is(err, ledger.ErrNotOwner) {
		t.Errorf("it ended twice: %v", err)
	}
	found, there, err = b.Find(t.Context(), "k")
	answer, bad := Kept(found)
	if err != nil || bad != nil || !there || string(answer.Body) != "the answer" || found.OnDuplicate("d") != ledger.Replay || len(found.Request.Body) > 0 {
		t.Errorf("%+v, %v, %v, %v", found, there, err, bad)
	}
	// One that never ran leaves nothing.
	gone := taken(t, a, record("gone", ledger.Unsafe))
	must(t, gone.Wait(t.Context()))
	must(t, gone.Drop(t.Context()))
	a.mu.Lock()
	inHand := len(a.entries)
	a.mu.Unlock()
	if _, there, _ := a.Find(t.Context(), "gone"); there || inHand != 0 {
		t.Errorf("there %v, %d in hand", there, inHand)
	}
	// An answer that is too large is not kept, and says so; nor is a body.
	big := make([]byte, 5000)
	_, _ = rand.NewChaCha8([32]byte{}).Read(big) // never fails
	rec := record("big", ledger.Unsafe)
	rec.Request.Body = big
	e = taken(t, a, rec)
	must(t, e.Sending(t.Context(), "s-1"))
	must(t, e.End(t.Context(), ledger.Answered, ledger.Answer{Status: 200, Body: big}))
	if found, _, _ := a.Find(t.Context(), "big"); !found.Answer.BodyOmitted || !e.Record().Answer.BodyOmitted {
		t.Errorf("%+v", found)
	}
}

// A lost router's work goes by the table to whom it falls: what waited is run, a filing that was sent is settled, a
// query is repeated; and its owner, when it comes back, can neither send nor end it.
func TestTakeover(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a, b := open(t, endpoint, "a", nil), open(t, endpoint, "b", nil)
	waits, sent, query := taken(t, a, record("waits", ledger.Unsafe)), taken(t, a, record("sent", ledger.Unsafe)), taken(t, a, record("query", ledger.Safe))
	must(t, waits.Wait(t.Context()))
	must(t, sent.Sending(t.Context(), "s-1"))
	must(t, query.Sending(t.Context(), "s-1"))
	both := []ledger.Owner{{Name: "a", Boot: "1"}, {Name: "b", Boot: "1"}}
	b.Seen(both, 1<<40)
	time.Sleep(50 * time.Millisecond)
	b.mu.Lock()
	early := len(b.entries)
	b.mu.Unlock()
	if early > 0 {
		t.Fatal("taken from one who lives")
	}
	b.Seen(both[1:], 1) // a list that is older than the records says nothing
	time.Sleep(50 * time.Millisecond)
	if found, _, _ := b.Find(t.Context(), "sent"); found.Epoch != 1 {
		t.Fatal("taken by an old list")
	}
	a.session.Store(nil) // its lease is over
	b.Seen(both[1:], 1<<40)
	standin.Eventually(t, 5*time.Second, "two are run by b", func() bool {
		b.resumes.Lock()
		defer b.resumes.Unlock()
		return len(b.resumed) == 2
	})
	for _, e := range b.resumed {
		body, err := e.Body()
		if rec := e.Record(); err != nil || string(body) != "what was asked" || rec.Epoch != 2 || rec.Owner.Name != "b" || rec.Attempts != map[string]int{"waits": 0, "query": 1}[rec.Key] {
			t.Errorf("%+v, %q, %v", rec, body, err)
		}
	}
	standin.Eventually(t, 5*time.Second, "the filing is settled", func() bool {
		found, _, _ := b.Find(t.Context(), "sent")
		return found.Step == ledger.Ended && found.Outcome == ledger.Unknown && found.Owner.Name == "b"
	})
	if waits.Clear() == nil || waits.Sending(t.Context(), "s-2") == nil {
		t.Error("a router without a lease may send")
	}
	a.session.Store(new(int)) // it has registered again: another session
	if waits.Clear() == nil {
		t.Error("a lease that came later vouches for what was taken before")
	}
	if err := sent.End(t.Context(), ledger.Answered, ledger.Answer{Status: 200}); !errors.Is(err, ledger.ErrNotOwner) {
		t.Errorf("the old owner ended it: %v", err)
	}
	if err := query.End(t.Context(), ledger.Answered, ledger.Answer{Status: 200}); !errors.Is(err, ledger.ErrNotOwner) {
		t.Errorf("the old owner ended it: %v", err)
	}
}

// What waits is freed at a router's end, and another takes it up at once, though its lease lasts.
func TestFree(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a, b := open(t, endpoint, "a", nil), open(t, endpoint, "b", nil)
	e := taken(t, a, record("waits", ledger.Unsafe))
	must(t, e.Free(t.Context()))
	b.Seen([]ledger.Owner{{Name: "b", Boot: "1"}}, 0)
	standin.Eventually(t, 5*time.Second, "b has it", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.entries["waits"] != nil
	})
	if err := e.Sending(t.Context(), "s"); err == nil {
		t.Error("what was given away was sent")
	}
}

// A store that is away: nothing is sent that can't be written down; and what a lost answer left behind is found again.
func TestAway(t *testing.T) {
	endpoint, stop := etcdtest.Serve(t, nil)
	a := open(t, endpoint, "a", nil)
	e := taken(t, a, record("k", ledger.Unsafe))
	stop()
	ctx, done := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer done()
	if err := e.Sending(ctx, "s"); !errors.Is(err, ErrAway) {
		t.Errorf("%v", err)
	}
	a.session.Store(nil)
	if _, err := a.New(record("other", ledger.Unsafe), true); !errors.Is(err, ErrAway) {
		t.Errorf("taken without a lease: %v", err)
	}
}

// A ledger that is full refuses, and has room again.
func TestFull(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a := open(t, endpoint, "a", func(o *Options) { o.Limits.Open = 2 })
	e := taken(t, a, record("1", ledger.Safe))
	taken(t, a, record("2", ledger.Safe))
	if _, err := a.New(record("3", ledger.Safe), true); !errors.Is(err, ledger.ErrFull) {
		t.Errorf("%v", err)
	}
	must(t, e.Drop(t.Context()))
	taken(t, a, record("3", ledger.Safe))
}

// A key whose time is over is as good as new.
func TestExpiry(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a := open(t, endpoint, "a", nil)
	e := taken(t, a, record("k", ledger.Unsafe))
	must(t, e.Sending(t.Context(), "s"))
	must(t, e.Streaming(t.Context()))
	if found, _, _ := a.Find(t.Context(), "k"); found.Step != ledger.Streaming {
		t.Errorf("%+v", found)
	}
	must(t, e.End(t.Context(), ledger.Answered, ledger.Answer{Status: 200}))
	must(t, a.client.Revoke(t.Context(), a.bucket.id)) // as when its time is over
	if _, there, err := a.Find(t.Context(), "k"); there || err != nil {
		t.Fatalf("%v, %v", there, err)
	}
	a.mu.Lock()
	a.bucket = bucket{}
	a.mu.Unlock()
	a.poke()
	standin.Eventually(t, 5*time.Second, "another lease is there", a.Ready)
	again := taken(t, a, record("k", ledger.Unsafe))
	must(t, again.Sending(t.Context(), "s"))
	must(t, again.End(t.Context(), ledger.Answered, ledger.Answer{Status: 201}))
	if found, _, _ := a.Find(t.Context(), "k"); found.Answer.Status != 201 {
		t.Errorf("%+v", found)
	}
}

// Many at once share entries of the log, each by its own compare: one that fails takes no other with it.
func TestGroupCommit(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	a, b := open(t, endpoint, "a", nil), open(t, endpoint, "b", nil)
	for i := range 20 {
		must(t, taken(t, b, record(fmt.Sprint("k", i*5), ledger.Unsafe)).Sending(t.Context(), "s"))
	}
	var conflicts atomic.Int64
	var all sync.WaitGroup
	for i := range 100 {
		e := taken(t, a, record(fmt.Sprint("k", i), ledger.Unsafe))
		all.Add(1)
		go func() {
			defer all.Done()
			err := e.Sending(t.Context(), "s")
			switch {
			case errors.As(err, new(*Conflict)):
				conflicts.Add(1)
			case err != nil:
				t.Error(err)
			}
		}()
	}
	all.Wait()
	if c := a.Commits(); conflicts.Load() != 20 || c.Changes < 100 || c.Entries > 60 {
		t.Errorf("%d conflicts, %d changes in %d entries", conflicts.Load(), c.Changes, c.Entries)
	}
}

// BenchmarkFiling writes filings of a kilobyte down, about to be sent and answered, 64 at once: bytes of the log a filing.
func BenchmarkFiling(b *testing.B) {
	endpoint, _ := etcdtest.Serve(b, nil)
	for _, batch := range []int{1, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			d := open(b, endpoint, fmt.Sprint("a", b.N, batch), func(o *Options) {
				o.Batch, o.Limits.Open, o.Limits.Kept, o.Limits.Body = batch, 1000, 1_000_000, 64<<10
			})
			var n atomic.Int64
			b.SetParallelism(64)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					rec := record(d.ClientKey("", fmt.Sprint(batch, b.N, n.Add(1))), ledger.Unsafe)
					rec.Digest, rec.Request.Body = d.Digest([]byte("b")), make([]byte, 1024)
					_, _ = crand.Read(rec.Request.Body) // never fails
					e, err := d.New(rec, true)
					if err == nil {
						err = errors.Join(e.Sending(b.Context(), "127.0.0.1:9001"),
							e.End(b.Context(), ledger.Answered, ledger.Answer{Status: 200, Type: "application/json", Body: []byte(`{"ok":true}`)}))
					}
					if err != nil {
						b.Error(err)
					}
				}
			})
			c := d.Commits()
			b.ReportMetric(float64(c.Bytes)/float64(b.N), "log-B/op")
			b.ReportMetric(float64(c.Entries)/float64(b.N), "entries/op")
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(record("k", ledger.Unsafe))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := Decode(data, 1); err == nil {
			_, _ = Kept(r) // must not panic
		}
	})
}
