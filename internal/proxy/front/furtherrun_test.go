package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/events"
)

func TestEndedAnswerIsNotResumed(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, given := range map[string]struct {
		change func(*client)
		ctx    context.Context
		wanted bool
	}{
		"a broken stream":                   {func(*client) {}, context.Background(), true},
		"a complete stream":                 {func(c *client) { c.broken = false }, context.Background(), false},
		"a client that can't be written to": {func(c *client) { c.unwritable = true }, context.Background(), false},
		"a disconnected client":             {func(*client) {}, canceled, false},
		"a passed deadline":                 {func(c *client) { c.request.Deadline = time.Now() }, context.Background(), false},
		"a stream that can't be resumed":    {func(c *client) { c.resumption = nil }, context.Background(), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			request := &calls.Request{Header: http.Header{}, Deadline: time.Now().Add(time.Minute), Terms: calls.Terms{MaxRuns: 2}}
			out := &client{job: calls.NewJob(nil, request, nil), request: request, broken: true, resumption: &resumption{}}
			out.resumption.sequence.AddFirst(events.Event{ID: 1, HasID: true})
			given.change(out)
			c.Assert(out.newResumedRun(given.ctx) != nil, qt.Equals, given.wanted)
		})
	}
}
