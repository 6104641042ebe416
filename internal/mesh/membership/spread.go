package membership

import (
	"fmt"
	"hash/fnv"
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// spreadInterval is the shortest time between two pushes. A single change is forwarded at once. Frequent changes are batched,
// which bounds a router's calls however many workers join and leave.
const spreadInterval = 25 * time.Millisecond

// gathered is a batch of changes to be forwarded. It is guarded by the lock of Membership.
type gathered struct {
	entries map[string]replica.Entry // by key, the newest
	sources map[string]struct{}      // the routers that sent them; "" for this router
	due     bool                     // a push is scheduled
	last    time.Duration            // time of the last push
}

// gather adds changes to the batch and schedules its push, at once if none was made within spreadInterval.
func (m *Membership) gather(news []replica.Entry, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting.entries == nil {
		m.waiting.entries = map[string]replica.Entry{}
		m.waiting.sources = map[string]struct{}{}
	}
	for _, entry := range news {
		if known, found := m.waiting.entries[entry.Key]; !found || known.Version.Compare(entry.Version) < 0 {
			m.waiting.entries[entry.Key] = entry
		}
	}
	m.waiting.sources[from] = struct{}{}
	if m.waiting.due {
		return
	}
	m.waiting.due = true
	wait := m.waiting.last + spreadInterval - m.now()
	if wait <= 0 {
		go m.passOn()
		return
	}
	time.AfterFunc(wait, m.passOn)
}

// passOn pushes the batch.
func (m *Membership) passOn() {
	m.mu.Lock()
	waiting := m.waiting
	m.waiting = gathered{last: m.now()}
	m.mu.Unlock()
	news := make([]replica.Entry, 0, len(waiting.entries))
	for _, entry := range waiting.entries {
		news = append(news, entry)
	}
	m.spread(news, waiting.sources)
}

const (
	// awayFanOut is the number of routers in each other zone to which a router pushes its own changes; one of them may be down.
	awayFanOut = 2
	// awayRelay is the same for changes that a control member received: their source may not reach all zones.
	awayRelay = 1
)

// spread pushes changes to a few edge routers of the own zone. This router's own changes also go to a few of each other zone
// and, from a control member, to all other control members. Changes thus cross between zones a few times, not once for each
// router that receives them. If all changes come from a single router, it is left out.
func (m *Membership) spread(news []replica.Entry, sources map[string]struct{}) {
	snapshot, _ := m.node.Snapshot()
	zones, addresses := byZone(m.node.Peers(topic.Routers))
	var but map[string]struct{}
	if len(sources) == 1 {
		but = sources
	}
	_, own := sources[""]
	for zone, names := range zones {
		count := m.config.FanOut
		if zone != m.config.Self.Zone {
			count = m.awayCount(own)
		}
		seed := fnv.New64a()
		_, _ = fmt.Fprintf(seed, "%s/%d/%s", m.config.Self.Node, snapshot.Revision(), zone) // never fails
		for _, name := range ring.Spread(seed.Sum64(), m.config.Self.Node, names, count, but) {
			go m.push(addresses[name], news)
		}
	}
	if m.config.Prefix != topic.Controls || !own {
		return
	}
	for _, member := range m.others() {
		go m.push(member.Address, news)
	}
}

// awayCount is the number of routers in each other zone to which changes are pushed.
func (m *Membership) awayCount(own bool) int {
	switch {
	case own:
		return awayFanOut
	case m.config.Prefix == topic.Controls:
		return awayRelay
	}
	return 0
}

// byZone groups the peers' names by zone and maps names to addresses.
func byZone(peers []topic.Peer) (zones map[string][]string, addresses map[string]string) {
	zones = map[string][]string{}
	addresses = make(map[string]string, len(peers))
	for _, peer := range peers {
		zones[peer.Zone] = append(zones[peer.Zone], peer.Node)
		addresses[peer.Node] = peer.Address
	}
	return zones, addresses
}
