// Package traffic counts what a process sends and receives, by kind of message and by peer, so that an operator sees where
// the bytes of a fleet go, and which of them cross between zones.
package traffic

import (
	"cmp"
	"net"
	"slices"
	"sync"
)

// Kind names a kind of message: the path of a call, or one of the constants below.
type Kind string

// The kinds that are no calls between the system's own processes.
const (
	Hint    Kind = "hint"    // load told to other proxies
	Read    Kind = "read"    // a prompt sent to be read, and its answer
	Run     Kind = "run"     // a request sent to run, and its answer
	Service Kind = "service" // probes, releases and reports at workers
)

// Meter counts messages. Its zero value is ready, a nil one counts nothing. Safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts map[key]*count
}

// key is whom messages of one kind went to.
type key struct {
	kind Kind
	host string
}

// count is of the messages to one host.
type count struct{ messages, sent, received uint64 }

// Add counts a message to an address (host:port) with the bytes sent and received for it.
func (m *Meter) Add(kind Kind, address string, sent, received int) {
	m.add(kind, address, 1, sent, received)
}

// AddReceived counts further bytes received for a message that was counted.
func (m *Meter) AddReceived(kind Kind, address string, received int) {
	m.add(kind, address, 0, 0, received)
}

func (m *Meter) add(kind Kind, address string, messages, sent, received int) {
	if m == nil {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = map[key]*count{}
	}
	at := key{kind, host}
	if m.counts[at] == nil {
		m.counts[at] = &count{}
	}
	m.counts[at].messages += uint64(messages)
	m.counts[at].sent += uint64(sent)
	m.counts[at].received += uint64(received)
}

// Total is the sum over the peers of one place.
type Total struct {
	Kind     Kind
	Near     bool // peers of the own zone, or else those of others
	Messages uint64
	Sent     uint64 // bytes, without those of the transport
	Received uint64 // likewise
}

// Totals sums up by kind, apart for the hosts that near tells are of the own zone.
func (m *Meter) Totals(near func(host string) bool) []Total {
	if m == nil {
		return nil
	}
	type place struct {
		kind Kind
		near bool
	}
	sums := map[place]*Total{}
	m.mu.Lock()
	for at, counted := range m.counts {
		of := place{at.kind, near(at.host)}
		if sums[of] == nil {
			sums[of] = &Total{Kind: of.kind, Near: of.near}
		}
		sums[of].Messages += counted.messages
		sums[of].Sent += counted.sent
		sums[of].Received += counted.received
	}
	m.mu.Unlock()
	totals := make([]Total, 0, len(sums))
	for _, total := range sums {
		totals = append(totals, *total)
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), compareNear(a.Near, b.Near))
	})
	return totals
}

// compareNear orders what is near before what is not.
func compareNear(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
