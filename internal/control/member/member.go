// Package member is the process of a control member. It receives heartbeats of workers and orders of the operator, keeps the
// registry of workers, and publishes changes to the edge routers.
package member

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/boot"
	"sumacloft/internal/bounds"
	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/control/steering"
	"sumacloft/internal/inflight"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/tombstone"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
	"sumacloft/internal/status"
)

// Error is the error class of this package.
var Error = errs.Class("control member")

const (
	// beatInterval is the interval of heartbeats between control members.
	beatInterval = 500 * time.Millisecond
	// fanOut is the number of edge routers to which a control member forwards updates.
	fanOut = 3
	// lapseInterval is the interval of the check for silent workers.
	lapseInterval = 500 * time.Millisecond
	// maxMissedBeats is the number of heartbeats that a worker may miss before its registration lapses.
	maxMissedBeats = 4
	// confirmTimeout bounds the wait for disks and routers before a leave request is acknowledged.
	confirmTimeout = 400 * time.Millisecond
	// leaderlessTimeout is how long a member without a leader still acknowledges heartbeats. After that it records them but
	// returns an error, so that the workers try another member. Otherwise members on the other side of a partition would
	// consider these workers lost.
	leaderlessTimeout = 2 * time.Second
	// ledTimeout is how long after its last contact with a leader a member still reports to routers that it has one.
	ledTimeout = 500 * time.Millisecond
)

// MemoryShare is how a control member divides its memory.
var MemoryShare = inflight.Share{Requests: 0.25, Connections: 0.25, Runtime: 0.75}

// Member is a control member.
type Member struct {
	settings  *boot.Settings
	network   network.Network
	disk      Disk
	log       zerolog.Logger
	client    *rpc.Client
	members   *membership.Membership
	startedAt time.Time
	address   string
	account   *inflight.Account // of all requests of the process
	servers   []*rpc.Server
	steering  *http.Server
	orders    *orders
	// coordination serves applications' locks, counters and keys. It is nil if the settings do not enable it.
	coordination *coordinator
	host         *partition.Host
	stopHost     context.CancelFunc
	logLines     status.Log // may be nil
	faults       Faults
	views        views // latest phase balances, for status reports

	saves *registrySaves

	mu         sync.Mutex
	registry   *registry.Registry
	confirmed  map[string]registry.State // states of leaving workers that a majority of the members has on disk
	pastOrders *tombstone.Tracker        // tombstones of orders to unknown workers
}

// Disk is the storage of a member's partitions.
type Disk struct {
	Open  func(folder string) (disklog.FileSystem, error) // disklog.OS opens a directory of the operating system
	Sizes disklog.Options                                 // size of the log; if zero, it is derived from the disk limit
}

// New creates a control member that uses the given network and disk.
func New(settings *boot.Settings, transport network.Network, disk Disk, log zerolog.Logger) *Member {
	m := &Member{settings: settings, network: transport, disk: disk, log: log, client: rpc.NewClient(transport), startedAt: time.Now()}
	m.account = MemoryShare.Account(settings.Limits.MemoryMB, inflight.Inbound(settings.Limits.OpenFiles))
	m.confirmed = map[string]registry.State{}
	m.saves = newRegistrySaves()
	m.address = membership.InsideAddress(settings.IP, settings.InsidePorts, membership.PortControl)
	m.pastOrders = tombstone.New()
	m.registry = registry.New(registry.Config{Self: settings.Node, HeartbeatTimeout: maxMissedBeats * settings.HeartbeatInterval})
	m.members = membership.New(membership.Config{
		Prefix: topic.Controls,
		Self: topic.Peer{
			Node:     settings.Node,
			Address:  m.address,
			Steering: settings.ListenOn.Control,
			Zone:     settings.Zone,
		},
		Starters:  membership.StarterAddresses(settings),
		Interval:  beatInterval,
		FanOut:    fanOut,
		Client:    m.client,
		Log:       log,
		OnChange:  m.mergeUpdates,
		HasLeader: func() bool { return m.authority() == message.LeaderBacked },
	})
	m.members.Node().SetAuthority(m.authority)
	m.members.Node().SetPersist(m.persistWorkers)
	return m
}

// openRetryInterval is the time between attempts to open the disk log after a write error.
const openRetryInterval = 200 * time.Millisecond

// open opens the partitions on the member's disk. It retries after write errors.
func (m *Member) open(ctx context.Context) error {
	if m.settings.DataFolder == "" {
		return Error.New("data_folder is not set: a control member needs a disk; give the role to machines that have one")
	}
	files, err := m.disk.Open(m.settings.DataFolder)
	if err != nil {
		return err
	}
	m.orders = newOrders(m)
	if m.settings.Promised(coordinationPromise) {
		m.coordination = newCoordinator(m)
	}
	config := partition.Config{
		Self:      consensus.Member{Address: m.address, Node: m.settings.Node},
		Founders:  m.founders(),
		Bootstrap: m.settings.FirstRun,
		Voters:    m.voters(),
		Files:     files,
		Sizes:     m.sizes(),
		Client:    m.client,
		Log:       m.log,
		Machines:  m.machines(),
		Controls:  m.members.ControlAddresses,
		Faults:    m.faults.Partitions,
	}
	for {
		m.host, err = partition.Open(config)
		if err == nil || !disklog.ErrWrite.Has(err) {
			return err
		}
		m.log.Warn().Err(err).Msg("cannot open the disk log: write failed; retrying")
		if !pause(ctx, openRetryInterval) {
			return err
		}
	}
}

// voters is the number of voters in each partition.
func (m *Member) voters() int { return 2*m.settings.Bear.Machines + 1 }

// machines returns the state machines of all partitions.
func (m *Member) machines() map[partition.Group]partition.StateMachine {
	machines := serviceMachines()
	machines[settingsGroup] = m.orders.machine
	if m.coordination != nil {
		for number, machine := range m.coordination.machines {
			machines[number] = machine
		}
	}
	return machines
}

const (
	// ringSegments is the number of files of the disk log.
	ringSegments = 4
	// ringShare is the share of the disk limit that the disk log uses.
	ringShare = 0.5
	// maxSegmentBytes and minSegmentBytes bound the size of one file. The largest order has to fit into one.
	maxSegmentBytes, minSegmentBytes = 16 << 20, 1 << 20
)

// sizes returns the configured sizes of the disk log, or sizes derived from the disk limit.
func (m *Member) sizes() disklog.Options {
	if m.disk.Sizes != (disklog.Options{}) {
		return m.disk.Sizes
	}
	bytes := int64(ringShare * float64(m.settings.Limits.DiskMB) * (1 << 20) / ringSegments)
	return disklog.Options{Segments: ringSegments, SegmentBytes: min(max(bytes, minSegmentBytes), maxSegmentBytes)}
}

// founders returns the initial members of the partitions, one for each starter in the boot file of the first start.
func (m *Member) founders() []consensus.Member {
	var founders []consensus.Member
	for _, address := range membership.StarterAddresses(m.settings) {
		founders = append(founders, consensus.Member{ID: partition.FounderID(address), Address: address, Node: address})
	}
	return founders
}

// Reload applies a reloaded boot file.
func (m *Member) Reload(settings *boot.Settings) {
	m.members.SetStarters(membership.StarterAddresses(settings))
}

// Run serves until the context ends.
func (m *Member) Run(ctx context.Context) error {
	if err := m.open(ctx); err != nil {
		return err
	}
	inside := http.NewServeMux()
	m.members.Node().Handle(inside)
	m.orders.handle(inside)
	m.host.Handle(inside)
	if m.coordination != nil {
		m.coordination.handle(inside)
	}
	m.handleStatus(inside)
	server := rpc.NewServer(m.network, inside, m.account)
	m.servers = append(m.servers, server)
	if err := server.Serve(m.address); err != nil {
		return err
	}
	listener, err := m.network.Listen(m.settings.ListenOn.Control)
	if err != nil {
		return Error.Wrap(err)
	}
	limiter := bounds.NewFixed(m.account)
	m.steering = limiter.Server(m.steeringHandler(), nil)
	go func() { _ = m.steering.Serve(limiter.Listen(listener)) }() // ends with Close
	m.restoreRegistry()
	hostContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.stopHost = stop
	go m.host.Run(hostContext) // keeps replicating until Close
	go m.runSaves(hostContext)
	m.members.Join(ctx)
	m.members.Announce()
	go m.runLapses(ctx)
	go newDuty(m).run(ctx)
	if m.coordination != nil {
		go m.coordination.sweep(ctx)
	}
	m.members.Run(ctx)
	m.leave()
	return nil
}

// steeringHandler returns the handler of the steering address.
func (m *Member) steeringHandler() http.Handler {
	if m.coordination == nil {
		return steering.Handler(m, m.orders, nil)
	}
	return steering.Handler(m, m.orders, m.coordination)
}

// Close stops the member's servers and its partitions.
func (m *Member) Close() {
	for _, server := range m.servers {
		_ = server.Close() // the process exits anyway
	}
	_ = m.steering.Close()
	m.stopHost()
}

func (m *Member) now() time.Duration { return time.Since(m.startedAt) }

// isLed reports whether this member had contact with the leaders of all partitions within the limit, and is in contact
// itself: with a majority if it leads, otherwise with another member that has a leader.
func (m *Member) isLed(limit time.Duration) bool {
	return m.host.HasLeaders(limit) && (m.host.Leads() || m.members.InContact(leaderlessTimeout))
}

// authority returns how reliable this member's copy of the fleet state is.
func (m *Member) authority() message.Authority {
	switch {
	case m.isLed(ledTimeout):
		return message.LeaderBacked
	case m.host.Voter():
		return message.Durable
	}
	return message.Gossiped
}

// mergeUpdates merges updates of workers from other members into the registry.
func (m *Member) mergeUpdates(updates []replica.Entry) {
	m.mu.Lock()
	changed := m.registry.Merge(m.now(), updates)
	m.mu.Unlock()
	m.publishWorkers(changed)
}

func (m *Member) publishWorkers(changed []registry.Worker) {
	if len(changed) == 0 {
		return
	}
	entries := make([]replica.Entry, 0, len(changed))
	for _, worker := range changed {
		entries = append(entries, registry.EntryOf(worker))
	}
	m.members.Node().Put(entries...)
}

// runLapses periodically marks silent workers as lapsed and removes expired ones.
func (m *Member) runLapses(ctx context.Context) {
	periodic.Run(ctx, lapseInterval, m.lapse)
}

func (m *Member) lapse() {
	now := m.now()
	snapshot, _ := m.members.Node().Snapshot()
	m.mu.Lock()
	changed := m.registry.Lapse(now)
	changed = append(changed, m.registry.AdoptLapsed(now, m.deadHomes(snapshot))...)
	forgotten := m.registry.Expire(now)
	for _, key := range forgotten {
		delete(m.confirmed, topic.Node(key))
	}
	forgotten = append(forgotten, m.pastOrders.Expire(now, topic.OrphanedOrders(snapshot))...)
	m.mu.Unlock()
	for _, worker := range changed {
		m.log.Info().Str("worker", worker.ID).Str("service", worker.Service).Msg("worker lapsed: no heartbeat")
	}
	m.publishWorkers(changed)
	if len(forgotten) > 0 {
		m.members.Node().Forget(forgotten...)
	}
}

// deadHomes returns the home members of workers that are no live control members. The caller holds the lock.
func (m *Member) deadHomes(snapshot replica.Snapshot) []string {
	alive := map[string]bool{}
	for _, peer := range topic.Peers(snapshot.Prefix(topic.Controls)) {
		alive[peer.Node] = true
	}
	var dead []string
	for _, home := range m.registry.Homes() {
		if !alive[home] {
			dead = append(dead, home)
		}
	}
	return dead
}
