package sites

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sumacloft/internal/decide/turn"
)

// Posture is what all routers follow: it stands in the store, and is written by a compare on the one before.
type Posture struct {
	Seq     int64              `json:"seq"`
	Version int64              `json:"version"` // of the policy whose model it was made by
	By      string             `json:"by"`
	Sites   map[string]Verdict `json:"sites"`
	Admit   map[string]Rows    `json:"admit,omitempty"` // by class and by the site of the routers; what is not named is taken whole
	Parts   map[string]Table   `json:"parts,omitempty"` // by class, by the site of the routers and by that of the servers
	Bearing map[string]float64 `json:"bearing"`         // by site: how its true capacity compares with the declared one
	How     string             `json:"how,omitempty"`
	Rev     int64              `json:"-"`
}

// Taken is the part of a class that the routers of a site take; without a posture all of it.
func (p *Posture) Taken(class, site string) float64 {
	if p != nil {
		if part, limited := p.Admit[class][site]; limited {
			return part
		}
	}
	return 1
}

// Rows and Table are figures by site, and by two sites.
type (
	Rows  map[string]float64
	Table map[string]Rows
)

// Fault is a rule that a decider breaks on purpose, so that checkers can be shown to find it.
type Fault string

// The faults.
const (
	NoPace   Fault = "no-pace"  // a site that returns is given its whole part at once
	Reversed Fault = "reversed" // what is worth most is refused first
)

// Decider comes to postures. Each router keeps one and steps it alike; whose turn it is writes.
type Decider struct {
	Me     string
	Broken Fault

	judge Judge
	heard turn.RevisionAges
	learned
	stepped time.Duration
	settled time.Duration // until then the times of answers are a change's
	due     turn.WriteDelay
	states  map[string]State
}

// View is what is known at one moment.
type View struct {
	Model   Model
	Version int64
	Last    *Posture // nil: there was none
	Orders  map[string]Orders
	Reports []Report // by whatever routers there are
}

const (
	// freshFor is for how many periods a report is believed.
	freshFor = 4
	// step is how much later each next router writes a posture that the one before it should have written.
	step = 250 * time.Millisecond
	// rise bounds by how much of a class more is taken with each period while something waits, riseQuiet while nothing
	// does; less is taken at once, and all as soon as there is room for it.
	rise, riseQuiet = 0.25, 0.5
	// settles is how long after a verdict the times of answers are the change's: sites don't count as bearing less by them.
	settles = 5 * time.Second
	// full is the part from which a class counts as taken whole.
	full = 0.995
)

// Next gives the posture that should take the place of the last, or nil while that may stand or another router's turn
// is before ours.
func (d *Decider) Next(v View, now time.Duration) *Posture {
	m := v.Model.Filled()
	fresh := d.fresh(v, m, now)
	var last Posture
	if v.Last != nil {
		last = *v.Last
	}
	next := Posture{Seq: last.Seq + 1, Version: v.Version, By: d.Me}
	next.Sites = d.judge.Step(m, last.Sites, v.Orders, fresh, now)
	if d.Broken == NoPace {
		for name, one := range next.Sites {
			if one.State == Returning {
				one.State, one.Ramp = Up, 1
				next.Sites[name] = one
			}
		}
	}
	d.note(next.Sites, now)
	d.learn(m, last, fresh, now)
	next.Bearing = d.bearing
	situation := d.situation(m, next.Sites)
	planned := m
	planned.Reserve = d.fit(m, situation)
	next.plan(planned, last, situation, d.rises(), d.Broken)
	if v.Last != nil && !differs(last, next) {
		d.due.Clear()
		return nil
	}
	if !d.due.Elapsed(d.rank(fresh), step, now) {
		return nil
	}
	return &next
}

// note remembers since when verdicts are what they are, whoever came to them.
func (d *Decider) note(verdicts map[string]Verdict, now time.Duration) {
	if d.states == nil {
		d.states = map[string]State{}
	}
	for name, v := range verdicts {
		if before := d.states[name]; before != "" && before != v.State {
			d.settled = now + settles
		}
		d.states[name] = v.State
	}
}

// fresh are the reports that were written anew not long ago, by this router's clock.
func (d *Decider) fresh(v View, m Model, now time.Duration) (out []Report) {
	for _, r := range v.Reports {
		if ms(d.heard.Age(r.Router, r.Rev, now)) <= freshFor*m.ReportMs {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Router, b.Router) })
	return out
}

// rank is a router's turn among those that report.
func (d *Decider) rank(fresh []Report) int {
	names := make([]string, len(fresh))
	for i, r := range fresh {
		names[i] = r.Router
	}
	return turn.Rank("sites", d.Me, names)
}

func (p Posture) refuses() bool { return len(p.Admit) > 0 }

// rises is by how much of a class more is taken at once.
func (d *Decider) rises() float64 {
	switch {
	case !d.tight && !d.crowded:
		return 1
	case d.quiet:
		return riseQuiet
	}
	return rise
}

// situation is what is to be planned for: the sites as judged, and what is asked now.
func (d *Decider) situation(m Model, verdicts map[string]Verdict) Situation {
	s := Situation{Cut: make([]bool, len(m.Sites))}
	for i, site := range m.Sites {
		v := verdicts[site.Name]
		factor := v.Ramp
		switch {
		case v.Kind == CutOff && v.State != Up:
			factor, s.Cut[i] = 1, true // its own routers go on
		case v.State == Lost:
			factor = 0
		}
		lates := 1.0
		if v.State == Returning {
			lates = late(v.Ramp)
		}
		s.Factor, s.Late = append(s.Factor, factor*(1-v.Gone)*cmp.Or(d.bearing[site.Name], 1)), append(s.Late, lates)
	}
	for _, c := range m.Classes {
		var row []float64
		for _, site := range m.Sites {
			row = append(row, d.demand[c.Name][site.Name])
		}
		s.Demand = append(s.Demand, row)
	}
	return s
}

// plan fills in where work goes and how much is taken.
func (p *Posture) plan(m Model, last Posture, s Situation, rise float64, broken Fault) {
	if broken == Reversed {
		m.Classes = slices.Clone(m.Classes)
		for k := range m.Classes {
			m.Classes[k].Worth, m.Classes[k].Floor = 1/cmp.Or(m.Classes[k].Worth, 1), 0
		}
	}
	calm := true
	for _, v := range p.Sites {
		calm = calm && v.State == Up && v.Kind != CutOff && v.Gone == 0
	}
	plan := Solve(m, s)
	p.How = plan.How
	for k, c := range m.Classes {
		for from, site := range m.Sites {
			admit := plan.Admit(k, from)
			admit = min(admit, last.Taken(c.Name, site.Name)+rise)
			if admit >= full {
				continue
			}
			if p.Admit == nil {
				p.Admit = map[string]Rows{}
			}
			if p.Admit[c.Name] == nil {
				p.Admit[c.Name] = Rows{}
			}
			p.Admit[c.Name][site.Name] = round(admit)
		}
	}
	if calm && len(p.Admit) == 0 {
		return // the module's own ways, as without a plan
	}
	p.Parts = map[string]Table{}
	for k, c := range m.Classes {
		p.Parts[c.Name] = Table{}
		for from, site := range m.Sites {
			row := Rows{}
			parts := plan.Parts(k, from)
			if slices.Max(parts) == 0 { // nothing is asked there just now, or nothing is taken: what comes goes where there is room
				parts = s.idle(m, k, from)
			}
			for to, other := range m.Sites {
				row[other.Name] = round(parts[to])
			}
			p.Parts[c.Name][site.Name] = row
		}
	}
}

// idle are the parts for a class that is not asked at a site: its own servers, or all that there are.
func (s Situation) idle(m Model, k, from int) []float64 {
	t := newTask(m, s)
	out := make([]float64, len(m.Sites))
	if t.way(k, from, from) {
		out[from] = 1
		return out
	}
	for to := range out {
		if t.way(k, from, to) {
			out[to] = t.room[to]
		}
	}
	if sum := total(out); sum > 0 {
		for to := range out {
			out[to] /= sum
		}
	}
	return out
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// matters is by how much a figure must differ before a posture is written for it alone.
const matters = 0.02

// differs tells whether a posture says something new.
func differs(a, b Posture) bool {
	if a.Version != b.Version || len(a.Sites) != len(b.Sites) || len(a.Parts) != len(b.Parts) || len(a.Admit) != len(b.Admit) {
		return true
	}
	for name, v := range b.Sites {
		w := a.Sites[name]
		if v.State != w.State || v.Kind != w.Kind || v.Losses != w.Losses || math.Abs(v.Ramp-w.Ramp) > matters || (v.Ramp == 1) != (w.Ramp == 1) || math.Abs(v.Gone-w.Gone) > matters {
			return true
		}
	}
	for class, rows := range b.Admit {
		if differ(a.Admit[class], rows, 1) {
			return true
		}
	}
	for class, table := range b.Parts {
		for from, rows := range table {
			if differ(a.Parts[class][from], rows, 0) {
				return true
			}
		}
	}
	return false
}

func differ(a, b Rows, absent float64) bool {
	for _, pair := range [][2]Rows{{a, b}, {b, a}} {
		for name, v := range pair[0] {
			w, there := pair[1][name]
			if !there {
				w = absent
			}
			if math.Abs(v-w) > matters || (v == 0) != (w == 0) {
				return true
			}
		}
	}
	return false
}
