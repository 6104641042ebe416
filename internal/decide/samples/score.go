package samples

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// WorkerStats is what is remembered of a worker since it started anew: decayed counts and moments of its samples' speeds.
type WorkerStats struct {
	Boot  string `json:"boot"`
	Label int64  `json:"label"` // the version its record claims
	Site  string `json:"site,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Samples is how many samples were seen, Accepted how many of them were, both decayed. Speed and Spread are the mean of the
	// logarithm of tokens a second and the sum of squares about it, Length that of the logarithm of tokens (Welford's
	// recurrences, with forgetting).
	Samples      float64 `json:"n"`
	Accepted     float64 `json:"accepted"`
	LogSpeed     float64 `json:"speed"`
	SpeedSquares float64 `json:"spread"`
	LogLength    float64 `json:"length"`
	NewerSamples int     `json:"ahead,omitempty"` // samples of a newer version than the label said
	HoldReason   string  `json:"held,omitempty"`  // why its samples are held; "": they are not
	HeldMs       float64 `json:"held_ms,omitempty"`
	Mislabeled   bool    `json:"claims,omitempty"` // it is held for what it claims to run, until it starts anew
	// Review is of a hold as an outlier that hindsight has not settled, After how many samples came since.
	Review    HoldReview `json:"doubt,omitempty"`
	SinceHold int        `json:"after,omitempty"`
	// Rate is its throughput in accepted tokens a second of generation, as shrunk to its kind; Err its relative standard
	// error; Score that against the fleet's median, with its staleness.
	Rate     float64 `json:"rate"`
	RelError float64 `json:"err"`
	Score    float64 `json:"score"`

	compared bool // with enough others of its kind, at the last look
	deviates bool // and it is not near them
}

// decay lets what was seen fade.
func (w *WorkerStats) decay(factor float64) {
	w.Samples, w.Accepted, w.SpeedSquares = w.Samples*factor, w.Accepted*factor, w.SpeedSquares*factor
}

// observe takes a sample in.
func (w *WorkerStats) observe(s Sample) {
	logSpeed, logLength := math.Log(float64(max(s.Tokens, 1))/(float64(max(s.TookMs, 1))/1000)), math.Log(float64(max(s.Tokens, 1)))
	w.Samples++
	if w.Review != "" {
		w.SinceHold++
	}
	delta := logSpeed - w.LogSpeed
	w.LogSpeed += delta / w.Samples
	w.SpeedSquares += delta * (logSpeed - w.LogSpeed)
	w.LogLength += (logLength - w.LogLength) / w.Samples
	if s.Accepted {
		w.Accepted++
	}
}

// priorVariance is the variance of a sample's log speed that is assumed of a kind of which too little was seen.
const priorVariance = 0.04

// estimateRates estimates each worker's throughput beside those of its kind.
//
// The log speed of a sample is taken as normal about its worker's own, and workers' own about their kind's. With n
// samples of variance v each, and t the variance between workers, a worker's mean is shrunk to its kind's by v/n / (v/n +
// t): empirical Bayes (Morris, JASA 1983), with t by moments (DerSimonian and Laird, 1986). The part that is accepted has
// a Beta posterior under the kind's own part, worth two samples. Both errors are added as relative variances.
func estimateRates(workers map[string]*WorkerStats) {
	kinds := map[string][]*WorkerStats{}
	for _, name := range slices.Sorted(maps.Keys(workers)) {
		w := workers[name]
		kinds[w.Kind] = append(kinds[w.Kind], w)
	}
	for _, list := range kinds {
		within, degrees, samples, accepted := priorVariance, 1.0, 0.0, 0.0
		for _, w := range list {
			within, degrees = within+w.SpeedSquares, degrees+max(w.Samples-1, 0)
			samples, accepted = samples+w.Samples, accepted+w.Accepted
		}
		v := within / degrees
		var speeds, precisions []float64
		for _, w := range list {
			if w.Samples > 0 {
				speeds, precisions = append(speeds, w.LogSpeed), append(precisions, w.Samples/v)
			}
		}
		mean, between := 0.0, 0.0
		if len(speeds) > 0 {
			mean = stat.Mean(speeds, precisions)
			q, sum, squares := 0.0, 0.0, 0.0
			for i := range speeds {
				q, sum, squares = q+precisions[i]*(speeds[i]-mean)*(speeds[i]-mean), sum+precisions[i], squares+precisions[i]*precisions[i]
			}
			if d := sum - squares/sum; d > 1e-9*sum {
				between = max(0, (q-float64(len(speeds)-1))/d)
			}
		}
		priorPart := (accepted + 1) / (samples + 1)
		for _, w := range list {
			speed, variance := mean, between+v
			if w.Samples > 0 {
				shrink := v / w.Samples / (v/w.Samples + between + 1e-12)
				speed, variance = mean+(1-shrink)*(w.LogSpeed-mean), v/(w.Samples+v/(between+1e-12))
			}
			a, b := w.Accepted+2*priorPart, max(w.Samples-w.Accepted, 0)+2*(1-priorPart)
			acceptedPart := a / (a + b)
			w.Rate = math.Exp(min(speed, 50)) * acceptedPart
			w.RelError = math.Sqrt(variance + b/(a*(a+b+1)))
			if len(speeds) == 0 {
				w.Rate = 0
			}
		}
	}
}

// The terms under which a worker counts as an outlier: at least so many samples, so many workers of its kind that have
// them, and a deviation of the logarithm that is no less than this, however alike the others are.
const (
	outlierMinSamples, outlierMinPeers = 8, 5
	outlierMinScale                    = 0.05
)

// holdOutliers judges workers beside those of their kind, by the deviation from the median over the median deviation
// (Hampel, JASA 1974; 1.4826 makes it a standard deviation for normal figures). A worker whose answers are much longer or
// shorter than others', that is accepted far more or less often, or that is too quick to be true, is held; one that is slow is not: its samples'
// staleness says what that costs.
func (m Model) holdOutliers(workers map[string]*WorkerStats) {
	kinds := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(workers)) {
		w := workers[name]
		if w.compared = false; w.Samples >= outlierMinSamples {
			kinds[w.Kind] = append(kinds[w.Kind], name)
		}
	}
	reasons := map[string]string{}
	deviating := map[string]bool{}
	for _, list := range kinds {
		if len(list) < outlierMinPeers {
			continue
		}
		for _, metric := range []struct {
			name     string
			value    func(*WorkerStats) float64
			twoSided bool
		}{{"speed", func(w *WorkerStats) float64 { return w.LogSpeed }, false}, {"length", func(w *WorkerStats) float64 { return w.LogLength }, true},
			{"acceptance", func(w *WorkerStats) float64 { return math.Log((w.Accepted + 1) / (w.Samples + 2)) }, true}} {
			var values []float64
			for _, name := range list {
				workers[name].compared = true
				values = append(values, metric.value(workers[name]))
			}
			middle := median(values)
			var deviations []float64
			for _, v := range values {
				deviations = append(deviations, math.Abs(v-middle))
			}
			scale := max(1.4826*median(deviations), outlierMinScale)
			for i, name := range list {
				z := (values[i] - middle) / scale
				if metric.twoSided {
					z = math.Abs(z)
				}
				if z > m.Outlier {
					reasons[name] = fmt.Sprintf("its %s is %.1f robust deviations from that of its kind", metric.name, z)
				}
				if z > m.Outlier/2 {
					deviating[name] = true
				}
			}
		}
	}
	for name, w := range workers {
		w.deviates = deviating[name]
		switch {
		case w.HoldReason == "" && reasons[name] != "":
			w.HoldReason, w.HeldMs = reasons[name], 0
		case w.HoldReason != "" && !w.Mislabeled && !deviating[name] && w.HeldMs >= m.HoldMs:
			w.HoldReason, w.HeldMs = "", 0
		}
	}
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return stat.Quantile(0.5, stat.LinInterp, sorted, nil)
}

// updateScores says what a worker is worth for samples now: its throughput against the median, times its freshness.
func (m Model) updateScores(workers map[string]*WorkerStats, newest int64) {
	var rates []float64
	for _, w := range workers {
		if w.Rate > 0 {
			rates = append(rates, w.Rate)
		}
	}
	middle := 1.0
	if len(rates) > 0 {
		middle = median(rates)
	}
	for _, w := range workers {
		rate := cmp.Or(w.Rate, middle)
		w.Score = rate / middle * m.freshness(float64(newest-w.Label), 0)
	}
}
