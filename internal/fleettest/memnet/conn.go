package memnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// windowBytes is how much one end may write before the other has read it.
const windowBytes = 256 << 10

// Why calls fail.
var (
	errRefused  = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errReset    = os.NewSyscallError("read", syscall.ECONNRESET)
	errTimedOut = os.NewSyscallError("read", syscall.ETIMEDOUT)
	errInUse    = os.NewSyscallError("bind", syscall.EADDRINUSE)
)

func opError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Err: err}
}

// ending is what a segment does besides bringing bytes.
type ending int

const (
	goesOn ending = iota
	ends          // nothing comes after it
	resets        // the connection is gone
)

// segment is what one write sends.
type segment struct {
	data    []byte
	due     time.Time // at the far end, if the link is whole then
	arrived bool
	ending  ending
}

// Conn is one end of a connection; it implements net.Conn and network.Quieter. The fabric's lock guards it.
type Conn struct {
	fabric        *Fabric
	owner         *Process
	local, remote *net.TCPAddr
	peer          *Conn
	silence       time.Duration // after which unheard bytes end the connection; 0: never
	inbox         []segment     // on the way to this end, or there and unread
	failure       error
	closed        bool
	vanished      bool // its machine lost power
	unheard       bool // bytes were written that did not get to the far machine at once
	watched       bool // the time of silence runs
	readLimit     time.Time
	writeLimit    time.Time
	wake          chan struct{}
}

func newConn(owner *Process, local, remote *net.TCPAddr) *Conn {
	c := &Conn{fabric: owner.fabric, owner: owner, local: local, remote: remote, wake: make(chan struct{})}
	owner.conns[c] = struct{}{}
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	for {
		next := c.arrive()
		if c.closed {
			return 0, opError("read", net.ErrClosed)
		}
		if c.failure != nil {
			return 0, opError("read", c.failure)
		}
		if expired(c.readLimit) {
			return 0, opError("read", os.ErrDeadlineExceeded)
		}
		if len(buffer) == 0 {
			return 0, nil
		}
		if len(c.inbox) > 0 && c.inbox[0].arrived {
			return c.take(buffer)
		}
		c.wait(next, c.readLimit)
	}
}

// take reads from the first segment, which has arrived.
func (c *Conn) take(buffer []byte) (int, error) {
	first := &c.inbox[0]
	if len(first.data) == 0 && first.ending == ends {
		return 0, io.EOF
	}
	n := copy(buffer, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 && first.ending == goesOn {
		c.inbox = c.inbox[1:]
	}
	c.peer.wakeWaiters()
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	written := 0
	for {
		next := c.arrive()
		if c.closed {
			return written, opError("write", net.ErrClosed)
		}
		if c.failure != nil {
			return written, opError("write", c.failure)
		}
		if expired(c.writeLimit) {
			return written, opError("write", os.ErrDeadlineExceeded)
		}
		if room := windowBytes - c.peer.unread(); room > 0 {
			part := data[written:min(len(data), written+room)]
			c.send(segment{data: append([]byte(nil), part...)})
			written += len(part)
		}
		if written == len(data) {
			return written, nil
		}
		c.wait(next, c.writeLimit)
	}
}

// unread is how many bytes this end has not read.
func (c *Conn) unread() int {
	size := 0
	for _, s := range c.inbox {
		size += len(s.data)
	}
	return size
}

// send has a segment travel to the far end. One that no longer knows the connection answers with a reset.
func (c *Conn) send(s segment) {
	here, there := c.owner.machine.ip, c.peer.owner.machine.ip
	if !c.fabric.whole(here, there) || !c.fabric.whole(there, here) {
		c.unheard = true
		c.watch()
	}
	if c.peer.closed || c.peer.vanished {
		if s.ending == goesOn && !(c.peer.vanished && !c.fabric.powered(there)) {
			c.rejectUnknownPeer()
		}
		return
	}
	s.due = time.Now().Add(c.fabric.delayOf(here, there) + c.fabric.transferTime(here, there, len(s.data)))
	if n := len(c.peer.inbox); n > 0 && s.due.Before(c.peer.inbox[n-1].due) {
		s.due = c.peer.inbox[n-1].due
	}
	c.peer.inbox = append(c.peer.inbox, s)
	c.peer.wakeWaiters()
}

// strangers has the far machine answer that it does not know the connection.
func (c *Conn) rejectUnknownPeer() {
	here, there := c.owner.machine.ip, c.peer.owner.machine.ip
	c.inbox = append(c.inbox, segment{
		due:    time.Now().Add(c.fabric.delayOf(here, there) + c.fabric.delayOf(there, here)),
		ending: resets,
	})
	c.wakeWaiters()
}

// watch ends the connection if the far machine stays silent.
func (c *Conn) watch() {
	if c.silence <= 0 || c.watched {
		return
	}
	c.watched = true
	time.AfterFunc(c.silence, func() {
		c.fabric.mu.Lock()
		defer c.fabric.mu.Unlock()
		c.watched = false
		here, there := c.owner.machine.ip, c.peer.owner.machine.ip
		if !c.fabric.whole(here, there) || !c.fabric.whole(there, here) {
			c.fail(errTimedOut)
		}
	})
}

// arrive notes what has come by now, and returns the time at which the next segment comes; zero: none is on its way, or the
// way is not whole.
func (c *Conn) arrive() time.Time {
	if c.peer == nil || !c.fabric.whole(c.peer.owner.machine.ip, c.owner.machine.ip) {
		return time.Time{}
	}
	now := time.Now()
	for i := range c.inbox {
		s := &c.inbox[i]
		if s.arrived {
			continue
		}
		if s.due.After(now) {
			return s.due
		}
		s.arrived = true
		if s.ending == resets && c.failure == nil {
			c.failure = errReset
		}
	}
	return time.Time{}
}

// wait lets go of the lock until the connection changes, the next segment comes or the limit is reached.
func (c *Conn) wait(next, limit time.Time) {
	wake := c.wake
	at := next
	if at.IsZero() || !limit.IsZero() && limit.Before(at) {
		at = limit
	}
	var alarm <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		alarm = timer.C
	}
	c.fabric.mu.Unlock()
	select {
	case <-wake:
	case <-alarm:
	}
	c.fabric.mu.Lock()
}

// stir wakes those who wait at this end.
func (c *Conn) wakeWaiters() {
	close(c.wake)
	c.wake = make(chan struct{})
}

// fail ends the connection at this end, without a word to the other.
func (c *Conn) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
	c.wakeWaiters()
}

// vanish ends this end with its machine's power.
func (c *Conn) losePower() {
	c.vanished = true
	c.fail(net.ErrClosed)
}

// crosses reports whether the connection uses a way.
func (c *Conn) crosses(from, to string) bool {
	here, there := c.owner.machine.ip, c.peer.owner.machine.ip
	return here == from && there == to || here == to && there == from
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	if c.closed {
		return opError("close", net.ErrClosed)
	}
	c.close()
	return nil
}

// close ends the connection; with bytes unread it is reset, as by the operating system.
func (c *Conn) close() {
	if c.closed {
		return
	}
	c.arrive()
	if len(c.inbox) > 0 && c.inbox[0].arrived && len(c.inbox[0].data) > 0 {
		c.abort()
		return
	}
	c.leave(ends)
}

// Reset ends the connection with a reset, as a process does that was told not to linger.
func (c *Conn) Reset() {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.abort()
}

func (c *Conn) abort() { c.leave(resets) }

func (c *Conn) leave(how ending) {
	if c.closed {
		return
	}
	if c.failure == nil {
		c.send(segment{ending: how})
	}
	c.closed = true
	delete(c.owner.conns, c)
	c.wakeWaiters()
}

// Quiet implements network.Quieter.
func (c *Conn) Quiet() bool {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	c.arrive()
	return !c.closed && c.failure == nil && (len(c.inbox) == 0 || !c.inbox[0].arrived)
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error { return c.limit(&at, &at) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error { return c.limit(&at, nil) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error { return c.limit(nil, &at) }

func (c *Conn) limit(read, write *time.Time) error {
	c.fabric.mu.Lock()
	defer c.fabric.mu.Unlock()
	if c.closed {
		return opError("set", net.ErrClosed)
	}
	if read != nil {
		c.readLimit = *read
	}
	if write != nil {
		c.writeLimit = *write
	}
	c.wakeWaiters()
	return nil
}

// expired reports whether a limit has come.
func expired(limit time.Time) bool { return !limit.IsZero() && !time.Now().Before(limit) }
