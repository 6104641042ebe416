package budget

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// maxNoticeDelay is how long after the end of a proxy the others may still count it.
const maxNoticeDelay = 5 * time.Second

// proxy is one proxy of a fleet of varying size.
type proxy struct {
	budget  *Budget
	started time.Duration
	notices map[time.Duration]int // fleet sizes that the proxy will be notified of, by time
}

// fleet is a set of proxies that take as many extra attempts as allowed.
type fleet struct {
	now      time.Duration
	living   []*proxy
	starts   []time.Duration
	fewest   map[time.Duration]int // fleet sizes after the changes at each time
	requests []time.Duration
	extra    []time.Duration
}

// within counts the events after one time and until another.
func within(list []time.Duration, after, until time.Duration) (n int) {
	for _, at := range list {
		if at > after && at <= until {
			n++
		}
	}
	return n
}

// start adds a proxy that knows the current fleet size.
func (f *fleet) start() {
	f.living = append(f.living, &proxy{budget: New(terms, len(f.living)+1, 0), started: f.now, notices: map[time.Duration]int{}})
	f.starts = append(f.starts, f.now)
	f.announce(0)
}

// stop ends a proxy. The others are notified after a delay.
func (f *fleet) stop(index int, delay time.Duration) {
	f.living = slices.Delete(f.living, index, index+1)
	f.announce(delay)
}

// announce notifies all proxies of the fleet size after a delay.
func (f *fleet) announce(delay time.Duration) {
	f.fewest[f.now] = len(f.living)
	for _, p := range f.living {
		p.notices[f.now+delay] = len(f.living)
	}
}

// advance advances the time and delivers the notices that are due.
func (f *fleet) advance(gap time.Duration) {
	until := f.now + gap
	for _, p := range f.living {
		due := []time.Duration{}
		for at := range p.notices {
			if at <= until {
				due = append(due, at)
			}
		}
		slices.Sort(due)
		for _, at := range due {
			p.budget.SetRouters(max(at, f.now)-p.started, p.notices[at])
			delete(p.notices, at)
		}
	}
	f.now = until
}

// mayStart reports whether the margin covers one more start. It covers starts of at most half of the proxies in a
// window.
func (f *fleet) mayStart() bool {
	fewest := len(f.living)
	for at, number := range f.fewest {
		if at > f.now-terms.Window-maxNoticeDelay {
			fewest = min(fewest, number)
		}
	}
	return 2*(within(f.starts, f.now-terms.Window, f.now)+1) <= fewest
}

// takeAll has one proxy take all extra attempts that it is allowed.
func (f *fleet) takeAll(p *proxy) {
	for p.budget.Take(f.now - p.started) {
		f.extra = append(f.extra, f.now)
	}
}

// Proxies end at any time, and up to half of them start in a window. No window contains more extra attempts of all
// proxies together than the limit allows for the requests of that window and the one before it.
func TestManyProxiesStayWithinTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{fewest: map[time.Duration]int{}, now: time.Hour}
		initial := rapid.IntRange(1, 40).Draw(t, "proxies")
		for range initial {
			f.living = append(f.living, &proxy{budget: New(terms, initial, terms.Window), notices: map[time.Duration]int{}})
		}
		f.announce(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			f.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond)
			index := rapid.IntRange(0, len(f.living)-1).Draw(t, "proxy")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				f.living[index].budget.CountRequest(f.now - f.living[index].started)
				f.requests = append(f.requests, f.now)
			case 1:
				f.takeAll(f.living[index])
			case 2:
				for _, p := range f.living {
					f.takeAll(p)
				}
			case 3:
				if len(f.living) > 1 {
					f.stop(index, time.Duration(rapid.IntRange(0, int(maxNoticeDelay/time.Millisecond)).Draw(t, "later"))*time.Millisecond)
				}
			case 4:
				if f.mayStart() {
					f.start()
				}
			}
		}
		for _, end := range f.extra {
			bound := float64(terms.Extra) + terms.Ratio*float64(within(f.requests, end-2*terms.Window, end))
			if got := within(f.extra, end-terms.Window, end); float64(got) > bound {
				t.Fatalf("%d extra attempts in the window until %v, at most %v are allowed", got, end, bound)
			}
		}
	})
}

func TestLowerRouterCountAppliesAfterOneWindow(t *testing.T) {
	c := qt.New(t)
	// Given one of five routers that has used its part, and learns that the other four have ended,
	b := New(terms, 5, terms.Window)
	taken := 0
	take := func(now time.Duration) int {
		for b.Take(now) {
			taken++
		}
		return taken
	}
	c.Assert(take(time.Second), qt.Equals, 8)
	b.SetRouters(2*time.Second, 1)
	// then it takes no more while their attempts are in the window, and the whole allowance after that.
	c.Assert(take(11*time.Second), qt.Equals, 8)
	taken = 0
	c.Assert(take(13*time.Second), qt.Equals, 40)
	// And a higher number takes effect at once.
	b.SetRouters(14*time.Second, 5)
	taken = 0
	c.Assert(take(30*time.Second), qt.Equals, 8)
}

func TestRestartedProxyReservesTheAllowanceOfItsPredecessor(t *testing.T) {
	c := qt.New(t)
	// Given the only router, whose process started two seconds ago,
	b := New(terms, 1, 2*time.Second)
	taken := 0
	take := func(now time.Duration) int {
		for b.Take(now) {
			taken++
		}
		return taken
	}
	// then it takes no more than the start margin of the fixed allowance, and a ratio of its own requests,
	c.Assert(take(time.Second), qt.Equals, 10)
	for range 100 {
		b.CountRequest(time.Second)
	}
	c.Assert(take(time.Second), qt.Equals, 26)
	// and the whole fixed allowance once a window has passed since its start.
	c.Assert(take(8*time.Second), qt.Equals, 56)
}
