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

// Conn is a client's connection. It hands net/http one request after the other: each head as a whole, then no
// more of the body than the head says. So it knows whether a request is open, and sees what net/http removes.
type Conn struct {
	net.Conn
	guard  *Guard
	holder *inflight.Holder

	// One reader at a time uses these.
	buf   []byte // read and not handed on
	ready int    // bytes of buf that may be
	body  int64  // bytes that follow them unframed
	late  bool   // this head was given lateTime

	// The guard's lock guards these.
	place   *list.Element // among the idle; nil: not idle, or gone
	since   time.Time     // idle, or the first byte of the request
	heading bool          // a head has begun and not ended
	serving bool          // a request is with net/http
	served  bool          // a request has been answered
	fault   string
	last    bool // nothing after this request can be framed
	evicted bool // the request's body is not read any further
	gone    bool
}

var errDropped = errors.New("the connection made room for others")

// Read serves net.Conn.
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

// frame reads until a head is whole, or can't become one.
func (c *Conn) frame() error {
	c.buf = bytes.TrimLeft(c.buf, "\r\n") // as some clients send after a body
	end := headEnd(c.buf)
	for end < 0 && len(c.buf) <= maxHead {
		var piece [4 << 10]byte
		n, err := c.Conn.Read(piece[:])
		if n == 0 && c.stood(err) {
			continue
		}
		c.buf = bytes.TrimLeft(append(c.buf, piece[:n]...), "\r\n")
		if len(c.buf) > 0 && !c.heard() {
			return errDropped
		}
		if full := c.holder.Grow(inflight.HeadBytes(piece[:n])); full != nil {
			return errDropped
		}
		if end = headEnd(c.buf); err != nil && end < 0 {
			return err
		}
	}
	c.taken(end)
	return nil
}

// stood tells whether a head's time ran out while its bytes lay there unread: this process did not run, stopped or starved,
// and to close now would reset a client that did its part. Once for each head there is a little more time.
func (c *Conn) stood(err error) bool {
	if c.late || !errors.Is(err, os.ErrDeadlineExceeded) || quiet(c.Conn) {
		return false
	}
	c.late = true
	return c.Conn.SetReadDeadline(time.Now().Add(lateTime)) == nil
}

// headEnd is the length of the head at the front of b, with its empty line; -1 if that has not come. Lines end as
// they do for net/http: with or without a carriage return.
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

// taken settles how far the request goes whose head ends at end. What can't be framed goes on as it came, and
// nothing after it: net/http refuses it.
func (c *Conn) taken(end int) {
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

// framing tells how long the body is that follows a head. A request with two lengths may hide another: what one
// side takes for its body is a request to the other. The fault tells what no server may take.
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

// heard notes bytes of a head; false says that the connection was closed in the meantime.
func (c *Conn) heard() bool {
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

// request tells what is to be known of the request that net/http has read.
func (c *Conn) request() (fault string, last bool, began time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.fault, c.last, c.since
}

// answered says that an answer has gone out whole.
func (c *Conn) answered() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.serving, c.served = false, true
	if c.gone {
		return
	}
	c.holder.Settle(inflight.HeadBytes(c.buf))
	if c.heading || c.ready > 0 { // the next request has begun to come: its time starts now
		c.since = time.Now()
		return
	}
	c.rest()
	g.freed.Broadcast()
}

// rest puts the connection among the idle. The lock is held.
func (c *Conn) rest() {
	c.since = time.Now()
	c.place = c.guard.idle.PushBack(c)
}

// leave takes the connection out of the guard's books, once. The lock is held.
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

// SetReadDeadline serves net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close serves net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.leave()
	return err
}

// CloseWrite lets net/http end an error's connection such that the client can still read the error.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// quiet tells whether nothing has come on a connection that was not read. The look takes nothing and does not wait.
func quiet(conn net.Conn) bool {
	is, err := peek(conn)
	return err == nil && is == syscall.EAGAIN
}

// peek gives the error of a look at the next byte; nil says that there is one, or the end.
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
