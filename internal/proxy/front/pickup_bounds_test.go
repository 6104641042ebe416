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
	"sumacloft/internal/mesh/network"
)

func TestStreamIsResumedAtMostTwice(t *testing.T) {
	onceMore := respondStream("second", byReset, eventsOf(3, 3), eventsOf(4, 4)+"id: 5")
	for name, given := range map[string]struct {
		path     string
		answers  []reply
		body     string
		complete bool
		runs     int
	}{
		"twice": {resumablePath, []reply{breakAt(2, byReset, ""), onceMore, resumeStream}, eventsOf(1, lastID), true, 3},
		"each time": {resumablePath, []reply{breakAt(2, byReset, ""), onceMore,
			breakAt(lastID, byReset, "")}, eventsOf(1, lastID), false, 3},
		"twice, where two workers may run it": {twoWorkersPath, []reply{breakAt(2, byReset, ""), onceMore, resumeStream}, eventsOf(1, 4), false, 2},
		"once, where two may run it":          {twoWorkersPath, []reply{breakAt(2, byReset, ""), resumeStream}, eventsOf(1, lastID), true, 2},
		"once, where one may run it":          {oneWorkerPath, []reply{breakAt(2, byReset, ""), resumeStream}, eventsOf(1, 2), false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			// Given workers that break a stream off, one after the other.
			workers := stagedWriters(5, given.answers...)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client requests it.
				got := s.send(c, given.path, "prompt")
				// Then the answer continues while the route's tries and maxResumptions allow another worker.
				c.Assert(got.body, qt.Equals, given.body)
				c.Assert(got.complete, qt.Equals, given.complete)
				names, _ := runsOf(workers)
				c.Assert(names, qt.HasLen, given.runs)
				// And no worker is used again after it failed.
				for _, w := range workers[2:] {
					c.Assert(len(w.received()) <= 1, qt.IsTrue, qt.Commentf("%v", names))
				}
				// And no prompt is read for a run that is not allowed.
				c.Assert(len(workers[0].received())+len(workers[1].received()), qt.Equals, given.runs)
			})
		})
	}
}

func TestResumptionUsesTheRetryBudget(t *testing.T) {
	for extra, given := range map[int]struct {
		reads, runs int
		complete    bool
	}{
		0: {1, 1, false},
		2: {2, 1, false}, // a proxy uses 0.8 of it: the prompt is read once more, but there is no second run
		3: {2, 2, true},
	} {
		t.Run(fmt.Sprint(extra), func(t *testing.T) {
			// Given a bound on repeated arrivals, and a stream that breaks.
			workers := stagedWriters(2, breakAt(2, byReset, ""), resumeStream)
			runSceneWithExtra(t, extra, workers, func(c *qt.C, s *scene) {
				// When a client requests it, then it is resumed only if the bound permits both the prefill and the run.
				got := s.send(c, resumablePath, "prompt")
				c.Assert(got.complete, qt.Equals, given.complete)
				c.Assert(strings.HasPrefix(got.body, eventsOf(1, 2)), qt.IsTrue)
				names, _ := runsOf(workers)
				c.Assert(names, qt.HasLen, given.runs)
				reads := 0
				for _, w := range workers[:2] {
					for _, request := range w.received() {
						if request.Method != http.MethodDelete {
							reads++
						}
					}
				}
				c.Assert(reads, qt.Equals, given.reads)
			})
		})
	}
}

func TestStreamIsNotResumedAtAFailedWorker(t *testing.T) {
	for writers, body := range map[int]string{1: eventsOf(1, 2), 2: eventsOf(1, 3)} {
		t.Run(fmt.Sprint(writers), func(t *testing.T) {
			// Given a stream that breaks at all writers.
			answers := []reply{breakAt(2, byReset, ""), respondStream("second", byReset, eventsOf(3, 3)), resumeStream}
			workers := stagedWriters(writers, append(answers[:writers:writers], resumeStream)...)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client requests it, then the answer soon ends as broken, and no worker is called again.
				got := s.send(c, resumablePath, "prompt")
				c.Assert(got.body, qt.Equals, body)
				c.Assert(got.complete, qt.IsFalse)
				c.Assert(got.took < giveUp/2, qt.IsTrue, qt.Commentf("after %v", got.took))
				names, _ := runsOf(workers)
				c.Assert(names, qt.HasLen, writers)
			})
		})
	}
}

func TestStreamWithoutResumptionIsForwardedUnchanged(t *testing.T) {
	// Given a stream that breaks within an event, on a route without resumption.
	workers := stagedWriters(2, breakAt(2, byReset, "id: 3\nda"), resumeStream)
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client requests it, then it receives everything that was sent, and no other worker is called.
		got := s.send(c, streamPath, "prompt")
		c.Assert(got.body, qt.Equals, eventsOf(1, 2)+"id: 3\nda")
		c.Assert(got.complete, qt.IsFalse)
		names, _ := runsOf(workers)
		c.Assert(names, qt.HasLen, 1)
	})
}

func TestUnorderedStreamIsNotResumed(t *testing.T) {
	const bare = "data: token\n\n"
	large := largeEvent()
	for name, text := range map[string]string{
		"no ids":                     bare + bare,
		"an event without an id":     eventsOf(1, 1) + bare,
		"a gap":                      eventsOf(1, 1) + eventsOf(3, 3),
		"a repeated id":              eventsOf(1, 1) + eventsOf(1, 1),
		"ids that are not numbers":   "id: one\ndata: token\n\n",
		"an event that is too large": eventsOf(1, 1) + large + "id: 3\nda",
	} {
		t.Run(name, func(t *testing.T) {
			// Given a stream with such events that breaks.
			half := len(text) / 2
			workers := stagedWriters(2, respondStream("first", byReset, text[:half], text[half:]), resumeStream)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client requests it, then it receives all of them, and no other worker is called.
				got := s.send(c, resumablePath, "prompt")
				c.Assert(got.body == text, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got.body), len(text)))
				c.Assert(got.complete, qt.IsFalse)
				names, _ := runsOf(workers)
				c.Assert(names, qt.HasLen, 1)
			})
		})
	}
}

func TestStreamOfKnownLengthIsNotResumed(t *testing.T) {
	// Given a stream with a Content-Length that breaks within an event.
	text := eventsOf(1, 2) + "id: 3\nda"
	workers := stagedWriters(2, respondInPieces(flowing+"Content-Length: 100\r\n\r\n"+text), resumeStream)
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client requests it, then no other worker is called, as its answer may have another length. The
		// client's answer ends as broken.
		c.Assert(s.send(c, resumablePath, "prompt").complete, qt.IsFalse)
		names, _ := runsOf(workers)
		c.Assert(names, qt.HasLen, 1)
	})
}

// largeEvent exceeds the size up to which the proxy buffers an incomplete event.
func largeEvent() string { return "id: 2\ndata: " + strings.Repeat("x", 3<<20/2) + "\n\n" }

func TestCompleteStreamIsForwardedUnchanged(t *testing.T) {
	large := largeEvent()
	for name, text := range map[string]string{
		"events":                          eventsOf(1, lastID),
		"with CRLF line ends":             strings.ReplaceAll(eventsOf(1, lastID), "\n", "\r\n"),
		"without the last empty line":     strings.TrimSuffix(eventsOf(1, lastID), "\n"),
		"with an event that is too large": eventsOf(1, 1) + large + eventsOf(3, lastID),
	} {
		t.Run(name, func(t *testing.T) {
			// Given a worker that sends a complete answer, when a client requests it, then it receives the answer
			// unchanged.
			half := len(text) / 2
			workers := stagedWriters(1, respondStream("first", endProperly, text[:5], text[5:half], text[half:]))
			runScene(t, workers, func(c *qt.C, s *scene) {
				got := s.send(c, resumablePath, "prompt")
				c.Assert(got.body == text, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got.body), len(text)))
				c.Assert(got.complete, qt.IsTrue)
			})
		})
	}
}

func TestNothingIsResumedAfterTheDeadline(t *testing.T) {
	const wait = 400 * time.Millisecond
	breakLate := func(connection *memnet.Conn) {
		time.Sleep(wait)
		connection.Reset()
	}
	for name, lines := range map[string][]string{"the client's": {"X-Time-Left: 300"}, "no early deadline": nil} {
		t.Run(name, func(t *testing.T) {
			// Given a stream that breaks after a while.
			workers := stagedWriters(2, breakAt(2, breakLate, ""), resumeStream)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client requests it, then it is resumed only before the deadline.
				got := s.send(c, resumablePath, "prompt", lines...)
				c.Assert(got.complete, qt.Equals, lines == nil)
				_, all := runsOf(workers)
				if lines != nil {
					c.Assert(all, qt.HasLen, 1)
					return
				}
				// And the other worker receives the time that is left.
				c.Assert(all, qt.HasLen, 2)
				var left [2]int
				for i := range all {
					_, err := fmt.Sscan(all[i].Header.Get("X-Time-Left"), &left[i])
					c.Assert(err, qt.IsNil)
				}
				difference := max(left[0], left[1]) - min(left[0], left[1])
				c.Assert(difference >= int(wait.Milliseconds()), qt.IsTrue, qt.Commentf("%v", left))
			})
		})
	}
}

func TestNothingIsResumedForADisconnectedClient(t *testing.T) {
	const slow = 200 * time.Millisecond
	for name, given := range map[string]struct {
		leaves time.Duration // after it sent the request
		reads  int
	}{
		"before the stream breaks":       {slow + slow/2, 1},
		"while the prompt is read again": {3*slow - slow/2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			// Given a reader that takes its time, and a stream that breaks after a while.
			breakLate := func(connection *memnet.Conn) {
				time.Sleep(slow - 2*eventInterval)
				connection.Reset()
			}
			workers := stagedWritersAfter(delayed(slow, respond(readPrompt)), 2, breakAt(2, breakLate, ""), resumeStream)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When its client disconnects.
				connection, err := s.client.Dial(c.Context(), frontAddress, network.DialOptions{Timeout: time.Second})
				c.Assert(err, qt.IsNil)
				_, err = io.WriteString(connection, "POST "+resumablePath+" HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\nX-Token-Count: 2000,20\r\nContent-Length: 0\r\n\r\n")
				c.Assert(err, qt.IsNil)
				time.Sleep(given.leaves)
				c.Assert(connection.Close(), qt.IsNil)
				time.Sleep(giveUp)
				// Then no other worker runs the request, and the prompt is not read again after that.
				names, _ := runsOf(workers)
				c.Assert(names, qt.HasLen, 1)
				reads := 0
				for _, w := range workers[:2] {
					for _, request := range w.received() {
						if request.Method != http.MethodDelete {
							reads++
						}
					}
				}
				c.Assert(reads, qt.Equals, given.reads)
			})
		})
	}
}
