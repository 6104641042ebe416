package samples

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"sumacloft/internal/decide/turn"
)

// Format is the format of the states that this package writes. A state of a newer format is read as far as it is understood
// and never overwritten.
const Format = 1 + turn.FormatsAhead

// State is the shared state, or board, that all routers and the tuner follow. It is kept in the store and replaced by a
// compare-and-swap on the previous revision.
type State struct {
	Format int    `json:"format"`
	Seq    int64  `json:"seq"`
	By     string `json:"by"`
	Policy int64  `json:"policy"` // the version of the policy whose model was used
	// ClockMs is how long the state has existed, summed over successive deciders by their own clocks. Time during which no
	// decider reads the state is not counted, so timeouts last longer than configured, never shorter.
	ClockMs float64 `json:"clock_ms"`
	// Version is the newest version that the tuner published and Taken the last epoch that it took. Republished counts how
	// often it wrote the same version again, OlderPublished how often it wrote an older one, which is ignored. TunerRev is
	// the revision of the tuner's record that was read last.
	Version        int64  `json:"version"`
	Taken          int64  `json:"taken"`
	Republished    int64  `json:"twice,omitempty"`
	OlderPublished int64  `json:"back,omitempty"`
	TunerRev       int64  `json:"rev,omitempty"`
	TunerFault     string `json:"tuner,omitempty"` // what is wrong with the tuner's record
	// Open is the epoch in which samples are counted. Closed are the epochs before it, some of which the tuner has yet to
	// take.
	Open    Epoch                   `json:"open"`
	Closed  []Epoch                 `json:"closed,omitempty"`
	Workers map[string]*WorkerStats `json:"workers,omitempty"`
	// Watermarks are, by router and boot, how far reports have been counted.
	Watermarks map[string]Watermark `json:"marks,omitempty"`
	Totals     Totals               `json:"totals"`
	Hindsight  Hindsight            `json:"hindsight,omitzero"`
	InteractiveBackoff
	Actions
	turn.NextFormat
	Rev int64 `json:"-"` // the state's revision in the store
}

// Epoch is one batch. Its number serves as the fencing token of whoever uses it: numbers only increase, and a closed epoch
// does not change.
type Epoch struct {
	Number  int64   `json:"number"`
	Version int64   `json:"version"` // the newest version when it was closed
	OpenMs  float64 `json:"open_ms"`
	Counted int     `json:"n"`
	Groups  []Group `json:"groups,omitempty"` // dropped once a later epoch has been taken
	// Late counts samples that began too many epochs before, with their keys in LateKeys. Repeated counts samples that were
	// counted before, whichever router reported them. Beyond counts samples that began before the oldest epoch kept, for
	// which it is not known whether they were counted. None of them has any weight.
	Late     int  `json:"late,omitempty"`
	LateKeys Keys `json:"late_keys,omitempty"`
	Repeated int  `json:"repeated,omitempty"`
	Beyond   int  `json:"beyond,omitempty"`
	Known    Keys `json:"known,omitempty"` // the keys of an epoch whose groups were dropped
	Weighting
	Silent      int      `json:"silent,omitempty"` // routers without a recent report when it was closed
	Reporting   int      `json:"heard,omitempty"`
	CloseReason string   `json:"why,omitempty"`    // why it was closed
	Bounds      *Bounds  `json:"bounds,omitempty"` // the bounds by which it was weighed
	HeldWorkers []string `json:"held,omitempty"`   // workers whose samples were held
}

// Bounds are the settings by which an epoch was weighed.
type Bounds struct {
	Stale  float64    `json:"stale"`
	Spread float64    `json:"spread"`
	Caps   [3]float64 `json:"caps"`
	Floor  float64    `json:"floor"`
}

// Watermark is how far the reports of a router's process have been counted. Missing is the number of samples that the router
// dropped before they were counted.
type Watermark struct {
	Seq     int64 `json:"seq"`
	Missing int64 `json:"missing,omitempty"`
	Epoch   int64 `json:"epoch"` // the open epoch at its last report
}

// Totals count all samples ever reported, each in one category: Reported = Counted + Late + Repeated + Beyond.
type Totals struct {
	Reported int64 `json:"reported"`
	Counted  int64 `json:"counted"`
	Late     int64 `json:"late"`
	Repeated int64 `json:"repeated"`
	Beyond   int64 `json:"beyond"`
	Missing  int64 `json:"missing,omitempty"`
}

// Fault is a rule that a decider or its caller breaks on purpose, to test that the checkers detect it.
type Fault string

// Injected faults.
const (
	CountsTwice Fault = "counts-twice" // a sample is counted again if the router that took over its request reports it
	NoCompare   Fault = "no-compare"   // the state is written without a compare on the revision that was read
	NoFence     Fault = "no-fence"     // a state is written even by an unregistered router (injected by the caller)
	NoBound     Fault = "no-bound"     // samples beyond the staleness bound have weight
	NoReset     Fault = "no-reset"     // statistics of a worker are kept when it restarts or changes its version
)

// Decider computes states. Each router has one; the router whose turn it is writes the result.
type Decider struct {
	Router string
	Fault  Fault

	seq          int64
	seen         bool
	at           time.Duration     // when seq was first seen
	healthy      turn.RevisionAges // how long interactive requests have been healthy
	unhealthySeq int64
}

// Next returns the state that should replace the last one, or nil if nothing changed.
func (d *Decider) Next(v View, now time.Duration) *State {
	if v.Last != nil && v.Last.Format > Format {
		return nil
	}
	v, _ = v.Sanitize()
	m := v.Model.WithDefaults()
	s := &State{Open: Epoch{Number: 1}, Actions: Actions{AdmitFraction: 1}}
	if v.Last != nil {
		s = v.Last
	}
	s = s.clone()
	if !d.seen || d.seq != s.Seq {
		d.seen, d.seq, d.at = true, s.Seq, now
	}
	passed := float64(max(now-d.at, 0)) / float64(time.Millisecond)
	changed := v.Last == nil || s.Policy != v.Policy
	s.Format, s.Seq, s.By, s.Policy = Format, s.Seq+1, d.Router, v.Policy
	s.CountWrite()
	s.advance(m, passed)
	taken, newest := s.Taken, s.Version
	changed = s.followTuner(v) || changed
	s.settleWeights(m, taken, newest)
	s.compactTaken()
	changed = s.updateWorkers(v.Workers, d.Fault) || changed
	heldBefore := s.heldWorkers()
	for closed := true; closed; { // one epoch per batch, even if reports bring several batches at once
		changed = s.count(m, v.Reports, d.Fault) || changed
		m.holdOutliers(s.Workers)
		s.updateHolds()
		estimateRates(s.Workers)
		m.updateScores(s.Workers, s.Version)
		closed = s.close(m, v.Reports, d.Fault)
		changed = changed || closed
	}
	changed = heldBefore != s.heldWorkers() || changed
	changed = s.updateBackoff(m, v.Reports, passed, func(healthy bool) float64 { return d.healthyFor(healthy, now) }) || changed
	changed = s.updateActions(m, v.Reports) || changed
	if !changed {
		return nil
	}
	return s
}

// healthyFor returns how long this decider has seen interactive requests as healthy, in milliseconds.
func (d *Decider) healthyFor(healthy bool, now time.Duration) float64 {
	if !healthy {
		d.unhealthySeq++
	}
	return float64(d.healthy.Age("clerks", d.unhealthySeq, now)) / float64(time.Millisecond)
}

// clone returns a copy that shares nothing that is later modified.
func (s *State) clone() *State {
	out := *s
	out.Closed, out.Watermarks, out.Shares, out.Reloads = slices.Clone(s.Closed), maps.Clone(s.Watermarks), maps.Clone(s.Shares), slices.Clone(s.Reloads)
	out.Open.Groups, out.Open.LateKeys = slices.Clone(s.Open.Groups), slices.Clone(s.Open.LateKeys)
	for i := range out.Open.Groups {
		out.Open.Groups[i].Keys = slices.Clone(out.Open.Groups[i].Keys)
	}
	out.Workers = make(map[string]*WorkerStats, len(s.Workers))
	for name, w := range s.Workers {
		if w != nil {
			copied := *w
			out.Workers[name] = &copied
		}
	}
	return &out
}

// advance adds elapsed time and decays the worker statistics.
func (s *State) advance(m Model, ms float64) {
	s.ClockMs += ms
	s.Open.OpenMs += ms
	factor := math.Exp2(-ms / m.HalfLifeMs)
	for _, w := range s.Workers {
		w.decay(factor)
		if w.HoldReason != "" {
			w.HeldMs += ms
		}
	}
}

// lastClosed returns the number of the last closed epoch.
func (s *State) lastClosed() int64 { return s.Open.Number - 1 }

// followTuner applies the tuner's record. Older versions are ignored, and only closed epochs can be taken.
func (s *State) followTuner(v View) bool {
	if v.Tuner == nil || v.TunerRev != 0 && v.TunerRev == s.TunerRev {
		return false
	}
	published, before := *v.Tuner, *s
	s.TunerRev, s.TunerFault = v.TunerRev, ""
	taken := published.Epoch
	switch {
	case published.Version < s.Version:
		s.OlderPublished++
		s.TunerFault = fmt.Sprintf("it published version %d after %d: %d stays the newest", published.Version, s.Version, s.Version)
	case published.Version == s.Version && v.TunerRev != 0 && before.TunerRev != 0 && published.Epoch <= s.Taken:
		s.Republished++
	}
	if published.Epoch == 0 {
		for n := s.Version; n < published.Version && s.Taken < s.lastClosed(); n++ {
			s.Taken++
			s.skipUnweighted()
		}
	}
	s.Version = max(s.Version, published.Version)
	if taken > s.lastClosed() {
		s.TunerFault = fmt.Sprintf("it says that it took epoch %d, and %d is the last that is closed", taken, s.lastClosed())
		taken = s.Taken
	}
	s.Taken = max(s.Taken, taken)
	s.skipUnweighted()
	return s.Version != before.Version || s.Taken != before.Taken || s.Republished != before.Republished ||
		s.OlderPublished != before.OlderPublished || s.TunerFault != before.TunerFault
}

// skipUnweighted marks following epochs without any weight as taken: the tuner has nothing to take from them, so they must not
// hold up later epochs.
func (s *State) skipUnweighted() {
	for _, e := range s.Closed {
		if e.Number == s.Taken+1 && e.Weighed == 0 {
			s.Taken++
		}
	}
}

// updateWorkers applies the list of workers. Workers that left are removed; workers that restarted or changed their version
// start with empty statistics.
func (s *State) updateWorkers(workers []Worker, broken Fault) (changed bool) {
	listed := map[string]bool{}
	for _, w := range workers {
		listed[w.Name] = true
		previous := s.Workers[w.Name]
		if previous != nil && previous.Boot == w.Boot && previous.Label == w.Label && previous.Site == w.Site && previous.Kind == w.Kind {
			continue
		}
		changed = true
		s.settleByReview(previous)
		next := &WorkerStats{}
		if previous != nil && broken == NoReset {
			next = previous
		}
		next.Boot, next.Label, next.Site, next.Kind = w.Boot, w.Label, w.Site, w.Kind
		s.Workers[w.Name] = next
	}
	for name, w := range s.Workers {
		if !listed[name] {
			s.settle(w, turn.Void)
			delete(s.Workers, name)
			changed = true
		}
	}
	return changed
}

func (s *State) heldWorkers() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Workers)) {
		if s.Workers[name].HoldReason != "" {
			out = append(out, name)
		}
	}
	return strings.Join(out, " ")
}

// ReadState decodes a state. An error is a *RecordError.
func ReadState(data []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, &RecordError{What: "state", Why: "not a valid state", Err: err}
	}
	return &s, s.Validate()
}

// Validate reports why a decoded state is inconsistent, as a *RecordError.
func (s *State) Validate() error {
	if s.Open.Number < 1 || s.Seq < 0 || s.Taken < 0 || s.Taken > s.lastClosed() {
		return &RecordError{What: "state", Why: fmt.Sprintf("open epoch %d does not fit last taken epoch %d", s.Open.Number, s.Taken)}
	}
	for i, e := range s.Closed {
		if e.Number != s.lastClosed()-int64(len(s.Closed)-1-i) {
			return &RecordError{What: "state", Why: fmt.Sprintf("closed epoch %d found where %d is expected",
				e.Number, s.lastClosed()-int64(len(s.Closed)-1-i))}
		}
	}
	for name, w := range s.Workers {
		if w == nil {
			return &RecordError{What: "state", Why: fmt.Sprintf("null entry for worker %q", truncate(name))}
		}
	}
	return nil
}
