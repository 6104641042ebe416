// Package roster keeps the list of workers that discovery reports and the settings of the current policy. The fleet
// components (internal/fleet/outage, siting and others) register functions that adjust workers and settings. The roster
// publishes the adjusted values to the decision module, and only what changed since the last publication.
//
// Locking: UpdateWorkers, SetPolicy and Refresh are serialized. They call the registered functions and the module while
// they hold the publish lock and no other lock of the roster. Registered functions take the locks of their components, so
// a component must not hold such a lock when it calls UpdateWorkers, SetPolicy or Refresh. Workers, Policy and Site may be
// called from anywhere, also from registered functions.
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

// Options configure a roster.
type Options struct {
	Zones []string // zone names by the module's zone index
	// UpdateWorkers and UpdateSettings pass changes to the module.
	UpdateWorkers  func(kind brain.ListKind, list []core.Worker)
	UpdateSettings func(settings brain.Settings)
	Probe          func(ctx context.Context, w core.Worker) error
}

// Policy is the part of the current policy that concerns the module.
type Policy struct {
	Settings   brain.Settings
	ClassIndex map[string]int // index of each class in the module, by class name
	Version    int64          // 0: no policy yet
}

// Roster holds the workers and the policy. Components register with AdjustSettings, AdjustWorker, AdjustWorkers, OnPrune
// and SubscribeProbes before the roster is used.
type Roster struct {
	options       Options
	settingsFuncs []func(settings *brain.Settings, classIndex map[string]int)
	adjust        []func(policy Policy, list []core.Worker)
	pruners       []func(listed func(name string) bool)
	subscriptions []ProbeSubscription

	mu      sync.Mutex // leaf lock: no function is called while it is held
	workers map[brain.EngineID]core.Worker
	sorted  []core.Worker // the workers, sorted by name
	policy  Policy

	publishMu        sync.Mutex // guards the fields below and serializes the calls to the module
	publishedWorkers map[brain.EngineID]core.Worker
	publishedPolicy  Policy // as last passed to the module
}

// New returns a roster without workers.
func New(o Options) *Roster {
	return &Roster{options: o, workers: map[brain.EngineID]core.Worker{}, publishedWorkers: map[brain.EngineID]core.Worker{}}
}

// AdjustSettings registers a function that adjusts the settings before they are published. Functions change Admitted only
// through ScaleAdmitted, so that their factors multiply.
func (r *Roster) AdjustSettings(f func(settings *brain.Settings, classIndex map[string]int)) {
	r.settingsFuncs = append(r.settingsFuncs, f)
}

// AdjustWorker registers a function that adjusts a copy of each worker before it is published. Functions change
// ClassWeights only through ScaleWeight, so that their factors multiply.
func (r *Roster) AdjustWorker(f func(w *core.Worker)) {
	r.AdjustWorkers(func(_ Policy, list []core.Worker) {
		for i := range list {
			f(&list[i])
		}
	})
}

// AdjustWorkers registers a function that adjusts the workers where the result depends on the whole list. Functions run in
// the order of registration. Each gets the current policy and the list, sorted by name, as adjusted by those before it.
func (r *Roster) AdjustWorkers(f func(p Policy, list []core.Worker)) { r.adjust = append(r.adjust, f) }

// OnPrune registers a function that drops state about workers that are no longer listed. It runs at each UpdateWorkers.
func (r *Roster) OnPrune(f func(listed func(name string) bool)) { r.pruners = append(r.pruners, f) }

// ScaleWeight multiplies a worker's weight for the class with the given index.
func ScaleWeight(w *core.Worker, at int, by float64) { w.ClassWeights = scale(w.ClassWeights, at, by) }

// ScaleAdmitted multiplies the admitted fraction of the class with the given index.
func ScaleAdmitted(settings *brain.Settings, at int, by float64) {
	settings.Admitted = scale(settings.Admitted, at, by)
}

// scale multiplies the value at an index and returns the list. A short list is extended with ones.
func scale(values []float64, index int, by float64) []float64 {
	for len(values) <= index {
		values = append(values, 1)
	}
	values[index] *= by
	return values
}

// Workers returns the workers as discovery lists them, sorted by name. Callers must not modify their slices.
func (r *Roster) Workers() []core.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sorted)
}

// Policy returns the current policy.
func (r *Roster) Policy() Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy
}

// Site returns the name of a worker's zone, or "" if it has none.
func (r *Roster) Site(w core.Worker) string { return r.Zone(w.Zone) }

// Zone returns the name of the zone with an index, or "" if there is none.
func (r *Roster) Zone(zone int) string {
	if zone < 0 || zone >= len(r.options.Zones) {
		return ""
	}
	return r.options.Zones[zone]
}

// UpdateWorkers applies an update from discovery and passes it on to the module with the workers adjusted.
func (r *Roster) UpdateWorkers(kind brain.ListKind, list []core.Worker) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	listed := r.storeWorkers(kind, list)
	for _, f := range r.pruners {
		f(func(name string) bool { return listed[name] })
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
	r.publish(policy, adjusted) // adjustments of other workers may depend on the number of workers
}

// storeWorkers applies an update to the list and returns the names of the listed workers.
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

// SetPolicy sets the current policy. The caller passes the policy to the components first.
func (r *Roster) SetPolicy(settings brain.Settings, classIndex map[string]int, version int64) {
	r.mu.Lock()
	r.policy = Policy{settings, classIndex, version}
	r.mu.Unlock()
	r.Refresh()
}

// Refresh runs the registered functions again and publishes what changed.
func (r *Roster) Refresh() {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	r.publish(r.adjusted())
}

// adjusted returns the policy and the workers after all adjustments. The caller holds publishMu.
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
	for _, f := range r.adjust {
		f(policy, list)
	}
	adjusted := make(map[brain.EngineID]core.Worker, len(list))
	for _, w := range list {
		adjusted[w.ID] = w
	}
	return policy, adjusted
}

// publish passes to the module what differs from the last publication. The caller holds publishMu.
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
