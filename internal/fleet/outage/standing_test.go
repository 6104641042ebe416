package outage

import (
	"errors"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/loop"
	"sumacloft/internal/fleet/policy"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/standin"
)

// A router whose policy is changed between its reading and its writing writes nothing; at its next look it does.
func TestPolicyChangedBeforeTheWrite(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	client := etcdtest.Client(t, endpoint)
	ctx := t.Context()
	put := func(key, text string, lease int64) {
		if _, err := client.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(key, []byte(text), lease)}}); err != nil {
			t.Error(err)
		}
	}
	lease, err := client.Grant(ctx, 600)
	if err != nil {
		t.Fatal(err)
	}
	put(policy.Routers+"r", `{"name":"r","boot":"1"}`, lease)
	put(string(policy.Standing(0).Key), `{"version":1}`, 0)
	change := true
	keeper := roster.New(roster.Options{UpdateSettings: func(brain.Settings) {}, UpdateWorkers: func(brain.ListKind, []core.Worker) {}})
	a, err := Open(Options{Name: "r", Boot: "1", Endpoints: []string{endpoint}, Log: standin.Log(), Roster: keeper, Fence: func() ([]*pb.Compare, bool) {
		if change { // after the reading, before the write
			put(string(policy.Standing(0).Key), `{"version":1,"note":"another text"}`, 0)
		}
		return nil, true
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	a.Took(outage.Model{Workers: 1}, 1)
	d := &outage.Decider{Router: "r"}
	a.report(ctx, 0, time.Minute)
	a.decide(ctx, d, time.Minute)
	if v, _, err := a.store.View(ctx); err != nil || v.Last != nil {
		t.Fatalf("written by a policy that had changed: %+v, %v", v.Last, err)
	}
	change = false
	a.decide(ctx, d, time.Minute)
	if v, _, err := a.store.View(ctx); err != nil || v.Last == nil || len(v.Last.Known) != 1 {
		t.Fatalf("%+v, %v", v.Last, err)
	}
}

// What was decided by a budget that has changed meanwhile is not written.
func TestChangedBudgetFences(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	client := etcdtest.Client(t, endpoint)
	store, ctx := NewStore(client), t.Context()
	apply := func(text string) {
		t.Helper()
		if _, err := client.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(string(policy.Standing(0).Key), []byte(text), 0)}}); err != nil {
			t.Fatal(err)
		}
	}
	rev := int64(0)
	for i, text := range []string{"", `{"version":1}`, `{"version":2}`} {
		if text != "" {
			apply(text)
		}
		v, _, err := store.View(ctx)
		if err != nil || v.Version != int64(i) {
			t.Fatalf("version %d: %v", v.Version, err)
		}
		next := &outage.State{Format: outage.Format, Seq: int64(i + 1)}
		if rev, err = store.ReplaceState(ctx, rev, next, []*pb.Compare{policy.Standing(v.VersionRev)}); err != nil {
			t.Fatalf("by the current version: %v", err)
		}
		apply(`{"version":9}`)
		var fenced *loop.FencedError
		if _, err := store.ReplaceState(ctx, rev, next, []*pb.Compare{policy.Standing(v.VersionRev)}); !errors.As(err, &fenced) {
			t.Errorf("by version %d, which was replaced: %v", i, err)
		}
	}
}
