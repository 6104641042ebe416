package calls

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/core"
	"sumacloft/internal/upstream"
)

// rested is the job of the rest of a request that one worker of three has run.
func rested(c *qt.C, allowance Allowance) (whole, rest *Job) {
	pool := upstream.NewPoolOn(upstream.Terms{Network: unreachable{}}, upstream.NewBudget(10), time.Second, time.Second)
	request := &Request{
		Method:   http.MethodPost,
		URI:      "/",
		Host:     "h.example",
		Header:   http.Header{"X-Other": {"stays"}},
		Deadline: time.Now().Add(time.Minute),
		Terms:    Terms{Tries: 3},
	}
	whole = NewJob(New(pool), request, allowance)
	whole.reads, whole.sent, whole.maybe = 1, 1, 1
	whole.Close()
	rest, allowed := whole.Rest("7", "broke")
	c.Assert(allowed, qt.IsTrue)
	return whole, rest
}

func TestRestOfARequestNamesTheEventItGoesOnBehind(t *testing.T) {
	c := qt.New(t)
	// Given a request of which one worker broke off the stream behind event 7, when the rest goes to a worker.
	whole, rest := rested(c, &counted{})
	// Then it names that event, and to the module it is one that was resumed; the request itself stays as it was.
	sent := parsed(c, rest.request.encode(rest.request.Deadline))
	c.Assert(sent.Header.Get("Last-Event-Id"), qt.Equals, "7")
	c.Assert(sent.Header.Get("X-Other"), qt.Equals, "stays")
	c.Assert(rest.Arrival(1).Resumed, qt.IsTrue)
	c.Assert(whole.Arrival(1).Resumed, qt.IsFalse)
	// And that a worker may have run the request is not forgotten.
	mayHaveRun, _ := rest.Close()
	c.Assert(mayHaveRun, qt.IsTrue)
}

func TestRestIsNotSentToTheWorkerThatBroke(t *testing.T) {
	c := qt.New(t)
	allowance := &counted{}
	_, rest := rested(c, allowance)
	try := func(name string) error {
		_, err := rest.Try(context.Background(), core.Worker{Name: name}, func() error { return nil })
		return err
	}
	// When the module chooses the worker that broke a few times, then each time another one is asked for, which is no word
	// on that worker and costs nothing,
	for range mostAvoided {
		err := try("broke")
		c.Assert(core.Withdrawn(err), qt.IsTrue)
		c.Assert(errors.Is(err, core.ErrSendingForbidden), qt.IsFalse)
	}
	c.Assert(allowance.taken, qt.Equals, 0)
	// another is tried,
	c.Assert(core.Withdrawn(try("other")), qt.IsFalse)
	c.Assert(allowance.taken, qt.Equals, 1)
	// and chosen yet again, the request ends.
	c.Assert(errors.Is(try("broke"), core.ErrSendingForbidden), qt.IsTrue)
}
