package outage_test

import (
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
)

// viewWith returns a view in which each router reports its own observation of server s1.
func viewWith(last *outage.State, observations ...outage.Observation) outage.View {
	v := outage.View{Model: outage.Model{Workers: 2, Routers: 1, WarmMs: 1000, PauseMs: 1000}, Last: last, Routers: map[string]outage.Registration{}}
	for i, s := range observations {
		name := string(rune('a' + i))
		s.Probed = true
		v.Routers[name] = outage.Registration{Boot: "1", Live: true}
		v.Reports = append(v.Reports, outage.Report{Router: name, Boot: "1", StateSeq: 100, Observed: map[string]outage.Observation{"s1": s}})
	}
	return v
}

// stepAfterTwoSeconds makes a decision two seconds after the last state was written.
func stepAfterTwoSeconds(v outage.View) *outage.State {
	d := &outage.Decider{Router: "a"}
	made := d.Step(v, outage.Ages{State: func() time.Duration { return 2 * time.Second }, Report: func(string, int64) time.Duration { return 0 }})
	return made.Next
}

// A rollback must not end because one router's list is outdated. The search found the fault by this trace: "read r1,
// write r1, report r1, report r2, report r3, read r1, write r1, take s1, new s1, report r2, report r3, read r1, write
// r1, read-aged r1, write r1, crash s1, new s1, report r2, back, read r1, write r1, read r1, write r1".
func TestStaleListDoesNotEndRollback(t *testing.T) {
	old, new1, new2 := outage.Observation{Boot: "1", Label: "old"}, outage.Observation{Boot: "2", Label: "new"},
		outage.Observation{Boot: "3", Label: "new"}
	release := &outage.Release{Spec: outage.Spec{Name: "up", Kind: outage.Server, To: "new"}, Run: "up-1", Phase: outage.RollingBack, WaveLeft: 1,
		Targets: []outage.Target{{Name: "s1", From: "old", State: outage.Waiting, Order: 1}}}
	last := &outage.State{Format: outage.Format, Seq: 1, Release: release}
	next := stepAfterTwoSeconds(viewWith(last, old, new2, new1))
	if got := next.Release.Targets[0]; got.State != outage.Waiting || got.Why == "" || len(next.Permits) > 0 {
		t.Errorf("%+v, permits %v", got, next.Permits)
	}
	next = stepAfterTwoSeconds(viewWith(next, new2, new2, new1))
	if p := next.Permits["server/s1"]; p.To != "old" || p.Boot != "3" {
		t.Errorf("with a majority: %+v", p)
	}
}

// A returning server may not be stopped, since routers send to it. A request for it then has to wait.
func TestOnlyAcknowledgedPermitAllowsStop(t *testing.T) {
	for stage, mayStop := range map[outage.Stage]bool{outage.Granted: false, outage.Acknowledged: true, outage.Returning: false} {
		s := &outage.State{Permits: map[string]outage.Permit{"server/s1": {ID: 1, For: outage.ByHand, Stage: stage}}}
		if next, permitted := s.Drain("server/s1", "op"); permitted != mayStop || next != nil {
			t.Errorf("%s: permitted %v", stage, permitted)
		}
	}
	s := &outage.State{Permits: map[string]outage.Permit{"server/s1": {ID: 1, For: outage.ByHand, Stage: outage.Acknowledged, Serve: true}}}
	if _, permitted := s.Drain("server/s1", "op"); permitted {
		t.Error("a server returning to service may be stopped")
	}
}

// A rollback also covers a target that the release never reached but that has the new label: it may have returned under
// an earlier permit with the old label and restarted with the new one.
func TestRollbackIncludesTargetWithOtherLabel(t *testing.T) {
	release := &outage.Release{Spec: outage.Spec{Name: "up", Kind: outage.Server, To: "new"}, Run: "up-1",
		Phase: outage.Halted, HaltedFrom: outage.Running,
		Targets: []outage.Target{{Name: "s1", From: "old", State: outage.Waiting}}}
	last, err := (&outage.State{Format: outage.Format, Seq: 1, Release: release}).RollBack("op")
	if err != nil {
		t.Fatal(err)
	}
	fresh, old := outage.Observation{Boot: "2", Label: "new"}, outage.Observation{Boot: "3", Label: "old"}
	next := stepAfterTwoSeconds(viewWith(last, fresh, fresh, fresh))
	if p := next.Permits["server/s1"]; next.Release.Phase != outage.RollingBack || p.To != "old" {
		t.Errorf("%s, %+v", next.Release.Phase, p)
	}
	if next = stepAfterTwoSeconds(viewWith(last, old, old, old)); next.Release.Phase != outage.RolledBack || len(next.Permits) > 0 {
		t.Errorf("with the old label: %s, %+v", next.Release.Phase, next.Permits)
	}
}

// Routers send to a returning server. If it stops answering, its permit is acknowledged again only once all routers
// follow the new state.
func TestSilentReturningServerNeedsNewAcknowledgement(t *testing.T) {
	last := &outage.State{Format: outage.Format, Seq: 100, Known: map[string]outage.KnownRouter{}, Permits: map[string]outage.Permit{
		"server/s1": {ID: 1, For: outage.ByHand, Stage: outage.Returning, Seq: 3, Boot: "1"}}}
	silent := outage.Observation{Boot: "2", SilentMs: 10_000}
	v := viewWith(last, silent, silent, silent)
	next := stepAfterTwoSeconds(v)
	p := next.Permits["server/s1"]
	if p.Stage != outage.Granted || p.Seq != 101 {
		t.Fatalf("%+v", p)
	}
	v.Last = next
	if next = stepAfterTwoSeconds(v); next != nil && next.Permits["server/s1"].Stage != outage.Granted {
		t.Errorf("acknowledged before all routers follow the state: %+v", next.Permits)
	}
	for i := range v.Reports {
		v.Reports[i].StateSeq = 101
	}
	if next = stepAfterTwoSeconds(v); next == nil || next.Permits["server/s1"].Stage != outage.Acknowledged {
		t.Error("not acknowledged although all routers follow the state")
	}
}

// A release records the label that most routers report for a server, not that of an outdated list.
func TestReleaseRecordsMajorityLabel(t *testing.T) {
	older, old := outage.Observation{Boot: "1", Label: "older"}, outage.Observation{Boot: "2", Label: "old"}
	next, err := viewWith(nil, older, old, old).Start(outage.Spec{Name: "up", Kind: outage.Server, To: "new"}, "op")
	if err != nil || next.Release.Targets[0].From != "old" {
		t.Errorf("%v, %+v", err, next)
	}
}
