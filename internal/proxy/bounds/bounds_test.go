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

	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/bounds"
)

// pipeListener is a listener whose connections are pipeListener in memory.
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

// limits are those that the tests begin with.
var limits = opconf.Limits{HeaderBytes: 8 << 10, HeaderWait: 3 * time.Second, Quiet: 15 * time.Second}

// withServer runs a test with a server whose keeper uses the limits; dial opens a connection to it.
func withServer(t *testing.T, test func(c *qt.C, limiter *bounds.Limiter, dial func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limiter := bounds.New()
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

// postAndCheck sends a request and checks that it is answered whole.
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

// readUntilClosed is what a connection says until its end, and how long that takes.
func readUntilClosed(conn net.Conn) (text string, took time.Duration) {
	start := time.Now()
	all, _ := io.ReadAll(conn) // its error is an end as well
	return string(all), time.Since(start)
}

// isNear tells whether a time is what it should be, but for the last look and the time in which a refused client may read.
func isNear(got, want time.Duration) bool { return got >= want && got <= want+time.Second }

func TestIdleConnectionsCloseAfterTimeout(t *testing.T) {
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		// Given a client that connects and says nothing, then its connection ends without a word.
		text, took := readUntilClosed(dial())
		c.Assert(text, qt.Equals, "")
		c.Assert(isNear(took, limits.Quiet), qt.IsTrue, qt.Commentf("took %v", took))
	})
	withServer(t, func(c *qt.C, _ *bounds.Limiter, dial func() net.Conn) {
		// Given a connection that is used again just in time, then its idle time counts from the last answer.
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
		// Given a client that sends a byte of its head now and then.
		conn := dial()
		time.Sleep(5 * time.Second) // it was idle before, which does not count
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
		// Then it is refused once the time for a head is over, with a promise.
		text, took := readUntilClosed(conn)
		close(stop)
		c.Assert(strings.HasPrefix(text, "HTTP/1.1 408 "), qt.IsTrue, qt.Commentf("%q", text))
		c.Assert(isNear(took, limits.HeaderWait), qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// sendHead writes a head of so many bytes and gives the status line of the answer.
func sendHead(c *qt.C, conn net.Conn, size int) string {
	c.Helper()
	head := "GET /a HTTP/1.1\r\nHost: x\r\nX-Pad: "
	head += strings.Repeat("x", size-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	go func() { _, _ = io.WriteString(conn, head) }() // what is refused may not be read whole
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
		// When the configuration allows more, then more is taken.
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
		// When a new configuration lets them be idle for longer, then they go on past the old time.
		limiter.SetLimits(longer)
		time.Sleep(limits.Quiet + time.Second)
		postAndCheck(c, conn, "abc")
		// When the next one lets them be idle for less, then they end after that.
		limiter.SetLimits(shorter)
		text, took := readUntilClosed(conn)
		c.Assert(text, qt.Equals, "")
		c.Assert(isNear(took, shorter.Quiet), qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// A request that takes long to be served, and one whose body comes slowly, are nobody's idle connection.
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

// stalledConn is a connection whose reads find nothing at their deadline, as after a pause of this process, and then find
// what has lain there.
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
		// Given a process that stood still while a request came on an idle connection.
		clientEnd, serverEnd := net.Pipe()
		defer func() { _ = clientEnd.Close() }()
		listener := &pipeListener{incoming: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.incoming <- &stalledConn{Conn: serverEnd, buffered: "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"}
		conn, err := bounds.New().Listen(listener).Accept()
		c.Assert(err, qt.IsNil)
		// When it reads on, past the deadline, then it reads the request.
		n, err := conn.Read(make([]byte, 100))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 28)
	})
}
