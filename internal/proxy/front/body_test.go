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

	"sumacloft/internal/bounds"
	"sumacloft/internal/opconf"
)

// oneConn is a listener with a single connection.
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

// sendSlowBody sends a body byte by byte to a front, with the given pause before each byte. It returns the answer's
// status and how long the answer took.
func sendSlowBody(t *testing.T, quiet, giveUp, pause time.Duration, bytes int) (status int, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		configuration, err := opconf.Parse([]byte(document))
		c.Assert(err, qt.IsNil)
		configuration.Limits.Quiet = quiet
		configuration.Routes[0].GiveUp = giveUp
		front := &Front{Bounds: bounds.New(nil)}
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
	c.Run("a body that pauses for longer than quiet_ms is refused with 408", func(c *qt.C) {
		status, took := sendSlowBody(t, 200*time.Millisecond, 5*time.Second, 50*time.Millisecond, 3)
		c.Assert(status, qt.Equals, http.StatusRequestTimeout)
		c.Assert(took, qt.Equals, 350*time.Millisecond)
	})
	c.Run("a slow body without long pauses is read completely", func(c *qt.C) {
		// The front has no lane for the service, so it refuses the request after reading it.
		status, _ := sendSlowBody(t, 200*time.Millisecond, 5*time.Second, 150*time.Millisecond, 10)
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	})
	c.Run("a body that exceeds the route's timeout is refused with 408", func(c *qt.C) {
		status, took := sendSlowBody(t, 200*time.Millisecond, 500*time.Millisecond, 150*time.Millisecond, 10)
		c.Assert(status, qt.Equals, http.StatusRequestTimeout)
		c.Assert(took, qt.Equals, 500*time.Millisecond)
	})
}
