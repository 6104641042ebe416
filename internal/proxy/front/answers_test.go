package front_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/fleettest/memnet"
)

// idleGap is a pause after which a connection is idle again.
const idleGap = 50 * time.Millisecond

// respondInPieces sends an answer in pieces and then closes the connection.
func respondInPieces(pieces ...string) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		for _, piece := range pieces {
			_, _ = io.WriteString(connection, piece)
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
}

// respondEarly answers before reading a request's body.
func respondEarly(text string, keepOpen bool) reply {
	return func(connection *memnet.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(connection, text)
		time.Sleep(idleGap)
		return keepOpen
	}
}

// connectionsOf returns the numbers of the connections on which requests reached a worker.
func connectionsOf(w *worker) []int {
	var all []int
	for _, request := range w.received() {
		all = append(all, request.connection)
	}
	return all
}

// sendTwice sends two requests, one after the other.
func sendTwice(c *qt.C, s *scene, path string, body string) [2]answer {
	first := s.send(c, path, body)
	time.Sleep(idleGap)
	return [2]answer{first, s.send(c, path, body)}
}

func TestAnswersWithoutLengthAreForwardedWhole(t *testing.T) {
	const (
		plainHead  = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\n\r\n"
		oldHead    = "HTTP/1.0 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\n\r\n"
		failedHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
	)
	for name, given := range map[string]struct {
		path   string
		answer reply
		status int
		body   string
	}{
		"to a request that must not be repeated": {riskyPath, respondInPieces(plainHead, "ser", "ved"), 200, "served"},
		"to a repeatable request":                {harmlessPath, respondInPieces(plainHead+"ser", "ved"), 200, "served"},
		"of HTTP/1.0":                            {riskyPath, respondInPieces(oldHead, "ser", "ved"), 200, "served"},
		"without a body":                         {riskyPath, respondInPieces(plainHead), 200, ""},
		"with a failure status":                  {riskyPath, respondInPieces(failedHead, "oo", "ps"), 500, "oops"},
		"with a stream of events":                {streamPath, respondInPieces(flowing+"\r\n", event, event, event), 200, event + event + event},
	} {
		t.Run(name, func(t *testing.T) {
			workers := []*worker{
				{name: "whole", reply: given.answer},
				{name: "reader", phase: "reading", reply: respond(readPrompt)},
				{name: "writer", phase: "writing", reply: given.answer},
			}
			runScene(t, workers, func(c *qt.C, s *scene) {
				// Given a worker that closes the connection to end its answers, when a client sends two requests.
				for _, got := range sendTwice(c, s, given.path, "prompt") {
					// Then it receives complete answers whose end is distinguishable from a broken connection.
					c.Assert(got.status, qt.Equals, given.status)
					c.Assert(got.body, qt.Equals, given.body)
					c.Assert(got.complete, qt.IsTrue)
					c.Assert(got.chunked || got.header.Get("Content-Length") != "", qt.IsTrue)
				}
				// And each used a connection of its own.
				for _, w := range []*worker{workers[0], workers[2]} {
					if len(w.received()) > 0 {
						c.Assert(connectionsOf(w), qt.DeepEquals, []int{1, 2})
					}
				}
			})
		})
	}
}

// respondThenReset starts an answer without a length and resets its connection.
func respondThenReset(head, text string) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, head+"\r\n"+text)
		time.Sleep(idleGap)
		return resetConn(connection, request)
	}
}

func TestBrokenAnswerWithoutLengthIsNotForwardedAsComplete(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\n"
	workers := []*worker{
		{name: "whole", reply: respondThenReset(plainHead, "ser")},
		{name: "reader", phase: "reading", reply: respond(readPrompt)},
		{name: "writer", phase: "writing", reply: respondThenReset(flowing, event)},
	}
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When the connection of an answer without a length is reset, then none of it is forwarded.
		got := s.send(c, riskyPath, "prompt")
		c.Assert(got.status, qt.Equals, http.StatusBadGateway)
		c.Assert(strings.Contains(got.body, "ser"), qt.IsFalse)
		// Of a stream, everything that was received is forwarded, without a regular end.
		got = s.send(c, streamPath, "prompt")
		c.Assert(got.status, qt.Equals, http.StatusOK)
		c.Assert(got.body, qt.Equals, event)
		c.Assert(got.complete, qt.IsFalse)
	})
}

func TestAnswerBeforeBodyIsReadIsForwardedWhole(t *testing.T) {
	named := strings.Replace(served, "\r\n", "\r\nX-Request-Id: 1\r\n", 1)
	const closing = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved"
	for name, given := range map[string]struct {
		answer      reply
		connections []int
	}{
		"and the worker closes the connection": {respondEarly(served, false), []int{1, 2}},
		"and the worker announces the close":   {respondEarly(closing, true), []int{1, 2}},
		"and the worker reads the body later":  {respondEarly(named, true), []int{1, 1}},
		"and the answer has no request id":     {respondEarly(served, true), []int{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			workers := plainWorkers(1, given.answer)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// Given a worker that answers before reading a request's body, when a client sends two requests.
				for _, got := range sendTwice(c, s, riskyPath, strings.Repeat("p", 100_000)) {
					// Then it receives the complete answers immediately.
					c.Assert(got.status, qt.Equals, 200)
					c.Assert(got.body, qt.Equals, "served")
					c.Assert(got.took < idleGap/2, qt.IsTrue, qt.Commentf("after %v", got.took))
				}
				// And a connection with an unread body is not reused.
				c.Assert(connectionsOf(workers[0]), qt.DeepEquals, given.connections)
			})
		})
	}
}
