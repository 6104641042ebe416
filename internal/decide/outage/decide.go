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
	FreesLapsed Fault = "lapse"      // a permit ends once its thing has been out for long, whatever is seen
	CountsOwn   Fault = "own-count"  // each router counts only what itself has given
	NoFence     Fault = "no-fence"   // writes compare nothing (the carrier breaks it)
	NoHalt      Fault = "no-halt"    // a halt is not looked at
	ForgetsOne  Fault = "forgets"    // the way back leaves out the target that was released last
	StopsEarly  Fault = "not-clear"  // a thing may be stopped before all routers know that it is out
	TwoOwners   Fault = "over-fills" // a permit is given past the budget by one
	WaitsOn     Fault = "waits-on"   // the wait for copies never ends
	RisesOnce   Fault = "rises-once" // the number that follows room rises at once
	OverWall    Fault = "over-wall"  // it has no walls
)

// Decider comes to states. Each router keeps one and steps it alike; whose turn it is writes.
type Decider struct {
	Me     string
	Broken Fault

	stood turn.RevisionAges
	due   turn.WriteDelay
	gave  struct { // the state that it gave last, and when: its times were right then
		seq int64
		at  time.Duration
	}
}

// step is how much later each next router writes a state that the one before it should have written.
const step = 250 * time.Millisecond

// stateKey is the state's among the records whose age is kept.
const stateKey = "\x00state"

// Next gives the state that should take the place of the last, or nil while that may stand, another router's turn is before
// ours, or the last is of a newer format than this program's.
func (d *Decider) Next(v View, now time.Duration) *State {
	if !v.Model.Filled().On() || v.Last != nil && v.Last.Format > Format {
		return nil
	}
	reported := map[string]bool{stateKey: true}
	for _, r := range v.Reports {
		reported[r.Router] = true
	}
	d.stood.Retain(func(key string) bool { return reported[key] })
	rev := int64(0)
	if v.Last != nil {
		rev = v.Last.Rev
	}
	state := func() time.Duration {
		stood := d.stood.Age(stateKey, rev, now)
		if v.Last != nil && v.Last.By == d.Me && v.Last.Seq == d.gave.seq { // it stood from before it was read
			stood = max(stood, now-d.gave.at)
		}
		return stood
	}
	made := d.Step(v, Ages{State: state,
		Report: func(router string, rev int64) time.Duration { return d.stood.Age(router, rev, now) }})
	switch {
	case made.Next == nil:
		d.due.Clear()
		return nil
	case !made.Most || !d.due.Elapsed(turn.Rank("outage", d.Me, made.names), step, now):
		return nil
	}
	d.due.Clear()
	d.gave.seq, d.gave.at = made.Next.Seq, now
	return made.Next
}

// Ages tell for how long the state and a router's report have stood as they are, as far as a decider saw; never longer than the truth.
type Ages struct {
	State  func() time.Duration
	Report func(router string, rev int64) time.Duration
}

// Step is what a decider makes of a view.
type Step struct {
	Next  *State // nil: the last may stand
	Most  bool   // more than half of the live routers report, so Next may be written
	names []string
}

// Step makes a step without regard to whose turn it is; it needs no memory but the ages.
func (d *Decider) Step(v View, ages Ages) Step {
	m := v.Model.Filled()
	f := look(v, m, ages.Report)
	next := v.Last.clone()
	next.Format, next.Version, next.By = Format, v.Version, d.Me
	next.CountWrite()
	next.age(ms(ages.State()))
	w := &work{State: next, v: v, m: m, f: f, broken: d.Broken, me: d.Me, waits: map[string]bool{}}
	w.Seq++
	w.routers()
	w.losses()
	w.permits()
	w.follow()
	w.count()
	w.release()
	w.hindsight()
	w.give()
	w.stay()
	out := Step{Most: 2*len(f.fresh) > w.live(), names: f.names}
	if len(w.said) > 0 || v.Last == nil || w.counted(v.Last.Budget) {
		next.Why = strings.Join(w.said, "; ")
		out.Next = next
	}
	return out
}

// age adds to all times what has passed since the state was written, as far as was seen.
func (s *State) age(passed float64) {
	for thing, p := range s.Permits {
		p.OutMs += passed
		if p.Stage == Returning {
			p.BackMs += passed
		}
		s.Permits[thing] = p
	}
	if s.Over {
		s.OverMs += passed
	}
	for thing, l := range s.Leaving {
		l.WaitMs += passed
		s.Leaving[thing] = l
	}
	if r := s.Release; r != nil && r.Paused {
		r.PauseMs += passed
	}
	if s.Room != nil && s.Room.Rising {
		r := *s.Room
		r.RiseMs += passed
		s.Room = &r
	}
}

// work is one step of a decider.
type work struct {
	*State
	v      View
	m      Model
	f      facts
	broken Fault
	me     string
	said   []string        // what has changed
	waits  map[string]bool // who has its turn and waits for copies

	whole   *stock // these are counted when they are first asked for
	away    *gone
	follows *int64
}

func (w *work) say(format string, args ...any) { w.said = append(w.said, fmt.Sprintf(format, args...)) }

// routers keeps who is known: a router that was ever registered is counted with until it is declared gone.
func (w *work) routers() {
	for _, name := range slices.Sorted(maps.Keys(w.v.Routers)) {
		r := w.v.Routers[name]
		if !r.Live {
			continue
		}
		report := w.f.reported[name]
		one := Known{Boot: r.Boot, Label: r.Label, Site: w.Known[name].Site, Hosts: w.Known[name].Hosts}
		if report.Boot == r.Boot {
			one.Hosts = report.Hosts
		}
		if w.Known[name] != one {
			w.Known[name] = one
			w.say("router %s runs as %s, label %q", name, one.Boot, one.Label)
		}
	}
}

// losses agrees on what is out without a permit.
func (w *work) losses() {
	lost := map[string]Loss{}
	for id, s := range w.f.servers {
		thing, one := ID(Server, id), Loss{Site: s.Site, Role: s.Role}
		switch {
		case w.v.LostSites[s.Site]:
			one.Why = "lost site"
		case s.drains:
			one.Why = "drained"
		case s.silent || w.Lost[thing].Why == "silent" && !s.answers:
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
		if _, out := w.Permits[thing]; !out && !w.v.Routers[name].Live {
			lost[thing] = Loss{Why: "ended", Site: k.Site}
		}
	}
	for _, thing := range slices.Sorted(maps.Keys(lost)) {
		if was, is := w.Lost[thing]; !is || was.Why != lost[thing].Why {
			w.say("%s is lost: %s", thing, lost[thing].Why)
		}
	}
	for _, thing := range slices.Sorted(maps.Keys(w.Lost)) {
		if _, is := lost[thing]; !is {
			if _, out := w.Permits[thing]; !out {
				w.say("%s is seen back", thing)
			}
		}
	}
	w.Lost = lost
}

// live is how many routers are registered: less than half of them decide nothing.
func (w *work) live() (n int) {
	for _, r := range w.v.Routers {
		if r.Live {
			n++
		}
	}
	return n
}

// told tells whether every router that is alive follows a state from a number on.
func (w *work) told(seq int64) bool { return w.least() >= seq }

// permits moves permits on by what is seen of their things.
func (w *work) permits() {
	for _, thing := range slices.Sorted(maps.Keys(w.Permits)) {
		p, was := w.Permits[thing], w.Permits[thing].Stage
		kind, name := Split(thing)
		boot, label, answers, there := "", "", false, false
		if kind == Server {
			var s fact
			if s, there = w.f.servers[name]; there {
				boot, label, answers = s.Boot, s.Label, s.answers && !s.silent && s.agreed
			}
		} else {
			r, report := w.v.Routers[name], w.f.reported[name]
			if there = r.Live; there {
				boot, label, answers = r.Boot, r.Label, slices.Contains(w.f.names, name) && report.Boot == r.Boot
			}
		}
		switch p.Stage {
		case Given:
			empty := kind != Router || w.f.reported[name].Empty == p.ID || !w.v.Routers[name].Live
			if w.told(p.Seq) && empty || w.broken == StopsEarly {
				p.Stage = Clear
			}
		}
		back := there && answers && (boot != p.Boot || p.Serve)
		switch {
		case p.Stage == Clear && back:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Given && p.Serve && back:
			p.Stage, p.BackMs = Returning, 0
		case p.Stage == Returning && !back: // routers send to it by now: they are told anew
			p.Stage, p.Seq = Given, w.Seq
		}
		w.Permits[thing] = p
		if p.Stage != was {
			w.say("%s is %s (permit %d)", thing, p.Stage, p.ID)
		}
		warm := w.m.WarmMs
		if p.Serve && boot == p.Boot { // it never stopped
			warm = 0
		}
		if p.Stage == Returning && p.BackMs >= warm {
			end := "back"
			if p.Serve && boot == p.Boot {
				end = "served"
			}
			w.ended(thing, end, label)
			w.say("%s is back with label %q, its permit %d has ended", thing, label, p.ID)
			w.came(thing, label)
		} else if w.broken == FreesLapsed && p.Stage == Clear && p.OutMs > w.m.LostMs {
			w.ended(thing, "back", label)
			w.say("%s: its permit lapsed", thing)
			w.came(thing, p.To)
		}
	}
}

// count counts what is out against the budget.
func (w *work) count() {
	b := Budget{Servers: len(w.f.servers), Routers: len(w.Known)}
	b.ServersMost, b.RoutersMost = limit(w.bound(w.m), b.Servers), limit(w.m.Routers, b.Routers)
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
				b.ServersGiven++
			}
		} else {
			b.RoutersOut++
		}
	}
	b.ServersOut += b.ServersLost
	b.RoutersOut += b.RoutersLost
	w.Budget = b
	over := b.ServersMost > 0 && b.ServersLost >= b.ServersMost || b.RoutersMost > 0 && b.RoutersLost >= b.RoutersMost
	if over != w.Over {
		w.Over, w.OverMs = over, 0
		if over {
			w.say("losses alone use up the budget")
		} else {
			w.say("losses leave room in the budget again")
		}
	}
}

// counted tells whether what was counted differs in what is worth writing by itself.
func (w *work) counted(was Budget) bool {
	return was.ServersOut != w.Budget.ServersOut || was.RoutersOut != w.Budget.RoutersOut || was.ServersMost != w.Budget.ServersMost || was.RoutersMost != w.Budget.RoutersMost
}

// room tells why one more thing may not be taken out; "": it may.
func (w *work) room(thing, site, role string) string {
	kind, _ := Split(thing)
	extra := 0
	if l, lost := w.Lost[thing]; lost { // it counts already, and a permit for it changes nothing but who brings it back
		if l.Why == "lost site" {
			return "its site is lost"
		}
		extra = 1
	}
	if w.broken == TwoOwners {
		extra++
	}
	away := w.gone()
	if kind == Router {
		switch {
		case w.Budget.RoutersMost == 0:
			return "the policy lets no router out"
		case away.routers >= w.Budget.RoutersMost+extra:
			return fmt.Sprintf("%d of %d routers are out, %d may be", away.routers, w.Budget.Routers, w.Budget.RoutersMost)
		}
		if w.Known[name(thing)].Hosts && w.f.behind != "" {
			return w.f.behind
		}
		return ""
	}
	if w.whole == nil {
		w.whole = w.f.stock()
	}
	for _, b := range [...]struct {
		what, of string
		bound    float64
		all, out int
		is       func(k Kind, s, r string) bool
	}{
		{"servers", "", w.bound(w.m), w.Budget.Servers, away.servers, func(k Kind, _, _ string) bool { return k == Server }},
		{"servers of site ", site, w.m.WorkersSite, w.whole.site[site], away.site[site], func(k Kind, s, _ string) bool { return k == Server && s == site }},
		{"servers of role ", role, w.m.WorkersRole, w.whole.role[role], away.role[role], func(k Kind, _, r string) bool { return k == Server && r == role }},
	} {
		if out, most := b.out+w.leaving(thing, b.is), limit(b.bound, b.all); out >= most+extra {
			return fmt.Sprintf("%d of %d %s are out, %d may be", out, b.all, b.what+b.of, most)
		}
	}
	all, left := w.whole.weight, w.whole.weight-away.weight-w.keeping(thing)
	_, out := w.Permits[thing]
	if _, lost := w.Lost[thing]; !out && !lost {
		left -= w.f.servers[name(thing)].Weight
	}
	for _, k := range w.m.Classes {
		if left < k.Part*all {
			return fmt.Sprintf("class %s would have %.0f%% of the servers' weight, %.0f%% must stay", k.Name, 100*left/all, 100*k.Part)
		}
	}
	return ""
}

func name(thing string) string { _, n := Split(thing); return n }
