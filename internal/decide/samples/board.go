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

// Format is that of the states this package writes. A newer one is followed as far as it is understood and never written.
const Format = 1 + turn.FormatsAhead

// State is the board: what all routers and the tuner follow. It stands in the store and is written by a compare on the one before.
type State struct {
	Format int    `json:"format"`
	Seq    int64  `json:"seq"`
	By     string `json:"by"`
	Policy int64  `json:"policy"` // the version of the policy whose model it was made by
	// ClockMs is how long the board has stood, as its deciders saw it pass by their own clocks, one after the other: what
	// passes while none looks is left out, so times come out longer than they are set, never shorter.
	ClockMs float64 `json:"clock_ms"`
	// Version is the newest that the tuner published, Taken the last epoch that it took, Twice and Back how often it wrote
	// the same again, or an older one, which is not followed. Rev is the revision of what was read last.
	Version        int64  `json:"version"`
	Taken          int64  `json:"taken"`
	Republished    int64  `json:"twice,omitempty"`
	OlderPublished int64  `json:"back,omitempty"`
	TunerRev       int64  `json:"rev,omitempty"`
	TunerFault     string `json:"tuner,omitempty"` // what is wrong with what it wrote
	// Open is the epoch that is counted under, Closed those before it, of which the tuner has yet to take some.
	Open    Epoch                   `json:"open"`
	Closed  []Epoch                 `json:"closed,omitempty"`
	Workers map[string]*WorkerStats `json:"workers,omitempty"`
	// Watermarks are by router and boot: what of their reports has been counted.
	Watermarks map[string]Watermark `json:"marks,omitempty"`
	Totals     Totals               `json:"totals"`
	Hindsight  Hindsight            `json:"hindsight,omitzero"`
	InteractiveBackoff
	Actions
	turn.NextFormat
	Rev int64 `json:"-"` // the store's revision of it
}

// Epoch is one batch. Its number is the fencing token of whoever uses it: numbers only rise, and what is closed stays.
type Epoch struct {
	Number  int64   `json:"number"`
	Version int64   `json:"version"` // the newest when it was closed
	OpenMs  float64 `json:"open_ms"`
	Counted int     `json:"n"`
	Groups  []Group `json:"groups,omitempty"` // not kept of an epoch that was taken and has a later one taken after it
	// Late are samples that began too many epochs before, LateKeys theirs. Repeated were counted before, by whichever
	// router; Beyond began before all that is remembered, so that it is not known whether they were. None of them weighs.
	Late     int  `json:"late,omitempty"`
	LateKeys Keys `json:"late_keys,omitempty"`
	Repeated int  `json:"repeated,omitempty"`
	Beyond   int  `json:"beyond,omitempty"`
	Known    Keys `json:"known,omitempty"` // the keys of an epoch whose groups are not kept
	Weighting
	Silent      int      `json:"silent,omitempty"` // routers that were not heard of when it was closed
	Reporting   int      `json:"heard,omitempty"`
	CloseReason string   `json:"why,omitempty"`    // it was closed
	Bounds      *Bounds  `json:"bounds,omitempty"` // under which it was weighed
	HeldWorkers []string `json:"held,omitempty"`   // workers whose samples were
}

// Bounds are the parts of a model that an epoch was weighed by.
type Bounds struct {
	Stale  float64    `json:"stale"`
	Spread float64    `json:"spread"`
	Caps   [3]float64 `json:"caps"`
	Floor  float64    `json:"floor"`
}

// Watermark is how far the reports of a router's process have been counted. Missing are samples that it dropped unasked.
type Watermark struct {
	Seq     int64 `json:"seq"`
	Missing int64 `json:"missing,omitempty"`
	Epoch   int64 `json:"epoch"` // in which it was last heard of
}

// Totals count all samples that were ever reported, each at one place: Reported = Counted + Late + Repeated + Beyond.
type Totals struct {
	Reported int64 `json:"reported"`
	Counted  int64 `json:"counted"`
	Late     int64 `json:"late"`
	Repeated int64 `json:"repeated"`
	Beyond   int64 `json:"beyond"`
	Missing  int64 `json:"missing,omitempty"`
}

// Fault is a rule that a decider, or what carries it, breaks on purpose, so that checkers can be shown to find it.
type Fault string

// The faults.
const (
	CountsTwice Fault = "counts-twice" // a sample counts again when another router reports it that took it over
	NoCompare   Fault = "no-compare"   // the board is written without a compare on the state that was read
	NoFence     Fault = "no-fence"     // a board is written whether its writer is registered or not (the carrier breaks it)
	NoBound     Fault = "no-bound"     // staleness past the bound weighs too
	NoReset     Fault = "no-reset"     // what was seen of a worker stays when it restarts or runs another version
)

// Decider comes to states. Each router keeps one; whose turn it is writes what it gives.
type Decider struct {
	Me     string
	Broken Fault

	seq          int64
	seen         bool
	at           time.Duration     // when seq was first seen
	healthy      turn.RevisionAges // for how long clerks have been well
	unhealthySeq int64
}

// Next gives the state that should take the place of the last, or nil while that may stand.
func (d *Decider) Next(v View, now time.Duration) *State {
	if v.Last != nil && v.Last.Format > Format {
		return nil
	}
	v, _ = v.Sanitize()
	m := v.Model.Filled()
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
	s.Format, s.Seq, s.By, s.Policy = Format, s.Seq+1, d.Me, v.Policy
	s.CountWrite()
	s.advance(m, passed)
	taken, newest := s.Taken, s.Version
	changed = s.followTuner(v) || changed
	s.settleWeights(m, taken, newest)
	s.compactTaken()
	changed = s.updateWorkers(v.Workers, d.Broken) || changed
	heldBefore := s.heldWorkers()
	for closed := true; closed; { // each batch is one epoch, however many reports bring at once
		changed = s.count(m, v.Reports, d.Broken) || changed
		m.holdOutliers(s.Workers)
		s.updateHolds()
		estimateRates(s.Workers)
		m.updateScores(s.Workers, s.Version)
		closed = s.close(m, v.Reports, d.Broken)
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

// healthyFor is for how long this decider has seen clerks healthyFor, in milliseconds.
func (d *Decider) healthyFor(healthy bool, now time.Duration) float64 {
	if !healthy {
		d.unhealthySeq++
	}
	return float64(d.healthy.Age("clerks", d.unhealthySeq, now)) / float64(time.Millisecond)
}

// clone is a copy that shares nothing which is changed.
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

// advance lets time go by.
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

// lastClosed is the number of the lastClosed closed epoch.
func (s *State) lastClosed() int64 { return s.Open.Number - 1 }

// followTuner reads what the tuner wrote. Only a newer version counts, and only epochs that are closed can be taken.
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
	return s.Version != before.Version || s.Taken != before.Taken || s.Republished != before.Republished || s.OlderPublished != before.OlderPublished || s.TunerFault != before.TunerFault
}

// skipUnweighted passes over the next epochs in which nothing weighs: there is nothing to take, so they hold nobody up.
func (s *State) skipUnweighted() {
	for _, e := range s.Closed {
		if e.Number == s.Taken+1 && e.Weighed == 0 {
			s.Taken++
		}
	}
}

// updateWorkers follows the updateWorkers of workers: who left is forgotten, who restarted or runs another version starts anew.
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

// ReadState reads a board. An error is a *RecordError.
func ReadState(data []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, &RecordError{What: "state", Why: "no board", Err: err}
	}
	return &s, s.Validate()
}

// Validate tells why a board that was read can't be one: a *RecordError.
func (s *State) Validate() error {
	if s.Open.Number < 1 || s.Seq < 0 || s.Taken < 0 || s.Taken > s.lastClosed() {
		return &RecordError{What: "state", Why: fmt.Sprintf("epoch %d is open, %d was taken", s.Open.Number, s.Taken)}
	}
	for i, e := range s.Closed {
		if e.Number != s.lastClosed()-int64(len(s.Closed)-1-i) {
			return &RecordError{What: "state", Why: fmt.Sprintf("epoch %d stands where %d should", e.Number, s.lastClosed()-int64(len(s.Closed)-1-i))}
		}
	}
	for name, w := range s.Workers {
		if w == nil {
			return &RecordError{What: "state", Why: fmt.Sprintf("nothing stands for worker %q", truncate(name))}
		}
	}
	return nil
}
