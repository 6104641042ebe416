package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
)

// Pool keeps the connections to workers that wait for their next request.
type Pool struct {
	budget      *Budget
	network     network.Network
	dialTimeout time.Duration
	idleLimit   time.Duration
	settle      time.Duration
	terms       Terms
	stale       stale
	shares      *shares
	dialed      atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*conn // by address, the one used last at the end
}

// Terms are what differs between the protocols that workers speak. The zero value is the platform's.
type Terms struct {
	// Patient streams may be silent for as long as their worker likes; otherwise silentLimit ends them.
	Patient bool
	// EndsWithConnection takes the end of a connection for the end of an answer that has neither length nor chunks.
	EndsWithConnection bool
	// KeepAlive has the answers' Keep-Alive header bound how long a connection is kept idle.
	KeepAlive bool
	// EventFields are names of stream fields, besides the standard's, that an event may begin with.
	EventFields []string
	// Network is what workers are reached over; nil: the operating system's.
	Network network.Network
	// Meter counts the exchanges; nil: nothing does.
	Meter *traffic.Meter
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	number uint64
	addr   string
	br     *bufio.Reader
	since  time.Time     // idle
	limit  time.Duration // of idleness, as the worker announced it; 0: it did not
	back   func()
	meter  *traffic.Meter
	kind   traffic.Kind // of the exchange under way
}

// idleShare of the time after which the far side may close an idle connection is how long one is kept: what is
// written to it from that time on is lost, and a filing lost so may have run.
const idleShare = 0.7

// NewPool makes a pool that dials for at most dialTimeout, to workers that close what was idle for idleLimit.
func NewPool(budget *Budget, dialTimeout, idleLimit time.Duration) *Pool {
	return &Pool{budget: budget, network: network.System{}, dialTimeout: dialTimeout, settle: settleTime, idle: map[string][]*conn{},
		shares: newShares(), idleLimit: time.Duration(idleShare * float64(idleLimit))}
}

// NewPoolOn is NewPool on other terms than the platform's.
func NewPoolOn(terms Terms, budget *Budget, dialTimeout, idleLimit time.Duration) *Pool {
	pool := NewPool(budget, dialTimeout, idleLimit)
	pool.terms = terms
	if terms.Network != nil {
		pool.network = terms.Network
	}
	return pool
}

// settleTime is how long a connection rests after an exchange: an answer that nobody asked for may come a little
// after the one before it, and must be seen before the next request is written.
const settleTime = 15 * time.Millisecond

// Dialed is how many connections the pool has opened.
func (p *Pool) Dialed() uint64 { return p.dialed.Load() }

// get takes an idle connection that is fit for use, or dials. Where the address's share is in use it waits for a short time.
func (p *Pool) get(ctx context.Context, addr string, attempt bool, avoid func(uint64) bool) (*conn, error) {
	if c := p.reuse(addr, avoid); c != nil {
		return c, nil
	}
	if !p.shares.enter(addr, attempt) {
		if c, err := p.await(ctx, addr, attempt, avoid); c != nil || err != nil {
			return c, err
		}
	}
	c, err := p.dial(ctx, addr, attempt)
	if err != nil {
		p.shares.leave(addr)
	}
	return c, err
}

// reuse takes an idle connection that is fit for use; nil: there is none. Those that are not are closed.
func (p *Pool) reuse(addr string, avoid func(uint64) bool) *conn {
	for {
		c := p.take(addr, avoid)
		if c == nil {
			return nil
		}
		if age := time.Since(c.since); age < p.limitOf(c) && p.stale.trusts(age) && quiet(c) {
			return c
		}
		c.discard()
	}
}

// dial opens a connection, for which a place in the address's share has been taken.
func (p *Pool) dial(ctx context.Context, addr string, attempt bool) (*conn, error) {
	for !p.budget.take(attempt) {
		if !p.evict() {
			return nil, core.ErrNoSocket
		}
	}
	raw, err := p.network.Dial(ctx, addr, network.DialOptions{Timeout: p.dialTimeout})
	if err != nil {
		p.budget.give()
		return nil, err
	}
	back := func() {
		p.budget.give()
		p.shares.leave(addr)
	}
	c := &conn{Conn: raw, number: p.dialed.Add(1), addr: addr, meter: p.terms.Meter, back: sync.OnceFunc(back)}
	c.br = bufio.NewReaderSize(c, 8<<10)
	return c, nil
}

// Read serves net.Conn; what is read counts for the exchange that is under way.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 && c.meter != nil {
		c.meter.AddReceived(c.kind, c.addr, n)
	}
	return n, err
}

// limitOf is how long a connection may be idle and still be used.
func (p *Pool) limitOf(c *conn) time.Duration {
	if c.limit > 0 {
		return min(c.limit, p.idleLimit)
	}
	return p.idleLimit
}

// take takes the connection that was used last among those that have rested.
func (p *Pool) take(addr string, avoid func(uint64) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; time.Since(c.since) >= p.settle && (avoid == nil || !avoid(c.number)) {
			p.set(addr, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// Drop closes the idle connections to an address: its worker is gone or takes nothing new.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.discard()
	}
	delete(p.idle, addr)
}

func (p *Pool) set(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

// put takes back a connection whose exchange has ended whole.
func (p *Pool) put(c *conn) {
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares.over(c.addr) > 0 { // asked by one at a time, or several would be closed for one too many
		c.discard()
		return
	}
	c.since = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.shares.given(c.addr)
}

// evict closes the connection that has been idle for longest, to make room for a new one.
func (p *Pool) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].since.Before(oldest.since) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.set(oldest.addr, slices.Delete(p.idle[oldest.addr], 0, 1))
	oldest.discard()
	return true
}

// Sweep closes what has been idle for too long; call it now and then.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].since) >= p.idleLimit {
			list[n].discard()
			n++
		}
		p.set(addr, slices.Delete(list, 0, n))
	}
}

func (c *conn) discard() {
	_ = c.Close() // nothing is left to be lost
	c.back()
}

// quiet tells whether an idle connection is still open and has nothing to read: an end of file, a reset, or
// bytes that nobody asked for make it unfit. The look takes nothing and does not wait.
func quiet(c *conn) bool {
	if own, ok := c.Conn.(network.Quieter); ok {
		return c.br.Buffered() == 0 && own.Quiet()
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok || c.br.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
