package samples

import (
	"cmp"
	"math"
	"slices"
)

// Group is the samples of an epoch that one process of a worker made under one version.
type Group struct {
	Worker     string `json:"worker"`
	Boot       string `json:"boot"`
	Site       string `json:"site,omitempty"`
	Version    int64  `json:"version"`       // when they began
	End        int64  `json:"end,omitempty"` // when they ended, where that differs
	Aged       bool   `json:"aged,omitempty"`
	Count      int    `json:"n"`
	Tokens     int    `json:"tokens"`
	HoldReason string `json:"held,omitempty"` // why they weigh nothing, but for staleness
	Keys       Keys   `json:"keys,omitempty"`
	// WorkerSamples is how much its worker had shown when the epoch was closed, Weight what each sample weighs.
	WorkerSamples float64 `json:"seen,omitempty"`
	Weight        float64 `json:"weight"`
}

func (g Group) lag(newest int64) float64 { return float64(newest - g.Version) }

func (g Group) spread() float64 {
	if g.End == 0 {
		return 0
	}
	return math.Abs(float64(g.End - g.Version))
}

// Weighting is what came of weighing a batch.
type Weighting struct {
	Weighed int `json:"weighed"` // samples that weigh anything; their mean weight is 1
	// EffectiveSize is the effective sample size, of Kish (1965): the square of the sum over the sum of squares.
	EffectiveSize float64 `json:"size"`
	// EqualPart is how much of equal weights was mixed in to keep Size at its floor.
	EqualPart float64 `json:"flat,omitempty"`
	// CapsRelaxed is how far caps had to be moved towards 1, since no weights keep to them and the floor: 0 not at all, 1 wholly.
	CapsRelaxed float64 `json:"relaxed,omitempty"`
}

// eligible tells whether a group's samples may weigh anything.
func (m Model) eligible(g Group, newest int64) bool {
	return g.Count > 0 && g.HoldReason == "" && !g.Aged && m.freshness(g.lag(newest), g.spread()) > 0
}

// Weigh gives each group of a batch its weight, in place.
//
// Before caps it is the freshness times n/(n+Trust) of what was seen. Caps bound the part of the whole that one worker,
// site or version has. The effective sample size is kept up by mixing with what equal weights under the same caps would
// be: a mixture of two that keep to caps keeps to them too. Where that is not enough, caps would have a few samples stand for many: they
// are moved towards 1, at which equal weights have the whole size.
func (m Model) Weigh(groups []Group, newest int64, broken Fault) (weighting Weighting) {
	if broken == NoBound {
		m.StaleMost, m.SpreadMost = math.MaxInt64, math.MaxInt64
	}
	var indexes []int
	for i := range groups {
		groups[i].Weight = 0
		if m.eligible(groups[i], newest) {
			indexes = append(indexes, i)
			weighting.Weighed += groups[i].Count
		}
	}
	if len(indexes) == 0 {
		return weighting
	}
	c := caps{dimensions: [3][]int{memberIndexes(groups, indexes, func(g Group) string { return g.Worker }), memberIndexes(groups, indexes, func(g Group) string { return g.Site }),
		memberIndexes(groups, indexes, func(g Group) int64 { return g.Version })}, limits: [3]float64{m.WorkerCap, m.SiteCap, m.VersionCap}}
	counts, desired := make([]float64, len(indexes)), make([]float64, len(indexes))
	for k, i := range indexes {
		g := groups[i]
		counts[k] = float64(g.Count)
		desired[k] = counts[k] * m.freshness(g.lag(newest), g.spread()) * g.WorkerSamples / (g.WorkerSamples + m.Trust)
	}
	for d, list := range c.dimensions { // k members can't have less than 1/k each
		c.limits[d] = max(c.limits[d], 1/float64(slices.Max(list)+1))
	}
	var share, equal []float64
	// The sum of squares is convex along the mixture, so the mixtures that keep the floor are an interval: if equal weights
	// do, bisection finds its lower end, that is the least of them that does.
	mixed := func(part float64) (out []float64, size float64) {
		out = make([]float64, len(share))
		squares := 0.0
		for k := range share {
			out[k] = (1-part)*share[k] + part*equal[k]
			squares += out[k] * out[k] / counts[k]
		}
		return out, 1 / squares
	}
	floor := m.Floor * float64(weighting.Weighed)
	weighting.CapsRelaxed = c.relax(func(relaxed float64) (kept bool) {
		if share, kept = c.level(desired, relaxed); kept {
			equal, kept = c.level(counts, relaxed)
		}
		return kept && second(mixed(1)) >= floor*(1-1e-9)
	})
	out, size := mixed(0)
	if size < floor {
		low, high := 0.0, 1.0
		for range 40 {
			if middle := (low + high) / 2; second(mixed(middle)) >= floor {
				high = middle
			} else {
				low = middle
			}
		}
		weighting.EqualPart = high
		out, size = mixed(high)
	}
	weighting.EffectiveSize = size
	for k, i := range indexes {
		groups[i].Weight = out[k] * float64(weighting.Weighed) / counts[k]
	}
	return weighting
}

func second[A, B any](_ A, b B) B { return b }

// memberIndexes numbers groups by what of them is capped together.
func memberIndexes[K comparable](groups []Group, indexes []int, of func(Group) K) []int {
	known, out := map[K]int{}, make([]int, len(indexes))
	for k, i := range indexes {
		member := of(groups[i])
		if _, ok := known[member]; !ok {
			known[member] = len(known)
		}
		out[k] = known[member]
	}
	return out
}

// caps are bounds on parts of the whole: family[f][k] is the member of family f that the k-th group belongs to.
type caps struct {
	dimensions [3][]int
	limits     [3]float64
}

// relaxSteps are those by which caps that can't be kept are relaxed.
const relaxSteps = 32

// relax gives the least step by which caps are moved towards 1 so that all is kept. At 1 there are no caps, so it ends.
func (c caps) relax(kept func(relaxed float64) bool) float64 {
	for step := range relaxSteps {
		if kept(float64(step) / relaxSteps) {
			return float64(step) / relaxSteps
		}
	}
	kept(1)
	return 1
}

// level gives the parts of the whole that masses have under caps that are relaxed so far; false: no level was found.
//
// It is water-filling: at a level S no member of a family has more than its cap times S, and what is above is cut off, its
// groups in proportion. Cutting never raises another's mass, so all caps hold once each family was cut. If what is left
// at level S is S or more, its parts of the whole keep to the caps. The highest such level is sought by bisection;
// whatever is found was tested, so nothing rests on what is left being monotone.
func (c caps) level(mass []float64, relaxed float64) ([]float64, bool) {
	sum, remaining := 0.0, make([]float64, len(mass))
	for _, v := range mass {
		sum += v
	}
	mass = slices.Clone(mass)
	for k := range mass {
		mass[k] /= sum
	}
	try := func(level float64) (sum float64) {
		copy(remaining, mass)
		for d := range c.dimensions {
			c.clip(remaining, d, level*(c.limits[d]+relaxed*(1-c.limits[d])))
		}
		for _, v := range remaining {
			sum += v
		}
		return sum
	}
	parts := func(sum float64) []float64 {
		out := slices.Clone(remaining)
		for k := range out {
			out[k] /= sum
		}
		return out
	}
	const enough = 1 - 1e-12
	if sum = try(1); sum >= enough {
		return parts(sum), true
	}
	low, high := 1e-9, 1.0
	sum = try(low)
	if sum < low*enough {
		return nil, false
	}
	best := parts(sum)
	for range 50 {
		middle := math.Sqrt(low * high)
		if sum := try(middle); sum >= middle*enough {
			low, best = middle, parts(sum)
		} else {
			high = middle
		}
	}
	return best, true
}

// clip cuts each member of a family to what it may have.
func (c caps) clip(mass []float64, d int, limit float64) {
	sums := make([]float64, len(mass))
	for k, v := range mass {
		sums[c.dimensions[d][k]] += v
	}
	for k := range mass {
		if sum := sums[c.dimensions[d][k]]; sum > limit {
			mass[k] *= limit / sum
		}
	}
}

// sortGroups puts groups in an order that is the same whoever counts.
func sortGroups(list []Group) {
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Version, b.Version), cmp.Compare(a.End, b.End), cmp.Compare(a.HoldReason, b.HoldReason))
	})
}
