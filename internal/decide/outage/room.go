package outage

import (
	"cmp"
	"math"
)

// HeadroomLimit derives the number of servers that may be out from the fleet's unused capacity, between two bounds.
// Without Max the number is Model.Workers.
type HeadroomLimit struct {
	// Min and Max are the bounds: numbers from 1, or shares of all below 1. Min defaults to one server; Zero allows the
	// limit to fall to none.
	Min  float64 `toml:"workers_min,omitzero"`
	Max  float64 `toml:"workers_max,omitzero"`
	Zero bool    `toml:"workers_none,omitempty"`
	// InHand is the number of concurrent requests that a server of weight 1 can take. Fill is the share of that which
	// the remaining servers may use.
	InHand float64 `toml:"in_hand,omitzero"`
	Fill   float64 `toml:"fill,omitzero"`
	// RiseMs is how long there must have been headroom for more servers out before the limit rises, in milliseconds.
	RiseMs float64 `toml:"rise_ms,omitzero"`
}

// FollowsHeadroom reports whether the limit follows headroom.
func (h HeadroomLimit) FollowsHeadroom() bool { return h.Max > 0 }

func (h HeadroomLimit) withDefaults() HeadroomLimit {
	if h.FollowsHeadroom() {
		h.Fill, h.RiseMs = cmp.Or(h.Fill, 0.85), cmp.Or(h.RiseMs, 300_000)
	}
	return h
}

func (h HeadroomLimit) check() error {
	if !h.FollowsHeadroom() {
		if h != (HeadroomLimit{}) {
			return &ModelError{"workers_max", h.Max, "must be set for the limit to follow headroom"}
		}
		return nil
	}
	for _, c := range []struct {
		key string
		v   float64
	}{{"workers_min", h.Min}, {"workers_max", h.Max}} {
		if c.v < 0 || math.IsNaN(c.v) || c.v > 1 && c.v != math.Trunc(c.v) {
			return &ModelError{c.key, c.v, "must be a whole number from 1, or a share below 1"}
		}
	}
	switch {
	case !(h.InHand > 0):
		return &ModelError{"in_hand", h.InHand, "must be positive where the limit follows headroom"}
	case !(h.Fill >= 0 && h.Fill <= 1):
		return &ModelError{"fill", h.Fill, "must be from 0 to 1"}
	case !(h.RiseMs >= 0):
		return &ModelError{"rise_ms", h.RiseMs, "must not be negative"}
	}
	return nil
}

// bounds returns the bounds of the limit for n servers.
func (h HeadroomLimit) bounds(n int) (lowest, highest int) {
	highest = limit(h.Max, n)
	lowest = min(max(limit(h.Min, n), 1), highest)
	if h.Zero {
		lowest = min(limit(h.Min, n), highest)
	}
	return lowest, highest
}

// Headroom is the agreed limit on servers out that follows headroom.
type Headroom struct {
	Limit       int     `json:"most"`
	Utilization float64 `json:"used"` // of the busiest role's servers, when this was written
	// Rising is set while there is headroom for more servers out, RiseMs is for how long by the deciders' clocks, and
	// LowestLimit is the lowest limit that there was headroom for in that time.
	Rising      bool    `json:"rising,omitempty"`
	RiseMs      float64 `json:"rise_ms,omitempty"`
	LowestLimit int     `json:"low,omitempty"`
}

// utilization returns the used share of a role's capacity, for the busiest role, by the requests that routers report at
// its servers. If it is higher, it returns the share of the whole fleet's capacity used by all requests that routers
// hold, including queued ones. That reveals an in_hand that is set too high, by the queue.
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
			observation, _ := r.Observation(id)
			load[s.Role] += float64(observation.Busy)
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

// updateHeadroom lowers the limit at once when headroom shrinks, and raises it once there was headroom for rise_ms.
func (d *draft) updateHeadroom() {
	h := d.model.HeadroomLimit
	if !h.FollowsHeadroom() {
		d.Headroom = nil
		return
	}
	n := len(d.fleet.servers)
	lowest, highest := h.bounds(n)
	used := d.fleet.utilization(h.InHand)
	want := min(max(int(float64(n)*(1-used/h.Fill)), lowest), highest)
	if d.Headroom == nil {
		d.Headroom = &Headroom{Limit: lowest}
	}
	r := *d.Headroom
	if len(d.fleet.fresh) < d.liveRouters() { // the load of routers that do not report is unknown
		want = min(want, max(r.Limit, lowest))
	}
	switch {
	case d.broken == IgnoresBounds:
		want = int(float64(n) * (1 - used/h.Fill))
	case d.broken == RisesAtOnce && want > r.Limit:
		r.Rising, r.RiseMs, r.LowestLimit = true, h.RiseMs, want
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
	case want > r.Limit && r.RiseMs >= h.RiseMs:
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

// serverBound returns the bound on servers out, in the form of the model's bounds.
func (s *State) serverBound(m Model) float64 {
	if s.Headroom != nil && m.FollowsHeadroom() {
		return float64(s.Headroom.Limit)
	}
	return m.Workers
}

// countMatching counts the members out that match, with a permit or without.
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

// checkHeadroom checks that the headroom limit stays within its bounds and rises only after an announced delay.
func (a *Auditor) checkHeadroom(s, before *State, m Model) {
	if s.Headroom == nil || !m.FollowsHeadroom() {
		return
	}
	lowest, highest := m.HeadroomLimit.bounds(s.Budget.Servers)
	if s.Headroom.Limit < lowest || s.Headroom.Limit > highest {
		a.report(s, "%d servers may be out, the bounds are %d and %d", s.Headroom.Limit, lowest, highest)
	}
	if previous := before.Headroom; previous != nil && s.Headroom.Limit > previous.Limit && !previous.Rising && before.Budget.Servers == s.Budget.Servers {
		a.report(s, "%d servers may be out after %d, without a period of sufficient headroom before", s.Headroom.Limit, previous.Limit)
	}
}
