// Package membership keeps one router among the others of the fleet: it makes the router known, sends heartbeats to the
// watchers that its place on the ring names, reports those that it watches itself and that fell silent, compares its state
// with a control member's now and then, and passes news on to a few others.
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

// The inside ports, counted from the first that the boot file gives.
const (
	PortControl = iota
	PortAgent
	PortFeed
	PortHints // datagrams between proxies
	PortProxy // what a proxy serves to operators on its own machine
)

const (
	// silence is how long a watched router may be silent before it is taken for down.
	silence = 4 * time.Second
	// watcherCount is how many watchers a router has.
	watcherCount = 2
	// awayTurns is every how many rounds the state is compared with a control member of any zone: one that is cut off
	// from the others must not be all that this router hears.
	awayTurns = 3
)

// Config is what a router is among the others.
type Config struct {
	Prefix   string     // topic.Controls or topic.Routers: whom it is on a ring with
	Self     topic.Peer // how the others reach it
	Starters []string   // inside addresses of control members to join through
	Interval time.Duration
	FanOut   int // edge routers to which news is passed on
	Client   *rpc.Client
	Log      zerolog.Logger
	OnNews   func(news []replica.Entry) // may be nil
	// Led tells whether this router hears of the leader of every partition; nil at edge routers.
	Led func() bool
}

// Membership is one router's place in the fleet. Use New, then Run.
type Membership struct {
	config Config
	node   *node.Node
	began  time.Time

	mu          sync.Mutex
	incarnation uint64
	announced   bool
	leaving     bool
	watched     *detector.Detector
	turn        int
	waiting     gathered
	contact     contact
	compared    map[string]time.Duration // when Sound last compared copies, by address
	place       place
	lost        lost

	ignoreStanding bool
}

// New makes the membership of a router.
func New(config Config) *Membership {
	m := &Membership{config: config, began: time.Now(), incarnation: 1, watched: detector.New(silence), lost: lost{},
		compared: map[string]time.Duration{}}
	m.node = node.New(config.Self.Node, config.Client, config.Log, m.news, m.heard)
	return m
}

// Node is the router's copy of the replicated map.
func (m *Membership) Node() *node.Node { return m.node }

// InsideAddress is the address of an inside port on a machine.
func InsideAddress(ip string, ports boot.PortRange, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(ports.First+port))
}

// StarterAddresses are the inside addresses of the control members that a boot file names.
func StarterAddresses(settings *boot.Settings) []string {
	addresses := make([]string, 0, len(settings.Starters))
	for _, starter := range settings.Starters {
		if host, _, err := net.SplitHostPort(starter); err == nil {
			addresses = append(addresses, InsideAddress(host, settings.InsidePorts, PortControl))
		}
	}
	return addresses
}

// SetStarters takes the starters of a boot file that was read again.
func (m *Membership) SetStarters(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Starters = addresses
}

// Starters are the inside addresses of control members to join through, without this router's own: an answer of its own
// is no sign that anybody hears it.
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

// Join asks all starters for their state and tells how many answered.
func (m *Membership) Join(ctx context.Context) int {
	answered := make(chan bool)
	starters := m.Starters()
	for _, address := range starters {
		go func() {
			_, err := m.Greet(ctx, address)
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

// Announce makes this router known, at an incarnation above all that is known of it.
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

// Leave tells the fleet that this router ends.
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

// round sends one heartbeat to each watcher and to one control member, and checks those that this router watches.
func (m *Membership) round(ctx context.Context) {
	snapshot, _ := m.node.Snapshot()
	m.mu.Lock()
	place := m.place.in(m.config.Self.Node, m.node.Peers(m.config.Prefix))
	incarnation := m.incarnation
	m.turn++
	turn := m.turn
	now := m.now()
	m.watched.Expect(now, place.watched)
	down := m.watched.Check(now)
	m.mu.Unlock()
	for _, lost := range down {
		m.reportDown(lost)
	}
	targets := map[string]struct{}{}
	for _, address := range place.watchers {
		targets[address] = struct{}{}
	}
	if control := m.control(m.node.Peers(topic.Controls), turn); control != "" {
		targets[control] = struct{}{}
	}
	for address := range targets {
		go m.beat(ctx, address, incarnation)
	}
	m.seek(ctx, snapshot, now)
}

func (m *Membership) beat(ctx context.Context, address string, incarnation uint64) {
	sentAt := m.now()
	standing, err := m.node.Beat(ctx, address, incarnation)
	if err != nil && ctx.Err() == nil {
		m.config.Log.Info().Str("peer", address).Err(err).Msg("heartbeat not answered")
	}
	m.note(sentAt, standing, err)
}

// control chooses the control member of this round: mostly one of the own zone, where there is one. Starters stand in
// while no other member is known, and now and then in any case: the members that this router knows may all be gone. While
// none that hears of a leader has answered, all are tried in turn, and starters every second time.
func (m *Membership) control(members []topic.Peer, turn int) string {
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
	if len(starters) > 0 && (len(others) == 0 || turn%(4*awayTurns) == 0 || !inContact && turn%2 == 0) {
		return starters[rand.IntN(len(starters))]
	}
	if len(near) > 0 && inContact && turn%awayTurns != 0 {
		others = near
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].Address
}

// reportDown tells the fleet of a router that fell silent.
func (m *Membership) reportDown(lost detector.Down) {
	snapshot, _ := m.node.Snapshot()
	entry, found := snapshot.Get(m.config.Prefix + lost.ID)
	if !found || topic.Down(entry) {
		return
	}
	m.config.Log.Info().Str("peer", lost.ID).Int64("silent_ms", lost.Silent.Milliseconds()).Msg("a router is down")
	peer, _ := topic.PeerOf(entry) // without an address it can't be sought
	peer.Node = lost.ID
	m.node.Put(topic.DownEntry(m.config.Prefix, peer, entry.Version.Major))
}

// heard takes a heartbeat of another router.
func (m *Membership) heard(beat message.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched.Heard(m.now(), beat.From, beat.Incarnation)
}

// news contradicts what others say of this router itself, and passes on what has changed unless others have it anyway.
func (m *Membership) news(news []replica.Entry, from string, known bool) {
	own := m.config.Prefix + m.config.Self.Node
	for _, entry := range news {
		if entry.Key == own && m.contradicts(entry) {
			go m.Announce()
		}
	}
	if m.config.OnNews != nil && from != "" {
		m.config.OnNews(news)
	}
	if !known {
		m.gather(news, from)
	}
}

// contradicts tells whether an entry about this router is not its own word.
func (m *Membership) contradicts(entry replica.Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announced && !m.leaving && (topic.Down(entry) || entry.Version.Major > m.incarnation)
}

// others are the control members that live, but this one.
func (m *Membership) others() []topic.Peer {
	var others []topic.Peer
	for _, member := range m.node.Peers(topic.Controls) {
		if member.Node != m.config.Self.Node {
			others = append(others, member)
		}
	}
	return others
}

func (m *Membership) push(address string, entries []replica.Entry) {
	if err := m.node.Push(context.Background(), address, entries); err != nil {
		m.config.Log.Info().Str("peer", address).Err(err).Msg("push not taken")
	}
}
