package outage

import (
	"testing"
	"time"
)

// Reloads are requested once, in their order, and get permits within the budget after operators and releases. A request
// is dropped when the reload is no longer wanted or the server has the label already.
func TestReloads(t *testing.T) {
	s := (&State{}).RequestReloads([]Reload{{"s2", "w5"}, {"s1", "w5"}}, "d1")
	if s == nil || len(s.PermitRequests) != 2 || s.RequestReloads([]Reload{{"s2", "w5"}, {"s1", "w5"}}, "d2") != nil {
		t.Fatalf("%+v", s)
	}
	requested, _ := s.Drain(ID(Server, "s3"), "operator")
	updated := requested.RequestReloads([]Reload{{"s1", "w6"}, {"s3", "w6"}}, "d1")
	if w := updated.PermitRequests[ID(Server, "s1")]; len(updated.PermitRequests) != 2 || w.To != "w6" || w.Rank != 0 ||
		updated.PermitRequests[ID(Server, "s3")].For != "" {
		t.Fatalf("%+v", updated.PermitRequests)
	}
	v := View{Model: Model{Workers: 2, WorkersSite: 2}, Last: updated, Routers: map[string]Registration{"d1": {Boot: "1", Live: true}},
		Reports: []Report{{Router: "d1", Boot: "1", Observed: map[string]Observation{"s1": {Label: "w1"}, "s2": {Label: "w1"}, "s3": {Label: "w1"}}}}}
	d := Decider{Router: "d1"}
	next := d.Next(v, time.Second)
	manual, reload := next.Permits[ID(Server, "s3")], next.Permits[ID(Server, "s1")]
	if len(next.Permits) != 2 || manual.ID != 1 || manual.For != ByHand || reload.For != ForReload || reload.To != "w6" || len(next.PermitRequests) != 0 {
		t.Fatalf("%+v", next.Permits)
	}
	again := next.RequestReloads([]Reload{{"s1", "w7"}, {"s2", "w6"}}, "d1")
	if w := again.PermitRequests[ID(Server, "s2")]; len(again.PermitRequests) != 1 || w.To != "w6" {
		t.Fatalf("a server that is out was requested again: %+v", again.PermitRequests)
	}
	again.Rev, v.Last = 2, again
	v.Reports[0].Observed["s2"] = Observation{Label: "w6"}
	next = d.Next(v, 2*time.Second)
	if len(next.Permits) != 2 || len(next.PermitRequests) != 0 {
		t.Fatalf("s2 has the label already: %+v %+v", next.Permits, next.PermitRequests)
	}
	if gone := again.RequestReloads(nil, "d1"); len(gone.PermitRequests) != 0 {
		t.Errorf("%+v", gone.PermitRequests)
	}
}
