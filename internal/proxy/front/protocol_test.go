package front_test

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/network"
)

// forged is the value of each header that a client may not set.
const forged = "forged"

// forgedLines are a client's header lines for the headers that only the system sets, in several spellings.
var forgedLines = []string{
	"X-Stage: " + forged, "x-stage: " + forged, "X-STAGE: " + forged,
	"Kv-From: " + forged, "kv-from: " + forged,
	"Priority: " + forged, "priority: " + forged + ", u=0",
	"X-Meant-Server: " + forged, "x-Meant-server: " + forged,
	"Expect-Version: " + forged, "expect-version: " + forged,
	"X-Time-Left: " + forged,
}

// healthyWorkers returns workers that answer regularly.
func healthyWorkers() []*worker {
	return []*worker{
		{name: "whole", reply: respond(served)},
		{name: "reader", phase: "reading", reply: respond(readPrompt)},
		{name: "writer", phase: "writing", reply: respond(flowing + "Content-Length: 19\r\n\r\n" + event)},
	}
}

// checkHeaders checks that a request has only the system's values of these headers.
func checkHeaders(c *qt.C, request received, system map[string]string) {
	c.Assert(strings.Contains(strings.ToLower(request.raw), forged), qt.IsFalse, qt.Commentf("%s", request.raw))
	for _, name := range []string{"X-Stage", "Kv-From", "Priority", "X-Meant-Server", "Expect-Version"} {
		var want []string
		if value, set := system[name]; set {
			want = []string{value}
		}
		c.Assert(request.Header.Values(name), qt.DeepEquals, want, qt.Commentf("%s", name))
	}
	c.Assert(request.Header.Values("X-Time-Left"), qt.HasLen, 1)
}

func TestClientsCannotSetInternalHeaders(t *testing.T) {
	workers := healthyWorkers()
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client that sets the system's headers requests a plain answer and a stream.
		c.Assert(s.send(c, riskyPath, "prompt", forgedLines...).status, qt.Equals, 200)
		c.Assert(s.send(c, streamPath, "prompt", forgedLines...).status, qt.Equals, 200)
		// Then each worker received only the system's values.
		plain, reader, writer := workers[0], workers[1], workers[2]
		c.Assert(plain.received(), qt.HasLen, 1)
		checkHeaders(c, plain.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "whole"})
		c.Assert(reader.received(), qt.HasLen, 1)
		checkHeaders(c, reader.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "reader", "X-Stage": "reading"})
		c.Assert(writer.received(), qt.HasLen, 1)
		checkHeaders(c, writer.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "writer", "Kv-From": reader.address() + "/ticket"})
	})
}

func TestClientsCannotSetInternalHeadersAsTrailers(t *testing.T) {
	workers := healthyWorkers()
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client sends a chunked body with the system's headers as trailers.
		connection, err := s.client.Dial(c.Context(), frontAddress, network.DialOptions{Timeout: time.Second})
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST "+riskyPath+" HTTP/1.1\r\nHost: h.example\r\nTrailer: Kv-From, X-Stage\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n6\r\nprompt\r\n0\r\nKv-From: "+forged+"\r\nX-Stage: "+forged+"\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(readAnswer(connection, time.Now()).status, qt.Equals, 200)
		// Then the worker received only the system's values.
		c.Assert(workers[0].received(), qt.HasLen, 1)
		checkHeaders(c, workers[0].received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "whole"})
	})
}

// checkTimeLeft checks that the time left that a worker received was computed when the request was written, for a
// timeout that began when the client sent the request.
func checkTimeLeft(c *qt.C, request received, sentAt time.Time, timeout, delay time.Duration) {
	written := request.at.Add(-delay)
	taken := sentAt.Add(linkDelay * 3) // the delay of the handshake and the request
	left := timeout - written.Sub(taken)
	got, err := strconv.Atoi(strings.TrimSpace(request.Header.Get("X-Time-Left")))
	c.Assert(err, qt.IsNil)
	c.Assert(time.Duration(got)*time.Millisecond, qt.Equals, left)
}

func TestTimeLeftIsMeasuredAtTheWrite(t *testing.T) {
	const (
		slowLink = 50 * time.Millisecond // between the proxy and its workers
		slowRead = 200 * time.Millisecond
	)
	for name, test := range map[string]struct {
		path  string
		lines []string
		given time.Duration
	}{
		"the client's":                  {riskyPath, []string{"X-Time-Left: 1500"}, 1500 * time.Millisecond},
		"the client's, for a stream":    {streamPath, []string{"X-Time-Left: 1500"}, 1500 * time.Millisecond},
		"the route's":                   {riskyPath, nil, giveUp},
		"the route's, if it is shorter": {streamPath, []string{"X-Time-Left: 60000"}, giveUp},
	} {
		t.Run(name, func(t *testing.T) {
			// Given a high network delay to the workers, so that connecting takes time, and a slow reader.
			workers := healthyWorkers()
			workers[1].reply = delayed(slowRead, workers[1].reply)
			runScene(t, workers, func(c *qt.C, s *scene) {
				for _, w := range workers {
					s.fabric.Delay(proxyIP, w.ip, slowLink)
				}
				// When a client sends a request.
				asked := time.Now()
				c.Assert(s.send(c, test.path, "prompt", test.lines...).status, qt.Equals, 200)
				// Then each worker receives the time left when the request was written to it.
				for _, w := range workers {
					for _, request := range w.received() {
						checkTimeLeft(c, request, asked, test.given, slowLink)
					}
				}
				c.Assert(len(workers[0].received())+len(workers[2].received()), qt.Equals, 1)
			})
		})
	}
}

func TestTimeLeftOfARetryIsMeasuredAtItsWrite(t *testing.T) {
	const slow = 300 * time.Millisecond
	// Given workers that refuse requests after a while.
	workers := []*worker{
		{name: "one", reply: delayed(slow, respond(notRun))},
		{name: "two", reply: delayed(slow, respond(notRun))},
	}
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client sends a request.
		asked := time.Now()
		s.send(c, harmlessPath, "prompt")
		// Then each of them receives the time left at its write.
		for _, w := range workers {
			c.Assert(len(w.received()) > 0, qt.IsTrue)
			for _, request := range w.received() {
				checkTimeLeft(c, request, asked, giveUp, linkDelay)
			}
		}
	})
}
