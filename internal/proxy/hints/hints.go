// Package hints tells proxies how much work the others have waiting at the workers. A hint is a datagram: one that is
// lost is made up for by the next, and the time that a call would take is longer than what a hint is good for.
package hints

import (
	"context"
	"hash/fnv"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/traffic"
	"sumacloft/internal/periodic"
)

// Error is the class of this package's failures.
var Error = errs.Class("hints: check that the inside ports are free")

const (
	// interval is how often a proxy with work waiting tells the others.
	interval = 50 * time.Millisecond
	// believed is how long a proxy's hint counts without a newer one.
	believed = 400 * time.Millisecond
	// mostTargets bounds to how many others a hint goes; what they say is scaled up to all.
	mostTargets = 8
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
	Tokens   map[uint64]uint32 `cbor:"3,keyasint,omitempty"`
}

// heard is the newest hint of one proxy.
type heard struct {
	sequence uint64
	at       time.Time
	tokens   map[uint64]uint32
}

// Hints exchanges hints with the other proxies. Use New, then Run.
type Hints struct {
	self string
	load Load
	log  zerolog.Logger
	conn net.PacketConn
	port int

	mu    sync.Mutex
	peers []string // IP addresses of the other proxies
	heard map[string]heard
	known map[uint64]bool // engines that were reported with work and not yet without
	count uint64
	meter traffic.Meter
}

// Meter counts the hints that were sent.
func (h *Hints) Meter() *traffic.Meter { return &h.meter }

// New listens on a port of the machine's address.
func New(over network.Network, ip string, port int, load Load, log zerolog.Logger) (*Hints, error) {
	conn, err := over.ListenPacket(net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Hints{self: ip, load: load, log: log, conn: conn, port: port, heard: map[string]heard{}, known: map[uint64]bool{}}, nil
}

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
}

// Run exchanges hints until the context ends.
func (h *Hints) Run(ctx context.Context) {
	go h.receive()
	defer func() { _ = h.conn.Close() }() // ends receive
	told := false
	periodic.Run(ctx, interval, func() {
		own := h.load.Waiting()
		if len(own) > 0 || told {
			h.tell(own)
		}
		told = len(own) > 0
		h.report(own, time.Now())
	})
}

// tell sends this proxy's waiting work to some others.
func (h *Hints) tell(own Waiting) {
	h.mu.Lock()
	h.count++
	sequence := h.count
	targets := ring.Spread(h.seed(), h.self, h.peers, mostTargets, nil)
	h.mu.Unlock()
	message := hint{From: h.self, Sequence: sequence, Tokens: map[uint64]uint32{}}
	for engine, tokens := range own {
		if len(message.Tokens) < mostEngines {
			message.Tokens[engine] = uint32(tokens)
		}
	}
	datagram, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	for _, target := range targets {
		h.meter.Add(traffic.Hint, target, len(datagram), 0)
		_, _ = h.conn.WriteTo(datagram, &net.UDPAddr{IP: net.ParseIP(target), Port: h.port}) // the next one makes up for it
	}
}

// seed draws the targets anew each time. The lock is held.
func (h *Hints) seed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.self)) // never fails
	return hash.Sum64() + h.count
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
			h.take(message, time.Now())
		}
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

// report tells what waits at each engine for all proxies.
func (h *Hints) report(own Waiting, now time.Time) {
	all := h.sum(own, now)
	if len(all) > 0 {
		h.load.Reported(all)
	}
}

// sum adds up what is waiting. Where hints of a part of the others are at hand, theirs stand for all. An engine at which
// nothing waits any more is given once with 0.
func (h *Hints) sum(own Waiting, now time.Time) Waiting {
	h.mu.Lock()
	defer h.mu.Unlock()
	others := Waiting{}
	fresh := 0
	for from, last := range h.heard {
		if now.Sub(last.at) > believed {
			delete(h.heard, from)
			continue
		}
		fresh++
		for engine, tokens := range last.tokens {
			others[engine] += float64(tokens)
		}
	}
	scale := h.scale(fresh)
	all := Waiting{}
	for engine := range h.known {
		all[engine] = 0
	}
	clear(h.known)
	for engine, tokens := range own {
		all[engine] += tokens
		h.known[engine] = true
	}
	for engine, tokens := range others {
		all[engine] += scale * tokens
		h.known[engine] = true
	}
	return all
}

// scale is by how much the hints at hand fall short of all. Proxies without waiting work are silent, so where all others
// may be heard their hints are taken as they are. Else each of the others tells mostTargets of its peers at every
// interval; the chance that one of its datagrams of the time for which hints are believed came here is the share of the
// proxies that are heard. The lock is held.
func (h *Hints) scale(fresh int) float64 {
	if len(h.peers) <= mostTargets || fresh == 0 {
		return 1
	}
	missed := 1 - float64(mostTargets)/float64(len(h.peers))
	told := believed.Seconds() / interval.Seconds()
	return 1 / (1 - math.Pow(missed, told))
}
