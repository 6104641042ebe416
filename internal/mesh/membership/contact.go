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

// contactRounds is the number of heartbeat rounds without an answer from a led control member before a router tries others.
const contactRounds = 2

// contact records when the latest call was sent that was answered by a control member with a known leader. The time of sending
// counts, because a delayed answer proves nothing about the time since. It is guarded by the lock of Membership.
type contact struct {
	made   bool
	sentAt time.Duration
}

// note records the standing of a router that answered a call sent at the given time.
func (m *Membership) note(sentAt time.Duration, standing message.Standing, err error) {
	if err != nil || standing != message.Led {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.contact.made || sentAt > m.contact.sentAt {
		m.contact = contact{made: true, sentAt: sentAt}
	}
}

// now is the time since this membership was created.
func (m *Membership) now() time.Duration { return time.Since(m.began) }

// IgnoreStanding makes this router treat every control member as one with a known leader, and disables the search for routers
// marked as down. It is a deliberate fault that the tests must detect.
func (m *Membership) IgnoreStanding() { m.ignoreStanding = true }

// InContact reports whether a control member that is in contact with the leader of every partition answered a call sent
// within the limit.
func (m *Membership) InContact(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ignoreStanding {
		return true
	}
	return m.contact.made && m.now()-m.contact.sentAt <= limit
}

// Greet synchronizes this router's copy with that of the router at an address, whether or not the two know each other, and
// returns the other's standing.
func (m *Membership) Greet(ctx context.Context, address string) (message.Standing, error) {
	sentAt := m.now()
	standing, err := m.node.Beat(ctx, address, 0)
	m.note(sentAt, standing, err)
	return standing, err
}

// greetRest is how long Sound skips the comparison of copies after the last one. A router that looks for a led control member
// calls all of them many times a second, at a time when all routers have just started and their copies differ.
const greetRest = 500 * time.Millisecond

// Sound returns the standing of a control member's copy. It first synchronizes the two copies unless it did so within
// greetRest.
func (m *Membership) Sound(ctx context.Context, address string) (message.Standing, error) {
	m.mu.Lock()
	last, compared := m.compared[address]
	rests := compared && m.now()-last < greetRest
	m.mu.Unlock()
	if rests {
		sentAt := m.now()
		standing, err := m.node.Standing(ctx, address)
		m.note(sentAt, standing, err)
		return standing, err
	}
	standing, err := m.Greet(ctx, address)
	if err == nil {
		m.mu.Lock()
		m.compared[address] = m.now()
		m.mu.Unlock()
	}
	return standing, err
}

// ControlAddresses lists the internal addresses of all control members that this router knows, including the starters and
// those marked as down.
func (m *Membership) ControlAddresses() []string {
	snapshot, _ := m.node.Snapshot()
	known := map[string]struct{}{}
	for _, entry := range snapshot.Prefix(topic.Controls) {
		if peer, found := topic.PeerOf(entry); found && peer.Address != m.config.Self.Address {
			known[peer.Address] = struct{}{}
		}
	}
	for _, address := range m.Starters() {
		known[address] = struct{}{}
	}
	return slices.Collect(maps.Keys(known))
}

// seekLimit is how long the control members try to reach a router that is marked as down.
const seekLimit = 5 * time.Minute

// lost holds the times since which routers are marked as down, by key.
type lost map[string]time.Duration

// follow updates the times from the entries.
func (l lost) follow(now time.Duration, entries []replica.Entry) {
	for _, entry := range entries {
		if !topic.Down(entry) {
			delete(l, entry.Key)
		} else if _, noted := l[entry.Key]; !noted {
			l[entry.Key] = now
		}
	}
}

// draw returns the address of a random router that has been down for at most seekLimit; "" if there is none.
func (l lost) draw(now time.Duration, entries []replica.Entry) string {
	var addresses []string
	for _, entry := range entries {
		peer, known := topic.PeerOf(entry)
		if since, noted := l[entry.Key]; known && noted && now-since <= seekLimit {
			addresses = append(addresses, peer.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// seek makes a control member with a known leader greet one router that is marked as down. That router may be alive and know
// only a partitioned member, in which case it could not find the others by itself.
func (m *Membership) seek(ctx context.Context, snapshot replica.Snapshot, now time.Duration) {
	if m.config.Led == nil || !m.config.Led() || m.ignoreStanding {
		return
	}
	entries := append(snapshot.Prefix(topic.Routers), snapshot.Prefix(topic.Controls)...)
	m.lost.follow(now, entries)
	if address := m.lost.draw(now, entries); address != "" && address != m.config.Self.Address {
		go func() { _, _ = m.Greet(ctx, address) }() // fails for most: they are down
	}
}
