package reuse

import (
	"cmp"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
	"unsafe"
)

// drawnUse is one use in a generated stream.
type drawnUse struct {
	key    Key
	tokens int
	at     time.Duration
	router int
}

// drawStream generates uses of prefixes by Zipf's law with drifting ranks, sessions that use their own prefix a few times in quick
// succession, and scans of prefixes that are used once. Each use goes to a random router, or to one chosen by its key.
func drawStream(seed uint64, n, routers int, sticky float64) (out []drawnUse) {
	rng := rand.New(rand.NewPCG(seed, 7))
	zipf := rand.NewZipf(rng, 1.1, 8, 20000)
	size := func(k uint64) int { return 200 + int(mix(Key(k)*31)%4000) }
	nextFresh, now := uint64(1<<40), time.Duration(0)
	var pendingTurns []uint64
	for i := range n {
		now += time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))
		var k uint64
		switch p := rng.Float64(); {
		case p < 0.6:
			k = (zipf.Uint64() + uint64(i/2000)*3) % 20000
		case p < 0.8 && len(pendingTurns) > 0: // the next turn of a session
			at := rng.IntN(len(pendingTurns))
			k = pendingTurns[at]
			pendingTurns[at] = pendingTurns[len(pendingTurns)-1]
			pendingTurns = pendingTurns[:len(pendingTurns)-1]
		case i%20000 < 2000 || p < 0.9: // a scan, or the first turn of a session
			nextFresh++
			k = nextFresh
			if i%20000 >= 2000 {
				for range rng.IntN(5) {
					pendingTurns = append(pendingTurns, k)
				}
			}
		default:
			k = zipf.Uint64()
		}
		r := rng.IntN(routers)
		if mix(Key(k)+5)%1000 < uint64(1000*sticky) {
			r = int(mix(Key(k)+9) % uint64(routers))
		}
		out = append(out, drawnUse{Key(mix(Key(k ^ seed<<50))), size(k), now, r})
	}
	return out
}

// exactMissRatios is Mattson's stack algorithm over tokens (Mattson, Gecsei, Slutz, Traiger, "Evaluation techniques for storage
// hierarchies", IBM Systems Journal 1970) with a tree of partial sums. It returns the part of tokens missed, by memory size.
func exactMissRatios(uses []drawnUse, memories []float64) []float64 {
	tree := make([]float64, len(uses)+1)
	add := func(at int, v float64) {
		for i := at + 1; i <= len(uses); i += i & -i {
			tree[i] += v
		}
	}
	upTo := func(n int) (sum float64) {
		for i := n; i > 0; i -= i & -i {
			sum += tree[i]
		}
		return sum
	}
	last := map[Key]int{}
	missed := make([]float64, len(memories))
	all := 0.0
	for i, u := range uses {
		distance := math.Inf(1)
		if at, known := last[u.key]; known {
			distance = upTo(i) - upTo(at+1) + float64(u.tokens)
			add(at, -float64(u.tokens))
		}
		for j, m := range memories {
			if distance > m {
				missed[j] += float64(u.tokens)
			}
		}
		all += float64(u.tokens)
		add(i, float64(u.tokens))
		last[u.key] = i
	}
	for j := range missed {
		missed[j] /= all
	}
	return missed
}

func memorySizes() (out []float64) {
	for m := 2000.0; m <= 30e6; m *= 1.25 {
		out = append(out, m)
	}
	return out
}

func meanError(c Curve, memories, exact []float64) (mean float64) {
	for i, m := range memories {
		mean += math.Abs(c.MissRatio(m)-exact[i]) / float64(len(memories))
	}
	return mean
}

// routedCurve splits a stream over routers, each with a meter that receives all reports with varying delays. It returns the curve
// of the first router.
func routedCurve(uses []drawnUse, routers int, period, delay time.Duration, seed uint64) Curve {
	rng := rand.New(rand.NewPCG(seed, 11))
	meters := make([]*Meter, routers)
	nextReport := make([]time.Duration, routers)
	for i := range meters {
		meters[i], nextReport[i] = NewMeter(40e6), time.Duration(rng.Int64N(int64(period)))
	}
	type report struct {
		sample Sample
		at     time.Duration
	}
	var inFlight []report
	for _, u := range uses {
		for i := range meters {
			if nextReport[i] <= u.at {
				inFlight = append(inFlight, report{meters[i].TakeSample(nextReport[i]), nextReport[i] + time.Duration(rng.Int64N(int64(delay)))})
				nextReport[i] += period
			}
		}
		slices.SortStableFunc(inFlight, func(a, b report) int { return cmp.Compare(a.at, b.at) })
		for len(inFlight) > 0 && inFlight[0].at <= u.at {
			for _, m := range meters[:min(2, routers)] {
				m.AddSample(inFlight[0].sample, inFlight[0].at, period)
			}
			inFlight = inFlight[1:]
		}
		for _, m := range meters { // in service all meters receive all reports; here the others only need the threshold
			m.collector.threshold = min(m.collector.threshold, meters[0].region.threshold)
		}
		meters[u.router].Use(u.key, u.tokens, u.at)
	}
	return meters[0].Curve()
}

// The curve of a region has a mean error below 0.02 against the exact one, for one router and for a stream split over many. Curves
// from each router's own part alone do not, neither merged as they are nor with their distances scaled up.
func TestCurveAgainstMattson(t *testing.T) {
	memories := memorySizes()
	for _, sticky := range []float64{0, 0.5, 1} {
		for _, routers := range []int{1, 5, 20} {
			var sum, worst, raw, scaled float64
			seeds := 2.0 // the design note uses five
			if os.Getenv("LAB_LONG") != "" {
				seeds = 5
			}
			for seed := range uint64(seeds) {
				uses := drawStream(seed, 120_000, routers, sticky)
				truth := exactMissRatios(uses, memories)
				meanErr := meanError(routedCurve(uses, routers, time.Second, 300*time.Millisecond, seed), memories, truth)
				sum, worst = sum+meanErr/seeds, max(worst, meanErr)
				var ownCurves, scaledCurves []Curve
				for r := range routers {
					sampler, scaledSampler := NewSampler(40e6), NewSampler(40e6)
					for _, u := range uses {
						if u.router == r {
							sampler.AddTotal(float64(u.tokens))
							sampler.Use(u.key, u.tokens)
						}
					}
					scaledSampler.hist = sampler.hist
					scaledSampler.hist.Buckets = [bucketCount]float64{}
					for i, v := range sampler.hist.Buckets {
						scaledSampler.hist.Buckets[bucket(bucketLimit(i)*float64(routers)*0.999)] += v
					}
					ownCurves, scaledCurves = append(ownCurves, sampler.Curve()), append(scaledCurves, scaledSampler.Curve())
				}
				raw, scaled = raw+meanError(Merge(ownCurves...), memories, truth)/seeds, scaled+meanError(Merge(scaledCurves...), memories, truth)/seeds
			}
			t.Logf("%.0f%% sticky, %2d routers: mean absolute error %.4f (worst of %.0f seeds %.4f); own curves merged %.4f, distances scaled by routers %.4f",
				100*sticky, routers, sum, seeds, worst, raw, scaled)
			if worst >= 0.02 {
				t.Errorf("%.0f%% sticky, %d routers: mean absolute error %.4f, must be below 0.02", 100*sticky, routers, worst)
			}
		}
	}
}

// A meter takes less than 64 KB whatever it has measured: it has no maps and its slices do not grow.
func TestMeterIsBounded(t *testing.T) {
	if size := unsafe.Sizeof(Meter{}); size > 64<<10 {
		t.Errorf("a meter takes %d bytes, at most 65536 allowed", size)
	} else {
		t.Logf("a meter takes %d bytes", size)
	}
	m := NewMeter(40e6)
	uses := drawStream(1, 5000, 1, 0)
	if n := testing.AllocsPerRun(1, func() {
		for _, u := range uses {
			m.Use(u.key, u.tokens, u.at)
		}
	}); n > 50 { // made by the test itself
		t.Errorf("%v allocations for %d uses, at most 50 allowed", n, len(uses))
	}
}
