// Package feed follows the state of the fleet as the machine's agent tells it, and has the front work by it.
package feed

import (
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/brain"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/hints"
	"sumacloft/internal/proxy/lane"
)

// Error is the class of what the agent tells and the proxy can't use: the two may be of different versions.
var Error = errs.Class("feed: check that agent and proxy run the same version")

const (
	// callLimit bounds one question; it is above the time for which the agent waits for a change.
	callLimit = 7 * time.Second
	// retryInterval is the pause after a question that failed.
	retryInterval = 25 * time.Millisecond
)

// Feed is the proxy's view of the fleet.
type Feed struct {
	address string
	client  *rpc.Client
	front   *front.Front
	around  lane.Surroundings
	log     zerolog.Logger

	// OnRouters is told the IP addresses of the edge routers that are alive; set it before Run.
	OnRouters func(addresses []string)

	known         message.Watch
	configuration *opconf.Configuration
	table         *opconf.Table
	workers       *registry.Registry
	began         time.Time
	mu            sync.Mutex // guards lanes
	lanes         map[string]*lane.Lane
	routers       int
	listed        map[string]bool       // ids of the workers that the agent knows
	configured    *opconf.Configuration // what the lanes were brought to, and for how many routers
	configuredFor int
	orders        orders
	ready         atomic.Bool
	link          atomic.Uint32 // message.Link, as the agent told it last
	view          atomic.Pointer[registry.View]
	nearRouters   atomic.Pointer[[]string] // hosts of the routers of the own zone
}

// New makes a feed from the agent at the loopback address to the front.
func New(over network.Network, address string, to *front.Front, around lane.Surroundings, log zerolog.Logger) *Feed {
	return &Feed{address: address, client: rpc.NewClient(over), front: to, around: around, log: log, lanes: map[string]*lane.Lane{}, orders: orders{},
		workers: registry.New(registry.Config{}), began: time.Now()}
}

// Use has the lanes ask a board what waits at readers; call it before Run.
func (f *Feed) Use(board lane.Board) { f.around.Board = board }

// Ready tells whether a configuration is in force.
func (f *Feed) Ready() bool { return f.ready.Load() }

// Link is how this router stands to the control plane, as its agent told it last.
func (f *Feed) Link() message.Link { return message.Link(f.link.Load()) }

// Near tells whether a host is a worker's or a router's of the own zone.
func (f *Feed) Near(host string) bool {
	if routers := f.nearRouters.Load(); routers != nil && slices.Contains(*routers, host) {
		return true
	}
	view := f.view.Load()
	if view == nil {
		return false
	}
	return slices.ContainsFunc(view.All(), func(worker registry.Worker) bool {
		address, _, err := net.SplitHostPort(worker.Address)
		return err == nil && address == host && worker.Zone == f.around.Zone
	})
}

// Run follows the agent until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.log.Info().Err(err).Msg("the agent did not answer")
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		}
	}
}

// Stop ends the lanes' timers; call it once nothing is open.
func (f *Feed) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, served := range f.lanes {
		served.Stop()
	}
}

// follow asks once and takes the answer.
func (f *Feed) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	question := f.known
	snapshot, err := message.CallWatch.Call(ctx, f.client, f.address, &question)
	if err != nil {
		return err
	}
	f.link.Store(uint32(snapshot.Link))
	if snapshot.Same {
		return nil
	}
	if err := f.take(snapshot); err != nil {
		return err
	}
	f.known = message.Watch{Revision: snapshot.Revision, Settings: snapshot.Settings, Life: snapshot.Life}
	return nil
}

// take puts a state of the fleet in force. A configuration older than the one in force, as an agent that has just
// started may know it, changes nothing.
func (f *Feed) take(snapshot *message.Snapshot) error {
	if !snapshot.SameRouters {
		f.routers = max(len(snapshot.Routers), 1)
		f.nearRouters.Store(&snapshot.Near)
		if f.OnRouters != nil {
			f.OnRouters(snapshot.Routers)
		}
	}
	f.note(snapshot)
	if len(snapshot.Document) > 0 {
		configuration, err := opconf.ParseAfter(f.configuration, snapshot.Document)
		if err != nil {
			return Error.Wrap(err)
		}
		if f.configuration == nil || configuration.Version > f.configuration.Version {
			f.configuration = configuration
			f.table = configuration.Table()
			f.log.Info().Uint64("version", configuration.Version).Int("routes", len(configuration.Routes)).Msg("configuration in force")
		}
	}
	if f.configuration == nil {
		return nil
	}
	if f.configured != f.configuration || f.configuredFor != f.routers {
		f.configured, f.configuredFor = f.configuration, f.routers
		f.configure()
	}
	f.list(f.orders.take(snapshot.Orders, time.Now()))
	f.use()
	return nil
}

// note takes what is told of workers. One that the agent knows no longer is gone here too.
func (f *Feed) note(snapshot *message.Snapshot) {
	now := time.Since(f.began)
	f.workers.Merge(now, snapshot.Workers)
	f.workers.Expire(now)
	f.view.Store(f.workers.View())
	if !snapshot.Part || f.listed == nil {
		f.listed = make(map[string]bool, len(snapshot.Workers))
	}
	for _, entry := range snapshot.Workers {
		f.listed[topic.Node(entry.Key)] = true
	}
	for _, key := range snapshot.Gone {
		delete(f.listed, topic.Node(key))
	}
}

// configure brings the lanes to the configuration.
func (f *Feed) configure() {
	routes := map[string][]opconf.Route{}
	for _, route := range f.configuration.Routes {
		for _, share := range route.Shares {
			routes[share.Service] = append(routes[share.Service], route)
		}
	}
	for _, service := range f.configuration.Services {
		served := f.lanes[service.Name]
		if served == nil {
			served = lane.New(service, f.around, f.routers)
			f.mu.Lock()
			f.lanes[service.Name] = served
			f.mu.Unlock()
		}
		served.Configure(service, routes[service.Name], f.routers)
	}
}

// list tells the lanes of their workers.
func (f *Feed) list(changing map[string]string) {
	view := f.workers.View()
	for name, served := range f.lanes {
		unknown := func(worker registry.Worker) bool { return !f.listed[worker.ID] }
		served.List(slices.DeleteFunc(view.Workers(name), unknown), changing)
	}
	f.around.Calls.Allot(connectionShares(f.configuration.Services, view, f.routers))
}

// use has the front work by what is in force now.
func (f *Feed) use() {
	lanes := make(map[string]*lane.Lane, len(f.lanes))
	for name, served := range f.lanes {
		lanes[name] = served
	}
	f.front.SetRouting(&front.Routing{Table: f.table, Limits: f.configuration.Limits, Lanes: lanes})
	f.ready.Store(true)
}

// Waiting serves hints.Load.
func (f *Feed) Waiting() hints.Waiting {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := hints.Waiting{}
	for _, served := range f.lanes {
		for engine, tokens := range served.Core().PendingTokens(calls.RoleReading) {
			all[uint64(engine)] = tokens
		}
	}
	return all
}

// Reported serves hints.Load.
func (f *Feed) Reported(all hints.Waiting) {
	waiting := make(map[brain.EngineID]float64, len(all))
	for engine, tokens := range all {
		waiting[brain.EngineID(engine)] = tokens
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, served := range f.lanes {
		served.Core().Reported(waiting)
	}
}

// Zones lists the zones of a deployment in one order for all proxies.
func Zones(zones map[string]string) []string {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Decisions are what the lanes have decided, by the name of the service.
func (f *Feed) Decisions() map[string][]lane.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string][]lane.Decision, len(f.lanes))
	for name, served := range f.lanes {
		all[name] = served.Decisions()
	}
	return all
}
