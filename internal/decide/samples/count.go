package samples

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxNewerSamples is how many samples of a version newer than its label a worker may make before it is held. A few are allowed
// because its updated label may not have arrived yet.
const maxNewerSamples = 8

// notAccepted is the hold reason of a sample that was not accepted. It does not affect other samples of its worker.
const notAccepted = "not accepted"

// count adds the reported samples that are not counted yet. Each sample is counted once, by its key, whichever router reports it.
func (s *State) count(m Model, reports []Report, broken Fault) (changed bool) {
	if s.Watermarks == nil {
		s.Watermarks = map[string]Watermark{}
	}
	known := s.knownKeys()
	total, eligible := s.Open.sampleCount(), s.eligibleCount(m)
	index := map[groupKey]int{}
	for i, g := range s.Open.Groups {
		index[g.key()] = i
	}
	for k := range reports {
		r := reports[(k+int(s.Open.Number%MaxRouters))%len(reports)] // rotate the order so that no router is always last
		watermark, ok := s.Watermarks[r.watermarkKey()]
		if !ok {
			changed = true
		}
		if len(r.Samples) > 0 && r.First > watermark.Seq+1 { // record what the router dropped
			watermark.Missing += r.First - 1 - watermark.Seq
			s.Totals.Missing += r.First - 1 - watermark.Seq
			watermark.Seq, changed = r.First-1, true
		}
		for i, sample := range r.Samples {
			if r.First+int64(i) <= watermark.Seq {
				continue
			}
			if total >= MaxKeys || eligible >= m.Batch {
				break // it stays in the report
			}
			if g := s.placeSample(m, sample, known, index, broken); g != nil && s.eligible(m, *g) {
				eligible++
			}
			total = s.Open.sampleCount()
			watermark.Seq, changed = r.First+int64(i), true
		}
		watermark.Epoch = s.Open.Number
		s.Watermarks[r.watermarkKey()] = watermark
	}
	s.trimWatermarks(reports)
	sortGroups(s.Open.Groups)
	return changed
}

// placeSample counts one sample. It returns the group in which the sample was counted, or nil.
func (s *State) placeSample(m Model, sample Sample, known map[uint64]bool, index map[groupKey]int, broken Fault) *Group {
	s.Totals.Reported++
	oldest := s.Open.Number
	if len(s.Closed) > 0 {
		oldest = s.Closed[0].Number
	}
	switch {
	case known[sample.Key] && broken != CountsTwice:
		s.Totals.Repeated++
		s.Open.Repeated++
		return nil
	case sample.StartEpoch < oldest && oldest > 1:
		s.Totals.Beyond++
		s.Open.Beyond++
		return nil
	case s.Open.Number-sample.StartEpoch > m.LateEpochs:
		s.Totals.Late++
		s.Open.Late++
		s.Open.LateKeys = append(s.Open.LateKeys, sample.Key)
		known[sample.Key] = true
		return nil
	}
	known[sample.Key] = true
	s.Totals.Counted++
	s.Open.Counted++
	reason := s.observe(sample)
	g := Group{Worker: sample.Worker, Boot: sample.Boot, Site: sample.Site, Version: sample.Version,
		Aged: float64(sample.AgeMs) > m.AgeMostMs, HoldReason: reason}
	if sample.End != sample.Version {
		g.End = sample.End
	}
	i, ok := index[g.key()]
	if !ok {
		i = len(s.Open.Groups)
		index[g.key()] = i
		s.Open.Groups = append(s.Open.Groups, g)
	}
	group := &s.Open.Groups[i]
	group.Count, group.Tokens, group.Keys = group.Count+1, group.Tokens+sample.Tokens, append(group.Keys, sample.Key)
	return group
}

// observe updates the statistics of a sample's worker and returns why the sample is held, if it is: its worker claimed a newer
// version than the one that generated it, or it was not accepted.
func (s *State) observe(sample Sample) string {
	w := s.Workers[sample.Worker]
	current := w != nil && w.Boot == sample.Boot && w.Label == sample.Label
	if current {
		w.Mislabeled = w.Mislabeled || sample.Version < sample.Label
		if sample.Version == sample.Label {
			w.observe(sample)
		}
	}
	switch {
	case sample.Version < sample.Label:
		reason := fmt.Sprintf("it claims version %d and runs %d", sample.Label, sample.Version)
		if current {
			w.HoldReason, w.HeldMs = reason, 0
		}
		return reason
	case current && sample.Version > sample.Label:
		if w.NewerSamples++; w.NewerSamples >= maxNewerSamples && !w.Mislabeled {
			w.HoldReason, w.HeldMs, w.Mislabeled = fmt.Sprintf("it claims version %d and runs %d", sample.Label, sample.Version), 0, true
		}
	}
	if !sample.Accepted {
		return notAccepted
	}
	return ""
}

type groupKey struct {
	worker, boot, site, held string
	version, end             int64
	aged                     bool
}

func (g Group) key() groupKey {
	return groupKey{g.Worker, g.Boot, g.Site, g.HoldReason, g.Version, g.End, g.Aged}
}

// knownKeys returns the keys of all samples that were counted or late in any epoch that is kept.
func (s *State) knownKeys() map[uint64]bool {
	out := map[uint64]bool{}
	for _, e := range append(slices.Clone(s.Closed), s.Open) {
		for key := range e.AllKeys {
			out[key] = true
		}
	}
	return out
}

// AllKeys iterates over the keys of all samples of the epoch, counted or late.
func (e Epoch) AllKeys(yield func(uint64) bool) {
	lists := []Keys{e.Known, e.LateKeys}
	for _, g := range e.Groups {
		lists = append(lists, g.Keys)
	}
	for _, list := range lists {
		for _, key := range list {
			if !yield(key) {
				return
			}
		}
	}
}

func (e Epoch) sampleCount() int { return e.Counted + len(e.LateKeys) }

// trimWatermarks drops the oldest watermarks of processes without a report, if there are too many.
func (s *State) trimWatermarks(reports []Report) {
	if len(s.Watermarks) <= MaxRouters {
		return
	}
	reporting := map[string]bool{}
	for _, r := range reports {
		reporting[r.watermarkKey()] = true
	}
	names := slices.SortedFunc(maps.Keys(s.Watermarks), func(a, b string) int {
		if d := s.Watermarks[a].Epoch - s.Watermarks[b].Epoch; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		if len(s.Watermarks) <= MaxRouters {
			return
		}
		if !reporting[name] {
			delete(s.Watermarks, name)
		}
	}
}

// close closes the open epoch once its batch is full, or once its time is over and it has any samples. It does not close an
// epoch while the tuner has the maximum number of epochs to take. Reports of isolated routers are kept and counted later.
func (s *State) close(m Model, reports []Report, broken Fault) bool {
	e := &s.Open
	eligible := s.eligibleCount(m)
	expired := e.OpenMs >= m.EpochMs && e.sampleCount() > 0
	if s.lastClosed()-s.Taken >= m.Ahead || eligible < m.Batch && e.sampleCount() < MaxKeys && !expired {
		return false
	}
	switch {
	case eligible >= m.Batch:
		e.CloseReason = "its batch is full"
	case e.sampleCount() >= MaxKeys:
		e.CloseReason = "it holds as many as it may"
	default:
		e.CloseReason = "its time is over"
	}
	for i := range e.Groups {
		g := &e.Groups[i]
		g.WorkerSamples = float64(g.Count)
		if w := s.Workers[g.Worker]; w != nil && w.Boot == g.Boot {
			if w.Label == g.Version {
				g.WorkerSamples = max(g.WorkerSamples, w.Samples)
			}
			if w.HoldReason != "" {
				g.HoldReason = w.HoldReason
			}
		}
		if g.HoldReason != "" && g.HoldReason != notAccepted && !slices.Contains(e.HeldWorkers, g.Worker) {
			e.HeldWorkers = append(e.HeldWorkers, g.Worker)
		}
	}
	e.Version = s.Version
	e.Bounds = &Bounds{Stale: m.StaleMost, Spread: m.SpreadMost, Caps: [3]float64{m.WorkerCap, m.SiteCap, m.VersionCap}, Floor: m.Floor}
	e.Weighting = m.Weigh(e.Groups, s.Version, broken)
	if e.Weighed == 0 {
		e.CloseReason += ", and nothing of it weighs: all is past the bound, held or late"
	}
	for _, r := range reports {
		if r.Silent {
			e.Silent++
		} else {
			e.Reporting++
		}
	}
	s.openWeights(*e)
	s.Closed = append(s.Closed, *e)
	s.Open = Epoch{Number: e.Number + 1}
	s.skipUnweighted()
	for len(s.Closed) > int(m.LateEpochs+m.Ahead+1) && s.Closed[0].Number <= s.Taken { // until then, a sample may be reported again
		s.Closed = s.Closed[1:]
	}
	return true
}

// eligibleCount returns how many samples of the open epoch would have a weight above 0 at present.
func (s *State) eligibleCount(m Model) (n int) {
	for _, g := range s.Open.Groups {
		if s.eligible(m, g) {
			n += g.Count
		}
	}
	return n
}

func (s *State) eligible(m Model, g Group) bool {
	if w := s.Workers[g.Worker]; w != nil && w.Boot == g.Boot && w.HoldReason != "" {
		return false
	}
	return m.eligible(g, s.Version)
}

// compactTaken drops the groups of epochs before the last one taken, and keeps their keys. It runs before any epoch is closed,
// so that each epoch is complete in at least one state.
func (s *State) compactTaken() {
	for i := range s.Closed {
		e := &s.Closed[i]
		if e.Number >= s.Taken || len(e.Groups) == 0 {
			continue
		}
		e.Known = nil
		for _, g := range e.Groups {
			e.Known = append(e.Known, g.Keys...)
		}
		e.Groups = nil
	}
}
