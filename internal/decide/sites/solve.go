package sites

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Plan says where each class goes in a situation, and what is refused.
type Plan struct {
	// Flow is by class, by the site whose routers take it and by the site whose servers do, in requests a second.
	Flow [][][]float64
	// Demand is what was asked, by class and site.
	Demand [][]float64
	// Method tells which way it was found: "lp", "lp by parts", or "rule" where no solver could.
	Method string
}

func total(list []float64) (sum float64) {
	for _, v := range list {
		sum += v
	}
	return sum
}

func (p Plan) totalDemand(k int) float64 { return total(p.Demand[k]) }

// Served is how many requests of a class are served a second, over all sites.
func (p Plan) Served(k int) (sum float64) {
	for _, row := range p.Flow[k] {
		sum += total(row)
	}
	return sum
}

// Refused is how many are not.
func (p Plan) Refused(k int) float64 { return max(p.totalDemand(k)-p.Served(k), 0) }

// Admit is the part of a class that routers of a site take; of what nobody asks all of it.
func (p Plan) Admit(k, from int) float64 {
	if p.Demand[k][from] <= 0 {
		return 1
	}
	return min(total(p.Flow[k][from])/p.Demand[k][from], 1)
}

// Shares are how the routers of a site share a class among the sites' servers; all 0 where it goes nowhere.
func (p Plan) Shares(k, from int) []float64 {
	out, sum := make([]float64, len(p.Flow[k])), total(p.Flow[k][from])
	if sum > 0 {
		for i, v := range p.Flow[k][from] {
			out[i] = v / sum
		}
	}
	return out
}

// topology is a model by places.
type topology struct {
	allowed  [][]bool           // by class and site: servers there may take it
	work     [][]float64        // of a request, by class and site
	cost     [][]float64        // by the sites from and to; +Inf: there is no way
	linkRate map[[2]int]float64 // of bounded links
}

func (m Model) topology() topology {
	g := topology{linkRate: map[[2]int]float64{}}
	for _, c := range m.Classes {
		var allowed []bool
		var work []float64
		for _, s := range m.Sites {
			allowed = append(allowed, s.Capacity > 0 && (len(c.Places) == 0 || slices.Contains(c.Places, s.Name)))
			work = append(work, cmp.Or(s.Work[c.Name], c.Work))
		}
		g.allowed, g.work = append(g.allowed, allowed), append(g.work, work)
	}
	for i := range m.Sites {
		row := make([]float64, len(m.Sites))
		for j := range row {
			if i != j {
				row[j] = 1
				if len(m.Links) > 0 {
					row[j] = math.Inf(1)
				}
			}
		}
		g.cost = append(g.cost, row)
	}
	set := func(from, to int, l Link) {
		g.cost[from][to] = l.Cost
		if l.Rate > 0 {
			g.linkRate[[2]int{from, to}] = l.Rate
		}
	}
	for _, l := range m.Links {
		from, to := m.siteIndex(l.From), m.siteIndex(l.To)
		set(from, to, l)
		if l.Both {
			set(to, from, l)
		}
	}
	return g
}

// transport is a model in a situation.
type transport struct {
	model     Model
	situation Situation
	topology
	capacity     []float64 // by site: units of work a second
	lastCapacity []float64 // by site: of these for classes that return last
	byWorth      []int     // classes, those of the most worth first
}

// newTransport makes one of a model that has its defaults.
func newTransport(m Model, s Situation) *transport {
	t := &transport{model: m, situation: s, topology: m.topology()}
	for i, site := range m.Sites {
		t.capacity = append(t.capacity, site.Capacity*(1-m.Reserve)*s.Factor[i])
		t.lastCapacity = append(t.lastCapacity, t.capacity[i]*s.LastShare[i])
	}
	for k := range m.Classes {
		t.byWorth = append(t.byWorth, k)
	}
	slices.SortStableFunc(t.byWorth, func(a, b int) int { return cmp.Compare(m.Classes[b].Worth, m.Classes[a].Worth) })
	return t
}

// allows tells whether work of a class may go from one site's routers to another's servers.
func (t *transport) allows(k, from, to int) bool {
	if !t.allowed[k][to] || t.capacity[to] <= 0 || (t.model.Classes[k].Last && t.lastCapacity[to] <= 0) {
		return false
	}
	if from != to && t.situation.CutOff != nil && (t.situation.CutOff[from] || t.situation.CutOff[to]) {
		return false
	}
	return !math.IsInf(t.cost[from][to], 1)
}

// maxExactRows bounds the rows of a program that is solved whole; a larger one is solved by parts.
const maxExactRows = 64

// transferPenalty weighs the cost of a link against worth: work transferPenalty only where it is served for it.
const transferPenalty = 1e-3

// Solve makes the plan that serves the most worth under capacity, links and places, keeps the floors while it can, and
// moves as little as it may. Equal inputs give equal plans.
func Solve(m Model, s Situation) Plan {
	t := newTransport(m.WithDefaults(), s)
	p, err := t.solveExact()
	if err != nil {
		p, err = t.solveInSteps()
	}
	if err == nil {
		err = t.verify(p)
	}
	if err != nil {
		p = t.solveGreedy()
	}
	p.Demand = s.Demand
	return p
}

func (t *transport) emptyPlan(how string) Plan {
	p := Plan{Method: how}
	for range t.model.Classes {
		class := make([][]float64, len(t.model.Sites))
		for i := range class {
			class[i] = make([]float64, len(t.model.Sites))
		}
		p.Flow = append(p.Flow, class)
	}
	return p
}

// solveGreedy is the plan without a solver: floors first, then the classes by worth, each site's own routers before others.
func (t *transport) solveGreedy() Plan {
	share := make([][]float64, len(t.model.Classes))
	capacity, lastCapacity := slices.Clone(t.capacity), slices.Clone(t.lastCapacity)
	allot := func(k int, fraction float64) {
		remaining := total(t.situation.Demand[k])*fraction - total(share[k])
		for pass := range 2 { // where it is asked for first, then wherever there is room
			for to := range t.model.Sites {
				if remaining <= 0 || !t.allows(k, to, to) {
					continue
				}
				amount := remaining
				if pass == 0 {
					amount = min(remaining, max(t.situation.Demand[k][to]*fraction-share[k][to], 0))
				}
				free := capacity[to]
				if t.model.Classes[k].Last {
					free = min(free, lastCapacity[to])
				}
				amount = min(amount, max(free, 0)/t.work[k][to]) // rounding may leave less than nothing
				share[k][to] += amount
				capacity[to] -= amount * t.work[k][to]
				if t.model.Classes[k].Last {
					lastCapacity[to] -= amount * t.work[k][to]
				}
				remaining -= amount
			}
		}
	}
	for k := range share {
		share[k] = make([]float64, len(t.model.Sites))
	}
	for _, k := range t.byWorth {
		allot(k, t.model.Classes[k].Floor)
	}
	for _, k := range t.byWorth {
		allot(k, 1)
	}
	return t.assignFlows("rule", share)
}

// boundTolerance is what a plan may exceed a bound by, in parts of it: the solver counts in floating point.
const boundTolerance = 1e-6

// verify checks a plan against what bounds it; a solver's word is not taken for it.
func (t *transport) verify(p Plan) error {
	for k := range t.model.Classes {
		for from, d := range t.situation.Demand[k] {
			sum := 0.0
			for to, v := range p.Flow[k][from] {
				if v < 0 || math.IsNaN(v) || (v > boundTolerance*max(d, 1) && !t.allows(k, from, to)) {
					return fmt.Errorf("class %d goes from site %d to %d, where it may not", k, from, to)
				}
				sum += v
			}
			if sum > d*(1+boundTolerance)+boundTolerance {
				return fmt.Errorf("class %d: more is served than asked at site %d", k, from)
			}
		}
	}
	for to := range t.model.Sites {
		load, lastLoad := 0.0, 0.0
		for k, c := range t.model.Classes {
			for from := range t.model.Sites {
				v := p.Flow[k][from][to] * t.work[k][to]
				load += v
				if c.Last {
					lastLoad += v
				}
			}
		}
		if load > t.capacity[to]*(1+boundTolerance)+boundTolerance || lastLoad > t.lastCapacity[to]*(1+boundTolerance)+boundTolerance {
			return fmt.Errorf("site %d is given %g, its room is %g, %g of it for what returns last", to, load, t.capacity[to], t.lastCapacity[to])
		}
	}
	for link, rate := range t.linkRate {
		sum := 0.0
		for k := range t.model.Classes {
			sum += p.Flow[k][link[0]][link[1]] * t.work[k][link[1]]
		}
		if sum > rate*(1+boundTolerance)+boundTolerance {
			return fmt.Errorf("the link from site %d to %d is given more than it bears", link[0], link[1])
		}
	}
	return nil
}

// Worth is what a plan serves a second, in worth.
func (p Plan) Worth(m Model) float64 {
	m = m.WithDefaults()
	sum := 0.0
	for k, c := range m.Classes {
		sum += p.Served(k) * c.Worth * c.Work
	}
	return sum
}
