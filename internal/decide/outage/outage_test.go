package outage_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/standin"
)

func startRelease(f *fleet, s outage.Spec) func(v outage.View) (*outage.State, error) {
	return func(v outage.View) (*outage.State, error) { return v.Start(s, "op") }
}

// Six members are requested by hand at once. No more than the budget are out, each other request has a reason to wait,
// and returning a server to service lets the next one go.
func TestPermitRequestsWaitForBudget(t *testing.T) {
	f := newFleet(1, testModel, "")
	f.waitUntil(t, "routers known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
	for _, name := range []string{"s1", "s2", "s4", "s5", "s7", "s8"} {
		_ = f.applyOrder(func(v outage.View) (*outage.State, error) {
			next, _ := v.Last.Drain(outage.ID(outage.Server, name), "op")
			return next, nil
		})
	}
	clear := func(name string) bool { return f.state.Permits["server/"+name].Stage == outage.Acknowledged }
	f.waitUntil(t, "two servers are out", 10*time.Second, func() bool { return clear("s1") && clear("s4") })
	if len(f.state.Permits) != 2 || f.state.PermitRequests["server/s2"].WaitReason == "" || f.state.PermitRequests["server/s7"].WaitReason == "" {
		t.Fatalf("%+v %+v", f.state.Permits, f.state.PermitRequests)
	}
	_ = f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.Serve("server/s1", "op"), nil })
	f.waitUntil(t, "the next server of the same site is out", 10*time.Second, func() bool { return clear("s2") && len(f.state.Permits) == 2 })
	// A loss uses up the budget: no permit is granted when one ends.
	f.kill("s9")
	f.waitUntil(t, "the loss is recorded", 10*time.Second, func() bool { return f.state.Lost["server/s9"].Why == "silent" })
	_ = f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.Serve("server/s4", "op"), nil })
	for range 40 {
		f.step()
	}
	if len(f.state.Permits) != 1 {
		t.Fatalf("%+v", f.state.Permits)
	}
	f.start("s9", "v1")
	f.waitUntil(t, "the budget is free again", 10*time.Second, func() bool { return len(f.state.Permits) == 2 })
	f.checkNoFaults(t)
}

// A permit ends only by evidence: not while its server is down, even after the deployer stopped working. A server that
// returns with the wrong label halts the release.
func TestPermitEndsOnlyWhenServerReturns(t *testing.T) {
	f := newFleet(2, testModel, "")
	f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
	if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(t, "the canary's permit is acknowledged", 10*time.Second, func() bool { return f.state.Permits["server/s1"].Stage == outage.Acknowledged })
	f.deployer = false
	f.kill("s1")
	for range 200 {
		f.step()
	}
	if f.state.Permits["server/s1"].Stage != outage.Acknowledged || f.phase() != outage.Halted {
		t.Fatalf("%+v %v", f.state.Permits, f.phase())
	}
	f.start("s1", "v1") // with the old label
	f.waitUntil(t, "the permit has ended", 20*time.Second, func() bool { return len(f.state.Permits) == 0 })
	if got := f.release().Targets[0]; got.State != outage.Blocked {
		t.Fatalf("%+v", got)
	}
	f.deployer = true
	if err := f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Resume("op") }); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(t, "done", 5*time.Minute, func() bool { return f.phase() == outage.Done })
	if f.labels()["v2"] != 9 || f.maxDown > 2 {
		t.Fatalf("%v, %d servers down at once", f.labels(), f.maxDown)
	}
	f.checkNoFaults(t)
}

// A version that fails one request in twenty is halted and rolled back, and a repeated rollback request changes nothing.
// A second release is refused meanwhile. A release that is no worse than the old version completes.
func TestHaltAndRollback(t *testing.T) {
	halted := 0
	for seed := range uint64(10) {
		f := newFleet(seed, testModel, "")
		f.badLabel, f.failureRate = "v2", 0.05
		f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
		if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
			t.Fatal(err)
		}
		var refused *outage.RefusedError
		if err := f.applyOrder(startRelease(f, spec("v3"))); !errors.As(err, &refused) {
			t.Fatalf("a second release: %v", err)
		}
		f.waitUntil(t, "halted or done", 10*time.Minute, func() bool { return f.phase() == outage.Halted || f.phase() == outage.Done })
		if f.phase() == outage.Halted {
			halted++
		}
		for range 2 {
			if err := f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }); err != nil {
				t.Fatal(err)
			}
			f.step()
		}
		f.waitUntil(t, "rolled back", 10*time.Minute, func() bool { return f.phase() == outage.RolledBack })
		if f.labels()["v1"] != 9 || f.maxDown > 2 {
			t.Fatalf("%v, %d servers down at once", f.labels(), f.maxDown)
		}
		f.checkNoFaults(t)
	}
	if halted < 10 {
		t.Errorf("%d of 10 bad releases were halted", halted)
	}
	for seed := range uint64(20) { // no worse: no false halt
		f := newFleet(100+seed, testModel, "")
		f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
		if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
			t.Fatal(err)
		}
		f.waitUntil(t, "done", 10*time.Minute, func() bool { return f.phase() == outage.Done })
		f.checkNoFaults(t)
	}
}

// A server declared gone is recorded as such. Neither a resumed release nor a rollback waits for it.
func TestServerDeclaredGoneIsNotRetried(t *testing.T) {
	f := newFleet(7, testModel, "")
	f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
	f.deployer = false
	if err := f.applyOrder(startRelease(f, spec("v2"))); err != nil {
		t.Fatal(err)
	}
	removed := ""
	f.waitUntil(t, "clear", time.Minute, func() bool {
		for member, p := range f.state.Permits {
			if p.Stage == outage.Acknowledged {
				_, removed = outage.Split(member)
			}
		}
		return removed != ""
	})
	delete(f.servers, removed)
	for _, change := range []func(v outage.View) (*outage.State, error){
		func(v outage.View) (*outage.State, error) {
			return v.Last.DeclareGone(outage.ID(outage.Server, removed), "op"), nil
		},
		func(v outage.View) (*outage.State, error) { return v.Last.Halt("op", "") },
		func(v outage.View) (*outage.State, error) { return v.Resume("op") },
	} {
		if err := f.applyOrder(change); err != nil {
			t.Fatal(err)
		}
	}
	f.deployer = true
	f.waitUntil(t, "done without it", 10*time.Minute, func() bool { return f.phase() == outage.Done })
	if err := f.applyOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") }); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(t, "rolled back without it", 10*time.Minute, func() bool { return f.phase() == outage.RolledBack })
	if f.labels()["v1"] != 8 || f.maxDown > 2 {
		t.Fatalf("%v, %d servers down at once", f.labels(), f.maxDown)
	}
	f.checkNoFaults(t)
}

// Routers are released one at a time, and each waits until the store members have caught up.
func TestRouterRelease(t *testing.T) {
	f := newFleet(5, testModel, "")
	f.waitUntil(t, "known", time.Minute, func() bool { return f.state != nil && len(f.state.Known) == 6 })
	if err := f.applyOrder(startRelease(f, outage.Spec{Name: "prog", Kind: outage.Router, To: "v2"})); err != nil {
		t.Fatal(err)
	}
	most := 0
	f.waitUntil(t, "done", 10*time.Minute, func() bool {
		down := 0
		for _, r := range f.routers {
			if !r.up {
				down++
			}
		}
		most = max(most, down)
		return f.phase() == outage.Done
	})
	for name, r := range f.routers {
		if r.label != "v2" {
			t.Errorf("router %s has label %s", name, r.label)
		}
	}
	if most != 1 {
		t.Errorf("%d routers were down at once", most)
	}
	f.checkNoFaults(t)
}

// randomOperations applies random events to a fleet. It returns the faults found by the auditor and by the labels at the
// end.
func randomOperations(rt *rapid.T, broken outage.Fault) (faults []string) {
	f := newFleet(rapid.Uint64().Draw(rt, "seed"), testModel, broken)
	f.badLabel, f.failureRate = "v2", 0.3
	f.enableCopyWait(f.rng.IntN(4) / 3 * 3000) // in one run of four
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}
	routers := []string{"d1", "d2", "d3", "d4", "d5", "d6"}
	pick := func(list []string) string { return rapid.SampledFrom(list).Draw(rt, "which") }
	tryOrder := func(change func(v outage.View) (*outage.State, error)) {
		if f.state != nil {
			_ = f.applyOrder(change) // a refused order changes nothing
		}
	}
	for range rapid.IntRange(10, 40).Draw(rt, "events") {
		switch rapid.IntRange(0, 11).Draw(rt, "event") {
		case 0:
			if name := pick(servers); f.servers[name].up {
				f.kill(name)
			}
		case 1:
			if name := pick(servers); !f.servers[name].up {
				f.start(name, f.servers[name].label)
			}
		case 2:
			f.routers[pick(routers)].up = false
		case 3, 4:
			if name := pick(routers); !f.routers[name].up {
				f.startRouter(name, f.routers[name].label)
			}
		case 5:
			member := outage.ID(outage.Server, pick(servers))
			tryOrder(func(v outage.View) (*outage.State, error) { next, _ := v.Last.Drain(member, "op"); return next, nil })
		case 6:
			member := outage.ID(outage.Server, pick(servers))
			tryOrder(func(v outage.View) (*outage.State, error) { return v.Last.Serve(member, "op"), nil })
		case 7:
			tryOrder(startRelease(f, spec(pick([]string{"v1", "v2"}))))
		case 8:
			tryOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") })
		case 9:
			tryOrder(func(v outage.View) (*outage.State, error) { return v.Resume("op") })
		case 10:
			f.deployer = !f.deployer
		case 11:
			tryOrder(func(v outage.View) (*outage.State, error) { return v.Last.Halt("op", "") })
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			f.step()
		}
	}
	f.deployer = true // recovery: a rollback must finish
	for _, name := range servers {
		if !f.servers[name].up {
			f.start(name, f.servers[name].label)
		}
	}
	for _, name := range routers {
		if !f.routers[name].up {
			f.startRouter(name, f.routers[name].label)
		}
	}
	for _, name := range servers { // return servers drained by hand to service
		tryOrder(func(v outage.View) (*outage.State, error) { return v.Last.Serve("server/"+name, "op"), nil })
	}
	for range 20 {
		f.step()
	}
	tryOrder(func(v outage.View) (*outage.State, error) { return v.Last.RollBack("op") })
	tryOrder(func(v outage.View) (*outage.State, error) { return v.Resume("op") })
	for i := 0; f.release() != nil && f.phase() != outage.RolledBack; i++ {
		if f.step(); i > 1000 {
			data, _ := json.Marshal(f.state)
			return append(f.audit.Faults, "the rollback does not finish: "+string(data))
		}
	}
	if r := f.release(); r != nil {
		for _, target := range r.Targets {
			if target.State == outage.Reached && f.servers[target.Name].label != target.From {
				f.audit.Faults = append(f.audit.Faults, target.Name+" was left out of the rollback: label "+f.servers[target.Name].label)
			}
		}
	}
	return f.audit.Faults
}

// No sequence of random events breaks a rule.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		if faults := randomOperations(rt, ""); len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}

// The auditor detects each broken decider.
func TestAuditorDetectsBrokenDeciders(t *testing.T) {
	standin.Steady(t)
	for _, broken := range []outage.Fault{outage.WaitsForever, outage.ExpiresPermits, outage.CountsReleasesOnly,
		outage.IgnoresHalt, outage.SkipsRollback, outage.ExceedsBudget} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if found == 0 && len(randomOperations(rt, broken)) > 0 {
				found++
			}
		})
		if found == 0 {
			t.Errorf("%s was not detected", broken)
		}
	}
}

// The sequential test of two versions keeps its false-halt level and detects a worse version.
func TestSequentialTest(t *testing.T) {
	h := outage.Model{}.WithDefaults().Halt
	if h.Least == 0 || h.Level == 0 {
		t.Fatal("the defaults are not set")
	}
	f := newFleet(7, testModel, "")
	runs := map[float64]int{}
	for _, rate := range []float64{0.02, 0.05, 0.2} {
		for range 200 {
			var c outage.Counts
			for look := 0; c.New.N < 5000; {
				var old, next outage.Tally
				old.N, next.N = 80, 10
				for range 80 {
					if f.rng.Float64() < 0.02 {
						old.Failed++
					}
				}
				for range 10 {
					if f.rng.Float64() < rate {
						next.Failed++
					}
				}
				c.Old.Add(old)
				c.New.Add(next)
				if bad, looked := h.Look(c, look); looked {
					look++
					if bad != "" {
						runs[rate]++
						break
					}
				}
			}
		}
	}
	t.Logf("halted of 200: no worse %d, 5%% for 2%% %d, 20%% for 2%% %d", runs[0.02], runs[0.05], runs[0.2])
	if runs[0.02] > 4 || runs[0.05] < 120 || runs[0.2] < 200 {
		t.Errorf("%v", runs)
	}
}

// Measures a decision over the reports of 100 routers on 500 servers.
func BenchmarkNext(b *testing.B) {
	v := outage.View{Model: outage.Model{Workers: 0.1, Routers: 0.1}, Routers: map[string]outage.Registration{}}
	for i := range 100 {
		name := "r" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		v.Routers[name] = outage.Registration{Boot: "1", Label: "v1", Live: true}
		r := outage.Report{Router: name, Boot: "1", Observed: map[string]outage.Observation{}, Rev: int64(i + 1)}
		for j := range 500 {
			r.Observed[outage.ID("s", string(rune('0'+j/100))+string(rune('0'+j/10%10))+string(rune('0'+j%10)))] = outage.Observation{Site: string(rune('a' + j%10)), Boot: "1", Probed: true}
		}
		v.Reports = append(v.Reports, r)
	}
	d := &outage.Decider{Router: "r00"}
	for b.Loop() {
		d.Next(v, time.Second)
	}
}

func FuzzState(f *testing.F) {
	f.Add([]byte(`{"seq":1,"permits":{"server/s1":{"id":1,"stage":"clear"}},"release":{"name":"x","phase":"back","targets":[{"name":"s1"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := decodeState(data)
		if s == nil {
			return
		}
		v := outage.View{Model: testModel, Last: s, Routers: map[string]outage.Registration{"d1": {Boot: "1", Live: true}},
			Reports: []outage.Report{{Router: "d1", Boot: "1", Observed: map[string]outage.Observation{"s1": {Boot: "2", Probed: true}}}}}
		d := &outage.Decider{Router: "d1"}
		for i := range 20 {
			if next := d.Next(v, time.Duration(i)*time.Second); next != nil {
				if !slices.IsSortedFunc(next.EndedPermits, func(a, b outage.EndedPermit) int { return int(a.Seq - b.Seq) }) && slices.IsSortedFunc(s.EndedPermits, func(a, b outage.EndedPermit) int { return int(a.Seq - b.Seq) }) && len(s.EndedPermits) == 0 {
					t.Fatal("ended permits are out of order")
				}
				v.Last = next
			}
		}
	})
}
