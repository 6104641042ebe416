package samples

import (
	"fmt"
	"maps"
	"slices"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts decisions about workers by what was observed afterwards.
type Hindsight struct {
	// Holds of outliers. Wrong: the worker's samples agreed with those of its kind when it was released or restarted. Right:
	// they still deviated, or the worker was found to run another version than it claims. Void: too few samples came to tell.
	Holds turn.VerdictCounts `json:"holds,omitzero"`
	// Weights above the mean in closed epochs. Wrong: the samples were beyond the staleness bound by the time the tuner took
	// the epoch, or their worker was found to claim a version that it does not run.
	Weights turn.VerdictCounts `json:"weights,omitzero"`
}

// highWeight is the weight above which a sample's worker was trusted more than others; the mean weight is 1.
const highWeight = 1.1

// highWeightGroups returns the number of groups with a high weight.
func (e Epoch) highWeightGroups() (n int64) {
	for _, g := range e.Groups {
		if g.Weight > highWeight {
			n++
		}
	}
	return n
}

// openWeights counts the high weights of an epoch as open decisions when it is closed.
func (s *State) openWeights(e Epoch) {
	s.Hindsight.Weights.Open += e.highWeightGroups()
}

// settleWeights settles the weights of the epochs that the tuner took since takenBefore. newest is the newest version from
// before its record was applied.
func (s *State) settleWeights(m Model, takenBefore, newest int64) {
	for _, e := range s.Closed {
		if e.Number <= takenBefore || e.Number > s.Taken {
			continue
		}
		for _, g := range e.Groups {
			if g.Weight <= highWeight {
				continue
			}
			w := s.Workers[g.Worker]
			if m.freshness(g.lag(newest), g.spread()) == 0 || w != nil && w.Boot == g.Boot && w.Mislabeled {
				s.Hindsight.Weights.Settle(turn.Wrong)
			} else {
				s.Hindsight.Weights.Settle(turn.Right)
			}
		}
	}
}

// HoldReview is how a worker held as an outlier has compared with its kind since.
type HoldReview string

// Reviews. The empty one is of a worker that is not held, or whose hold is settled.
const (
	Unseen    HoldReview = "unseen"    // too few samples since, of the worker or of others of its kind
	Agrees    HoldReview = "agrees"    // the worker is near the others
	Disagrees HoldReview = "disagrees" // the worker still deviates
)

// updateHolds opens, reviews and settles the holds of outliers after the workers have been compared again.
func (s *State) updateHolds() {
	for _, name := range slices.Sorted(maps.Keys(s.Workers)) {
		w := s.Workers[name]
		if w.Review != "" && w.SinceHold >= outlierMinSamples && w.compared {
			if w.Review = Agrees; w.deviates {
				w.Review = Disagrees
			}
		}
		switch {
		case w.Review != "" && w.Mislabeled:
			s.settle(w, turn.Right)
		case w.Review != "" && w.HoldReason == "":
			s.settleByReview(w)
		case w.Review == "" && w.HoldReason != "" && !w.Mislabeled:
			w.Review, w.SinceHold = Unseen, 0
			s.Hindsight.Holds.Begin()
		}
	}
}

func (s *State) settle(w *WorkerStats, v turn.Verdict) {
	if w != nil && w.Review != "" {
		w.Review, w.SinceHold = "", 0
		s.Hindsight.Holds.Settle(v)
	}
}

// settleByReview settles the hold of a worker that is released or restarted, by its last review.
func (s *State) settleByReview(w *WorkerStats) {
	if w != nil {
		s.settle(w, map[HoldReview]turn.Verdict{Unseen: turn.Void, Agrees: turn.Wrong, Disagrees: turn.Right}[w.Review])
	}
}

// checkHindsight compares the counts with the epochs that the auditor saw closed and with the workers that are held.
func (a *auditor) checkHindsight(s *State) error {
	fault := func(why string, args ...any) error {
		return &AuditError{Rule: "hindsight", Seq: s.Seq, Epoch: s.Open.Number, Why: fmt.Sprintf(why, args...)}
	}
	previous := Hindsight{}
	if a.last != nil {
		previous = a.last.Hindsight
	}
	if problem := s.Hindsight.Holds.CheckAgainst(previous.Holds); problem != "" {
		return fault("holds: %s", problem)
	}
	if problem := s.Hindsight.Weights.CheckAgainst(previous.Weights); problem != "" {
		return fault("weights: %s", problem)
	}
	underReview, open, settled := int64(0), int64(0), int64(0)
	for _, w := range s.Workers {
		if w.Review != "" {
			underReview++
		}
	}
	if s.Hindsight.Holds.Open > underReview {
		return fault("%d holds are open, but %d workers are held as outliers", s.Hindsight.Holds.Open, underReview)
	}
	for number := int64(1); number < s.Open.Number; number++ {
		e, ok := a.epochs[number]
		if !ok || e.Counted > 0 && len(e.Groups) == 0 {
			return nil // the history does not start at the first epoch
		}
		if number > s.Taken {
			open += e.highWeightGroups()
		} else {
			settled += e.highWeightGroups()
		}
	}
	if w := s.Hindsight.Weights; w.Open != open || w.Settled() != settled {
		return fault("weights: %v, but the epochs have %d open and %d settled", w, open, settled)
	}
	return nil
}
