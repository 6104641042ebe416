package memnet

import (
	"errors"
	"net"
	"time"

	"sumacloft/internal/mesh/network"
)

// errNoLimit says that datagram sockets know no deadlines.
var errNoLimit = errors.New("memnet: datagram sockets have no deadlines; close the socket instead")

// datagram is one datagram at its receiver.
type datagram struct {
	data []byte
	from net.Addr
}

// packetConn implements net.PacketConn.
type packetConn struct {
	owner   *Process
	key     string
	address *net.UDPAddr
	queue   []datagram
	closed  bool
	wake    chan struct{}
}

// ListenPacket implements network.Network.
func (p *Process) ListenPacket(address string) (net.PacketConn, error) {
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	ip, port, err := split(p.machine.ip, address)
	if err != nil {
		return nil, network.Error.Wrap(err)
	}
	if p.ended || p.machine.sockets[address] != nil {
		return nil, network.Error.Wrap(opError("listen", errInUse))
	}
	s := &packetConn{owner: p, key: address, address: &net.UDPAddr{IP: net.ParseIP(ip), Port: port}, wake: make(chan struct{})}
	p.machine.sockets[address] = s
	return s, nil
}

// ReadFrom implements net.PacketConn.
func (s *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		next, wake, err := s.next()
		if err != nil {
			return 0, nil, err
		}
		if next != nil {
			return copy(buffer, next.data), next.from, nil
		}
		<-wake
	}
}

func (s *packetConn) next() (*datagram, <-chan struct{}, error) {
	s.owner.fabric.mu.Lock()
	defer s.owner.fabric.mu.Unlock()
	if s.closed {
		return nil, nil, opError("read", net.ErrClosed)
	}
	if len(s.queue) == 0 {
		return nil, s.wake, nil
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	return &next, nil, nil
}

// WriteTo implements net.PacketConn. Datagrams may be lost without a word.
func (s *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	f := s.owner.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.closed {
		return 0, opError("write", net.ErrClosed)
	}
	ip, _, err := split(s.owner.machine.ip, to.String())
	if err != nil {
		return 0, opError("write", err)
	}
	if f.lost() || !f.whole(s.owner.machine.ip, ip) {
		return len(data), nil
	}
	sent := datagram{data: append([]byte(nil), data...), from: s.address}
	time.AfterFunc(f.delayOf(s.owner.machine.ip, ip), func() { f.deliver(sent, ip, to.String()) })
	return len(data), nil
}

// deliver brings a datagram to the socket at an address, if there is one.
func (f *Fabric) deliver(sent datagram, ip, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.machines[ip].sockets[address]; s != nil {
		s.queue = append(s.queue, sent)
		s.wakeWaiters()
	}
}

// Close implements net.PacketConn.
func (s *packetConn) Close() error {
	s.owner.fabric.mu.Lock()
	defer s.owner.fabric.mu.Unlock()
	if s.closed {
		return opError("close", net.ErrClosed)
	}
	delete(s.owner.machine.sockets, s.key)
	s.shut()
	return nil
}

func (s *packetConn) shut() {
	s.closed = true
	s.wakeWaiters()
}

func (s *packetConn) wakeWaiters() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// LocalAddr implements net.PacketConn.
func (s *packetConn) LocalAddr() net.Addr { return s.address }

// SetDeadline implements net.PacketConn.
func (s *packetConn) SetDeadline(time.Time) error { return errNoLimit }

// SetReadDeadline implements net.PacketConn.
func (s *packetConn) SetReadDeadline(time.Time) error { return errNoLimit }

// SetWriteDeadline implements net.PacketConn.
func (s *packetConn) SetWriteDeadline(time.Time) error { return errNoLimit }
