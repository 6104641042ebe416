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
	Copies   turn.VerdictCounts `json:"copies,omitzero"`
	Releases turn.VerdictCounts `json:"releases,omitzero"`
}

// found notes a copy's first use.
func (s *State) found(c *Copy) {
	if !c.Used {
		c.Used = true
		s.Hindsight.Copies.Settle(turn.Right)
	}
}

// let settles what a copy was for that ends, and tells whether its release is asked about: it was decided, and its opening rests.
func (s *State) let(c Copy, restMs float64, why string) (asked bool) {
	decided := why == unused || why == crowded || why == enough
	if !c.Used && decided && c.Phase == Here {
		s.Hindsight.Copies.Settle(turn.Wrong)
	} else if !c.Used {
		s.Hindsight.Copies.Settle(turn.Void)
	}
	if asked = decided && restMs > 0; asked {
		s.Hindsight.Releases.Begin()
	}
	return asked
}

// over settles the release that a rest is of, where that is asked about and has not been settled.
func (s *State) over(r *Rest, v turn.Verdict) {
	if r.Asked {
		r.Asked = false
		s.Hindsight.Releases.Settle(v)
	}
}

// again settles releases by whether their openings were used in their regions since; it tells whether any was. How long ago
// a use was is as old as its report, so uses shortly after a release are not taken for it: they may be from before.
func (s *State) again(m Model, u *usage) (any bool) {
	for i := range s.Rests {
		r := &s.Rests[i]
		if !r.Asked {
			continue
		}
		to := m.region(r.To)
		at, used := u.at.find(r.Prefix)
		switch {
		case used && to >= 0 && u.in(&u.list[at], to).idleMs+freshFor*m.ReportMs < r.SinceMs:
			s.over(r, turn.Wrong)
		case r.SinceMs >= m.LeaseMs:
			s.over(r, turn.Right)
		}
		any = any || !r.Asked
	}
	s.Rests = slices.DeleteFunc(s.Rests, func(r Rest) bool { return r.LeftMs <= 0 && !r.Asked })
	return any
}

// hindsight looks at the counts: they go on, and no more is open than copies that wait for a use and rests that are asked about.
func (a *Auditor) hindsight(s *State) {
	was := Hindsight{}
	if a.last != nil {
		was = a.last.Hindsight
	}
	for _, one := range []struct {
		what   string
		is, on turn.VerdictCounts
	}{{"copies", s.Hindsight.Copies, was.Copies}, {"releases", s.Hindsight.Releases, was.Releases}} {
		if bad := one.is.CheckAgainst(one.on); bad != "" {
			a.fault(s, "%s in hindsight: %s", one.what, bad)
		}
	}
	wait, asked := int64(0), int64(0)
	for _, c := range s.Copies {
		if !c.Used {
			wait++
		}
	}
	for _, r := range s.Rests {
		if r.Asked {
			asked++
		}
	}
	if h := s.Hindsight; h.Copies.Open > wait || h.Releases.Open > asked {
		a.fault(s, "in hindsight %d copies and %d releases are open, %d copies wait for a use and %d releases are asked about", h.Copies.Open, h.Releases.Open, wait, asked)
	}
}
