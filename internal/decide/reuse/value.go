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
	at    index // places in list
	list  []prefix
	curve []Curve   // by region
	rate  []float64 // tokens used a second
	room  []used    // of all prefixes: few are used in many regions, and 100,000 of them are passed through in each step
}

type prefix struct {
	key    Key
	tokens int
	first  int32   // its first use in usage.room
	known  uint32  // a bit for each region where it was counted
	idle   float64 // seconds since its last use anywhere
	quiet  float64 // the chance of that silence, if it is still used
	visits float64 // in all regions
}

// used is how a prefix is used in one region.
type used struct {
	region, next  int32   // the place in usage.room of its use in the next region, or -1
	count         float64 // faded
	ageMs, idleMs float64
	seen          float64 // for how long it would have been counted, faded, in seconds
	raw, rate     float64 // visits a second, as counted and as believed in: see pace
}

// unknown is how a prefix is used that no router of a region names.
var unknown = used{idleMs: math.Inf(1)}

// in is how a prefix is used in a region.
func (u *usage) in(p *prefix, region int) *used {
	if p.known>>region&1 == 0 {
		return &unknown
	}
	i := p.first
	for u.room[i].region != int32(region) {
		i = u.room[i].next
	}
	return &u.room[i]
}

// enter is the same for one that is to be counted there; uses stay in the order of regions.
func (u *usage) enter(p *prefix, region int) *used {
	if p.known>>region&1 == 1 {
		return u.in(p, region)
	}
	p.known |= 1 << region
	link := &p.first
	for *link >= 0 && u.room[*link].region < int32(region) {
		link = &u.room[*link].next
	}
	use := used{region: int32(region), next: *link, idleMs: math.Inf(1)}
	*link = int32(len(u.room))
	u.room = append(u.room, use)
	return &u.room[len(u.room)-1]
}

// gather adds up what the routers of each region say, in the room of an earlier step.
func (u *usage) gather(m Model, reports []Report, broken Fault, abandoned float64) {
	n := len(m.Regions)
	u.at.reset()
	total := 0
	for _, r := range reports {
		total += len(r.Hot)
	}
	u.list, u.room = slices.Grow(u.list[:0], total), slices.Grow(u.room[:0], total)
	u.curve, u.rate = make([]Curve, n), make([]float64, n)
	curves := make([][]Curve, n)
	for _, r := range reports {
		region := m.region(r.Region)
		if region < 0 {
			continue
		}
		curves[region] = append(curves[region], r.Curve)
		u.rate[region] += r.Rate
		for _, h := range r.Hot {
			i, known := u.at.enter(h.Prefix)
			if !known {
				u.list = append(u.list, prefix{key: h.Prefix, tokens: h.Tokens, first: -1})
			}
			use := u.enter(&u.list[i], region)
			use.count += h.Count
			if broken == CountsScan {
				use.count += h.Over
			}
			use.ageMs, use.idleMs = max(use.ageMs, float64(h.AgeMs)), min(use.idleMs, float64(h.IdleMs))
		}
	}
	for i := range u.list {
		u.pace(&u.list[i], abandoned)
	}
	for region := range m.Regions {
		u.curve[region] = Merge(curves[region]...)
	}
}

// scales is what a decider weighs by, by the places of regions.
type scales struct {
	m      Model
	u      *usage
	links  []*Link    // by the regions from and to
	likely [][]likely // by the regions from and to
	keeps  []float64  // how long a region keeps what is not used, in seconds
	price  []float64  // tokens read again, a second, for each token that is held
	closed []bool     // nothing is copied there
	lost   []bool
	gone   float64 // the part of prefixes known that nobody uses any more
	least  float64
}

func (d *Decider) scales(m Model, v View, u *usage, copies []Copy) *scales {
	n := len(m.Regions)
	val := &scales{m: m, u: u, links: make([]*Link, n*n), keeps: make([]float64, n), price: make([]float64, n), closed: make([]bool, n), lost: make([]bool, n), gone: d.gone, least: m.Uses}
	if d.Broken == CountsScan {
		val.least = 1
	}
	for a, r := range m.Regions {
		c := v.Conditions[r.Name]
		val.closed[a], val.lost[a] = c != Up && c != "", c == Lost
		val.likely = append(val.likely, d.likely[a*n:(a+1)*n])
	}
	for a := range m.Regions {
		val.settle(a, copies)
	}
	for i, l := range m.Links {
		val.links[m.region(l.From)*n+m.region(l.To)] = &m.Links[i]
	}
	return val
}

// settle comes to how long a region keeps what is not held, and to what a held token costs there.
//
// A held prefix takes only the room that it would not have anyway: with rate λ it would be there but for the part exp(−λ·keeps)
// of the time. What else is kept then is what a memory smaller by that would keep of the whole stream. Misses of held prefixes
// stand in the curve and do not happen, so they are taken off both the tokens that come new and the curve's slope: what is left
// is what a little less room costs the rest. Without that, prefixes near the edge of what is kept, which are those worth
// holding, raise the price of holding each other.
func (v *scales) settle(region int, copies []Copy) {
	type heldCopy struct{ tokens, rate float64 }
	var held []heldCopy
	for _, c := range copies {
		if c.To == v.m.Regions[region].Name {
			h := heldCopy{tokens: float64(c.Tokens)}
			if i, used := v.u.at.find(c.Prefix); used {
				h.rate = v.expects(&v.u.list[i], region)
			}
			held = append(held, h)
		}
	}
	curve, memory, rate := v.u.curve[region], v.m.Regions[region].Memory, v.u.rate[region]
	memoryLeft, misses, slopes := memory, 0.0, 0.0
	for range settles {
		v.keeps[region] = curve.Keeps(memoryLeft, rate)
		memoryLeft, misses, slopes = memory, 0, 0
		for _, h := range held {
			lost := h.tokens * math.Exp(-h.rate*v.keeps[region])
			memoryLeft -= lost
			misses += h.rate * lost
			slopes += h.rate * h.rate * lost
		}
		memoryLeft = max(memoryLeft, memory/10)
	}
	total := rate * curve.At(memoryLeft)
	step := memory / 20
	slope := rate * max(curve.At(max(memoryLeft-step, 1))-curve.At(memoryLeft), 0) / step
	v.price[region] = max((slope*total-slopes)/max(total-misses, total/4, 1), slope/2)
}

// settles is how often room and time kept are put into each other; they settle at once, as what held prefixes take is small.
const settles = 4

// worth is what a copy is worth, in tokens read: saved, and what it costs.
type worth struct{ rate, saved, costs float64 }

// A copy is ordered for no less than leastSaved reads within a lease, and stays for no less than leastHeld.
const leastSaved, leastHeld = 0.1, 0.02

// pushes is how many tokens a second are read again in a region for so many that are held there.
func (v *scales) pushes(tokens float64, to int) float64 { return v.price[to] * tokens }

// pays tells whether holding on to a prefix that is there does: it saves reads, and as many as it has others read again. To be
// ordered it must gain more.
func (v *scales) pays(p *prefix, to int) bool {
	return v.saves(p, to) >= leastHeld && v.expects(p, to) > v.price[to]
}

// saves is how many reads of a prefix that is there a lease saves.
func (v *scales) saves(p *prefix, to int) float64 {
	rate := v.expects(p, to)
	return rate * v.m.LeaseMs / 1000 * math.Exp(-rate*v.keeps[to])
}

// weigh tells what copying a prefix over a link is worth within a lease, if it is used at a rate; nothing
// where that is surely less than floor for each token.
func (v *scales) weigh(p *prefix, link *Link, to int, rate, floor float64) worth {
	// It is present already where it was used within the time that the memory keeps what is not used; then nothing is sent.
	present := 0.0
	if v.u.in(p, to).idleMs/1000 < v.keeps[to] {
		present = 1
	}
	tokens := float64(p.tokens)
	horizon := v.m.LeaseMs/1000 - tokens/(v.m.LinkShare*link.Rate)
	uses := rate * horizon
	if horizon <= 0 || uses <= max(floor, leastSaved) { // more than each use is not saved
		return worth{}
	}
	retention := v.keeps[to]
	cost, x := link.Price, rate*retention
	if v.m.ReadTokens != nil {
		cost += v.m.besides(link) / tokens
	}
	cost *= 1 - present
	// No more is saved: 1 − exp(−n) < n − n²/2 + n³/6, and exp(−x) is less than one through the first terms of exp(x).
	bound := (1 - present) * min(uses*(1-uses*(1./2-uses*(1./6))), 1)
	if (bound+(uses-bound)/(1+x*(1+x*(1./2+x*(1./6+x*(1./24))))))*(1+1e-9) <= cost+max(floor, leastSaved) {
		return worth{}
	}
	evictedChance := math.Exp(-x)                     // the chance that it is pushed out between two uses
	firstUse := (1 - present) * (1 - math.Exp(-uses)) // the first use reads it, if there is one
	saved := tokens * (firstUse + max(uses-firstUse, 0)*evictedChance)
	if saved <= (cost+max(floor, leastSaved))*tokens {
		return worth{}
	}
	// Held, it takes room from others, unless it would be there anyway.
	return worth{rate, saved, cost*tokens + v.pushes(tokens, to)*horizon*(1-min((present+firstUse)*(1-evictedChance), 1))}
}

func (o option) why() string {
	return fmt.Sprintf("%.3g uses a second expected: saves %.0f tokens, costs %.0f", o.rate, o.saved, o.costs)
}

// option is a copy that could be ordered.
type option struct {
	p *prefix
	worth
	link *Link
	to   int
	each float64 // what it gains for each token
}

// mostOptions bounds how many copies are weighed against each other: the best of all.
const mostOptions = 2 * MaxCopies

// best are the copies to any region that would save most for each token, and more than they cost by the gain; has tells of
// those that are there or rest.
func (v *scales) best(gain float64, occupied func(k Key, to int) bool) []option {
	var options []option
	floor := 0.0
	for i := range v.u.list {
		p := &v.u.list[i]
		sources := uint32(0) // where it surely was used often enough, and is kept
		for at := p.first; at >= 0; at = v.u.room[at].next {
			if use := &v.u.room[at]; !v.lost[use.region] && use.count >= v.least && use.idleMs/1000 < v.keeps[use.region] {
				sources |= 1 << use.region
			}
		}
		if sources == 0 {
			continue
		}
		for to := range v.m.Regions {
			if v.closed[to] {
				continue
			}
			found, rate := option{}, -1.0
			for set := sources &^ (1 << to); set > 0; set &= set - 1 {
				link := v.links[bits.TrailingZeros32(set)*len(v.m.Regions)+to]
				if link == nil {
					continue
				}
				if rate < 0 {
					rate = v.expects(p, to)
				}
				if one := v.weigh(p, link, to, rate, floor); one.saved > gain*one.costs && (found.p == nil || one.saved-one.costs > found.saved-found.costs) {
					found = option{p: p, worth: one, link: link, to: to}
				}
			}
			if v.m.Own && found.p == nil && sources>>to&1 == 1 {
				own := &Link{To: v.m.Regions[to].Name, Rate: math.Inf(1)}
				if one := v.weigh(p, own, to, v.expects(p, to), floor); one.saved > gain*one.costs {
					found = option{p: p, worth: one, link: own, to: to}
				}
			}
			if found.p == nil {
				continue
			}
			if found.each = (found.saved - found.costs) / float64(p.tokens); found.each > floor && !occupied(p.key, to) {
				if options = append(options, found); len(options) >= 4*mostOptions {
					options = first(options, mostOptions)
					floor = slices.MinFunc(options, func(x, y option) int { return cmp.Compare(x.each, y.each) }).each
				}
			}
		}
	}
	options = first(options, mostOptions)
	slices.SortFunc(options, func(x, y option) int {
		switch {
		case x.before(&y):
			return -1
		case y.before(&x):
			return 1
		}
		return 0
	})
	return options
}

// before tells which of two copies saves more for each token; the order of all is whole.
func (o *option) before(other *option) bool {
	switch {
	case o.each != other.each:
		return o.each > other.each
	case o.p.key != other.p.key:
		return o.p.key < other.p.key
	}
	return o.to < other.to
}

// first are the first n of a list, in any order (quickselect: Hoare 1961).
func first(options []option, n int) []option {
	if len(options) <= n {
		return options
	}
	for low, high := 0, len(options)-1; low < high; {
		pivot, i, j := options[(low+high)/2], low, high
		for i <= j {
			for options[i].before(&pivot) {
				i++
			}
			for pivot.before(&options[j]) {
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
