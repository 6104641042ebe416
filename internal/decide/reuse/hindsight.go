package reuse

import (
	"slices"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts orders and releases of copies by what became of them. A copy that a request found was right, one that ended
// without was wrong, unless its server or region ended it or it never arrived: then its question fell away. A release after which
// the opening rests was wrong if it was asked for there within a lease, and right if not. Releases of what its region keeps by its
// own use are not asked about: it is asked for there by what they say.
type Hindsight struct {
	Copies   turn.Judged `json:"copies,omitzero"`
	Releases turn.Judged `json:"releases,omitzero"`
}

// recordUse notes a copy's first use.
func (s *State) recordUse(c *Copy) {
	if !c.Used {
		c.Used = true
		s.Hindsight.Copies.Settle(turn.Right)
	}
}

// settleCopy settles what a copy was for that ends, and tells whether its release is asked about: it was decided, and its opening rests.
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

// settleRelease settles the release that a rest is of, where that is asked about and has not been settled.
func (s *State) settleRelease(r *Cooldown, verdict turn.Verdict) {
	if r.Pending {
		r.Pending = false
		s.Hindsight.Releases.Settle(verdict)
	}
}

// settleReleases settles releases by whether their openings were used in their regions since; it tells whether any was. How long ago
// a use was is as old as its report, so uses shortly after a release are not taken for it: they may be from before.
func (s *State) settleReleases(m Model, u *usage) (any bool) {
	for i := range s.Cooldowns {
		r := &s.Cooldowns[i]
		if !r.Pending {
			continue
		}
		region := m.regionIndex(r.To)
		place, used := u.index.find(r.Prefix)
		switch {
		case used && region >= 0 && u.inRegion(&u.prefixes[place], region).idleMs+freshPeriods*m.ReportMs < r.SinceMs:
			s.settleRelease(r, turn.Wrong)
		case r.SinceMs >= m.LeaseMs:
			s.settleRelease(r, turn.Right)
		}
		any = any || !r.Pending
	}
	s.Cooldowns = slices.DeleteFunc(s.Cooldowns, func(r Cooldown) bool { return r.LeftMs <= 0 && !r.Pending })
	return any
}

// checkHindsight looks at the counts: they go on, and no more is open than copies that wait for a use and rests that are asked about.
func (a *Auditor) checkHindsight(s *State) {
	previous := Hindsight{}
	if a.last != nil {
		previous = a.last.Hindsight
	}
	for _, entry := range []struct {
		kind            string
		current, before turn.Judged
	}{{"copies", s.Hindsight.Copies, previous.Copies}, {"releases", s.Hindsight.Releases, previous.Releases}} {
		if bad := entry.current.Follows(entry.before); bad != "" {
			a.addViolation(s, "%s in hindsight: %s", entry.kind, bad)
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
		a.addViolation(s, "in hindsight %d copies and %d releases are open, %d copies wait for a use and %d releases are asked about", h.Copies.Open, h.Releases.Open, unused, pending)
	}
}
