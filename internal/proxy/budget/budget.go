// Package budget bounds how many further arrivals one router may cause at a service. All routers share one bound; each
// takes its part of the fixed allowance and a ratio of its own requests, so nobody has to be asked.
package budget

import "time"

const (
	// slotCount is into how many counts the window is cut: the count of a slot leaves the window as a whole.
	slotCount = 40
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
	terms        Terms
	priorExpires time.Duration // when what a process before this one took has left the window
	routers      int
	window       [slotCount + 1]slot
	newest       int64 // number of the newest slot
	requests     int   // sum over counts
	extra        int
}

// slot is what a slot holds.
type slot struct {
	requests, extra int
	routers         int // the most that shared the bound meanwhile
}

// New makes a budget for a router that is one of so many and whose process has run for the age.
func New(terms Terms, routers int, age time.Duration) *Budget {
	b := &Budget{terms: terms, routers: 1, priorExpires: terms.Window - age}
	b.SetRouters(0, routers)
	return b
}

// SetRouters tells how many routers share the bound from now on, this one among them. What those that ended have taken stays
// in the window, so a smaller number counts only once the window has passed.
func (b *Budget) SetRouters(now time.Duration, routers int) {
	b.advance(now)
	b.routers = max(routers, 1)
	b.current().routers = max(b.current().routers, b.routers)
}

// CountRequest counts a client's request.
func (b *Budget) CountRequest(now time.Duration) {
	b.advance(now)
	b.current().requests++
	b.requests++
}

// Take counts one further arrival, if the bound leaves room for it.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if float64(b.extra+1) > b.limit(now, margin) {
		return false
	}
	b.add()
	return true
}

// HasSpare tells whether there is room for an arrival that a first call would cause by failing.
func (b *Budget) HasSpare(now time.Duration) bool {
	b.advance(now)
	return float64(b.extra+1) <= max(b.limit(now, spareMargin), 1)
}

// Charge counts a further arrival that could not be asked for beforehand.
func (b *Budget) Charge(now time.Duration) {
	b.advance(now)
	b.add()
}

func (b *Budget) add() {
	b.current().extra++
	b.extra++
}

// limit is a part of the bound on further arrivals in the window.
func (b *Budget) limit(now time.Duration, share float64) float64 {
	routers := b.routers
	for i := range b.window {
		routers = max(routers, b.window[i].routers)
	}
	extraShare := share
	if now < b.priorExpires {
		extraShare = startMargin
	}
	return extraShare*float64(b.terms.Extra)/float64(routers) + share*b.terms.Ratio*float64(b.requests)
}

func (b *Budget) current() *slot { return &b.window[b.newest%int64(len(b.window))] }

// advance drops what has left the window.
func (b *Budget) advance(now time.Duration) {
	target := int64(now / max(b.terms.Window/slotCount, 1))
	for passed := 0; b.newest < target && passed <= slotCount; passed++ {
		b.newest++
		expired := b.current()
		b.requests -= expired.requests
		b.extra -= expired.extra
		*expired = slot{routers: b.routers}
	}
	b.newest = max(b.newest, target)
}
