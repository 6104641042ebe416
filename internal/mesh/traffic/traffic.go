// Package traffic counts the messages and bytes that a process sends and receives, by kind and peer. Operators use it to see
// which traffic takes the bandwidth of a fleet, and how much of it crosses zones.
package traffic

import (
	"cmp"
	"net"
	"slices"
	"sync"
)

// Kind is a kind of message: the path of a call, or one of the constants below.
type Kind string

// The kinds of traffic other than calls between the system's own processes.
const (
	Hint    Kind = "hint"    // load hints to other proxies
	Prefill Kind = "read"    // prefill requests and their responses
	Run     Kind = "run"     // requests to run and their responses
	Service Kind = "service" // probes, releases and reports at workers
)

// Meter counts messages. Its zero value is ready to use; a nil Meter counts nothing. Safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts map[key]*count
}

// key identifies a counter: the kind of message and the host of the peer.
type key struct {
	kind Kind
	host string
}

// count holds the counters of one kind and host.
type count struct{ messages, sent, received uint64 }

// Add counts a message to an address (host:port) with the bytes sent and received for it.
func (m *Meter) Add(kind Kind, address string, sent, received int) {
	m.add(kind, address, 1, sent, received)
}

// AddReceived counts further bytes received for a message that Add has counted.
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
	target := key{kind, host}
	if m.counts[target] == nil {
		m.counts[target] = &count{}
	}
	m.counts[target].messages += uint64(messages)
	m.counts[target].sent += uint64(sent)
	m.counts[target].received += uint64(received)
}

// Total is the sum of one kind over the peers in the own zone, or over those in other zones.
type Total struct {
	Kind     Kind
	Near     bool // peers in the own zone; false: peers in other zones
	Messages uint64
	Sent     uint64 // bytes, without transport overhead
	Received uint64 // bytes, without transport overhead
}

// Totals sums the counters by kind, separately for hosts in the own zone, for which near returns true, and for others.
func (m *Meter) Totals(near func(host string) bool) []Total {
	if m == nil {
		return nil
	}
	type zoneKind struct {
		kind Kind
		near bool
	}
	sums := map[zoneKind]*Total{}
	m.mu.Lock()
	for target, counted := range m.counts {
		group := zoneKind{target.kind, near(target.host)}
		if sums[group] == nil {
			sums[group] = &Total{Kind: group.kind, Near: group.near}
		}
		sums[group].Messages += counted.messages
		sums[group].Sent += counted.sent
		sums[group].Received += counted.received
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

// compareNear orders true before false.
func compareNear(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
