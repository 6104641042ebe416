package bounds

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"sumacloft/internal/inflight"
	"sumacloft/internal/opconf"
)

const (
	// readAheadBytes is the size of net/http's reads. Up to this many bytes of a body may arrive with the end of a
	// head.
	readAheadBytes = 4 << 10
	// deadlineGrace extends a connection's deadline once it has passed. If this process was paused, bytes that arrived
	// in time may still be unread, and closing the connection then would reset a client that met the limit.
	deadlineGrace = 50 * time.Millisecond
	// lingerTimeout is how long the input of a refused client is still read, so that the client can read the answer.
	// Closing a connection with unread bytes resets it.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout is how long a client may take to accept one write of an answer for which the handler sets no time.
	writeTimeout = 15 * time.Second
	// largeWrite is the size from which a write is charged where the handler does not charge its answer.
	largeWrite = 32 << 10
)

// Answers to a head that exceeds a limit. No request has been taken from it.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n431 Request Header Fields Too Large"
	answerTooSlow = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n408 Request Timeout"
	answerNoRoom = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n" +
		"Connection: close\r\n\r\n503 Service Unavailable: too many requests are open; retry later"
)

var (
	errTooLarge = errors.New("request head exceeds header_bytes")
	errTooSlow  = errors.New("request head not complete within header_wait_ms")
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// phase is the state of a connection between and during requests.
type phase int

const (
	idle        phase = iota // no byte of a request has arrived
	readingHead              // part of a request's head has arrived
	serving                  // net/http has the head and sets the read deadline
)

// Conn is a client's connection. While it waits for a request's head, the limiter sets its read deadline instead of
// net/http.
type Conn struct {
	net.Conn
	limiter *Limiter
	holder  *inflight.Holder

	mu         sync.Mutex
	limits     opconf.Limits
	phase      phase
	phaseStart time.Time // start of the phase
	headBytes  int       // bytes received since the last request
	extended   bool      // deadlineGrace has been granted
	evicted    bool      // the connection makes room for others
	writeLimit bool      // the handler has set a deadline for writes
	answering  bool      // a part of the answer was written
	readAhead  int64     // what the latest small read holds if it is part of the next head
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.currentPhase() == serving {
		return c.readBody(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.currentPhase() == readingHead {
		return 0, c.refuse(answerTooSlow, errTooSlow)
	}
	if n > 0 && c.countHeadBytes(n) {
		return 0, c.refuse(answerTooLarge, errTooLarge)
	}
	if holds := inflight.HeadBytes(p[:n]); n > 0 {
		c.setReadAhead(holds)
		if full := c.holder.Grow(holds); full != nil {
			return 0, c.refuse(answerNoRoom, full)
		}
	}
	return n, err
}

// readBody reads part of a body, which the handler charges. What net/http buffers may be the beginning of the next head.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if len(p) <= readAheadBytes && n > 0 {
		c.setReadAhead(inflight.HeadBytes(p[:n]))
	}
	return n, err
}

func (c *Conn) setReadAhead(holds int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = holds
}

// Write implements net.Conn. While a write waits for the client, the connection may make room for others.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.handlerLimitsWrites() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection, as the write does
	}
	if !c.holder.Pinned() {
		return c.Conn.Write(p)
	}
	c.startAnswer()
	if c.limiter.chargeWrites && len(p) >= largeWrite {
		if err := c.holder.GrowTo(int64(len(p))); err != nil {
			return 0, err
		}
	}
	c.holder.Unpin()
	n, err := c.Conn.Write(p)
	if pinned := c.holder.Pin(); err == nil {
		err = pinned
	}
	return n, err
}

func (c *Conn) startAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = true
}

func (c *Conn) handlerLimitsWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLimit
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.writeLimit = !deadline.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// evict makes room for others: a request whose body is being read is refused by its handler, any other connection is closed.
func (c *Conn) evict(cause inflight.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.phase == serving && cause == inflight.NeedMemory && !c.answering {
		_ = c.Conn.SetReadDeadline(longAgo) // fails on a closed connection, whose reads fail
		return
	}
	_ = c.Conn.Close() // net/http finds it closed
}

func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// extendDeadline extends the read deadline by deadlineGrace, once per phase. It reports whether it did.
func (c *Conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extended {
		return false
	}
	c.extended = true
	return c.Conn.SetReadDeadline(time.Now().Add(deadlineGrace)) == nil
}

// countHeadBytes adds n bytes to the head's size and reports whether it exceeds the limit.
func (c *Conn) countHeadBytes(n int) (tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.phase, c.phaseStart, c.extended = readingHead, time.Now(), false
		c.setPhaseDeadline()
	}
	c.headBytes += n
	return c.headBytes > c.limits.HeaderBytes+readAheadBytes
}

// requestStarted records that net/http has read a complete head or has rejected it.
func (c *Conn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headBytes, c.answering = serving, 0, false
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the next read does
}

// requestFinished records that the connection waits for its next request.
func (c *Conn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.extended, c.writeLimit = idle, time.Now(), false, false
	c.setPhaseDeadline()
	c.holder.Settle(c.readAhead)
}

// setLimits applies new limits to the connection.
func (c *Conn) setLimits(limits opconf.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	if c.phase != serving {
		c.setPhaseDeadline()
	}
}

// setPhaseDeadline sets the read deadline of the current phase. The caller holds the lock.
func (c *Conn) setPhaseDeadline() {
	timeout := c.limits.Quiet
	if c.phase == readingHead {
		timeout = c.limits.HeaderWait
	}
	_ = c.Conn.SetReadDeadline(c.phaseStart.Add(timeout)) // fails on a closed connection, as the next read does
}

// SetReadDeadline implements net.Conn for reads of a request's body. Deadlines that net/http sets before that are
// ignored.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// refuse answers a head instead of net/http. It returns an error on which net/http closes the connection without an
// answer of its own.
func (c *Conn) refuse(answer string, cause error) error {
	c.holder.Settle(0)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c.Conn) // ends when the client closes or at the deadline
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
}

// CloseWrite closes the sending side. net/http uses it so that the client can still read an error answer.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.untrack(c)
	c.holder.Close()
	return c.Conn.Close()
}
