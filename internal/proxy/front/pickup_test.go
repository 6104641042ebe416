package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/fleettest/memnet"
)

const (
	// lastID is the id of the last event of a complete answer.
	lastID        = 5
	eventInterval = 10 * time.Millisecond
)

// replySequence holds the replies to the successive runs of one request, whichever writers receive them.
type replySequence struct {
	answers []reply

	mu   sync.Mutex
	next int
}

func (r *replySequence) answer(connection *memnet.Conn, request *http.Request) bool {
	r.mu.Lock()
	answer := r.answers[min(r.next, len(r.answers)-1)]
	r.next++
	r.mu.Unlock()
	return answer(connection, request)
}

// stagedWriters returns two readers and writers that share a sequence of replies.
func stagedWriters(writers int, answers ...reply) []*worker {
	return stagedWritersAfter(respond(readPrompt), writers, answers...)
}

func stagedWritersAfter(reader reply, writers int, answers ...reply) []*worker {
	all := &replySequence{answers: answers}
	workers := []*worker{
		{name: "reader-0", phase: "reading", reply: reader},
		{name: "reader-1", phase: "reading", reply: reader},
	}
	for i := range writers {
		workers = append(workers, &worker{name: fmt.Sprintf("writer-%d", i), phase: "writing", reply: all.answer})
	}
	return workers
}

// eventsOf returns the events of a complete answer between two ids.
func eventsOf(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// ending is how a run ends.
type ending func(connection *memnet.Conn)

func byReset(connection *memnet.Conn) { connection.Reset() }

// byClose closes the connection regularly, but before the last chunk.
func byClose(*memnet.Conn) {}

func endProperly(connection *memnet.Conn) { _, _ = io.WriteString(connection, "0\r\n\r\n") }

// respondStream answers with a seal, each piece in its own chunk, and an ending.
func respondStream(seal string, end ending, pieces ...string) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: "+seal+
			"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, piece := range pieces {
			_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece)
			time.Sleep(eventInterval)
		}
		end(connection)
		return false
	}
}

// breakAt answers up to an event and breaks off with part of the next one.
func breakAt(to int, end ending, partial string) reply {
	pieces := []string{eventsOf(1, 1), eventsOf(2, to) + partial}
	if to == 1 {
		pieces = []string{eventsOf(1, 1) + partial}
	}
	return respondStream("first", end, pieces...)
}

// resumeStream answers with the events after the one that the request names.
func resumeStream(connection *memnet.Conn, request *http.Request) bool {
	var last int
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last) // 0 without the header
	return respondStream("further", endProperly, eventsOf(last+1, lastID))(connection, request)
}

// runsOf returns the runs that reached writers, with the writers' names.
func runsOf(workers []*worker) (names []string, all []received) {
	for _, w := range workers {
		for _, request := range w.received() {
			if w.phase == "writing" {
				names = append(names, w.name)
				all = append(all, request)
			}
		}
	}
	return names, all
}

// lastEvents counts the runs by their Last-Event-Id.
func lastEvents(workers []*worker) map[string]int {
	counts := map[string]int{}
	_, all := runsOf(workers)
	for _, request := range all {
		counts[request.Header.Get("Last-Event-Id")]++
	}
	return counts
}

func TestBrokenStreamIsResumedAtAnotherWorker(t *testing.T) {
	for name, given := range map[string]struct {
		to      int
		partial string
	}{
		"after the first event":             {1, ""},
		"after a middle event":              {3, ""},
		"before the last event":             {lastID - 1, ""},
		"within the id of an event":         {2, "id: 3"},
		"within the data of an event":       {2, "id: 3\ndata: tok"},
		"before the empty line of an event": {2, "id: 3\ndata: token 3\n"},
		"within the last event":             {lastID - 1, "id: 5\ndata: tok"},
	} {
		for method, end := range map[string]ending{"by a reset": byReset, "by a close": byClose} {
			t.Run(name+" "+method, func(t *testing.T) {
				// Given a stream that its worker breaks off, and another worker that resumes it after the requested
				// event.
				workers := stagedWriters(2, breakAt(given.to, end, given.partial), resumeStream)
				runScene(t, workers, func(c *qt.C, s *scene) {
					// When a client requests it.
					got := s.send(c, resumablePath, "prompt")
					// Then it receives each event once, with the head of the first worker and a regular end.
					c.Assert(got.status, qt.Equals, http.StatusOK)
					c.Assert(got.body, qt.Equals, eventsOf(1, lastID))
					c.Assert(got.complete, qt.IsTrue)
					c.Assert(got.header.Get("X-Server-Seal"), qt.Equals, "first")
					// And the other worker received the id of the last forwarded event.
					names, _ := runsOf(workers)
					c.Assert(names, qt.DeepEquals, []string{"writer-0", "writer-1"})
					c.Assert(lastEvents(workers), qt.DeepEquals, map[string]int{"": 1, fmt.Sprint(given.to): 1})
				})
			})
		}
	}
}

func TestStreamClosedWithinAnEventIsResumed(t *testing.T) {
	// Given a worker whose answer has no length and ends within an event when its connection closes.
	workers := stagedWriters(2, respondInPieces(flowing+"\r\n", eventsOf(1, 2)+"id: 3\nda"), resumeStream)
	runScene(t, workers, func(c *qt.C, s *scene) {
		// When a client requests it, then another worker delivers the rest.
		got := s.send(c, resumablePath, "prompt")
		c.Assert(got.body, qt.Equals, eventsOf(1, lastID))
		c.Assert(got.complete, qt.IsTrue)
	})
}

func TestResumedRunMustContinueTheAnswer(t *testing.T) {
	const (
		bare     = "data: token 4\n\n"
		renewed  = "versions: 2\nid: 4\ndata: token 4\n\n"
		unsealed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\nid: 4\ndata: token 4\n\n\n"
		created  = "HTTP/1.1 201 Created\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
		failed   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"
		atFault  = "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 3\r\n\r\nbad"
	)
	further := func(pieces ...string) reply { return respondStream("further", endProperly, pieces...) }
	for name, given := range map[string]struct {
		further  reply
		body     string
		complete bool
		runs     int // 0: not checked
	}{
		"it overlaps":                             {further(eventsOf(2, 3), eventsOf(4, lastID)), eventsOf(1, lastID), true, 2},
		"it restarts from the first event":        {further(eventsOf(1, lastID)), eventsOf(1, lastID), true, 2},
		"it has a comment":                        {further(": hello\n\n" + eventsOf(4, lastID)), eventsOf(1, 3) + ": hello\n\n" + eventsOf(4, lastID), true, 2},
		"it has another version":                  {further(renewed, eventsOf(lastID, lastID)), eventsOf(1, 3) + renewed + eventsOf(lastID, lastID), true, 2},
		"it starts after a gap":                   {further(eventsOf(5, lastID)), eventsOf(1, 3), false, 2},
		"it has a gap":                            {further(eventsOf(4, 4) + eventsOf(6, 6)), eventsOf(1, 4), false, 2},
		"it has a gap in the forwarded events":    {further(eventsOf(1, 1), eventsOf(3, lastID)), eventsOf(1, 3), false, 2},
		"it repeats an event of its own":          {further(eventsOf(4, 4), eventsOf(4, lastID)), eventsOf(1, 4), false, 2},
		"its events have no ids":                  {further(bare, bare), eventsOf(1, 3), false, 2},
		"one of its events has no id":             {further(bare + eventsOf(1, lastID)), eventsOf(1, 3), false, 2},
		"its ids are not numbers":                 {further(strings.Replace(eventsOf(4, 4), "4", "four", 1)), eventsOf(1, 3), false, 2},
		"it ends before the last forwarded event": {further(eventsOf(1, 2)), eventsOf(1, 3), false, 2},
		"it ends within an event":                 {further(eventsOf(4, 4) + "id: 5\n"), eventsOf(1, 4), false, 2},
		"it is empty":                             {further(), eventsOf(1, 3), false, 0},
		"it is refused":                           {respond(notRun), eventsOf(1, 3), false, 0},
		"it fails":                                {respond(failed), eventsOf(1, 3), false, 0},
		"it is rejected as invalid":               {respond(atFault), eventsOf(1, 3), false, 0},
		"it has no seal":                          {respond(unsealed), eventsOf(1, 3), false, 0},
		"it has another success status":           {respondInPieces(created, eventsOf(4, lastID)), eventsOf(1, 3), false, 2},
		"its connections are reset immediately":   {resetConn, eventsOf(1, 3), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			// Given a stream that breaks after its third event, and workers that answer resumed runs in some way.
			workers := stagedWriters(3, breakAt(3, byReset, ""), given.further)
			runScene(t, workers, func(c *qt.C, s *scene) {
				// When a client requests it.
				got := s.send(c, resumablePath, "prompt")
				// Then it receives the events that continue without a gap, and a regular end only if the answer is
				// complete.
				c.Assert(got.status, qt.Equals, http.StatusOK)
				c.Assert(got.body, qt.Equals, given.body)
				c.Assert(got.complete, qt.Equals, given.complete)
				c.Assert(got.took < giveUp, qt.IsTrue, qt.Commentf("after %v", got.took))
				// And no further run follows one that does not continue the answer.
				if names, _ := runsOf(workers); given.runs > 0 {
					c.Assert(names, qt.HasLen, given.runs)
				}
			})
		})
	}
}
