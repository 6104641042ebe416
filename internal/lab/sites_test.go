package lab

import (
	"context"
	"testing"
	"time"

	"sumacloft/internal/decide/sites"
)

// A site's servers pause, it is cut off from some, from all, and goes with its routers and two of five members of the
// store, each time under load: the fleet tells these apart, sends nothing to a site that is lost 1 s after it said so,
// brings each back a part at a time, and no filing runs twice. Its fleet is the largest, and runs beside no other.
func TestSiteHardCases(t *testing.T) {
	dir := logsIn(t)
	f, err := OpenSites(Options{Dir: dir, Bin: build(t, ""), Seed: 3}, SitePlan(SiteRate))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
		inLogs(t, len(f.Daemons), dir)
	}()
	if err := f.Up(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	type result struct {
		list []Asked
		err  error
	}
	loaded := make(chan result, 1)
	go func() {
		list, err := f.Load(ctx, 3, []Phase{{For: 5 * time.Minute, Rate: 40}})
		loaded <- result{list, err}
	}()
	see := func(what string, is func(v sites.Verdict) bool) {
		t.Helper()
		var v sites.Verdict
		if !until(t.Context(), 40*time.Second, func() bool {
			p := f.Posture(t.Context()).Last
			if p == nil {
				return false
			}
			v = p.Sites["a"]
			return is(v)
		}) {
			t.Fatalf("not seen: %s; site a is %+v", what, v)
		}
		t.Logf("%s: %+v", what, v)
	}
	up := func(what string) {
		see(what, func(v sites.Verdict) bool { return v.State == sites.Up && v.Kind == sites.None })
	}
	returning := func(what string) {
		see(what, func(v sites.Verdict) bool { return v.State == sites.Returning && v.Ramp < 1 })
	}
	up("all up")

	f.Pause("a", true)
	see("its servers pause", func(v sites.Verdict) bool { return v.State == sites.Lost && v.Kind == sites.ServersDown })
	f.Pause("a", false)
	returning("they go on")
	up("and it is back")

	for i, d := range f.Daemons { // the routers of b can't reach the servers of a, those of c can
		if f.o.site(i, len(f.Daemons)) == "b" {
			for j := range f.servers {
				if f.o.site(j, len(f.servers)) == "a" {
					f.back[[2]string{d.Name, serverName(j)}].Set(Mode{Kind: Silent}, Mode{Kind: Silent})
				}
			}
		}
	}
	see("cut off from some", func(v sites.Verdict) bool { return v.State == sites.Up && v.Kind == sites.PartlyReachable })
	f.Heal()
	up("healed")

	f.Cut("a", Mode{Kind: Silent}, Mode{Kind: Silent})
	see("cut off from all", func(v sites.Verdict) bool { return v.State == sites.Lost })
	f.Heal()
	up("healed again")

	f.Lose("a", true)
	see("it goes with its routers", func(v sites.Verdict) bool { return v.State == sites.Lost && v.Kind == sites.SiteDown })
	if err := f.Return("a"); err != nil {
		t.Fatal(err)
	}
	returning("it returns cold")
	up("and is up")
	stop()
	r := <-loaded
	ran, falls, err := f.Ran()
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for _, a := range r.list {
		if a.Class == "filing" && ran[a.ID] > 1 {
			t.Errorf("filing %s ran %d times", a.ID, ran[a.ID])
		}
		if a.Status == 200 {
			served++
		}
	}
	if falls > 0 || served < len(r.list)/2 || len(r.list) < 200 {
		t.Errorf("%d servers were pushed over; %d of %d requests were served", falls, served, len(r.list))
	}
}
