package front_test

import (
	"maps"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failure is a worker's answer with an error or redirect status.
type failure struct {
	raw    string
	status int
	header http.Header // besides Date, which every answer has
	body   string
}

var failures = map[string]failure{
	"one of the worker's own": {
		raw: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nX-Reason: broken\r\nSet-Cookie: a=1\r\n" +
			"Set-Cookie: b=2\r\nContent-Length: 16\r\n\r\n{\"error\":\"oops\"}",
		status: 500,
		header: http.Header{"Content-Type": {"application/json"}, "X-Reason": {"broken"}, "Set-Cookie": {"a=1", "b=2"}, "Content-Length": {"16"}},
		body:   `{"error":"oops"}`,
	},
	"one of the client's": {
		raw:    "HTTP/1.1 422 Unprocessable Entity\r\nContent-Type: text/x\r\nContent-Length: 3\r\n\r\nbad",
		status: 422,
		header: http.Header{"Content-Type": {"text/x"}, "Content-Length": {"3"}},
		body:   "bad",
	},
	"a redirection": {
		raw:    "HTTP/1.1 302 Found\r\nContent-Type: text/x\r\nLocation: http://other.example/y\r\nContent-Length: 0\r\n\r\n",
		status: 302,
		header: http.Header{"Content-Type": {"text/x"}, "Location": {"http://other.example/y"}, "Content-Length": {"0"}},
	},
	"without a type": {
		raw:    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
		status: 500,
		header: http.Header{"Content-Length": {"4"}},
		body:   "oops",
	},
	"in chunks": {
		raw:    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
		status: 500,
		header: http.Header{"Content-Type": {"text/x"}, "Content-Length": {"4"}},
		body:   "oops",
	},
	"a bad gateway behind the worker": {
		raw:    "HTTP/1.1 504 Gateway Timeout\r\nContent-Type: text/x\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\nslow!",
		status: 504,
		header: http.Header{"Content-Type": {"text/x"}, "X-Request-Id": {"1"}, "Content-Length": {"5"}},
		body:   "slow!",
	},
}

func TestWorkerFailuresAreForwardedUnchanged(t *testing.T) {
	for name, given := range failures {
		for _, path := range []string{harmlessPath, riskyPath, streamPath} {
			t.Run(name+" at "+path, func(t *testing.T) {
				// Given workers that answer requests with a failure.
				workers := []*worker{
					{name: "whole", reply: respond(given.raw)},
					{name: "reader", phase: "reading", reply: respond(readPrompt)},
					{name: "writer", phase: "writing", reply: respond(given.raw)},
				}
				runScene(t, workers, func(c *qt.C, s *scene) {
					// When a client sends a request, then it receives the same failure.
					got := s.send(c, path, "prompt")
					c.Assert(got.status, qt.Equals, given.status)
					c.Assert(got.body, qt.Equals, given.body)
					c.Assert(got.complete, qt.IsTrue)
					header := maps.Clone(got.header)
					header.Del("Date")
					c.Assert(header, qt.DeepEquals, given.header)
				})
			})
		}
	}
}

func TestInvalidPromptIsNotRetried(t *testing.T) {
	// Given readers that reject a prompt as invalid.
	given := failures["one of the client's"]
	workers := staged(respond(given.raw), respond(served))
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client sends it, then it receives that failure, since a retry would not help.
		got := s.send(c, streamPath, "prompt")
		c.Assert(got.status, qt.Equals, given.status)
		c.Assert(got.body, qt.Equals, given.body)
		// And only one reader was called, once.
		c.Assert(len(workers[0].received())+len(workers[1].received()), qt.Equals, 1)
	})
}

func TestFailingPrefillIsRetriedWithinLimit(t *testing.T) {
	for name, answer := range map[string]reply{
		"readers fail":              respond(failures["one of the worker's own"].raw),
		"readers reset connections": resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			// Given readers that accept a prompt and fail.
			workers := staged(answer, respond(served))
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client sends a request, then the prefill is tried a limited number of times, and the rest of
				// the service's retry budget is left to other requests.
				got := s.send(c, streamPath, "prompt")
				c.Assert(got.status >= 500, qt.IsTrue, qt.Commentf("status %d", got.status))
				reads := len(workers[0].received()) + len(workers[1].received())
				c.Assert(reads <= tries, qt.IsTrue, qt.Commentf("read %d times", reads))
			})
		})
	}
}

func TestNotRunStatusIsNotForwardedIfRequestMayHaveRun(t *testing.T) {
	for status, line := range map[int]string{408: "408 Request Timeout", 429: "429 Too Many Requests", 503: "503 Service Unavailable"} {
		t.Run(line, func(t *testing.T) {
			// Given a worker that answers with such a status without stating that it has not run the request.
			raw := "HTTP/1.1 " + line + "\r\nContent-Type: text/x\r\nContent-Length: 4\r\n\r\nbusy"
			workers := []*worker{{name: "whole", reply: respond(raw)}}
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When the request must not be repeated, then the client's answer does not promise that it has not run.
				got := s.send(c, riskyPath, "prompt")
				c.Assert(got.status, qt.Equals, http.StatusBadGateway)
				c.Assert(len(workers[0].received()), qt.Equals, 1)
				// When the request is repeatable, then the client receives the worker's answer.
				got = s.send(c, harmlessPath, "prompt")
				c.Assert(got.status, qt.Equals, status)
				c.Assert(got.body, qt.Equals, "busy")
			})
		})
	}
}
