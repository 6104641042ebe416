package sites

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sumacloft/internal/decide/turn"
)

// Decision is what all routers follow: it stands in the store, and is written by a compare on the one before.
type Decision struct {
	Seq           int64                 `json:"seq"`
	Version       int64                 `json:"version"` // of the policy whose model it was made by
	By            string                `json:"by"`
	Sites         map[string]Verdict    `json:"sites"`
	Admit         map[string]BySite     `json:"admit,omitempty"` // by class and by the site of the routers; what is not named is taken whole
	Shares        map[string]BySitePair `json:"parts,omitempty"` // by class, by the site of the routers and by that of the servers
	CapacityRatio map[string]float64    `json:"bearing"`         // by site: how its true capacity compares with the declared one
	Method        string                `json:"how,omitempty"`
	Rev           int64                 `json:"-"`
}

// Admitted is the part of a class that the routers of a site take; without a posture all of it.
func (p *Decision) Admitted(class, site string) float64 {
	if p != nil {
		if share, limited := p.Admit[class][site]; limited {
			return share
		}
	}
	return 1
}

// BySite and BySitePair are figures by site, and by two sites.
type (
	BySite     map[string]float64
	BySitePair map[string]BySite
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
	Router string
	Fault  Fault

	detector  Detector
	freshness turn.Stood
	estimates
	estimatedAt time.Duration
	settleUntil time.Duration // until then the times of answers are a change's
	due         turn.Due
	states      map[string]State
}

// View is what is known at one moment.
type View struct {
	Model   Model
	Version int64
	Last    *Decision // nil: there was none
	Orders  map[string]Orders
	Reports []Report // by whatever routers there are
}

const (
	// freshPeriods is for how many periods a report is believed.
	freshPeriods = 4
	// turnStep is how much later each next router writes a posture that the one before it should have written.
	turnStep = 250 * time.Millisecond
	// admissionRise bounds by how much of a class more is taken with each period while something waits, admissionRiseIdle while nothing
	// does; less is taken at once, and all as soon as there is room for it.
	admissionRise, admissionRiseIdle = 0.25, 0.5
	// settleFor is how long after a verdict the times of answers are the change's: sites don't count as bearing less by them.
	settleFor = 5 * time.Second
	// fullAdmission is the part from which a class counts as taken whole.
	fullAdmission = 0.995
)

// Next gives the posture that should take the place of the last, or nil while that may stand or another router's turn
// is before ours.
func (d *Decider) Next(v View, now time.Duration) *Decision {
	m := v.Model.WithDefaults()
	fresh := d.fresh(v, m, now)
	var last Decision
	if v.Last != nil {
		last = *v.Last
	}
	next := Decision{Seq: last.Seq + 1, Version: v.Version, By: d.Router}
	next.Sites = d.detector.Step(m, last.Sites, v.Orders, fresh, now)
	if d.Fault == NoPace {
		for name, verdict := range next.Sites {
			if verdict.State == Returning {
				verdict.State, verdict.Ramp = Up, 1
				next.Sites[name] = verdict
			}
		}
	}
	d.recordStates(next.Sites, now)
	d.updateEstimates(m, last, fresh, now)
	next.CapacityRatio = d.capacityRatio
	situation := d.situation(m, next.Sites)
	adjusted := m
	adjusted.Reserve = d.fitCapacity(m, situation)
	next.fill(adjusted, last, situation, d.maxAdmissionRise(), d.Fault)
	if v.Last != nil && !differs(last, next) {
		d.due.Over()
		return nil
	}
	if !d.due.Now(d.rank(fresh), turnStep, now) {
		return nil
	}
	return &next
}

// recordStates remembers since when verdicts are what they are, whoever came to them.
func (d *Decider) recordStates(verdicts map[string]Verdict, now time.Duration) {
	if d.states == nil {
		d.states = map[string]State{}
	}
	for name, v := range verdicts {
		if before := d.states[name]; before != "" && before != v.State {
			d.settleUntil = now + settleFor
		}
		d.states[name] = v.State
	}
}

// fresh are the reports that were written anew not long ago, by this router's clock.
func (d *Decider) fresh(v View, m Model, now time.Duration) (out []Report) {
	for _, r := range v.Reports {
		if ms(d.freshness.For(r.Router, r.Rev, now)) <= freshPeriods*m.ReportMs {
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
	return turn.Rank("sites", d.Router, names)
}

func (p Decision) limitsAdmission() bool { return len(p.Admit) > 0 }

// maxAdmissionRise is by how much of a class more is taken at once.
func (d *Decider) maxAdmissionRise() float64 {
	switch {
	case !d.overloaded && !d.crowded:
		return 1
	case d.idle:
		return admissionRiseIdle
	}
	return admissionRise
}

// situation is what is to be planned for: the sites as judged, and what is asked now.
func (d *Decider) situation(m Model, verdicts map[string]Verdict) Situation {
	s := Situation{CutOff: make([]bool, len(m.Sites))}
	for i, site := range m.Sites {
		v := verdicts[site.Name]
		factor := v.Ramp
		switch {
		case v.Kind == CutOff && v.State != Up:
			factor, s.CutOff[i] = 1, true // its own routers go on
		case v.State == Lost:
			factor = 0
		}
		lastShare := 1.0
		if v.State == Returning {
			lastShare = lastShareFor(v.Ramp)
		}
		s.Factor, s.LastShare = append(s.Factor, factor*(1-v.MissingShare)*cmp.Or(d.capacityRatio[site.Name], 1)), append(s.LastShare, lastShare)
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

// fill fills in where work goes and how much is taken.
func (p *Decision) fill(m Model, last Decision, s Situation, maxRise float64, fault Fault) {
	if fault == Reversed {
		m.Classes = slices.Clone(m.Classes)
		for k := range m.Classes {
			m.Classes[k].Worth, m.Classes[k].Floor = 1/cmp.Or(m.Classes[k].Worth, 1), 0
		}
	}
	steady := true
	for _, v := range p.Sites {
		steady = steady && v.State == Up && v.Kind != CutOff && v.MissingShare == 0
	}
	plan := Solve(m, s)
	p.Method = plan.Method
	for k, c := range m.Classes {
		for from, site := range m.Sites {
			admit := plan.Admit(k, from)
			admit = min(admit, last.Admitted(c.Name, site.Name)+maxRise)
			if admit >= fullAdmission {
				continue
			}
			if p.Admit == nil {
				p.Admit = map[string]BySite{}
			}
			if p.Admit[c.Name] == nil {
				p.Admit[c.Name] = BySite{}
			}
			p.Admit[c.Name][site.Name] = round(admit)
		}
	}
	if steady && len(p.Admit) == 0 {
		return // the module's own ways, as without a plan
	}
	p.Shares = map[string]BySitePair{}
	for k, c := range m.Classes {
		p.Shares[c.Name] = BySitePair{}
		for from, site := range m.Sites {
			row := BySite{}
			shares := plan.Shares(k, from)
			if slices.Max(shares) == 0 { // nothing is asked there just now, or nothing is taken: what comes goes where there is room
				shares = s.defaultShares(m, k, from)
			}
			for to, destination := range m.Sites {
				row[destination.Name] = round(shares[to])
			}
			p.Shares[c.Name][site.Name] = row
		}
	}
}

// defaultShares are the parts for a class that is not asked at a site: its own servers, or all that there are.
func (s Situation) defaultShares(m Model, k, from int) []float64 {
	t := newTransport(m, s)
	out := make([]float64, len(m.Sites))
	if t.allows(k, from, from) {
		out[from] = 1
		return out
	}
	for to := range out {
		if t.allows(k, from, to) {
			out[to] = t.capacity[to]
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

// minChange is by how much a figure must differ before a posture is written for it alone.
const minChange = 0.02

// differs tells whether a posture says something new.
func differs(a, b Decision) bool {
	if a.Version != b.Version || len(a.Sites) != len(b.Sites) || len(a.Shares) != len(b.Shares) || len(a.Admit) != len(b.Admit) {
		return true
	}
	for name, v := range b.Sites {
		w := a.Sites[name]
		if v.State != w.State || v.Kind != w.Kind || v.Losses != w.Losses || math.Abs(v.Ramp-w.Ramp) > minChange || (v.Ramp == 1) != (w.Ramp == 1) || math.Abs(v.MissingShare-w.MissingShare) > minChange {
			return true
		}
	}
	for class, rows := range b.Admit {
		if figuresDiffer(a.Admit[class], rows, 1) {
			return true
		}
	}
	for class, table := range b.Shares {
		for from, rows := range table {
			if figuresDiffer(a.Shares[class][from], rows, 0) {
				return true
			}
		}
	}
	return false
}

func figuresDiffer(a, b BySite, absent float64) bool {
	for _, pair := range [][2]BySite{{a, b}, {b, a}} {
		for name, v := range pair[0] {
			w, present := pair[1][name]
			if !present {
				w = absent
			}
			if math.Abs(v-w) > minChange || (v == 0) != (w == 0) {
				return true
			}
		}
	}
	return false
}
