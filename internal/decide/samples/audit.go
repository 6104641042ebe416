package samples

import (
	"fmt"
	"math"
)

// AuditError reports which rule a history of states violates, and where.
type AuditError struct {
	Rule  string // "numbers", "places", "weights", "bound", "caps", "size", "anew", "closed", "clerks", "hindsight"
	Seq   int64
	Epoch int64
	Why   string
}

func (e *AuditError) Error() string {
	return fmt.Sprintf("state %d, epoch %d violates rule %q: %s", e.Seq, e.Epoch, e.Rule, e.Why)
}

// Advice tells an operator what to do.
func (e *AuditError) Advice() string {
	return "stop the tuner before it uses this epoch and keep the store's history: two deciders disagree or one is faulty"
}

// Audit checks a history of consecutive states from the store. Every sample is counted exactly once; the reported samples
// are the sum of those counted, late, repeated and beyond; a closed epoch does not change; its weights have a mean of 1 and
// respect the staleness bound, the caps and the floor; and no worker is trusted with more samples than it has made. An
// error is an *AuditError.
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
	placed map[uint64]int64 // the epoch of each key, late ones included
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
		return fault("clerks", s.Open.Number, "a fraction %g of sample requests is withheld for interactive requests, and %g is admitted",
			s.Backoff, s.AdmitFraction)
	}
	if l := a.last; l != nil && (s.Seq != l.Seq+1 || s.Open.Number < l.Open.Number || s.Open.Number > l.Open.Number+MaxAhead ||
		s.Version < l.Version || s.Taken < l.Taken) {
		return fault("numbers", s.Open.Number, "sequence broken after state %d with epoch %d, version %d, %d taken: version %d, %d taken",
			l.Seq, l.Open.Number, l.Version, l.Taken, s.Version, s.Taken)
	}
	for _, e := range s.Closed {
		if known, ok := a.epochs[e.Number]; ok {
			if known.Counted != e.Counted || known.Weighting != e.Weighting || known.Late != e.Late ||
				known.Repeated != e.Repeated || known.Beyond != e.Beyond || !sameKeys(known, e) {
				return fault("closed", e.Number, "closed epoch has changed")
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

// checkTotals compares the totals with the sums over all epochs.
func (a *auditor) checkTotals(s *State) error {
	var sum Totals
	for number := int64(1); number < s.Open.Number; number++ {
		e, ok := a.epochs[number]
		if !ok {
			return nil // the history does not start at the first epoch
		}
		sum.Counted, sum.Late, sum.Repeated, sum.Beyond = sum.Counted+int64(e.Counted), sum.Late+int64(e.Late),
			sum.Repeated+int64(e.Repeated), sum.Beyond+int64(e.Beyond)
	}
	open := s.Open
	if t := s.Totals; t.Counted != sum.Counted+int64(open.Counted) || t.Late != sum.Late+int64(open.Late) ||
		t.Repeated != sum.Repeated+int64(open.Repeated) || t.Beyond != sum.Beyond+int64(open.Beyond) {
		return &AuditError{Rule: "places", Seq: s.Seq, Epoch: open.Number, Why: fmt.Sprintf("epochs sum to %+v, totals are %+v", sum, t)}
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

// checkClosed checks an epoch when it first appears as closed.
func (a *auditor) checkClosed(s *State, e Epoch) error {
	fault := func(rule, why string, args ...any) error {
		return &AuditError{Rule: rule, Seq: s.Seq, Epoch: e.Number, Why: fmt.Sprintf(why, args...)}
	}
	for key := range e.AllKeys {
		if other, seen := a.placed[key]; seen {
			return fault("places", "sample %x was already counted in epoch %d", key, other)
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
			return fault("places", "worker %s has %d samples and %d keys", g.Worker, g.Count, len(g.Keys))
		}
		a.made[workerVersion{g.Worker, g.Boot, g.Version}] += g.Count
		counted += g.Count
		if g.Weight == 0 {
			continue
		}
		if math.IsNaN(g.Weight) || g.Weight < 0 || e.Bounds == nil || g.lag(e.Version) > e.Bounds.Stale ||
			g.spread() > e.Bounds.Spread || g.HoldReason != "" || g.Aged {
			return fault("bound", "worker %s, version %d with newest %d, held %q: its samples have weight %g",
				g.Worker, g.Version, e.Version, g.HoldReason, g.Weight)
		}
		mass := float64(g.Count) * g.Weight
		weighed, sum, squares = weighed+g.Count, sum+mass, squares+mass*g.Weight
		for dimension, member := range []string{g.Worker, g.Site, fmt.Sprint(g.Version)} {
			parts[dimension][member] += mass
		}
	}
	switch {
	case e.Bounds == nil:
		return fault("weights", "closed epoch has no bounds recorded")
	case counted != e.Counted || weighed != e.Weighed:
		return fault("places", "%d samples, %d of them weighed, but %d and %d are recorded", counted, weighed, e.Counted, e.Weighed)
	case math.Abs(sum-float64(weighed)) > 1e-6*float64(weighed):
		return fault("weights", "%d samples have a total weight of %g", weighed, sum)
	case weighed > 0 && math.Abs(sum*sum/squares-e.EffectiveSize) > 1e-6*e.EffectiveSize:
		return fault("size", "effective size is %g, but %g is recorded", sum*sum/squares, e.EffectiveSize)
	case weighed > 0 && e.EffectiveSize < e.Bounds.Floor*float64(weighed)*(1-1e-6):
		return fault("size", "effective size is %g of %d samples, the floor is %g", e.EffectiveSize, weighed, e.Bounds.Floor)
	}
	for dimension, members := range parts {
		limit := max(e.Bounds.Caps[dimension], 1/float64(max(len(members), 1)))
		limit += e.CapsRelaxed * (1 - limit)
		for member, mass := range members {
			if mass > sum*limit*(1+1e-6) {
				return fault("caps", "%q has %.4f of the weight, the cap is %.4f", member, mass/sum, limit)
			}
		}
	}
	return a.checkTrust(e, fault)
}

// checkTrust checks that no worker is trusted for samples from before it restarted or changed its version.
func (a *auditor) checkTrust(e Epoch, fault func(rule, why string, args ...any) error) error {
	if _, complete := a.epochs[1]; !complete {
		return nil
	}
	for _, g := range e.Groups {
		if made := a.made[workerVersion{g.Worker, g.Boot, g.Version}]; g.WorkerSamples > float64(made)*(1+1e-9) {
			return fault("anew", "worker %s, boot %s, version %d, is trusted with %.1f samples and has made %d",
				g.Worker, g.Boot, g.Version, g.WorkerSamples, made)
		}
	}
	return nil
}
