package sites

import (
	"fmt"
	"time"
)

// Ramp controls the load of a returning site. All routers together give it no more than its cold servers can carry. The
// share grows with each step, and is reduced when its answers are late or missing.
type Ramp struct {
	started    bool
	agreed     float64       // share that the fleet has agreed on
	since      time.Duration // start of the current growth step
	proposed   float64       // last proposed share, at proposedAt
	proposedAt time.Duration
	reduceTo   float64       // share to fall back to until the fleet has agreed on it; 0: none
	holdUntil  time.Duration // no growth before this time
}

// Limits of a return.
const (
	// A site's share is reduced when more than maxFailureShare of its requests fail or are late. Fewer than minRequests
	// requests are no evidence.
	maxFailureShare, minRequests = 0.2, 10
	// reduceFactor is the remaining part of the share after a reduction. The share then stays unchanged for holdShare
	// of the warm-up time.
	reduceFactor, holdShare = 0.6, 0.2
)

// Initial returns the share that a returning site gets first.
func (r *Ramp) Initial(m Model) float64 { return m.WithDefaults().ColdShare }

// Next returns the share that a site should get from now on, and the reason. ramp is the share that the fleet has
// agreed on.
func (r *Ramp) Next(m Model, ramp float64, seen Observation, o Orders, now time.Duration) (float64, string) {
	m = m.WithDefaults()
	if !r.started || ramp != r.agreed {
		since := now
		if r.started && ramp == r.proposed { // this router proposed it, so it holds since the proposal
			since = r.proposedAt
		}
		r.started, r.agreed, r.since, r.reduceTo = true, ramp, since, 0
	}
	requests := seen.InTime + seen.Late
	failing := requests >= minRequests && float64(seen.Late) > maxFailureShare*float64(requests)
	if failing && now >= r.holdUntil {
		r.reduceTo = max(ramp*reduceFactor, m.ColdShare/4)
		r.holdUntil = now + time.Duration(holdShare*m.WarmMs)*time.Millisecond
	}
	reason := fmt.Sprintf("it returns: %.0f%% of its part", 100*ramp)
	switch {
	case r.reduceTo > 0:
		ramp, reason = r.reduceTo, fmt.Sprintf("%d of %d requests there failed or were late: it is given less", seen.Late, requests)
	case now < r.holdUntil:
		r.since = now
	case o.Hold:
		r.since, reason = now, "an operator holds it where it is"
	default:
		ramp += (1 - m.ColdShare) * ms(now-r.since) / m.WarmMs
	}
	if o.Pace > 0 && ramp > o.Pace {
		ramp, reason = o.Pace, "an operator paces it"
	}
	r.proposed, r.proposedAt = min(ramp, 1), now
	return r.proposed, reason
}

// lastFrom is the share of a site's return from which classes with Last get capacity there.
const lastFrom = 0.5

// lastShareFor returns the share of a returning site's capacity that classes with Last may use.
func lastShareFor(ramp float64) float64 { return min(max((ramp-lastFrom)/(1-lastFrom), 0), 1) }
