package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// contactRounds is the number of heartbeat rounds without an answer from a control member with a known leader after which a
// router tries others.
const contactRounds = 2

// contact records when the latest call was sent that was answered by a control member with a known leader. The time of sending
// counts, because a delayed answer proves nothing about the time since. It is guarded by the lock of Membership.
type contact struct {
	made   bool
	sentAt time.Duration
}

// recordContact records the authority of a router that answered a call sent at the given time.
func (m *Membership) recordContact(sentAt time.Duration, authority message.Authority, err error) {
	if err != nil || authority != message.LeaderBacked {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.contact.made || sentAt > m.contact.sentAt {
		m.contact = contact{made: true, sentAt: sentAt}
	}
}

// now is the time since this membership was created.
func (m *Membership) now() time.Duration { return time.Since(m.startedAt) }

// IgnoreAuthority makes this router treat every control member as one with a known leader, and disables the search for routers
// marked as down. It is a deliberate fault that the tests must detect.
func (m *Membership) IgnoreAuthority() { m.ignoreAuthority = true }

// InContact reports whether a control member that is in contact with the leader of every partition answered a call sent
// within the limit.
func (m *Membership) InContact(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ignoreAuthority {
		return true
	}
	return m.contact.made && m.now()-m.contact.sentAt <= limit
}

// Synchronize makes this router's copy equal to that of the router at an address, whether or not the two know each other, and
// returns the authority of the other copy.
func (m *Membership) Synchronize(ctx context.Context, address string) (message.Authority, error) {
	sentAt := m.now()
	authority, err := m.node.Beat(ctx, address, 0)
	m.recordContact(sentAt, authority, err)
	return authority, err
}

// compareInterval is how long Probe skips the comparison of copies after the last one. A router that looks for a control member
// with a known leader calls all of them many times a second, at a time when all routers have just started and their copies
// differ.
const compareInterval = 500 * time.Millisecond

// Probe returns the authority of a control member's copy. It synchronizes the two copies unless it did so within
// compareInterval.
func (m *Membership) Probe(ctx context.Context, address string) (message.Authority, error) {
	m.mu.Lock()
	comparedAt, compared := m.compared[address]
	recent := compared && m.now()-comparedAt < compareInterval
	m.mu.Unlock()
	if recent {
		sentAt := m.now()
		authority, err := m.node.Authority(ctx, address)
		m.recordContact(sentAt, authority, err)
		return authority, err
	}
	authority, err := m.Synchronize(ctx, address)
	if err == nil {
		m.mu.Lock()
		m.compared[address] = m.now()
		m.mu.Unlock()
	}
	return authority, err
}

// ControlAddresses lists the internal addresses of all control members that this router knows, including the starters and
// those marked as down.
func (m *Membership) ControlAddresses() []string {
	snapshot, _ := m.node.Snapshot()
	addresses := map[string]struct{}{}
	for _, entry := range snapshot.Prefix(topic.Controls) {
		if peer, found := topic.PeerOf(entry); found && peer.Address != m.config.Self.Address {
			addresses[peer.Address] = struct{}{}
		}
	}
	for _, address := range m.Starters() {
		addresses[address] = struct{}{}
	}
	return slices.Collect(maps.Keys(addresses))
}

// reconnectLimit is how long the control members try to reach a router that is marked as down.
const reconnectLimit = 5 * time.Minute

// downTimes holds the times since which routers are marked as down, by key.
type downTimes map[string]time.Duration

// update updates the times from the entries.
func (d downTimes) update(now time.Duration, entries []replica.Entry) {
	for _, entry := range entries {
		if !topic.Down(entry) {
			delete(d, entry.Key)
		} else if _, noted := d[entry.Key]; !noted {
			d[entry.Key] = now
		}
	}
}

// pick returns the address of a random router that has been down for at most reconnectLimit; "" if there is none.
func (d downTimes) pick(now time.Duration, entries []replica.Entry) string {
	var addresses []string
	for _, entry := range entries {
		peer, known := topic.PeerOf(entry)
		if since, noted := d[entry.Key]; known && noted && now-since <= reconnectLimit {
			addresses = append(addresses, peer.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// reconnect synchronizes a control member that has a known leader with one router that is marked as down. That router may be
// alive and know only a partitioned member, in which case it could not find the others by itself.
func (m *Membership) reconnect(ctx context.Context, snapshot replica.Snapshot, now time.Duration) {
	if m.config.HasLeader == nil || !m.config.HasLeader() || m.ignoreAuthority {
		return
	}
	entries := append(snapshot.Prefix(topic.Routers), snapshot.Prefix(topic.Controls)...)
	m.downSince.update(now, entries)
	if address := m.downSince.pick(now, entries); address != "" && address != m.config.Self.Address {
		go func() { _, _ = m.Synchronize(ctx, address) }() // fails for most: they are down
	}
}
