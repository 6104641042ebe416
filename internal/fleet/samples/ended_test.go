package samples

import (
	"context"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/standin"
)

// A router dies between writing down the end of a sample and reporting it: a survivor finds the record and reports it. One
// that was reported too counts once, and in the end no record is left. A router that never heard that its own was written
// down reports it all the same.
func TestEndedWithoutReport(t *testing.T) {
	f := start(t, "", "a", "b", "c")
	write := func(router string, key uint64) samples.Sample {
		a := f.agents[router]
		w := workers[int(key)%len(workers)]
		s := samples.Sample{Key: key, Worker: w.Name, Boot: w.Boot, Site: w.Site, Label: w.Label, Version: w.Label, StartEpoch: a.Epoch(), Tokens: 500, TookMs: 5000, Accepted: true}
		if _, err := f.client.Txn(t.Context(), &pb.TxnRequest{Success: []*pb.RequestOp{a.Written(s)}}); err != nil {
			t.Fatal(err)
		}
		return s
	}
	standin.Eventually(t, 10*time.Second, "all report", func() bool { s := f.agents["a"].Board(); return s != nil && len(s.Watermarks) == 3 })
	for range 3 {
		write("c", f.next())
	}
	seen := write("c", f.next())
	f.agents["c"].Take()
	f.agents["c"].Ended(&seen)
	standin.Eventually(t, 10*time.Second, "what it reported is counted", func() bool { return f.agents["a"].Board().Totals.Counted >= 1 })
	f.ends["c"]()
	delete(f.ends, "c")
	write("a", f.next())
	standin.Eventually(t, 20*time.Second, "all are counted, once", func() bool { return f.agents["a"].Board().Totals.Counted == 5 })
	standin.Eventually(t, 20*time.Second, "no record is left", func() bool {
		r, err := f.client.Range(t.Context(), etcd.Under(root+endedPart, false))
		return err == nil && len(r.Kvs) == 0
	})
	if err := samples.Audit(f.history()); err != nil {
		t.Error(err)
	}
}

// What the board says reaches the module, multiplied into what others have made, and a list without a plan is left alone;
// wishes become labels.
func TestModule(t *testing.T) {
	var set brain.Settings
	told := map[string][]float64{}
	var wanted []outage.Reload
	r := roster.New(roster.Options{Zones: []string{"x"}, UpdateSettings: func(s brain.Settings) { set = s }, UpdateWorkers: func(_ brain.ListKind, list []core.Worker) {
		for _, w := range list {
			told[w.Name] = w.ClassWeights
		}
	}})
	r.AdjustSettings(func(set *brain.Settings, _ map[string]int) { roster.ScaleAdmitted(set, 1, 0.5) })
	a, err := Open(Options{Name: "a", Boot: "1", Endpoints: []string{"127.0.0.1:1"}, Roster: r, Log: standin.Log(),
		Reload: func(_ context.Context, list []outage.Reload) error { wanted = list; return nil }})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	places := map[string]int{"query": 0, "rollout": 1}
	r.UpdateWorkers(brain.ListComplete, []core.Worker{{Engine: brain.Engine{ID: 1, ClassWeights: []float64{1, 0.5, 0}}, Name: "w1", Label: "v2-w7"}, {Engine: brain.Engine{ID: 2}, Name: "w2", Label: "none"}})
	r.SetPolicy(brain.Settings{Classes: make([]brain.Class, 3)}, places, 1)
	if len(told["w2"]) != 0 || set.Admitted[1] != 0.5 || a.Arrived("rollout") != 0 {
		t.Fatalf("without a table: %+v %+v", told, set)
	}
	a.state = &samples.State{Open: samples.Epoch{Number: 4}, Rev: 1}
	a.Took(Terms{On: true, Classes: map[string]bool{"rollout": true}})
	next := &samples.State{Open: samples.Epoch{Number: 5}, Rev: 2, Actions: samples.Actions{AdmitFraction: 0.5, Shares: map[string]float64{"w1": 0.5, "w2": 0}, Reloads: []samples.Reload{{Worker: "w1", To: 12}}}}
	a.follow(next)
	if set.Admitted[0] != 1 || set.Admitted[1] != 0.25 || told["w1"][1] != 0.25 || told["w1"][2] != 0 || told["w2"][1] != 0 || told["w2"][0] != 1 {
		t.Errorf("%+v %v", told, set.Admitted)
	}
	if a.wish(t.Context(), next); len(wanted) != 1 || wanted[0] != (outage.Reload{Server: "w1", To: "v2-w12"}) {
		t.Errorf("%+v", wanted)
	}
	if w := a.Of(core.Worker{Name: "w1"}); w.Label != 7 {
		t.Errorf("%+v", w)
	}
	sum := 0.0
	for range 100 {
		sum += a.Arrived("rollout")
	}
	a.Refused("query")
	a.Answered("rollout", false)
	if m := a.met.seen(); sum < 45 || sum > 55 || m.Total < 0.9 || m.Total > 1 || m.Failed != m.Total {
		t.Errorf("ranks sum up to %g, %+v", sum, m)
	}
}
