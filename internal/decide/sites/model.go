// Package sites decides what a fleet does about the loss of a whole site: what is known of each site (Judge), where
// each class of work goes and what is refused (Solve), how fast a site that comes back is given work again (Pace), and
// what all routers follow of that (Decider, Posture). It does no I/O and knows no clock: times are arguments,
// monotonic and of any origin, and equal inputs give equal outputs.
package sites

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Model is what the operators declare of a fleet's sites. The zero values of its settings stand for Defaults.
type Model struct {
	Sites   []Site  `toml:"site" json:"site"`
	Classes []Class `toml:"class" json:"class"`
	Links   []Link  `toml:"link,omitempty" json:"link,omitempty"`

	// Reserve is the part of the capacity that no plan gives away.
	Reserve float64 `toml:"reserve,omitzero" json:"reserve,omitzero"`
	// LostAfterMs is how long a site must be seen as dead by all who see it before it counts as lost, BackAfterMs how
	// long as alive before work returns to it. Each loss within FlapMs of the one before doubles the latter.
	LostAfterMs float64 `toml:"lost_after_ms,omitzero" json:"lost_after_ms,omitzero"`
	BackAfterMs float64 `toml:"back_after_ms,omitzero" json:"back_after_ms,omitzero"`
	FlapMs      float64 `toml:"flap_ms,omitzero" json:"flap_ms,omitzero"`
	// WarmMs is how long a cold site takes to carry its whole load, ColdShare the part that it bears at once.
	WarmMs    float64 `toml:"warm_ms,omitzero" json:"warm_ms,omitzero"`
	ColdShare float64 `toml:"cold_share,omitzero" json:"cold_share,omitzero"`
	// ReportMs is how often each router reports.
	ReportMs float64 `toml:"report_ms,omitzero" json:"report_ms,omitzero"`
}

// Site is one place with servers, routers and members of the store, any of which it may lack.
type Site struct {
	Name string `toml:"name" json:"name"`
	// Capacity is what its servers carry together when warm, in units of work a second.
	Capacity float64 `toml:"capacity" json:"capacity"`
	Servers  int     `toml:"servers,omitzero" json:"servers,omitzero"` // 0: not stated
	Routers  int     `toml:"routers,omitzero" json:"routers,omitzero"`
	Members  int     `toml:"members,omitzero" json:"members,omitzero"` // of the store
	// Demand is what comes to its routers at its worst hour, by class, in requests a second.
	Demand map[string]float64 `toml:"demand,omitempty" json:"demand,omitempty"`
	// Work is what a request of a class costs here, in units of work, where that differs from the class's own.
	Work map[string]float64 `toml:"work,omitempty" json:"work,omitempty"`
}

// Class is what the plan must know of a class of requests. Its name is one of chat.class.
type Class struct {
	Name string  `toml:"name" json:"name"`
	Work float64 `toml:"work,omitzero" json:"work,omitzero"` // units of work for a request; 0: 1
	// Worth is that of a unit of work; 0: that of the class in [chat].
	Worth float64 `toml:"worth,omitzero" json:"worth,omitzero"`
	// Floor is the part of its requests that is served as long as there is any capacity for it.
	Floor float64 `toml:"floor,omitzero" json:"floor,omitzero"`
	// Places are the sites whose servers may take it; none: all.
	Places []string `toml:"places,omitempty" json:"places,omitempty"`
	// Last has it return to a site only after the others: filings, whose failure costs most.
	Last bool `toml:"last,omitempty" json:"last,omitempty"`
}

// Link is a way from the routers of one site to the servers of another. Sites without a link reach each other at a
// cost of 1 and without a bound, unless links are named at all: then only those named exist.
type Link struct {
	From string  `toml:"from" json:"from"`
	To   string  `toml:"to" json:"to"`
	Cost float64 `toml:"cost,omitzero" json:"cost,omitzero"` // of a unit of work, against others; 0: 1
	Rate float64 `toml:"rate,omitzero" json:"rate,omitzero"` // units of work a second that it bears; 0: no bound
	Both bool    `toml:"both,omitempty" json:"both,omitempty"`
}

// Defaults are the settings that stand for those that a model does not state.
var Defaults = Model{Reserve: 0.05, LostAfterMs: 1000, BackAfterMs: 2000, FlapMs: 60_000, WarmMs: 6000, ColdShare: 0.2, ReportMs: 500}

// WithDefaults is the model with its defaults.
func (m Model) WithDefaults() Model {
	m.Sites, m.Classes, m.Links = slices.Clone(m.Sites), slices.Clone(m.Classes), slices.Clone(m.Links)
	m.Reserve = cmp.Or(m.Reserve, Defaults.Reserve)
	m.LostAfterMs, m.BackAfterMs = cmp.Or(m.LostAfterMs, Defaults.LostAfterMs), cmp.Or(m.BackAfterMs, Defaults.BackAfterMs)
	m.FlapMs, m.WarmMs = cmp.Or(m.FlapMs, Defaults.FlapMs), cmp.Or(m.WarmMs, Defaults.WarmMs)
	m.ColdShare, m.ReportMs = cmp.Or(m.ColdShare, Defaults.ColdShare), cmp.Or(m.ReportMs, Defaults.ReportMs)
	for i := range m.Classes {
		m.Classes[i].Work, m.Classes[i].Worth = cmp.Or(m.Classes[i].Work, 1), cmp.Or(m.Classes[i].Worth, 1)
	}
	for i := range m.Links {
		m.Links[i].Cost = cmp.Or(m.Links[i].Cost, 1)
	}
	return m
}

// The bounds of a model, so that a plan is soon made.
const (
	MaxSites   = 40
	MaxClasses = 40
)

// Check tells why a model can't be a plan's, naming the key; and what of it an operator should know.
func (m Model) Check() (warnings []string, err error) {
	m = m.WithDefaults()
	index := map[string]int{}
	for i, s := range m.Sites {
		key := fmt.Sprintf("sites.site[%d]", i)
		if _, twice := index[s.Name]; s.Name == "" || twice {
			return nil, fmt.Errorf("%s.name: %q is missing or there twice", key, s.Name)
		}
		index[s.Name] = i
		if !(s.Capacity >= 0) || math.IsInf(s.Capacity, 0) {
			return nil, fmt.Errorf("%s.capacity: %g, must not be negative", key, s.Capacity)
		}
		if s.Servers < 0 || s.Routers < 0 || s.Members < 0 {
			return nil, fmt.Errorf("%s: servers, routers and members must not be negative", key)
		}
	}
	switch {
	case len(m.Sites) < 2:
		return nil, fmt.Errorf("sites.site: at least two are needed")
	case len(m.Sites) > MaxSites:
		return nil, fmt.Errorf("sites.site: %d, at most %d", len(m.Sites), MaxSites)
	case len(m.Classes) == 0:
		return nil, fmt.Errorf("sites.class: at least one is needed")
	case len(m.Classes) > MaxClasses:
		return nil, fmt.Errorf("sites.class: %d, at most %d", len(m.Classes), MaxClasses)
	}
	if err := m.checkClasses(index); err != nil {
		return nil, err
	}
	for i, l := range m.Links {
		key := fmt.Sprintf("sites.link[%d]", i)
		for end, name := range map[string]string{"from": l.From, "to": l.To} {
			if _, known := index[name]; !known {
				return nil, fmt.Errorf("%s.%s: no site is named %q", key, end, name)
			}
		}
		if l.From == l.To || !(l.Cost >= 0) || !(l.Rate >= 0) || math.IsInf(l.Cost+l.Rate, 0) {
			return nil, fmt.Errorf("%s: it leads from a site to itself, or its cost or rate is negative", key)
		}
	}
	if err := m.checkSettings(); err != nil {
		return nil, err
	}
	return m.warn(), m.checkFloors()
}

func (m Model) checkClasses(index map[string]int) error {
	names := map[string]bool{}
	for i, c := range m.Classes {
		key := fmt.Sprintf("sites.class[%d]", i)
		switch {
		case c.Name == "" || names[c.Name]:
			return fmt.Errorf("%s.name: %q is missing or there twice", key, c.Name)
		case !(c.Work > 0) || math.IsInf(c.Work, 0):
			return fmt.Errorf("%s.work: %g, must be positive", key, c.Work)
		case !(c.Worth > 0) || math.IsInf(c.Worth, 0):
			return fmt.Errorf("%s.worth: %g, must be positive", key, c.Worth)
		case !(c.Floor >= 0 && c.Floor <= 1):
			return fmt.Errorf("%s.floor: %g, must be from 0 to 1", key, c.Floor)
		}
		names[c.Name] = true
		for _, place := range c.Places {
			if _, known := index[place]; !known {
				return fmt.Errorf("%s.places: no site is named %q", key, place)
			}
		}
	}
	for i, s := range m.Sites {
		for what, values := range map[string]map[string]float64{"demand": s.Demand, "work": s.Work} {
			for _, name := range slices.Sorted(maps.Keys(values)) {
				if v := values[name]; !names[name] || !(v >= 0) || math.IsInf(v, 0) || (what == "work" && v == 0) {
					return fmt.Errorf("sites.site[%d].%s.%s: %g; the class is not in sites.class, or the figure is none", i, what, name, v)
				}
			}
		}
	}
	return nil
}

func (m Model) checkSettings() error {
	for _, s := range []struct {
		key         string
		v, min, max float64
	}{{"reserve", m.Reserve, 0, 0.9}, {"lost_after_ms", m.LostAfterMs, 100, 600_000}, {"back_after_ms", m.BackAfterMs, 100, 600_000},
		{"flap_ms", m.FlapMs, 0, 86_400_000}, {"warm_ms", m.WarmMs, 1, 3_600_000}, {"cold_share", m.ColdShare, 0.01, 1}, {"report_ms", m.ReportMs, 50, 60_000}} {
		if !(s.v >= s.min && s.v <= s.max) {
			return fmt.Errorf("sites.%s: %g, must be from %g to %g", s.key, s.v, s.min, s.max)
		}
	}
	return nil
}

// checkFloors checks that the floors can be kept while all sites are up.
func (m Model) checkFloors() error {
	g := m.topology()
	s := m.Declared()
	p := Solve(m, s)
	for k, c := range m.Classes {
		if asked, served := p.totalDemand(k), p.Served(k); asked > 0 && served < c.Floor*asked*(1-1e-6) {
			return fmt.Errorf("sites.class[%d].floor: %g of %q can't be kept even with all sites up: %.4g of %.4g a second", k, c.Floor, c.Name, served, asked)
		}
		if len(c.Places) > 0 && !slices.ContainsFunc(g.allowed[k], func(yes bool) bool { return yes }) {
			return fmt.Errorf("sites.class[%d].places: none of them has capacity", k)
		}
	}
	return nil
}

// warn names what an operator should know before a loss tells it.
func (m Model) warn() (out []string) {
	members := 0
	for _, s := range m.Sites {
		members += s.Members
	}
	for _, s := range m.Sites {
		if members > 1 && 2*s.Members > members {
			out = append(out, fmt.Sprintf("site %q holds %d of %d members of the store: its loss takes the majority with it, and no verdict can be agreed on", s.Name, s.Members, members))
		}
	}
	for _, lost := range m.Sites {
		for k, c := range m.Classes {
			p := Solve(m, m.Declared().without(m, lost.Name))
			asked, served := p.totalDemand(k), p.Served(k)
			switch {
			case asked == 0:
			case served == 0:
				out = append(out, fmt.Sprintf("with site %q lost nothing of class %q can be served (places: %s)", lost.Name, c.Name, strings.Join(c.Places, ", ")))
			case served < c.Floor*asked*(1-1e-6):
				out = append(out, fmt.Sprintf("with site %q lost the floor of class %q can't be kept: %.3g of %.3g", lost.Name, c.Name, served/asked, c.Floor))
			}
		}
	}
	return out
}

// siteIndex is a siteIndex's place in the model, or -1.
func (m Model) siteIndex(name string) int {
	return slices.IndexFunc(m.Sites, func(s Site) bool { return s.Name == name })
}

// ClassIndex is a class's place in the model, or -1.
func (m Model) ClassIndex(name string) int {
	return slices.IndexFunc(m.Classes, func(c Class) bool { return c.Name == name })
}

// Declared is the situation that the model itself states: all up, with the demand of its worst hour.
func (m Model) Declared() Situation {
	s := Situation{Factor: make([]float64, len(m.Sites)), LastShare: make([]float64, len(m.Sites)), Demand: make([][]float64, len(m.Classes))}
	for i := range m.Sites {
		s.Factor[i], s.LastShare[i] = 1, 1
	}
	for k, c := range m.Classes {
		for _, site := range m.Sites {
			s.Demand[k] = append(s.Demand[k], site.Demand[c.Name])
		}
	}
	return s
}

// Situation is what a plan is made for. Its lists are by the model's sites and classes.
type Situation struct {
	Factor    []float64   // by site: the part of its capacity that there is
	LastShare []float64   // by site: the part of that which those classes may have that return last
	CutOff    []bool      // by site: no other site reaches it, nor does it reach others; nil: none
	Demand    [][]float64 // by class and the site whose routers it comes to, in requests a second
}

// Without is the situation with some sites lost, and their routers' clients at the others in equal parts.
func (s Situation) Without(m Model, names ...string) Situation {
	for _, name := range names {
		s = s.without(m, name)
	}
	return s
}

func (s Situation) without(m Model, name string) Situation {
	out := Situation{Factor: slices.Clone(s.Factor), LastShare: slices.Clone(s.LastShare), CutOff: slices.Clone(s.CutOff)}
	lost, remaining := m.siteIndex(name), 0
	for i := range out.Factor {
		if i != lost && out.Factor[i] > 0 {
			remaining++
		}
	}
	if lost >= 0 {
		out.Factor[lost] = 0
	}
	for k := range s.Demand {
		row := slices.Clone(s.Demand[k])
		if lost >= 0 && remaining > 0 {
			perSite := row[lost] / float64(remaining)
			row[lost] = 0
			for i := range row {
				if out.Factor[i] > 0 {
					row[i] += perSite
				}
			}
		}
		out.Demand = append(out.Demand, row)
	}
	return out
}
