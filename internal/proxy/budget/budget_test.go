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
	// Given one of five routers without requests,
	b := New(terms, 5, terms.Window)
	// when it takes extra attempts until it is refused,
	taken := 0
	for b.Take(time.Second) {
		taken++
	}
	// then it got its part of the fixed allowance, less the margin.
	c.Assert(taken, qt.Equals, 8)
}

func TestRequestsRaiseTheLimit(t *testing.T) {
	c := qt.New(t)
	// Given a router that counted 100 requests,
	b := New(terms, 5, terms.Window)
	for range 100 {
		b.CountRequest(time.Second)
	}
	taken := 0
	for b.Take(time.Second) {
		taken++
	}
	// then a ratio of them is allowed in addition.
	c.Assert(taken, qt.Equals, 24)
	// And when the window has passed, only the fixed allowance is left.
	taken = 0
	for b.Take(20 * time.Second) {
		taken++
	}
	c.Assert(taken, qt.Equals, 8)
}

// In any sequence of events, no window contains more extra attempts than the limit allows for the requests of that
// window and the one before it.
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
				t.Fatalf("%d extra attempts in the window until %v, at most %v are allowed", got, end, bound)
			}
		}
	})
}

// Attempts that are charged after a failure stay within the limit too, because no request is started without spare
// budget.
func TestChargedFailuresStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	// Given a proxy whose requests all fail at their first attempt, which costs an extra attempt each,
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
	// then no more requests are started than the limit allows, and more than the margin for retries.
	bound := float64(terms.Extra) + terms.Ratio*1000
	c.Assert(float64(started) <= bound, qt.IsTrue, qt.Commentf("%d requests started, limit %.0f", started, bound))
	c.Assert(float64(started) > margin*bound, qt.IsTrue, qt.Commentf("%d requests started, limit %.0f", started, bound))
	c.Assert(b.Take(terms.Window), qt.IsFalse)
}
