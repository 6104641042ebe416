package membership

import (
	"fmt"
	"hash/fnv"
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// spreadInterval is the shortest time between two pushes of news. What comes alone is passed on at once; what comes while much
// changes is gathered, so that a router's calls are bounded however many workers come and go.
const spreadInterval = 25 * time.Millisecond

// gathered is news that waits to be passed on. The lock of Membership guards it.
type gathered struct {
	entries map[string]replica.Entry // by key, the newest
	sources map[string]struct{}      // who it came from; "" for this router
	due     bool                     // a push is about to follow
	last    time.Duration            // when news was last passed on
}

// gather passes news on, at once if none was for a while.
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

// passOn pushes what was gathered.
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
	// awayFanOut is to how many routers of each other zone a router passes its own news on: one of them may be gone.
	awayFanOut = 2
	// awayRelay is the same for news that a control member heard of: who told it may not reach all zones.
	awayRelay = 1
)

// spread pushes news to a few edge routers of the own zone; this router's own news also to a few of each other zone, and a
// control member's to all other control members. So news crosses between zones a few times, not with each router that
// hears of it. A router from which all of it came is left out.
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

// awayCount is to how many routers of another zone news is passed on.
func (m *Membership) awayCount(own bool) int {
	switch {
	case own:
		return awayFanOut
	case m.config.Prefix == topic.Controls:
		return awayRelay
	}
	return 0
}

// byZone lists the peers' names by their zones, and their addresses by name.
func byZone(peers []topic.Peer) (zones map[string][]string, addresses map[string]string) {
	zones = map[string][]string{}
	addresses = make(map[string]string, len(peers))
	for _, peer := range peers {
		zones[peer.Zone] = append(zones[peer.Zone], peer.Node)
		addresses[peer.Node] = peer.Address
	}
	return zones, addresses
}
