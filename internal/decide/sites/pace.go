package sites

import (
	"fmt"
	"time"
)

// Ramp brings a site back: all routers together give it no more than cold servers bear, a little more with each step,
// and less again where its answers come late or not at all.
type Ramp struct {
	started    bool
	agreed     float64       // as it stands with the fleet
	since      time.Duration // since when
	proposed   float64       // what this gave last, and when
	proposedAt time.Duration
	reduceTo   float64       // to what it is to be cut back, until the fleet has that; 0: it is not
	holdUntil  time.Duration // no step up until then
}

// The terms of a return.
const (
	// maxFailureShare is the part of a site's requests that fail or come late from which it is given less; of fewer than
	// minRequests of them nothing is made.
	maxFailureShare, minRequests = 0.2, 10
	// reduceFactor is what is left of its part then, and holdShare of its warm-up is how long it stays there.
	reduceFactor, holdShare = 0.6, 0.2
)

// Initial is the part that a site is given at first.
func (p *Ramp) Initial(m Model) float64 { return m.WithDefaults().ColdShare }

// Next is the part that a site should be given from now on, and why; ramp is what it is given as far as the fleet has
// agreed.
func (p *Ramp) Next(m Model, ramp float64, seen Observation, o Orders, now time.Duration) (float64, string) {
	m = m.WithDefaults()
	if !p.started || ramp != p.agreed {
		since := now
		if p.started && ramp == p.proposed { // as we said: it holds since then
			since = p.proposedAt
		}
		p.started, p.agreed, p.since, p.reduceTo = true, ramp, since, 0
	}
	requests := seen.InTime + seen.Late
	failing := requests >= minRequests && float64(seen.Late) > maxFailureShare*float64(requests)
	if failing && now >= p.holdUntil {
		p.reduceTo = max(ramp*reduceFactor, m.ColdShare/4)
		p.holdUntil = now + time.Duration(holdShare*m.WarmMs)*time.Millisecond
	}
	reason := fmt.Sprintf("it returns: %.0f%% of its part", 100*ramp)
	switch {
	case p.reduceTo > 0:
		ramp, reason = p.reduceTo, fmt.Sprintf("%d of %d requests there failed or were late: it is given less", seen.Late, requests)
	case now < p.holdUntil:
		p.since = now
	case o.Hold:
		p.since, reason = now, "an operator holds it where it is"
	default:
		ramp += (1 - m.ColdShare) * ms(now-p.since) / m.WarmMs
	}
	if o.Pace > 0 && ramp > o.Pace {
		ramp, reason = o.Pace, "an operator paces it"
	}
	p.proposed, p.proposedAt = min(ramp, 1), now
	return p.proposed, reason
}

// lastFrom is the part of a site's return from which classes that return last are given work there.
const lastFrom = 0.5

// lastShareFor is the part of a returning site's room that those classes may have.
func lastShareFor(ramp float64) float64 { return min(max((ramp-lastFrom)/(1-lastFrom), 0), 1) }
