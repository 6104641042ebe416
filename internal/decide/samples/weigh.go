package samples

import (
	"cmp"
	"math"
	"slices"
)

// Group is the samples of an epoch that one process of a worker generated under one version.
type Group struct {
	Worker     string `json:"worker"`
	Boot       string `json:"boot"`
	Site       string `json:"site,omitempty"`
	Version    int64  `json:"version"`       // the version when they began
	End        int64  `json:"end,omitempty"` // the version when they ended, if that differs
	Aged       bool   `json:"aged,omitempty"`
	Count      int    `json:"n"`
	Tokens     int    `json:"tokens"`
	HoldReason string `json:"held,omitempty"` // why they have weight 0, apart from staleness
	Keys       Keys   `json:"keys,omitempty"`
	// WorkerSamples is the worker's sample count when the epoch was closed, Weight the weight of each sample.
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

// Weighting is the result of weighing a batch.
type Weighting struct {
	Weighed int `json:"weighed"` // samples with a weight above 0; their mean weight is 1
	// EffectiveSize is the effective sample size of Kish (1965): the square of the sum of weights over the sum of squares.
	EffectiveSize float64 `json:"size"`
	// EqualPart is the part of equal weights that was mixed in to keep EffectiveSize at its floor.
	EqualPart float64 `json:"flat,omitempty"`
	// CapsRelaxed is how far caps were moved towards 1 because no weights satisfy both them and the floor, from 0 (not at all)
	// to 1 (no caps).
	CapsRelaxed float64 `json:"relaxed,omitempty"`
}

// eligible reports whether a group's samples may have a weight above 0.
func (m Model) eligible(g Group, newest int64) bool {
	return g.Count > 0 && g.HoldReason == "" && !g.Aged && m.freshness(g.lag(newest), g.spread()) > 0
}

// Weigh sets the weight of each group of a batch, in place.
//
// Before caps, the weight is the freshness times n/(n+Trust), with n the worker's sample count. Caps bound the part of the
// total that one worker, site or version has. To keep the effective sample size at its floor, the result is mixed with
// equal weights under the same caps: a mixture of two weightings that satisfy the caps satisfies them too. If that is not
// enough, the caps would give most of the weight to a few samples. They are then moved towards 1, where equal weights have
// the full effective size.
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
	c := caps{dimensions: [3][]int{memberIndexes(groups, indexes, func(g Group) string { return g.Worker }),
		memberIndexes(groups, indexes, func(g Group) string { return g.Site }),
		memberIndexes(groups, indexes, func(g Group) int64 { return g.Version })}, limits: [3]float64{m.WorkerCap, m.SiteCap, m.VersionCap}}
	counts, desired := make([]float64, len(indexes)), make([]float64, len(indexes))
	for k, i := range indexes {
		g := groups[i]
		counts[k] = float64(g.Count)
		desired[k] = counts[k] * m.freshness(g.lag(newest), g.spread()) * g.WorkerSamples / (g.WorkerSamples + m.Trust)
	}
	for d, list := range c.dimensions { // with k members, a cap below 1/k can't be satisfied
		c.limits[d] = max(c.limits[d], 1/float64(slices.Max(list)+1))
	}
	var share, equal []float64
	// The sum of squares is convex along the mixture, so the mixtures that satisfy the floor form an interval. If equal
	// weights satisfy it, bisection finds the lower end of the interval, which is the smallest sufficient mixture.
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

// memberIndexes assigns each group the index of its member in a capped dimension: a worker, a site or a version.
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

// caps are bounds on parts of the total: dimensions[d][k] is the member of dimension d that the k-th group belongs to.
type caps struct {
	dimensions [3][]int
	limits     [3]float64
}

// relaxSteps is the number of steps in which caps that can't be satisfied are relaxed.
const relaxSteps = 32

// relax returns the smallest step by which caps are moved towards 1 so that kept holds. At 1 there are no caps, so the search
// ends there.
func (c caps) relax(kept func(relaxed float64) bool) float64 {
	for step := range relaxSteps {
		if kept(float64(step) / relaxSteps) {
			return float64(step) / relaxSteps
		}
	}
	kept(1)
	return 1
}

// level returns the parts of the total for the given masses under caps relaxed by the given amount, or false if no level was
// found.
//
// It uses water-filling. At a level S, a member of a dimension has at most its cap times S; the excess is cut off from its
// groups in proportion. Cutting never raises the mass of another member, so all caps hold once each dimension has been cut.
// If the remaining mass at level S is S or more, its parts of the total satisfy the caps. Bisection searches for the highest
// such level. Every level that it returns was tested, so the result does not depend on the remaining mass being monotone.
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

// clip cuts each member of a dimension to its limit.
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

// sortGroups sorts groups into an order that is the same for all deciders.
func sortGroups(list []Group) {
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.End, b.End), cmp.Compare(a.HoldReason, b.HoldReason))
	})
}
