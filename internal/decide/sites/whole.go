package sites

import (
	"cmp"
	"math"
	"slices"
)

// floorBonus is what a floor counts for above any worth.
func (t *transport) floorBonus() float64 {
	maxGain := 0.0
	for _, c := range t.model.Classes {
		maxGain = max(maxGain, c.Worth*c.Work)
	}
	return 100 * maxGain
}

// solveExact is the program as it stands: a variable for each class and each way, and once more for what of it fills a floor.
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
		if _, made := links[link]; !made {
			links[link] = prog.addRow(rate)
		}
		return links[link]
	}
	type flow struct{ k, from, to, v int }
	var flows []flow
	for k, c := range t.model.Classes {
		floorRow, asked := noRow, total(t.situation.Demand[k])
		if c.Floor > 0 && asked > 0 {
			floorRow = prog.addRow(c.Floor * asked)
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
	// The corner that the simplex ends at may refuse all at one site and none at another: where links allow it, all
	// sites' routers refuse the same part.
	if even := t.assignFlows("lp", share); even.Worth(t.model) >= out.Worth(t.model)*(1-boundTolerance) {
		return even, nil
	}
	return out, nil
}

// addSiteRows adds the bounds of the sites: their room, and that for classes that return last where it is less.
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

// addFlow adds the variable for what of a class a site serves, bounded by what is needed of it, by the site and by a link,
// and a second one for what of that fills the class's floor, where there is one.
func (t *transport) addFlow(p *program, k, to int, gain float64, demandRow, floorRow, linkRow int) (made []int) {
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
	made = append(made, add(gain))
	if floorRow != noRow {
		v := add(gain + t.floorBonus())
		p.rows[floorRow][v] = 1
		made = append(made, v)
	}
	return made
}

// solveInSteps solves a large one in two steps: how much of each class each site serves, whoever asks, by a program; then who
// sends it there, by the cheapest links first. What links don't bear is refused.
func (t *transport) solveInSteps() (Plan, error) {
	var prog program
	t.addSiteRows(&prog)
	variables := make([][][]int, len(t.model.Classes)) // by class and site: the variables
	for k, c := range t.model.Classes {
		asked := total(t.situation.Demand[k])
		demandRow, floorRow := prog.addRow(asked), noRow
		if c.Floor > 0 && asked > 0 {
			floorRow = prog.addRow(c.Floor * asked)
		}
		for to := range t.model.Sites {
			variables[k] = append(variables[k], nil)
			if asked == 0 || !t.allows(k, to, to) {
				continue
			}
			// A site that is asked itself is a little better: nothing moves then.
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

// assignFlows has what each site serves of each class asked for by somebody: its own routers first, then by the cheapest
// links. A class that is served in part is so for all sites alike, as far as links go.
func (t *transport) assignFlows(how string, share [][]float64) Plan {
	out := t.emptyPlan(how)
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
		asked, served := total(t.situation.Demand[k]), total(share[k])
		if asked == 0 {
			continue
		}
		demand, capacity := make([]float64, len(t.model.Sites)), slices.Clone(share[k])
		for i, d := range t.situation.Demand[k] {
			demand[i] = d * min(served/asked, 1)
			if t.allows(k, i, i) {
				local := min(demand[i], capacity[i])
				out.Flow[k][i][i] = local
				demand[i], capacity[i] = demand[i]-local, capacity[i]-local
			}
		}
		for _, w := range routes {
			flow := min(demand[w.from], capacity[w.to])
			if flow <= 0 || !t.allows(k, w.from, w.to) {
				continue
			}
			if rate, bounded := rateLeft[[2]int{w.from, w.to}]; bounded {
				flow = min(flow, max(rate, 0)/t.work[k][w.to])
				rateLeft[[2]int{w.from, w.to}] = rate - flow*t.work[k][w.to]
			}
			out.Flow[k][w.from][w.to] += flow
			demand[w.from], capacity[w.to] = demand[w.from]-flow, capacity[w.to]-flow
		}
	}
	return out
}
