package outage

import (
	"context"
	"fmt"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/policy"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/standin"
)

// A router knows what is out before it serves: when it takes up its first policy, and whenever it registers anew. What it
// can't read keeps it out.
func TestEnterReadsWhatIsOut(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	told := map[string]brain.Availability{}
	keeper := roster.New(roster.Options{UpdateSettings: func(brain.Settings) {}, UpdateWorkers: func(_ brain.ListKind, list []core.Worker) {
		for _, w := range list {
			told[w.Name] = w.Availability
		}
	}})
	a, err := Open(Options{Name: "r", Boot: "1", Endpoints: []string{endpoint}, Log: standin.Log(), Fence: func() ([]*pb.Compare, bool) { return nil, false },
		Roster: keeper})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	client := etcdtest.Client(t, endpoint)
	rev := int64(0)
	out := func(seq int64, names ...string) {
		t.Helper()
		s := &outage.State{Format: outage.Format, Seq: seq, Permits: map[string]outage.Permit{}}
		for i, name := range names {
			s.Permits[outage.ID(outage.Server, name)] = outage.Permit{ID: int64(i), For: outage.ByHand, Stage: outage.Acknowledged}
		}
		if rev, err = NewStore(client).ReplaceState(t.Context(), rev, s, nil); err != nil {
			t.Fatal(err)
		}
	}
	keeper.UpdateWorkers(brain.ListComplete, []core.Worker{{Engine: brain.Engine{ID: 1}, Name: "s1"}, {Engine: brain.Engine{ID: 2}, Name: "s2"}})
	if err := a.Enter(t.Context()); err != nil || told["s1"] != brain.Ready {
		t.Errorf("without a budget: %v, %v", err, told)
	}
	out(1, "s1")
	a.Took(outage.Model{Workers: 1}, 1)
	if told["s1"] != brain.Draining || told["s2"] != brain.Ready {
		t.Errorf("with its first budget: %v", told)
	}
	out(2, "s2")
	if err := a.Enter(t.Context()); err != nil || told["s1"] != brain.Ready || told["s2"] != brain.Draining {
		t.Errorf("registered anew: %v, %v", err, told)
	}
	ctx, done := context.WithDeadline(t.Context(), time.Now())
	done()
	if a.Enter(ctx) == nil {
		t.Error("it entered without an answer")
	}
}

// With few deciders in the policy a router reads all reports only if it is one of the first that are registered; without the
// setting each does. One that can't tell goes on as before.
func TestFewDecide(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	client := etcdtest.Client(t, endpoint)
	lease, err := client.Grant(t.Context(), 60)
	if err != nil {
		t.Fatal(err)
	}
	var agents []*Agent
	for i := range 6 {
		name := fmt.Sprint("d", i)
		key := string(policy.Live().Key) + "routers/" + name
		if _, err := client.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(key, []byte(`{"name":"`+name+`","boot":"1"}`), lease)}}); err != nil {
			t.Fatal(err)
		}
		a, err := Open(Options{Name: name, Boot: "1", Endpoints: []string{endpoint}, Log: standin.Log(), Roster: roster.New(roster.Options{UpdateSettings: func(brain.Settings) {}, UpdateWorkers: func(brain.ListKind, []core.Worker) {}})})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		agents = append(agents, a)
	}
	reading := func(few int) (n int) {
		for _, a := range agents {
			a.Took(outage.Model{Workers: 1, Deciders: few}, 1)
			a.part = readers{mine: a.part.mine}
			if a.reads(t.Context(), time.Second) {
				n++
			}
		}
		return n
	}
	if all, few := reading(0), reading(2); all != 6 || few != 2 {
		t.Errorf("%d of 6 read where all do, %d where 2 should", all, few)
	}
	ctx, done := context.WithDeadline(t.Context(), time.Now())
	done()
	for _, a := range agents {
		a.part.asked = false
		if was := a.part.mine; a.reads(ctx, time.Second) != was {
			t.Errorf("%s: without an answer it changed its part", a.o.Name)
		}
	}
}
