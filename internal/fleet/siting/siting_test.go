package siting

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/standin"
)

// module records the settings and class weights that it receives.
type module struct {
	mu       sync.Mutex
	settings brain.Settings
	weights  map[string][]float64 // class weights by server
}

func (m *module) updateSettings(s brain.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings = s
}

func (m *module) updateWorkers(_ brain.ListKind, list []core.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range list {
		m.weights[w.Name] = w.ClassWeights
	}
}

func (m *module) weight(server string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.weights[server]) == 0 {
		return 1
	}
	return m.weights[server][0]
}

var errUnreachable = &core.AttemptError{Stage: core.NotConnected, Err: errors.New("refused")}

// Two routers agree on the loss and the return of a site, and the decision reaches their modules. An operator's order
// overrides their observations. Without the store, each router still excludes the sites that it can't reach itself.
func TestAgentsAgreeOnSiteLossAndReturn(t *testing.T) {
	endpoint, stop := etcdtest.Serve(t, nil)
	var deadZones sync.Map
	model := sites.Model{LostAfterMs: 200, BackAfterMs: 200, WarmMs: 500, ReportMs: 50, Classes: []sites.Class{{Name: "q"}},
		Sites: []sites.Site{{Name: "a", Capacity: 100, Routers: 1}, {Name: "b", Capacity: 100, Routers: 1}}}
	var agents []*Agent
	var modules []*module
	for _, name := range []string{"a", "b"} {
		m := &module{weights: map[string][]float64{}}
		r := roster.New(roster.Options{Zones: []string{"a", "b"}, UpdateSettings: m.updateSettings, UpdateWorkers: m.updateWorkers,
			Probe: func(_ context.Context, w core.Worker) error {
				if _, unreachable := deadZones.Load(w.Zone); unreachable {
					return errUnreachable
				}
				return nil
			}})
		a, err := Open(Options{Name: name, Endpoints: []string{endpoint}, Zone: name, Log: standin.Log(), Roster: r})
		if err != nil {
			t.Fatal(err)
		}
		r.UpdateWorkers(brain.ListComplete, []core.Worker{{Name: "s0", Engine: brain.Engine{ID: 1, Zone: 0}}, {Name: "s1", Engine: brain.Engine{ID: 2, Zone: 1}}})
		a.SetPolicy(Policy{Model: model, Version: 1})
		r.SetPolicy(brain.Settings{Classes: make([]brain.Class, 1)}, map[string]int{"q": 0}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); a.Run(ctx) }()
		probesEnded := make(chan struct{})
		go func() { defer close(probesEnded); r.RunProbes(ctx) }()
		t.Cleanup(func() { cancel(); <-ended; <-probesEnded; _ = a.Close() })
		agents, modules = append(agents, a), append(modules, m)
	}
	state := func(site string, want sites.State) func() bool {
		return func() bool {
			v, err := agents[0].store.View(t.Context(), false)
			return err == nil && v.Last != nil && v.Last.Sites[site].State == want
		}
	}
	weightsMatch := func(want float64) func() bool {
		return func() bool {
			return (modules[0].weight("s1") > 0) == (want > 0) && (modules[1].weight("s1") > 0) == (want > 0)
		}
	}
	standin.Eventually(t, 5*time.Second, "site b is up", state("b", sites.Up))
	deadZones.Store(1, true)
	standin.Eventually(t, 10*time.Second, "site b is lost", state("b", sites.Lost))
	standin.Eventually(t, 5*time.Second, "no weight on site b", weightsMatch(0))
	deadZones.Delete(1)
	standin.Eventually(t, 10*time.Second, "site b is up again after the failure", state("b", sites.Up))
	standin.Eventually(t, 5*time.Second, "weight on site b after the failure", weightsMatch(1))
	if err := agents[0].store.SetOrders(t.Context(), "b", sites.Orders{Lose: true}); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, 5*time.Second, "site b is lost by order", state("b", sites.Lost))
	if err := agents[0].store.SetOrders(t.Context(), "b", sites.Orders{}); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, 10*time.Second, "site b is up after the order is withdrawn", state("b", sites.Up))
	standin.Eventually(t, 5*time.Second, "weight on site b after the order is withdrawn", weightsMatch(1))
	stop()
	deadZones.Store(1, true)
	standin.Eventually(t, 5*time.Second, "each router excludes site b without the store", weightsMatch(0))
}

// Ranks are uniform for any mix of sessions. Active sessions rank first, and a session's requests keep a stable rank.
func TestArrivalRanks(t *testing.T) {
	m := NewMeter()
	for i := range 3000 {
		s := uint64(i % 300)
		rank := m.Arrived("q", s)
		if rank >= 1 {
			t.Fatalf("request %d has rank %v, want below 1", i, rank)
		}
		if rank < 0.5 {
			m.remember(s)
		}
	}
	admitted, total := 0, 3000
	for i := range total {
		s := uint64(1000 + i%600) // half are new
		if i%2 == 0 {
			s = uint64(i % 300)
		}
		rank := m.Arrived("q", s)
		if rank < 0.3 {
			admitted++
		}
		if known := m.sessions[0][s]; known && rank > 0.75 {
			t.Fatalf("an active session has rank %v", rank)
		}
	}
	if fraction := float64(admitted) / float64(total); math.Abs(fraction-0.3) > 0.06 {
		t.Errorf("fraction of requests with a rank below 0.3: %v", fraction)
	}
}

// Without a plan no request is counted and no session is remembered.
func TestNoPlanCountsNothing(t *testing.T) {
	r := roster.New(roster.Options{Zones: []string{"a"}, UpdateSettings: func(brain.Settings) {}, UpdateWorkers: func(brain.ListKind, []core.Worker) {}})
	a, err := Open(Options{Endpoints: []string{"127.0.0.1:1"}, Zone: "a", Roster: r})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	a.SetPolicy(Policy{})
	r.SetPolicy(brain.Settings{Classes: make([]brain.Class, 1)}, map[string]int{"q": 0}, 1)
	rank := a.Arrived("q", 7)
	a.Tried(0, true, true, 7)
	a.Refused("q", 0)
	if offered, observations := a.meter.TakeCounts(); rank != 0 || len(offered)+len(observations)+len(a.meter.sessions[0]) > 0 {
		t.Errorf("rank %v, offered %v, observations %v", rank, offered, observations)
	}
}
