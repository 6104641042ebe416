package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/network"
)

// limitsOf is a change of the configuration's limits.
func limitsOf(version uint64, headerBytes, headerWaitMS, quietMS int) string {
	whole := Document(version)
	begin := strings.Index(whole, `"limits":`)
	return whole[:begin] + fmt.Sprintf(`"limits":{"header_bytes":%d,"body_bytes":1048576,"header_wait_ms":%d,"quiet_ms":%d}}`,
		headerBytes, headerWaitMS, quietMS)
}

// connect opens a connection of a client to an edge.
func (c *Client) connect(edge *Edge) net.Conn {
	conn, err := c.process.Dial(context.Background(), edge.Front(), network.DialOptions{})
	if err != nil {
		c.fleet.t.Fatal(err)
	}
	return conn
}

// ending is what a connection says until its end, and how long that takes.
func ending(conn net.Conn) (text string, took time.Duration) {
	began := time.Now()
	all, _ := io.ReadAll(conn) // its error is an end as well
	return string(all), time.Since(began)
}

// statusOf sends a head of about so many bytes and returns the answer's status.
func statusOf(c *qt.C, conn net.Conn, size int) int {
	c.Helper()
	_, _ = io.WriteString(conn, "GET "+HarmlessPath+"x HTTP/1.1\r\nHost: "+Host+"\r\nX-Request-Id: r\r\nX-Pad: "+
		strings.Repeat("x", size)+"\r\n\r\n") // what is refused may not be taken whole
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode
}

func TestClientsAreHeldToTheLimitsInForce(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a fleet whose limits are 16 KiB for a head, 3 s for it to come, and 15 s of silence.
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		edge := f.Edges[0]
		open := f.Client.connect(edge)
		c.Assert(statusOf(c, open, 12<<10), qt.Equals, http.StatusOK)
		c.Assert(statusOf(c, f.Client.connect(edge), 30<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		// When the operator allows heads of 64 KiB, and 1 s and 5 s.
		f.Operator.Acknowledge(1, limitsOf(2, 64<<10, 1000, 5000))
		time.Sleep(time.Second)
		// Then connections that were open before, as well as new ones, are held to that.
		c.Assert(statusOf(c, open, 30<<10), qt.Equals, http.StatusOK)
		text, took := ending(open)
		c.Assert(text, qt.Equals, "")
		c.Assert(took > 4*time.Second && took < 6*time.Second, qt.IsTrue, qt.Commentf("idle for %v", took))
		half := f.Client.connect(edge)
		_, err := io.WriteString(half, "GET /half")
		c.Assert(err, qt.IsNil)
		text, took = ending(half)
		c.Assert(strings.HasPrefix(text, "HTTP/1.1 408 "), qt.IsTrue, qt.Commentf("%q", text))
		c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
	})
}
