// Package roster keeps the list of workers for all rooms of the fleet (internal/fleet/outage, siting and the like): it
// takes the news of discovery and the settings of the policy in force, lets each room show workers and settings as its
// decisions want them, and tells the module what differs from what it was told last.
//
// Locks. One pass at a time is under way, from Listed, Took or Again; it calls the rooms' functions and the module while
// it holds the passes' own lock and no other of the keeper's. Rooms' functions take their rooms' locks, so a room calls
// Listed, Took and Again without holding a lock that its functions take. Workers, Terms and Site may be called anywhere,
// by the rooms' functions too.
package roster

import (
	"cmp"
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"

	"sumacloft/brain"
	"sumacloft/internal/core"
)

// Options set up a keeper.
type Options struct {
	Zones []string // names by the module's places
	// Listed and Retune reach the module.
	Listed func(kind brain.ListKind, list []core.Worker)
	Retune func(set brain.Settings)
	Probe  func(ctx context.Context, w core.Worker) error
}

// Terms are what the policy in force says of the module.
type Terms struct {
	Settings brain.Settings
	Places   map[string]int // of classes in the module, by name
	Version  int64          // 0: none is in force yet
}

// Roster keeps the list. Rooms register with Tune, Shape, ShapeAll, Forget and Probing before it is used.
type Roster struct {
	o       Options
	tunes   []func(set *brain.Settings, places map[string]int)
	shapes  []func(t Terms, list []core.Worker)
	forgets []func(listed func(name string) bool)
	asks    []Probing

	mu      sync.Mutex // a leaf: nothing is called under it
	workers map[brain.EngineID]core.Worker
	sorted  []core.Worker // the workers by name
	terms   Terms

	pass  sync.Mutex // what follows, and the order in which the module is told
	told  map[brain.EngineID]core.Worker
	tuned Terms // as the module was told
}

// New makes a keeper without workers.
func New(o Options) *Roster {
	return &Roster{o: o, workers: map[brain.EngineID]core.Worker{}, told: map[brain.EngineID]core.Worker{}}
}

// Tune registers how a room shows the settings. What rooms say of Admitted is multiplied: see Admit.
func (r *Roster) Tune(f func(set *brain.Settings, places map[string]int)) {
	r.tunes = append(r.tunes, f)
}

// Shape registers how a room shows a worker. It changes what it is given, which is a copy; Parts are multiplied: see Scale.
func (r *Roster) Shape(f func(w *core.Worker)) {
	r.ShapeAll(func(_ Terms, list []core.Worker) {
		for i := range list {
			f(&list[i])
		}
	})
}

// ShapeAll registers how a room shows the workers where that follows from all of them. Rooms shape one after another, as
// they registered: each is given what those before it made of the list, by name, under the terms in force.
func (r *Roster) ShapeAll(f func(t Terms, list []core.Worker)) { r.shapes = append(r.shapes, f) }

// Forget registers who lets go of what it keeps of workers that the list does not name any more. It is asked at all news.
func (r *Roster) Forget(f func(listed func(name string) bool)) { r.forgets = append(r.forgets, f) }

// Scale multiplies the share of a class that a worker gets.
func Scale(w *core.Worker, place int, by float64) { w.ClassWeights = scaled(w.ClassWeights, place, by) }

// Admit multiplies the part of a class that is taken.
func Admit(set *brain.Settings, place int, by float64) {
	set.Admitted = scaled(set.Admitted, place, by)
}

// scaled gives the list with one place multiplied; what is past its end is 1.
func scaled(list []float64, place int, by float64) []float64 {
	for len(list) <= place {
		list = append(list, 1)
	}
	list[place] *= by
	return list
}

// Workers are the workers as discovery lists them, by name. None of what they hold is to be changed.
func (r *Roster) Workers() []core.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sorted)
}

// Terms are those in force.
func (r *Roster) Terms() Terms {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terms
}

// Site is the name of a worker's zone; "" where it has none.
func (r *Roster) Site(w core.Worker) string { return r.Zone(w.Zone) }

// Zone is the name of a place; "" where there is none.
func (r *Roster) Zone(place int) string {
	if place < 0 || place >= len(r.o.Zones) {
		return ""
	}
	return r.o.Zones[place]
}

// Listed takes news of the workers on their way to the module.
func (r *Roster) Listed(kind brain.ListKind, list []core.Worker) {
	r.pass.Lock()
	defer r.pass.Unlock()
	names := r.keep(kind, list)
	for _, f := range r.forgets {
		f(func(name string) bool { return names[name] })
	}
	set, shown := r.show()
	news := slices.Clone(list)
	for i, w := range news {
		if w.Availability == brain.Removed {
			continue
		}
		if as, kept := shown[w.ID]; kept {
			news[i] = as
			r.told[w.ID] = as
		}
	}
	for id := range r.told {
		if _, kept := shown[id]; !kept {
			delete(r.told, id)
		}
	}
	r.o.Listed(kind, news)
	r.tell(set, shown) // the others may follow from how many there are
}

// keep takes news into the list and gives the names on it.
func (r *Roster) keep(kind brain.ListKind, list []core.Worker) (names map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == brain.ListComplete || kind == brain.ListCached {
		r.workers = make(map[brain.EngineID]core.Worker, len(list))
	}
	for _, w := range list {
		r.workers[w.ID] = w
		if w.Availability == brain.Removed {
			delete(r.workers, w.ID)
		}
	}
	r.sorted = slices.SortedFunc(maps.Values(r.workers), func(x, y core.Worker) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.ID, y.ID))
	})
	names = make(map[string]bool, len(r.sorted))
	for _, w := range r.sorted {
		names[w.Name] = true
	}
	return names
}

// Took takes the policy in force. Rooms have been told of it before.
func (r *Roster) Took(set brain.Settings, places map[string]int, version int64) {
	r.mu.Lock()
	r.terms = Terms{set, places, version}
	r.mu.Unlock()
	r.Again()
}

// Again has the module follow what the rooms make of workers and settings by now. It is told only what differs.
func (r *Roster) Again() {
	r.pass.Lock()
	defer r.pass.Unlock()
	r.tell(r.show())
}

// show asks the rooms for what the module is to see; the pass is ours.
func (r *Roster) show() (Terms, map[brain.EngineID]core.Worker) {
	r.mu.Lock()
	t, list := r.terms, slices.Clone(r.sorted)
	r.mu.Unlock()
	t.Settings.Admitted = slices.Clone(t.Settings.Admitted)
	for _, f := range r.tunes {
		f(&t.Settings, t.Places)
	}
	for i := range list {
		list[i].ClassWeights = slices.Clone(list[i].ClassWeights)
	}
	for _, f := range r.shapes {
		f(t, list)
	}
	shown := make(map[brain.EngineID]core.Worker, len(list))
	for _, w := range list {
		shown[w.ID] = w
	}
	return t, shown
}

// tell gives the module what differs from what it was told; the pass is ours.
func (r *Roster) tell(t Terms, shown map[brain.EngineID]core.Worker) {
	if t.Version != 0 && (t.Version != r.tuned.Version || !reflect.DeepEqual(t.Settings, r.tuned.Settings)) {
		r.tuned = t
		r.o.Retune(t.Settings)
	}
	var changed []core.Worker
	for id, w := range shown {
		if as, was := r.told[id]; !was || !reflect.DeepEqual(as, w) {
			r.told[id] = w
			changed = append(changed, w)
		}
	}
	if len(changed) > 0 {
		slices.SortFunc(changed, func(x, y core.Worker) int { return cmp.Compare(x.Name, y.Name) })
		r.o.Listed(brain.ListDelta, changed)
	}
}
