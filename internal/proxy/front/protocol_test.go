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

// forged is the value of every header that a client may not set.
const forged = "forged"

// forgedLines are a client's lines of the headers that are the system's to set, in several spellings.
var forgedLines = []string{
	"X-Stage: " + forged, "x-stage: " + forged, "X-STAGE: " + forged,
	"Kv-From: " + forged, "kv-from: " + forged,
	"Priority: " + forged, "priority: " + forged + ", u=0",
	"X-Meant-Server: " + forged, "x-Meant-server: " + forged,
	"Expect-Version: " + forged, "expect-version: " + forged,
	"X-Time-Left: " + forged,
}

// healthyWorkers are workers that answer well.
func healthyWorkers() []*worker {
	return []*worker{
		{name: "whole", answer: respond(served)},
		{name: "reader", phase: "reading", answer: respond(readPrompt)},
		{name: "writer", phase: "writing", answer: respond(flowing + "Content-Length: 19\r\n\r\n" + event)},
	}
}

// checkHeaders checks that a request has the system's headers alone.
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
		// When a client that sets the system's headers asks for a plain answer and for a stream.
		c.Assert(s.send(c, riskyPath, "prompt", forgedLines...).status, qt.Equals, 200)
		c.Assert(s.send(c, streamPath, "prompt", forgedLines...).status, qt.Equals, 200)
		// Then each worker has heard the system alone.
		whole, reader, writer := workers[0], workers[1], workers[2]
		c.Assert(whole.received(), qt.HasLen, 1)
		checkHeaders(c, whole.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "whole"})
		c.Assert(reader.received(), qt.HasLen, 1)
		checkHeaders(c, reader.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "reader", "X-Stage": "reading"})
		c.Assert(writer.received(), qt.HasLen, 1)
		checkHeaders(c, writer.received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "writer", "Kv-From": reader.address() + "/ticket"})
	})
}

func TestClientsCannotSetInternalHeadersAsTrailers(t *testing.T) {
	workers := healthyWorkers()
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client sends a body in chunks, with the system's headers behind it.
		connection, err := s.client.Dial(c.Context(), frontAddress, network.Terms{Limit: time.Second})
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST "+riskyPath+" HTTP/1.1\r\nHost: h.example\r\nTrailer: Kv-From, X-Stage\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n6\r\nprompt\r\n0\r\nKv-From: "+forged+"\r\nX-Stage: "+forged+"\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(readAnswer(connection, time.Now()).status, qt.Equals, 200)
		// Then the worker has heard the system alone.
		c.Assert(workers[0].received(), qt.HasLen, 1)
		checkHeaders(c, workers[0].received()[0], map[string]string{"Priority": "2", "X-Meant-Server": "whole"})
	})
}

// checkTimeLeft checks that a worker was told what was left as the request was written, of what a client gave that asked at a time.
func checkTimeLeft(c *qt.C, request received, asked time.Time, given, way time.Duration) {
	written := request.at.Add(-way)
	taken := asked.Add(linkDelay * 3) // with the handshake before it
	left := given - written.Sub(taken)
	told, err := strconv.Atoi(strings.TrimSpace(request.Header.Get("X-Time-Left")))
	c.Assert(err, qt.IsNil)
	c.Assert(time.Duration(told)*time.Millisecond, qt.Equals, left)
}

func TestTimeLeftIsMeasuredAtTheWrite(t *testing.T) {
	const (
		slowLink = 50 * time.Millisecond // between the proxy and its workers
		slowRead = 200 * time.Millisecond
	)
	for name, one := range map[string]struct {
		path  string
		lines []string
		given time.Duration
	}{
		"the client's":                  {riskyPath, []string{"X-Time-Left: 1500"}, 1500 * time.Millisecond},
		"the client's, for a stream":    {streamPath, []string{"X-Time-Left: 1500"}, 1500 * time.Millisecond},
		"the route's":                   {riskyPath, nil, giveUp},
		"the route's, as it is shorter": {streamPath, []string{"X-Time-Left: 60000"}, giveUp},
	} {
		t.Run(name, func(t *testing.T) {
			// Given workers that are far away, so that connecting takes time, and a reader that takes its time.
			workers := healthyWorkers()
			workers[1].answer = respondAfter(slowRead, workers[1].answer)
			runScene(t, workers, func(c *qt.C, s *scene) {
				for _, w := range workers {
					s.fabric.Delay(proxyIP, w.ip, slowLink)
				}
				// When a client asks.
				asked := time.Now()
				c.Assert(s.send(c, one.path, "prompt", one.lines...).status, qt.Equals, 200)
				// Then each worker is told what was left when the request was written to it.
				for _, w := range workers {
					for _, request := range w.received() {
						checkTimeLeft(c, request, asked, one.given, slowLink)
					}
				}
				c.Assert(len(workers[0].received())+len(workers[2].received()), qt.Equals, 1)
			})
		})
	}
}

func TestTimeLeftOfARetryIsMeasuredAtItsWrite(t *testing.T) {
	const slow = 300 * time.Millisecond
	// Given workers that turn away what they get, after a while.
	workers := []*worker{
		{name: "one", answer: respondAfter(slow, respond(notRun))},
		{name: "two", answer: respondAfter(slow, respond(notRun))},
	}
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client asks.
		asked := time.Now()
		s.send(c, harmlessPath, "prompt")
		// Then each of them is told what is left by then.
		for _, w := range workers {
			c.Assert(len(w.received()) > 0, qt.IsTrue)
			for _, request := range w.received() {
				checkTimeLeft(c, request, asked, giveUp, linkDelay)
			}
		}
	})
}
