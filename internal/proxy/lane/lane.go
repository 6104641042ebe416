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

// Surroundings are what all lanes of a proxy share.
type Surroundings struct {
	Calls  *calls.Calls
	Zone   string
	Zones  []string // of the deployment, in one order at every proxy
	Budget budget.Terms
	Seed   uint64
	Log    logrus.FieldLogger
	Began  time.Time // of the process; zero: none ran before it
	Trial  trial.Off
	Board  Board // may be nil
}

// age is for how long no other process can have taken further arrivals in this one's place.
func (s *Surroundings) age() time.Duration {
	if s.Began.IsZero() {
		return s.Budget.Window
	}
	return time.Since(s.Began)
}

// Lane serves one service. Use New, then Configure and List as news comes.
type Lane struct {
	service string
	around  Surroundings
	core    *core.Core
	began   time.Time
	stop    context.CancelFunc

	mu       sync.Mutex
	budget   *budget.Budget
	settings brain.Settings
	classes  map[string]int // by the route's name; places never change
	listed   map[brain.EngineID]bool
	further  furtherCounts
}

// New makes the lane of a service and runs it until Stop.
func New(service opconf.Service, around Surroundings, routers int) *Lane {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lane{
		service: service.Name,
		around:  around,
		began:   time.Now(),
		stop:    cancel,
		budget:  budget.New(around.Budget, routers, around.age()),
		classes: map[string]int{},
		listed:  map[brain.EngineID]bool{},
		further: furtherCounts{},
	}
	l.settings = l.newSettings(service, routers)
	l.core = core.New(l.settings, around.Seed, around.Calls, around.Log)
	go l.core.Run(ctx)
	return l
}

// Stop ends the lane's timers; call it once nothing is open.
func (l *Lane) Stop() { l.stop() }

// Core is the lane's core.
func (l *Lane) Core() *core.Core { return l.core }

// Class is the place of a route in the lane's settings; below 0: the lane does not know the route.
func (l *Lane) Class(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place, known := l.classes[route]; known {
		return place
	}
	return -1
}

// Do carries one request to its final answer.
func (l *Lane) Do(ctx context.Context, client core.Client, job *calls.Job) {
	l.mu.Lock()
	l.budget.Request(time.Since(l.began))
	l.mu.Unlock()
	l.look(ctx, job)
	l.core.Do(ctx, job, client)
}

// PickUp carries the rest of a request that Do has counted.
func (l *Lane) PickUp(ctx context.Context, client core.Client, job *calls.Job) {
	l.core.Do(ctx, job, client)
}

// Configure takes the service, the routes to it and the number of routers as they are now.
func (l *Lane) Configure(service opconf.Service, routes []opconf.Route, routers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Share(time.Since(l.began), routers)
	settings := l.newSettings(service, routers)
	settings.Classes = append([]brain.Class(nil), l.settings.Classes...)
	lowest := 0
	for i := range routes {
		lowest = max(lowest, routes[i].Rank)
	}
	for i := range routes {
		place, known := l.classes[routes[i].Name]
		if !known {
			place = len(settings.Classes)
			l.classes[routes[i].Name] = place
			settings.Classes = append(settings.Classes, brain.Class{})
		}
		settings.Classes[place] = classOf(&routes[i], lowest)
	}
	l.settings = settings
	l.core.UpdateSettings(settings)
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

// longestHoldOff bounds the advice on when a refused client should return.
const longestHoldOff = 2 * time.Second

// lateShare is how far into the time between aim and deadline a request may be projected to wait and is still taken: a
// late answer earns less than one in time, but far more than a refusal.
const lateShare = 0.5

// rereadWeight is what reading a shared beginning at one more worker counts besides its time: it takes the room of others,
// and has a price of its own.
const rereadWeight = 10

// wholeTokens is the length from which prompts are read apart. A separate read takes a reader some thirty milliseconds
// whatever its length, and the prompt's memory has to be moved; a writer reads so few tokens between two steps.
const wholeTokens = 1000

// noZone stands for a router whose own zone does not come first.
const noZone = -1

// shortestStep is the resolution of the module's times.
const shortestStep = time.Millisecond

// newSettings are the module's settings without classes.
func (l *Lane) newSettings(service opconf.Service, routers int) brain.Settings {
	settings := brain.Settings{
		Zone:       l.zone(l.around.Zone),
		Routers:    routers,
		MaxHoldOff: longestHoldOff,
		HoldOff:    true,
		LateShare:  lateShare,

		RereadWeight: rereadWeight,
		Probing:      true,
		Cancelling:   true,
		Step:         shortestStep,
	}
	memory := 0.0
	if service.Runner != nil {
		settings.Zone = noZone // a prompt's beginning is read once for all zones
		memory = float64(service.Runner.MemoryTokens)
		settings.PinLimit = service.Runner.TicketHold
		settings.MinPrefillTokens = wholeTokens
	}
	l.switchOff(&settings)
	settings.Kinds = []brain.Kind{
		kindReading: {Role: brain.Reader, MemoryTokens: memory},
		kindWriting: {Role: brain.Writer, MemoryTokens: memory},
		kindWhole:   {Role: brain.Mixed, MemoryTokens: memory},
	}
	return settings
}

// switchOff leaves out what a trial leaves out.
func (l *Lane) switchOff(settings *brain.Settings) {
	off := l.around.Trial
	settings.Probing = !off.Has(trial.Probing)
	settings.Cancelling = !off.Has(trial.CallOff)
	settings.HoldOff = !off.Has(trial.HoldOff)
	if off.Has(trial.ShortPrompts) {
		settings.MinPrefillTokens = 1 // what says nothing of its prompt must not be read apart
	}
	if off.Has(trial.RereadWeight) {
		settings.RereadWeight = 0
	}
	if off.Has(trial.OneHome) {
		settings.Zone = l.zone(l.around.Zone)
	}
	if off.Has(trial.LateShare) {
		settings.LateShare = 0
	}
}

// zone is the number of a zone; one that the boot file does not name comes after all that it does.
func (l *Lane) zone(name string) int {
	for i, zone := range l.around.Zones {
		if zone == name {
			return i
		}
	}
	return len(l.around.Zones)
}

// List takes the service's workers as they are now, and the phases that some are about to have.
func (l *Lane) List(workers []registry.Worker, changing map[string]string) {
	list := make([]core.Worker, 0, len(workers))
	for i := range workers {
		listed := l.worker(&workers[i])
		if phase, ordered := changing[workers[i].ID]; ordered && phase != workers[i].Phase {
			listed.Availability = brain.Draining
		}
		list = append(list, listed)
	}
	l.core.Listed(brain.ListComplete, list)
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
