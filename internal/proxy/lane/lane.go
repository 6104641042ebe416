// Package lane carries the requests of one service: a core with its decision module, the service's workers as the
// module sees them, and the service's budget of further arrivals.
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

// Environment are what all lanes of a proxy share.
type Environment struct {
	Calls    *calls.Calls
	Zone     string
	Zones    []string // of the deployment, in one order at every proxy
	Budget   budget.Terms
	Seed     uint64
	Log      logrus.FieldLogger
	Started  time.Time // of the process; zero: none ran before it
	Disabled trial.Off
	Waiting  WaitingSource // may be nil
}

// processAge is for how long no other process can have taken further arrivals in this one's place.
func (s *Environment) processAge() time.Duration {
	if s.Started.IsZero() {
		return s.Budget.Window
	}
	return time.Since(s.Started)
}

// Lane serves one service. Use New, then Configure and List as news comes.
type Lane struct {
	service string
	env     Environment
	core    *core.Core
	started time.Time
	cancel  context.CancelFunc

	mu       sync.Mutex
	budget   *budget.Budget
	settings brain.Settings
	classes  map[string]int // by the route's name; places never change
	listed   map[brain.EngineID]bool
	extra    extraCounts
}

// New makes the lane of a service and runs it until Stop.
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

// Stop ends the lane's timers; call it once nothing is open.
func (l *Lane) Stop() { l.cancel() }

// Core is the lane's core.
func (l *Lane) Core() *core.Core { return l.core }

// Class is the place of a route in the lane's settings; below 0: the lane does not know the route.
func (l *Lane) Class(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index, known := l.classes[route]; known {
		return index
	}
	return -1
}

// Do carries one request to its final answer.
func (l *Lane) Do(ctx context.Context, client core.Client, job *calls.Job) {
	l.mu.Lock()
	l.budget.CountRequest(time.Since(l.started))
	l.mu.Unlock()
	l.refreshWaiting(ctx, job)
	l.core.Do(ctx, job, client)
}

// Resume carries the rest of a request that Do has counted.
func (l *Lane) Resume(ctx context.Context, client core.Client, job *calls.Job) {
	l.core.Do(ctx, job, client)
}

// Configure takes the service, the routes to it and the number of routers as they are now.
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
	l.core.Retune(settings)
}

// classOf is a route as the module sees it. The operators give ranks, not worths: each rank counts one more.
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

// The kinds of workers in the module's settings.
const (
	kindReading = iota
	kindWriting
	kindWhole
)

// maxHoldOff bounds the advice on when a refused client should return.
const maxHoldOff = 2 * time.Second

// lateShare is how far into the time between aim and deadline a request may be projected to wait and is still taken: a
// late answer earns less than one in time, but far more than a refusal.
const lateShare = 0.5

// rereadWeight is what reading a shared beginning at one more worker counts besides its time: it takes the room of others,
// and has a price of its own.
const rereadWeight = 10

// minPrefillTokens is the length from which prompts are read apart. A separate read takes a reader some thirty milliseconds
// whatever its length, and the prompt's memory has to be moved; a writer reads so few tokens between two steps.
const minPrefillTokens = 1000

// noZone stands for a router whose own zone does not come first.
const noZone = -1

// timeStep is the resolution of the module's times.
const timeStep = time.Millisecond

// newSettings are the module's settings without classes.
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
		settings.Zone = noZone // a prompt's beginning is read once for all zones
		memory = float64(service.Runner.MemoryTokens)
		settings.PinLimit = service.Runner.TicketHold
		settings.WholeTokens = minPrefillTokens
	}
	l.applyTrial(&settings)
	settings.Kinds = []brain.Kind{
		kindReading: {Role: brain.Reader, MemoryTokens: memory},
		kindWriting: {Role: brain.Writer, MemoryTokens: memory},
		kindWhole:   {Role: brain.Mixed, MemoryTokens: memory},
	}
	return settings
}

// applyTrial leaves out what a trial leaves out.
func (l *Lane) applyTrial(settings *brain.Settings) {
	disabled := l.env.Disabled
	settings.Probing = !disabled.Has(trial.Probing)
	settings.Cancelling = !disabled.Has(trial.CallOff)
	settings.HoldOff = !disabled.Has(trial.HoldOff)
	if disabled.Has(trial.ShortPrompts) {
		settings.WholeTokens = 1 // what says nothing of its prompt must not be read apart
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

// zone is the number of a zone; one that the boot file does not name comes after all that it does.
func (l *Lane) zone(name string) int {
	for i, zone := range l.env.Zones {
		if zone == name {
			return i
		}
	}
	return len(l.env.Zones)
}

// List takes the service's workers as they are now, and the phases that some are about to have.
func (l *Lane) List(workers []registry.Worker, changing map[string]string) {
	entries := make([]core.Worker, 0, len(workers))
	for i := range workers {
		entry := l.worker(&workers[i])
		if phase, ordered := changing[workers[i].ID]; ordered && phase != workers[i].Phase {
			entry.Availability = brain.Draining
		}
		entries = append(entries, entry)
	}
	l.core.Listed(brain.ListWhole, entries)
}

// worker is a worker as the core sees it. One that changes its phase is another engine to the module.
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
