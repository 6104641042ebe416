package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/fleettest/memnet"
)

// firstCallReply uses one reply for the first call of each request at any worker that shares it, and another reply for
// the rest.
type firstCallReply struct {
	first, others reply

	mu   sync.Mutex
	seen map[string]bool
}

func (f *firstCallReply) answer(connection *memnet.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Request-Id")
	f.mu.Lock()
	again := f.seen[id]
	f.seen[id] = true
	f.mu.Unlock()
	if again || id == "" {
		return f.others(connection, request)
	}
	return f.first(connection, request)
}

func onFirstCall(first, others reply) reply {
	all := &firstCallReply{first: first, others: others, seen: map[string]bool{}}
	return all.answer
}

// arrival is one arrival of a request at a worker.
type arrival struct {
	at     time.Time
	reader bool
}

// repeatedArrivals counts the arrivals past the first of each request by the operators' rule: a prefill does not count
// if it is the request's first call, it succeeds and the request is answered in the end.
func repeatedArrivals(workers []*worker, readsSucceed bool, answered map[string]bool) (repeated int) {
	calls := map[string][]arrival{}
	for _, w := range workers {
		for _, request := range w.received() {
			if id := request.Header.Get("X-Request-Id"); id != "" {
				calls[id] = append(calls[id], arrival{request.at, w.phase == "reading"})
			}
		}
	}
	for id, all := range calls {
		slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
		repeated += len(all) - 1
		if all[0].reader && len(all) > 1 && readsSucceed && answered[id] {
			repeated--
		}
	}
	return repeated
}

// Whichever stage of a request fails at the workers, the arrivals past the first of each request stay within the
// operators' bound.
func TestRepeatedArrivalsStayWithinBound(t *testing.T) {
	const (
		requestCount = 120
		extra        = 10
	)
	stream := respondStream("seal", endProperly, eventsOf(1, lastID))
	for name, given := range map[string]struct {
		reader, writer reply
		readsSucceed   bool
	}{
		"readers reset the first call":              {onFirstCall(resetConn, respond(readPrompt)), stream, false},
		"readers refuse the first call":             {onFirstCall(respond(notRun), respond(readPrompt)), stream, false},
		"writers reset":                             {respond(readPrompt), resetConn, true},
		"writers refuse the first run":              {respond(readPrompt), onFirstCall(respond(notRun), stream), true},
		"writers refuse all runs":                   {respond(readPrompt), respond(notRun), true},
		"both reset":                                {resetConn, resetConn, false},
		"readers reset and writers refuse":          {onFirstCall(resetConn, respond(readPrompt)), respond(notRun), false},
		"readers reset and writers reset the first": {onFirstCall(resetConn, respond(readPrompt)), onFirstCall(resetConn, stream), false},
	} {
		t.Run(name, func(t *testing.T) {
			// Given two readers and four writers that fail in one way.
			workers := stagedWritersAfter(given.reader, 4, given.writer)
			for _, w := range workers[2:] {
				w.reply = given.writer
			}
			runSceneWithExtra(t, extra, workers, func(c *qt.C, s *scene) {
				// When more requests arrive within a window than the fixed part of the bound allows repeats for.
				answered := map[string]bool{}
				for i := range requestCount {
					id := fmt.Sprintf("request-%d", i)
					got := s.sendAs(c, id, streamPath, "")
					answered[id] = got.status == http.StatusOK
				}
				time.Sleep(settleTime)
				// Then the repeated arrivals stay within the operators' bound.
				repeated := repeatedArrivals(workers, given.readsSucceed, answered)
				c.Assert(repeated <= extra+requestCount/5, qt.IsTrue, qt.Commentf("%d repeated arrivals for %d requests", repeated, requestCount))
			})
		})
	}
}

// A request with a short prompt, or without prompt information, goes to its writer directly. A reader would run it to
// the end.
func TestShortPromptSkipsPrefillStage(t *testing.T) {
	for name, given := range map[string]struct {
		tokens string
		reads  int
	}{
		"a long prompt":  {"X-Token-Count: 2000,20\r\n", 1},
		"a short prompt": {"X-Token-Count: 300,20\r\n", 0},
		"no token count": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			workers := stagedWriters(2, respondStream("seal", endProperly, eventsOf(1, lastID)))
			runScene(t, workers, func(c *qt.C, s *scene) {
				got := s.exchange(c, "POST "+streamPath+" HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\n"+given.tokens+"Content-Length: 0\r\n\r\n")
				c.Assert(got.status, qt.Equals, http.StatusOK)
				reads := 0
				for _, w := range workers[:2] {
					for _, request := range w.received() {
						if request.Method != http.MethodDelete {
							reads++
						}
					}
				}
				_, runs := runsOf(workers)
				c.Assert(reads, qt.Equals, given.reads)
				c.Assert(runs, qt.HasLen, 1)
				c.Assert(strings.Contains(runs[0].raw, "Kv-From"), qt.Equals, given.reads > 0)
			})
		})
	}
}
