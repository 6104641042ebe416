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

// contactRounds is after how many rounds without an answer of a led control member a router looks for another one.
const contactRounds = 2

// contact is when the latest call was sent that a control member answered which hears of a leader. It counts from the
// sending: an answer that was long on its way says nothing of the time since. The lock of Membership guards it.
type contact struct {
	made   bool
	sentAt time.Duration
}

// note takes what stands behind a router that answered a call which was sent at a time.
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

// now is the time since this membership began.
func (m *Membership) now() time.Duration { return time.Since(m.began) }

// IgnoreStanding has this router take any control member for one that hears of a leader, and seek nobody: a deliberate
// violation, for the tests of the tests.
func (m *Membership) IgnoreStanding() { m.ignoreStanding = true }

// InContact tells whether a call that was sent within the limit was answered by a control member that hears of the leader
// of every partition.
func (m *Membership) InContact(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ignoreStanding {
		return true
	}
	return m.contact.made && m.now()-m.contact.sentAt <= limit
}

// Greet brings this router's copy and that of a router at an address to one state, whether the two know of each other or
// not, and gives what stands behind the other's.
func (m *Membership) Greet(ctx context.Context, address string) (message.Standing, error) {
	sentAt := m.now()
	standing, err := m.node.Beat(ctx, address, 0)
	m.note(sentAt, standing, err)
	return standing, err
}

// greetRest is for how long after two copies were compared Sound leaves them as they are: who looks for a control member
// that is led asks all of them many times a second, while all routers' copies differ as they start.
const greetRest = 500 * time.Millisecond

// Sound gives what stands behind the copy of a control member. It has brought this router's copy to one state with that
// one's within greetRest.
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

// ControlAddresses are the inside addresses of all control members that this router has heard of, the starters and those
// that are taken for down among them.
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

// seekLimit is for how long routers that are taken for down are sought.
const seekLimit = 5 * time.Minute

// lost is since when routers are taken for down, by key.
type lost map[string]time.Duration

// follow brings the list to the entries.
func (l lost) follow(now time.Duration, entries []replica.Entry) {
	for _, entry := range entries {
		if !topic.Down(entry) {
			delete(l, entry.Key)
		} else if _, noted := l[entry.Key]; !noted {
			l[entry.Key] = now
		}
	}
}

// draw gives the address of one that may still be found; "" if there is none.
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

// seek has a control member that hears of a leader greet one router that is taken for down. That one may live and know of
// nobody but a member that is cut off: it could not find the others by itself.
func (m *Membership) seek(ctx context.Context, snapshot replica.Snapshot, now time.Duration) {
	if m.config.Led == nil || !m.config.Led() || m.ignoreStanding {
		return
	}
	entries := append(snapshot.Prefix(topic.Routers), snapshot.Prefix(topic.Controls)...)
	m.lost.follow(now, entries)
	if address := m.lost.draw(now, entries); address != "" && address != m.config.Self.Address {
		go func() { _, _ = m.Greet(ctx, address) }() // most of them are down indeed
	}
}
