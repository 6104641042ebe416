package rollout

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/standin"
)

// world is a store, a few routers and drivers that each know of it only what they last read, and a clock. It holds
// no rule of its own but the promise: no request is taken under a version older than one that another was taken
// under before, nor under one that is not committed.
type world struct {
	broken       string
	draw         func(n int) int
	now          time.Duration
	views        []View // by revision
	renewed      map[string]time.Duration
	routers      []*router
	drivers      []*Driver
	driverSeen   []int
	newestServed int64 // version that a request was taken under
	serial       int
}

type router struct {
	name, boot string
	seen       int
	rev        int64 // of its registration
	keep       bool
	mode       Mode
	version    int64
	until      time.Duration // of its lease as it counts it
	ack        *Ack          // on its way
	renewal    time.Duration // when the one under way was asked for; 0: none
	answered   bool          // the store has taken it
}

const ttl = 40 * time.Millisecond

func newWorld(broken string, draw func(int) int) *world {
	w := &world{broken: broken, draw: draw, now: 1, renewed: map[string]time.Duration{},
		views: []View{{Current: &Version{Version: 1}, Routers: map[string]Router{}, Acks: map[string]Ack{}}}}
	for i, name := range []string{"a", "b", "c"} {
		w.routers = append(w.routers, &router{name: name, keep: i == 2})
		w.drivers, w.driverSeen = append(w.drivers, &Driver{Router: name}), append(w.driverSeen, 0)
	}
	return w
}

func (w *world) latest() View { return w.views[len(w.views)-1] }

// write makes the next revision.
func (w *world) write(change func(*View)) {
	v := w.latest()
	v.Routers, v.Acks = maps.Clone(v.Routers), maps.Clone(v.Acks)
	v.Revision++
	change(&v)
	w.views = append(w.views, v)
}

// supports refuses the policies whose text says so to one router.
func (r *router) supports(text string) error {
	if text == "not "+r.name {
		return errors.New("no")
	}
	return nil
}

// revisionFrom draws a revision that is not older than one.
func (w *world) revisionFrom(than int) int { return than + w.draw(len(w.views)-than) }

func (w *world) step() error {
	i := w.draw(len(w.routers))
	r := w.routers[i]
	switch w.draw(13) {
	case 0, 1:
		w.now += time.Duration(1+w.draw(25)) * time.Millisecond
	case 2: // a lease that is over is ended, some time
		v := w.latest()
		if reg, registered := v.Routers[r.name]; registered && reg.OnLapse == Refuse && w.now-w.renewed[r.name] > ttl {
			w.write(func(v *View) { delete(v.Routers, r.name) })
		}
	case 3: // the process dies and starts again; what it kept tells it no more than that it is another boot
		if w.draw(4) == 0 {
			w.serial++
			*r = router{name: r.name, boot: fmt.Sprint(w.serial), keep: r.keep, seen: r.seen}
		}
	case 4:
		w.register(r)
	case 5, 6:
		if reg, registered := w.latest().Routers[r.name]; r.seen > 0 && (!registered || reg.Boot != r.boot) {
			break // its next view shows it; until then its lease rules
		}
		if r.seen > 0 {
			r.seen = w.revisionFrom(r.seen)
			w.apply(r, w.views[r.seen])
		}
	case 7:
		if r.ack != nil && w.latest().Routers[r.name].Rev == r.rev && r.rev > 0 {
			w.write(func(v *View) { v.Acks[r.name] = *r.ack })
		}
		r.ack = nil
	case 8: // a renewal is asked for, reaches the store, is answered; any of it may never happen
		switch {
		case r.renewal == 0:
			r.renewal, r.answered = w.now, false
		case !r.answered:
			if reg := w.latest().Routers[r.name]; reg.Boot == r.boot && reg.Rev == r.rev && r.rev > 0 {
				w.renewed[r.name], r.answered = w.now, true
			} else {
				r.renewal = 0
			}
		default:
			r.until, r.renewal = max(r.until, r.renewal+ttl), 0
		}
	case 9:
		w.serial++
		text := []string{"for all", "for all", "not a", "not c"}[w.draw(4)]
		if next, running := Propose(w.latest(), fmt.Sprint("change-", w.serial), text, "", "", "", Limits{StepBackMs: 20, WaitMs: 150}); running == nil {
			from := int64(0)
			if c := w.latest().Change; c != nil {
				from = c.Rev
			}
			w.move(next, from)
		}
	case 10, 11:
		w.driverSeen[i] = w.revisionFrom(w.driverSeen[i])
		v := w.views[w.driverSeen[i]]
		if c := v.Running(); w.broken == "no-round" && c != nil {
			v.Acks = maps.Clone(v.Acks)
			for name, a := range v.Acks {
				a.Round = c.Round
				v.Acks[name] = a
			}
		}
		if next, _ := w.drivers[i].Next(v, w.now); next != nil {
			w.move(next, v.Change.Rev)
		}
	case 12:
		return w.serveRequest(r)
	}
	return nil
}

// move is a compare on the change's record.
func (w *world) move(next *Change, from int64) {
	if c := w.latest().Change; c != nil && c.Rev != from {
		return
	}
	w.write(func(v *View) {
		c := *next
		c.Rev = v.Revision
		v.Change = &c
		if c.Phase == Committed {
			result := c.Result()
			v.Current = &result
		}
	})
}

func (w *world) register(r *router) {
	if r.boot == "" {
		w.serial++
		r.boot = fmt.Sprint(w.serial)
	}
	lapse := Refuse
	if r.keep {
		lapse = Keep
	}
	w.write(func(v *View) { v.Routers[r.name] = Router{Name: r.name, Boot: r.boot, OnLapse: lapse, Rev: v.Revision} })
	r.rev, w.renewed[r.name] = w.latest().Revision, w.now
	r.until, r.renewal = w.now+ttl, 0
	if r.keep {
		r.until = 1 << 62
	}
	if w.broken == "stale-start" {
		if r.seen == 0 {
			r.seen = w.revisionFrom(0)
		}
		r.mode, r.version = Serving, w.views[r.seen].Current.Version
		return
	}
	r.seen = len(w.views) - 1
	w.apply(r, w.latest())
}

func (w *world) apply(r *router, v View) {
	s, registered := Member{r.name, r.boot}.Directive(v, r.supports)
	if !registered {
		r.mode = Closed
		return
	}
	if w.broken == "no-hold" && s.Mode == Holding {
		s.Mode, s.Version = r.mode, &Version{Version: r.version}
	}
	if r.mode, r.ack = s.Mode, s.Ack; s.Mode == Serving {
		r.version = s.Version.Version
	}
}

func (w *world) serveRequest(r *router) error {
	if r.mode != Serving || (w.now >= r.until && w.broken != "no-lapse") {
		return nil
	}
	if current := w.latest().Current.Version; r.version > current {
		return fmt.Errorf("%s took a request under %d, %d is the last that was committed", r.name, r.version, current)
	}
	if r.version < w.newestServed {
		return fmt.Errorf("%s took a request under %d, after one had been taken under %d", r.name, r.version, w.newestServed)
	}
	w.newestServed = r.version
	return nil
}

// The promise against random steps: routers that lapse, restart, hear late and answer late, drivers that act on old
// views, policies that a router can't carry.
func TestVersionOrder(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld("", func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") })
		for range 400 {
			if err := w.step(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// The same steps find each rule that is broken on purpose; and without a break they commit and abort changes, else
// they would show nothing.
func TestVersionOrderFindsInjectedFaults(t *testing.T) {
	const runs, steps = 4000, 1500
	outcomes := map[Phase]int{}
	for _, broken := range []string{"", "no-hold", "no-lapse", "stale-start", "no-round"} {
		found := 0
		for seed := uint64(1); seed <= runs && found == 0; seed++ {
			r := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(broken, r.IntN)
			for range steps {
				if w.step() != nil {
					found = int(seed)
					break
				}
			}
			if broken == "" {
				for _, v := range w.views {
					if v.Change != nil && v.Change.Phase.Done() && v.Change.Rev == v.Revision {
						outcomes[v.Change.Phase]++
					}
				}
				if seed == 2000 {
					break
				}
			}
		}
		switch {
		case broken == "" && found > 0:
			t.Errorf("seed %d breaks the promise", found)
		case broken != "" && found == 0:
			t.Errorf("%s: not found in %d runs", broken, runs)
		default:
			t.Logf("%q: found in run %d", broken, found)
		}
	}
	if outcomes[Committed] < 100 || outcomes[Aborted] < 100 {
		t.Errorf("hardly anything happened: %v", outcomes)
	}
	t.Logf("outcomes: %v", outcomes)
}

// A driver's moves, one after the other.
func TestDriver(t *testing.T) {
	v := View{Current: &Version{Version: 4}, Routers: map[string]Router{"a": {Boot: "1"}, "b": {Boot: "1"}}, Acks: map[string]Ack{}}
	c, running := Propose(v, "x", "text", "who", "", "", Limits{StepBackMs: 300, WaitMs: 1000})
	if running != nil || c.Base != 4 || c.Phase != Checking {
		t.Fatalf("%+v, %+v", c, running)
	}
	rev := int64(0)
	set := func(next *Change) { rev++; next.Rev = rev; v.Change = next }
	set(c)
	if _, running := Propose(v, "y", "", "", "", "", Limits{}); running == nil {
		t.Error("a second change beside the first")
	}
	acknowledge := func(step Step, names ...string) {
		for _, n := range names {
			v.Acks[n] = Ack{Boot: "1", Change: "x", Round: v.Change.Round, Step: step}
		}
	}
	d := &Driver{} // no router: last in turn
	expectMove := func(now time.Duration, phase Phase, round int) {
		t.Helper()
		next, wake := d.Next(v, now)
		if next == nil && wake > now { // not its turn yet
			next, _ = d.Next(v, wake)
		}
		if next == nil || next.Phase != phase || next.Round != round {
			t.Fatalf("at %v: %+v, want %s, round %d", now, next, phase, round)
		}
		set(next)
	}
	if next, wake := d.Next(v, 0); next != nil || wake != time.Second {
		t.Errorf("nobody has answered: %+v, %v", next, wake)
	}
	acknowledge(Checked, "a", "b")
	expectMove(10*time.Millisecond, Preparing, 1)
	acknowledge(Prepared, "a")
	if next, wake := d.Next(v, 100*time.Millisecond); next != nil || wake != 400*time.Millisecond {
		t.Errorf("b has not prepared: %+v, %v", next, wake)
	}
	expectMove(400*time.Millisecond, Checking, 2)
	acknowledge(Checked, "a", "b")
	expectMove(500*time.Millisecond, Preparing, 2)
	v.Acks["b"] = Ack{Boot: "0", Change: "x", Round: 2, Step: Prepared} // of a boot before
	acknowledge(Prepared, "a")
	if next, _ := d.Next(v, 600*time.Millisecond); next != nil {
		t.Errorf("an earlier boot's word counts: %+v", next)
	}
	delete(v.Routers, "b") // its lease is over
	expectMove(700*time.Millisecond, Committed, 2)
	if result := v.Change.Result(); result.Version != 5 || result.Text != "text" {
		t.Errorf("%+v", result)
	}
	if next, wake := d.Next(v, 9*time.Second); next != nil || wake != 0 {
		t.Errorf("after the outcome: %+v, %v", next, wake)
	}
	// One that nobody answers is aborted, and names the router; one that a router can't carry as well.
	c, _ = Propose(v, "z", "text", "", "", "", Limits{StepBackMs: 300, WaitMs: 1000})
	set(c)
	d.Next(v, 10*time.Second)
	expectMove(11*time.Second, Aborted, 1)
	if v.Change.Router != "a" || v.Change.Reason == "" {
		t.Errorf("%+v", v.Change)
	}
	c, _ = Propose(v, "x", "text", "", "", "", Limits{StepBackMs: 300, WaitMs: 1000})
	set(c)
	v.Acks["a"] = Ack{Boot: "1", Change: "x", Round: 1, Step: Refused, Reason: "needs.zones"}
	expectMove(12*time.Second, Aborted, 1)
	if v.Change.Router != "a" || v.Change.Reason != "needs.zones" {
		t.Errorf("%+v", v.Change)
	}
}

// What a router does at a view, and what it says.
func TestDirective(t *testing.T) {
	member := Member{"a", "1"}
	for name, c := range map[string]struct {
		change      *Change
		boot        string
		mode        Mode
		step        Step
		unsupported string
	}{
		"no change":                        {boot: "1", mode: Serving, step: Applied},
		"not registered":                   {boot: "2", mode: Closed},
		"checking":                         {change: &Change{Phase: Checking}, boot: "1", mode: Serving, step: Checked},
		"checking what it can't carry":     {change: &Change{Phase: Checking, Text: "new"}, boot: "1", mode: Serving, step: Refused, unsupported: "new"},
		"preparing":                        {change: &Change{Phase: Preparing}, boot: "1", mode: Holding, step: Prepared},
		"preparing what it can't carry":    {change: &Change{Phase: Preparing, Text: "new"}, boot: "1", mode: Holding, step: Refused, unsupported: "new"},
		"committed":                        {change: &Change{Phase: Committed}, boot: "1", mode: Serving, step: Applied},
		"aborted":                          {change: &Change{Phase: Aborted}, boot: "1", mode: Serving, step: Applied},
		"can't carry the current version":  {boot: "1", mode: Closed, step: Refused, unsupported: "old"},
		"nor does it serve while checking": {change: &Change{Phase: Checking}, boot: "1", mode: Closed, step: Checked, unsupported: "old"},
	} {
		v := View{Current: &Version{Version: 3, Text: "old"}, Change: c.change, Routers: map[string]Router{"a": {Boot: c.boot}}}
		s, registered := member.Directive(v, func(text string) error {
			if c.unsupported != "" && text == c.unsupported {
				return errors.New("can't")
			}
			return nil
		})
		if registered != (c.boot == "1") || s.Mode != c.mode || (registered && (s.Ack == nil || s.Ack.Step != c.step)) {
			t.Errorf("%s: %+v %+v, registered %v", name, s, s.Ack, registered)
		}
		if s.Ack != nil { // said once
			v.Acks = map[string]Ack{"a": *s.Ack}
			if again, _ := member.Directive(v, func(string) error { return nil }); c.unsupported == "" && again.Ack != nil {
				t.Errorf("%s: said twice", name)
			}
		}
	}
}
