package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/world/reuse"
)

// Policy is a way to release a version to all servers.
type Policy string

// The policies. The scripts know of no budget: they take so many servers at a time as the budget has, wait until these are back,
// for return_ms at most, and go on.
const (
	Decided Policy = "decider, least kept first"
	Chance  Policy = "decider, order by chance"
	Rolling Policy = "decider, one wave after the canary" // the budget alone bounds what is out
	Waves   Policy = "waves by a fixed count, by name"
	Spread  Policy = "waves by a fixed count, by chance"
)

// Policies are all of them.
var Policies = []Policy{Decided, Chance, Rolling, Waves, Spread}

// Release are the settings of a release to a whole fleet, with racks and servers lost meanwhile.
func Release(seed uint64, size Size, p Policy, peak float64) Settings {
	return Settings{Size: size, Seed: seed, Policy: p, Peak: peak, Racks: 2, Crashes: 8}
}

// Incidents are those of a day of incidents: racks, crashes, a lost region, drains by hand, restarts of routers, a bad version that
// is released in the morning and, once that was taken back, a good one.
func Incidents(seed uint64, size Size) Settings {
	return Settings{Size: size, Seed: seed, Policy: Decided, Peak: 0.9, For: 24 * time.Hour, Racks: 5, Crashes: 70, Drains: 40, Sites: 1, Restarts: 30, Bad: true}
}

// draw draws what befalls the fleet; it is the same whatever the policy.
func (w *world) draw() {
	set, rng := w.set, rand.New(rand.NewPCG(w.set.Seed, 42))
	over := cmp.Or(set.For, 2*time.Hour)
	some := func(n int, do func(k int) func(w *world)) {
		for range n {
			w.events = append(w.events, event{5*time.Minute + time.Duration(rng.Int64N(int64(over-5*time.Minute))), do(rng.IntN(1 << 30))})
		}
	}
	some(set.Crashes, func(k int) func(*world) { return func(w *world) { w.crash(k % set.Servers) } })
	some(set.Racks, func(k int) func(*world) {
		return func(w *world) {
			for i := range 10 {
				w.crash((k + i*set.Regions) % set.Servers)
			}
		}
	})
	some(set.Drains, func(k int) func(*world) {
		return func(w *world) {
			if next, _ := w.state.Drain(outage.ID(outage.Server, set.server(k%set.Servers)), "operator"); next != nil {
				w.write(next)
			}
		}
	})
	some(set.Restarts, func(k int) func(*world) {
		return func(w *world) {
			i := k % set.Routers
			delete(w.routers, set.router(i))
			w.dirty = true
			w.at(w.now+30*time.Second, func(w *world) {
				w.boots[i]++
				boot := fmt.Sprint(w.boots[i])
				w.routers[set.router(i)] = outage.Registration{Boot: boot, Label: "v7", Live: true}
				w.reports[i].Boot, w.reports[i].Release, w.reports[i].Counts = boot, "", outage.Counts{}
				w.dirty = true
			})
		}
	})
	some(set.Sites, func(k int) func(*world) {
		return func(w *world) {
			r := k % set.Regions
			for i := r; i < set.Servers; i += set.Regions {
				w.crash(i)
			}
			w.at(w.now+10*time.Second, func(w *world) { w.lost[r], w.dirty = true, true })
			w.at(w.now+20*time.Minute, func(w *world) { delete(w.lost, r); w.dirty = true })
		}
	})
	first := time.Minute
	if set.For != 0 {
		first = 8 * time.Hour
	}
	w.events = append(w.events, event{first, func(w *world) { w.begin() }})
	slices.SortStableFunc(w.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}

// at has something happen later.
func (w *world) at(at time.Duration, do func(*world)) {
	i, _ := slices.BinarySearchFunc(w.events, at, func(e event, t time.Duration) int { return cmp.Compare(e.at, t) })
	w.events = slices.Insert(w.events, max(i, 1), event{at, do}) // the first is the one that happens now
}

// crash has a server end by itself; it comes back as what it was, or as what it was to be.
func (w *world) crash(i int) {
	s := &w.servers[i]
	if !s.up {
		return
	}
	label := s.label
	if s.stopAt != 0 {
		label = s.next
	}
	w.kill(i)
	w.restart(i, label)
}

// begin begins the release, or its script.
func (w *world) begin() {
	if w.set.Policy == Waves || w.set.Policy == Spread {
		w.begun, w.fixed = w.now, newFixed(w)
		return
	}
	v := w.view()
	v.CachedTokens = map[string]float64{}
	chance := rand.New(rand.NewPCG(w.set.Seed, 43))
	for i := range w.servers {
		if v.CachedTokens[w.servers[i].name] = math.Exp(w.servers[i].kept); w.set.Policy == Chance {
			v.CachedTokens[w.servers[i].name] = chance.Float64()
		}
	}
	to := good
	if w.set.Bad {
		to, w.set.Bad = bad, false
	} else {
		w.begun = w.now
	}
	waves := []float64{1, w.model.Workers}
	if w.set.Policy == Rolling {
		waves[1] = float64(w.set.Servers)
	}
	next, err := v.Start(outage.Spec{Name: "to-" + to, Kind: outage.Server, To: to, Waves: waves}, "operator")
	if err != nil {
		w.at(w.now+10*time.Minute, func(w *world) { w.begin() })
		return
	}
	w.write(next)
}

// deploy does what an operator's deployer does: what is clear is stopped, once what it had has ended, and started with the label
// that its permit names. Halted releases are resumed after a while, bad ones taken back, and then the good one begins.
func (w *world) deploy() {
	for i := range w.servers {
		if s := &w.servers[i]; s.away && w.fixed == nil {
			if p, out := w.state.Permits[outage.ID(outage.Server, s.name)]; !out || p.Stage == outage.Returning {
				w.turn(i, s.up, false)
			}
		}
	}
	for thing, p := range w.state.Permits {
		kind, name := outage.Split(thing)
		i, is := w.byName[name]
		if kind != outage.Server || !is || p.Stage == outage.Returning {
			continue
		}
		s := &w.servers[i]
		w.take(i)
		if p.Stage != outage.Acknowledged || w.acted[p.ID] {
			continue
		}
		w.acted[p.ID] = true
		w.day.Permits++
		if s.next = cmp.Or(p.To, s.label); s.up && fmt.Sprint(s.boot) == p.Boot {
			s.stopAt = w.now + grace
		}
	}
	r := w.state.Release
	switch {
	case r == nil:
	case r.Phase == outage.Halted && w.halted == 0:
		w.halted = w.now
		w.day.Halts++
	case r.Phase == outage.Halted && w.now-w.halted >= resumes:
		w.day.Halted += (w.now - w.halted).Seconds()
		next, err := w.view().Resume("operator")
		if r.To == bad {
			next, err = w.state.RollBack("operator")
		}
		if w.halted = 0; err == nil && next != nil {
			w.write(next)
		}
	case r.Phase == outage.RolledBack && w.begun == 0 && w.halted == 0:
		w.halted = w.now
		w.at(w.now+10*time.Minute, func(w *world) { w.halted = 0; w.begin() })
	case r.Phase == outage.Done && !w.ended && r.To == good:
		w.end()
	}
}

func (w *world) end() {
	w.ended, w.day.Took = true, (w.now - w.begun).Seconds()
}

// fixed is a script: waves of a count that does not change.
type fixed struct {
	order []int
	wave  []int
	since time.Duration
}

func newFixed(w *world) *fixed {
	f := &fixed{}
	for i := range w.servers {
		f.order = append(f.order, i)
	}
	slices.SortFunc(f.order, func(a, b int) int { return cmp.Compare(w.servers[a].name, w.servers[b].name) })
	if w.set.Policy == Spread {
		rng := rand.New(rand.NewPCG(w.set.Seed, 43))
		rng.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	}
	return f
}

func (f *fixed) step(w *world) {
	if w.ended {
		return
	}
	wait := time.Duration(w.model.ReturnMs) * time.Millisecond
	if slices.ContainsFunc(f.wave, func(i int) bool { return w.servers[i].label != good || !w.servers[i].up }) && w.now-f.since < wait+grace {
		return
	}
	if w.now-f.since < time.Duration(w.model.PauseMs)*time.Millisecond {
		return
	}
	for _, i := range f.wave {
		w.turn(i, w.servers[i].up, false)
	}
	n := min(int(w.model.Workers*float64(len(w.servers))), len(f.order))
	if f.wave, f.order, f.since = f.order[:n], f.order[n:], w.now; n == 0 {
		w.end()
		return
	}
	for _, i := range f.wave {
		s := &w.servers[i]
		w.take(i)
		if s.next = good; s.up {
			s.stopAt = w.now + grace
		}
	}
}

// Run runs a day.
func Run(set Settings) Day {
	from := time.Now()
	w := newWorld(set)
	follows := int64(0)
	most := cmp.Or(set.For, 12*time.Hour)
	for w.now < most && (set.For != 0 || !w.ended) {
		w.now += Tick
		r := w.state.Release
		idle := !w.dirty && len(w.state.Permits) == 0 && len(w.state.PermitRequests) == 0 && !w.state.OverBudget && (r == nil || r.Phase.Finished() || r.Phase == outage.Halted)
		if w.serve(); !idle {
			w.decide()
		}
		if w.fixed != nil {
			w.fixed.step(w)
		} else {
			w.deploy()
		}
		w.pass()
		if follows != w.state.Seq || w.seen != follows { // what is written now is in the reports that are gathered with the next record
			w.dirty = true
		}
		w.seen, follows = follows, w.state.Seq
		for i := range w.reports {
			w.reports[i].StateSeq = w.seen
		}
	}
	for i := range w.servers {
		if w.servers[i].label != good {
			w.day.Left++
		}
	}
	w.day.Worth, w.day.Refused = w.day.Worth/max(w.arrived, 1), w.day.Refused/max(w.arrived, 1)
	w.day.Bytes /= max(float64((w.day.States+measured-1)/measured), 1)
	w.day.Faults, w.day.Machine = w.audit.Faults, time.Since(from).Seconds()
	return w.day
}

// Row is what came of a policy over seeds.
type Row struct {
	Policy  Policy         `json:"policy"`
	Peak    float64        `json:"peak"`
	Minutes reuse.Interval `json:"minutes"`
	Worth   reuse.Interval `json:"worth_lost"` // as a part of what arrived
	Kept    reuse.Interval `json:"kept_lost"`  // millions of prompt tokens
	Saved   reuse.Interval `json:"kept_less"`  // paired with an order by chance: the part of what that loses which is not lost
	Most    reuse.Interval `json:"most_out"`
	Site    reuse.Interval `json:"most_out_of_a_region"`
	Beyond  reuse.Interval `json:"stopped_beyond_the_budget"`
	Halts   reuse.Interval `json:"halts"`
	Halted  reuse.Interval `json:"halted_minutes"`
	Left    reuse.Interval `json:"without_the_label"`
	Days    []Day          `json:"days"`
}

// Measure runs releases of seeds that follow one another under each policy; done is told of each, from one goroutine at a time.
func Measure(ctx context.Context, size Size, from uint64, seeds int, peak float64, policies []Policy, done func(Settings, Day)) ([]Row, error) {
	days := make([][]Day, len(policies))
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for k, p := range policies {
		days[k] = make([]Day, seeds)
		for i := range seeds {
			places <- struct{}{}
			if err := ctx.Err(); err != nil {
				all.Wait()
				return nil, err
			}
			all.Go(func() {
				defer func() { <-places }()
				set := Release(from+uint64(i), size, p, peak)
				day := Run(set)
				mu.Lock()
				defer mu.Unlock()
				days[k][i] = day
				done(set, day)
			})
		}
	}
	all.Wait()
	chance := slices.Index(policies, Chance)
	var rows []Row
	for k, p := range policies {
		of := func(f func(i int, d Day) float64) reuse.Interval {
			var v []float64
			for i, d := range days[k] {
				v = append(v, f(i, d))
			}
			return reuse.Over(v)
		}
		rows = append(rows, Row{Policy: p, Peak: peak, Days: days[k],
			Minutes: of(func(_ int, d Day) float64 { return d.Took / 60 }), Worth: of(func(_ int, d Day) float64 { return d.Worth }),
			Kept: of(func(_ int, d Day) float64 { return d.Kept }), Saved: of(func(i int, d Day) float64 {
				if chance < 0 {
					return 0
				}
				return 1 - d.Kept/days[chance][i].Kept
			}),
			Most: of(func(_ int, d Day) float64 { return float64(d.Most) }), Site: of(func(_ int, d Day) float64 { return float64(d.Site) }),
			Beyond: of(func(_ int, d Day) float64 { return float64(d.Beyond) }), Halts: of(func(_ int, d Day) float64 { return float64(d.Halts) }), Halted: of(func(_ int, d Day) float64 { return d.Halted / 60 }), Left: of(func(_ int, d Day) float64 { return float64(d.Left) })})
	}
	return rows, nil
}
