package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var terms = Terms{Window: 10 * time.Second, Ratio: 0.2, Extra: 50}

func TestFixedAllowanceIsShared(t *testing.T) {
	c := qt.New(t)
	// Given one of five routers without a request.
	b := New(terms, 5, terms.Window)
	// When it asks for further arrivals until it is refused.
	taken := 0
	for b.Take(time.Second) {
		taken++
	}
	// Then it got its part of the fixed allowance, less the margin.
	c.Assert(taken, qt.Equals, 8)
}

func TestRequestsRaiseTheLimit(t *testing.T) {
	c := qt.New(t)
	// Given a router that took 100 requests.
	b := New(terms, 5, terms.Window)
	for range 100 {
		b.CountRequest(time.Second)
	}
	taken := 0
	for b.Take(time.Second) {
		taken++
	}
	// Then a ratio of them is allowed besides.
	c.Assert(taken, qt.Equals, 24)
	// And when the window has passed, only the fixed part is left.
	taken = 0
	for b.Take(20 * time.Second) {
		taken++
	}
	c.Assert(taken, qt.Equals, 8)
}

// Whatever comes when, no window of the operator's length holds more further arrivals than the bound allows for the
// requests of that window and the one before it.
func TestEveryWindowStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(terms, 1, terms.Window)
		var now time.Duration
		var requests, extra []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
			} else if b.Take(now) {
				extra = append(extra, now)
			}
		}
		within := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for _, end := range extra {
			from := end - terms.Window
			bound := terms.Ratio*float64(within(requests, from-terms.Window, end+1)) + float64(terms.Extra)
			if got := within(extra, from+1, end+1); float64(got) > bound {
				t.Fatalf("%d further arrivals until %v, at most %v are allowed", got, end, bound)
			}
		}
	})
}

// What can only be charged once it has come about keeps to the bound too: nothing is begun once a failure has no room.
func TestChargedFailuresStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	// Given a proxy all of whose requests fail at their first call, which costs a further arrival each.
	b := New(terms, 1, terms.Window)
	started := 0
	for i := range 1000 {
		now := time.Duration(i) * terms.Window / 1000
		b.CountRequest(now)
		if b.HasSpare(now) {
			started++
			b.Charge(now)
		}
	}
	// Then no more of them are begun than the bound allows, and more than repeats may take.
	bound := float64(terms.Extra) + terms.Ratio*1000
	c.Assert(float64(started) <= bound, qt.IsTrue, qt.Commentf("%d begun, bound %.0f", started, bound))
	c.Assert(float64(started) > margin*bound, qt.IsTrue, qt.Commentf("%d begun, bound %.0f", started, bound))
	c.Assert(b.Take(terms.Window), qt.IsFalse)
}
