package sites

import (
	"fmt"
	"time"
)

// State is what the fleet holds a site for.
type State string

// The states of a site.
const (
	Up        State = "up"
	Suspect   State = "suspect"   // seen as dead, not for long enough
	Lost      State = "lost"      // nothing goes there
	Returning State = "returning" // it is given work again a part at a time
)

// Kind tells what of a site is gone.
type Kind string

// The kinds of a loss.
const (
	None            Kind = ""
	PartlyReachable Kind = "half cut"     // some routers reach its servers, others don't: it is not lost
	CutOff          Kind = "cut off"      // its own routers reach its servers, no others do
	ServersDown     Kind = "servers gone" // its routers report, its servers answer nobody
	RoutersDown     Kind = "routers gone" // its servers answer, its routers don't report: it is not lost
	SiteDown        Kind = "whole gone"   // neither is heard
)

// Observation is what one router saw of one site's servers since its last report.
type Observation struct {
	Attempts int `json:"tried"`            // probes and attempts that ended
	Answered int `json:"ok"`               // of them answered, whatever the answer
	InTime   int `json:"in_time"`          // requests whose answer began within the aim
	Late     int `json:"late"`             // and those whose did not, or that failed
	Rejected int `json:"turned,omitempty"` // requests that the plan had room for and the router turned away
	Served   int `json:"served,omitempty"` // requests that were answered, in time or not
	Ready    int `json:"ready"`            // servers that the list has for it
	NoReply  int `json:"silent,omitempty"` // of Tried that ended without a word, for people
}

// Report is what one router says of the time since its last one.
type Report struct {
	Router       string                 `json:"router"`
	Boot         string                 `json:"boot"`
	Site         string                 `json:"site"`
	Observations map[string]Observation `json:"sees"`
	// Offered is what came to it, by class, in requests a second.
	Offered  map[string]float64 `json:"offered"`
	WindowMs float64            `json:"over_ms,omitempty"` // the time that it tells of; 0: one period
	Stopped  bool               `json:"stopped,omitempty"` // it ends, or did not run for a while: what it saw says nothing
	Rev      int64              `json:"-"`                 // the store's revision of the report
}

// Orders are what an operator has said of a site.
type Orders struct {
	Lose bool    `json:"lose,omitempty"` // it counts as lost whatever is seen
	Hold bool    `json:"hold,omitempty"` // it does not return, or returns no further
	Pace float64 `json:"pace,omitempty"` // it is given this part at most; 0: as it bears
}

// Verdict is what the fleet has agreed on about a site.
type Verdict struct {
	State        State   `json:"state"`
	Kind         Kind    `json:"kind,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Ramp         float64 `json:"ramp"`             // the part of its capacity that it is given
	Losses       int     `json:"losses,omitempty"` // within the time in which they count as flapping
	MissingShare float64 `json:"gone,omitempty"`   // of its servers that the list no longer has, as a part
}

// evidence is what all reports say of a site at one moment.
type evidence struct {
	dead   bool
	alive  bool
	kind   Kind
	reason string
	seen   Observation // summed over the routers that see it
	ready  int         // servers, as the router says that has the most
}

// assess reads the reports: those of the site's own routers apart from the others'. One router's word alone is not
// enough where more are there to be asked.
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
		// nobody looked
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

// siteHistory is what a judge remembers of a site.
type siteHistory struct {
	since     time.Duration // the evidence has been what it is
	dead      bool
	alive     bool
	kind      Kind
	kindSince time.Duration // the kind has been what it is
	lastLoss  time.Duration
	ramp      Ramp
}

// Detector comes to verdicts. Each router may keep one; what it remembers is its own, so one that begins anew waits for
// as long as any other before it says that a site is lost. Use its zero value with Step.
type Detector struct{ sites map[string]*siteHistory }

// Step gives the verdicts that follow from the reports, which must all be fresh, at a time.
func (j *Detector) Step(m Model, last map[string]Verdict, orders map[string]Orders, reports []Report, now time.Duration) map[string]Verdict {
	m = m.WithDefaults()
	if j.sites == nil {
		j.sites = map[string]*siteHistory{}
	}
	out := map[string]Verdict{}
	for _, s := range m.Sites {
		history := j.sites[s.Name]
		if history == nil {
			history = &siteHistory{since: now, lastLoss: now}
			j.sites[s.Name] = history
		}
		before, known := last[s.Name]
		if !known {
			before = Verdict{State: Up, Ramp: 1}
		}
		out[s.Name] = history.step(m, s, before, orders[s.Name], assess(s.Name, s.Routers, reports), now)
	}
	return out
}

// maxDoublings bounds how much longer a site that flaps must be seen alive.
const maxDoublings = 5

func (h *siteHistory) step(m Model, s Site, v Verdict, o Orders, e evidence, now time.Duration) Verdict {
	if !e.dead && !e.alive { // nobody has looked since: what was seen last stands
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
			// A site that starts again is seen by its own routers first. It is not cut off for that: they would give all that
			// comes to them to servers that are cold.
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
		case e.dead && stable >= m.LostAfterMs/2: // it was lost a moment ago: less is needed to say so again
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
