// Package lane dispatches the requests of one service. A lane holds a core with its decision module, the service's
// workers as the module sees them, and the service's retry budget.
package lane

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/core"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/trial"
)

// Environment is what all lanes of a proxy share.
type Environment struct {
	Calls    *calls.Calls
	Zone     string
	Zones    []string // of the deployment, in the same order at every proxy
	Budget   budget.Terms
	Seed     uint64
	Log      logrus.FieldLogger
	Started  time.Time // when the process started; zero if no process ran before it
	Disabled trial.Off
	Waiting  WaitingSource // may be nil
}

// processAge is how long this process has existed. If no process ran before it, it is the whole retry window, as no
// predecessor can have used the retry budget.
func (e *Environment) processAge() time.Duration {
	if e.Started.IsZero() {
		return e.Budget.Window
	}
	return time.Since(e.Started)
}

// Lane serves one service. Create it with New, then call Configure and List after each change.
type Lane struct {
	service string
	env     Environment
	core    *core.Core
	started time.Time
	cancel  context.CancelFunc

	mu       sync.Mutex
	budget   *budget.Budget
	settings brain.Settings
	classes  map[string]int // indices by route name; they never change
	listed   map[brain.EngineID]bool
	extra    extraCounts
}

// New creates the lane of a service and runs it until Stop.
func New(service opconf.Service, env Environment, routers int) *Lane {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lane{
		service: service.Name,
		env:     env,
		started: time.Now(),
		cancel:  cancel,
		budget:  budget.New(env.Budget, routers, env.processAge()),
		classes: map[string]int{},
		listed:  map[brain.EngineID]bool{},
		extra:   extraCounts{},
	}
	l.settings = l.newSettings(service, routers)
	l.core = core.New(l.settings, env.Seed, env.Calls, env.Log)
	go l.core.Run(ctx)
	return l
}

// Stop ends the lane's timers. Call it when no request is open.
func (l *Lane) Stop() { l.cancel() }

func (l *Lane) Core() *core.Core { return l.core }

// Class returns the index of a route in the lane's settings, or -1 if the lane does not know the route.
func (l *Lane) Class(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index, known := l.classes[route]; known {
		return index
	}
	return -1
}

// Do handles a request until its final answer.
func (l *Lane) Do(ctx context.Context, client core.Client, job *calls.Job) {
	l.mu.Lock()
	l.budget.CountRequest(time.Since(l.started))
	l.mu.Unlock()
	l.refreshWaiting(ctx, job)
	l.core.Do(ctx, job, client)
}

// Resume handles the remainder of a request that Do has counted already.
func (l *Lane) Resume(ctx context.Context, client core.Client, job *calls.Job) {
	l.core.Do(ctx, job, client)
}

// Configure applies the service, its routes and the number of routers.
func (l *Lane) Configure(service opconf.Service, routes []opconf.Route, routers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetRouters(time.Since(l.started), routers)
	settings := l.newSettings(service, routers)
	settings.Classes = append([]brain.Class(nil), l.settings.Classes...)
	lowestRank := 0
	for i := range routes {
		lowestRank = max(lowestRank, routes[i].Rank)
	}
	for i := range routes {
		index, known := l.classes[routes[i].Name]
		if !known {
			index = len(settings.Classes)
			l.classes[routes[i].Name] = index
			settings.Classes = append(settings.Classes, brain.Class{})
		}
		settings.Classes[index] = classOf(&routes[i], lowestRank)
	}
	l.settings = settings
	l.core.UpdateSettings(settings)
}

// classOf converts a route to a class of the decision module. Operators set ranks instead of worths. The lowest rank
// has worth 1, and each rank above it is worth one more.
func classOf(route *opconf.Route, lowestRank int) brain.Class {
	effect := brain.Unsafe
	if route.Idempotent() {
		effect = brain.Safe
	}
	return brain.Class{
		Aim:      route.Target,
		Deadline: route.GiveUp,
		Worth:    float64(lowestRank - route.Rank + 1),
		Effect:   effect,
	}
}

// The indices of the kinds of workers in the module's settings.
const (
	kindReading = iota
	kindWriting
	kindWhole
)

// maxHoldOff bounds the advice on when a refused client should retry.
const maxHoldOff = 2 * time.Second

// lateShare is how far between target and deadline a request may be projected to wait and still be admitted. A late
// answer is worth less than one in time, but far more than a refusal.
const lateShare = 0.5

// rereadWeight is the extra cost of prefilling a shared prefix at one more worker, besides the time. The copy takes
// cache memory from other prefixes and has a cost of its own.
const rereadWeight = 10

// minPrefillTokens is the prompt length from which prefill runs on a separate reader. A separate prefill takes about 30
// ms at any length, and the KV cache has to be transferred. A writer prefills fewer tokens than that between two decode
// steps.
const minPrefillTokens = 1000

// noZone is the zone of a router that does not prefer its own zone.
const noZone = -1

// timeStep is the resolution of the module's times.
const timeStep = time.Millisecond

// newSettings returns the module's settings without classes.
func (l *Lane) newSettings(service opconf.Service, routers int) brain.Settings {
	settings := brain.Settings{
		Zone:       l.zone(l.env.Zone),
		Routers:    routers,
		MaxHoldOff: maxHoldOff,
		HoldOff:    true,
		LateShare:  lateShare,

		RereadWeight: rereadWeight,
		Probing:      true,
		Cancelling:   true,
		Step:         timeStep,
	}
	memory := 0.0
	if service.Runner != nil {
		settings.Zone = noZone // a prefix is prefilled once for all zones
		memory = float64(service.Runner.MemoryTokens)
		settings.PinLimit = service.Runner.TicketHold
		settings.MinPrefillTokens = minPrefillTokens
	}
	l.applyTrial(&settings)
	settings.Kinds = []brain.Kind{
		kindReading: {Role: brain.Reader, MemoryTokens: memory},
		kindWriting: {Role: brain.Writer, MemoryTokens: memory},
		kindWhole:   {Role: brain.Mixed, MemoryTokens: memory},
	}
	return settings
}

// applyTrial disables the mechanisms that a trial leaves out.
func (l *Lane) applyTrial(settings *brain.Settings) {
	disabled := l.env.Disabled
	settings.Probing = !disabled.Has(trial.Probing)
	settings.Cancelling = !disabled.Has(trial.CallOff)
	settings.HoldOff = !disabled.Has(trial.HoldOff)
	if disabled.Has(trial.ShortPrompts) {
		settings.MinPrefillTokens = 1 // 0 would allow separate prefill for prompts of unknown length
	}
	if disabled.Has(trial.RereadWeight) {
		settings.RereadWeight = 0
	}
	if disabled.Has(trial.OneHome) {
		settings.Zone = l.zone(l.env.Zone)
	}
	if disabled.Has(trial.LateShare) {
		settings.LateShare = 0
	}
}

// zone returns the index of a zone. Zones missing from the boot file share the index after the last one.
func (l *Lane) zone(name string) int {
	for i, zone := range l.env.Zones {
		if zone == name {
			return i
		}
	}
	return len(l.env.Zones)
}

// List applies the service's workers and the phases that some of them are about to change to.
func (l *Lane) List(workers []registry.Worker, changing map[string]string) {
	entries := make([]core.Worker, 0, len(workers))
	for i := range workers {
		entry := l.worker(&workers[i])
		if phase, ordered := changing[workers[i].ID]; ordered && phase != workers[i].Phase {
			entry.Availability = brain.Draining
		}
		entries = append(entries, entry)
	}
	l.core.Listed(brain.ListComplete, entries)
}

// worker converts a registry entry to a worker of the core. A worker in another phase is another engine to the module.
func (l *Lane) worker(worker *registry.Worker) core.Worker {
	kind := kindWhole
	switch worker.Phase {
	case calls.RoleReading:
		kind = kindReading
	case "writing":
		kind = kindWriting
	}
	availability := brain.Ready
	if worker.State != registry.Up {
		availability = brain.Draining
	}
	zone := l.zone(worker.Zone)
	return core.Worker{
		Engine: brain.Engine{
			ID:           brain.EngineID(xxhash.Sum64String(worker.ID + "/" + worker.Phase)),
			Zone:         zone,
			Cell:         zone,
			Kind:         kind,
			Availability: availability,
			Weight:       1,
		},
		Name:  worker.ID,
		Addr:  worker.Address,
		Role:  worker.Phase,
		Label: worker.Version,
	}
}
