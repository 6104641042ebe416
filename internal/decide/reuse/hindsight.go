package reuse

import (
	"slices"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts orders and releases of copies by their outcome. A copy was right if a request found it and wrong if it ended
// unused. It is void if its server or region ended it, or if it never arrived. A release with a cool-down was wrong if the
// prefix was requested in that region within a lease, and right if not. Releases of prefixes that the region keeps through its
// own use are not counted, because requests for those are expected there.
type Hindsight struct {
	Copies   turn.VerdictCounts `json:"copies,omitzero"`
	Releases turn.VerdictCounts `json:"releases,omitzero"`
}

// recordUse records the first use of a copy.
func (s *State) recordUse(c *Copy) {
	if !c.Used {
		c.Used = true
		s.Hindsight.Copies.Settle(turn.Right)
	}
}

// settleCopy settles the outcome of a copy that ends. It reports whether its release is counted: it was a decision and starts a
// cool-down.
func (s *State) settleCopy(c Copy, cooldownMs float64, reason string) (pending bool) {
	decided := reason == reasonUnused || reason == reasonCrowded || reason == reasonNoBenefit
	if !c.Used && decided && c.Phase == Present {
		s.Hindsight.Copies.Settle(turn.Wrong)
	} else if !c.Used {
		s.Hindsight.Copies.Settle(turn.Void)
	}
	if pending = decided && cooldownMs > 0; pending {
		s.Hindsight.Releases.Begin()
	}
	return pending
}

// settleRelease settles the release behind a cool-down, if it is still pending.
func (s *State) settleRelease(r *Cooldown, verdict turn.Verdict) {
	if r.Pending {
		r.Pending = false
		s.Hindsight.Releases.Settle(verdict)
	}
}

// settleReleases settles releases by whether their prefixes were used in their regions since, and reports whether any was. The
// time of a use is only as exact as its report, so uses shortly after a release are ignored: they may precede it.
func (s *State) settleReleases(m Model, u *usage) (any bool) {
	for i := range s.Cooldowns {
		r := &s.Cooldowns[i]
		if !r.Pending {
			continue
		}
		region := m.regionIndex(r.To)
		position, used := u.index.find(r.Prefix)
		switch {
		case used && region >= 0 && u.inRegion(&u.prefixes[position], region).idleMs+freshPeriods*m.ReportMs < r.SinceMs:
			s.settleRelease(r, turn.Wrong)
		case r.SinceMs >= m.LeaseMs:
			s.settleRelease(r, turn.Right)
		}
		any = any || !r.Pending
	}
	s.Cooldowns = slices.DeleteFunc(s.Cooldowns, func(r Cooldown) bool { return r.LeftMs <= 0 && !r.Pending })
	return any
}

// checkHindsight checks that the counts continue those of the previous state, and that no more decisions are open than there are
// unused copies and pending cool-downs.
func (a *Auditor) checkHindsight(s *State) {
	previous := Hindsight{}
	if a.last != nil {
		previous = a.last.Hindsight
	}
	for _, entry := range []struct {
		kind            string
		current, before turn.VerdictCounts
	}{{"copies", s.Hindsight.Copies, previous.Copies}, {"releases", s.Hindsight.Releases, previous.Releases}} {
		if problem := entry.current.CheckAgainst(entry.before); problem != "" {
			a.addViolation(s, "hindsight of %s: %s", entry.kind, problem)
		}
	}
	unused, pending := int64(0), int64(0)
	for _, c := range s.Copies {
		if !c.Used {
			unused++
		}
	}
	for _, r := range s.Cooldowns {
		if r.Pending {
			pending++
		}
	}
	if h := s.Hindsight; h.Copies.Open > unused || h.Releases.Open > pending {
		a.addViolation(s, "hindsight has %d copies and %d releases open, but %d copies are unused and %d releases are pending",
			h.Copies.Open, h.Releases.Open, unused, pending)
	}
}
