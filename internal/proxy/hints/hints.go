// Package hints exchanges the amount of queued prefill work between proxies. Hints are datagrams without
// retransmission: the next hint replaces a lost one, and a call would take longer than a hint stays valid.
//
// In a small fleet each proxy sends its hints to all others. In a larger one a rendezvous hash of both names selects an
// aggregator among the proxies for each engine. Proxies with work queued at the engine send hints to its aggregator,
// and a proxy that is about to send work there queries it. A query returns the total over all proxies, and its cost
// does not depend on their number.
package hints

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
)

// Error is the class of errors of this package.
var Error = errs.Class("hints: check that the inside ports are free")

const (
	// interval is the time between the hints of a proxy with queued work.
	interval = 50 * time.Millisecond
	// hintTTL is how long a hint stays valid unless a newer one replaces it.
	hintTTL = 400 * time.Millisecond
	// maxBroadcastPeers is the largest number of peers that a proxy sends all its hints to. With more peers it uses
	// aggregators.
	maxBroadcastPeers = 8
	// datagramBytes is the maximum size of a datagram.
	datagramBytes = 1400
	// minSenders is how many proxies' hints are kept at least, and sendersPerPeer how many for each known peer: peers that
	// restart or are not known yet are heard as well.
	minSenders, sendersPerPeer = 64, 2
	// maxEngines is the maximum number of engines in one hint. It keeps a hint within datagramBytes.
	maxEngines = 80
)

// Waiting maps engine numbers to the prompt tokens queued at each engine.
type Waiting map[uint64]float64

// Load supplies the proxy's own queued work and receives the totals over all proxies.
type Load interface {
	Waiting() Waiting
	Reported(all Waiting)
}

// hint is the content of a datagram.
type hint struct {
	From     string            `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"`
	Tokens   map[uint64]uint32 `cbor:"3,keyasint,omitempty"` // queued by the sender, at the engines that the receiver aggregates
	Queried  []uint64          `cbor:"4,keyasint,omitempty"` // engines that the sender queries; Tokens is empty then
	Totals   map[uint64]uint32 `cbor:"5,keyasint,omitempty"` // reply: tokens queued at each engine by all proxies but the receiver
	QueryID  uint64            `cbor:"6,keyasint,omitempty"` // of a query and its reply; 0 in a plain hint
}

// peerHint is the newest hint of one proxy.
type peerHint struct {
	sequence uint64
	at       time.Time
	tokens   map[uint64]uint32
}

// Hints exchanges hints with the other proxies. Create it with New, then call Run.
type Hints struct {
	self  string
	load  Load
	log   zerolog.Logger
	conn  net.PacketConn
	port  int
	meter traffic.Meter
	wake  chan struct{} // signals that work was queued

	mu          sync.Mutex
	peers       []string // IP addresses of the other proxies
	received    map[string]peerHint
	reported    map[uint64]bool // engines last reported with queued work
	notified    map[string]bool // peers that were last sent a non-empty hint
	sequence    uint64
	aggregators map[uint64]string // cache, by engine
	queries
}

// New listens for datagrams on the port of the IP address.
func New(transport network.Network, ip string, port int, load Load, log zerolog.Logger) (*Hints, error) {
	conn, err := transport.ListenPacket(net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := newHints(ip, load)
	h.conn, h.port, h.log = conn, port, log
	return h, nil
}

func newHints(self string, load Load) *Hints {
	return &Hints{
		self:        self,
		load:        load,
		wake:        make(chan struct{}, 1),
		received:    map[string]peerHint{},
		reported:    map[uint64]bool{},
		notified:    map[string]bool{},
		aggregators: map[uint64]string{},
		queries:     newQueries(),
	}
}

// Meter counts the datagrams that were sent.
func (h *Hints) Meter() *traffic.Meter { return &h.meter }

// Peers sets the addresses of the proxies. The proxy's own address is ignored.
func (h *Hints) Peers(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = h.peers[:0]
	for _, address := range addresses {
		if address != h.self {
			h.peers = append(h.peers, address)
		}
	}
	clear(h.aggregators)
	clear(h.unresponsive)
}

// Run exchanges hints until the context ends.
func (h *Hints) Run(ctx context.Context) {
	go h.receive()
	defer func() { _ = h.conn.Close() }() // makes receive return
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-ticker.C:
		}
		own := h.load.Waiting()
		h.sendHints(own)
		h.reportTotals(own, time.Now())
	}
}

// SendNow sends hints at once instead of at the next interval.
func (h *Hints) SendNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// sendHints sends this proxy's queued work to its peers or aggregators. A receiver whose work has gone gets one empty
// hint.
func (h *Hints) sendHints(own Waiting) {
	h.mu.Lock()
	payloads := h.payloads(own)
	for target := range h.notified {
		if payloads[target] == nil {
			payloads[target] = map[uint64]uint32{}
		}
	}
	clear(h.notified)
	h.sequence++
	sequence := h.sequence
	for target, tokens := range payloads {
		if len(tokens) > 0 {
			h.notified[target] = true
		}
	}
	h.mu.Unlock()
	for target, tokens := range payloads {
		if target == h.self {
			continue
		}
		h.send(target, &hint{From: h.self, Sequence: sequence, Tokens: tokens})
	}
}

// payloads returns the tokens to send, by receiver. The caller holds the lock.
func (h *Hints) payloads(own Waiting) map[string]map[uint64]uint32 {
	payloads := map[string]map[uint64]uint32{}
	add := func(target string, engine uint64, tokens float64) {
		if payloads[target] == nil {
			payloads[target] = map[uint64]uint32{}
		}
		if len(payloads[target]) < maxEngines {
			payloads[target][engine] = uint32(tokens)
		}
	}
	for engine, tokens := range own {
		if h.aggregated() {
			add(h.aggregator(engine), engine, tokens)
			continue
		}
		for _, peer := range h.peers {
			add(peer, engine, tokens)
		}
	}
	return payloads
}

// send sends a datagram. Errors are ignored because the next hint replaces a lost one.
func (h *Hints) send(target string, message *hint) {
	datagram, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // unreachable: these field types always encode
	}
	h.meter.Add(traffic.Hint, target, len(datagram), 0)
	_, _ = h.conn.WriteTo(datagram, &net.UDPAddr{IP: net.ParseIP(target), Port: h.port})
}

// receive handles datagrams until the socket is closed.
func (h *Hints) receive() {
	buffer := make([]byte, datagramBytes)
	for {
		size, _, err := h.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var message hint
		if cbor.Unmarshal(buffer[:size], &message) == nil {
			h.handle(&message)
		}
	}
}

// handle answers a query, or processes a reply or a hint.
func (h *Hints) handle(message *hint) {
	switch {
	case len(message.Queried) > 0:
		reply := &hint{From: h.self, QueryID: message.QueryID, Totals: h.totalsExcept(message.Queried, message.From, time.Now())}
		h.send(message.From, reply)
	case message.QueryID > 0:
		h.handleReply(message)
	default:
		h.store(*message, time.Now())
	}
}

// store keeps a hint unless a newer one of the same proxy is valid. After hintTTL any sequence is accepted, because a
// restarted proxy counts from the beginning.
func (h *Hints) store(message hint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, exists := h.received[message.From]
	if exists && message.Sequence <= last.sequence && now.Sub(last.at) < hintTTL {
		return
	}
	if len(message.Tokens) > maxEngines || len(message.From) > maxAddressBytes || !exists && !h.hasPlace(now) {
		return
	}
	h.received[message.From] = peerHint{sequence: message.Sequence, at: now, tokens: message.Tokens}
}

// maxAddressBytes is the length of the longest IP address as text.
const maxAddressBytes = len("255.255.255.255")

// hasPlace reports whether the hints of one more proxy may be kept, without those that have expired. The caller holds the lock.
func (h *Hints) hasPlace(now time.Time) bool {
	most := max(minSenders, sendersPerPeer*len(h.peers))
	if len(h.received) < most {
		return true
	}
	for from, last := range h.received {
		if now.Sub(last.at) > hintTTL {
			delete(h.received, from)
		}
	}
	return len(h.received) < most
}

// reportTotals reports the totals at each engine when hints are broadcast.
func (h *Hints) reportTotals(own Waiting, now time.Time) {
	all := h.totals(own, now)
	if len(all) > 0 {
		h.load.Reported(all)
	}
}

// totals sums the valid hints and the proxy's own work. An engine without queued work any more is reported once with 0.
func (h *Hints) totals(own Waiting, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.aggregated() {
		return nil // queries supply the totals
	}
	all := Waiting{}
	for engine := range h.reported {
		all[engine] = 0
	}
	clear(h.reported)
	for engine, tokens := range own {
		all[engine] += tokens
	}
	for from, last := range h.received {
		if now.Sub(last.at) > hintTTL {
			delete(h.received, from)
			continue
		}
		for engine, tokens := range last.tokens {
			all[engine] += float64(tokens)
		}
	}
	for engine, tokens := range all {
		if tokens > 0 {
			h.reported[engine] = true
		}
	}
	return all
}
