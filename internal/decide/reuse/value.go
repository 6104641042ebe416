package reuse

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
)

// usage is how prefixes are used, by region, put together from all reports.
type usage struct {
	index    index // places in list
	prefixes []prefix
	curve    []Curve     // by region
	rate     []float64   // tokens used a second
	uses     []regionUse // of all prefixes: few are used in many regions, and 100,000 of them are passed through in each step
}

type prefix struct {
	key         Key
	tokens      int
	firstUse    int32   // its first use in usage.room
	regions     uint32  // a bit for each region where it was counted
	idleSeconds float64 // seconds since its last use anywhere
	quietChance float64 // the chance of that silence, if it is still used
	visits      float64 // in all regions
}

// regionUse is how a prefix is regionUse in one region.
type regionUse struct {
	region, next      int32   // the place in usage.room of its use in the next region, or -1
	count             float64 // faded
	ageMs, idleMs     float64
	countedSeconds    float64 // for how long it would have been counted, faded, in seconds
	countedRate, rate float64 // visits a second, as counted and as believed in: see pace
}

// noUse is how a prefix is used that no router of a region names.
var noUse = regionUse{idleMs: math.Inf(1)}

// inRegion is how a prefix is used inRegion a region.
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

// addRegion is the same for one that is to be counted there; uses stay in the order of regions.
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

// aggregate adds up what the routers of each region say, in the room of an earlier step.
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

// valuer is what a decider weighs by, by the places of regions.
type valuer struct {
	model       Model
	usage       *usage
	links       []*Link       // by the regions from and to
	spillovers  [][]spillover // by the regions from and to
	retention   []float64     // how long a region keeps what is not used, in seconds
	holdingCost []float64     // tokens read again, a second, for each token that is held
	closed      []bool        // nothing is copied there
	lost        []bool
	abandoned   float64 // the part of prefixes known that nobody uses any more
	minUses     float64
}

func (d *Decider) newValuer(m Model, v View, u *usage, copies []Copy) *valuer {
	n := len(m.Regions)
	val := &valuer{model: m, usage: u, links: make([]*Link, n*n), retention: make([]float64, n), holdingCost: make([]float64, n), closed: make([]bool, n), lost: make([]bool, n), abandoned: d.abandoned, minUses: m.Uses}
	if d.Broken == CountsScan {
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

// computeRetention comes to how long a region keeps what is not held, and to what a held token costs there.
//
// A held prefix takes only the room that it would not have anyway: with rate λ it would be there but for the part exp(−λ·keeps)
// of the time. What else is kept then is what a memory smaller by that would keep of the whole stream. Misses of held prefixes
// stand in the curve and do not happen, so they are taken off both the tokens that come new and the curve's slope: what is left
// is what a little less room costs the rest. Without that, prefixes near the edge of what is kept, which are those worth
// holding, raise the price of holding each other.
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

// retentionRounds is how often room and time kept are put into each other; they settle at once, as what held prefixes take is small.
const retentionRounds = 4

// benefit is what a copy is benefit, in tokens read: saved, and what it costs.
type benefit struct{ rate, saved, costs float64 }

// A copy is ordered for no less than minSavedReads reads within a lease, and stays for no less than minHeldReads.
const minSavedReads, minHeldReads = 0.1, 0.02

// displaced is how many tokens a second are read again in a region for so many that are held there.
func (v *valuer) displaced(tokens float64, to int) float64 { return v.holdingCost[to] * tokens }

// worthHolding tells whether holding on to a prefix that is there does: it saves reads, and as many as it has others read again. To be
// ordered it must gain more.
func (v *valuer) worthHolding(p *prefix, to int) bool {
	return v.savedReads(p, to) >= minHeldReads && v.expectedRate(p, to) > v.holdingCost[to]
}

// savedReads is how many reads of a prefix that is there a lease savedReads.
func (v *valuer) savedReads(p *prefix, to int) float64 {
	rate := v.expectedRate(p, to)
	return rate * v.model.LeaseMs / 1000 * math.Exp(-rate*v.retention[to])
}

// copyBenefit tells what copying a prefix over a link is worth within a lease, if it is used at a rate; nothing
// where that is surely less than floor for each token.
func (v *valuer) copyBenefit(p *prefix, link *Link, to int, rate, floor float64) benefit {
	// It is present already where it was used within the time that the memory keeps what is not used; then nothing is sent.
	present := 0.0
	if v.usage.inRegion(p, to).idleMs/1000 < v.retention[to] {
		present = 1
	}
	tokens := float64(p.tokens)
	horizon := v.model.LeaseMs/1000 - tokens/(v.model.LinkShare*link.Rate)
	uses := rate * horizon
	if horizon <= 0 || uses <= max(floor, minSavedReads) { // more than each use is not saved
		return benefit{}
	}
	retention := v.retention[to]
	cost, x := link.Price, rate*retention
	if v.model.ReadTokens != nil {
		cost += v.model.fixedCost(link) / tokens
	}
	cost *= 1 - present
	// No more is saved: 1 − exp(−n) < n − n²/2 + n³/6, and exp(−x) is less than one through the first terms of exp(x).
	bound := (1 - present) * min(uses*(1-uses*(1./2-uses*(1./6))), 1)
	if (bound+(uses-bound)/(1+x*(1+x*(1./2+x*(1./6+x*(1./24))))))*(1+1e-9) <= cost+max(floor, minSavedReads) {
		return benefit{}
	}
	evictedChance := math.Exp(-x)                     // the chance that it is pushed out between two uses
	firstUse := (1 - present) * (1 - math.Exp(-uses)) // the first use reads it, if there is one
	saved := tokens * (firstUse + max(uses-firstUse, 0)*evictedChance)
	if saved <= (cost+max(floor, minSavedReads))*tokens {
		return benefit{}
	}
	// Held, it takes room from others, unless it would be there anyway.
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
	margin float64 // what it gains for each token
}

// maxOptions bounds how many copies are weighed against each other: the best of all.
const maxOptions = 2 * MaxCopies

// bestOptions are the copies to any region that would save most for each token, and more than they cost by the gain; has tells of
// those that are there or rest.
func (v *valuer) bestOptions(gain float64, occupied func(k Key, to int) bool) []option {
	var options []option
	floor := 0.0
	for i := range v.usage.prefixes {
		p := &v.usage.prefixes[i]
		sources := uint32(0) // where it surely was used often enough, and is kept
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
				if one := v.copyBenefit(p, link, to, rate, floor); one.saved > gain*one.costs && (found.p == nil || one.saved-one.costs > found.saved-found.costs) {
					found = option{p: p, benefit: one, link: link, to: to}
				}
			}
			if v.model.HoldOwn && found.p == nil && sources>>to&1 == 1 {
				own := &Link{To: v.model.Regions[to].Name, Rate: math.Inf(1)}
				if one := v.copyBenefit(p, own, to, v.expectedRate(p, to), floor); one.saved > gain*one.costs {
					found = option{p: p, benefit: one, link: own, to: to}
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

// ranksBefore tells which of two copies saves more for each token; the order of all is whole.
func (o *option) ranksBefore(other *option) bool {
	switch {
	case o.margin != other.margin:
		return o.margin > other.margin
	case o.p.key != other.p.key:
		return o.p.key < other.p.key
	}
	return o.to < other.to
}

// topOptions are the topOptions n of a list, in any order (quickselect: Hoare 1961).
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
