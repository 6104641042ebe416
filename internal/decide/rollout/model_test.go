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

// world models a store, three routers and their drivers, and a clock. Routers and drivers know only what they read
// last. It checks one rule: no request is served under a version older than one already served, nor under one that is
// not committed.
type world struct {
	broken       string
	draw         func(n int) int
	now          time.Duration
	views        []View // by revision
	renewed      map[string]time.Duration
	routers      []*router
	drivers      []*Driver
	driverSeen   []int
	newestServed int64 // newest version that a request was served under
	serial       int
}

type router struct {
	name, boot string
	seen       int
	rev        int64 // revision of its registration
	keep       bool
	mode       Mode
	version    int64
	until      time.Duration // end of its lease by its own clock
	ack        *Ack          // sent but not yet stored
	renewal    time.Duration // when the pending renewal was sent; 0: none
	answered   bool          // the store has accepted the renewal
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

// write appends a revision.
func (w *world) write(change func(*View)) {
	v := w.latest()
	v.Routers, v.Acks = maps.Clone(v.Routers), maps.Clone(v.Acks)
	v.Revision++
	change(&v)
	w.views = append(w.views, v)
}

// supports refuses policies whose text names this router.
func (r *router) supports(text string) error {
	if text == "not "+r.name {
		return errors.New("no")
	}
	return nil
}

// revisionFrom draws a revision that is not older than a given one.
func (w *world) revisionFrom(than int) int { return than + w.draw(len(w.views)-than) }

func (w *world) step() error {
	i := w.draw(len(w.routers))
	r := w.routers[i]
	switch w.draw(13) {
	case 0, 1:
		w.now += time.Duration(1+w.draw(25)) * time.Millisecond
	case 2: // the store ends an expired lease, at any later time
		v := w.latest()
		if reg, registered := v.Routers[r.name]; registered && reg.OnLapse == Refuse && w.now-w.renewed[r.name] > ttl {
			w.write(func(v *View) { delete(v.Routers, r.name) })
		}
	case 3: // the process restarts: all that it keeps is the revision it saw
		if w.draw(4) == 0 {
			w.serial++
			*r = router{name: r.name, boot: fmt.Sprint(w.serial), keep: r.keep, seen: r.seen}
		}
	case 4:
		w.register(r)
	case 5, 6:
		if reg, registered := w.latest().Routers[r.name]; r.seen > 0 && (!registered || reg.Boot != r.boot) {
			break // its next view shows that; until then its lease decides
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
	case 8: // a renewal is sent, stored, and acknowledged; each part may never happen
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

// move is a compare-and-swap on the change's record.
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
		return fmt.Errorf("%s served a request under version %d, the last committed is %d", r.name, r.version, current)
	}
	if r.version < w.newestServed {
		return fmt.Errorf("%s served a request under version %d, after one had been served under %d", r.name, r.version, w.newestServed)
	}
	w.newestServed = r.version
	return nil
}

// The rule holds under random steps: leases expire, routers restart, read and acknowledge late, drivers act on old
// views, and routers refuse policies.
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

// The same steps detect each injected fault. Without a fault they commit and abort enough changes to be meaningful.
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
			t.Errorf("seed %d breaks the version order", found)
		case broken != "" && found == 0:
			t.Errorf("%s: not found in %d runs", broken, runs)
		default:
			t.Logf("%q: found in run %d", broken, found)
		}
	}
	if outcomes[Committed] < 100 || outcomes[Aborted] < 100 {
		t.Errorf("too few outcomes: %v", outcomes)
	}
	t.Logf("outcomes: %v", outcomes)
}

// The moves of a driver through a change, step by step.
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
		t.Error("a second change was accepted beside the first")
	}
	acknowledge := func(step Step, names ...string) {
		for _, n := range names {
			v.Acks[n] = Ack{Boot: "1", Change: "x", Round: v.Change.Round, Step: step}
		}
	}
	d := &Driver{} // not a router: last in rank
	expectMove := func(now time.Duration, phase Phase, round int) {
		t.Helper()
		next, wake := d.Next(v, now)
		if next == nil && wake > now { // it is not this driver's turn yet
			next, _ = d.Next(v, wake)
		}
		if next == nil || next.Phase != phase || next.Round != round {
			t.Fatalf("at %v: %+v, want %s, round %d", now, next, phase, round)
		}
		set(next)
	}
	if next, wake := d.Next(v, 0); next != nil || wake != time.Second {
		t.Errorf("no router has answered: %+v, %v", next, wake)
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
	v.Acks["b"] = Ack{Boot: "0", Change: "x", Round: 2, Step: Prepared} // from an earlier boot
	acknowledge(Prepared, "a")
	if next, _ := d.Next(v, 600*time.Millisecond); next != nil {
		t.Errorf("an earlier boot's acknowledgement counts: %+v", next)
	}
	delete(v.Routers, "b") // its lease has expired
	expectMove(700*time.Millisecond, Committed, 2)
	if result := v.Change.Result(); result.Version != 5 || result.Text != "text" {
		t.Errorf("%+v", result)
	}
	if next, wake := d.Next(v, 9*time.Second); next != nil || wake != 0 {
		t.Errorf("after the outcome: %+v, %v", next, wake)
	}
	// A change without answers is aborted and names the router. So is one that a router refuses.
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

// The mode and the acknowledgement of a router at a view.
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
		"checking an unsupported version":  {change: &Change{Phase: Checking, Text: "new"}, boot: "1", mode: Serving, step: Refused, unsupported: "new"},
		"preparing":                        {change: &Change{Phase: Preparing}, boot: "1", mode: Holding, step: Prepared},
		"preparing an unsupported version": {change: &Change{Phase: Preparing, Text: "new"}, boot: "1", mode: Holding, step: Refused, unsupported: "new"},
		"committed":                        {change: &Change{Phase: Committed}, boot: "1", mode: Serving, step: Applied},
		"aborted":                          {change: &Change{Phase: Aborted}, boot: "1", mode: Serving, step: Applied},
		"current version unsupported":      {boot: "1", mode: Closed, step: Refused, unsupported: "old"},
		"the same while checking":          {change: &Change{Phase: Checking}, boot: "1", mode: Closed, step: Checked, unsupported: "old"},
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
		if s.Ack != nil { // acknowledged only once
			v.Acks = map[string]Ack{"a": *s.Ack}
			if again, _ := member.Directive(v, func(string) error { return nil }); c.unsupported == "" && again.Ack != nil {
				t.Errorf("%s: acknowledged twice", name)
			}
		}
	}
}
