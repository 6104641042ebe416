package reuse

import (
	"math"
	"sort"
)

// Curve is a miss-ratio curve: the part of used prefix tokens that has to be read again with a memory of a given size, at the
// bounds of the histogram's buckets. In JSON it has at most 700 bytes.
type Curve struct {
	Tokens float64  `json:"tokens"`         // used tokens behind the curve, its weight in Merge
	Miss   []uint16 `json:"miss,omitempty"` // by bucket, in units of 1/65535
}

const fullScale = math.MaxUint16

// Curve computes the curve of a histogram. The total of used tokens is known exactly, but the samples represent more or less
// than that, depending on which heavy prefixes the hash selects. SHARDS-adj takes the difference from the shortest distance.
// Here it is taken from each bucket in proportion to the bucket's covariance with the sum over such samples (a regression
// estimator). The weight of a bucket is the sum over prefixes of their tokens in the bucket times all their tokens. On
// generated streams the error is less than half that of SHARDS-adj, since a heavy prefix is not reused at once where its
// region's stream is long.
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

// MissRatio is the part of used tokens that a memory of the given size has to read again. It interpolates between bucket
// bounds. An empty curve has a miss ratio of 1.
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

// Retention is how long, in seconds, a memory keeps a prefix that is not used, when rate prefix tokens are used per second. A
// prefix is evicted once as many new tokens have arrived as the memory holds. New tokens arrive at the rate of misses, so that
// with memory m filled dm/dt = rate·MissRatio(m) (Denning's working sets; Xiang, Ding, Luo, Bao, "HOTL", ASPLOS '13). It is
// +Inf where nothing is evicted.
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

// Merge returns the mean of curves, weighted by their tokens.
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

// valid reports whether the curve is non-increasing and has either no buckets or as many as the histogram.
func (c Curve) valid() bool {
	nonIncreasing := sort.SliceIsSorted(c.Miss, func(i, j int) bool { return c.Miss[i] > c.Miss[j] })
	return nonIncreasing && (len(c.Miss) == 0 || len(c.Miss) == bucketCount) && c.Tokens >= 0 && !math.IsInf(c.Tokens, 0)
}
