// Package feed keeps the proxy up to date with the state of the fleet. It polls the machine's agent, and applies each
// snapshot to the lanes and to the front.
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

// Error is the class of errors for snapshots that the proxy can't use. The agent and the proxy may run different
// versions.
var Error = errs.Class("feed: check that agent and proxy run the same version")

const (
	// callTimeout bounds one poll. It exceeds the time for which the agent holds a poll open until a change.
	callTimeout = 7 * time.Second
	// retryInterval is the pause after a failed poll.
	retryInterval = 25 * time.Millisecond
)

// Feed is the proxy's view of the fleet.
type Feed struct {
	address string
	client  *rpc.Client
	front   *front.Front
	env     lane.Environment
	log     zerolog.Logger

	// OnRouters is called with the IP addresses of the edge routers that are alive. Set it before Run.
	OnRouters func(addresses []string)

	position          message.Watch
	configuration     *opconf.Configuration
	table             *opconf.Table
	workers           *registry.Registry
	started           time.Time
	mu                sync.Mutex // guards lanes
	lanes             map[string]*lane.Lane
	routers           int
	agentWorkers      map[string]bool       // IDs of the workers that the agent lists
	configured        *opconf.Configuration // configuration that the lanes run with
	configuredRouters int
	orders            orders
	ready             atomic.Bool
	link              atomic.Uint32 // a message.Link, from the newest snapshot
	view              atomic.Pointer[registry.View]
	zoneRouters       atomic.Pointer[[]string] // hosts of the routers in the proxy's zone
}

// New returns a feed that polls the agent at the loopback address and updates the front.
func New(transport network.Network, address string, to *front.Front, env lane.Environment, log zerolog.Logger) *Feed {
	return &Feed{address: address, client: rpc.NewClient(transport), front: to, env: env, log: log, lanes: map[string]*lane.Lane{}, orders: orders{},
		workers: registry.New(registry.Config{}), started: time.Now()}
}

// SetWaitingSource sets where the lanes query the tokens queued at readers. Call it before Run.
func (f *Feed) SetWaitingSource(source lane.WaitingSource) { f.env.Waiting = source }

// Ready reports whether a configuration is in force.
func (f *Feed) Ready() bool { return f.ready.Load() }

// Link is the state of this router's connection to the control plane, from the newest snapshot.
func (f *Feed) Link() message.Link { return message.Link(f.link.Load()) }

// InZone reports whether a host is a worker or a router of the proxy's zone.
func (f *Feed) InZone(host string) bool {
	if routers := f.zoneRouters.Load(); routers != nil && slices.Contains(*routers, host) {
		return true
	}
	view := f.view.Load()
	if view == nil {
		return false
	}
	return slices.ContainsFunc(view.All(), func(worker registry.Worker) bool {
		address, _, err := net.SplitHostPort(worker.Address)
		return err == nil && address == host && worker.Zone == f.env.Zone
	})
}

// Run polls the agent until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.log.Info().Err(err).Msg("polling the agent failed; retrying")
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		}
	}
}

// Stop ends the lanes' timers. Call it when no request is open.
func (f *Feed) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, serviceLane := range f.lanes {
		serviceLane.Stop()
	}
}

// poll polls the agent once and applies the answer.
func (f *Feed) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := f.position
	snapshot, err := message.CallWatch.Call(ctx, f.client, f.address, &request)
	if err != nil {
		return err
	}
	f.link.Store(uint32(snapshot.Link))
	if snapshot.Unchanged {
		return nil
	}
	if err := f.apply(snapshot); err != nil {
		return err
	}
	f.position = message.Watch{Revision: snapshot.Revision, Settings: snapshot.Settings, AgentRun: snapshot.AgentRun}
	return nil
}

// apply puts a snapshot in force. A configuration older than the one in force is ignored: an agent that has just
// started may still have one.
func (f *Feed) apply(snapshot *message.Snapshot) error {
	if !snapshot.RoutersUnchanged {
		f.routers = max(len(snapshot.Routers), 1)
		f.zoneRouters.Store(&snapshot.SameZone)
		if f.OnRouters != nil {
			f.OnRouters(snapshot.Routers)
		}
	}
	f.updateWorkers(snapshot)
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
	if f.configured != f.configuration || f.configuredRouters != f.routers {
		f.configured, f.configuredRouters = f.configuration, f.routers
		f.configure()
	}
	f.updateLanes(f.orders.apply(snapshot.Orders, time.Now()))
	f.publish()
	return nil
}

// updateWorkers merges the workers of a snapshot and drops those that the agent no longer lists.
func (f *Feed) updateWorkers(snapshot *message.Snapshot) {
	now := time.Since(f.started)
	f.workers.Merge(now, snapshot.Workers)
	f.workers.Expire(now)
	f.view.Store(f.workers.View())
	if !snapshot.Delta || f.agentWorkers == nil {
		f.agentWorkers = make(map[string]bool, len(snapshot.Workers))
	}
	for _, entry := range snapshot.Workers {
		f.agentWorkers[topic.Node(entry.Key)] = true
	}
	for _, key := range snapshot.Removed {
		delete(f.agentWorkers, topic.Node(key))
	}
}

// configure applies the configuration to the lanes and adds lanes for new services.
func (f *Feed) configure() {
	routes := map[string][]opconf.Route{}
	for _, route := range f.configuration.Routes {
		for _, share := range route.Shares {
			routes[share.Service] = append(routes[share.Service], route)
		}
	}
	for _, service := range f.configuration.Services {
		serviceLane := f.lanes[service.Name]
		if serviceLane == nil {
			serviceLane = lane.New(service, f.env, f.routers)
			f.mu.Lock()
			f.lanes[service.Name] = serviceLane
			f.mu.Unlock()
		}
		serviceLane.Configure(service, routes[service.Name], f.routers)
	}
}

// updateLanes passes each lane its workers, and sets the connection limits of all workers.
func (f *Feed) updateLanes(changing map[string]string) {
	view := f.workers.View()
	for name, serviceLane := range f.lanes {
		unknown := func(worker registry.Worker) bool { return !f.agentWorkers[worker.ID] }
		serviceLane.List(slices.DeleteFunc(view.Workers(name), unknown), changing)
	}
	f.env.Calls.LimitConnections(connectionShares(f.configuration.Services, view, f.routers))
}

// publish passes the routing in force to the front.
func (f *Feed) publish() {
	lanes := make(map[string]*lane.Lane, len(f.lanes))
	for name, serviceLane := range f.lanes {
		lanes[name] = serviceLane
	}
	f.front.SetRouting(&front.Routing{Table: f.table, Limits: f.configuration.Limits, Lanes: lanes})
	f.ready.Store(true)
}

// Waiting implements hints.Load.
func (f *Feed) Waiting() hints.Waiting {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := hints.Waiting{}
	for _, serviceLane := range f.lanes {
		for engine, tokens := range serviceLane.Core().PendingTokens(calls.RoleReading) {
			all[uint64(engine)] = tokens
		}
	}
	return all
}

// Reported implements hints.Load.
func (f *Feed) Reported(all hints.Waiting) {
	waiting := make(map[brain.EngineID]float64, len(all))
	for engine, tokens := range all {
		waiting[brain.EngineID(engine)] = tokens
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, serviceLane := range f.lanes {
		serviceLane.Core().Reported(waiting)
	}
}

// Zones returns the zones of a deployment, sorted, so that all proxies number them alike.
func Zones(zones map[string]string) []string {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Decisions returns the decision counts of the lanes, by service name.
func (f *Feed) Decisions() map[string][]lane.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string][]lane.Decision, len(f.lanes))
	for name, serviceLane := range f.lanes {
		all[name] = serviceLane.Decisions()
	}
	return all
}
