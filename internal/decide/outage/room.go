package outage

import (
	"cmp"
	"math"
)

// HeadroomLimit has the number of servers that may be out go with how much of the fleet is used, between two walls. Without Max
// the number is Workers.
type HeadroomLimit struct {
	// Min and Max are the walls: numbers from 1 on, or shares of all below 1. Min absent is one server; Zero lets the
	// number fall to none.
	Min  float64 `toml:"workers_min,omitzero"`
	Max  float64 `toml:"workers_max,omitzero"`
	Zero bool    `toml:"workers_none,omitempty"`
	// InHand is how many requests a server of weight 1 can have at once; Fill the part of that which may be used of the
	// servers that stay.
	InHand float64 `toml:"in_hand,omitzero"`
	Fill   float64 `toml:"fill,omitzero"`
	// RiseMs is for how long there must have been room for more before the number rises, in milliseconds.
	RiseMs float64 `toml:"rise_ms,omitzero"`
}

// FollowsHeadroom tells whether the number follows room.
func (f HeadroomLimit) FollowsHeadroom() bool { return f.Max > 0 }

func (f HeadroomLimit) withDefaults() HeadroomLimit {
	if f.FollowsHeadroom() {
		f.Fill, f.RiseMs = cmp.Or(f.Fill, 0.85), cmp.Or(f.RiseMs, 300_000)
	}
	return f
}

func (f HeadroomLimit) check() error {
	if !f.FollowsHeadroom() {
		if f != (HeadroomLimit{}) {
			return &ModelError{"workers_max", f.Max, "must be set for the number to follow room"}
		}
		return nil
	}
	for _, c := range []struct {
		key string
		v   float64
	}{{"workers_min", f.Min}, {"workers_max", f.Max}} {
		if c.v < 0 || math.IsNaN(c.v) || c.v > 1 && c.v != math.Trunc(c.v) {
			return &ModelError{c.key, c.v, "must be a whole number from 1, or a share below 1"}
		}
	}
	switch {
	case !(f.InHand > 0):
		return &ModelError{"in_hand", f.InHand, "must be positive where the number follows room"}
	case !(f.Fill >= 0 && f.Fill <= 1):
		return &ModelError{"fill", f.Fill, "must be from 0 to 1"}
	case !(f.RiseMs >= 0):
		return &ModelError{"rise_ms", f.RiseMs, "must not be negative"}
	}
	return nil
}

// bounds are between which numbers of n servers the budget lies.
func (f HeadroomLimit) bounds(n int) (least, most int) {
	most = limit(f.Max, n)
	least = min(max(limit(f.Min, n), 1), most)
	if f.Zero {
		least = min(limit(f.Min, n), most)
	}
	return least, most
}

// Headroom is the number that follows room, as agreed on.
type Headroom struct {
	Limit       int     `json:"most"`
	Utilization float64 `json:"used"` // the part of the fullest role's servers that was used when this was written
	// Rising tells that there is room for more, RiseMs for how long by the deciders' clocks, Low for how many at least
	// in that time.
	Rising      bool    `json:"rising,omitempty"`
	RiseMs      float64 `json:"rise_ms,omitempty"`
	LowestLimit int     `json:"low,omitempty"`
}

// utilization is the part that is utilization of what all servers of a role can take together, of the role that is fullest: what the
// reports say that routers have at its servers. Where that is more it is what routers have, also what waits for a server, of
// what all servers can take: in_hand that is too high is seen by what waits.
func (f fleetStatus) utilization(inHand float64) (most float64) {
	capacity, load := map[string]float64{}, map[string]float64{}
	open, all := 0, 0.0
	for _, r := range f.fresh {
		open += r.Open
	}
	for id, s := range f.servers {
		capacity[s.Role] += s.Weight * inHand
		all += s.Weight * inHand
		for _, r := range f.fresh {
			seen, _ := r.Observation(id)
			load[s.Role] += float64(seen.Busy)
		}
	}
	for role, total := range capacity {
		most = max(most, load[role]/total)
	}
	if all > 0 {
		most = max(most, float64(open)/all)
	}
	return most
}

// updateHeadroom has the number fall at once with the room there is, and rise once there was room for more all the time.
func (d *draft) updateHeadroom() {
	f := d.model.HeadroomLimit
	if !f.FollowsHeadroom() {
		d.Headroom = nil
		return
	}
	n := len(d.fleet.servers)
	least, ceiling := f.bounds(n)
	used := d.fleet.utilization(f.InHand)
	want := min(max(int(float64(n)*(1-used/f.Fill)), least), ceiling)
	if d.Headroom == nil {
		d.Headroom = &Headroom{Limit: least}
	}
	r := *d.Headroom
	if len(d.fleet.fresh) < d.liveRouters() { // what those have in hand that do not report is not known
		want = min(want, max(r.Limit, least))
	}
	switch {
	case d.broken == IgnoresBounds:
		want = int(float64(n) * (1 - used/f.Fill))
	case d.broken == RisesAtOnce && want > r.Limit:
		r.Rising, r.RiseMs, r.LowestLimit = true, f.RiseMs, want
	}
	switch {
	case want < r.Limit:
		d.note("%d servers may be out, not %d: %.0f%% of the fullest role is used", want, r.Limit, 100*used)
		r = Headroom{Limit: want}
	case want == r.Limit && r.Rising:
		d.note("there is no room for more than %d servers out", r.Limit)
		r = Headroom{Limit: r.Limit}
	case want > r.Limit && !r.Rising:
		d.note("there is room for %d servers out, %d may be", want, r.Limit)
		r.Rising, r.RiseMs, r.LowestLimit = true, 0, want
	case want > r.Limit && r.RiseMs >= f.RiseMs:
		most := min(r.LowestLimit, want)
		d.note("%d servers may be out, not %d: there was room for %.0f s", most, r.Limit, r.RiseMs/1000)
		r = Headroom{Limit: most}
	case want > r.Limit && want < r.LowestLimit:
		r.LowestLimit = want
		d.note("there is room for %d servers out", want)
	}
	r.Utilization = used
	d.Headroom = &r
}

// serverBound is how many of all servers may be out, as the model words bounds.
func (s *State) serverBound(m Model) float64 {
	if s.Headroom != nil && m.FollowsHeadroom() {
		return float64(s.Headroom.Limit)
	}
	return m.Workers
}

// countMatching counts what is countMatching, by permit or without, of those that a test names.
func (d *draft) countMatching(match func(k Kind, site, role string) bool) (n int) {
	for member, p := range d.Permits {
		if k, _ := Split(member); match(k, p.Site, p.Role) && (d.broken != CountsReleasesOnly || p.For != ByHand) {
			n++
		}
	}
	for member, l := range d.Lost {
		if k, _ := Split(member); match(k, l.Site, l.Role) && d.broken != CountsReleasesOnly {
			n++
		}
	}
	return n
}

// checkHeadroom looks at the number that follows checkHeadroom: it lies between the walls, and rises only after it was said to.
func (a *Auditor) checkHeadroom(s, before *State, m Model) {
	if s.Headroom == nil || !m.FollowsHeadroom() {
		return
	}
	least, most := m.HeadroomLimit.bounds(s.Budget.Servers)
	if s.Headroom.Limit < least || s.Headroom.Limit > most {
		a.report(s, "%d servers may be out, the walls are %d and %d", s.Headroom.Limit, least, most)
	}
	if previous := before.Headroom; previous != nil && s.Headroom.Limit > previous.Limit && !previous.Rising && before.Budget.Servers == s.Budget.Servers {
		a.report(s, "%d servers may be out after %d, and there was no time in which there was room", s.Headroom.Limit, previous.Limit)
	}
}
