package front_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/proxy/calls"
)

// crossed is how many runs TestNoAnswerGoesToAnother draws, with crossedRequests requests each.
var crossed = flag.Int("crossed", 20, "how many runs TestNoAnswerGoesToAnother draws")

const crossedRequests = 120

// runCounts counts the workers' runs by request id.
type runCounts struct {
	mu    sync.Mutex
	times map[string]int
}

func (r *runCounts) record(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[id]++
}

func (r *runCounts) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[id]
}

// answerOf returns the answer of a worker that ran a request. Its body is the request's id.
func answerOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// refusalOf returns the answer of a worker that has not run a request.
func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// withoutID removes the request id from an answer.
func withoutID(text string) string {
	before, rest, _ := strings.Cut(text, "X-Request-Id: ")
	_, after, _ := strings.Cut(rest, "\r\n")
	return before + after
}

// behaviour is how a worker handles a request that it has read. It returns false to close the connection.
type behaviour func(connection *memnet.Conn, id string, counts *runCounts) bool

// write writes an answer and reports whether the connection accepted it.
func write(connection *memnet.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// writeLater writes a surplus answer after a random delay. Without a delay it uses no timer: in a synctest bubble, a
// timer that is already due runs on the goroutine that sets it, with the bubble's race context, and the race detector
// crashes if two threads use that context concurrently.
func writeLater(connection *memnet.Conn, text string) {
	wait := time.Duration(rand.IntN(90)) * time.Millisecond
	if wait == 0 {
		go write(connection, text)
		return
	}
	time.AfterFunc(wait, func() { write(connection, text) })
}

var behaviours = []behaviour{
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // regular
		counts.record(id)
		return write(connection, answerOf(id))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool { // refused
		return write(connection, refusalOf(id))
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // a second answer later
		counts.record(id)
		writeLater(connection, answerOf(id))
		return write(connection, answerOf(id))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool { // refused, with a second refusal later
		writeLater(connection, refusalOf(id))
		return write(connection, refusalOf(id))
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // the same without ids
		writeLater(connection, withoutID(answerOf(id)))
		counts.record(id)
		return write(connection, withoutID(answerOf(id)))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool {
		writeLater(connection, withoutID(refusalOf(id)))
		return write(connection, withoutID(refusalOf(id)))
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // an answer to another request first
		counts.record(id)
		return write(connection, answerOf("another")) && write(connection, answerOf(id))
	},
	func(_ *memnet.Conn, id string, counts *runCounts) bool { // closed without an answer, after the run
		counts.record(id)
		return false
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // reset within the answer
		counts.record(id)
		write(connection, answerOf(id)[:20])
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, _ string, _ *runCounts) bool { // reset before the run
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // closed right after the answer, unannounced
		counts.record(id)
		write(connection, answerOf(id))
		return false
	},
	func(connection *memnet.Conn, id string, counts *runCounts) bool { // slow
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		counts.record(id)
		return write(connection, answerOf(id))
	},
}

// findViolations runs workers with random behaviours and returns the violations that clients or workers observed.
func findViolations(t *testing.T, faults calls.Faults) (violations []string) {
	counts := &runCounts{times: map[string]int{}}
	reply := func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		return behaviours[rand.IntN(len(behaviours))](connection, request.Header.Get("X-Request-Id"), counts)
	}
	workers := []*worker{{name: "one", reply: reply}, {name: "two", reply: reply}}[:1+rand.IntN(2)]
	runSceneWithFaults(t, faults, 10_000, workers, func(c *qt.C, s *scene) {
		type sentRequest struct {
			id, path string
			answer   answer
		}
		all := make(chan sentRequest, crossedRequests)
		for i := range crossedRequests {
			time.Sleep(time.Duration(rand.IntN(25)) * time.Millisecond)
			go func() {
				one := sentRequest{id: fmt.Sprintf("r%d", i), path: []string{harmlessPath, riskyPath}[i%2]}
				one.answer = s.sendAs(c, one.id, one.path, "body")
				all <- one
			}()
		}
		var answers []sentRequest
		for range crossedRequests {
			answers = append(answers, <-all)
		}
		time.Sleep(giveUp) // lets the remaining runs end
		for _, sent := range answers {
			ran := counts.count(sent.id)
			if sent.answer.status == http.StatusOK && sent.answer.complete && sent.answer.body != sent.id {
				violations = append(violations, fmt.Sprintf("%s got the answer of %q", sent.id, sent.answer.body))
			}
			if sent.path == riskyPath && ran > 1 {
				violations = append(violations, fmt.Sprintf("%s ran %d times", sent.id, ran))
			}
			if promised(sent.answer.status) && sent.path == riskyPath && ran > 0 {
				violations = append(violations, fmt.Sprintf("%s was answered %d and ran", sent.id, sent.answer.status))
			}
		}
	})
	return violations
}

// promised reports whether a status promises that a request has not run.
func promised(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// Workers answer late, twice, for another request or without an id, and end connections in any way. Still no answer may
// go to another request, no unrepeatable request may run twice, and no refused request may have run.
func TestNoAnswerGoesToAnother(t *testing.T) {
	for i := range *crossed {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(findViolations(t, calls.Faults{}), qt.HasLen, 0)
		})
	}
}

func TestInjectedFaultCrossesAnswers(t *testing.T) {
	found := false
	for range 60 {
		found = found || len(findViolations(t, calls.Faults{AnyAnswer: true})) > 0
	}
	qt.New(t).Assert(found, qt.IsTrue)
}
