package samples

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/standin"
)

func keeper() *roster.Roster {
	return roster.New(roster.Options{Zones: []string{"a", "b"}, UpdateWorkers: func(brain.ListKind, []core.Worker) {}, UpdateSettings: func(brain.Settings) {}})
}

// listed has an agent's list name the workers.
func listed(a *Agent) {
	var list []core.Worker
	for i, w := range workers {
		list = append(list, core.Worker{Engine: brain.Engine{ID: brain.EngineID(i + 1), Zone: i / 2, StartedAt: time.Millisecond}, Name: w.Name, Label: fmt.Sprint(w.Label), Role: w.Kind})
	}
	a.o.Roster.UpdateWorkers(brain.ListComplete, list)
}

// fleet is a store, routers and what a tuner and workers need.
type fleet struct {
	t        *testing.T
	endpoint string
	client   *etcd.Client
	ends     map[string]func() // of routers, which are killed by them
	agents   map[string]*Agent
	key      uint64
	ran      []uint64
}

var workers = []samples.Worker{{Name: "w0", Boot: "1", Site: "a", Kind: "k", Label: 3}, {Name: "w1", Boot: "1", Site: "a", Kind: "k", Label: 3}, {Name: "w2", Boot: "1", Site: "b", Kind: "k", Label: 3}}

func start(t *testing.T, broken samples.Fault, names ...string) *fleet {
	endpoint, _ := etcdtest.Serve(t, nil)
	client := etcdtest.Client(t, endpoint)
	f := &fleet{t: t, endpoint: endpoint, client: client, ends: map[string]func(){}, agents: map[string]*Agent{}}
	for _, name := range names {
		a, err := Open(Options{Name: name, Boot: "1", Endpoints: []string{endpoint}, Roster: keeper(), Log: standin.Log(), Broken: broken})
		if err != nil {
			t.Fatal(err)
		}
		a.Took(Terms{Model: samples.Model{Batch: 12, EpochMs: 60_000, Ahead: 4, ReportMs: 50}, On: true, Version: 1})
		listed(a)
		f.run(name, a)
	}
	return f
}

func (f *fleet) run(name string, a *Agent) {
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()
	stop := func() { end(); <-ended }
	f.agents[name], f.ends[name] = a, stop
	f.t.Cleanup(func() { stop(); _ = a.Close() })
}

// put is what the tuner does, by etcd's API.
func (f *fleet) put(value string) {
	if _, err := f.client.Txn(f.t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(VersionKey, []byte(value), 0)}}); err != nil {
		f.t.Error(err)
	}
}

// sample ends one at a router, under a key.
func (f *fleet) sample(router string, key uint64) {
	w, a := workers[int(key)%len(workers)], f.agents[router]
	epoch := a.Epoch()
	a.Take()
	a.Ended(&samples.Sample{Key: key, Worker: w.Name, Boot: w.Boot, Site: w.Site, Label: w.Label, Version: w.Label, StartEpoch: epoch, AgeMs: 10, Tokens: 500, TookMs: 5000, Accepted: true})
}

func (f *fleet) next() uint64 {
	f.key++
	f.ran = append(f.ran, f.key)
	return f.key
}

// history is all that the store ever had of the board.
func (f *fleet) history() (out []*samples.State) {
	f.t.Helper()
	now, err := f.client.Range(f.t.Context(), &pb.RangeRequest{Key: []byte(BoardKey)})
	if err != nil {
		f.t.Error(err)
		return nil
	}
	for rev, last := int64(1), int64(0); rev <= now.Header.Revision; rev++ {
		r, err := f.client.Range(f.t.Context(), &pb.RangeRequest{Key: []byte(BoardKey), Revision: rev})
		if err != nil {
			f.t.Error(err)
			return nil
		}
		if len(r.Kvs) == 0 || r.Kvs[0].ModRevision == last {
			continue
		}
		last = r.Kvs[0].ModRevision
		s, err := samples.ReadState(r.Kvs[0].Value)
		if err != nil {
			f.t.Error(err)
			return nil
		}
		out = append(out, s)
	}
	return out
}

func (f *fleet) totals(want samples.Totals) func() bool {
	return func() bool {
		for name, a := range f.agents {
			if _, runs := f.ends[name]; runs {
				s := a.Board()
				return s != nil && s.Totals == want
			}
		}
		return false
	}
}

// Three routers report, one of them what another reported that it took over from; one dies with samples that are reported and
// not counted, and comes back under another boot. Each sample is counted once, epochs stand at their own keys for the tuner, and
// its word comes back as what it took.
func TestBoardOverTheStore(t *testing.T) {
	f := start(t, "", "a", "b", "c")
	f.put("3")
	for range 20 {
		f.sample("a", f.next())
		f.sample("b", f.next())
	}
	f.sample("c", 1) // taken over: the same keys, at another router
	f.sample("c", 2)
	standin.Eventually(t, 10*time.Second, "all is counted once", f.totals(samples.Totals{Reported: 42, Counted: 40, Repeated: 2}))
	f.put(`{"version": 4, "epoch": 2}`)
	standin.Eventually(t, 5*time.Second, "the tuner took two", func() bool {
		s := f.agents["a"].Board()
		return s.Taken == 2 && s.Version == 4
	})
	r, err := f.client.Range(t.Context(), etcd.Under(Epochs, false))
	if err != nil || len(r.Kvs) != 3 || string(r.Kvs[2].Key) != EpochKey(3) {
		t.Fatalf("%v, epochs %v", err, r)
	}

	// One writes its last report and dies; what it left is counted, and then its report goes.
	dying := f.agents["c"]
	for range 5 {
		f.sample("c", f.next())
	}
	f.ends["c"]()
	delete(f.ends, "c")
	dying.report(t.Context(), time.Second)
	again, err := Open(Options{Name: "c", Boot: "2", Endpoints: []string{f.endpoint}, Roster: keeper(), Log: standin.Log()})
	if err != nil {
		t.Fatal(err)
	}
	again.Took(Terms{Model: samples.Model{Batch: 12, EpochMs: 60_000, Ahead: 4, ReportMs: 50}, On: true, Version: 1})
	listed(again)
	f.run("c", again)
	f.sample("c", f.next())
	standin.Eventually(t, 10*time.Second, "what it left is counted", f.totals(samples.Totals{Reported: 48, Counted: 46, Repeated: 2}))
	standin.Eventually(t, 10*time.Second, "and its report goes", func() bool {
		r, err := f.client.Range(t.Context(), etcd.Under(root+"reports/c/", false))
		return err == nil && len(r.Kvs) == 1
	})
	if err := samples.Audit(f.history()); err != nil {
		t.Error(err)
	}
}

// A router whose registration has ended writes no board, though it reports; one that has it does, with what both reported.
func TestFence(t *testing.T) {
	f := start(t, "", "b")
	f.ends["b"]()
	var registered atomic.Bool
	a, err := Open(Options{Name: "a", Boot: "1", Endpoints: []string{f.endpoint}, Roster: keeper(), Log: standin.Log(),
		Fence: func() ([]*pb.Compare, bool) { return []*pb.Compare{etcd.At("/registered/a", 0)}, registered.Load() }})
	if err != nil {
		t.Fatal(err)
	}
	written := func() int64 {
		r, err := f.client.Range(t.Context(), &pb.RangeRequest{Key: []byte(BoardKey)})
		if err != nil || len(r.Kvs) == 0 {
			return 0
		}
		return r.Kvs[0].ModRevision
	}
	before := written()
	a.Took(Terms{Model: samples.Model{Batch: 12, ReportMs: 50}, On: true, Version: 2})
	listed(a)
	f.run("a", a)
	f.sample("a", f.next())
	time.Sleep(500 * time.Millisecond)
	if now := written(); now != before {
		t.Fatalf("it is not registered, and wrote revision %d", now)
	}
	if _, err := f.client.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put("/registered/a", []byte("of another boot"), 0)}}); err != nil {
		t.Fatal(err)
	}
	registered.Store(true) // as it believes
	time.Sleep(500 * time.Millisecond)
	if now := written(); now != before {
		t.Fatalf("its registration is another's, and it wrote revision %d", now)
	}
	if _, err := f.client.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Del("/registered/a")}}); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, 5*time.Second, "it writes", func() bool { return written() != before })
}

// Routers broken on purpose are found from the store's history.
func TestAuditOverTheStore(t *testing.T) {
	for _, fault := range []samples.Fault{samples.NoCompare, samples.CountsTwice} {
		t.Run(string(fault), func(t *testing.T) {
			f := start(t, fault, "a", "b", "c")
			f.put("3")
			var e *samples.AuditError
			standin.Eventually(t, 20*time.Second, "it is found", func() bool {
				key := f.next()
				for _, name := range []string{"a", "b", "c"} {
					f.sample(name, key)
					f.sample(name, f.next())
				}
				if s := f.agents["a"].Board(); s != nil && s.Open.Number > 1 {
					f.put(fmt.Sprintf(`{"version": 3, "epoch": %d}`, s.Open.Number-1))
				}
				return errors.As(samples.Audit(f.history()), &e)
			})
			t.Log(e)
		})
	}
}

func TestWorkers(t *testing.T) {
	var list []core.Worker
	for i, label := range []string{"7", "weights-12", "v3.", ""} {
		list = append(list, core.Worker{Name: fmt.Sprint("w", i), Label: label, Role: "chat", Engine: brain.Engine{Zone: i % 2, StartedAt: 5 * time.Second}})
	}
	got := Workers(list, func(place int) string { return []string{"east", ""}[place] })
	want := []samples.Worker{{Name: "w0", Boot: "5000", Site: "east", Kind: "chat", Label: 7}, {Name: "w1", Boot: "5000", Kind: "chat", Label: 12}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%+v", got)
	}
}
