package sites

import (
	"fmt"
	"time"
)

// State is a site's state as the fleet has agreed on it.
type State string

// The states of a site.
const (
	Up        State = "up"
	Suspect   State = "suspect"   // seen as dead, but not for long enough yet
	Lost      State = "lost"      // gets no traffic
	Returning State = "returning" // gets traffic again in growing shares
)

// Kind is which part of a site is unavailable, and to whom.
type Kind string

// The kinds of a loss.
const (
	None            Kind = ""
	PartlyReachable Kind = "half cut"     // some other routers reach its servers, others don't; the site is not lost
	CutOff          Kind = "cut off"      // only its own routers reach its servers
	ServersDown     Kind = "servers gone" // its routers report, its servers don't answer
	RoutersDown     Kind = "routers gone" // its servers answer, its routers don't report; the site is not lost
	SiteDown        Kind = "whole gone"   // neither its routers report nor its servers answer
)

// Observation is what one router observed of one site's servers since its last report.
type Observation struct {
	Attempts int `json:"tried"`            // probes and attempts that ended
	Answered int `json:"ok"`               // those that were answered, with any status
	InTime   int `json:"in_time"`          // requests whose answer began within the aim
	Late     int `json:"late"`             // requests that failed or whose answer began later
	Rejected int `json:"turned,omitempty"` // requests that the plan admitted and the router rejected
	Served   int `json:"served,omitempty"` // requests that were answered, in time or late
	Ready    int `json:"ready"`            // servers of the site in the router's list
	NoReply  int `json:"silent,omitempty"` // attempts that ended without any answer; for operators only
}

// Report is what one router observed since its last report.
type Report struct {
	Router       string                 `json:"router"`
	Boot         string                 `json:"boot"`
	Site         string                 `json:"site"`
	Observations map[string]Observation `json:"sees"`
	// Offered is the demand at the router by class, in requests per second.
	Offered  map[string]float64 `json:"offered"`
	WindowMs float64            `json:"over_ms,omitempty"` // length of the reported time; 0: one period
	Stopped  bool               `json:"stopped,omitempty"` // the router shuts down or was suspended; its observations don't count
	Rev      int64              `json:"-"`                 // the store's revision of the report
}

// Orders are an operator's orders for a site.
type Orders struct {
	Lose bool    `json:"lose,omitempty"` // the site counts as lost, whatever the reports say
	Hold bool    `json:"hold,omitempty"` // it does not return, or its share does not grow
	Pace float64 `json:"pace,omitempty"` // upper bound of its share while it returns; 0: none
}

// Verdict is what the fleet has agreed on about a site.
type Verdict struct {
	State        State   `json:"state"`
	Kind         Kind    `json:"kind,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Ramp         float64 `json:"ramp"`             // share of its capacity that it gets
	Losses       int     `json:"losses,omitempty"` // recent losses, which count as flapping
	MissingShare float64 `json:"gone,omitempty"`   // share of its servers that are missing from the list
}

// evidence is the combined content of all reports on a site at one moment.
type evidence struct {
	dead   bool
	alive  bool
	kind   Kind
	reason string
	seen   Observation // sum over the routers that observe it
	ready  int         // servers, the maximum over the routers
}

// assess combines the reports. It separates those of the site's own routers from the others. A site that any other
// router reaches is alive: if several observe it, one that misses it is not enough. The site's own routers decide only
// if no other router observes it.
func assess(site string, routers int, reports []Report) evidence {
	var e evidence
	own, ownReached, others, reached, missed := 0, 0, 0, 0, 0
	for _, r := range reports {
		seen, observed := r.Observations[site]
		if r.Stopped {
			continue
		}
		if r.Site == site {
			own++
		}
		if !observed || seen.Attempts == 0 {
			continue
		}
		e.seen.Attempts, e.seen.Answered = e.seen.Attempts+seen.Attempts, e.seen.Answered+seen.Answered
		e.seen.InTime, e.seen.Late = e.seen.InTime+seen.InTime, e.seen.Late+seen.Late
		e.ready = max(e.ready, seen.Ready)
		switch {
		case r.Site == site && seen.Answered > 0:
			ownReached++
		case r.Site == site:
		case seen.Answered > 0:
			others++
			reached++
		default:
			others++
			missed++
		}
	}
	routersDown := routers > 0 && own == 0
	switch {
	case reached > 0 && missed > 0:
		e.alive, e.kind = true, PartlyReachable
	case reached > 0 && routersDown:
		e.alive, e.kind = true, RoutersDown
	case reached > 0 || (others == 0 && ownReached > 0):
		e.alive = true
	case missed == 0 && ownReached == 0 && own == 0:
		// no router observed the site
	case missed > 0 && ownReached > 0:
		e.dead, e.kind = true, CutOff
	case missed > 0 && routersDown:
		e.dead, e.kind = true, SiteDown
	case missed > 0 || own > 0:
		e.dead, e.kind = true, ServersDown
	}
	e.reason = fmt.Sprintf("%d of %d routers elsewhere reach it, %d of its own", reached, others, ownReached)
	return e
}

// siteHistory is what a detector remembers of a site.
type siteHistory struct {
	since     time.Duration // start of the current evidence
	dead      bool
	alive     bool
	kind      Kind
	kindSince time.Duration // start of the current kind
	lastLoss  time.Duration
	ramp      Ramp
}

// Detector computes the verdicts on all sites. Each router may run one with its own history. One that has just started
// therefore waits as long as any other before it declares a site lost. The zero value is ready for use.
type Detector struct{ sites map[string]*siteHistory }

// Step returns the verdicts at a time. All reports must be fresh.
func (d *Detector) Step(m Model, last map[string]Verdict, orders map[string]Orders, reports []Report, now time.Duration) map[string]Verdict {
	m = m.WithDefaults()
	if d.sites == nil {
		d.sites = map[string]*siteHistory{}
	}
	out := map[string]Verdict{}
	for _, s := range m.Sites {
		history := d.sites[s.Name]
		if history == nil {
			history = &siteHistory{since: now, lastLoss: now}
			d.sites[s.Name] = history
		}
		before, known := last[s.Name]
		if !known {
			before = Verdict{State: Up, Ramp: 1}
		}
		out[s.Name] = history.step(m, s, before, orders[s.Name], assess(s.Name, s.Routers, reports), now)
	}
	return out
}

// maxDoublings bounds how often flapping doubles BackAfterMs.
const maxDoublings = 5

func (h *siteHistory) step(m Model, s Site, v Verdict, o Orders, e evidence, now time.Duration) Verdict {
	if !e.dead && !e.alive { // no new observation: the last evidence remains valid
		e.dead, e.alive, e.kind, e.reason = h.dead, h.alive, v.Kind, v.Reason
	}
	if e.dead != h.dead || e.alive != h.alive {
		h.dead, h.alive, h.since = e.dead, e.alive, now
	}
	if e.kind != h.kind {
		h.kind, h.kindSince = e.kind, now
	}
	stable := ms(now - h.since)
	if v.State == Lost {
		h.lastLoss = now
	}
	if v.Losses > 0 && v.State == Up && ms(now-h.lastLoss) > m.FlapMs {
		v.Losses = 0
	}
	declareLost := func(kind Kind, reason string) Verdict {
		if v.State != Lost {
			v.Losses, h.lastLoss = v.Losses+1, now
		}
		return Verdict{State: Lost, Kind: kind, Reason: reason, Losses: v.Losses}
	}
	if o.Lose {
		return declareLost(v.Kind, "an operator has declared it lost")
	}
	if s.Servers > 0 && e.ready > 0 {
		v.MissingShare = max(1-float64(e.ready)/float64(s.Servers), 0)
	}
	switch v.State {
	case Lost:
		backAfter := m.BackAfterMs * float64(int(1)<<min(max(v.Losses-1, 0), maxDoublings))
		switch {
		case e.dead && e.kind == CutOff && ms(now-h.kindSince) < m.LostAfterMs:
			// A restarting site is seen by its own routers first. It must not count as cut off then, or its own routers
			// would send all their traffic to cold servers.
			v.Reason = e.reason
		case e.dead:
			v.Kind, v.Reason = e.kind, e.reason
		case e.alive && stable >= backAfter && !o.Hold:
			h.ramp = Ramp{}
			v.State, v.Kind, v.Ramp = Returning, e.kind, h.ramp.Initial(m)
			v.Reason = fmt.Sprintf("%s for %.1f s", e.reason, stable/1000)
		}
	case Returning:
		switch {
		case e.dead && stable >= m.LostAfterMs/2: // it was lost recently, so half the time is enough
			return declareLost(e.kind, e.reason)
		case e.dead:
			v.Reason = e.reason
		default:
			v.Kind = e.kind
			v.Ramp, v.Reason = h.ramp.Next(m, v.Ramp, e.seen, o, now)
			if v.Ramp >= 1 {
				v.State, v.Ramp, v.Reason = Up, 1, "it carries its whole part again"
			}
		}
	default:
		switch {
		case e.dead && stable >= m.LostAfterMs:
			return declareLost(e.kind, e.reason)
		case e.dead:
			v.State, v.Kind, v.Reason = Suspect, e.kind, e.reason
		case e.alive:
			v.State, v.Kind, v.Ramp = Up, e.kind, 1
			if v.Kind == None {
				v.Reason = ""
			} else {
				v.Reason = e.reason
			}
		}
	}
	return v
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
