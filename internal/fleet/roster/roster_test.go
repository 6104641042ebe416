package roster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/standin"
)

// module applies updates as internal/core does.
type module struct {
	mu        sync.Mutex
	workers   map[brain.EngineID]core.Worker
	settings  brain.Settings
	calls     int
	lastDelta []core.Worker // the workers of the last delta update
}

func (m *module) updateWorkers(kind brain.ListKind, list []core.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if kind == brain.ListComplete || kind == brain.ListCached {
		m.workers = map[brain.EngineID]core.Worker{}
	}
	if kind == brain.ListDelta {
		m.lastDelta = list
	}
	for _, w := range list {
		m.workers[w.ID] = w
		if w.Availability == brain.Removed {
			delete(m.workers, w.ID)
		}
	}
}

func (m *module) updateSettings(s brain.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	m.settings = s
}

// component makes random decisions: it drains workers, weighs class 1 and admits a fraction of each class.
type component struct {
	mu       sync.Mutex
	draining map[string]bool
	weight   float64
	admitted float64
}

func (r *component) adjustWorker(w *core.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining[w.Name] {
		w.Availability = brain.Draining
	}
	ScaleWeight(w, 1, r.weight)
}

// splitWeight divides the weight of class 0 among the ready workers.
func splitWeight(_ Policy, list []core.Worker) {
	ready := 0
	for _, w := range list {
		if w.Availability == brain.Ready {
			ready++
		}
	}
	for i := range list {
		ScaleWeight(&list[i], 0, 1/float64(max(ready, 1)))
	}
}

func (r *component) adjustSettings(settings *brain.Settings, classIndex map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range classIndex {
		ScaleAdmitted(settings, at, r.admitted)
	}
}

// In any order of discovery updates, component decisions and policies, the module gets the adjusted workers and settings.
// The roster's own list stays as discovery reported it, and a refresh without a change calls nothing.
func TestModuleReceivesAdjustedWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, c := &module{workers: map[brain.EngineID]core.Worker{}}, &component{draining: map[string]bool{}, weight: 1, admitted: 1}
		r := New(Options{Zones: []string{"z0", "z1"}, UpdateWorkers: m.updateWorkers, UpdateSettings: m.updateSettings})
		r.AdjustWorker(c.adjustWorker)
		r.AdjustWorkers(splitWeight)
		r.AdjustSettings(c.adjustSettings)
		pruned := map[string]bool{}
		r.OnPrune(func(listed func(string) bool) {
			clear(pruned)
			for id := range 6 {
				pruned[fmt.Sprint("s", id)] = !listed(fmt.Sprint("s", id))
			}
		})
		list, policySettings, version := map[brain.EngineID]core.Worker{}, brain.Settings{}, int64(0)
		var weights = []float64{1, 0.5}
		draw := func() core.Worker {
			id := rapid.IntRange(0, 5).Draw(t, "id")
			w := core.Worker{Name: fmt.Sprint("s", id), Addr: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "addr"), Engine: brain.Engine{ID: brain.EngineID(id + 1), Zone: id % 3}}
			if rapid.Bool().Draw(t, "scaled") {
				w.ClassWeights = weights
			}
			w.Availability = rapid.SampledFrom([]brain.Availability{brain.Ready, brain.Ready, brain.Draining, brain.Removed}).Draw(t, "availability")
			return w
		}
		t.Repeat(map[string]func(*rapid.T){
			"news": func(t *rapid.T) {
				kind := rapid.SampledFrom([]brain.ListKind{brain.ListComplete, brain.ListCached, brain.ListDelta, brain.ListDelta, brain.ListFailed}).Draw(t, "kind")
				var update []core.Worker
				if kind != brain.ListFailed {
					update = rapid.SliceOfN(rapid.Custom(func(*rapid.T) core.Worker { return draw() }), 0, 5).Draw(t, "news")
				}
				if kind == brain.ListComplete || kind == brain.ListCached {
					clear(list)
				}
				for _, w := range update {
					list[w.ID] = w
					if w.Availability == brain.Removed {
						delete(list, w.ID)
					}
				}
				r.UpdateWorkers(kind, update)
				for id := range 6 {
					if _, listed := list[brain.EngineID(id+1)]; listed == pruned[fmt.Sprint("s", id)] {
						t.Fatalf("s%d listed: %v, pruned: %v", id, listed, pruned)
					}
				}
			},
			"out": func(t *rapid.T) {
				c.draining[fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "out"))] = rapid.Bool().Draw(t, "is")
				r.Refresh()
			},
			"part":  func(t *rapid.T) { c.weight = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "part"); r.Refresh() },
			"admit": func(t *rapid.T) { c.admitted = rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "admit"); r.Refresh() },
			"policy": func(t *rapid.T) {
				policySettings.Admitted, version = rapid.SampledFrom([][]float64{nil, {0.5}}).Draw(t, "admitted"), version+1
				r.SetPolicy(policySettings, map[string]int{"q": 0, "r": 1}, version)
			},
			"": func(t *rapid.T) {
				want := slices.Collect(maps.Values(list))
				for i := range want {
					want[i].ClassWeights = slices.Clone(want[i].ClassWeights)
					c.adjustWorker(&want[i])
				}
				splitWeight(Policy{}, want)
				for _, w := range want {
					if got, listed := m.workers[w.ID]; !listed || !reflect.DeepEqual(got, w) {
						t.Fatalf("the module has %+v, want %+v", got, w)
					}
				}
				if len(want) != len(m.workers) || !slices.Equal(weights, []float64{1, 0.5}) {
					t.Fatalf("module has %d workers, %d listed; class weights of the original list: %v", len(m.workers), len(want), weights)
				}
				for _, w := range r.Workers() {
					if !reflect.DeepEqual(list[w.ID], w) {
						t.Fatalf("roster has %+v, discovery listed %+v", w, list[w.ID])
					}
				}
				wantSettings := policySettings
				wantSettings.Admitted = slices.Clone(policySettings.Admitted)
				c.adjustSettings(&wantSettings, map[string]int{"q": 0, "r": 1})
				if version > 0 && !reflect.DeepEqual(wantSettings, m.settings) {
					t.Fatalf("settings %+v, want %+v", m.settings, wantSettings)
				}
				callsBefore := m.calls
				if r.Refresh(); m.calls != callsBefore {
					t.Fatal("a refresh without a change called the module")
				}
			},
		})
	})
}

// Only changed workers are published. A component that reads the roster under its own lock does not deadlock with
// another component's refresh.
func TestPublishesOnlyChangesWithoutDeadlock(t *testing.T) {
	m, a, b := &module{workers: map[brain.EngineID]core.Worker{}}, &component{draining: map[string]bool{}, weight: 1, admitted: 1}, &component{draining: map[string]bool{}, weight: 0.5, admitted: 1}
	r := New(Options{Zones: []string{"z0"}, UpdateWorkers: m.updateWorkers, UpdateSettings: m.updateSettings})
	r.AdjustWorker(a.adjustWorker)
	r.AdjustWorker(b.adjustWorker)
	var all []core.Worker
	for i := range 5 {
		all = append(all, core.Worker{Name: fmt.Sprint("s", i), Engine: brain.Engine{ID: brain.EngineID(i)}})
	}
	r.UpdateWorkers(brain.ListComplete, all)
	a.draining["s3"] = true
	if r.Refresh(); len(m.lastDelta) != 1 || m.lastDelta[0].Name != "s3" || m.lastDelta[0].Availability != brain.Draining || m.workers[3].ClassWeights[1] != 0.5 {
		t.Fatalf("published delta: %+v", m.lastDelta)
	}
	var workers sync.WaitGroup
	for _, component := range []*component{a, b} {
		workers.Go(func() {
			for i := range 300 {
				component.mu.Lock()
				for _, w := range r.Workers() {
					component.draining[w.Name] = i%2 == 0 && r.Site(w) == "z0" && r.Policy().Version == 0
				}
				component.mu.Unlock()
				r.Refresh()
				r.UpdateWorkers(brain.ListDelta, all[:2])
			}
		})
	}
	workers.Wait()
	for _, w := range m.workers {
		if w.Availability != brain.Ready {
			t.Errorf("%+v", w)
		}
	}
}

// A server that two subscriptions select is probed once per round, and both get the result. Other subscriptions, and those
// that are paused, get no result for it.
func TestSubscribersShareProbes(t *testing.T) {
	var mu sync.Mutex
	probes, results := map[string]int{}, map[string]int{}
	errNoResponse := errors.New("no response")
	r := New(Options{UpdateWorkers: func(brain.ListKind, []core.Worker) {}, Probe: func(_ context.Context, w core.Worker) error {
		mu.Lock()
		defer mu.Unlock()
		probes[w.Name]++
		switch w.Name {
		case "s1":
			return &core.AttemptError{Stage: core.NotConnected, Err: errNoResponse}
		case "s2":
			return &core.AttemptError{Verdict: core.NotStarted, Err: errNoResponse}
		}
		return nil
	}})
	for name, selected := range map[string]int{"few": 2, "all": 3, "off": 0} {
		r.SubscribeProbes(ProbeSubscription{Interval: func() time.Duration { return time.Duration(min(selected, 1)) * 20 * time.Millisecond },
			Select: func(list []core.Worker) []core.Worker { return list[:selected] },
			OnResult: func(w core.Worker, responded bool, err error) {
				mu.Lock()
				defer mu.Unlock()
				results[name+" "+w.Name]++
				if responded != (w.Name != "s1") || w.Name != "s0" && !errors.Is(err, errNoResponse) {
					t.Errorf("subscription %s, result of %s: responded %v, error %v", name, w.Name, responded, err)
				}
			}})
	}
	r.UpdateWorkers(brain.ListComplete, []core.Worker{{Name: "s2", Engine: brain.Engine{ID: 3}}, {Name: "s0", Engine: brain.Engine{ID: 1}}, {Name: "s1", Engine: brain.Engine{ID: 2}}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); r.RunProbes(ctx) }()
	standin.Eventually(t, 10*time.Second, "probes", func() bool { mu.Lock(); defer mu.Unlock(); return probes["s2"] >= 5 })
	cancel()
	<-ended
	for _, name := range []string{"s0", "s1", "s2"} {
		partial := results["few "+name]
		if results["all "+name] != probes[name] || name != "s2" && partial != probes[name] || name == "s2" && partial != 0 || results["off "+name] != 0 {
			t.Errorf("probes %v, results %v", probes, results)
		}
	}
}
