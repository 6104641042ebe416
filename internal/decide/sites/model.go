// Package sites decides how a fleet of several sites handles the loss of a whole site: the state of each site
// (Detector), where each class of requests goes and what is refused (Solve), how fast a returning site gets load again
// (Ramp), and the decision that all routers follow (Decider, Decision). The package does no I/O and reads no clock.
// Times are arguments, monotonic with any origin. Equal inputs give equal outputs.
package sites

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Model is the operators' declaration of a fleet's sites. A setting of zero means its value in Defaults.
type Model struct {
	Sites   []Site  `toml:"site" json:"site"`
	Classes []Class `toml:"class" json:"class"`
	Links   []Link  `toml:"link,omitempty" json:"link,omitempty"`

	// Reserve is the share of the capacity that no plan uses.
	Reserve float64 `toml:"reserve,omitzero" json:"reserve,omitzero"`
	// LostAfterMs is how long every observer must see a site as dead before the site counts as lost. BackAfterMs is how
	// long a site must be seen as alive before it gets load again. Each loss within FlapMs of the previous one doubles
	// BackAfterMs.
	LostAfterMs float64 `toml:"lost_after_ms,omitzero" json:"lost_after_ms,omitzero"`
	BackAfterMs float64 `toml:"back_after_ms,omitzero" json:"back_after_ms,omitzero"`
	FlapMs      float64 `toml:"flap_ms,omitzero" json:"flap_ms,omitzero"`
	// WarmMs is how long a cold site takes until it can carry its full load. ColdShare is the share that it can carry
	// immediately.
	WarmMs    float64 `toml:"warm_ms,omitzero" json:"warm_ms,omitzero"`
	ColdShare float64 `toml:"cold_share,omitzero" json:"cold_share,omitzero"`
	// ReportMs is the interval at which each router writes a report.
	ReportMs float64 `toml:"report_ms,omitzero" json:"report_ms,omitzero"`
}

// Site is a location with servers, routers and members of the store. It may lack any of them.
type Site struct {
	Name string `toml:"name" json:"name"`
	// Capacity is what its servers can process together when warm, in units of work per second.
	Capacity float64 `toml:"capacity" json:"capacity"`
	Servers  int     `toml:"servers,omitzero" json:"servers,omitzero"` // 0: not declared
	Routers  int     `toml:"routers,omitzero" json:"routers,omitzero"`
	Members  int     `toml:"members,omitzero" json:"members,omitzero"` // replicas of the store
	// Demand is the peak demand at its routers by class, in requests per second.
	Demand map[string]float64 `toml:"demand,omitempty" json:"demand,omitempty"`
	// Work is the cost of a request by class at this site, in units of work, where it differs from Class.Work.
	Work map[string]float64 `toml:"work,omitempty" json:"work,omitempty"`
}

// Class is a class of requests as the plan sees it. Its name is one of chat.class.
type Class struct {
	Name string  `toml:"name" json:"name"`
	Work float64 `toml:"work,omitzero" json:"work,omitzero"` // units of work per request; 0: 1
	// Worth is the value of a unit of work. 0: the class's value in [chat].
	Worth float64 `toml:"worth,omitzero" json:"worth,omitzero"`
	// Floor is the share of the class's requests that is served while there is any capacity for it.
	Floor float64 `toml:"floor,omitzero" json:"floor,omitzero"`
	// Places lists the sites whose servers may process the class. Empty: all sites.
	Places []string `toml:"places,omitempty" json:"places,omitempty"`
	// Last makes the class return to a recovering site only after the other classes. It is meant for unsafe requests
	// such as filings, where a failure costs most.
	Last bool `toml:"last,omitempty" json:"last,omitempty"`
}

// Link is a path from the routers of one site to the servers of another. If a model lists no links, all sites reach
// each other at cost 1 and without a rate limit. If it lists any, only the listed links exist.
type Link struct {
	From string  `toml:"from" json:"from"`
	To   string  `toml:"to" json:"to"`
	Cost float64 `toml:"cost,omitzero" json:"cost,omitzero"` // per unit of work, relative to other links; 0: 1
	Rate float64 `toml:"rate,omitzero" json:"rate,omitzero"` // limit in units of work per second; 0: no limit
	Both bool    `toml:"both,omitempty" json:"both,omitempty"`
}

// Defaults holds the value of each setting that a model leaves at zero.
var Defaults = Model{Reserve: 0.05, LostAfterMs: 1000, BackAfterMs: 2000, FlapMs: 60_000, WarmMs: 6000, ColdShare: 0.2, ReportMs: 500}

// WithDefaults returns a copy of the model with all defaults filled in.
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

// These limits keep the time to solve a plan short.
const (
	MaxSites   = 40
	MaxClasses = 40
)

// Check returns an error that names the key if the model is invalid. It also returns warnings about losses that the
// model can't handle well.
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
					return fmt.Errorf("sites.site[%d].%s.%s: %g; the class is not in sites.class, or the value is not allowed", i, what, name, v)
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

// checkFloors checks that all floors can be kept while all sites are up.
func (m Model) checkFloors() error {
	g := m.topology()
	s := m.Declared()
	p := Solve(m, s)
	for k, c := range m.Classes {
		if demand, served := p.totalDemand(k), p.Served(k); demand > 0 && served < c.Floor*demand*(1-1e-6) {
			return fmt.Errorf("sites.class[%d].floor: %g of %q can't be kept even with all sites up: %.4g of %.4g a second", k, c.Floor, c.Name, served, demand)
		}
		if len(c.Places) > 0 && !slices.ContainsFunc(g.allowed[k], func(yes bool) bool { return yes }) {
			return fmt.Errorf("sites.class[%d].places: no listed site has capacity", k)
		}
	}
	return nil
}

// warn lists the weaknesses that a loss would expose: a site with most of the store's members, and classes that a loss
// leaves without service or below their floor.
func (m Model) warn() (out []string) {
	members := 0
	for _, s := range m.Sites {
		members += s.Members
	}
	for _, s := range m.Sites {
		if members > 1 && 2*s.Members > members {
			out = append(out, fmt.Sprintf("site %q holds %d of %d members of the store: losing it loses the majority, and no verdict can be agreed on", s.Name, s.Members, members))
		}
	}
	for _, lost := range m.Sites {
		for k, c := range m.Classes {
			p := Solve(m, m.Declared().without(m, lost.Name))
			demand, served := p.totalDemand(k), p.Served(k)
			switch {
			case demand == 0:
			case served == 0:
				out = append(out, fmt.Sprintf("with site %q lost nothing of class %q can be served (places: %s)", lost.Name, c.Name, strings.Join(c.Places, ", ")))
			case served < c.Floor*demand*(1-1e-6):
				out = append(out, fmt.Sprintf("with site %q lost the floor of class %q can't be kept: %.3g of %.3g", lost.Name, c.Name, served/demand, c.Floor))
			}
		}
	}
	return out
}

// siteIndex returns the index of a site in the model, or -1.
func (m Model) siteIndex(name string) int {
	return slices.IndexFunc(m.Sites, func(s Site) bool { return s.Name == name })
}

// ClassIndex returns the index of a class in the model, or -1.
func (m Model) ClassIndex(name string) int {
	return slices.IndexFunc(m.Classes, func(c Class) bool { return c.Name == name })
}

// Declared returns the situation that the model declares: all sites up, with the demand of their peak hour.
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

// Situation is the input of a plan. Its slices are indexed by the model's sites and classes.
type Situation struct {
	Factor    []float64   // by site: the share of its capacity that is available
	LastShare []float64   // by site: the share of the available capacity that classes with Last may use
	CutOff    []bool      // by site: it neither reaches other sites nor is reached by them; nil: none
	Demand    [][]float64 // by class and by the site of the routers, in requests per second
}

// Without returns the situation with some sites lost. The demand of a lost site moves to the remaining sites in equal
// parts.
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
