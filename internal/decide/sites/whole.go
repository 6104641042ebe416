package sites

import (
	"cmp"
	"math"
	"slices"
)

// floorBonus is the extra gain of requests that fill a floor. It exceeds the worth of any class.
func (t *transport) floorBonus() float64 {
	maxGain := 0.0
	for _, c := range t.model.Classes {
		maxGain = max(maxGain, c.Worth*c.Work)
	}
	return 100 * maxGain
}

// solveExact solves one program for the whole problem. It has a variable for each class and each pair of sites, and a
// second one for the part that fills a floor.
func (t *transport) solveExact() (Plan, error) {
	var prog program
	out := t.emptyPlan("lp")
	t.addSiteRows(&prog)
	links := map[[2]int]int{}
	linkRow := func(from, to int) int {
		link := [2]int{from, to}
		rate, bounded := t.linkRate[link]
		if !bounded {
			return noRow
		}
		if _, exists := links[link]; !exists {
			links[link] = prog.addRow(rate)
		}
		return links[link]
	}
	type flow struct{ k, from, to, v int }
	var flows []flow
	for k, c := range t.model.Classes {
		floorRow, demand := noRow, total(t.situation.Demand[k])
		if c.Floor > 0 && demand > 0 {
			floorRow = prog.addRow(c.Floor * demand)
		}
		for from, d := range t.situation.Demand[k] {
			if d <= 0 {
				continue
			}
			demandRow := noRow
			for to := range t.model.Sites {
				if !t.allows(k, from, to) {
					continue
				}
				if demandRow == noRow {
					demandRow = prog.addRow(d)
				}
				gain := c.Worth * c.Work * (1 - transferPenalty*t.cost[from][to])
				for _, v := range t.addFlow(&prog, k, to, gain, demandRow, floorRow, linkRow(from, to)) {
					flows = append(flows, flow{k, from, to, v})
				}
			}
		}
		if len(prog.rows) > maxExactRows {
			return out, errTooLarge
		}
	}
	x, err := prog.solve()
	if err != nil {
		return out, err
	}
	share := make([][]float64, len(t.model.Classes))
	for k := range share {
		share[k] = make([]float64, len(t.model.Sites))
	}
	for _, f := range flows {
		out.Flow[f.k][f.from][f.to] += x[f.v]
		share[f.k][f.to] += x[f.v]
	}
	// The simplex may end at a vertex that refuses everything at one site and nothing at another. Where links allow it,
	// the plan is replaced by one in which all sites' routers refuse the same share.
	if even := t.assignFlows("lp", share); even.Worth(t.model) >= out.Worth(t.model)*(1-boundTolerance) {
		return even, nil
	}
	return out, nil
}

// addSiteRows adds the rows for the sites' capacity, and for the capacity of classes with Last where it is lower.
func (t *transport) addSiteRows(p *program) {
	for i := range t.model.Sites {
		p.capacityRows, p.lastRows = append(p.capacityRows, noRow), append(p.lastRows, noRow)
		if t.capacity[i] > 0 {
			p.capacityRows[i] = p.addRow(t.capacity[i])
			if t.lastCapacity[i] < t.capacity[i] {
				p.lastRows[i] = p.addRow(t.lastCapacity[i])
			}
		}
	}
}

// addFlow adds the variable for the part of a class that a site serves, bounded by demand, site and link. If the class
// has a floor, it adds a second one for the part that fills the floor.
func (t *transport) addFlow(p *program, k, to int, gain float64, demandRow, floorRow, linkRow int) (variables []int) {
	bounds := []int{p.capacityRows[to], linkRow}
	if t.model.Classes[k].Last {
		bounds = append(bounds, p.lastRows[to])
	}
	add := func(gain float64) int {
		v := p.addVariable(gain)
		p.rows[demandRow][v] = 1
		for _, row := range bounds {
			if row != noRow {
				p.rows[row][v] = t.work[k][to]
			}
		}
		return v
	}
	variables = append(variables, add(gain))
	if floorRow != noRow {
		v := add(gain + t.floorBonus())
		p.rows[floorRow][v] = 1
		variables = append(variables, v)
	}
	return variables
}

// solveInSteps solves a large problem in two steps. A program determines how much of each class each site serves,
// regardless of where the demand is. Then the demand is assigned to the sites over the cheapest links first. What the
// links can't carry is refused.
func (t *transport) solveInSteps() (Plan, error) {
	var prog program
	t.addSiteRows(&prog)
	variables := make([][][]int, len(t.model.Classes)) // by class and site: indices of variables
	for k, c := range t.model.Classes {
		demand := total(t.situation.Demand[k])
		demandRow, floorRow := prog.addRow(demand), noRow
		if c.Floor > 0 && demand > 0 {
			floorRow = prog.addRow(c.Floor * demand)
		}
		for to := range t.model.Sites {
			variables[k] = append(variables[k], nil)
			if demand == 0 || !t.allows(k, to, to) {
				continue
			}
			// Prefer sites that have demand of their own, so that less traffic moves.
			gain := c.Worth * c.Work
			if t.situation.Demand[k][to] == 0 {
				gain *= 1 - transferPenalty
			}
			variables[k][to] = t.addFlow(&prog, k, to, gain, demandRow, floorRow, noRow)
		}
	}
	x, err := prog.solve()
	if err != nil {
		return Plan{}, err
	}
	share := make([][]float64, len(t.model.Classes))
	for k := range variables {
		for _, vars := range variables[k] {
			sum := 0.0
			for _, v := range vars {
				sum += x[v]
			}
			share[k] = append(share[k], sum)
		}
	}
	return t.assignFlows("lp by parts", share), nil
}

// assignFlows assigns what each site serves of each class to the demand: first to its own routers, then over the
// cheapest links. A class that is served in part is cut by the same share at all sites, as far as links allow.
func (t *transport) assignFlows(method string, share [][]float64) Plan {
	out := t.emptyPlan(method)
	rateLeft := map[[2]int]float64{}
	for link, rate := range t.linkRate {
		rateLeft[link] = rate
	}
	type route struct {
		cost     float64
		from, to int
	}
	var routes []route
	for from := range t.model.Sites {
		for to := range t.model.Sites {
			if from != to && !math.IsInf(t.cost[from][to], 1) {
				routes = append(routes, route{t.cost[from][to], from, to})
			}
		}
	}
	slices.SortStableFunc(routes, func(a, b route) int { return cmp.Compare(a.cost, b.cost) })
	for _, k := range t.byWorth {
		totalDemand, served := total(t.situation.Demand[k]), total(share[k])
		if totalDemand == 0 {
			continue
		}
		demand, capacity := make([]float64, len(t.model.Sites)), slices.Clone(share[k])
		for i, d := range t.situation.Demand[k] {
			demand[i] = d * min(served/totalDemand, 1)
			if t.allows(k, i, i) {
				local := min(demand[i], capacity[i])
				out.Flow[k][i][i] = local
				demand[i], capacity[i] = demand[i]-local, capacity[i]-local
			}
		}
		for _, r := range routes {
			flow := min(demand[r.from], capacity[r.to])
			if flow <= 0 || !t.allows(k, r.from, r.to) {
				continue
			}
			if rate, bounded := rateLeft[[2]int{r.from, r.to}]; bounded {
				flow = min(flow, max(rate, 0)/t.work[k][r.to])
				rateLeft[[2]int{r.from, r.to}] = rate - flow*t.work[k][r.to]
			}
			out.Flow[k][r.from][r.to] += flow
			demand[r.from], capacity[r.to] = demand[r.from]-flow, capacity[r.to]-flow
		}
	}
	return out
}
