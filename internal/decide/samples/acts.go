package samples

import (
	"cmp"
	"math"
	"slices"
)

// Actions are the decisions of a state that routers carry out.
type Actions struct {
	// AdmitFraction is the fraction of sample requests that is admitted, from 0 to 1.
	AdmitFraction float64 `json:"part"`
	// Shares is the share of prompts for each worker, from 0 to 1. The decision module still chooses the worker of a request.
	Shares map[string]float64 `json:"shares,omitempty"`
	// Reloads are the workers that should load the newest version, ordered by gain. They are requests only: which worker
	// may be taken out of service, and when, is decided together with all other outages.
	Reloads []Reload `json:"reloads,omitempty"`
	Notice  string   `json:"said,omitempty"` // a notice for the operator
}

// Reload asks for a permit to reload a worker.
type Reload struct {
	Worker string  `json:"worker"`
	Boot   string  `json:"boot"`
	From   int64   `json:"from"`
	To     int64   `json:"to"`
	Gain   float64 `json:"gain"` // accepted tokens a second that would have a weight above 0 again
}

// updateActions recomputes the actions and reports whether they changed.
func (s *State) updateActions(m Model, reports []Report) bool {
	before := s.Actions
	s.AdmitFraction, s.Notice = s.admitFraction(m, reports)
	if fraction := s.sampleFraction(m); fraction < 1 {
		if s.AdmitFraction *= fraction; s.Notice == "" {
			s.Notice = "samples give way: clerks' requests are refused or late"
		}
	}
	if s.AdmitFraction > 0 && s.AdmitFraction < 1 && math.Abs(s.AdmitFraction-before.AdmitFraction) < m.Hysteresis-1e-9 && before.AdmitFraction > 0 {
		s.AdmitFraction = before.AdmitFraction
	}
	changed := s.AdmitFraction != before.AdmitFraction || s.Notice != before.Notice
	shares := map[string]float64{}
	for name, w := range s.Workers {
		share, previous := 1.0, 0.0
		switch {
		case m.freshness(float64(s.Version-w.Label), 0) == 0:
			share = 0
		case w.HoldReason != "":
			share = m.ShareLeast
		default:
			share = min(max(w.Score, m.ShareLeast), 1)
		}
		previous, ok := before.Shares[name]
		if ok && share > 0 && previous > 0 && math.Abs(share-previous) < m.Hysteresis && (share < 1 || previous == 1) {
			share = previous
		}
		changed = changed || !ok || share != previous
		shares[name] = share
	}
	changed = changed || len(shares) != len(before.Shares)
	s.Shares = shares
	s.Reloads = s.reloadRequests(m)
	return changed || !slices.EqualFunc(s.Reloads, before.Reloads, func(a, b Reload) bool { return a.Worker == b.Worker && a.Boot == b.Boot && a.To == b.To })
}

// admitFraction returns the fraction of sample requests to admit, with a notice if that is 0. It is 1 until generation is
// one batch short of its limit ahead of the tuner, and falls to 0 at the limit. Samples that routers have in flight or
// have reported but not yet counted are included as if they had been counted.
func (s *State) admitFraction(m Model, reports []Report) (float64, string) {
	stale := 0
	for _, w := range s.Workers {
		if m.freshness(float64(s.Version-w.Label), 0) == 0 {
			stale++
		}
	}
	if stale > 0 && stale == len(s.Workers) {
		return 0, "all workers are past the bound of staleness: their samples would weigh nothing, none are asked for until one has reloaded"
	}
	inFlight := s.eligibleCount(m)
	for _, r := range reports {
		uncounted := r.First + int64(len(r.Samples)) - 1 - s.Watermarks[r.watermarkKey()].Seq // reported, not yet counted
		if !r.Silent {                                                                        // a lost router's requests are taken over by others
			inFlight += min(r.InFlight, MaxKeys)
		}
		inFlight += int(min(max(uncounted, 0), int64(len(r.Samples))))
	}
	ahead := float64(s.lastClosed()-s.Taken) + float64(inFlight)/float64(m.Batch)
	fraction := min(max(float64(m.Ahead)-ahead, 0), 1)
	if fraction == 0 {
		return 0, "generation is as many batches ahead of the tuner as it may be"
	}
	return fraction, ""
}

// reloadRequests requests a reload of every worker beyond the staleness bound. The gain is the worker's throughput, since
// all its samples now have weight 0. Gains are compared in steps of the hysteresis, so that the order does not change with
// every sample.
func (s *State) reloadRequests(m Model) (out []Reload) {
	for name, w := range s.Workers {
		if s.Version > w.Label && m.freshness(float64(s.Version-w.Label), 0) == 0 {
			out = append(out, Reload{Worker: name, Boot: w.Boot, From: w.Label, To: s.Version, Gain: w.Rate})
		}
	}
	step := func(w Reload) float64 { return math.Round(math.Log(max(w.Gain, 1e-3)) / m.Hysteresis) }
	slices.SortFunc(out, func(a, b Reload) int { return cmp.Or(cmp.Compare(step(b), step(a)), cmp.Compare(a.Worker, b.Worker)) })
	return out
}
