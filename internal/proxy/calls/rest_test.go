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

// brokenStream returns a request that one of at most three workers has run, and the job for its remainder.
func brokenStream(c *qt.C, budget RetryBudget) (whole, remainder *Job) {
	pool := upstream.NewPoolOn(upstream.Terms{Network: unreachable{}}, upstream.NewBudget(10), time.Second, time.Second)
	request := &Request{
		Method:   http.MethodPost,
		URI:      "/",
		Host:     "h.example",
		Header:   http.Header{"X-Other": {"stays"}},
		Deadline: time.Now().Add(time.Minute),
		Terms:    Terms{MaxRuns: 3},
	}
	whole = NewJob(New(pool), request, budget)
	whole.prefills, whole.runs, whole.mayHaveRun = 1, 1, 1
	whole.Close()
	remainder, allowed := whole.Remainder("7", "broke")
	c.Assert(allowed, qt.IsTrue)
	return whole, remainder
}

func TestRemainderResumesAfterTheLastEvent(t *testing.T) {
	c := qt.New(t)
	// Given a request whose stream broke after event 7, when the remainder is sent to a worker,
	whole, remainder := brokenStream(c, &countingBudget{})
	// then it names that event and counts as resumed for the decision module. The original request is unchanged.
	sent := parsed(c, remainder.request.encode(remainder.request.Deadline))
	c.Assert(sent.Header.Get("Last-Event-Id"), qt.Equals, "7")
	c.Assert(sent.Header.Get("X-Other"), qt.Equals, "stays")
	c.Assert(remainder.Arrival(1).Resumed, qt.IsTrue)
	c.Assert(whole.Arrival(1).Resumed, qt.IsFalse)
	// And the remainder knows that a worker may have run the request.
	mayHaveRun, _ := remainder.Close()
	c.Assert(mayHaveRun, qt.IsTrue)
}

func TestRemainderAvoidsTheWorkerWhereTheStreamBroke(t *testing.T) {
	c := qt.New(t)
	budget := &countingBudget{}
	_, remainder := brokenStream(c, budget)
	try := func(name string) error {
		_, err := remainder.Try(context.Background(), core.Worker{Name: name}, func() error { return nil })
		return err
	}
	// When the module chooses the worker where the stream broke a few times, then the job asks for another worker each
	// time. That is not held against the worker and takes nothing from the retry budget.
	for range maxAvoided {
		err := try("broke")
		c.Assert(core.Withdrawn(err), qt.IsTrue)
		c.Assert(errors.Is(err, core.ErrSendingForbidden), qt.IsFalse)
	}
	c.Assert(budget.taken, qt.Equals, 0)
	// Another worker is tried.
	c.Assert(core.Withdrawn(try("other")), qt.IsFalse)
	c.Assert(budget.taken, qt.Equals, 1)
	// When the first worker is chosen yet again, then the request ends.
	c.Assert(errors.Is(try("broke"), core.ErrSendingForbidden), qt.IsTrue)
}
