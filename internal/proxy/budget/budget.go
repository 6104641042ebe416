// Package budget implements a retry budget: it limits the extra attempts that one router makes at a service. All
// routers share one limit. Each uses its part of the fixed allowance plus a ratio of its own requests, so no
// coordination is needed.
package budget

import "time"

const (
	// slotCount is the number of slots that the window is divided into. A slot expires as a whole.
	slotCount = 40
	// margin is the part of the limit available to attempts that are requested in advance. The rest covers three
	// effects: routers differ for a moment in the number of routers that they know, extra attempts may reach a worker
	// later than they were counted, and some are known only after they were made.
	margin = 0.8
	// spareMargin is the part of the limit above which no request is started that may cause an extra attempt by
	// failing.
	spareMargin = 0.9
	// startMargin is the part of the fixed allowance available in the first window of a process. Attempts of the
	// previous process are still in that window, and the two together must stay within the limit.
	startMargin = 1 - margin
)

// Terms are the operator's limit on extra attempts.
type Terms struct {
	Window time.Duration // the limit holds in every span of this length
	Ratio  float64       // extra attempts for each request
	Extra  int           // additional extra attempts of all routers together
}

// Budget counts requests and extra attempts at one service. It is not safe for concurrent use.
type Budget struct {
	terms        Terms
	priorExpires time.Duration // when the attempts of a previous process have left the window
	routers      int
	window       [slotCount + 1]slot
	newest       int64 // number of the newest slot
	requests     int   // sum over the window
	extra        int
}

// slot holds the counts of one part of the window.
type slot struct {
	requests, extra int
	routers         int // the highest number of routers during the slot
}

// New creates the budget of one of several routers whose process is of the given age.
func New(terms Terms, routers int, age time.Duration) *Budget {
	b := &Budget{terms: terms, routers: 1, priorExpires: terms.Window - age}
	b.SetRouters(0, routers)
	return b
}

// SetRouters sets how many routers share the limit, including this one. Attempts of routers that have ended remain in
// the window, so a lower number takes effect only after one window.
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

// Take counts one extra attempt and returns true if the limit allows it.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if float64(b.extra+1) > b.limit(now, margin) {
		return false
	}
	b.add()
	return true
}

// HasSpare reports whether the limit allows an extra attempt that the failure of a first attempt would cause.
func (b *Budget) HasSpare(now time.Duration) bool {
	b.advance(now)
	return float64(b.extra+1) <= max(b.limit(now, spareMargin), 1)
}

// Charge counts an extra attempt that could not be requested in advance.
func (b *Budget) Charge(now time.Duration) {
	b.advance(now)
	b.add()
}

func (b *Budget) add() {
	b.current().extra++
	b.extra++
}

// limit returns a share of the limit on extra attempts in the window.
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

// advance drops the slots that have left the window.
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
