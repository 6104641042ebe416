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
	// believed is how long a proxy's hint counts without a newer one.
	believed = 400 * time.Millisecond
	// mostTold is up to how many others a proxy tells all of them; with more, it tells keepers.
	mostTold = 8
	// datagramBytes bounds a datagram.
	datagramBytes = 1400
	// mostEngines bounds the engines in one hint, so that it fits a datagram.
	mostEngines = 80
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
	Asked    []uint64          `cbor:"4,keyasint,omitempty"` // engines that the sender asks about; Tokens says nothing then
	Answered map[uint64]uint32 `cbor:"5,keyasint,omitempty"` // what waits there for all but the receiver
	Number   uint64            `cbor:"6,keyasint,omitempty"` // of the question and its answer; 0: it is neither
}

// heard is the newest hint of one proxy.
type heard struct {
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
	hurry chan struct{} // work began to wait

	mu       sync.Mutex
	peers    []string // IP addresses of the other proxies
	heard    map[string]heard
	known    map[uint64]bool // engines that were reported with work and not yet without
	told     map[string]bool // who was told of work and not yet of none
	sequence uint64
	keepers  map[uint64]string // by engine, as asked for
	questions
}

// New listens on a port of the machine's address.
func New(over network.Network, ip string, port int, load Load, log zerolog.Logger) (*Hints, error) {
	conn, err := over.ListenPacket(net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := newHints(ip, load)
	h.conn, h.port, h.log = conn, port, log
	return h, nil
}

func newHints(self string, load Load) *Hints {
	return &Hints{
		self:      self,
		load:      load,
		hurry:     make(chan struct{}, 1),
		heard:     map[string]heard{},
		known:     map[uint64]bool{},
		told:      map[string]bool{},
		keepers:   map[uint64]string{},
		questions: newQuestions(),
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
	clear(h.keepers)
	clear(h.mute)
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
		case <-h.hurry:
		case <-ticker.C:
		}
		own := h.load.Waiting()
		h.tell(own)
		h.report(own, time.Now())
	}
}

// Hurry has the others told of this proxy's waiting work at once.
func (h *Hints) Hurry() {
	select {
	case h.hurry <- struct{}{}:
	default:
	}
}

// tell sends this proxy's waiting work to those who are to know of it, and once that there is none any more.
func (h *Hints) tell(own Waiting) {
	h.mu.Lock()
	parts := h.partsOf(own)
	for target := range h.told {
		if parts[target] == nil {
			parts[target] = map[uint64]uint32{}
		}
	}
	clear(h.told)
	h.sequence++
	sequence := h.sequence
	for target, tokens := range parts {
		if len(tokens) > 0 {
			h.told[target] = true
		}
	}
	h.mu.Unlock()
	for target, tokens := range parts {
		if target == h.self {
			continue
		}
		h.send(target, &hint{From: h.self, Sequence: sequence, Tokens: tokens})
	}
}

// partsOf is what each of the others is to be told. The lock is held.
func (h *Hints) partsOf(own Waiting) map[string]map[uint64]uint32 {
	parts := map[string]map[uint64]uint32{}
	put := func(target string, engine uint64, tokens float64) {
		if parts[target] == nil {
			parts[target] = map[uint64]uint32{}
		}
		if len(parts[target]) < mostEngines {
			parts[target][engine] = uint32(tokens)
		}
	}
	for engine, tokens := range own {
		if h.kept() {
			put(h.keeper(engine), engine, tokens)
			continue
		}
		for _, peer := range h.peers {
			put(peer, engine, tokens)
		}
	}
	return parts
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
			h.hear(&message)
		}
	}
}

// hear takes a datagram.
func (h *Hints) hear(message *hint) {
	switch {
	case len(message.Asked) > 0:
		answer := &hint{From: h.self, Number: message.Number, Answered: h.sums(message.Asked, message.From, time.Now())}
		h.send(message.From, answer)
	case message.Number > 0:
		h.answered(message)
	default:
		h.take(*message, time.Now())
	}
}

// take notes a hint, unless a newer one of its proxy is known. A proxy that started anew counts from the beginning.
func (h *Hints) take(message hint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.heard[message.From]
	if known && message.Sequence <= last.sequence && now.Sub(last.at) < believed {
		return
	}
	h.heard[message.From] = heard{sequence: message.Sequence, at: now, tokens: message.Tokens}
}

// report tells what waits at each engine for all proxies, where each tells all others.
func (h *Hints) report(own Waiting, now time.Time) {
	all := h.sum(own, now)
	if len(all) > 0 {
		h.load.Reported(all)
	}
}

// sum adds up what is waiting. An engine at which nothing waits any more is given once with 0.
func (h *Hints) sum(own Waiting, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept() {
		return nil // it is asked for
	}
	all := Waiting{}
	for engine := range h.known {
		all[engine] = 0
	}
	clear(h.known)
	for engine, tokens := range own {
		all[engine] += tokens
	}
	for from, last := range h.heard {
		if now.Sub(last.at) > believed {
			delete(h.heard, from)
			continue
		}
		for engine, tokens := range last.tokens {
			all[engine] += float64(tokens)
		}
	}
	for engine, tokens := range all {
		if tokens > 0 {
			h.known[engine] = true
		}
	}
	return all
}
