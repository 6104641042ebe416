package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/bounds"
)

// oneConn is a listener of a single connection.
type oneConn struct {
	conn   net.Conn
	closed chan struct{}
}

func (o *oneConn) Accept() (net.Conn, error) {
	if conn := o.conn; conn != nil {
		o.conn = nil
		return conn, nil
	}
	<-o.closed
	return nil, net.ErrClosed
}

func (o *oneConn) Close() error   { close(o.closed); return nil }
func (o *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// sendSlowBody sends a body to a front in single bytes, so many and with such a pause, and gives the answer's status and the
// time that it took. The route's time is 500 ms, or as given.
func sendSlowBody(t *testing.T, quiet, giveUp, pause time.Duration, bytes int) (status int, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		configuration, err := opconf.Parse([]byte(document))
		c.Assert(err, qt.IsNil)
		configuration.Limits.Quiet = quiet
		configuration.Routes[0].GiveUp = giveUp
		front := &Front{Bounds: bounds.New()}
		front.SetRouting(&Routing{Table: configuration.Table(), Limits: configuration.Limits})
		local, remote := net.Pipe()
		server := front.Bounds.Server(front, nil)
		go func() { _ = server.Serve(front.Bounds.Listen(&oneConn{conn: remote, closed: make(chan struct{})})) }()
		written := make(chan struct{})
		defer func() { _ = server.Close(); _ = local.Close(); <-written }()
		_, err = io.WriteString(local, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\n")
		c.Assert(err, qt.IsNil)
		start := time.Now()
		go func() {
			defer close(written)
			for range bytes {
				time.Sleep(pause)
				if _, err := io.WriteString(local, "x"); err != nil {
					return
				}
			}
		}()
		response, err := http.ReadResponse(bufio.NewReader(local), nil)
		c.Assert(err, qt.IsNil)
		status, took = response.StatusCode, time.Since(start)
	})
	return status, took
}

func TestSlowBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	c.Run("given a body that pauses for longer than quiet_ms, then it is refused with a promise", func(c *qt.C) {
		status, took := sendSlowBody(t, 200*time.Millisecond, 5*time.Second, 50*time.Millisecond, 3)
		c.Assert(status, qt.Equals, http.StatusRequestTimeout)
		c.Assert(took, qt.Equals, 350*time.Millisecond)
	})
	c.Run("given a body that is slow without a pause, then it is read whole", func(c *qt.C) {
		// The front has no worker of the service: it refuses what it has read.
		status, _ := sendSlowBody(t, 200*time.Millisecond, 5*time.Second, 150*time.Millisecond, 10)
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	})
	c.Run("given a body that goes on past the route's time, then it is refused with a promise", func(c *qt.C) {
		status, took := sendSlowBody(t, 200*time.Millisecond, 500*time.Millisecond, 150*time.Millisecond, 10)
		c.Assert(status, qt.Equals, http.StatusRequestTimeout)
		c.Assert(took, qt.Equals, 500*time.Millisecond)
	})
}
