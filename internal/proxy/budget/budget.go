// Package budget bounds how many further arrivals one router may cause at a service. All routers share one bound; each
// takes its part of the fixed allowance and a ratio of its own requests, so nobody has to be asked.
package budget

import "time"

const (
	// slots is into how many counts the window is cut: the count of a slot leaves the window as a whole.
	slots = 40
	// margin is the part of the bound that is used for arrivals that are asked for: the routers' views of their number
	// differ for a moment, further arrivals may reach a worker later than they were counted, and some are only known of
	// once they have come about.
	margin = 0.8
	// spareMargin is the part of the bound from which nothing is begun that may cause a further arrival by failing.
	spareMargin = 0.9
	// startMargin is the part of the fixed allowance that is used in a process' first window. What the process before it took
	// is still in that window; together they keep to the bound.
	startMargin = 1 - margin
)

// Terms are the operator's bound on further arrivals.
type Terms struct {
	Window time.Duration // the bound holds in every span of this length
	Ratio  float64       // further arrivals for each request
	Extra  int           // further arrivals besides, of all routers together
}

// Budget counts requests and further arrivals at one service. It is not safe for concurrent use.
type Budget struct {
	terms    Terms
	settled  time.Duration // when what a process before this one took has left the window
	routers  int
	counts   [slots + 1]count
	newest   int64 // number of the newest slot
	requests int   // sum over counts
	repeats  int
}

// count is what a slot holds.
type count struct {
	requests, repeats int
	routers           int // the most that shared the bound meanwhile
}

// New makes a budget for a router that is one of so many and whose process has run for the age.
func New(terms Terms, routers int, age time.Duration) *Budget {
	b := &Budget{terms: terms, routers: 1, settled: terms.Window - age}
	b.Share(0, routers)
	return b
}

// Share tells how many routers share the bound from now on, this one among them. What those that ended have taken stays
// in the window, so a smaller number counts only once the window has passed.
func (b *Budget) Share(now time.Duration, routers int) {
	b.advance(now)
	b.routers = max(routers, 1)
	b.current().routers = max(b.current().routers, b.routers)
}

// Request counts a client's request.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.current().requests++
	b.requests++
}

// Take counts one further arrival, if the bound leaves room for it.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if float64(b.repeats+1) > b.allowed(now, margin) {
		return false
	}
	b.add()
	return true
}

// Spare tells whether there is room for an arrival that a first call would cause by failing.
func (b *Budget) Spare(now time.Duration) bool {
	b.advance(now)
	return float64(b.repeats+1) <= max(b.allowed(now, spareMargin), 1)
}

// Charge counts a further arrival that could not be asked for beforehand.
func (b *Budget) Charge(now time.Duration) {
	b.advance(now)
	b.add()
}

func (b *Budget) add() {
	b.current().repeats++
	b.repeats++
}

// allowed is a part of the bound on further arrivals in the window.
func (b *Budget) allowed(now time.Duration, share float64) float64 {
	routers := b.routers
	for i := range b.counts {
		routers = max(routers, b.counts[i].routers)
	}
	part := share
	if now < b.settled {
		part = startMargin
	}
	return part*float64(b.terms.Extra)/float64(routers) + share*b.terms.Ratio*float64(b.requests)
}

func (b *Budget) current() *count { return &b.counts[b.newest%int64(len(b.counts))] }

// advance drops what has left the window.
func (b *Budget) advance(now time.Duration) {
	slot := int64(now / max(b.terms.Window/slots, 1))
	for passed := 0; b.newest < slot && passed <= slots; passed++ {
		b.newest++
		old := b.current()
		b.requests -= old.requests
		b.repeats -= old.repeats
		*old = count{routers: b.routers}
	}
	b.newest = max(b.newest, slot)
}
