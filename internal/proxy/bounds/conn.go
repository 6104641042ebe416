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
	// readAheadBytes is what net/http reads at a time: so much of a body may come with the end of a head.
	readAheadBytes = 4 << 10
	// deadlineGrace is what a connection gets on top once its time is over: bytes that came in time may lie there unread,
	// since this process stood still, and to close now would reset a client that did its part.
	deadlineGrace = 50 * time.Millisecond
	// lingerTimeout is how long what a refused client goes on sending is read, so that it can read why: to close with
	// bytes unread resets the connection.
	lingerTimeout = 500 * time.Millisecond
)

// The answers to a head that breaks a limit; none of it has been taken for a request.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n431 Request Header Fields Too Large"
	answerTooSlow = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n408 Request Timeout"
)

var (
	errTooLarge = errors.New("the head is larger than the configured header_bytes")
	errTooSlow  = errors.New("the head took longer than the configured header_wait_ms")
)

// phase is what a connection is at.
type phase int

const (
	idle        phase = iota // no byte of a request has come
	readingHead              // the head of a request has begun to come
	serving                  // net/http has the head; reads are its own
)

// Conn is a client's connection. While it waits for a request, the deadline of its reads is the keeper's, not net/http's.
type Conn struct {
	net.Conn
	limiter *Limiter

	mu         sync.Mutex
	limits     opconf.Limits
	phase      phase
	phaseStart time.Time // the phase began
	headBytes  int       // bytes that came while waiting
	extended   bool      // the last look has been granted
}

// Read serves net.Conn.
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

// extendDeadline grants a little more time, once for each request.
func (c *Conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extended {
		return false
	}
	c.extended = true
	return c.Conn.SetReadDeadline(time.Now().Add(deadlineGrace)) == nil
}

// countHeadBytes counts bytes of a head and tells whether there are too many.
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

// requestStarted notes that net/http has a whole head, or what it takes for one.
func (c *Conn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headBytes = serving, 0
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the next read does
}

// requestFinished notes that the connection waits for its next request.
func (c *Conn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.extended = idle, time.Now(), false
	c.setPhaseDeadline()
}

// setLimits holds the connection to limits from now on.
func (c *Conn) setLimits(limits opconf.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	if c.phase != serving {
		c.setPhaseDeadline()
	}
}

// setPhaseDeadline sets the deadline of the phase. The lock is held.
func (c *Conn) setPhaseDeadline() {
	timeout := c.limits.Quiet
	if c.phase == readingHead {
		timeout = c.limits.HeaderWait
	}
	_ = c.Conn.SetReadDeadline(c.phaseStart.Add(timeout)) // fails on a closed connection, as the next read does
}

// SetReadDeadline serves net.Conn for the reads of a request's body; what net/http sets before that has no effect.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// refuse answers a head in net/http's place, and gives the error at which net/http closes the connection without a word.
func (c *Conn) refuse(answer string, cause error) error {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c.Conn) // ends with the client's close, or the time
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
}

// CloseWrite lets net/http end an error's connection such that the client can still read the error.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close serves net.Conn.
func (c *Conn) Close() error {
	c.limiter.untrack(c)
	return c.Conn.Close()
}
