package reuse

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
)

// usage is the use of prefixes by region, aggregated from all reports.
type usage struct {
	index    index // positions in prefixes
	prefixes []prefix
	curve    []Curve     // by region
	rate     []float64   // tokens used per second, by region
	uses     []regionUse // of all prefixes in one slice, as few are used in many regions and each step iterates over 100,000 of them
}

type prefix struct {
	key         Key
	tokens      int
	firstUse    int32   // index of its first use in usage.uses
	regions     uint32  // bit set of the regions where it was counted
	idleSeconds float64 // seconds since its last use in any region
	quietChance float64 // the chance of that silence if it is still used
	visits      float64 // in all regions
}

// regionUse is the use of a prefix in one region.
type regionUse struct {
	region, next      int32   // region, and index in usage.uses of the use in the next region, or -1
	count             float64 // decayed
	ageMs, idleMs     float64
	countedSeconds    float64 // seconds of counting, decayed
	countedRate, rate float64 // visits per second, as counted and as estimated, see estimateRates
}

// noUse is the use of a prefix that no router of a region reports.
var noUse = regionUse{idleMs: math.Inf(1)}

// inRegion returns the use of a prefix in a region.
func (u *usage) inRegion(p *prefix, region int) *regionUse {
	if p.regions>>region&1 == 0 {
		return &noUse
	}
	i := p.firstUse
	for u.uses[i].region != int32(region) {
		i = u.uses[i].next
	}
	return &u.uses[i]
}

// addRegion returns the use of a prefix in a region and adds one if there is none. Uses are linked in the order of regions.
func (u *usage) addRegion(p *prefix, region int) *regionUse {
	if p.regions>>region&1 == 1 {
		return u.inRegion(p, region)
	}
	p.regions |= 1 << region
	link := &p.firstUse
	for *link >= 0 && u.uses[*link].region < int32(region) {
		link = &u.uses[*link].next
	}
	use := regionUse{region: int32(region), next: *link, idleMs: math.Inf(1)}
	*link = int32(len(u.uses))
	u.uses = append(u.uses, use)
	return &u.uses[len(u.uses)-1]
}

// aggregate sums up the reports of each region's routers. It reuses the memory of an earlier step.
func (u *usage) aggregate(m Model, reports []Report, broken Fault, abandoned float64) {
	n := len(m.Regions)
	u.index.reset()
	total := 0
	for _, r := range reports {
		total += len(r.Hot)
	}
	u.prefixes, u.uses = slices.Grow(u.prefixes[:0], total), slices.Grow(u.uses[:0], total)
	u.curve, u.rate = make([]Curve, n), make([]float64, n)
	curves := make([][]Curve, n)
	for _, r := range reports {
		region := m.regionIndex(r.Region)
		if region < 0 {
			continue
		}
		curves[region] = append(curves[region], r.Curve)
		u.rate[region] += r.Rate
		for _, h := range r.Hot {
			i, known := u.index.insert(h.Prefix)
			if !known {
				u.prefixes = append(u.prefixes, prefix{key: h.Prefix, tokens: h.Tokens, firstUse: -1})
			}
			use := u.addRegion(&u.prefixes[i], region)
			use.count += h.Count
			if broken == CountsScan {
				use.count += h.Overestimate
			}
			use.ageMs, use.idleMs = max(use.ageMs, float64(h.AgeMs)), min(use.idleMs, float64(h.IdleMs))
		}
	}
	for i := range u.prefixes {
		u.estimateRates(&u.prefixes[i], abandoned)
	}
	for region := range m.Regions {
		u.curve[region] = Merge(curves[region]...)
	}
}

// valuer holds what benefits and costs are computed from. Slices are indexed by region.
type valuer struct {
	model       Model
	usage       *usage
	links       []*Link       // by source and target region
	spillovers  [][]spillover // by source and target region
	retention   []float64     // how long a region keeps a prefix without a lease, in seconds
	holdingCost []float64     // tokens read again per second for each held token
	closed      []bool        // nothing is copied there
	lost        []bool
	abandoned   float64 // the share of known prefixes that are no longer used
	minUses     float64
}

func (d *Decider) newValuer(m Model, v View, u *usage, copies []Copy) *valuer {
	n := len(m.Regions)
	val := &valuer{model: m, usage: u, links: make([]*Link, n*n), retention: make([]float64, n), holdingCost: make([]float64, n),
		closed: make([]bool, n), lost: make([]bool, n), abandoned: d.abandoned, minUses: m.Uses}
	if d.Fault == CountsScan {
		val.minUses = 1
	}
	for a, r := range m.Regions {
		c := v.Conditions[r.Name]
		val.closed[a], val.lost[a] = c != Up && c != "", c == Lost
		val.spillovers = append(val.spillovers, d.spillovers[a*n:(a+1)*n])
	}
	for a := range m.Regions {
		val.computeRetention(a, copies)
	}
	for i, l := range m.Links {
		val.links[m.regionIndex(l.From)*n+m.regionIndex(l.To)] = &m.Links[i]
	}
	return val
}

// computeRetention computes how long a region keeps prefixes without a lease, and what a held token costs there.
//
// A held prefix takes only the memory that it would not take anyway: at rate λ it would be evicted exp(−λ·retention) of the time.
// The rest of the cache behaves like a memory that is smaller by that amount under the whole stream. The curve includes
// misses of held prefixes, which do not occur, so they are subtracted both from the new tokens and from the curve's slope. What
// remains is the cost of a little less memory for all others. Otherwise prefixes near the eviction limit, which are those worth
// holding, would raise the cost of holding each other.
func (v *valuer) computeRetention(region int, copies []Copy) {
	type heldCopy struct{ tokens, rate float64 }
	var held []heldCopy
	for _, c := range copies {
		if c.To == v.model.Regions[region].Name {
			h := heldCopy{tokens: float64(c.Tokens)}
			if i, used := v.usage.index.find(c.Prefix); used {
				h.rate = v.expectedRate(&v.usage.prefixes[i], region)
			}
			held = append(held, h)
		}
	}
	curve, memory, rate := v.usage.curve[region], v.model.Regions[region].Memory, v.usage.rate[region]
	memoryLeft, misses, slopes := memory, 0.0, 0.0
	for range retentionRounds {
		v.retention[region] = curve.Retention(memoryLeft, rate)
		memoryLeft, misses, slopes = memory, 0, 0
		for _, h := range held {
			lost := h.tokens * math.Exp(-h.rate*v.retention[region])
			memoryLeft -= lost
			misses += h.rate * lost
			slopes += h.rate * h.rate * lost
		}
		memoryLeft = max(memoryLeft, memory/10)
	}
	total := rate * curve.MissRatio(memoryLeft)
	step := memory / 20
	slope := rate * max(curve.MissRatio(max(memoryLeft-step, 1))-curve.MissRatio(memoryLeft), 0) / step
	v.holdingCost[region] = max((slope*total-slopes)/max(total-misses, total/4, 1), slope/2)
}

// retentionRounds is how often memory and retention are computed from each other. They converge quickly, as held prefixes take
// little memory.
const retentionRounds = 4

// benefit is the value of a copy at a rate of visits, in tokens read: what it saves and what it costs.
type benefit struct{ rate, saved, costs float64 }

// A copy is ordered if it saves at least minSavedReads reads within a lease, and kept if it saves at least minHeldReads.
const minSavedReads, minHeldReads = 0.1, 0.02

// displaced is the number of tokens per second that a region reads again because the given tokens are held.
func (v *valuer) displaced(tokens float64, to int) float64 { return v.holdingCost[to] * tokens }

// worthHolding reports whether a present copy pays: it saves reads, and no fewer than it causes for others. Ordering a copy
// requires a larger gain.
func (v *valuer) worthHolding(p *prefix, to int) bool {
	return v.savedReads(p, to) >= minHeldReads && v.expectedRate(p, to) > v.holdingCost[to]
}

// savedReads is the number of reads of a present prefix that a lease saves.
func (v *valuer) savedReads(p *prefix, to int) float64 {
	rate := v.expectedRate(p, to)
	return rate * v.model.LeaseMs / 1000 * math.Exp(-rate*v.retention[to])
}

// copyBenefit is the benefit of copying a prefix over a link within a lease, if it is used at the given rate. It is zero where the
// benefit per token is certainly below floor.
func (v *valuer) copyBenefit(p *prefix, link *Link, to int, rate, floor float64) benefit {
	// The prefix is already present if it was used within the retention; then nothing is sent.
	present := 0.0
	if v.usage.inRegion(p, to).idleMs/1000 < v.retention[to] {
		present = 1
	}
	tokens := float64(p.tokens)
	horizon := v.model.LeaseMs/1000 - tokens/(v.model.LinkShare*link.Rate)
	uses := rate * horizon
	if horizon <= 0 || uses <= max(floor, minSavedReads) { // a use saves no more than one read
		return benefit{}
	}
	retention := v.retention[to]
	cost, x := link.Price, rate*retention
	if v.model.ReadTokens != nil {
		cost += v.model.fixedCost(link) / tokens
	}
	cost *= 1 - present
	// Upper bound of the saving with n uses: 1 − exp(−n) < n − n²/2 + n³/6, and exp(−x) is below the inverse of the first terms of exp(x).
	bound := (1 - present) * min(uses*(1-uses*(1./2-uses*(1./6))), 1)
	if (bound+(uses-bound)/(1+x*(1+x*(1./2+x*(1./6+x*(1./24))))))*(1+1e-9) <= cost+max(floor, minSavedReads) {
		return benefit{}
	}
	evictedChance := math.Exp(-x)                     // the chance that it is evicted between two uses
	firstUse := (1 - present) * (1 - math.Exp(-uses)) // the first use reads it, if there is one
	saved := tokens * (firstUse + max(uses-firstUse, 0)*evictedChance)
	if saved <= (cost+max(floor, minSavedReads))*tokens {
		return benefit{}
	}
	// A held prefix displaces others, unless it would be present anyway.
	return benefit{rate, saved, cost*tokens + v.displaced(tokens, to)*horizon*(1-min((present+firstUse)*(1-evictedChance), 1))}
}

func (o option) reason() string {
	return fmt.Sprintf("%.3g uses a second expected: saves %.0f tokens, costs %.0f", o.rate, o.saved, o.costs)
}

// option is a copy that could be ordered.
type option struct {
	p *prefix
	benefit
	link   *Link
	to     int
	margin float64 // net benefit per token
}

// maxOptions bounds the copies that are compared: the best of all.
const maxOptions = 2 * MaxCopies

// bestOptions returns the copies to any region with the largest net benefit per token, of those whose saving exceeds the cost by
// the factor gain. occupied reports copies that exist or are in a cool-down.
func (v *valuer) bestOptions(gain float64, occupied func(k Key, to int) bool) []option {
	var options []option
	floor := 0.0
	for i := range v.usage.prefixes {
		p := &v.usage.prefixes[i]
		sources := uint32(0) // regions where it certainly was used often enough and is cached
		for at := p.firstUse; at >= 0; at = v.usage.uses[at].next {
			if use := &v.usage.uses[at]; !v.lost[use.region] && use.count >= v.minUses && use.idleMs/1000 < v.retention[use.region] {
				sources |= 1 << use.region
			}
		}
		if sources == 0 {
			continue
		}
		for to := range v.model.Regions {
			if v.closed[to] {
				continue
			}
			found, rate := option{}, -1.0
			for set := sources &^ (1 << to); set > 0; set &= set - 1 {
				link := v.links[bits.TrailingZeros32(set)*len(v.model.Regions)+to]
				if link == nil {
					continue
				}
				if rate < 0 {
					rate = v.expectedRate(p, to)
				}
				if candidate := v.copyBenefit(p, link, to, rate, floor); candidate.saved > gain*candidate.costs &&
					(found.p == nil || candidate.saved-candidate.costs > found.saved-found.costs) {
					found = option{p: p, benefit: candidate, link: link, to: to}
				}
			}
			if v.model.HoldOwn && found.p == nil && sources>>to&1 == 1 {
				own := &Link{To: v.model.Regions[to].Name, Rate: math.Inf(1)}
				if candidate := v.copyBenefit(p, own, to, v.expectedRate(p, to), floor); candidate.saved > gain*candidate.costs {
					found = option{p: p, benefit: candidate, link: own, to: to}
				}
			}
			if found.p == nil {
				continue
			}
			if found.margin = (found.saved - found.costs) / float64(p.tokens); found.margin > floor && !occupied(p.key, to) {
				if options = append(options, found); len(options) >= 4*maxOptions {
					options = topOptions(options, maxOptions)
					floor = slices.MinFunc(options, func(x, y option) int { return cmp.Compare(x.margin, y.margin) }).margin
				}
			}
		}
	}
	options = topOptions(options, maxOptions)
	slices.SortFunc(options, func(x, y option) int {
		switch {
		case x.ranksBefore(&y):
			return -1
		case y.ranksBefore(&x):
			return 1
		}
		return 0
	})
	return options
}

// ranksBefore reports whether a copy has the larger net benefit per token. Ties are broken, so the order is total.
func (o *option) ranksBefore(other *option) bool {
	switch {
	case o.margin != other.margin:
		return o.margin > other.margin
	case o.p.key != other.p.key:
		return o.p.key < other.p.key
	}
	return o.to < other.to
}

// topOptions returns the first n options in any order (quickselect: Hoare 1961).
func topOptions(options []option, n int) []option {
	if len(options) <= n {
		return options
	}
	for low, high := 0, len(options)-1; low < high; {
		pivot, i, j := options[(low+high)/2], low, high
		for i <= j {
			for options[i].ranksBefore(&pivot) {
				i++
			}
			for pivot.ranksBefore(&options[j]) {
				j--
			}
			if i <= j {
				options[i], options[j] = options[j], options[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case n-1 <= j:
			high = j
		case n-1 >= i:
			low = i
		default:
			return options[:n]
		}
	}
	return options[:n]
}
