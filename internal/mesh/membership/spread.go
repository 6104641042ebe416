package membership

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// spreadInterval is the shortest time between two pushes. A single change is forwarded at once. Frequent changes are batched,
// which bounds a router's calls however many workers join and leave.
const spreadInterval = 25 * time.Millisecond

// batch is a batch of changes to be forwarded. It is guarded by the lock of Membership.
type batch struct {
	entries map[string]replica.Entry // by key, the newest
	sources map[string]struct{}      // the routers that sent them; "" for this router
	due     bool                     // a push is scheduled
	last    time.Duration            // time of the last push

	deliveries []chan<- struct{} // closed once routers have the batch
}

// Publish merges this router's own entries and forwards them like other changes. The channel is closed once a router of
// each zone has acknowledged them, or none of those to which they were pushed can be reached.
func (m *Membership) Publish(entries ...replica.Entry) (delivered <-chan struct{}) {
	m.node.Accept(entries...)
	m.mu.Lock()
	defer m.mu.Unlock()
	done := make(chan struct{})
	m.pending.deliveries = append(m.pending.deliveries, done)
	m.enqueueLocked(entries, "")
	return done
}

// enqueue adds changes to the batch and schedules its push, at once if none was made within spreadInterval.
func (m *Membership) enqueue(changed []replica.Entry, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enqueueLocked(changed, from)
}

// enqueueLocked is enqueue for callers that hold the lock.
func (m *Membership) enqueueLocked(changed []replica.Entry, from string) {
	if m.pending.entries == nil {
		m.pending.entries = map[string]replica.Entry{}
		m.pending.sources = map[string]struct{}{}
	}
	for _, entry := range changed {
		if known, found := m.pending.entries[entry.Key]; !found || known.Version.Compare(entry.Version) < 0 {
			m.pending.entries[entry.Key] = entry
		}
	}
	m.pending.sources[from] = struct{}{}
	if m.pending.due {
		return
	}
	m.pending.due = true
	wait := m.pending.last + spreadInterval - m.now()
	if wait <= 0 {
		go m.flush()
		return
	}
	time.AfterFunc(wait, m.flush)
}

// flush pushes the batch.
func (m *Membership) flush() {
	m.mu.Lock()
	pending := m.pending
	m.pending = batch{last: m.now()}
	m.mu.Unlock()
	changed := make([]replica.Entry, 0, len(pending.entries))
	for _, entry := range pending.entries {
		changed = append(changed, entry)
	}
	delivered := m.spread(changed, pending.sources)
	delivered.Wait()
	for _, done := range pending.deliveries {
		close(done)
	}
}

const (
	// remoteFanOut is the number of routers in each other zone to which a router pushes its own changes; one of them may be down.
	remoteFanOut = 2
	// remoteRelayFanOut is the same for changes that a control member received: their source may not reach all zones.
	remoteRelayFanOut = 1
)

// spread pushes changes to a few edge routers of the own zone. This router's own changes also go to a few of each other zone
// and, from a control member, to all other control members. Changes thus cross between zones a few times, not once for each
// router that receives them. If all changes come from a single router, it is left out. The returned group waits until a router
// of each zone has the changes, or none of those chosen there can be reached.
func (m *Membership) spread(changed []replica.Entry, sources map[string]struct{}) (delivered *sync.WaitGroup) {
	delivered = &sync.WaitGroup{}
	snapshot, _ := m.node.Snapshot()
	zones, addresses := byZone(m.node.Peers(topic.Routers))
	var exclude map[string]struct{}
	if len(sources) == 1 {
		exclude = sources
	}
	_, own := sources[""]
	for zone, names := range zones {
		count := m.config.FanOut
		if zone != m.config.Self.Zone {
			count = m.remoteCount(own)
		}
		seed := fnv.New64a()
		_, _ = fmt.Fprintf(seed, "%s/%d/%s", m.config.Self.Node, snapshot.Revision(), zone) // never fails
		var chosen []string
		for _, name := range ring.Spread(seed.Sum64(), m.config.Self.Node, names, count, exclude) {
			chosen = append(chosen, addresses[name])
		}
		delivered.Go(func() { m.pushToAny(chosen, changed) })
	}
	if m.config.Prefix != topic.Controls || !own {
		return delivered
	}
	for _, member := range m.otherControls() {
		go func() { _ = m.push(member.Address, changed) }() // the copies are compared later
	}
	return delivered
}

// pushToAny pushes entries to all addresses and returns once one of them has acknowledged or all have failed.
func (m *Membership) pushToAny(addresses []string, entries []replica.Entry) {
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- m.push(address, entries) }()
	}
	for range addresses {
		if <-results == nil {
			return
		}
	}
}

// remoteCount is the number of routers in each other zone to which changes are pushed.
func (m *Membership) remoteCount(own bool) int {
	switch {
	case own:
		return remoteFanOut
	case m.config.Prefix == topic.Controls:
		return remoteRelayFanOut
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
