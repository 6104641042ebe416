package sites

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Plan assigns each class to sites in a situation, and determines what is refused.
type Plan struct {
	// Flow is indexed by class, by the site of the routers and by the site of the servers, in requests per second.
	Flow [][][]float64
	// Demand is the demand by class and site of the routers.
	Demand [][]float64
	// Method is how the plan was found: "lp", "lp by parts", or "rule" if the solver failed.
	Method string
}

func total(list []float64) (sum float64) {
	for _, v := range list {
		sum += v
	}
	return sum
}

func (p Plan) totalDemand(k int) float64 { return total(p.Demand[k]) }

// Served returns the served requests of a class per second, over all sites.
func (p Plan) Served(k int) (sum float64) {
	for _, row := range p.Flow[k] {
		sum += total(row)
	}
	return sum
}

// Refused returns the refused requests of a class per second, over all sites.
func (p Plan) Refused(k int) float64 { return max(p.totalDemand(k)-p.Served(k), 0) }

// Admit returns the share of a class that the routers of a site admit. Without demand that is everything.
func (p Plan) Admit(k, from int) float64 {
	if p.Demand[k][from] <= 0 {
		return 1
	}
	return min(total(p.Flow[k][from])/p.Demand[k][from], 1)
}

// Shares returns how the routers of a site distribute a class over the sites' servers. All are 0 if nothing is served.
func (p Plan) Shares(k, from int) []float64 {
	out, sum := make([]float64, len(p.Flow[k])), total(p.Flow[k][from])
	if sum > 0 {
		for i, v := range p.Flow[k][from] {
			out[i] = v / sum
		}
	}
	return out
}

// topology is a model in indexed form.
type topology struct {
	allowed  [][]bool           // by class and site: the servers there may process it
	work     [][]float64        // cost of a request by class and site, in units of work
	cost     [][]float64        // by the sites from and to; +Inf: no link
	linkRate map[[2]int]float64 // limits of the links that have one
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

// transport is the transportation problem of a model in a situation.
type transport struct {
	model     Model
	situation Situation
	topology
	capacity     []float64 // by site: units of work per second
	lastCapacity []float64 // by site: the part of capacity that classes with Last may use
	byWorth      []int     // class indices by descending worth
}

// newTransport builds the problem of a model whose defaults are filled in.
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

// allows reports whether requests of a class may go from one site's routers to another's servers.
func (t *transport) allows(k, from, to int) bool {
	if !t.allowed[k][to] || t.capacity[to] <= 0 || (t.model.Classes[k].Last && t.lastCapacity[to] <= 0) {
		return false
	}
	if from != to && t.situation.CutOff != nil && (t.situation.CutOff[from] || t.situation.CutOff[to]) {
		return false
	}
	return !math.IsInf(t.cost[from][to], 1)
}

// maxExactRows bounds the rows of a program that is solved as one. A larger problem is solved in two steps.
const maxExactRows = 64

// transferPenalty weighs the cost of a link against worth. It is small, so that requests move only if they would not be
// served otherwise.
const transferPenalty = 1e-3

// Solve returns the plan that serves the most worth within capacities, links and places. It keeps the floors as long as
// possible and moves as little traffic as possible. Equal inputs give equal plans.
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

func (t *transport) emptyPlan(method string) Plan {
	p := Plan{Method: method}
	for range t.model.Classes {
		class := make([][]float64, len(t.model.Sites))
		for i := range class {
			class[i] = make([]float64, len(t.model.Sites))
		}
		p.Flow = append(p.Flow, class)
	}
	return p
}

// solveGreedy plans without a solver: first the floors, then the classes by worth. Each site serves its own routers
// before others.
func (t *transport) solveGreedy() Plan {
	share := make([][]float64, len(t.model.Classes))
	capacity, lastCapacity := slices.Clone(t.capacity), slices.Clone(t.lastCapacity)
	allot := func(k int, fraction float64) {
		remaining := total(t.situation.Demand[k])*fraction - total(share[k])
		for pass := range 2 { // first at the site of the demand, then at any site with capacity
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
				amount = min(amount, max(free, 0)/t.work[k][to]) // rounding may make the free capacity negative
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

// boundTolerance is the relative excess of a bound that a plan may have, because the solver uses floating point.
const boundTolerance = 1e-6

// verify checks a plan against all bounds. The solver's result is not trusted.
func (t *transport) verify(p Plan) error {
	for k := range t.model.Classes {
		for from, d := range t.situation.Demand[k] {
			sum := 0.0
			for to, v := range p.Flow[k][from] {
				if v < 0 || math.IsNaN(v) || (v > boundTolerance*max(d, 1) && !t.allows(k, from, to)) {
					return fmt.Errorf("class %d flows from site %d to site %d, which is not allowed", k, from, to)
				}
				sum += v
			}
			if sum > d*(1+boundTolerance)+boundTolerance {
				return fmt.Errorf("class %d: flow exceeds the demand at site %d", k, from)
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
			return fmt.Errorf("site %d: load %g exceeds its capacity %g, or the part %g of it for classes that return last", to, load, t.capacity[to], t.lastCapacity[to])
		}
	}
	for link, rate := range t.linkRate {
		sum := 0.0
		for k := range t.model.Classes {
			sum += p.Flow[k][link[0]][link[1]] * t.work[k][link[1]]
		}
		if sum > rate*(1+boundTolerance)+boundTolerance {
			return fmt.Errorf("flow over the link from site %d to site %d exceeds its rate", link[0], link[1])
		}
	}
	return nil
}

// Worth returns the worth that a plan serves per second.
func (p Plan) Worth(m Model) float64 {
	m = m.WithDefaults()
	sum := 0.0
	for k, c := range m.Classes {
		sum += p.Served(k) * c.Worth * c.Work
	}
	return sum
}
