package calls

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/core"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/upstream"
)

// unreachable is a network on which every dial fails.
type unreachable struct{ network.Network }

func (unreachable) Dial(context.Context, string, network.DialOptions) (net.Conn, error) {
	return nil, errors.New("refused")
}

// countingBudget is a retry budget that counts what is taken.
type countingBudget struct{ taken int }

func (c *countingBudget) Take(ExtraReason) bool { c.taken++; return true }
func (c *countingBudget) HasSpare() bool        { return true }
func (c *countingBudget) Charge(ExtraReason)    {}

// Given a request that is retried and finds no connection at several workers in turn, then it takes from the retry
// budget once, because no attempt was written.
func TestUnwrittenAttemptsTakeFromTheBudgetOnce(t *testing.T) {
	c := qt.New(t)
	pool := upstream.NewPoolOn(upstream.Terms{Network: unreachable{}}, upstream.NewBudget(10), time.Second, time.Second)
	for _, role := range []string{"", RoleReading} {
		budget := &countingBudget{}
		job := NewJob(New(pool), &Request{Deadline: time.Now().Add(time.Minute), Terms: Terms{MaxRuns: 3}}, budget)
		job.runs, job.prefills = 1, 1
		for range 5 {
			_, err := job.Try(context.Background(), core.Worker{Role: role}, func() error { return nil })
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(budget.taken, qt.Equals, 1)
	}
}
