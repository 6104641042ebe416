// Package upstream speaks HTTP/1.1 to workers on net.Conn: a pool of connections, and single exchanges on them
// that tell how far they came when they fail. Nothing is ever sent twice.
package upstream

import (
	"net"
	"sync"
)

// Budget shares out the sockets that the process may hold between clients and workers: neither side can take
// the descriptors that the other needs to end what it has begun.
type Budget struct {
	mu      sync.Mutex
	free    *sync.Cond
	clients int
	servers int
}

// reserved descriptors are for discovery, the listener, standard streams and the runtime.
const reserved = 32

// NewBudget shares out so many descriptors.
func NewBudget(sockets int) *Budget {
	half := max((sockets-reserved)/2, 1)
	b := &Budget{clients: half, servers: half}
	b.free = sync.NewCond(&b.mu)
	return b
}

// take takes a socket for a worker, if one is left.
func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers == 0 {
		return false
	}
	b.servers--
	return true
}

func (b *Budget) give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers++
}

// Listen wraps a listener: it accepts only while a client's share is left, and leaves the rest to the backlog.
func (b *Budget) Listen(l net.Listener) net.Listener { return &limited{Listener: l, budget: b} }

type limited struct {
	net.Listener
	budget *Budget
}

func (l *limited) Accept() (net.Conn, error) {
	b := l.budget
	b.mu.Lock()
	for b.clients == 0 {
		b.free.Wait()
	}
	b.clients--
	b.mu.Unlock()
	conn, err := l.Listener.Accept()
	if err != nil {
		b.returned()
		return nil, err
	}
	return &counted{Conn: conn, back: sync.OnceFunc(b.returned)}, nil
}

func (b *Budget) returned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clients++
	b.free.Signal()
}

// counted gives its place back when it is closed.
type counted struct {
	net.Conn
	back func()
}

func (c *counted) Close() error {
	defer c.back()
	return c.Conn.Close()
}
