package outage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sumacloft/internal/decide/turn"
)

// Fault is a rule that a decider breaks on purpose, to prove that checkers detect it.
type Fault string

const (
	ExpiresPermits       Fault = "lapse"      // a permit ends after its member was out for lost_ms, without evidence
	CountsReleasesOnly   Fault = "own-count"  // losses and permits by hand are not counted
	NoFence              Fault = "no-fence"   // writes are not fenced by revision and registration (implemented by the caller)
	IgnoresHalt          Fault = "no-halt"    // a halted release keeps getting permits
	SkipsRollback        Fault = "forgets"    // a rollback leaves out a target
	SkipsAcknowledgement Fault = "not-clear"  // a member may be stopped before all routers acknowledged its permit
	ExceedsBudget        Fault = "over-fills" // permits exceed the budget by one
	WaitsForever         Fault = "waits-on"   // the wait for copies never ends
	RisesAtOnce          Fault = "rises-once" // the headroom limit rises without its delay
	IgnoresBounds        Fault = "over-wall"  // the headroom limit ignores its bounds
)

// Decider computes new states. Each router runs one on the same input, and the router whose turn it is writes.
type Decider struct {
	Router string
	Fault  Fault

	ages    turn.RevisionAges
	due     turn.WriteDelay
	written struct { // the last state it returned and when, which is when its durations were exact
		seq int64
		at  time.Duration
	}
}

// turnDelay is how much later each following router writes a state that the router before it did not write.
const turnDelay = 250 * time.Millisecond

// stateRecord is the key of the state among the records whose ages are tracked.
const stateRecord = "\x00state"

// Next returns the state that should replace the last one. It returns nil if nothing changed, if it is another router's
// turn, if too few routers report, or if the last state has a newer format than this program's.
func (d *Decider) Next(v View, now time.Duration) *State {
	if !v.Model.WithDefaults().On() || v.Last != nil && v.Last.Format > Format {
		return nil
	}
	reported := map[string]bool{stateRecord: true}
	for _, r := range v.Reports {
		reported[r.Router] = true
	}
	d.ages.Retain(func(key string) bool { return reported[key] })
	rev := int64(0)
	if v.Last != nil {
		rev = v.Last.Rev
	}
	age := func() time.Duration {
		passed := d.ages.Age(stateRecord, rev, now)
		if v.Last != nil && v.Last.By == d.Router && v.Last.Seq == d.written.seq { // its age counts from before it was read back
			passed = max(passed, now-d.written.at)
		}
		return passed
	}
	result := d.Step(v, Ages{State: age,
		Report: func(router string, rev int64) time.Duration { return d.ages.Age(router, rev, now) }})
	switch {
	case result.Next == nil:
		d.due.Clear()
		return nil
	case !result.Quorum || !d.due.Elapsed(turn.Rank("outage", d.Router, result.routers), turnDelay, now):
		return nil
	}
	d.due.Clear()
	d.written.seq, d.written.at = result.Next.Seq, now
	return result.Next
}

// Ages returns the observed age of the state and of a router's report. An observed age is never longer than the real
// one.
type Ages struct {
	State  func() time.Duration
	Report func(router string, rev int64) time.Duration
}

// Step is the result of one decision.
type Step struct {
	Next    *State // nil: the last state stays
	Quorum  bool   // more than half of the live routers report, so Next may be written
	routers []string
}

// Step computes a decision regardless of whose turn it is. It keeps no memory except the ages.
func (d *Decider) Step(v View, ages Ages) Step {
	m := v.Model.WithDefaults()
	f := aggregate(v, m, ages.Report)
	next := v.Last.clone()
	next.Format, next.Version, next.By = Format, v.Version, d.Router
	next.CountWrite()
	next.addElapsed(milliseconds(ages.State()))
	dr := &draft{State: next, view: v, model: m, fleet: f, broken: d.Fault, self: d.Router, copyWaiters: map[string]bool{}}
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

// addElapsed adds the observed time since the state was written to all running durations.
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

// draft is the next state while one step computes it.
type draft struct {
	*State
	view        View
	model       Model
	fleet       fleetStatus
	broken      Fault
	self        string
	log         []string        // descriptions of what changed
	copyWaiters map[string]bool // servers that would get a permit and wait for copies

	totals      *fleetTotals // computed on first use
	outCache    *outCounts
	oldestCache *int64
}

func (d *draft) note(format string, args ...any) { d.log = append(d.log, fmt.Sprintf(format, args...)) }

// updateRouters records every router that was ever registered. It counts until it is declared gone.
func (d *draft) updateRouters() {
	for _, name := range slices.Sorted(maps.Keys(d.view.Routers)) {
		r := d.view.Routers[name]
		if !r.Live {
			continue
		}
		report := d.fleet.lastReports[name]
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

// updateLosses determines the members that are out without a permit.
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
		if previous, ok := d.Lost[member]; !ok || previous.Why != lost[member].Why {
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

// liveRouters counts the registered routers. A decision needs reports from more than half of them.
func (d *draft) liveRouters() (n int) {
	for _, r := range d.view.Routers {
		if r.Live {
			n++
		}
	}
	return n
}

// acknowledged reports whether every live router follows the state seq or a later one.
func (d *draft) acknowledged(seq int64) bool { return d.oldestSeq() >= seq }

// updatePermits advances each permit by what is observed of its member.
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
			r, report := d.view.Routers[name], d.fleet.lastReports[name]
			if present = r.Live; present {
				boot, label, answers = r.Boot, r.Label, slices.Contains(d.fleet.routers, name) && report.Boot == r.Boot
			}
		}
		switch p.Stage {
		case Granted:
			drained := kind != Router || d.fleet.lastReports[name].DrainedPermit == p.ID || !d.view.Routers[name].Live
			if d.acknowledged(p.Seq) && drained || d.broken == SkipsAcknowledgement {
				p.Stage = Acknowledged
			}
		}
		returned := present && answers && (boot != p.Boot || p.Serve)
		switch {
		case p.Stage == Acknowledged && returned:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Granted && p.Serve && returned:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Returning && !returned: // routers send to it again, so they must acknowledge the permit again
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

// updateBudget counts the members that are out against the budget.
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

// budgetChanged reports whether the counts changed in a way that has to be written.
func (d *draft) budgetChanged(previous Budget) bool {
	return previous.ServersOut != d.Budget.ServersOut || previous.RoutersOut != d.Budget.RoutersOut ||
		previous.ServersLimit != d.Budget.ServersLimit || previous.RoutersLimit != d.Budget.RoutersLimit
}

// blockReason returns why a member may not be taken out, or "" if it may.
func (d *draft) blockReason(member, site, role string) string {
	kind, _ := Split(member)
	extra := 0
	if l, lost := d.Lost[member]; lost { // it counts as out already; the permit only determines who brings it back
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
		noun, qualifier string
		bound           float64
		all, out        int
		match           func(k Kind, s, r string) bool
	}{
		{"servers", "", d.serverBound(d.model), d.Budget.Servers, outNow.servers, func(k Kind, _, _ string) bool { return k == Server }},
		{"servers of site ", site, d.model.WorkersSite, d.totals.site[site], outNow.site[site],
			func(k Kind, s, _ string) bool { return k == Server && s == site }},
		{"servers of role ", role, d.model.WorkersRole, d.totals.role[role], outNow.role[role],
			func(k Kind, _, r string) bool { return k == Server && r == role }},
	} {
		if out, most := b.out+d.reservedCount(member, b.match), limit(b.bound, b.all); out >= most+extra {
			return fmt.Sprintf("%d of %d %s are out, %d may be", out, b.all, b.noun+b.qualifier, most)
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
