package memnet

import (
	"context"
	"net"
	"slices"
	"time"

	"sumacloft/internal/mesh/network"
)

// longestDial is how long a dial without a limit goes on.
const longestDial = 2 * time.Minute

// Machine is one machine.
type Machine struct {
	fabric    *Fabric
	ip        string
	powered   bool
	processes []*Process
	listeners map[string]*listener   // by address as it was given
	sockets   map[string]*packetConn // likewise
}

// Process starts a process; it implements network.Network.
func (m *Machine) Process() *Process {
	m.fabric.mu.Lock()
	defer m.fabric.mu.Unlock()
	p := &Process{fabric: m.fabric, machine: m, conns: map[*Conn]struct{}{}}
	m.processes = append(m.processes, p)
	return p
}

// PowerOff ends all that the machine does, without a word to others.
func (m *Machine) PowerOff() {
	m.fabric.mu.Lock()
	defer m.fabric.mu.Unlock()
	for _, c := range m.fabric.conns() {
		c.arrive()
	}
	m.powered = false
	for _, p := range m.processes {
		p.ended = true
		for c := range p.conns {
			c.losePower()
		}
	}
	m.end(func(*Process) bool { return true })
}

// PowerOn has the machine run again, with no process on it.
func (m *Machine) PowerOn() {
	m.fabric.mu.Lock()
	defer m.fabric.mu.Unlock()
	m.powered = true
	for _, c := range m.fabric.conns() {
		if c.peer.vanished && c.unheard && c.peer.owner.machine == m {
			c.rejectUnknownPeer()
		}
	}
	m.fabric.change()
}

// end closes the listeners and sockets of processes that have ended.
func (m *Machine) end(which func(*Process) bool) {
	for address, l := range m.listeners {
		if which(l.owner) {
			delete(m.listeners, address)
			l.shut()
		}
	}
	for address, s := range m.sockets {
		if which(s.owner) {
			delete(m.sockets, address)
			s.shut()
		}
	}
	m.processes = slices.DeleteFunc(m.processes, which)
	m.fabric.change()
}

// Process is one process on a machine; it implements network.Network.
type Process struct {
	fabric  *Fabric
	machine *Machine
	ended   bool
	conns   map[*Conn]struct{}
}

// Kill ends the process: the system closes what it holds.
func (p *Process) Kill() {
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	p.ended = true
	for c := range p.conns {
		c.close()
	}
	p.machine.end(func(other *Process) bool { return other == p })
}

// Listen implements network.Network.
func (p *Process) Listen(address string) (net.Listener, error) {
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	ip, port, err := split(p.machine.ip, address)
	if err != nil {
		return nil, network.Error.Wrap(err)
	}
	if p.ended || ip != p.machine.ip {
		return nil, network.Error.Wrap(opError("listen", net.ErrClosed))
	}
	if p.machine.listeners[address] != nil {
		return nil, network.Error.Wrap(opError("listen", errInUse))
	}
	l := &listener{owner: p, key: address, address: &net.TCPAddr{IP: net.ParseIP(ip), Port: port}, wake: make(chan struct{})}
	p.machine.listeners[address] = l
	return l, nil
}

// Dial implements network.Network.
func (p *Process) Dial(ctx context.Context, address string, terms network.DialOptions) (net.Conn, error) {
	limit := terms.Timeout
	if limit <= 0 {
		limit = longestDial
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		c, wait, retry, err := p.connect(address, terms)
		if err == nil && retry == nil {
			return p.handshake(ctx, c, wait)
		}
		if err != nil {
			pause(ctx, wait)
			return nil, opError("dial", err)
		}
		select {
		case <-ctx.Done():
			return nil, opError("dial", ctx.Err())
		case <-timer.C:
			return nil, opError("dial", errTimedOut)
		case <-retry:
		}
	}
}

// handshake waits until the far side has answered.
func (p *Process) handshake(ctx context.Context, c *Conn, wait time.Duration) (net.Conn, error) {
	if !pause(ctx, wait) {
		_ = c.Close() // nobody will use it
		return nil, opError("dial", ctx.Err())
	}
	return c, nil
}

// connect tries once: with retry, the way there says nothing now.
func (p *Process) connect(address string, terms network.DialOptions) (c *Conn, wait time.Duration, retry <-chan struct{}, err error) {
	f := p.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.ended {
		return nil, 0, nil, net.ErrClosed
	}
	here := p.machine.ip
	there, port, err := split(here, address)
	if err != nil {
		return nil, 0, nil, err
	}
	if f.links[way{here, there}] == Refusing || f.links[way{there, here}] == Refusing {
		return nil, 0, nil, errRefused
	}
	if !f.whole(here, there) || !f.whole(there, here) {
		return nil, 0, f.changed, nil
	}
	wait = f.delayOf(here, there) + f.delayOf(there, here)
	l := f.machines[there].listeners[address]
	if l == nil {
		return nil, wait, nil, errRefused
	}
	from := &net.TCPAddr{IP: net.ParseIP(here), Port: f.ephemeral()}
	to := &net.TCPAddr{IP: net.ParseIP(there), Port: port}
	c = newConn(p, from, to)
	c.silence = terms.UnackedTimeout
	c.peer = newConn(l.owner, to, from)
	c.peer.peer = c
	l.queue = append(l.queue, c.peer)
	l.wakeWaiters()
	return c, wait, nil, nil
}

// pause waits; false says that the context has ended before.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// listener implements net.Listener.
type listener struct {
	owner   *Process
	key     string
	address net.Addr
	queue   []*Conn
	closed  bool
	wake    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, wake, err := l.next()
		if c != nil || err != nil {
			return c, err
		}
		<-wake
	}
}

func (l *listener) next() (net.Conn, <-chan struct{}, error) {
	l.owner.fabric.mu.Lock()
	defer l.owner.fabric.mu.Unlock()
	if l.closed {
		return nil, nil, opError("accept", net.ErrClosed)
	}
	if len(l.queue) == 0 {
		return nil, l.wake, nil
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.owner.fabric.mu.Lock()
	defer l.owner.fabric.mu.Unlock()
	if l.closed {
		return opError("close", net.ErrClosed)
	}
	delete(l.owner.machine.listeners, l.key)
	l.shut()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// shut ends the listener; connections that nobody has accepted are reset.
func (l *listener) shut() {
	l.closed = true
	for _, c := range l.queue {
		c.abort()
	}
	l.queue = nil
	l.wakeWaiters()
}

func (l *listener) wakeWaiters() {
	close(l.wake)
	l.wake = make(chan struct{})
}
