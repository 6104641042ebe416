package samples

import (
	"fmt"
	"math"
)

// AuditError says which rule a history of boards breaks, and where.
type AuditError struct {
	Rule  string // "numbers", "places", "weights", "bound", "caps", "size", "anew", "closed", "clerks", "hindsight"
	Seq   int64
	Epoch int64
	Why   string
}

func (e *AuditError) Error() string {
	return fmt.Sprintf("board %d, epoch %d, rule %q: %s", e.Seq, e.Epoch, e.Rule, e.Why)
}

// Advice is what an operator can do.
func (e *AuditError) Advice() string {
	return "stop the tuner before it takes this epoch, and keep the store's history: two deciders disagree, or one is broken"
}

// Audit adds up a history of boards, as the store had them one after the other: each sample stands at one place, what was
// reported is what was counted, late, repeated or beyond, a closed epoch stays as it is, its weights have a mean of 1 and
// keep to bound, caps and floor, and no worker is trusted with more than it has shown. An error is an *AuditError.
func Audit(history []*State) error {
	a := auditor{epochs: map[int64]Epoch{}, placed: map[uint64]int64{}, made: map[workerVersion]int{}}
	for _, s := range history {
		if err := a.checkState(s); err != nil {
			return err
		}
	}
	return nil
}

type workerVersion struct {
	worker, boot string
	version      int64
}

type auditor struct {
	last   *State
	epochs map[int64]Epoch
	placed map[uint64]int64 // the epoch of each key, those of late ones below 0
	made   map[workerVersion]int
}

func (a *auditor) checkState(s *State) error {
	fault := func(rule string, epoch int64, why string, args ...any) error {
		return &AuditError{Rule: rule, Seq: s.Seq, Epoch: epoch, Why: fmt.Sprintf(why, args...)}
	}
	if t := s.Totals; t.Reported != t.Counted+t.Late+t.Repeated+t.Beyond {
		return fault("places", s.Open.Number, "%d reported, %d counted, %d late, %d repeated, %d beyond", t.Reported, t.Counted, t.Late, t.Repeated, t.Beyond)
	}
	if s.Backoff < 0 || s.Backoff > 1 || s.AdmitFraction < 0 || s.AdmitFraction > 1 || s.Backoff == 1 && s.AdmitFraction > 0 {
		return fault("clerks", s.Open.Number, "samples give up %g to clerks, and %g of them are taken", s.Backoff, s.AdmitFraction)
	}
	if l := a.last; l != nil && (s.Seq != l.Seq+1 || s.Open.Number < l.Open.Number || s.Open.Number > l.Open.Number+MaxAhead || s.Version < l.Version || s.Taken < l.Taken) {
		return fault("numbers", s.Open.Number, "after board %d with epoch %d, version %d, %d taken: version %d, %d taken", l.Seq, l.Open.Number, l.Version, l.Taken, s.Version, s.Taken)
	}
	for _, e := range s.Closed {
		if known, ok := a.epochs[e.Number]; ok {
			if known.Counted != e.Counted || known.Weighting != e.Weighting || known.Late != e.Late || known.Repeated != e.Repeated || known.Beyond != e.Beyond || !sameKeys(known, e) {
				return fault("closed", e.Number, "it was closed, and is another now")
			}
			continue
		}
		if err := a.checkClosed(s, e); err != nil {
			return err
		}
	}
	if err := a.checkTotals(s); err != nil {
		return err
	}
	if err := a.checkHindsight(s); err != nil {
		return err
	}
	a.last = s
	return nil
}

// checkTotals compares the totals with the epochs.
func (a *auditor) checkTotals(s *State) error {
	var sum Totals
	for number := int64(1); number < s.Open.Number; number++ {
		e, ok := a.epochs[number]
		if !ok {
			return nil // the history does not begin with the board
		}
		sum.Counted, sum.Late, sum.Repeated, sum.Beyond = sum.Counted+int64(e.Counted), sum.Late+int64(e.Late), sum.Repeated+int64(e.Repeated), sum.Beyond+int64(e.Beyond)
	}
	open := s.Open
	if t := s.Totals; t.Counted != sum.Counted+int64(open.Counted) || t.Late != sum.Late+int64(open.Late) || t.Repeated != sum.Repeated+int64(open.Repeated) || t.Beyond != sum.Beyond+int64(open.Beyond) {
		return &AuditError{Rule: "places", Seq: s.Seq, Epoch: open.Number, Why: fmt.Sprintf("all epochs have %+v, the totals say %+v", sum, t)}
	}
	return nil
}

func sameKeys(a, b Epoch) bool {
	known := map[uint64]int{}
	for key := range a.AllKeys {
		known[key]++
	}
	for key := range b.AllKeys {
		known[key]--
	}
	for _, n := range known {
		if n != 0 {
			return false
		}
	}
	return true
}

// checkClosed looks at an epoch when it is first seen checkClosed.
func (a *auditor) checkClosed(s *State, e Epoch) error {
	fault := func(rule, why string, args ...any) error {
		return &AuditError{Rule: rule, Seq: s.Seq, Epoch: e.Number, Why: fmt.Sprintf(why, args...)}
	}
	for key := range e.AllKeys {
		if other, seen := a.placed[key]; seen {
			return fault("places", "sample %x was counted in epoch %d already", key, other)
		}
		a.placed[key] = e.Number
	}
	a.epochs[e.Number] = e
	if len(e.Groups) == 0 {
		return nil
	}
	counted, weighed, sum, squares := 0, 0, 0.0, 0.0
	parts := [3]map[string]float64{{}, {}, {}}
	for _, g := range e.Groups {
		if g.Count != len(g.Keys) {
			return fault("places", "%s has %d samples and %d keys", g.Worker, g.Count, len(g.Keys))
		}
		a.made[workerVersion{g.Worker, g.Boot, g.Version}] += g.Count
		counted += g.Count
		if g.Weight == 0 {
			continue
		}
		if math.IsNaN(g.Weight) || g.Weight < 0 || e.Bounds == nil || g.lag(e.Version) > e.Bounds.Stale || g.spread() > e.Bounds.Spread || g.HoldReason != "" || g.Aged {
			return fault("bound", "%s, version %d of %d, held %q: its samples weigh %g", g.Worker, g.Version, e.Version, g.HoldReason, g.Weight)
		}
		mass := float64(g.Count) * g.Weight
		weighed, sum, squares = weighed+g.Count, sum+mass, squares+mass*g.Weight
		for dimension, member := range []string{g.Worker, g.Site, fmt.Sprint(g.Version)} {
			parts[dimension][member] += mass
		}
	}
	switch {
	case e.Bounds == nil:
		return fault("weights", "it does not say by which bounds it was weighed")
	case counted != e.Counted || weighed != e.Weighed:
		return fault("places", "%d samples, %d of them weighed; it says %d and %d", counted, weighed, e.Counted, e.Weighed)
	case math.Abs(sum-float64(weighed)) > 1e-6*float64(weighed):
		return fault("weights", "%d samples weigh %g together", weighed, sum)
	case weighed > 0 && math.Abs(sum*sum/squares-e.EffectiveSize) > 1e-6*e.EffectiveSize:
		return fault("size", "its effective size is %g; it says %g", sum*sum/squares, e.EffectiveSize)
	case weighed > 0 && e.EffectiveSize < e.Bounds.Floor*float64(weighed)*(1-1e-6):
		return fault("size", "its effective size is %g of %d, the floor is %g", e.EffectiveSize, weighed, e.Bounds.Floor)
	}
	for dimension, members := range parts {
		limit := max(e.Bounds.Caps[dimension], 1/float64(max(len(members), 1)))
		limit += e.CapsRelaxed * (1 - limit)
		for member, mass := range members {
			if mass > sum*limit*(1+1e-6) {
				return fault("caps", "%q has %.4f of its weight, at most %.4f", member, mass/sum, limit)
			}
		}
	}
	return a.checkTrust(e, fault)
}

// checkTrust checks that no worker is trusted with what it showed before it started checkTrust.
func (a *auditor) checkTrust(e Epoch, fault func(rule, why string, args ...any) error) error {
	if _, complete := a.epochs[1]; !complete {
		return nil
	}
	for _, g := range e.Groups {
		if made := a.made[workerVersion{g.Worker, g.Boot, g.Version}]; g.WorkerSamples > float64(made)*(1+1e-9) {
			return fault("anew", "%s, boot %s, version %d, is trusted with %.1f samples and has made %d", g.Worker, g.Boot, g.Version, g.WorkerSamples, made)
		}
	}
	return nil
}
