package samples

import "math"

// Load is what clerks' requests met at a router lately: its counts fade by the router's own clock.
type Load struct {
	Total  float64 `json:"n"`   // requests that are no samples
	Failed float64 `json:"bad"` // of these, refused or answered late
}

func (l Load) valid() bool { return l.Total >= 0 && l.Failed >= 0 && !math.IsInf(l.Total+l.Failed, 0) }

// InteractiveBackoff is how far samples give way to clerks' requests. Yield is the part that they give up: all of it at once when
// more of the others are refused or late than the model says, and back step by step only once it was calm for a while, so
// that samples which are the cause of it do not return at once with their whole weight.
type InteractiveBackoff struct {
	Backoff float64 `json:"yield,omitempty"`
}

// minInteractive is how many requests what was met is judged by at least: one late answer in a quiet minute is no jam.
const minInteractive = 20

// updateBackoff moves the part that is given up; it tells whether that says anything new: what is carried out moves in steps of the
// hysteresis (room). calm is told whether clerks are well, and for how long this decider has seen that, in milliseconds: one
// that is new to its turn has seen nothing yet, so a calm may count for shorter than it was, never for longer.
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

// sampleFraction is the part that is left to samples, in whole steps of the hysteresis.
func (s *State) sampleFraction(m Model) float64 {
	steps := math.Round(1 / m.Hysteresis)
	return math.Floor((1-s.Backoff)*steps+1e-9) / steps
}
