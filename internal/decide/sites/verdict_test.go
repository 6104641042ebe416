package sites

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// simulation drives several deciders with the reports of a fleet. All act every 250 ms.
type simulation struct {
	m        Model
	now      time.Duration
	rev      int64
	last     *Decision
	deciders []*Decider
	orders   map[string]Orders
	written  int
}

func newSimulation(n int) *simulation {
	d := &simulation{m: threeSites(), now: second, orders: map[string]Orders{}}
	for i := range n {
		d.deciders = append(d.deciders, &Decider{Router: string(rune('a' + i))})
	}
	return d
}

// step advances the time. observe returns what a router at one site observes of another, and whether the router reports
// at all.
func (d *simulation) step(observe func(from, to string) (seen Observation, reports bool)) {
	d.now += 250 * time.Millisecond
	d.rev++
	var reports []Report
	for i, decider := range d.deciders {
		r := Report{Router: decider.Router, Site: d.m.Sites[i%3].Name, Observations: map[string]Observation{}, Offered: map[string]float64{"query": 30, "filing": 20}, Rev: d.rev}
		reporting := true
		for _, s := range d.m.Sites {
			seen, reported := observe(r.Site, s.Name)
			r.Observations[s.Name], reporting = seen, reporting && reported
		}
		if reporting {
			reports = append(reports, r)
		}
	}
	for _, decider := range d.deciders {
		if next := decider.Next(View{Model: d.m, Version: 1, Last: d.last, Orders: d.orders, Reports: reports}, d.now); next != nil {
			d.rev++
			next.Rev = d.rev
			d.last = next
			d.written++
		}
	}
}

func (d *simulation) state(site string) Verdict {
	if d.last == nil {
		return Verdict{}
	}
	return d.last.Sites[site]
}

var (
	healthy     = Observation{Attempts: 4, Answered: 4, InTime: 20, Ready: 2}
	unreachable = Observation{Attempts: 4}
)

func allHealthy(from, to string) (Observation, bool) { return healthy, true }

// runUntil steps until a site is in a state and returns the time it took.
func (d *simulation) runUntil(t *testing.T, site string, want State, observe func(from, to string) (Observation, bool)) time.Duration {
	t.Helper()
	start := d.now
	for d.state(site).State != want {
		if d.step(observe); d.now-start > 120*second {
			t.Fatalf("site %s is %+v, never %s", site, d.state(site), want)
		}
	}
	return d.now - start
}

// The kind of a loss follows from which routers reach which servers. A site that some other routers reach keeps its
// traffic.
func TestLossKinds(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(from, to string) (Observation, bool)
		state   State
		kind    Kind
	}{
		{"all healthy", allHealthy, Up, None},
		{"servers", func(_, to string) (Observation, bool) {
			if to == "a" {
				return unreachable, true
			}
			return healthy, true
		}, Lost, ServersDown},
		{"whole", func(from, to string) (Observation, bool) {
			if to == "a" {
				return unreachable, from != "a"
			}
			return healthy, from != "a"
		}, Lost, SiteDown},
		{"routers", func(from, _ string) (Observation, bool) { return healthy, from != "a" }, Up, RoutersDown},
		{"cut off", func(from, to string) (Observation, bool) {
			if (from == "a") != (to == "a") {
				return unreachable, true
			}
			return healthy, true
		}, Lost, CutOff},
		{"half cut", func(from, to string) (Observation, bool) {
			if from == "b" && to == "a" {
				return unreachable, true
			}
			return healthy, true
		}, Up, PartlyReachable},
	} {
		d := newSimulation(6)
		for range 40 {
			d.step(c.observe)
		}
		if v := d.state("a"); v.State != c.state || v.Kind != c.kind {
			t.Errorf("%s: %+v, want %s %s", c.name, v, c.state, c.kind)
		}
		if v := d.state("c"); v.State != Up {
			t.Errorf("%s: site c is %+v", c.name, v)
		}
		share := d.last.Shares["query"]["b"]["a"]
		if c.state == Lost && (share != 0 || len(d.last.Shares) == 0) {
			t.Errorf("%s: routers of b send a share of %v of their queries to a", c.name, share)
		}
		if c.kind == CutOff && d.last.Shares["query"]["a"]["a"] != 1 {
			t.Errorf("%s: its own routers distribute queries as %v", c.name, d.last.Shares["query"]["a"])
		}
	}
}

// A loss is agreed on soon after LostAfterMs. A return waits for BackAfterMs, is paced, and brings filings back last.
// Each further loss makes the next return wait longer.
func TestLossAndReturn(t *testing.T) {
	d := newSimulation(6)
	for range 8 {
		d.step(allHealthy)
	}
	siteDown := func(from, to string) (Observation, bool) {
		if to == "a" {
			return unreachable, from != "a"
		}
		return healthy, from != "a"
	}
	if took := d.runUntil(t, "a", Lost, siteDown); took < second || took > 3*second {
		t.Errorf("lost after %v", took)
	}
	var waits []time.Duration
	for range 3 {
		waits = append(waits, d.runUntil(t, "a", Returning, allHealthy))
		ramps := []float64{d.state("a").Ramp}
		start, filings := d.now, time.Duration(0)
		for d.state("a").State == Returning {
			d.step(allHealthy)
			ramps = append(ramps, d.state("a").Ramp)
			if filings == 0 && d.last.Shares["filing"]["a"]["a"] > 0 {
				filings = d.now - start
			}
		}
		if took := d.now - start; ramps[0] > 0.25 || took < 5*second || took > 9*second {
			t.Errorf("the site returned in %v, starting at a share of %v", took, ramps[0])
		}
		if filings < 2*second {
			t.Errorf("filings returned after %v, too early", filings)
		}
		d.runUntil(t, "a", Lost, siteDown)
	}
	if waits[1] < waits[0]*3/2 || waits[2] < waits[1]*3/2 {
		t.Errorf("waits for return of a flapping site: %v", waits)
	}
	if d.written > int(d.now/(100*time.Millisecond)) {
		t.Errorf("%d decisions written in %v", d.written, d.now)
	}
}

// Failures at a returning site reduce its share. An operator's orders apply at once.
func TestReturnStepsBackAndOrders(t *testing.T) {
	d := newSimulation(6)
	d.orders["a"] = Orders{Lose: true}
	d.runUntil(t, "a", Lost, allHealthy)
	d.orders["a"] = Orders{Pace: 0.4}
	d.runUntil(t, "a", Returning, allHealthy)
	for range 60 {
		d.step(allHealthy)
	}
	if v := d.state("a"); v.State != Returning || v.Ramp > 0.4 || v.Ramp < 0.35 {
		t.Errorf("paced at 0.4: %+v", v)
	}
	before := d.state("a").Ramp
	delete(d.orders, "a")
	for range 4 {
		d.step(func(_, to string) (Observation, bool) {
			if to == "a" {
				return Observation{Attempts: 4, Answered: 4, InTime: 10, Late: 10}, true
			}
			return healthy, true
		})
	}
	if v := d.state("a"); v.Ramp >= before {
		t.Errorf("half of the requests are late, and the verdict is %v after a share of %v", v.Ramp, before)
	}
	d.runUntil(t, "a", Up, allHealthy)
}

// With any observations and any set of reporting routers: a site that other routers reach is never lost, no loss is
// declared before LostAfterMs (half of it for a returning site), a returning site never exceeds its pace, and equal
// runs end alike.
func TestVerdictModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := func(patterns []int) []Verdict {
			d := newSimulation(3)
			var out []Verdict
			deadSince, alive := time.Duration(-1), 0
			back := d.now
			for _, pattern := range patterns {
				observe := func(from, to string) (Observation, bool) {
					if to == "a" && from != "a" && pattern&1 != 0 && (from == "b" || pattern&2 != 0) {
						return unreachable, pattern&4 == 0 || from != "a"
					}
					return healthy, pattern&4 == 0 || from != "a"
				}
				for range 4 {
					d.step(observe)
					allMiss := pattern&3 == 3
					if !allMiss {
						deadSince = -1
						alive++
					} else if deadSince < 0 {
						deadSince, alive = d.now, 0
					}
					v := d.state("a")
					if n := len(out); n > 0 && v.State == Lost && out[n-1].State != Lost {
						minMs := d.m.WithDefaults().LostAfterMs
						if out[n-1].State == Returning {
							minMs /= 2
						}
						if deadSince < 0 || ms(d.now-deadSince) < minMs-1 {
							t.Fatalf("lost at %v, dead since %v", d.now, deadSince)
						}
					}
					if v.State == Lost {
						back = d.now
					}
					if v.State == Returning {
						if limit := 0.2 + 0.8*ms(d.now-back)/6000 + 0.05; v.Ramp > limit {
							t.Fatalf("%v after its loss the site has a share of %v, limit %v", d.now-back, v.Ramp, limit)
						}
					}
					if v.State == Lost && d.last.Shares["query"]["b"]["a"] > 0 {
						t.Fatal("a lost site gets load")
					}
					out = append(out, v)
				}
			}
			return out
		}
		patterns := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 8).Draw(t, "seconds")
		if a, b := run(patterns), run(patterns); !reflect.DeepEqual(a, b) {
			t.Fatal("equal runs end differently")
		}
	})
}

// The model detects a decider that gives a returning site its full share at once, and one that refuses the class of the
// highest worth.
func TestInjectedFaultsAreFound(t *testing.T) {
	d := newSimulation(6)
	for _, decider := range d.deciders {
		decider.Fault = NoPace
	}
	d.orders["a"] = Orders{Lose: true}
	d.runUntil(t, "a", Lost, allHealthy)
	delete(d.orders, "a")
	jumped := false
	for range 40 {
		before := d.state("a")
		if d.step(allHealthy); before.State == Lost && d.state("a").Ramp == 1 {
			jumped = true
		}
	}
	if !jumped {
		t.Error("no-pace is not detected")
	}
	correct, reversed := newSimulation(6), newSimulation(6)
	for _, decider := range reversed.deciders {
		decider.Fault = Reversed
	}
	for _, d := range []*simulation{correct, reversed} {
		for i := range d.m.Sites {
			d.m.Sites[i].Capacity = 40
		}
		for range 20 {
			d.step(allHealthy)
		}
	}
	admitted := func(d *simulation, class string) float64 { return d.last.Admitted(class, "b") }
	if admitted(correct, "query") < admitted(correct, "filing") || admitted(reversed, "query") >= admitted(reversed, "filing") {
		t.Errorf("right: %v, reversed: %v", correct.last.Admit, reversed.last.Admit)
	}
}
