// Package member is a control member's process: it hears the workers' heartbeats, takes the operator's orders, keeps the
// registry of workers, and tells the edge routers what has changed.
package member

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/boot"
	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/control/steering"
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

// Error is the class of this package's failures.
var Error = errs.Class("control member")

const (
	// beatInterval is how often a control member sends heartbeats to others of its kind.
	beatInterval = 500 * time.Millisecond
	// fanOut is to how many edge routers a control member passes news on.
	fanOut = 3
	// lapseInterval is how often silent workers are looked for.
	lapseInterval = 500 * time.Millisecond
	// silentBeats is how many heartbeats of a worker may be missing before it lapses.
	silentBeats = 4
	// confirmLimit is how long the acknowledgement of a leaving worker waits for other control members.
	confirmLimit = 400 * time.Millisecond
	// leaderless is how long a member without a leader still acknowledges heartbeats. After that it takes them and has
	// their workers go on to another member: those that it is cut off from would take the workers for lost.
	leaderless = 2 * time.Second
	// ledLimit is how long ago a member may have known a leader and still say so to routers.
	ledLimit = 500 * time.Millisecond
	// headerLimit bounds the time that a caller may take to send the head of a call.
	headerLimit = 5 * time.Second
)

// Member is the process.
type Member struct {
	settings *boot.Settings
	network  network.Network
	disk     Disk
	log      zerolog.Logger
	client   *rpc.Client
	members  *membership.Membership
	began    time.Time
	address  string
	servers  []*rpc.Server
	steering *http.Server
	orders   *orders
	// coordination serves applications' locks, numbers and keys; nil where they are not promised
	coordination *coordinator
	host         *partition.Host
	stopHost     context.CancelFunc
	lines        status.Log // may be nil
	faults       Faults
	views        views // of the duty, for operators

	mu        sync.Mutex
	registry  *registry.Registry
	kept      uint64                    // revision of the view that is on disk
	confirmed map[string]registry.State // of workers that end, as a majority of the members knows it
	past      *tombstone.Tracker        // of orders to workers that are not known
}

// Disk is where a member keeps its partitions.
type Disk struct {
	Open  func(folder string) (disklog.FileSystem, error) // disklog.OS opens a folder of the operating system's
	Sizes disklog.Options                                 // of the log; the zero value is the defaults
}

// New makes a control member on a machine's network and disk.
func New(settings *boot.Settings, over network.Network, disk Disk, log zerolog.Logger) *Member {
	m := &Member{settings: settings, network: over, disk: disk, log: log, client: rpc.NewClient(over), began: time.Now()}
	m.confirmed = map[string]registry.State{}
	m.address = membership.InsideAddress(settings.IP, settings.InsidePorts, membership.PortControl)
	m.past = tombstone.New()
	m.registry = registry.New(registry.Config{Self: settings.Node, Silence: silentBeats * settings.HeartbeatInterval})
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
		OnChange:  m.news,
		HasLeader: func() bool { return m.standing() == message.LeaderBacked },
	})
	m.members.Node().SetAuthority(m.standing)
	return m
}

// openRetry is how long the member waits until it opens its disk again after the disk refused.
const openRetry = 200 * time.Millisecond

// open opens the partitions on the member's disk, again and again while the disk refuses writes.
func (m *Member) open(ctx context.Context) error {
	if m.settings.DataFolder == "" {
		return Error.New("data_folder: a control member needs a disk; give the role to machines that have one")
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
		Self:     consensus.Member{Address: m.address, Node: m.settings.Node},
		Founders: m.founders(),
		First:    m.settings.FirstRun,
		Voters:   m.voters(),
		Files:    files,
		Sizes:    m.sizes(),
		Client:   m.client,
		Log:      m.log,
		Machines: m.machines(),
		Controls: m.members.ControlAddresses,
		Faults:   m.faults.Partitions,
	}
	for {
		m.host, err = partition.Open(config)
		if err == nil || !disklog.ErrWrite.Has(err) {
			return err
		}
		m.log.Warn().Err(err).Msg("the disk refuses writes")
		if !pause(ctx, openRetry) {
			return err
		}
	}
}

// voters is how many members vote in each partition.
func (m *Member) voters() int { return 2*m.settings.Bear.Machines + 1 }

// machines are the state machines of all partitions.
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
	// ringSegments is of how many files the disk log is.
	ringSegments = 4
	// ringShare is the share of the disk that they take.
	ringShare = 0.5
	// mostSegmentBytes and leastSegmentBytes bound one of them. The largest order has to fit.
	mostSegmentBytes, leastSegmentBytes = 16 << 20, 1 << 20
)

// sizes are those of the disk log: given ones, or such that it takes its share of the disk.
func (m *Member) sizes() disklog.Options {
	if m.disk.Sizes != (disklog.Options{}) {
		return m.disk.Sizes
	}
	bytes := int64(ringShare * float64(m.settings.Limits.DiskMB) * (1 << 20) / ringSegments)
	return disklog.Options{Segments: ringSegments, SegmentBytes: min(max(bytes, leastSegmentBytes), mostSegmentBytes)}
}

// founders are the members that the starters of the very first boot file become.
func (m *Member) founders() []consensus.Member {
	var founders []consensus.Member
	for _, address := range membership.StarterAddresses(m.settings) {
		founders = append(founders, consensus.Member{ID: partition.FounderID(address), Address: address, Node: address})
	}
	return founders
}

// Reload takes a boot file that was read again.
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
	server := rpc.NewServer(m.network, inside)
	m.servers = append(m.servers, server)
	if err := server.Serve(m.address); err != nil {
		return err
	}
	listener, err := m.network.Listen(m.settings.ListenOn.Control)
	if err != nil {
		return Error.Wrap(err)
	}
	m.steering = &http.Server{Handler: m.steeringHandler(), ReadHeaderTimeout: headerLimit}
	go func() { _ = m.steering.Serve(listener) }() // ends with Close
	m.remember()
	hosting, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.stopHost = stop
	go m.host.Run(hosting) // it takes part until Close
	m.members.Join(ctx)
	m.members.Announce()
	go m.lapses(ctx)
	go newDuty(m).run(ctx)
	if m.coordination != nil {
		go m.coordination.sweep(ctx)
	}
	m.members.Run(ctx)
	m.leave()
	return nil
}

// steeringHandler serves the callers of the steering address.
func (m *Member) steeringHandler() http.Handler {
	if m.coordination == nil {
		return steering.Handler(m, m.orders, nil)
	}
	return steering.Handler(m, m.orders, m.coordination)
}

// Close ends the member's servers.
func (m *Member) Close() {
	for _, server := range m.servers {
		_ = server.Close() // the process ends
	}
	_ = m.steering.Close()
	m.stopHost()
}

func (m *Member) now() time.Duration { return time.Since(m.began) }

// isLed tells whether, within the limit, this member heard of the leaders of all partitions and is heard itself: by a
// majority, if it leads, or by another member that is led.
func (m *Member) isLed(limit time.Duration) bool {
	return m.host.Led(limit) && (m.host.Leads() || m.members.InContact(leaderless))
}

// standing is what stands behind this member's copy of the fleet's state.
func (m *Member) standing() message.Authority {
	switch {
	case m.isLed(ledLimit):
		return message.LeaderBacked
	case m.host.Voter():
		return message.Durable
	}
	return message.Gossiped
}

// news takes what other members tell of workers.
func (m *Member) news(news []replica.Entry) {
	m.mu.Lock()
	changed := m.registry.Merge(m.now(), news)
	m.mu.Unlock()
	m.put(changed)
}

func (m *Member) put(changed []registry.Worker) {
	if len(changed) == 0 {
		return
	}
	entries := make([]replica.Entry, 0, len(changed))
	for _, worker := range changed {
		entries = append(entries, registry.EntryOf(worker))
	}
	m.members.Node().Put(entries...)
}

// lapses looks for workers that fell silent, and forgets those that are long gone.
func (m *Member) lapses(ctx context.Context) {
	periodic.Run(ctx, lapseInterval, func() {
		m.lapse()
		m.keep()
	})
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
	forgotten = append(forgotten, m.past.Expire(now, topic.OrphanedOrders(snapshot))...)
	m.mu.Unlock()
	for _, worker := range changed {
		m.log.Info().Str("worker", worker.ID).Str("service", worker.Service).Msg("worker lapsed: no heartbeat")
	}
	m.put(changed)
	if len(forgotten) > 0 {
		m.members.Node().Forget(forgotten...)
	}
}

// deadHomes are the homes of workers that are no living control member. The member's lock is held.
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
