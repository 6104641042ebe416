package outage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sumacloft/internal/decide/turn"
)

// Fault is a rule that a decider breaks on purpose, so that checkers can be shown to find it.
type Fault string

// The faults.
const (
	ExpiresPermits       Fault = "lapse"      // a permit ends once its thing has been out for long, whatever is seen
	CountsReleasesOnly   Fault = "own-count"  // each router counts only what itself has given
	NoFence              Fault = "no-fence"   // writes compare nothing (the carrier breaks it)
	IgnoresHalt          Fault = "no-halt"    // a halt is not looked at
	SkipsRollback        Fault = "forgets"    // the way back leaves out the target that was released last
	SkipsAcknowledgement Fault = "not-clear"  // a thing may be stopped before all routers know that it is out
	ExceedsBudget        Fault = "over-fills" // a permit is given past the budget by one
	WaitsForever         Fault = "waits-on"   // the wait for copies never ends
	RisesAtOnce          Fault = "rises-once" // the number that follows room rises at once
	IgnoresBounds        Fault = "over-wall"  // it has no walls
)

// Decider comes to states. Each router keeps one and steps it alike; whose turn it is writes.
type Decider struct {
	Me     string
	Broken Fault

	ages    turn.Stood
	due     turn.Due
	written struct { // the state that it gave last, and when: its times were right then
		seq int64
		at  time.Duration
	}
}

// turnDelay is how much later each next router writes a state that the one before it should have written.
const turnDelay = 250 * time.Millisecond

// stateRecord is the state's among the records whose age is kept.
const stateRecord = "\x00state"

// Next gives the state that should take the place of the last, or nil while that may stand, another router's turn is before
// ours, or the last is of a newer format than this program's.
func (d *Decider) Next(v View, now time.Duration) *State {
	if !v.Model.WithDefaults().On() || v.Last != nil && v.Last.Format > Format {
		return nil
	}
	reported := map[string]bool{stateRecord: true}
	for _, r := range v.Reports {
		reported[r.Router] = true
	}
	d.ages.Keep(func(key string) bool { return reported[key] })
	rev := int64(0)
	if v.Last != nil {
		rev = v.Last.Rev
	}
	state := func() time.Duration {
		stood := d.ages.For(stateRecord, rev, now)
		if v.Last != nil && v.Last.By == d.Me && v.Last.Seq == d.written.seq { // it stood from before it was read
			stood = max(stood, now-d.written.at)
		}
		return stood
	}
	made := d.Step(v, Ages{State: state,
		Report: func(router string, rev int64) time.Duration { return d.ages.For(router, rev, now) }})
	switch {
	case made.Next == nil:
		d.due.Over()
		return nil
	case !made.Quorum || !d.due.Now(turn.Rank("outage", d.Me, made.routers), turnDelay, now):
		return nil
	}
	d.due.Over()
	d.written.seq, d.written.at = made.Next.Seq, now
	return made.Next
}

// Ages tell for how long the state and a router's report have stood as they are, as far as a decider saw; never longer than the truth.
type Ages struct {
	State  func() time.Duration
	Report func(router string, rev int64) time.Duration
}

// Step is what a decider makes of a view.
type Step struct {
	Next    *State // nil: the last may stand
	Quorum  bool   // more than half of the live routers report, so Next may be written
	routers []string
}

// Step makes a step without regard to whose turn it is; it needs no memory but the ages.
func (d *Decider) Step(v View, ages Ages) Step {
	m := v.Model.WithDefaults()
	f := aggregate(v, m, ages.Report)
	next := v.Last.clone()
	next.Format, next.Version, next.By = Format, v.Version, d.Me
	next.Wrote()
	next.addElapsed(milliseconds(ages.State()))
	w := &draft{State: next, view: v, model: m, fleet: f, broken: d.Broken, self: d.Me, copyWaiters: map[string]bool{}}
	w.Seq++
	w.updateRouters()
	w.updateLosses()
	w.updatePermits()
	w.updateHeadroom()
	w.updateBudget()
	w.updateRelease()
	w.updateHindsight()
	w.grantPermits()
	w.dropStaleLeaving()
	out := Step{Quorum: 2*len(f.fresh) > w.liveRouters(), routers: f.routers}
	if len(w.log) > 0 || v.Last == nil || w.budgetChanged(v.Last.Budget) {
		next.Why = strings.Join(w.log, "; ")
		out.Next = next
	}
	return out
}

// addElapsed adds to all times what has passed since the state was written, as far as was seen.
func (s *State) addElapsed(passed float64) {
	for thing, p := range s.Permits {
		p.OutMs += passed
		if p.Stage == Returning {
			p.BackMs += passed
		}
		s.Permits[thing] = p
	}
	if s.OverBudget {
		s.OverBudgetMs += passed
	}
	for thing, l := range s.Leaving {
		l.WaitMs += passed
		s.Leaving[thing] = l
	}
	if r := s.Release; r != nil && r.Paused {
		r.PauseMs += passed
	}
	if s.Headroom != nil && s.Headroom.Rising {
		r := *s.Headroom
		r.RiseMs += passed
		s.Headroom = &r
	}
}

// draft is one step of a decider.
type draft struct {
	*State
	view        View
	model       Model
	fleet       fleetStatus
	broken      Fault
	self        string
	log         []string        // what has changed
	copyWaiters map[string]bool // who has its turn and waits for copies

	totals      *fleetTotals // these are counted when they are first asked for
	outCache    *outCounts
	oldestCache *int64
}

func (w *draft) note(format string, args ...any) { w.log = append(w.log, fmt.Sprintf(format, args...)) }

// updateRouters keeps who is known: a router that was ever registered is counted with until it is declared gone.
func (w *draft) updateRouters() {
	for _, name := range slices.Sorted(maps.Keys(w.view.Routers)) {
		r := w.view.Routers[name]
		if !r.Live {
			continue
		}
		report := w.fleet.reported[name]
		one := KnownRouter{Boot: r.Boot, Label: r.Label, Site: w.Known[name].Site, StoreMember: w.Known[name].StoreMember}
		if report.Boot == r.Boot {
			one.StoreMember = report.StoreMember
		}
		if w.Known[name] != one {
			w.Known[name] = one
			w.note("router %s runs as %s, label %q", name, one.Boot, one.Label)
		}
	}
}

// updateLosses agrees on what is out without a permit.
func (w *draft) updateLosses() {
	lost := map[string]Loss{}
	for id, s := range w.fleet.servers {
		thing, one := ID(Server, id), Loss{Site: s.Site, Role: s.Role}
		switch {
		case w.view.LostSites[s.Site]:
			one.Why = "lost site"
		case s.draining:
			one.Why = "drained"
		case s.silent || w.Lost[thing].Why == "silent" && !s.answering:
			one.Why = "silent"
		default:
			continue
		}
		if _, out := w.Permits[thing]; !out {
			lost[thing] = one
		}
	}
	for name, k := range w.Known {
		thing := ID(Router, name)
		if _, out := w.Permits[thing]; !out && !w.view.Routers[name].Live {
			lost[thing] = Loss{Why: "ended", Site: k.Site}
		}
	}
	for _, thing := range slices.Sorted(maps.Keys(lost)) {
		if was, is := w.Lost[thing]; !is || was.Why != lost[thing].Why {
			w.note("%s is lost: %s", thing, lost[thing].Why)
		}
	}
	for _, thing := range slices.Sorted(maps.Keys(w.Lost)) {
		if _, is := lost[thing]; !is {
			if _, out := w.Permits[thing]; !out {
				w.note("%s is seen back", thing)
			}
		}
	}
	w.Lost = lost
}

// liveRouters is how many routers are registered: less than half of them decide nothing.
func (w *draft) liveRouters() (n int) {
	for _, r := range w.view.Routers {
		if r.Live {
			n++
		}
	}
	return n
}

// acknowledged tells whether every router that is alive follows a state from a number on.
func (w *draft) acknowledged(seq int64) bool { return w.oldestSeq() >= seq }

// updatePermits moves updatePermits on by what is seen of their things.
func (w *draft) updatePermits() {
	for _, thing := range slices.Sorted(maps.Keys(w.Permits)) {
		p, was := w.Permits[thing], w.Permits[thing].Stage
		kind, name := Split(thing)
		boot, label, answers, there := "", "", false, false
		if kind == Server {
			var s serverStatus
			if s, there = w.fleet.servers[name]; there {
				boot, label, answers = s.Boot, s.Label, s.answering && !s.silent && s.agreed
			}
		} else {
			r, report := w.view.Routers[name], w.fleet.reported[name]
			if there = r.Live; there {
				boot, label, answers = r.Boot, r.Label, slices.Contains(w.fleet.routers, name) && report.Boot == r.Boot
			}
		}
		switch p.Stage {
		case Granted:
			empty := kind != Router || w.fleet.reported[name].DrainedPermit == p.ID || !w.view.Routers[name].Live
			if w.acknowledged(p.Seq) && empty || w.broken == SkipsAcknowledgement {
				p.Stage = Acknowledged
			}
		}
		back := there && answers && (boot != p.Boot || p.Serve)
		switch {
		case p.Stage == Acknowledged && back:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Granted && p.Serve && back:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Returning && !back: // routers send to it by now: they are told anew
			p.Stage, p.Seq = Granted, w.Seq
		}
		w.Permits[thing] = p
		if p.Stage != was {
			w.note("%s is %s (permit %d)", thing, p.Stage, p.ID)
		}
		warm := w.model.WarmMs
		if p.Serve && boot == p.Boot { // it never stopped
			warm = 0
		}
		if p.Stage == Returning && p.BackMs >= warm {
			end := "back"
			if p.Serve && boot == p.Boot {
				end = "served"
			}
			w.endPermit(thing, end, label)
			w.note("%s is back with label %q, its permit %d has ended", thing, label, p.ID)
			w.targetReturned(thing, label)
		} else if w.broken == ExpiresPermits && p.Stage == Acknowledged && p.OutMs > w.model.LostMs {
			w.endPermit(thing, "back", label)
			w.note("%s: its permit lapsed", thing)
			w.targetReturned(thing, p.To)
		}
	}
}

// updateBudget counts what is out against the budget.
func (w *draft) updateBudget() {
	b := Budget{Servers: len(w.fleet.servers), Routers: len(w.Known)}
	b.ServersLimit, b.RoutersLimit = limit(w.serverBound(w.model), b.Servers), limit(w.model.Routers, b.Routers)
	for thing := range w.Lost {
		if k, _ := Split(thing); k == Server {
			b.ServersLost++
		} else {
			b.RoutersLost++
		}
	}
	for thing, p := range w.Permits {
		k, _ := Split(thing)
		if k == Server {
			b.ServersOut++
			if p.Stage != Returning {
				b.ServersGranted++
			}
		} else {
			b.RoutersOut++
		}
	}
	b.ServersOut += b.ServersLost
	b.RoutersOut += b.RoutersLost
	w.Budget = b
	over := b.ServersLimit > 0 && b.ServersLost >= b.ServersLimit || b.RoutersLimit > 0 && b.RoutersLost >= b.RoutersLimit
	if over != w.OverBudget {
		w.OverBudget, w.OverBudgetMs = over, 0
		if over {
			w.note("losses alone use up the budget")
		} else {
			w.note("losses leave room in the budget again")
		}
	}
}

// budgetChanged tells whether what was budgetChanged differs in what is worth writing by itself.
func (w *draft) budgetChanged(was Budget) bool {
	return was.ServersOut != w.Budget.ServersOut || was.RoutersOut != w.Budget.RoutersOut || was.ServersLimit != w.Budget.ServersLimit || was.RoutersLimit != w.Budget.RoutersLimit
}

// blockReason tells why one more thing may not be taken out; "": it may.
func (w *draft) blockReason(thing, site, role string) string {
	kind, _ := Split(thing)
	extra := 0
	if l, lost := w.Lost[thing]; lost { // it counts already, and a permit for it changes nothing but who brings it back
		if l.Why == "lost site" {
			return "its site is lost"
		}
		extra = 1
	}
	if w.broken == ExceedsBudget {
		extra++
	}
	away := w.outOfService()
	if kind == Router {
		switch {
		case w.Budget.RoutersLimit == 0:
			return "the policy lets no router out"
		case away.routers >= w.Budget.RoutersLimit+extra:
			return fmt.Sprintf("%d of %d routers are out, %d may be", away.routers, w.Budget.Routers, w.Budget.RoutersLimit)
		}
		if w.Known[memberName(thing)].StoreMember && w.fleet.storeLag != "" {
			return w.fleet.storeLag
		}
		return ""
	}
	if w.totals == nil {
		w.totals = w.fleet.totals()
	}
	for _, b := range [...]struct {
		what, of string
		bound    float64
		all, out int
		is       func(k Kind, s, r string) bool
	}{
		{"servers", "", w.serverBound(w.model), w.Budget.Servers, away.servers, func(k Kind, _, _ string) bool { return k == Server }},
		{"servers of site ", site, w.model.WorkersSite, w.totals.site[site], away.site[site], func(k Kind, s, _ string) bool { return k == Server && s == site }},
		{"servers of role ", role, w.model.WorkersRole, w.totals.role[role], away.role[role], func(k Kind, _, r string) bool { return k == Server && r == role }},
	} {
		if out, most := b.out+w.reservedCount(thing, b.is), limit(b.bound, b.all); out >= most+extra {
			return fmt.Sprintf("%d of %d %s are out, %d may be", out, b.all, b.what+b.of, most)
		}
	}
	all, left := w.totals.weight, w.totals.weight-away.weight-w.reservedWeight(thing)
	_, out := w.Permits[thing]
	if _, lost := w.Lost[thing]; !out && !lost {
		left -= w.fleet.servers[memberName(thing)].Weight
	}
	for _, k := range w.model.Classes {
		if left < k.Part*all {
			return fmt.Sprintf("class %s would have %.0f%% of the servers' weight, %.0f%% must stay", k.Name, 100*left/all, 100*k.Part)
		}
	}
	return ""
}

func memberName(thing string) string { _, n := Split(thing); return n }
