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

// unreachable is a network on which nobody answers.
type unreachable struct{ network.Network }

func (unreachable) Dial(context.Context, string, network.DialOptions) (net.Conn, error) {
	return nil, errors.New("refused")
}

// counted is an allowance that counts what is taken.
type counted struct{ taken int }

func (c *counted) Take(Further) bool { c.taken++; return true }
func (c *counted) Spare() bool       { return true }
func (c *counted) Charge(Further)    {}

// Given a request whose repeat finds no connection at one worker after the other, then the allowance is asked once: nothing
// has arrived.
func TestAttemptsThatAreNeverWrittenDrawOnTheAllowanceOnce(t *testing.T) {
	c := qt.New(t)
	pool := upstream.NewPoolOn(upstream.Terms{Network: unreachable{}}, upstream.NewBudget(10), time.Second, time.Second)
	for _, role := range []string{"", RoleReading} {
		allowance := &counted{}
		job := NewJob(New(pool), &Request{Deadline: time.Now().Add(time.Minute), Terms: Terms{Tries: 3}}, allowance)
		job.sent, job.reads = 1, 1
		for range 5 {
			_, err := job.Try(context.Background(), core.Worker{Role: role}, func() error { return nil })
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(allowance.taken, qt.Equals, 1)
	}
}
