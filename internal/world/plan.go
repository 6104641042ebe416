package world

import (
	"iter"
	"maps"
	"slices"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/decide/sites"
)

func sorted(m map[uint64]*attempt) iter.Seq[uint64] {
	return slices.Values(slices.Sorted(maps.Keys(m)))
}

// probed is how many servers of each site a router probes between two reports.
const probed = 4

// deciding is how many routers step their deciders: those whose turn comes first. The others would come to the same.
const deciding = 3

// report writes what a router has seen since its last, and has its decider look at what all have.
func (r *router) report(life int) {
	w := r.w
	if r.dead || r.life != life {
		return
	}
	offered, seen := r.meter.TakeCounts()
	rep := sites.Report{Router: r.name, Site: siteName(r.site), Observations: map[string]sites.Observation{}, Offered: map[string]float64{}}
	for _, c := range Classes {
		rep.Offered[c.Name] = float64(offered[c.Name]) / r.period().Seconds()
	}
	per := w.set.Servers / w.set.Sites
	for i := range w.set.Sites {
		one := seen[siteName(i)]
		one.Ready = per
		for n := range min(probed, per) {
			if one.Attempts++; !w.servers[i*per+(r.n+n)%per].away() {
				one.Answered++
			}
		}
		rep.Observations[siteName(i)] = one
	}
	w.rev++
	rep.Rev = w.rev
	w.reports[r.name] = rep
	if w.decides(r) {
		var list []sites.Report
		for _, name := range slices.Sorted(maps.Keys(w.reports)) {
			list = append(list, w.reports[name])
		}
		if next := r.decider.Next(sites.View{Model: w.model, Version: 1, Last: w.posture, Reports: list}, w.now); next != nil {
			w.rev++
			next.Rev = w.rev
			w.posture = next
			w.day.Postures++
			for _, o := range w.routers {
				w.after(10*time.Millisecond, o.follow)
			}
		}
	}
	r.follow()
	w.after(r.period(), func() { r.report(life) })
}

// decides tells whether a router is one of the first that live, in the order in which it is their turn to write.
func (w *world) decides(r *router) bool {
	before := 0
	for _, o := range w.routers {
		if !o.dead && w.reports[o.name].Rev > 0 && w.turns[o.n] < w.turns[r.n] {
			before++
		}
	}
	return before < deciding
}

// follow has the module follow the posture.
func (r *router) follow() {
	p := r.w.posture
	if r.dead || p == nil || p == r.posture {
		return
	}
	r.posture = p
	set := r.set
	if len(p.Shares) > 0 {
		set.Zone = -1
	}
	set.Admitted = nil
	for _, c := range Classes {
		set.Admitted = append(set.Admitted, p.Admitted(c.Name, siteName(r.site)))
	}
	r.brain.UpdateSettings(set)
	r.handle(brain.Listed{Kind: brain.ListDelta, Engines: r.engines()})
}
