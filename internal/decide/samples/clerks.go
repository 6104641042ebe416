package samples

import "math"

// Load counts the recent interactive requests of a router. The counts decay by the router's own clock.
type Load struct {
	Total  float64 `json:"n"`   // requests other than samples
	Failed float64 `json:"bad"` // requests refused or answered late
}

func (l Load) valid() bool { return l.Total >= 0 && l.Failed >= 0 && !math.IsInf(l.Total+l.Failed, 0) }

// InteractiveBackoff is the fraction of sample requests that is withheld in favor of interactive requests. It becomes 1
// at once when a larger part of interactive requests is refused or late than the model allows. It falls step by step only
// after a healthy period, so that samples that caused the overload do not all return at once.
type InteractiveBackoff struct {
	Backoff float64 `json:"yield,omitempty"`
}

// minInteractive is the minimum number of requests by which the failed fraction is computed: a single late answer in a quiet
// minute is no overload.
const minInteractive = 20

// updateBackoff adjusts the backoff and reports whether the fraction left to samples changed; that fraction moves in steps of
// the hysteresis (sampleFraction). healthyFor is given whether interactive requests are healthy now and returns how long
// this decider has seen them so, in milliseconds. A decider that has just taken over has seen nothing yet, so a healthy
// period may be counted as shorter than it was, never as longer.
func (s *State) updateBackoff(m Model, reports []Report, passed float64, healthyFor func(healthy bool) float64) bool {
	var sum Load
	for _, r := range reports {
		if !r.Silent {
			sum.Total, sum.Failed = sum.Total+r.Interactive.Total, sum.Failed+r.Interactive.Failed
		}
	}
	before := s.sampleFraction(m)
	failedFraction := sum.Failed / max(sum.Total, minInteractive)
	recovering := min(healthyFor(failedFraction <= m.InteractiveFailedMax/2)-m.InteractiveCalmMs, passed)
	switch {
	case failedFraction > m.InteractiveFailedMax:
		s.Backoff = 1
	case recovering > 0:
		if s.Backoff -= recovering / m.InteractiveRiseMs; s.Backoff < 1e-9 {
			s.Backoff = 0
		}
	}
	return s.sampleFraction(m) != before
}

// sampleFraction returns the fraction left to samples, in whole steps of the hysteresis.
func (s *State) sampleFraction(m Model) float64 {
	steps := math.Round(1 / m.Hysteresis)
	return math.Floor((1-s.Backoff)*steps+1e-9) / steps
}
