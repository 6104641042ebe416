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
	// UpdateWorkers and Retune reach the module.
	UpdateWorkers  func(kind brain.ListKind, list []core.Worker)
	UpdateSettings func(settings brain.Settings)
	Probe          func(ctx context.Context, w core.Worker) error
}

// Policy are what the policy in force says of the module.
type Policy struct {
	Settings   brain.Settings
	ClassIndex map[string]int // of classes in the module, by name
	Version    int64          // 0: none is in force yet
}

// Roster keeps the list. Rooms register with Tune, Shape, ShapeAll, Forget and Probing before it is used.
type Roster struct {
	options       Options
	settingsFuncs []func(settings *brain.Settings, classIndex map[string]int)
	workersFuncs  []func(policy Policy, list []core.Worker)
	pruneFuncs    []func(listed func(name string) bool)
	subscriptions []ProbeSubscription

	mu      sync.Mutex // a leaf: nothing is called under it
	workers map[brain.EngineID]core.Worker
	sorted  []core.Worker // the workers by name
	policy  Policy

	publishMu        sync.Mutex // what follows, and the order in which the module is told
	publishedWorkers map[brain.EngineID]core.Worker
	publishedPolicy  Policy // as the module was told
}

// New makes a keeper without workers.
func New(o Options) *Roster {
	return &Roster{options: o, workers: map[brain.EngineID]core.Worker{}, publishedWorkers: map[brain.EngineID]core.Worker{}}
}

// AdjustSettings registers how a room shows the settings. What rooms say of Admitted is multiplied: see Admit.
func (r *Roster) AdjustSettings(f func(settings *brain.Settings, classIndex map[string]int)) {
	r.settingsFuncs = append(r.settingsFuncs, f)
}

// AdjustWorker registers how a room shows a worker. It changes what it is given, which is a copy; Parts are multiplied: see Scale.
func (r *Roster) AdjustWorker(f func(w *core.Worker)) {
	r.AdjustWorkers(func(_ Policy, list []core.Worker) {
		for i := range list {
			f(&list[i])
		}
	})
}

// AdjustWorkers registers how a room shows the workers where that follows from all of them. Rooms shape one after another, as
// they registered: each is given what those before it made of the list, by name, under the terms in force.
func (r *Roster) AdjustWorkers(f func(policy Policy, list []core.Worker)) {
	r.workersFuncs = append(r.workersFuncs, f)
}

// PruneRemoved registers who lets go of what it keeps of workers that the list does not name any more. It is asked at all news.
func (r *Roster) PruneRemoved(f func(listed func(name string) bool)) {
	r.pruneFuncs = append(r.pruneFuncs, f)
}

// ScaleClassWeight multiplies the share of a class that a worker gets.
func ScaleClassWeight(w *core.Worker, class int, factor float64) {
	w.ClassWeights = multiplyAt(w.ClassWeights, class, factor)
}

// ScaleAdmitted multiplies the part of a class that is taken.
func ScaleAdmitted(settings *brain.Settings, class int, factor float64) {
	settings.Admitted = multiplyAt(settings.Admitted, class, factor)
}

// multiplyAt gives the list with one place multiplied; what is past its end is 1.
func multiplyAt(values []float64, index int, factor float64) []float64 {
	for len(values) <= index {
		values = append(values, 1)
	}
	values[index] *= factor
	return values
}

// Workers are the workers as discovery lists them, by name. None of what they hold is to be changed.
func (r *Roster) Workers() []core.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sorted)
}

// Policy are those in force.
func (r *Roster) Policy() Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy
}

// Site is the name of a worker's zone; "" where it has none.
func (r *Roster) Site(w core.Worker) string { return r.Zone(w.Zone) }

// Zone is the name of a place; "" where there is none.
func (r *Roster) Zone(zone int) string {
	if zone < 0 || zone >= len(r.options.Zones) {
		return ""
	}
	return r.options.Zones[zone]
}

// UpdateWorkers takes news of the workers on their way to the module.
func (r *Roster) UpdateWorkers(kind brain.ListKind, list []core.Worker) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	names := r.storeWorkers(kind, list)
	for _, f := range r.pruneFuncs {
		f(func(name string) bool { return names[name] })
	}
	policy, adjusted := r.adjusted()
	update := slices.Clone(list)
	for i, w := range update {
		if w.Availability == brain.Removed {
			continue
		}
		if worker, listed := adjusted[w.ID]; listed {
			update[i] = worker
			r.publishedWorkers[w.ID] = worker
		}
	}
	for id := range r.publishedWorkers {
		if _, listed := adjusted[id]; !listed {
			delete(r.publishedWorkers, id)
		}
	}
	r.options.UpdateWorkers(kind, update)
	r.publish(policy, adjusted) // the others may follow from how many there are
}

// storeWorkers takes news into the list and gives the names on it.
func (r *Roster) storeWorkers(kind brain.ListKind, list []core.Worker) (names map[string]bool) {
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

// SetPolicy takes the policy in force. Rooms have been told of it before.
func (r *Roster) SetPolicy(settings brain.Settings, classIndex map[string]int, version int64) {
	r.mu.Lock()
	r.policy = Policy{settings, classIndex, version}
	r.mu.Unlock()
	r.Refresh()
}

// Refresh has the module follow what the rooms make of workers and settings by now. It is told only what differs.
func (r *Roster) Refresh() {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	r.publish(r.adjusted())
}

// adjusted asks the rooms for what the module is to see; the pass is ours.
func (r *Roster) adjusted() (Policy, map[brain.EngineID]core.Worker) {
	r.mu.Lock()
	policy, list := r.policy, slices.Clone(r.sorted)
	r.mu.Unlock()
	policy.Settings.Admitted = slices.Clone(policy.Settings.Admitted)
	for _, f := range r.settingsFuncs {
		f(&policy.Settings, policy.ClassIndex)
	}
	for i := range list {
		list[i].ClassWeights = slices.Clone(list[i].ClassWeights)
	}
	for _, f := range r.workersFuncs {
		f(policy, list)
	}
	adjusted := make(map[brain.EngineID]core.Worker, len(list))
	for _, w := range list {
		adjusted[w.ID] = w
	}
	return policy, adjusted
}

// publish gives the module what differs from what it was told; the pass is ours.
func (r *Roster) publish(policy Policy, adjusted map[brain.EngineID]core.Worker) {
	if policy.Version != 0 && (policy.Version != r.publishedPolicy.Version || !reflect.DeepEqual(policy.Settings, r.publishedPolicy.Settings)) {
		r.publishedPolicy = policy
		r.options.UpdateSettings(policy.Settings)
	}
	var changed []core.Worker
	for id, w := range adjusted {
		if published, known := r.publishedWorkers[id]; !known || !reflect.DeepEqual(published, w) {
			r.publishedWorkers[id] = w
			changed = append(changed, w)
		}
	}
	if len(changed) > 0 {
		slices.SortFunc(changed, func(x, y core.Worker) int { return cmp.Compare(x.Name, y.Name) })
		r.options.UpdateWorkers(brain.ListDelta, changed)
	}
}
