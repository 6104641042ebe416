package outage_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
)

// fleet simulates a fleet in virtual time: servers, routers that report and decide, a store with one state, and a
// deployer that acts on permits.
type fleet struct {
	rng         *rand.Rand
	now         time.Duration
	model       outage.Model
	servers     map[string]*server
	routers     map[string]*router
	state       *outage.State
	rev         int64
	audit       outage.Auditor
	deployer    bool // the deployer is working
	badLabel    string
	counts      map[string]outage.Counts // by run
	failureRate float64                  // share of requests that the bad label fails
	maxDown     int                      // most servers that were down at once
	waits       outage.CopyWaits
	copies      bool             // routers take part in copies
	copiesDone  map[string]int64 // View.CopiesDone
	lostSites   map[string]bool  // lost sites
}

type server struct {
	site, label, boot string
	up                bool
	boots             int
	downAt            time.Duration
}

type router struct {
	label, boot   string
	up, stopped   bool
	boots         int
	lastReport    time.Duration // time of its last report
	stateSeq      int64
	drainedPermit int64
	decider       *outage.Decider
	rev           int64
}

func newFleet(seed uint64, m outage.Model, broken outage.Fault) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), model: m, servers: map[string]*server{}, routers: map[string]*router{}, deployer: true, counts: map[string]outage.Counts{}}
	f.audit.Model = func(int64) (outage.Model, bool) { return f.model, true }
	for i := range 9 {
		f.servers[fmt.Sprintf("s%d", i+1)] = &server{site: string(rune('a' + i/3)), label: "v1", boot: "1", up: true, boots: 1}
	}
	for i := range 6 {
		name := fmt.Sprintf("d%d", i+1)
		f.routers[name] = &router{label: "v1", boot: "1", up: true, boots: 1, decider: &outage.Decider{Router: name, Fault: broken}}
	}
	return f
}

func (f *fleet) view() outage.View {
	v := outage.View{Model: f.model, Version: 1, Last: f.state, Routers: map[string]outage.Registration{},
		LostSites: f.lostSites, CopiesDone: f.copiesDone}
	for name, r := range f.routers {
		live := r.up && f.now-r.lastReport < 3*time.Second || r.stopped && f.now-r.lastReport < 3*time.Second
		v.Routers[name] = outage.Registration{Boot: r.boot, Label: r.label, Live: live}
		if !live {
			delete(v.Routers, name)
		}
		report := outage.Report{Router: name, Boot: r.boot, StateSeq: r.stateSeq, DrainedPermit: r.drainedPermit,
			Rev: r.rev, StoreMember: name != "d6", Applied: 1000, Copies: f.copies, Observed: map[string]outage.Observation{}}
		for id, s := range f.servers {
			observation := outage.Observation{Site: s.site, Role: "chat", Boot: s.boot, Label: s.label, Probed: true}
			if !s.up {
				observation.SilentMs = float64((f.now - s.downAt) / time.Millisecond)
			}
			report.Observed[id] = observation
		}
		if rel := f.release(); rel != nil && name == "d1" {
			report.Release, report.Counts = rel.Run, f.counts[rel.Run]
		}
		v.Reports = append(v.Reports, report)
	}
	slices.SortFunc(v.Reports, func(a, b outage.Report) int { return int(a.Router[1]) - int(b.Router[1]) })
	return v
}

func (f *fleet) release() *outage.Release {
	if f.state == nil {
		return nil
	}
	return f.state.Release
}

// write stores a state, encoded and decoded as JSON, and has the checkers examine it.
func (f *fleet) write(next *outage.State) {
	data, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	f.rev++
	f.state = &outage.State{}
	if err := json.Unmarshal(data, f.state); err != nil {
		panic(err)
	}
	f.state.Rev = f.rev
	f.audit.Check(f.state)
	f.waits.Check(f.state, float64(f.now/time.Millisecond))
}

// step advances the time by half a second.
func (f *fleet) step() {
	f.now += 500 * time.Millisecond
	f.waits.Advance(float64(f.now / time.Millisecond))
	if rel := f.release(); rel != nil {
		c := f.counts[rel.Run]
		for _, s := range f.servers {
			if !s.up {
				continue
			}
			t := outage.Tally{N: 8}
			rate := 0.002
			if s.label == f.badLabel {
				rate = f.failureRate
			}
			for range 8 {
				if f.rng.Float64() < rate {
					t.Failed++
				}
				t.FirstToken[8+f.rng.IntN(2)]++
			}
			if s.label == rel.To {
				c.New.Add(t)
			} else {
				c.Old.Add(t)
			}
		}
		f.counts[rel.Run] = c
	}
	names := slices.Sorted(maps.Keys(f.routers))
	f.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		r := f.routers[name]
		if !r.up {
			continue
		}
		f.rev++
		r.rev, r.lastReport = f.rev, f.now
		if f.state != nil {
			r.stateSeq = f.state.Seq
			if p, out := f.state.Permits[outage.ID(outage.Router, name)]; out && p.Boot == r.boot {
				r.drainedPermit = p.ID
			}
		}
	}
	v := f.view()
	for _, name := range names {
		if r := f.routers[name]; r.up {
			v.Last = f.state
			if next := r.decider.Next(v, f.now); next != nil {
				f.write(next)
			}
		}
	}
	if f.deployer && f.state != nil {
		f.deploy()
	}
	down := 0
	for _, s := range f.servers {
		if !s.up {
			down++
		}
	}
	f.maxDown = max(f.maxDown, down)
}

// deploy stops members with an acknowledged permit and starts them some time later with the permit's label.
func (f *fleet) deploy() {
	for _, member := range slices.Sorted(maps.Keys(f.state.Permits)) {
		p := f.state.Permits[member]
		kind, name := outage.Split(member)
		if p.Stage != outage.Acknowledged || p.To == "" {
			continue
		}
		if kind == outage.Server {
			s := f.servers[name]
			switch {
			case s.up && s.boot == p.Boot:
				f.kill(name)
			case !s.up && f.now-s.downAt > 2*time.Second:
				f.start(name, p.To)
			}
			continue
		}
		switch r := f.routers[name]; {
		case r.up && r.boot == p.Boot:
			r.up = false
		case !r.up && f.now-r.lastReport > 2*time.Second:
			f.startRouter(name, p.To)
		}
	}
}

func (f *fleet) kill(name string) { f.servers[name].up, f.servers[name].downAt = false, f.now }

func (f *fleet) start(name, label string) {
	s := f.servers[name]
	s.boots++
	s.up, s.label, s.boot = true, label, fmt.Sprint(s.boots)
}

func (f *fleet) startRouter(name, label string) {
	r := f.routers[name]
	r.boots++
	f.rev++
	*r = router{label: label, boot: fmt.Sprint(r.boots), up: true, boots: r.boots, lastReport: f.now, rev: f.rev,
		decider: &outage.Decider{Router: name, Fault: r.decider.Fault}}
}

// applyOrder has an operator change the state and returns the refusal, if any.
func (f *fleet) applyOrder(change func(v outage.View) (*outage.State, error)) error {
	next, err := change(f.view())
	if next != nil && err == nil {
		f.write(next)
	}
	return err
}

func (f *fleet) waitUntil(t *testing.T, what string, within time.Duration, condition func() bool) {
	t.Helper()
	for end := f.now + within; !condition(); f.step() {
		if f.now > end {
			data, _ := json.MarshalIndent(f.state, "", " ")
			t.Fatalf("%s: not within %v\n%s", what, within, data)
		}
	}
}

func (f *fleet) checkNoFaults(t *testing.T) {
	t.Helper()
	for _, fault := range append(f.audit.Faults, f.waits.Faults...) {
		t.Error(fault)
	}
}

func (f *fleet) phase() outage.Phase {
	if f.release() == nil {
		return ""
	}
	return f.release().Phase
}

func (f *fleet) labels() map[string]int {
	out := map[string]int{}
	for _, s := range f.servers {
		out[s.label]++
	}
	return out
}

var testModel = outage.Model{Workers: 2, Routers: 1, WorkersSite: 1, PauseMs: 2000, WarmMs: 2000, ReturnMs: 15000,
	LostMs: 1000, Halt: outage.Halt{OverMs: 20000}}

func spec(to string) outage.Spec { return outage.Spec{Name: "r-" + to, Kind: outage.Server, To: to} }

func decodeState(data []byte) *outage.State {
	s := &outage.State{}
	if json.Unmarshal(data, s) != nil {
		return nil
	}
	return s
}
