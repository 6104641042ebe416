// Package hints tells proxies how much work the others have waiting at the workers. A hint is a datagram: one that is
// lost is made up for by the next, and the time that a call would take is longer than what a hint is good for.
//
// In a small fleet each proxy tells all others. In a larger one each engine has a keeper among the proxies, which the
// hash of both names: whoever has work waiting at the engine tells its keeper, and whoever is about to send some there
// asks it. What a proxy then knows is what all have waiting, at the cost of a question, however many they are.
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

// Error is the class of this package's failures.
var Error = errs.Class("hints: check that the inside ports are free")

const (
	// interval is how often a proxy with work waiting tells the others.
	interval = 50 * time.Millisecond
	// hintTTL is how long a proxy's hint counts without a newer one.
	hintTTL = 400 * time.Millisecond
	// maxBroadcastPeers is up to how many others a proxy tells all of them; with more, it tells keepers.
	maxBroadcastPeers = 8
	// datagramBytes bounds a datagram.
	datagramBytes = 1400
	// maxEngines bounds the engines in one hint, so that it fits a datagram.
	maxEngines = 80
)

// Waiting is prompt tokens by the number of the engine that they wait at.
type Waiting map[uint64]float64

// Load is where hints come from and go to: the proxy's own waiting work, and what waits for all proxies together.
type Load interface {
	Waiting() Waiting
	Reported(all Waiting)
}

// hint is one datagram.
type hint struct {
	From     string            `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"`
	Tokens   map[uint64]uint32 `cbor:"3,keyasint,omitempty"` // what waits for the sender, at the engines that the receiver keeps
	Queried  []uint64          `cbor:"4,keyasint,omitempty"` // engines that the sender asks about; Tokens says nothing then
	Totals   map[uint64]uint32 `cbor:"5,keyasint,omitempty"` // what waits there for all but the receiver
	QueryID  uint64            `cbor:"6,keyasint,omitempty"` // of the question and its answer; 0: it is neither
}

// peerHint is the newest hint of one proxy.
type peerHint struct {
	sequence uint64
	at       time.Time
	tokens   map[uint64]uint32
}

// Hints exchanges hints with the other proxies. Use New, then Run.
type Hints struct {
	self  string
	load  Load
	log   zerolog.Logger
	conn  net.PacketConn
	port  int
	meter traffic.Meter
	wake  chan struct{} // work began to wait

	mu          sync.Mutex
	peers       []string // IP addresses of the other proxies
	received    map[string]peerHint
	reported    map[uint64]bool // engines that were reported with work and not yet without
	notified    map[string]bool // who was told of work and not yet of none
	sequence    uint64
	aggregators map[uint64]string // by engine, as asked for
	queries
}

// New listens on a port of the machine's address.
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

// Meter counts the hints that were sent.
func (h *Hints) Meter() *traffic.Meter { return &h.meter }

// Peers takes the addresses of the other proxies.
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
	defer func() { _ = h.conn.Close() }() // ends receive
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

// SendNow has the others told of this proxy's waiting work at once.
func (h *Hints) SendNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// sendHints sends this proxy's waiting work to those who are to know of it, and once that there is none any more.
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

// payloads is what each of the others is to be told. The lock is held.
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

// send sends a datagram; a lost one is made up for by the next.
func (h *Hints) send(target string, message *hint) {
	datagram, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	h.meter.Add(traffic.Hint, target, len(datagram), 0)
	_, _ = h.conn.WriteTo(datagram, &net.UDPAddr{IP: net.ParseIP(target), Port: h.port})
}

// receive takes the hints of others until the socket is closed.
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

// handle takes a datagram.
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

// store notes a hint, unless a newer one of its proxy is known. A proxy that started anew counts from the beginning.
func (h *Hints) store(message hint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, exists := h.received[message.From]
	if exists && message.Sequence <= last.sequence && now.Sub(last.at) < hintTTL {
		return
	}
	h.received[message.From] = peerHint{sequence: message.Sequence, at: now, tokens: message.Tokens}
}

// reportTotals tells what waits at each engine for all proxies, where each tells all others.
func (h *Hints) reportTotals(own Waiting, now time.Time) {
	all := h.totals(own, now)
	if len(all) > 0 {
		h.load.Reported(all)
	}
}

// totals adds up what is waiting. An engine at which nothing waits any more is given once with 0.
func (h *Hints) totals(own Waiting, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.aggregated() {
		return nil // it is asked for
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
