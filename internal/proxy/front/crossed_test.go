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

// crossed is how many runs TestNoAnswerGoesToAnother draws, of crossedRequests requests each.
var crossed = flag.Int("crossed", 20, "how many runs TestNoAnswerGoesToAnother draws")

const crossedRequests = 120

// runCounts counts what workers ran, by the id of the request.
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

// answerOf is the answer of a worker that ran a request; its body names the request.
func answerOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// refusalOf is the answer of a worker that has not run a request.
func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// withoutID takes the id out of an answer.
func withoutID(text string) string {
	before, rest, _ := strings.Cut(text, "X-Request-Id: ")
	_, after, _ := strings.Cut(rest, "\r\n")
	return before + after
}

// behaviour is a worker's way with a request that it has read; false ends the connection.
type behaviour func(connection *memnet.Conn, id string, done *runCounts) bool

// write writes an answer, if the connection is still there.
func write(connection *memnet.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// writeLater writes a surplus answer some time later. What comes at once needs no timer: in a bubble of synctest one that is due
// already is run by whoever sets it, with the race context of the bubble, and the detector crashes where two threads use it
// at once.
func writeLater(connection *memnet.Conn, text string) {
	wait := time.Duration(rand.IntN(90)) * time.Millisecond
	if wait == 0 {
		go write(connection, text)
		return
	}
	time.AfterFunc(wait, func() { write(connection, text) })
}

var behaviours = []behaviour{
	func(connection *memnet.Conn, id string, done *runCounts) bool { // as it should
		done.record(id)
		return write(connection, answerOf(id))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool { // full
		return write(connection, refusalOf(id))
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // a second answer, some time later
		done.record(id)
		writeLater(connection, answerOf(id))
		return write(connection, answerOf(id))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool { // full, and says so once more later
		writeLater(connection, refusalOf(id))
		return write(connection, refusalOf(id))
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // the same without ids
		writeLater(connection, withoutID(answerOf(id)))
		done.record(id)
		return write(connection, withoutID(answerOf(id)))
	},
	func(connection *memnet.Conn, id string, _ *runCounts) bool {
		writeLater(connection, withoutID(refusalOf(id)))
		return write(connection, withoutID(refusalOf(id)))
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // another's answer first
		done.record(id)
		return write(connection, answerOf("another")) && write(connection, answerOf(id))
	},
	func(_ *memnet.Conn, id string, done *runCounts) bool { // closed without an answer, after the run
		done.record(id)
		return false
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // reset within the answer
		done.record(id)
		write(connection, answerOf(id)[:20])
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, _ string, _ *runCounts) bool { // reset before the run
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // closed right after the answer, without a word before
		done.record(id)
		write(connection, answerOf(id))
		return false
	},
	func(connection *memnet.Conn, id string, done *runCounts) bool { // slow
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		done.record(id)
		return write(connection, answerOf(id))
	},
}

// findViolations has workers misbehave in all ways, and gives what clients or workers saw that must not be.
func findViolations(t *testing.T, faults calls.Faults) (violations []string) {
	counts := &runCounts{times: map[string]int{}}
	reply := func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		return behaviours[rand.IntN(len(behaviours))](connection, request.Header.Get("X-Request-Id"), counts)
	}
	workers := []*worker{{name: "one", answer: reply}, {name: "two", answer: reply}}[:1+rand.IntN(2)]
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
		time.Sleep(giveUp) // whatever is still under way has run
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

// promised tells whether a status promises that a request has not run.
func promised(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// Whatever workers say, late, twice, for another or without an id, and however their connections end: no answer goes to
// another request, nothing that may not be repeated runs twice, and what is refused has not run.
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
