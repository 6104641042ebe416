// Package membership implements a router's membership in the fleet. It announces the router, sends heartbeats to its watchers
// on the ring, reports watched routers whose heartbeats stop, compares its state regularly with that of a control member, and
// forwards changes to a few other routers.
package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/boot"
	"sumacloft/internal/mesh/detector"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/node"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
)

// The internal ports, as offsets from the first one in the boot file.
const (
	PortControl = iota
	PortAgent
	PortFeed
	PortHints // datagrams between proxies
	PortProxy // a proxy's endpoint for operators on the same machine
)

const (
	// heartbeatTimeout is the time without heartbeats after which a watched router is taken to be down.
	heartbeatTimeout = 4 * time.Second
	// watcherCount is the number of watchers of a router.
	watcherCount = 2
	// remoteZoneRounds is the interval, in rounds, at which the state is compared with a control member of any zone. Otherwise a
	// partitioned member in the own zone could be a router's only source.
	remoteZoneRounds = 3
)

// Config describes a router and how it communicates with the others.
type Config struct {
	Prefix   string     // topic.Controls or topic.Routers: the ring that it belongs to
	Self     topic.Peer // its entry for the other routers
	Starters []string   // internal addresses of control members to join through
	Interval time.Duration
	FanOut   int // number of edge routers to which changes are forwarded
	Client   *rpc.Client
	Log      zerolog.Logger
	OnChange func(changed []replica.Entry) // may be nil
	// HasLeader reports whether this router is in contact with the leader of every partition; nil at edge routers.
	HasLeader func() bool
}

// Membership is one router's membership in the fleet. Use New, then Run.
type Membership struct {
	config    Config
	node      *node.Node
	startedAt time.Time

	mu          sync.Mutex
	incarnation uint64
	announced   bool
	leaving     bool
	watched     *detector.Detector
	roundNumber int
	pending     batch
	contact     contact
	compared    map[string]time.Duration // when Probe last compared copies, by address
	position    ringPosition
	downSince   downTimes

	ignoreAuthority bool
}

// New makes the membership of a router.
func New(config Config) *Membership {
	m := &Membership{config: config, startedAt: time.Now(), incarnation: 1, watched: detector.New(heartbeatTimeout), downSince: downTimes{},
		compared: map[string]time.Duration{}}
	m.node = node.New(config.Self.Node, config.Client, config.Log, m.handleChanges, m.recordHeartbeat)
	return m
}

// Node is the router's copy of the replicated map.
func (m *Membership) Node() *node.Node { return m.node }

// InsideAddress is the address of an internal port on a machine.
func InsideAddress(ip string, ports boot.PortRange, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(ports.First+port))
}

// StarterAddresses lists the internal addresses of the control members that a boot file names.
func StarterAddresses(settings *boot.Settings) []string {
	addresses := make([]string, 0, len(settings.Starters))
	for _, starter := range settings.Starters {
		if host, _, err := net.SplitHostPort(starter); err == nil {
			addresses = append(addresses, InsideAddress(host, settings.InsidePorts, PortControl))
		}
	}
	return addresses
}

// SetStarters replaces the starters after the boot file was reloaded.
func (m *Membership) SetStarters(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Starters = addresses
}

// Starters lists the internal addresses of control members to join through, except this router's own: an answer from itself
// does not show that any other router is reachable.
func (m *Membership) Starters() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []string
	for _, address := range m.config.Starters {
		if address != m.config.Self.Address {
			others = append(others, address)
		}
	}
	return others
}

// Join synchronizes with all starters and returns how many answered.
func (m *Membership) Join(ctx context.Context) int {
	answered := make(chan bool)
	starters := m.Starters()
	for _, address := range starters {
		go func() {
			_, err := m.Synchronize(ctx, address)
			answered <- err == nil
		}()
	}
	reached := 0
	for range starters {
		if <-answered {
			reached++
		}
	}
	return reached
}

// Announce publishes this router's entry with an incarnation above all that are known of it.
func (m *Membership) Announce() {
	snapshot, _ := m.node.Snapshot()
	m.mu.Lock()
	if known, found := snapshot.Get(m.config.Prefix + m.config.Self.Node); found {
		m.incarnation = max(m.incarnation, known.Version.Major+1)
	}
	m.announced = true
	entry := topic.PeerEntry(m.config.Prefix, m.config.Self, m.incarnation)
	m.mu.Unlock()
	m.node.Put(entry)
}

// Leave publishes that this router is down.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.leaving = true
	incarnation, announced := m.incarnation, m.announced
	m.mu.Unlock()
	if announced {
		m.node.Put(topic.DownEntry(m.config.Prefix, m.config.Self, incarnation))
	}
}

// Run sends heartbeats until the context ends.
func (m *Membership) Run(ctx context.Context) {
	m.round(ctx)
	periodic.Run(ctx, m.config.Interval, func() { m.round(ctx) })
}

// round sends one heartbeat to each watcher and to one control member, and checks the routers that this one watches.
func (m *Membership) round(ctx context.Context) {
	snapshot, _ := m.node.Snapshot()
	m.mu.Lock()
	position := m.position.update(m.config.Self.Node, m.node.Peers(m.config.Prefix))
	incarnation := m.incarnation
	m.roundNumber++
	round := m.roundNumber
	now := m.now()
	m.watched.Expect(now, position.watched)
	down := m.watched.Check(now)
	m.mu.Unlock()
	for _, failed := range down {
		m.reportDown(failed)
	}
	targets := map[string]struct{}{}
	for _, address := range position.watchers {
		targets[address] = struct{}{}
	}
	if control := m.chooseControl(m.node.Peers(topic.Controls), round); control != "" {
		targets[control] = struct{}{}
	}
	for address := range targets {
		go m.beat(ctx, address, incarnation)
	}
	m.reconnect(ctx, snapshot, now)
}

func (m *Membership) beat(ctx context.Context, address string, incarnation uint64) {
	sentAt := m.now()
	authority, err := m.node.Beat(ctx, address, incarnation)
	if err != nil && ctx.Err() == nil {
		m.config.Log.Info().Str("peer", address).Err(err).Msg("heartbeat not answered")
	}
	m.recordContact(sentAt, authority, err)
}

// chooseControl chooses the control member of this round: usually one of the own zone, if there is one. A starter is chosen while
// no other member is known, and periodically in any case, because all members that this router knows may be gone. While no member
// with a known leader has answered, the choice is among all members, and a starter in every second round.
func (m *Membership) chooseControl(members []topic.Peer, round int) string {
	var near, others []topic.Peer
	for _, member := range members {
		if member.Address == m.config.Self.Address {
			continue
		}
		others = append(others, member)
		if member.Zone == m.config.Self.Zone {
			near = append(near, member)
		}
	}
	inContact := m.InContact(contactRounds * m.config.Interval)
	starters := m.Starters()
	if len(starters) > 0 && (len(others) == 0 || round%(4*remoteZoneRounds) == 0 || !inContact && round%2 == 0) {
		return starters[rand.IntN(len(starters))]
	}
	if len(near) > 0 && inContact && round%remoteZoneRounds != 0 {
		others = near
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].Address
}

// reportDown publishes that a watched router is down.
func (m *Membership) reportDown(failed detector.Down) {
	snapshot, _ := m.node.Snapshot()
	entry, found := snapshot.Get(m.config.Prefix + failed.ID)
	if !found || topic.Down(entry) {
		return
	}
	m.config.Log.Info().Str("peer", failed.ID).Int64("silent_ms", failed.Silent.Milliseconds()).Msg("a router is down")
	peer, _ := topic.PeerOf(entry) // reconnect skips it if it has no address
	peer.Node = failed.ID
	m.node.Put(topic.DownEntry(m.config.Prefix, peer, entry.Version.Major))
}

// recordHeartbeat records a heartbeat of another router.
func (m *Membership) recordHeartbeat(beat message.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched.Heartbeat(m.now(), beat.From, beat.Incarnation)
}

// handleChanges processes changed entries. It refutes those that are wrong about this router, and forwards all unless the others
// are known to have them.
func (m *Membership) handleChanges(changed []replica.Entry, from string, widelyKnown bool) {
	own := m.config.Prefix + m.config.Self.Node
	for _, entry := range changed {
		if entry.Key == own && m.mustRefute(entry) {
			go m.Announce()
		}
	}
	if m.config.OnChange != nil && from != "" {
		m.config.OnChange(changed)
	}
	if !widelyKnown {
		m.enqueue(changed, from)
	}
}

// mustRefute reports whether an entry about this router must be refuted: it says down, or has a larger incarnation.
func (m *Membership) mustRefute(entry replica.Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announced && !m.leaving && (topic.Down(entry) || entry.Version.Major > m.incarnation)
}

// otherControls lists the live control members except this one.
func (m *Membership) otherControls() []topic.Peer {
	var others []topic.Peer
	for _, member := range m.node.Peers(topic.Controls) {
		if member.Node != m.config.Self.Node {
			others = append(others, member)
		}
	}
	return others
}

// push sends entries to a router and logs a failure.
func (m *Membership) push(address string, entries []replica.Entry) error {
	err := m.node.Push(context.Background(), address, entries)
	if err != nil {
		m.config.Log.Info().Str("peer", address).Err(err).Msg("push failed")
	}
	return err
}
