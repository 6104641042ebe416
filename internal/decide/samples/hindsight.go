package samples

import (
	"fmt"
	"maps"
	"slices"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts what the board decided about workers by what was seen of them afterwards.
type Hindsight struct {
	// Holds are of outliers: wrong where a worker's samples agreed with its kind's when it was let go or started anew, right where
	// they still did not, or where it was found to run another version than it claims, void where too few came to say.
	Holds turn.VerdictCounts `json:"holds,omitzero"`
	// Weights are those above the mean that a closed epoch gave to a worker's samples: wrong where they were past the bound of
	// staleness by the time that the tuner took the epoch, or where their worker was found to claim what it does not run.
	Weights turn.VerdictCounts `json:"weights,omitzero"`
}

// highWeight is the weight of a sample from which on its worker was trusted more than others; their mean is 1.
const highWeight = 1.1

// highWeightGroups is how many groups of an epoch weigh much.
func (e Epoch) highWeightGroups() (n int64) {
	for _, g := range e.Groups {
		if g.Weight > highWeight {
			n++
		}
	}
	return n
}

// openWeights counts the weights that an epoch gave as it was closed.
func (s *State) openWeights(e Epoch) {
	s.Hindsight.Weights.Open += e.highWeightGroups()
}

// settleWeights settles the weights of the epochs that the tuner took since one, when the newest version was so.
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

// HoldReview is how a worker that is held as an outlier stands beside its kind since.
type HoldReview string

// The doubts. The empty one is of a worker that is not held, or whose hold is settled.
const (
	Unseen    HoldReview = "unseen"    // too few samples came since, or too few others have any to compare
	Agrees    HoldReview = "agrees"    // it is near the others by now
	Disagrees HoldReview = "disagrees" // it is not
)

// updateHolds follows which workers are held as outliers, once they were compared anew.
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

// settleByReview settles the hold of a worker that is let go or starts settleByReview, by how it stood at the last look.
func (s *State) settleByReview(w *WorkerStats) {
	if w != nil {
		s.settle(w, map[HoldReview]turn.Verdict{Unseen: turn.Void, Agrees: turn.Wrong, Disagrees: turn.Right}[w.Review])
	}
}

// checkHindsight compares the counts with what the auditor itself has seen: the epochs that it saw closed, and who is held.
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
		return fault("%d holds are open, and %d workers are held as outliers", s.Hindsight.Holds.Open, underReview)
	}
	for number := int64(1); number < s.Open.Number; number++ {
		e, ok := a.epochs[number]
		if !ok || e.Counted > 0 && len(e.Groups) == 0 {
			return nil // the history does not begin with the board
		}
		if number > s.Taken {
			open += e.highWeightGroups()
		} else {
			settled += e.highWeightGroups()
		}
	}
	if w := s.Hindsight.Weights; w.Open != open || w.Settled() != settled {
		return fault("weights: %v, and epochs gave %d that are open and %d that are settled", w, open, settled)
	}
	return nil
}
