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
	age := func() time.Duration {
		passed := d.ages.For(stateRecord, rev, now)
		if v.Last != nil && v.Last.By == d.Me && v.Last.Seq == d.written.seq { // it stood from before it was read
			passed = max(passed, now-d.written.at)
		}
		return passed
	}
	result := d.Step(v, Ages{State: age,
		Report: func(router string, rev int64) time.Duration { return d.ages.For(router, rev, now) }})
	switch {
	case result.Next == nil:
		d.due.Over()
		return nil
	case !result.Quorum || !d.due.Now(turn.Rank("outage", d.Me, result.routers), turnDelay, now):
		return nil
	}
	d.due.Over()
	d.written.seq, d.written.at = result.Next.Seq, now
	return result.Next
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
	dr := &draft{State: next, view: v, model: m, fleet: f, broken: d.Broken, self: d.Me, copyWaiters: map[string]bool{}}
	dr.Seq++
	dr.updateRouters()
	dr.updateLosses()
	dr.updatePermits()
	dr.updateHeadroom()
	dr.updateBudget()
	dr.updateRelease()
	dr.updateHindsight()
	dr.grantPermits()
	dr.dropStaleLeaving()
	out := Step{Quorum: 2*len(f.fresh) > dr.liveRouters(), routers: f.routers}
	if len(dr.log) > 0 || v.Last == nil || dr.budgetChanged(v.Last.Budget) {
		next.Why = strings.Join(dr.log, "; ")
		out.Next = next
	}
	return out
}

// addElapsed adds to all times what has passed since the state was written, as far as was seen.
func (s *State) addElapsed(passed float64) {
	for member, p := range s.Permits {
		p.OutMs += passed
		if p.Stage == Returning {
			p.BackMs += passed
		}
		s.Permits[member] = p
	}
	if s.OverBudget {
		s.OverBudgetMs += passed
	}
	for member, l := range s.Leaving {
		l.WaitMs += passed
		s.Leaving[member] = l
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

func (d *draft) note(format string, args ...any) { d.log = append(d.log, fmt.Sprintf(format, args...)) }

// updateRouters keeps who is known: a router that was ever registered is counted with until it is declared gone.
func (d *draft) updateRouters() {
	for _, name := range slices.Sorted(maps.Keys(d.view.Routers)) {
		r := d.view.Routers[name]
		if !r.Live {
			continue
		}
		report := d.fleet.reported[name]
		router := KnownRouter{Boot: r.Boot, Label: r.Label, Site: d.Known[name].Site, StoreMember: d.Known[name].StoreMember}
		if report.Boot == r.Boot {
			router.StoreMember = report.StoreMember
		}
		if d.Known[name] != router {
			d.Known[name] = router
			d.note("router %s runs as %s, label %q", name, router.Boot, router.Label)
		}
	}
}

// updateLosses agrees on what is out without a permit.
func (d *draft) updateLosses() {
	lost := map[string]Loss{}
	for id, s := range d.fleet.servers {
		member, loss := ID(Server, id), Loss{Site: s.Site, Role: s.Role}
		switch {
		case d.view.LostSites[s.Site]:
			loss.Why = "lost site"
		case s.draining:
			loss.Why = "drained"
		case s.silent || d.Lost[member].Why == "silent" && !s.answering:
			loss.Why = "silent"
		default:
			continue
		}
		if _, out := d.Permits[member]; !out {
			lost[member] = loss
		}
	}
	for name, k := range d.Known {
		member := ID(Router, name)
		if _, out := d.Permits[member]; !out && !d.view.Routers[name].Live {
			lost[member] = Loss{Why: "ended", Site: k.Site}
		}
	}
	for _, member := range slices.Sorted(maps.Keys(lost)) {
		if was, ok := d.Lost[member]; !ok || was.Why != lost[member].Why {
			d.note("%s is lost: %s", member, lost[member].Why)
		}
	}
	for _, member := range slices.Sorted(maps.Keys(d.Lost)) {
		if _, ok := lost[member]; !ok {
			if _, out := d.Permits[member]; !out {
				d.note("%s is seen back", member)
			}
		}
	}
	d.Lost = lost
}

// liveRouters is how many routers are registered: less than half of them decide nothing.
func (d *draft) liveRouters() (n int) {
	for _, r := range d.view.Routers {
		if r.Live {
			n++
		}
	}
	return n
}

// acknowledged tells whether every router that is alive follows a state from a number on.
func (d *draft) acknowledged(seq int64) bool { return d.oldestSeq() >= seq }

// updatePermits moves updatePermits on by what is seen of their things.
func (d *draft) updatePermits() {
	for _, member := range slices.Sorted(maps.Keys(d.Permits)) {
		p, oldStage := d.Permits[member], d.Permits[member].Stage
		kind, name := Split(member)
		boot, label, answers, present := "", "", false, false
		if kind == Server {
			var s serverStatus
			if s, present = d.fleet.servers[name]; present {
				boot, label, answers = s.Boot, s.Label, s.answering && !s.silent && s.agreed
			}
		} else {
			r, report := d.view.Routers[name], d.fleet.reported[name]
			if present = r.Live; present {
				boot, label, answers = r.Boot, r.Label, slices.Contains(d.fleet.routers, name) && report.Boot == r.Boot
			}
		}
		switch p.Stage {
		case Granted:
			empty := kind != Router || d.fleet.reported[name].DrainedPermit == p.ID || !d.view.Routers[name].Live
			if d.acknowledged(p.Seq) && empty || d.broken == SkipsAcknowledgement {
				p.Stage = Acknowledged
			}
		}
		returned := present && answers && (boot != p.Boot || p.Serve)
		switch {
		case p.Stage == Acknowledged && returned:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Granted && p.Serve && returned:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Returning && !returned: // routers send to it by now: they are told anew
			p.Stage, p.Seq = Granted, d.Seq
		}
		d.Permits[member] = p
		if p.Stage != oldStage {
			d.note("%s is %s (permit %d)", member, p.Stage, p.ID)
		}
		warm := d.model.WarmMs
		if p.Serve && boot == p.Boot { // it never stopped
			warm = 0
		}
		if p.Stage == Returning && p.BackMs >= warm {
			end := "back"
			if p.Serve && boot == p.Boot {
				end = "served"
			}
			d.endPermit(member, end, label)
			d.note("%s is back with label %q, its permit %d has ended", member, label, p.ID)
			d.targetReturned(member, label)
		} else if d.broken == ExpiresPermits && p.Stage == Acknowledged && p.OutMs > d.model.LostMs {
			d.endPermit(member, "back", label)
			d.note("%s: its permit lapsed", member)
			d.targetReturned(member, p.To)
		}
	}
}

// updateBudget counts what is out against the budget.
func (d *draft) updateBudget() {
	b := Budget{Servers: len(d.fleet.servers), Routers: len(d.Known)}
	b.ServersLimit, b.RoutersLimit = limit(d.serverBound(d.model), b.Servers), limit(d.model.Routers, b.Routers)
	for member := range d.Lost {
		if k, _ := Split(member); k == Server {
			b.ServersLost++
		} else {
			b.RoutersLost++
		}
	}
	for member, p := range d.Permits {
		k, _ := Split(member)
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
	d.Budget = b
	over := b.ServersLimit > 0 && b.ServersLost >= b.ServersLimit || b.RoutersLimit > 0 && b.RoutersLost >= b.RoutersLimit
	if over != d.OverBudget {
		d.OverBudget, d.OverBudgetMs = over, 0
		if over {
			d.note("losses alone use up the budget")
		} else {
			d.note("losses leave room in the budget again")
		}
	}
}

// budgetChanged tells whether what was budgetChanged differs in what is worth writing by itself.
func (d *draft) budgetChanged(previous Budget) bool {
	return previous.ServersOut != d.Budget.ServersOut || previous.RoutersOut != d.Budget.RoutersOut || previous.ServersLimit != d.Budget.ServersLimit || previous.RoutersLimit != d.Budget.RoutersLimit
}

// blockReason tells why one more thing may not be taken out; "": it may.
func (d *draft) blockReason(member, site, role string) string {
	kind, _ := Split(member)
	extra := 0
	if l, lost := d.Lost[member]; lost { // it counts already, and a permit for it changes nothing but who brings it back
		if l.Why == "lost site" {
			return "its site is lost"
		}
		extra = 1
	}
	if d.broken == ExceedsBudget {
		extra++
	}
	outNow := d.outOfService()
	if kind == Router {
		switch {
		case d.Budget.RoutersLimit == 0:
			return "the policy lets no router out"
		case outNow.routers >= d.Budget.RoutersLimit+extra:
			return fmt.Sprintf("%d of %d routers are out, %d may be", outNow.routers, d.Budget.Routers, d.Budget.RoutersLimit)
		}
		if d.Known[memberName(member)].StoreMember && d.fleet.storeLag != "" {
			return d.fleet.storeLag
		}
		return ""
	}
	if d.totals == nil {
		d.totals = d.fleet.totals()
	}
	for _, b := range [...]struct {
		what, of string
		bound    float64
		all, out int
		match    func(k Kind, s, r string) bool
	}{
		{"servers", "", d.serverBound(d.model), d.Budget.Servers, outNow.servers, func(k Kind, _, _ string) bool { return k == Server }},
		{"servers of site ", site, d.model.WorkersSite, d.totals.site[site], outNow.site[site], func(k Kind, s, _ string) bool { return k == Server && s == site }},
		{"servers of role ", role, d.model.WorkersRole, d.totals.role[role], outNow.role[role], func(k Kind, _, r string) bool { return k == Server && r == role }},
	} {
		if out, most := b.out+d.reservedCount(member, b.match), limit(b.bound, b.all); out >= most+extra {
			return fmt.Sprintf("%d of %d %s are out, %d may be", out, b.all, b.what+b.of, most)
		}
	}
	all, left := d.totals.weight, d.totals.weight-outNow.weight-d.reservedWeight(member)
	_, out := d.Permits[member]
	if _, lost := d.Lost[member]; !out && !lost {
		left -= d.fleet.servers[memberName(member)].Weight
	}
	for _, k := range d.model.Classes {
		if left < k.Part*all {
			return fmt.Sprintf("class %s would have %.0f%% of the servers' weight, %.0f%% must stay", k.Name, 100*left/all, 100*k.Part)
		}
	}
	return ""
}

func memberName(member string) string { _, n := Split(member); return n }
