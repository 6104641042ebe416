// Package agent implements the process that runs beside each proxy. It keeps the machine's replica of the fleet's
// state, maintains the link to the control plane, and feeds the proxy over loopback.
package agent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/boot"
	"sumacloft/internal/inflight"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/status"
)

const (
	// heartbeatInterval is how often an edge router sends heartbeats.
	heartbeatInterval = time.Second
	// joinInterval is the delay between attempts to join.
	joinInterval = 50 * time.Millisecond
	// fanOut is the number of other routers that an update is forwarded to.
	fanOut = 2
)

// MemoryShare is how an agent divides its memory. It leaves most of it to the proxy, whose machine it shares.
var MemoryShare = inflight.Share{Requests: 0.1, Connections: 0.125, Runtime: 0.5}

// Agent is the process that runs beside a proxy.
type Agent struct {
	settings  *boot.Settings
	network   network.Network
	log       zerolog.Logger
	client    *rpc.Client
	members   *membership.Membership
	address   string
	feed      *feed
	account   *inflight.Account // of all requests of the process
	servers   []*rpc.Server
	startedAt time.Time
	logLines  status.Log // may be nil

	confirmation *confirmation
	faults       Faults
}

// Faults are deliberate violations that check the tests. All are off outside tests.
type Faults struct {
	// TrustAnyMember accepts the first configuration from any member as the newest, and queries no other member.
	TrustAnyMember bool
}

// InjectFaults enables faults. Call it before Run.
func (a *Agent) InjectFaults(faults Faults) {
	a.faults = faults
	if faults.TrustAnyMember {
		a.members.IgnoreAuthority()
	}
}

// New creates an agent on a machine's network.
func New(settings *boot.Settings, transport network.Network, log zerolog.Logger) *Agent {
	a := &Agent{settings: settings, network: transport, log: log, client: rpc.NewClient(transport), startedAt: time.Now()}
	a.account = MemoryShare.Account(settings.Limits.MemoryMB, inflight.Inbound(settings.Limits.OpenFiles))
	a.confirmation = newConfirmation(settings.Bear.Machines)
	a.address = membership.InsideAddress(settings.IP, settings.InsidePorts, membership.PortAgent)
	a.members = membership.New(membership.Config{
		Prefix:   topic.Routers,
		Self:     topic.Peer{Node: settings.Node, Address: a.address, Zone: settings.Zone},
		Starters: membership.StarterAddresses(settings),
		Interval: heartbeatInterval,
		FanOut:   fanOut,
		Client:   a.client,
		Log:      log,
	})
	a.feed = newFeed(a.members.Node(), settings.Zone, a.confirmation.released, a.link)
	return a
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	inside := http.NewServeMux()
	a.members.Node().Handle(inside)
	a.handleStatus(inside)
	if err := a.serve(inside, a.address); err != nil {
		return err
	}
	loopback := http.NewServeMux()
	message.CallWatch.Handle(loopback, a.feed.watch)
	if err := a.serve(loopback, FeedAddress(a.settings)); err != nil {
		return err
	}
	go a.confirmConfiguration(ctx)
	a.join(ctx)
	go a.expireTombstones(ctx)
	a.members.Run(ctx)
	return nil
}

// FeedAddress returns the address where a machine's agent serves the feed to its proxy.
func FeedAddress(settings *boot.Settings) string {
	return LoopbackAddress(settings, membership.PortFeed)
}

// loopbackIP is the address for traffic between the processes of a machine.
const loopbackIP = "127.0.0.1"

// LoopbackAddress returns the address of an inside port that only the machine's own processes reach. Machines whose own
// address is in the loopback network, as in a trial on one host, each use their own address.
func LoopbackAddress(settings *boot.Settings, port int) string {
	if ip, err := netip.ParseAddr(settings.IP); err == nil && ip.IsLoopback() {
		return membership.InsideAddress(settings.IP, settings.InsidePorts, port)
	}
	return membership.InsideAddress(loopbackIP, settings.InsidePorts, port)
}

func (a *Agent) serve(mux *http.ServeMux, address string) error {
	server := rpc.NewServer(a.network, mux, a.account)
	a.servers = append(a.servers, server)
	return server.Serve(address)
}

// join fetches the fleet's state from the starters until a control member is known, then announces this router.
func (a *Agent) join(ctx context.Context) {
	for ctx.Err() == nil {
		reached := a.members.Join(ctx)
		if snapshot, _ := a.members.Node().Snapshot(); reached > 0 && len(snapshot.Prefix(topic.Controls)) > 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
	a.members.Announce()
}

// Reload applies a boot file that was read again.
func (a *Agent) Reload(settings *boot.Settings) {
	a.members.SetStarters(membership.StarterAddresses(settings))
}

// leaveWait is how long Leave waits for its announcement to be sent.
const leaveWait = 100 * time.Millisecond

// Leave announces to the fleet that this router is shutting down.
func (a *Agent) Leave() {
	a.members.Leave()
	time.Sleep(leaveWait)
}

// State returns this machine's replica of the fleet's state and a channel that is closed at its next change.
func (a *Agent) State() (replica.Snapshot, <-chan struct{}) { return a.members.Node().Snapshot() }

// Idle reports whether no proxy has watched the state for the given time.
func (a *Agent) Idle(timeout time.Duration) bool { return a.feed.idle(timeout) }

// Close closes the agent's servers.
func (a *Agent) Close() {
	for _, server := range a.servers {
		if err := server.Close(); err != nil {
			a.log.Info().Err(err).Msg("could not close server")
		}
	}
}
