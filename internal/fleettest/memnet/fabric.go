// Package memnet is a network in memory for tests: machines with addresses, processes on them that serve
// network.Network, and links that can be cut, slowed down or made to lose datagrams. Times are those of the caller's
// clock, so that under testing/synctest nothing waits in real time.
//
// It keeps what routers may notice of TCP: a port that nobody listens on refuses; the end of a process closes its
// connections, and resets those with unread bytes; a machine without power says nothing until it is back, and then resets
// what it does not know; bytes written to a cut link wait until it is whole again, or until the writer gives up.
package memnet

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Link is the state of the way from one machine to another.
type Link int

// The states of links.
const (
	Whole    Link = iota
	Silent        // what is sent does not arrive
	Refusing      // connections that come up are refused, and those that are up reset
)

// firstEphemeral is the first port that dialed connections leave from.
const firstEphemeral = 32768

// way is an ordered pair of machines, by their IP addresses.
type way struct{ from, to string }

// Fabric joins machines. One lock guards all of it.
type Fabric struct {
	mu       sync.Mutex
	machines map[string]*Machine
	links    map[way]Link
	delay    time.Duration
	delays   map[way]time.Duration
	rates    map[way]float64   // bytes a second
	busy     map[way]time.Time // until when what was sent takes up a link with a rate
	carried  map[way]int64     // bytes
	loss     float64
	changed  chan struct{} // closed when links or machines change
	port     int
}

// New makes a fabric whose links all have a delay.
func New(delay time.Duration) *Fabric {
	return &Fabric{
		machines: map[string]*Machine{},
		links:    map[way]Link{},
		delay:    delay,
		delays:   map[way]time.Duration{},
		rates:    map[way]float64{},
		busy:     map[way]time.Time{},
		carried:  map[way]int64{},
		changed:  make(chan struct{}),
		port:     firstEphemeral,
	}
}

// Machine returns the machine with an IP address; it is made, with power, at the first call.
func (f *Fabric) Machine(ip string) *Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[ip]
	if m == nil {
		m = &Machine{fabric: f, ip: ip, powered: true, listeners: map[string]*listener{}, sockets: map[string]*packetConn{}}
		f.machines[ip] = m
		f.change()
	}
	return m
}

// Set sets the link from one machine to another, in this direction only.
func (f *Fabric) Set(from, to string, state Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(from, to, state)
	f.change()
}

// Cut makes the links between two machines silent, in both directions.
func (f *Fabric) Cut(one, other string) { f.both(one, other, Silent) }

// Heal makes the links between two machines whole, in both directions.
func (f *Fabric) Heal(one, other string) { f.both(one, other, Whole) }

// Delay sets the delay of the links between two machines, in both directions.
func (f *Fabric) Delay(one, other string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[way{one, other}] = delay
	f.delays[way{other, one}] = delay
}

// Rate sets how many bytes a second the links between two machines carry in each direction; 0: any number.
func (f *Fabric) Rate(one, other string, bytes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates[way{one, other}] = bytes
	f.rates[way{other, one}] = bytes
}

// Carried is how many bytes were sent over connections from one machine to another.
func (f *Fabric) Carried(from, to string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.carried[way{from, to}]
}

// takes is how long a link is taken up, from now on, until so many more bytes have left.
func (f *Fabric) transferTime(from, to string, bytes int) time.Duration {
	link := way{from, to}
	f.carried[link] += int64(bytes)
	rate := f.rates[link]
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	if f.busy[link].Before(now) {
		f.busy[link] = now
	}
	f.busy[link] = f.busy[link].Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return f.busy[link].Sub(now)
}

// Loss sets the part of all datagrams that is lost.
func (f *Fabric) Loss(part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = part
}

// Reaches reports whether bytes get from one machine to another now.
func (f *Fabric) Reaches(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.whole(from, to)
}

func (f *Fabric) both(one, other string, state Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(one, other, state)
	f.set(other, one, state)
	f.change()
}

// set sets a link. What has arrived stays where it is.
func (f *Fabric) set(from, to string, state Link) {
	for _, c := range f.conns() {
		c.arrive()
	}
	f.links[way{from, to}] = state
	if state != Refusing {
		return
	}
	for _, c := range f.conns() {
		if c.crosses(from, to) {
			c.fail(errReset)
		}
	}
}

// change wakes all that wait for the network.
func (f *Fabric) change() {
	close(f.changed)
	f.changed = make(chan struct{})
	for _, c := range f.conns() {
		c.wakeWaiters()
	}
}

// conns are all connections' ends.
func (f *Fabric) conns() []*Conn {
	var all []*Conn
	for _, m := range f.machines {
		for _, p := range m.processes {
			for c := range p.conns {
				all = append(all, c)
			}
		}
	}
	return all
}

// whole reports whether bytes get from one machine to another now.
func (f *Fabric) whole(from, to string) bool {
	if from == to {
		return f.powered(from)
	}
	return f.links[way{from, to}] == Whole && f.powered(from) && f.powered(to)
}

func (f *Fabric) powered(ip string) bool {
	m := f.machines[ip]
	return m != nil && m.powered
}

// delayOf is how long bytes travel from one machine to another.
func (f *Fabric) delayOf(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if delay, set := f.delays[way{from, to}]; set {
		return delay
	}
	return f.delay
}

// lost draws whether a datagram is lost.
func (f *Fabric) lost() bool { return f.loss > 0 && rand.Float64() < f.loss }

// ephemeral is the next port that a dialed connection leaves from.
func (f *Fabric) ephemeral() int {
	f.port++
	return f.port
}

// split takes an address apart; one on loopback belongs to the machine that names it.
func split(machine, address string) (ip string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	if err != nil {
		return "", 0, err
	}
	if parsed := net.ParseIP(host); parsed != nil && parsed.IsLoopback() {
		host = machine
	}
	return host, port, nil
}
