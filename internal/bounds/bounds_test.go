package bounds_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/bounds"
	"sumacloft/internal/opconf"
)

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	incoming chan net.Conn
	closed   chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.incoming:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// limits are the initial limits of the tests.
var limits = opconf.Limits{HeaderBytes: 8 << 10, HeaderWait: 3 * time.Second, Quiet: 15 * time.Second}

// withServer runs a test with a server whose limiter has the initial limits. dial opens a connection to it.
func withServer(t *testing.T, test func(c *qt.C, limiter *bounds.Limiter, dial func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limiter := bounds.New(nil)
		limiter.SetLimits(limits)
		server := limiter.Server(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			_, _ = io.WriteString(w, "read "+string(body))
		}), nil)
		listener := &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = server.Serve(limiter.Listen(listener)) }()
		defer func() { _ = server.Close() }()
		test(c, limiter, func() net.Conn {
			clientEnd, serverEnd := net.Pipe()
			listener.incoming <- serverEnd
			t.Cleanup(func() { _ = clientEnd.Close() })
			return clientEnd
		})
	})
}

// postAndCheck sends a request and checks its complete answer.
func postAndCheck(c *qt.C, conn net.Conn, body string) {
	c.Helper()
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Equals, "read "+body)
}

// readUntilClosed reads a connection to its end and measures how long that takes.
func readUntilClosed(conn net.Conn) (text string, took time.Duration) {
	start := time.Now()
	all, _ := io.ReadAll(conn) // an error ends the connection, too
	return string(all), time.Since(start)
}

// isNear reports whether a duration exceeds the wanted one by at most a second, which covers the deadline's grace and
// the linger timeout.
func isNear(got, want time.Duration) bool { return got >= want && got <= want+time.Second }

func TestIdleConnectionsCloseAfterTimeout(t *testing.T) {
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		// Given a client that sends nothing, then its connection is closed without an answer.
		text, took := readUntilClosed(dial())
		c.Assert(text, qt.Equals, "")
		c.Assert(isNear(took, limits.Quiet), qt.IsTrue, qt.Commentf("took %v", took))
	})
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		// Given a connection that is used again just before its idle timeout, then the timeout starts again at the last
		// answer.
		conn := dial()
		postAndCheck(c, conn, "abc")
		time.Sleep(limits.Quiet - time.Second)
		postAndCheck(c, conn, "abc")
		text, took := readUntilClosed(conn)
		c.Assert(text, qt.Equals, "")
		c.Assert(isNear(took, limits.Quiet), qt.IsTrue, qt.Commentf("took %v", took))
	})
}

func TestIncompleteHeadIsRefusedAfterTimeout(t *testing.T) {
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		// Given a client that sends its head slowly, a byte at a time.
		conn := dial()
		time.Sleep(5 * time.Second) // idle time does not count towards the head's timeout
		stop := make(chan struct{})
		go func() {
			for {
				if _, err := io.WriteString(conn, "G"); err != nil {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
		// Then it is answered with 408, which promises that the request has not run, once the timeout for a head has
		// passed.
		text, took := readUntilClosed(conn)
		close(stop)
		c.Assert(strings.HasPrefix(text, "HTTP/1.1 408 "), qt.IsTrue, qt.Commentf("%q", text))
		c.Assert(isNear(took, limits.HeaderWait), qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// sendHead sends a head of the given size and returns the answer's status line.
func sendHead(c *qt.C, conn net.Conn, size int) string {
	c.Helper()
	head := "GET /a HTTP/1.1\r\nHost: x\r\nX-Pad: "
	head += strings.Repeat("x", size-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	go func() { _, _ = io.WriteString(conn, head) }() // a refused head may not be read to its end
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.Assert(err, qt.IsNil)
	return strings.TrimSpace(line)
}

func TestHeadSizeIsLimited(t *testing.T) {
	withServer(t, func(c *qt.C, limiter *bounds.Limiter, dial func() net.Conn) {
		const readAhead = 4 << 10
		c.Assert(sendHead(c, dial(), limits.HeaderBytes), qt.Equals, "HTTP/1.1 200 OK")
		tooLarge := "HTTP/1.1 431 Request Header Fields Too Large"
		c.Assert(sendHead(c, dial(), limits.HeaderBytes+2*readAhead), qt.Equals, tooLarge)
		c.Assert(sendHead(c, dial(), 100*limits.HeaderBytes), qt.Equals, tooLarge)
		// When the limit is raised, then a larger head is accepted.
		more := limits
		more.HeaderBytes *= 4
		limiter.SetLimits(more)
		c.Assert(sendHead(c, dial(), limits.HeaderBytes+2*readAhead), qt.Equals, "HTTP/1.1 200 OK")
	})
}

func TestOpenConnectionsFollowNewLimits(t *testing.T) {
	withServer(t, func(c *qt.C, limiter *bounds.Limiter, dial func() net.Conn) {
		// Given idle connections.
		longer, shorter := limits, limits
		longer.Quiet, shorter.Quiet = 40*time.Second, 2*time.Second
		conn := dial()
		postAndCheck(c, conn, "abc")
		time.Sleep(time.Second)
		// When the idle timeout is raised, then the connections stay open past the old timeout.
		limiter.SetLimits(longer)
		time.Sleep(limits.Quiet + time.Second)
		postAndCheck(c, conn, "abc")
		// When the idle timeout is lowered, then they are closed after the new timeout.
		limiter.SetLimits(shorter)
		text, took := readUntilClosed(conn)
		c.Assert(text, qt.Equals, "")
		c.Assert(isNear(took, shorter.Quiet), qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// A connection whose request is served slowly or whose body arrives slowly must not be closed as idle.
func TestRequestsInProgressAreNotIdle(t *testing.T) {
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		conn := dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na")
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * limits.Quiet)
		_, err = io.WriteString(conn, "b")
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	})
}

// stalledConn is a connection whose first read times out, as after a pause of this process. Later reads return the
// bytes that had arrived.
type stalledConn struct {
	net.Conn
	buffered string
	expired  bool
}

func (s *stalledConn) Read(p []byte) (int, error) {
	if !s.expired || s.buffered == "" {
		s.expired = true
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, s.buffered)
	s.buffered = s.buffered[n:]
	return n, nil
}

func TestBytesUnreadAtDeadlineAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a process that was paused while a request arrived on an idle connection.
		clientEnd, serverEnd := net.Pipe()
		defer func() { _ = clientEnd.Close() }()
		listener := &pipeListener{incoming: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.incoming <- &stalledConn{Conn: serverEnd, buffered: "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"}
		conn, err := bounds.New(nil).Listen(listener).Accept()
		c.Assert(err, qt.IsNil)
		// When it reads after the deadline, then it reads the request.
		n, err := conn.Read(make([]byte, 100))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 28)
	})
}
