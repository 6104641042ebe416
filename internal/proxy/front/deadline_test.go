package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/fleettest/memnet"
)

const (
	// streamEnd is how long a started stream may continue after its route's timeout.
	streamEnd = 150*time.Millisecond + 2*linkDelay
	// largeBody exceeds the connections' buffers.
	largeBody = 1 << 20
)

// respondPartly sends the beginning of an answer and then stalls.
func respondPartly(text string) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, text)
		return neverRespond(connection, request)
	}
}

// neverRead never reads a request's body.
func neverRead(*memnet.Conn, *http.Request) bool {
	time.Sleep(settleTime / 2)
	return false
}

// streamForever writes events until the connection fails.
func streamForever(connection *memnet.Conn, request *http.Request) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	_, err := io.WriteString(connection, flowing+"Transfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// resetConn reads the request and resets the connection.
func resetConn(connection *memnet.Conn, request *http.Request) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	connection.Reset()
	return false
}

// plainWorkers returns workers without phases that share a reply.
func plainWorkers(count int, answer reply) []*worker {
	var workers []*worker
	for i := range count {
		workers = append(workers, &worker{name: fmt.Sprintf("whole-%d", i), reply: answer})
	}
	return workers
}

// staged returns readers and writers.
func staged(reader, writer reply) []*worker {
	return []*worker{
		{name: "reader-0", phase: "reading", reply: reader},
		{name: "reader-1", phase: "reading", reply: reader},
		{name: "writer-0", phase: "writing", reply: writer},
		{name: "writer-1", phase: "writing", reply: writer},
	}
}

// failureCase is a way in which workers don't answer in time.
type failureCase struct {
	workers     []*worker
	paths       []string
	unreachable bool // the workers' network drops all packets
	body        int
}

func failureCases() map[string]failureCase {
	plain, stream := []string{harmlessPath, riskyPath}, []string{streamPath}
	return map[string]failureCase{
		"no workers":                     {paths: []string{harmlessPath, riskyPath, streamPath}},
		"workers never answer":           {workers: plainWorkers(2, neverRespond), paths: plain},
		"workers are unreachable":        {workers: plainWorkers(2, respond(served)), paths: plain, unreachable: true},
		"workers do not read":            {workers: plainWorkers(2, neverRead), paths: plain, body: largeBody},
		"answers stall in their head":    {workers: plainWorkers(2, respondPartly("HTTP/1.1 200 OK\r\nX-Server")), paths: plain},
		"answers stall in their body":    {workers: plainWorkers(2, respondPartly(strings.TrimSuffix(served, "rved"))), paths: plain},
		"failures stall in their body":   {workers: plainWorkers(2, respondPartly("HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\noop")), paths: plain},
		"workers reset connections":      {workers: plainWorkers(2, resetConn), paths: plain},
		"workers refuse late":            {workers: plainWorkers(2, delayed(700*time.Millisecond, respond(notRun))), paths: plain},
		"workers refuse":                 {workers: plainWorkers(2, respond(notRun)), paths: plain},
		"staged workers are unreachable": {workers: staged(respond(readPrompt), respond(served)), paths: stream, unreachable: true},
		"readers never answer":           {workers: staged(neverRespond, neverRespond), paths: stream},
		"readers refuse":                 {workers: staged(respond(notRun), neverRespond), paths: stream},
		"readers reset connections":      {workers: staged(resetConn, neverRespond), paths: stream},
		"writers never answer":           {workers: staged(respond(readPrompt), neverRespond), paths: stream},
		"writers refuse":                 {workers: staged(respond(readPrompt), respond(notRun)), paths: stream},
		"writers refuse late":            {workers: staged(respond(readPrompt), delayed(700*time.Millisecond, respond(notRun))), paths: stream},
		"writers stall before an event":  {workers: staged(respond(readPrompt), respondPartly(flowing+"\r\n")), paths: stream},
		"writers stall within an event":  {workers: staged(respond(readPrompt), respondPartly(flowing+"\r\nid: 1\n")), paths: stream},
		"writers reset connections":      {workers: staged(respond(readPrompt), resetConn), paths: stream},
	}
}

func TestFinalAnswerArrivesWithinGiveUp(t *testing.T) {
	timeouts := map[string]struct {
		lines []string
		limit time.Duration
	}{
		"":                                {nil, giveUp},
		", with a longer client timeout":  {[]string{"X-Time-Left: 60000"}, giveUp},
		", with a shorter client timeout": {[]string{"X-Time-Left: 800"}, 800 * time.Millisecond},
	}
	for name := range failureCases() {
		for whose, timeout := range timeouts {
			for _, path := range failureCases()[name].paths {
				t.Run(name+" at "+path+whose, func(t *testing.T) {
					given := failureCases()[name]
					runScene(t, given.workers, func(c *qt.C, s *scene) {
						// Given workers that don't answer.
						for _, w := range given.workers {
							if given.unreachable {
								s.fabric.Cut(proxyIP, w.ip)
							}
						}
						// When a client sends a request, then it receives a complete answer before the route's timeout
						// or its own.
						got := s.send(c, path, strings.Repeat("p", given.body), timeout.lines...)
						c.Assert(got.status >= 400, qt.IsTrue, qt.Commentf("status %d", got.status))
						c.Assert(got.complete, qt.IsTrue)
						c.Assert(got.took <= timeout.limit, qt.IsTrue, qt.Commentf("after %v", got.took))
					})
				})
			}
		}
	}
}

func TestStreamEndsSoonAfterItsRouteGivesUp(t *testing.T) {
	// Given a writer whose stream never ends.
	runScene(t, staged(respond(readPrompt), streamForever), func(c *qt.C, s *scene) {
		// When a client requests it, then the stream is aborted soon after the route's timeout.
		got := s.send(c, streamPath, "prompt")
		c.Assert(got.status, qt.Equals, http.StatusOK)
		c.Assert(got.complete, qt.IsFalse)
		c.Assert(got.took >= giveUp && got.took <= giveUp+streamEnd, qt.IsTrue, qt.Commentf("after %v", got.took))
	})
}

func TestFailedRequestIsAnsweredImmediately(t *testing.T) {
	const (
		slow    = 200 * time.Millisecond
		failed  = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"
		atFault = "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 3\r\n\r\nbad"
	)
	for name, given := range map[string]struct {
		path    string
		workers []*worker
		status  int
	}{
		"unrepeatable, may have run":       {riskyPath, plainWorkers(2, delayed(slow, resetConn)), http.StatusBadGateway},
		"unrepeatable, failed":             {riskyPath, plainWorkers(2, delayed(slow, respond(failed))), http.StatusInternalServerError},
		"repeatable, failed everywhere":    {harmlessPath, plainWorkers(2, delayed(slow, resetConn)), http.StatusBadGateway},
		"an invalid request":               {harmlessPath, plainWorkers(2, delayed(slow, respond(atFault))), http.StatusUnprocessableEntity},
		"unrepeatable, all workers refuse": {riskyPath, plainWorkers(2, respond(notRun)), http.StatusServiceUnavailable},
		"repeatable, all workers refuse":   {harmlessPath, plainWorkers(2, respond(notRun)), http.StatusServiceUnavailable},
		"prompt, all readers refuse":       {streamPath, staged(respond(notRun), neverRespond), http.StatusServiceUnavailable},
		"stream, writer resets":            {streamPath, staged(respond(readPrompt), delayed(slow, resetConn)), http.StatusBadGateway},
		"stream, writer fails":             {streamPath, staged(respond(readPrompt), delayed(slow, respond(failed))), http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			runScene(t, given.workers, func(c *qt.C, s *scene) {
				// When the last eligible worker fails or refuses the request.
				got := s.send(c, given.path, "prompt")
				answered := time.Now()
				c.Assert(got.status, qt.Equals, given.status)
				// Then the client's answer is sent as soon as the worker's arrives, long before the timeout.
				var last time.Time
				for _, w := range given.workers {
					if at := w.lastAnswer(); at.After(last) {
						last = at
					}
				}
				c.Assert(answered.Sub(last), qt.Equals, 2*linkDelay)
				c.Assert(got.took < giveUp/2, qt.IsTrue, qt.Commentf("after %v", got.took))
			})
		})
	}
}
