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
		"a broken stream":            {func(*client) {}, context.Background(), true},
		"a whole one":                {func(c *client) { c.broken = false }, context.Background(), false},
		"that can't be written on":   {func(c *client) { c.unwritable = true }, context.Background(), false},
		"whose client has left":      {func(*client) {}, canceled, false},
		"whose time is up":           {func(c *client) { c.request.Deadline = time.Now() }, context.Background(), false},
		"that is no longer followed": {func(c *client) { c.resumption = nil }, context.Background(), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			request := &calls.Request{Header: http.Header{}, Deadline: time.Now().Add(time.Minute), Terms: calls.Terms{Tries: 2}}
			out := &client{job: calls.NewJob(nil, request, nil), request: request, broken: true, resumption: &resumption{}}
			out.resumption.sequence.AddFirst(events.Event{ID: 1, HasID: true})
			given.change(out)
			c.Assert(out.newResumedRun(given.ctx) != nil, qt.Equals, given.wanted)
		})
	}
}
