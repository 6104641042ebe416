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

// module takes what it is told as internal/core does.
type module struct {
	mu      sync.Mutex
	workers map[brain.EngineID]core.Worker
	set     brain.Settings
	calls   int
	deltas  []core.Worker // of the last delta
}

func (m *module) listed(kind brain.ListKind, list []core.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if kind == brain.ListComplete || kind == brain.ListCached {
		m.workers = map[brain.EngineID]core.Worker{}
	}
	if kind == brain.ListDelta {
		m.deltas = list
	}
	for _, w := range list {
		m.workers[w.ID] = w
		if w.Availability == brain.Removed {
			delete(m.workers, w.ID)
		}
	}
}

func (m *module) retune(s brain.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	m.set = s
}

// room is one whose decisions are drawn: what is out drains, and a place's part follows from how many are ready.
type room struct {
	mu    sync.Mutex
	out   map[string]bool
	part  float64
	admit float64
}

func (r *room) shape(w *core.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out[w.Name] {
		w.Availability = brain.Draining
	}
	Scale(w, 1, r.part)
}

func share(_ Terms, list []core.Worker) {
	ready := 0
	for _, w := range list {
		if w.Availability == brain.Ready {
			ready++
		}
	}
	for i := range list {
		Scale(&list[i], 0, 1/float64(max(ready, 1)))
	}
}

func (r *room) tune(set *brain.Settings, places map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range places {
		Admit(set, at, r.admit)
	}
}

// In any order of news, decisions and policies the module sees what the rooms make of the list; the list stays as
// discovery has it; and where nothing differs nothing is told.
func TestModuleSeesTheShapedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, a := &module{workers: map[brain.EngineID]core.Worker{}}, &room{out: map[string]bool{}, part: 1, admit: 1}
		r := New(Options{Zones: []string{"z0", "z1"}, Listed: m.listed, Retune: m.retune})
		r.Shape(a.shape)
		r.ShapeAll(share)
		r.Tune(a.tune)
		forgot := map[string]bool{}
		r.Forget(func(listed func(string) bool) {
			clear(forgot)
			for id := range 6 {
				forgot[fmt.Sprint("s", id)] = !listed(fmt.Sprint("s", id))
			}
		})
		list, base, version := map[brain.EngineID]core.Worker{}, brain.Settings{}, int64(0)
		var parts = []float64{1, 0.5}
		draw := func() core.Worker {
			id := rapid.IntRange(0, 5).Draw(t, "id")
			w := core.Worker{Name: fmt.Sprint("s", id), Addr: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "addr"), Engine: brain.Engine{ID: brain.EngineID(id + 1), Zone: id % 3}}
			if rapid.Bool().Draw(t, "scaled") {
				w.ClassWeights = parts
			}
			w.Availability = rapid.SampledFrom([]brain.Availability{brain.Ready, brain.Ready, brain.Draining, brain.Removed}).Draw(t, "availability")
			return w
		}
		t.Repeat(map[string]func(*rapid.T){
			"news": func(t *rapid.T) {
				kind := rapid.SampledFrom([]brain.ListKind{brain.ListComplete, brain.ListCached, brain.ListDelta, brain.ListDelta, brain.ListFailed}).Draw(t, "kind")
				var news []core.Worker
				if kind != brain.ListFailed {
					news = rapid.SliceOfN(rapid.Custom(func(*rapid.T) core.Worker { return draw() }), 0, 5).Draw(t, "news")
				}
				if kind == brain.ListComplete || kind == brain.ListCached {
					clear(list)
				}
				for _, w := range news {
					list[w.ID] = w
					if w.Availability == brain.Removed {
						delete(list, w.ID)
					}
				}
				r.Listed(kind, news)
				for id := range 6 {
					if _, on := list[brain.EngineID(id+1)]; on == forgot[fmt.Sprint("s", id)] {
						t.Fatalf("s%d listed: %v, forgotten: %v", id, on, forgot)
					}
				}
			},
			"out": func(t *rapid.T) {
				a.out[fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "out"))] = rapid.Bool().Draw(t, "is")
				r.Again()
			},
			"part":  func(t *rapid.T) { a.part = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "part"); r.Again() },
			"admit": func(t *rapid.T) { a.admit = rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "admit"); r.Again() },
			"policy": func(t *rapid.T) {
				base.Admitted, version = rapid.SampledFrom([][]float64{nil, {0.5}}).Draw(t, "admitted"), version+1
				r.Took(base, map[string]int{"q": 0, "r": 1}, version)
			},
			"": func(t *rapid.T) {
				want := slices.Collect(maps.Values(list))
				for i := range want {
					want[i].ClassWeights = slices.Clone(want[i].ClassWeights)
					a.shape(&want[i])
				}
				share(Terms{}, want)
				for _, w := range want {
					if got, on := m.workers[w.ID]; !on || !reflect.DeepEqual(got, w) {
						t.Fatalf("the module has %+v, the rooms want %+v", got, w)
					}
				}
				if len(want) != len(m.workers) || !slices.Equal(parts, []float64{1, 0.5}) {
					t.Fatalf("%d workers at the module, %d listed; a list's own parts: %v", len(m.workers), len(want), parts)
				}
				for _, w := range r.Workers() {
					if !reflect.DeepEqual(list[w.ID], w) {
						t.Fatalf("kept %+v, listed %+v", w, list[w.ID])
					}
				}
				set := base
				set.Admitted = slices.Clone(base.Admitted)
				a.tune(&set, map[string]int{"q": 0, "r": 1})
				if version > 0 && !reflect.DeepEqual(set, m.set) {
					t.Fatalf("settings %+v, want %+v", m.set, set)
				}
				was := m.calls
				if r.Again(); m.calls != was {
					t.Fatal("the module was told what it knew")
				}
			},
		})
	})
}

// Only what a decision changed is told; rooms of which one asks under its own lock what is listed, while another's
// decision is shown, don't lock each other out.
func TestOnlyWhatChangedAndNoLockedRooms(t *testing.T) {
	m, a, b := &module{workers: map[brain.EngineID]core.Worker{}}, &room{out: map[string]bool{}, part: 1, admit: 1}, &room{out: map[string]bool{}, part: 0.5, admit: 1}
	r := New(Options{Zones: []string{"z0"}, Listed: m.listed, Retune: m.retune})
	r.Shape(a.shape)
	r.Shape(b.shape)
	var all []core.Worker
	for i := range 5 {
		all = append(all, core.Worker{Name: fmt.Sprint("s", i), Engine: brain.Engine{ID: brain.EngineID(i)}})
	}
	r.Listed(brain.ListComplete, all)
	a.out["s3"] = true
	if r.Again(); len(m.deltas) != 1 || m.deltas[0].Name != "s3" || m.deltas[0].Availability != brain.Draining || m.workers[3].ClassWeights[1] != 0.5 {
		t.Fatalf("told %+v", m.deltas)
	}
	var both sync.WaitGroup
	for _, one := range []*room{a, b} {
		both.Go(func() {
			for i := range 300 {
				one.mu.Lock()
				for _, w := range r.Workers() {
					one.out[w.Name] = i%2 == 0 && r.Site(w) == "z0" && r.Terms().Version == 0
				}
				one.mu.Unlock()
				r.Again()
				r.Listed(brain.ListDelta, all[:2])
			}
		})
	}
	both.Wait()
	for _, w := range m.workers {
		if w.Availability != brain.Ready {
			t.Errorf("%+v", w)
		}
	}
}

// A server that two rooms ask for is asked once and both are told; one that only one asks for is told to that one; a
// room that wants nothing just now is told nothing.
func TestOneProbeForAll(t *testing.T) {
	var mu sync.Mutex
	asked, heard := map[string]int{}, map[string]int{}
	errSilent := errors.New("no answer")
	r := New(Options{Listed: func(brain.ListKind, []core.Worker) {}, Probe: func(_ context.Context, w core.Worker) error {
		mu.Lock()
		defer mu.Unlock()
		asked[w.Name]++
		switch w.Name {
		case "s1":
			return &core.AttemptError{Stage: core.NotConnected, Err: errSilent}
		case "s2":
			return &core.AttemptError{Verdict: core.NotStarted, Err: errSilent}
		}
		return nil
	}})
	for name, n := range map[string]int{"few": 2, "all": 3, "off": 0} {
		r.Probing(Probing{Every: func() time.Duration { return time.Duration(min(n, 1)) * 20 * time.Millisecond },
			Pick: func(list []core.Worker) []core.Worker { return list[:n] },
			Heard: func(w core.Worker, ok bool, err error) {
				mu.Lock()
				defer mu.Unlock()
				heard[name+" "+w.Name]++
				if ok != (w.Name != "s1") || w.Name != "s0" && !errors.Is(err, errSilent) {
					t.Errorf("%s is told of %s: %v %v", name, w.Name, ok, err)
				}
			}})
	}
	r.Listed(brain.ListComplete, []core.Worker{{Name: "s2", Engine: brain.Engine{ID: 3}}, {Name: "s0", Engine: brain.Engine{ID: 1}}, {Name: "s1", Engine: brain.Engine{ID: 2}}})
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); r.Probes(ctx) }()
	standin.Eventually(t, 10*time.Second, "probes", func() bool { mu.Lock(); defer mu.Unlock(); return asked["s2"] >= 5 })
	end()
	<-ended
	for _, name := range []string{"s0", "s1", "s2"} {
		few := heard["few "+name]
		if heard["all "+name] != asked[name] || name != "s2" && few != asked[name] || name == "s2" && few != 0 || heard["off "+name] != 0 {
			t.Errorf("asked %v, heard %v", asked, heard)
		}
	}
}
