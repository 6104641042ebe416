package bounds

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

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
)

// Answers to a head that exceeds a limit. No request has been taken from it.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n431 Request Header Fields Too Large"
	answerTooSlow = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n408 Request Timeout"
)

var (
	errTooLarge = errors.New("request head exceeds header_bytes")
	errTooSlow  = errors.New("request head not complete within header_wait_ms")
)

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

	mu         sync.Mutex
	limits     opconf.Limits
	phase      phase
	phaseStart time.Time // start of the phase
	headBytes  int       // bytes received since the last request
	extended   bool      // deadlineGrace has been granted
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.currentPhase() == serving {
		return c.Conn.Read(p)
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
	return n, err
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
	c.phase, c.headBytes = serving, 0
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the next read does
}

// requestFinished records that the connection waits for its next request.
func (c *Conn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.extended = idle, time.Now(), false
	c.setPhaseDeadline()
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
	if c.phase != serving {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// refuse answers a head instead of net/http. It returns an error on which net/http closes the connection without an
// answer of its own.
func (c *Conn) refuse(answer string, cause error) error {
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
	return c.Conn.Close()
}
