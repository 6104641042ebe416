package reuse

import (
	"math"
	"sort"
)

// Curve is the part of used prefix tokens that has to be read anew with a memory of a given size (a miss-ratio curve), at the
// bounds of the histogram's buckets. In JSON it is at most 700 bytes.
type Curve struct {
	Tokens float64  `json:"tokens"`         // used, by which it was made: its weight beside others
	Miss   []uint16 `json:"miss,omitempty"` // by bucket, in units of 1/65535
}

const fullScale = math.MaxUint16

// Curve makes the curve of a histogram. What was used is known exactly, and the samples stand for more or less than that by
// the heavy prefixes that the hash happens to take. SHARDS-adj takes the difference from the shortest distance; here it is
// taken from each bucket by how much that varies together with the sum over such draws (a regression estimator: the weight
// of a bucket is the sum over prefixes of its tokens in the bucket times all its tokens), which on drawn streams errs less
// than half as much, since heavy prefixes are not used again at once where their region's stream is long.
func (h *Histogram) Curve() Curve {
	sum, covariance := h.Cold, h.coldCovariance
	for i, v := range h.Buckets {
		sum, covariance = sum+v, covariance+h.covariance[i]
	}
	if sum <= 0 {
		return Curve{}
	}
	total, shift := sum, 0.0
	if h.Total > 0 && covariance > 0 {
		total, shift = h.Total, (sum-h.Total)/covariance
	}
	c := Curve{Tokens: math.Round(total), Miss: make([]uint16, bucketCount)}
	adjusted, adjustedTotal := make([]float64, bucketCount), max(h.Cold-shift*h.coldCovariance, 0)
	for i, v := range h.Buckets {
		adjusted[i] = max(v-shift*h.covariance[i], 0)
		adjustedTotal += adjusted[i]
	}
	total, missed := adjustedTotal, adjustedTotal
	for i, v := range adjusted {
		missed -= v
		c.Miss[i] = uint16(math.Round(fullScale * min(max(missed/total, 0), 1)))
	}
	return c
}

// MissRatio is the part that a memory of some tokens has to read anew. Between bounds it is interpolated; a curve of nothing says that
// all is.
func (c Curve) MissRatio(memory float64) float64 {
	if len(c.Miss) == 0 || memory <= 0 {
		return 1
	}
	position := bucketsPerOctave * math.Log2(memory/minDistance)
	i := int(math.Floor(position))
	switch {
	case position <= 0:
		return 1 + (c.missAt(0)-1)*memory/minDistance
	case i >= len(c.Miss)-1:
		return c.missAt(len(c.Miss) - 1)
	}
	lower := bucketLimit(i)
	fraction := (memory - lower) / (bucketLimit(i+1) - lower)
	return c.missAt(i) + fraction*(c.missAt(i+1)-c.missAt(i))
}

func (c Curve) missAt(i int) float64 { return float64(c.Miss[i]) / fullScale }

// Retention is how long a memory keeps what is not used, where rate prefix tokens are used each second: until as many new ones have
// come. New ones come at the rate of misses, so that with memory m filled dm/dt = rate·At(m) (Denning's working sets; Xiang,
// Ding, Luo, Bao, "HOTL", ASPLOS '13). In seconds; +Inf where nothing is pushed out.
func (c Curve) Retention(memory, rate float64) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	seconds, from := 0.0, 0.0
	for i := 0; from < memory; i++ {
		to := memory
		if i < bucketCount {
			to = min(bucketLimit(i), memory)
		}
		missRatio := (c.MissRatio(from) + c.MissRatio(to)) / 2
		if missRatio <= 0 {
			return math.Inf(1)
		}
		seconds += (to - from) / (rate * missRatio)
		from = to
	}
	return seconds
}

// Merge is the mean of curves, by what each was made of.
func Merge(curves ...Curve) Curve {
	var weighted [bucketCount]float64
	merged := Curve{}
	for _, c := range curves {
		if !c.valid() || len(c.Miss) == 0 {
			continue
		}
		merged.Tokens += c.Tokens
		for i, v := range c.Miss {
			weighted[i] += c.Tokens * float64(v)
		}
	}
	if merged.Tokens <= 0 {
		return Curve{}
	}
	merged.Miss = make([]uint16, bucketCount)
	for i, v := range weighted {
		merged.Miss[i] = uint16(math.Round(v / merged.Tokens))
	}
	return merged
}

// valid tells whether a curve is one: it falls, and has as many bounds as the histogram, or none.
func (c Curve) valid() bool {
	nonIncreasing := sort.SliceIsSorted(c.Miss, func(i, j int) bool { return c.Miss[i] > c.Miss[j] })
	return nonIncreasing && (len(c.Miss) == 0 || len(c.Miss) == bucketCount) && c.Tokens >= 0 && !math.IsInf(c.Tokens, 0)
}
