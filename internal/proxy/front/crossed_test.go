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

// ranTimes counts what workers ran, by the id of the request.
type ranTimes struct {
	mu    sync.Mutex
	times map[string]int
}

func (r *ranTimes) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[id]++
}

func (r *ranTimes) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[id]
}

// sealed is the answer of a worker that ran a request; its body names the request.
func sealed(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// refused is the answer of a worker that has not run a request.
func refused(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// withoutID takes the id out of an answer.
func withoutID(text string) string {
	before, rest, _ := strings.Cut(text, "X-Request-Id: ")
	_, after, _ := strings.Cut(rest, "\r\n")
	return before + after
}

// misbehave is a worker's way with a request that it has read; false ends the connection.
type misbehave func(connection *memnet.Conn, id string, done *ranTimes) bool

// write writes an answer, if the connection is still there.
func write(connection *memnet.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// late writes a surplus answer some time later. What comes at once needs no timer: in a bubble of synctest one that is due
// already is run by whoever sets it, with the race context of the bubble, and the detector crashes where two threads use it
// at once.
func late(connection *memnet.Conn, text string) {
	wait := time.Duration(rand.IntN(90)) * time.Millisecond
	if wait == 0 {
		go write(connection, text)
		return
	}
	time.AfterFunc(wait, func() { write(connection, text) })
}

var misbehaviours = []misbehave{
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // as it should
		done.ran(id)
		return write(connection, sealed(id))
	},
	func(connection *memnet.Conn, id string, _ *ranTimes) bool { // full
		return write(connection, refused(id))
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // a second answer, some time later
		done.ran(id)
		late(connection, sealed(id))
		return write(connection, sealed(id))
	},
	func(connection *memnet.Conn, id string, _ *ranTimes) bool { // full, and says so once more later
		late(connection, refused(id))
		return write(connection, refused(id))
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // the same without ids
		late(connection, withoutID(sealed(id)))
		done.ran(id)
		return write(connection, withoutID(sealed(id)))
	},
	func(connection *memnet.Conn, id string, _ *ranTimes) bool {
		late(connection, withoutID(refused(id)))
		return write(connection, withoutID(refused(id)))
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // another's answer first
		done.ran(id)
		return write(connection, sealed("another")) && write(connection, sealed(id))
	},
	func(_ *memnet.Conn, id string, done *ranTimes) bool { // closed without an answer, after the run
		done.ran(id)
		return false
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // reset within the answer
		done.ran(id)
		write(connection, sealed(id)[:20])
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, _ string, _ *ranTimes) bool { // reset before the run
		connection.Reset()
		return false
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // closed right after the answer, without a word before
		done.ran(id)
		write(connection, sealed(id))
		return false
	},
	func(connection *memnet.Conn, id string, done *ranTimes) bool { // slow
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		done.ran(id)
		return write(connection, sealed(id))
	},
}

// crossings has workers misbehave in all ways, and gives what clients or workers saw that must not be.
func crossings(t *testing.T, faults calls.Faults) (wrong []string) {
	done := &ranTimes{times: map[string]int{}}
	reply := func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		return misbehaviours[rand.IntN(len(misbehaviours))](connection, request.Header.Get("X-Request-Id"), done)
	}
	workers := []*worker{{name: "one", answer: reply}, {name: "two", answer: reply}}[:1+rand.IntN(2)]
	playBroken(t, faults, 10_000, workers, func(c *qt.C, s *scene) {
		type asked struct {
			id, path string
			answer   answer
		}
		all := make(chan asked, crossedRequests)
		for i := range crossedRequests {
			time.Sleep(time.Duration(rand.IntN(25)) * time.Millisecond)
			go func() {
				one := asked{id: fmt.Sprintf("r%d", i), path: []string{harmlessPath, riskyPath}[i%2]}
				one.answer = s.askAs(c, one.id, one.path, "body")
				all <- one
			}()
		}
		var answers []asked
		for range crossedRequests {
			answers = append(answers, <-all)
		}
		time.Sleep(giveUp) // whatever is still under way has run
		for _, one := range answers {
			ran := done.of(one.id)
			if one.answer.status == http.StatusOK && one.answer.whole && one.answer.body != one.id {
				wrong = append(wrong, fmt.Sprintf("%s got the answer of %q", one.id, one.answer.body))
			}
			if one.path == riskyPath && ran > 1 {
				wrong = append(wrong, fmt.Sprintf("%s ran %d times", one.id, ran))
			}
			if promised(one.answer.status) && one.path == riskyPath && ran > 0 {
				wrong = append(wrong, fmt.Sprintf("%s was answered %d and ran", one.id, one.answer.status))
			}
		}
	})
	return wrong
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
			qt.New(t).Assert(crossings(t, calls.Faults{}), qt.HasLen, 0)
		})
	}
}

func TestBrokenProxiesCrossAnswers(t *testing.T) {
	found := false
	for range 60 {
		found = found || len(crossings(t, calls.Faults{AnyAnswer: true})) > 0
	}
	qt.New(t).Assert(found, qt.IsTrue)
}
