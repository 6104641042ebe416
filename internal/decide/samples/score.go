package samples

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// WorkerStats are the decayed statistics of a worker's samples since it last restarted or changed its version.
type WorkerStats struct {
	Boot  string `json:"boot"`
	Label int64  `json:"label"` // the version that its record claims
	Site  string `json:"site,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Samples and Accepted are the decayed counts of samples and of accepted samples. LogSpeed is the mean of the logarithm
	// of tokens a second, SpeedSquares the sum of squares about it, and LogLength the mean of the logarithm of tokens
	// (Welford's recurrences, with exponential forgetting).
	Samples      float64 `json:"n"`
	Accepted     float64 `json:"accepted"`
	LogSpeed     float64 `json:"speed"`
	SpeedSquares float64 `json:"spread"`
	LogLength    float64 `json:"length"`
	NewerSamples int     `json:"ahead,omitempty"` // samples of a newer version than the label
	HoldReason   string  `json:"held,omitempty"`  // why its samples are held; empty if they are not
	HeldMs       float64 `json:"held_ms,omitempty"`
	Mislabeled   bool    `json:"claims,omitempty"` // it claims a version that it does not run; held until it restarts
	// Review is the review of an unsettled hold as an outlier, SinceHold the number of samples since the hold began.
	Review    HoldReview `json:"doubt,omitempty"`
	SinceHold int        `json:"after,omitempty"`
	// Rate is its throughput in accepted tokens a second of generation, shrunk towards its kind. RelError is the relative
	// standard error of Rate. Score is Rate relative to the fleet's median, times the freshness.
	Rate     float64 `json:"rate"`
	RelError float64 `json:"err"`
	Score    float64 `json:"score"`

	compared bool // at the last check there were enough others of its kind
	deviates bool // at the last check it was not near the others
}

// decay multiplies the accumulated statistics by a factor.
func (w *WorkerStats) decay(factor float64) {
	w.Samples, w.Accepted, w.SpeedSquares = w.Samples*factor, w.Accepted*factor, w.SpeedSquares*factor
}

// observe adds a sample.
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

// priorVariance is the assumed variance of a sample's log speed for a kind with too few samples.
const priorVariance = 0.04

// estimateRates estimates each worker's throughput together with the others of its kind.
//
// The log speed of a sample is modeled as normal about its worker's mean, and the workers' means as normal about the mean
// of their kind. With n samples of variance v each, and t the variance between workers, a worker's mean is shrunk towards
// its kind's by v/n / (v/n + t): empirical Bayes (Morris, JASA 1983), with t by moments (DerSimonian and Laird, 1986). The
// accepted fraction has a Beta posterior whose prior is the kind's own fraction, with the weight of two samples. The two
// errors are added as relative variances.
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

// Conditions for a worker to count as an outlier: the minimum number of its samples, the minimum number of workers of its
// kind with as many, and the minimum scale for deviations of the logarithm, however similar the others are.
const (
	outlierMinSamples, outlierMinPeers = 8, 5
	outlierMinScale                    = 0.05
)

// holdOutliers compares workers with others of their kind, by the deviation from the median over the median absolute
// deviation (Hampel, JASA 1974; the factor 1.4826 makes it a standard deviation for normal values). It holds a worker whose
// answers are much longer or shorter than the others', that is accepted far more or less often, or that is implausibly
// fast. A slow worker is not held: the staleness of its samples already accounts for it.
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

// updateScores sets the score of each worker: its throughput relative to the median, times its freshness.
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
