package sites

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sumacloft/internal/decide/turn"
)

// Decision is the shared decision that all routers follow. It is kept in the store and replaced by a compare-and-swap
// on the previous one.
type Decision struct {
	Seq           int64                 `json:"seq"`
	Version       int64                 `json:"version"` // version of the policy that contains the model
	By            string                `json:"by"`
	Sites         map[string]Verdict    `json:"sites"`
	Admit         map[string]BySite     `json:"admit,omitempty"` // admitted share by class and by the site of the routers; absent: everything
	Shares        map[string]BySitePair `json:"parts,omitempty"` // share of the traffic by class, by the site of the routers and by the site of the servers
	CapacityRatio map[string]float64    `json:"bearing"`         // by site: estimated capacity relative to the declared one
	Method        string                `json:"how,omitempty"`
	Rev           int64                 `json:"-"`
}

// Admitted returns the share of a class that the routers of a site admit. Without a decision that is everything.
func (d *Decision) Admitted(class, site string) float64 {
	if d != nil {
		if share, limited := d.Admit[class][site]; limited {
			return share
		}
	}
	return 1
}

// BySite holds a value per site. BySitePair holds a value per pair of sites.
type (
	BySite     map[string]float64
	BySitePair map[string]BySite
)

// Fault is a deliberate violation of a rule, used to test that the checkers detect it.
type Fault string

// The faults that can be injected.
const (
	NoPace   Fault = "no-pace"  // a returning site gets its full share immediately
	Reversed Fault = "reversed" // the classes of the highest worth are refused first
)

// Decider computes decisions. Each router runs one with the same inputs. The router whose turn it is writes the result.
type Decider struct {
	Router string
	Fault  Fault

	detector  Detector
	freshness turn.RevisionAges
	estimates
	estimatedAt time.Duration
	settleUntil time.Duration // until then, response times reflect a recent change of a verdict
	due         turn.WriteDelay
	states      map[string]State
}

// View is the input of a decision.
type View struct {
	Model   Model
	Version int64
	Last    *Decision // nil: none yet
	Orders  map[string]Orders
	Reports []Report // from all routers
}

const (
	// freshPeriods is the number of report periods for which a report is valid.
	freshPeriods = 4
	// turnStep is the delay between turns: each router waits this much longer than the one ranked before it.
	turnStep = 250 * time.Millisecond
	// admissionRise bounds the increase of a class's admitted share per period while requests are queued,
	// admissionRiseIdle while none are. Decreases apply at once, and so do increases when there is neither overload nor
	// crowding.
	admissionRise, admissionRiseIdle = 0.25, 0.5
	// settleFor is the time after a change of a verdict in which late answers don't lower the estimated capacity of a
	// site. They are caused by the change.
	settleFor = 5 * time.Second
	// fullAdmission is the share from which a class counts as fully admitted.
	fullAdmission = 0.995
)

// Next returns the decision that should replace the last one. It returns nil if the last one is still valid or if it is
// another router's turn.
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
		d.due.Clear()
		return nil
	}
	if !d.due.Elapsed(d.rank(fresh), turnStep, now) {
		return nil
	}
	return &next
}

// recordStates notes when a verdict last changed, whichever router decided it.
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

// fresh returns the reports that were renewed recently by this router's clock, sorted by router.
func (d *Decider) fresh(v View, m Model, now time.Duration) (out []Report) {
	for _, r := range v.Reports {
		if ms(d.freshness.Age(r.Router, r.Rev, now)) <= freshPeriods*m.ReportMs {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Router, b.Router) })
	return out
}

// rank returns this router's position in the turn order of the reporting routers.
func (d *Decider) rank(fresh []Report) int {
	names := make([]string, len(fresh))
	for i, r := range fresh {
		names[i] = r.Router
	}
	return turn.Rank("sites", d.Router, names)
}

func (d Decision) limitsAdmission() bool { return len(d.Admit) > 0 }

// maxAdmissionRise returns the largest increase of an admitted share in one decision.
func (d *Decider) maxAdmissionRise() float64 {
	switch {
	case !d.overloaded && !d.crowded:
		return 1
	case d.idle:
		return admissionRiseIdle
	}
	return admissionRise
}

// situation returns the input of the plan: the sites by their verdicts, and the current demand.
func (d *Decider) situation(m Model, verdicts map[string]Verdict) Situation {
	s := Situation{CutOff: make([]bool, len(m.Sites))}
	for i, site := range m.Sites {
		v := verdicts[site.Name]
		factor := v.Ramp
		switch {
		case v.Kind == CutOff && v.State != Up:
			factor, s.CutOff[i] = 1, true // its own routers continue to use it
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

// fill sets the traffic shares, and the admitted shares where they are below 1.
func (d *Decision) fill(m Model, last Decision, s Situation, maxRise float64, fault Fault) {
	if fault == Reversed {
		m.Classes = slices.Clone(m.Classes)
		for k := range m.Classes {
			m.Classes[k].Worth, m.Classes[k].Floor = 1/cmp.Or(m.Classes[k].Worth, 1), 0
		}
	}
	steady := true
	for _, v := range d.Sites {
		steady = steady && v.State == Up && v.Kind != CutOff && v.MissingShare == 0
	}
	plan := Solve(m, s)
	d.Method = plan.Method
	for k, c := range m.Classes {
		for from, site := range m.Sites {
			admit := plan.Admit(k, from)
			admit = min(admit, last.Admitted(c.Name, site.Name)+maxRise)
			if admit >= fullAdmission {
				continue
			}
			if d.Admit == nil {
				d.Admit = map[string]BySite{}
			}
			if d.Admit[c.Name] == nil {
				d.Admit[c.Name] = BySite{}
			}
			d.Admit[c.Name][site.Name] = round(admit)
		}
	}
	if steady && len(d.Admit) == 0 {
		return // normal operation: without shares the routers choose servers as if there were no plan
	}
	d.Shares = map[string]BySitePair{}
	for k, c := range m.Classes {
		d.Shares[c.Name] = BySitePair{}
		for from, site := range m.Sites {
			row := BySite{}
			shares := plan.Shares(k, from)
			if slices.Max(shares) == 0 { // no demand or nothing admitted there: new requests go to any site with capacity
				shares = s.defaultShares(m, k, from)
			}
			for to, destination := range m.Sites {
				row[destination.Name] = round(shares[to])
			}
			d.Shares[c.Name][site.Name] = row
		}
	}
}

// defaultShares returns the traffic shares of a class without demand at a site: all to its own servers, or to all
// allowed sites by capacity.
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

// minChange is the smallest change of a value that justifies a new decision.
const minChange = 0.02

// differs reports whether decision b differs from a enough to be written.
func differs(a, b Decision) bool {
	if a.Version != b.Version || len(a.Sites) != len(b.Sites) || len(a.Shares) != len(b.Shares) || len(a.Admit) != len(b.Admit) {
		return true
	}
	for name, v := range b.Sites {
		w := a.Sites[name]
		if v.State != w.State || v.Kind != w.Kind || v.Losses != w.Losses || math.Abs(v.Ramp-w.Ramp) > minChange ||
			(v.Ramp == 1) != (w.Ramp == 1) || math.Abs(v.MissingShare-w.MissingShare) > minChange {
			return true
		}
	}
	for class, rows := range b.Admit {
		if sharesDiffer(a.Admit[class], rows, 1) {
			return true
		}
	}
	for class, table := range b.Shares {
		for from, rows := range table {
			if sharesDiffer(a.Shares[class][from], rows, 0) {
				return true
			}
		}
	}
	return false
}

func sharesDiffer(a, b BySite, absent float64) bool {
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
