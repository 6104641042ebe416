package downstream

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"math"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"syscall"
	"time"

	"sumacloft/internal/inflight"
)

// Conn is a client's connection. It passes net/http one request at a time: a complete head, then no more of the body than the
// head announces. So it knows whether a request is open, and it sees framing headers that net/http removes.
type Conn struct {
	net.Conn
	guard  *Guard
	holder *inflight.Holder

	// One reader at a time uses these.
	buf   []byte // received and not passed on
	ready int    // number of bytes of buf that may be passed on
	body  int64  // number of body bytes that follow them
	late  bool   // headGrace was granted to this head

	// The guard's lock guards these.
	place   *list.Element // in the list of idle connections; nil if not idle
	since   time.Time     // idle, or the first byte of the request
	heading bool          // a part of a head has arrived
	serving bool          // net/http serves a request
	served  bool          // a request was answered
	fault   string
	last    bool // the connection ends with this request
	evicted bool // the request's body is not read any further
	gone    bool
}

var errDropped = errors.New("the connection made room for others")

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for c.ready == 0 {
		if c.body > 0 {
			n, err := c.Conn.Read(p[:min(int64(len(p)), c.body)])
			c.body -= int64(n)
			return n, err
		}
		if c.last {
			return 0, io.EOF
		}
		if err := c.frame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buf[:c.ready])
	c.buf, c.ready = c.buf[n:], c.ready-n
	if len(c.buf) == 0 {
		c.buf = nil // an idle connection holds no memory
	}
	return n, nil
}

// frame reads until a head is complete or exceeds its limit.
func (c *Conn) frame() error {
	c.buf = bytes.TrimLeft(c.buf, "\r\n") // as some clients send after a body
	end := headEnd(c.buf)
	for end < 0 && len(c.buf) <= maxHead {
		var piece [4 << 10]byte
		n, err := c.Conn.Read(piece[:])
		if n == 0 && c.extendDeadline(err) {
			continue
		}
		c.buf = bytes.TrimLeft(append(c.buf, piece[:n]...), "\r\n")
		if len(c.buf) > 0 && !c.headBytesArrived() {
			return errDropped
		}
		if full := c.holder.Grow(inflight.HeadBytes(piece[:n])); full != nil {
			return errDropped
		}
		if end = headEnd(c.buf); err != nil && end < 0 {
			return err
		}
	}
	c.headComplete(end)
	return nil
}

// extendDeadline extends a head's deadline by headGrace, once, if it ended while bytes were unread: this process was paused, and
// closing the connection would reset a client that met the limit. It reports whether it did.
func (c *Conn) extendDeadline(err error) bool {
	if c.late || !errors.Is(err, os.ErrDeadlineExceeded) || quiet(c.Conn) {
		return false
	}
	c.late = true
	return c.Conn.SetReadDeadline(time.Now().Add(headGrace)) == nil
}

// headEnd returns the length of the head at the start of b, including its empty line, or -1 if it is incomplete. As for
// net/http, lines end with or without a carriage return.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return -1
		}
		if line := bytes.TrimSuffix(b[at:at+n], []byte("\r")); len(line) == 0 {
			return at + n + 1
		}
		at += n + 1
	}
}

// headComplete sets how much of the request is passed on whose head ends at end. A head that can't be framed is passed on as it is,
// and nothing after it: net/http rejects it.
func (c *Conn) headComplete(end int) {
	body, fault, last := int64(math.MaxInt64), "", true
	if end >= 0 {
		body, fault = framing(c.buf[:end])
		last = body == math.MaxInt64 || fault != ""
		c.ready = int(min(int64(len(c.buf)-end), body)) + end
		c.body = body - int64(c.ready-end)
	} else {
		c.ready, c.body = len(c.buf), body
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.heading, c.serving, c.late = false, true, false
	c.fault, c.last = fault, last
}

// framing returns the length of the body that follows a head. A request with two lengths may hide another one, which one server
// takes for a body and the next for a request. The fault is why the request must be rejected.
func framing(head []byte) (body int64, fault string) {
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	_, err := lines.ReadLine()
	if err != nil {
		return math.MaxInt64, ""
	}
	h, err := lines.ReadMIMEHeader()
	if err != nil {
		return math.MaxInt64, ""
	}
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return 0, "Content-Length beside Transfer-Encoding"
	case len(lengths) > 1:
		return 0, "Content-Length: there twice"
	case len(codings) > 0:
		return math.MaxInt64, "" // only net/http knows where it ends: the connection ends with it
	case len(lengths) == 0:
		return 0, ""
	}
	n, err := strconv.ParseUint(textproto.TrimString(lengths[0]), 10, 63)
	if err != nil {
		return 0, "Content-Length: not a length"
	}
	return int64(n), ""
}

// headBytesArrived records bytes of a head. It returns false if the connection was closed meanwhile.
func (c *Conn) headBytesArrived() bool {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.heading {
		c.heading, c.since = true, time.Now()
	}
	if c.place != nil {
		g.idle.Remove(c.place)
		c.place = nil
	}
	return !c.gone
}

// request returns what was found in the head of the request that net/http has read, and when the request began.
func (c *Conn) request() (fault string, last bool, began time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.fault, c.last, c.since
}

// answered records that an answer is complete.
func (c *Conn) answered() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.serving, c.served = false, true
	if c.gone {
		return
	}
	c.holder.Settle(inflight.HeadBytes(c.buf))
	if c.heading || c.ready > 0 { // a part of the next request has arrived, and its time starts now
		c.since = time.Now()
		return
	}
	c.rest()
	g.freed.Broadcast()
}

// rest lists the connection as idle. The caller holds the lock.
func (c *Conn) rest() {
	c.since = time.Now()
	c.place = c.guard.idle.PushBack(c)
}

// leave removes the connection from the guard, once. The caller holds the lock.
func (c *Conn) leave() {
	g := c.guard
	if c.gone {
		return
	}
	c.gone = true
	c.holder.Close()
	if c.place != nil {
		g.idle.Remove(c.place)
		c.place = nil
	}
	delete(g.conns, c)
	g.freed.Broadcast()
}

// evict makes room for others: a request whose body is being read is refused by its handler, any other connection is closed.
func (c *Conn) evict(inflight.Cause) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.serving {
		c.evicted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection, whose reads fail
		return
	}
	c.guard.drop(c)
}

// SetReadDeadline implements net.Conn. An evicted connection keeps its deadline in the past.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.leave()
	return err
}

// CloseWrite closes the sending side. net/http uses it so that the client can still read an error answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// quiet reports whether a connection is open and has no unread bytes. It consumes nothing and does not block.
func quiet(conn net.Conn) bool {
	is, err := peek(conn)
	return err == nil && is == syscall.EAGAIN
}

// peek returns the error of peeking at the next byte, or 0 if there is one or the connection has ended.
func peek(conn net.Conn) (syscall.Errno, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var look error
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, look = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	errno, _ := look.(syscall.Errno)
	return errno, nil
}
