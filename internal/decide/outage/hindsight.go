package outage

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts the halts caused by a new version's own counts, by what was observed of the version afterwards. Halts
// for other reasons (losses, a target that did not return, an operator) say nothing about a version and are not counted.
type Hindsight struct {
	Halts turn.VerdictCounts `json:"halts"`
	// Recent holds the last settled halts, newest last.
	Recent []SettledHalt `json:"last,omitempty"`
}

// SettledHalt is a halt whose verdict is known.
type SettledHalt struct {
	Release string       `json:"release"`
	Seq     int64        `json:"seq"` // of the state that halted the release
	Verdict turn.Verdict `json:"was"`
	Why     string       `json:"why"`
}

// maxSettledHalts limits the settled halts kept in a state.
const maxSettledHalts = 8

// UnsettledHalt is a halt whose verdict is open. The verdict uses only counts from after the halt, so that the evidence
// for the halt is not used to confirm it.
type UnsettledHalt struct {
	Seq      int64        `json:"seq"`  // of the state that halted the release
	Measure  int          `json:"what"` // index of the measure that caused the halt
	Run      string       `json:"run"`
	Baseline Counts       `json:"from"`  // counts of this run at the halt
	Looks    int          `json:"looks"` // looks at the counts since; at so many requests, twice as many, and so on
	Verdict  turn.Verdict `json:"says,omitempty"`
	Requests int64        `json:"n,omitempty"` // requests of the new version at the last look
}

// Counted reports whether requests served by the release's targets are counted: while it runs, and after a halt for the
// verdict on that halt.
func (r *Release) Counted() bool {
	return r.Phase == Running || r.Phase == Halted && r.HaltedFrom == Running
}

// openHalt records a halt caused by a version's own counts. If the release was resumed after an earlier halt, that one
// is settled as right.
func (d *draft) openHalt(c Counts) {
	r := d.Release
	if r == nil || r.Phase != Halted || r.HaltSeq != d.Seq {
		return
	}
	d.settleHalt(turn.Right, "it was resumed, and its version was halted again")
	d.Hindsight.Halts.Begin()
	unsettled := UnsettledHalt{Seq: d.Seq, Run: r.Run, Baseline: c}
	list := c.withExpected(d.model.Halt.Worse).measures()
	for i, m := range list {
		if m.pValue() < list[unsettled.Measure].pValue() {
			unsettled.Measure = i
		}
	}
	r.Unsettled = &unsettled
}

// settleHalt settles the open halt, if there is one.
func (d *draft) settleHalt(v turn.Verdict, why string) {
	r := d.Release
	if r == nil || r.Unsettled == nil {
		return
	}
	d.Hindsight.Halts.Settle(v)
	if v != "" {
		list := d.Hindsight.Recent
		d.Hindsight.Recent = append(slices.Clip(list[max(0, len(list)+1-maxSettledHalts):]), SettledHalt{r.Name, r.Unsettled.Seq, v, why})
	}
	d.note("the halt of release %s at %d is settled: %s", r.Name, r.Unsettled.Seq, why)
	r.Unsettled = nil
}

// updateHindsight examines the open halt: the counts since, and what became of the release.
func (d *draft) updateHindsight() {
	r := d.Release
	if r == nil || r.Unsettled == nil {
		return
	}
	unsettled := *r.Unsettled
	switch {
	case r.Phase == Halted && r.Counted():
		if unsettled.Run != r.Run { // it was resumed, and counts from zero since
			unsettled.Run, unsettled.Baseline, unsettled.Looks = r.Run, Counts{}, 0
		}
		_, raw := d.counts(r)
		since := raw.since(unsettled.Baseline)
		if !d.model.Halt.due(since, unsettled.Looks) {
			return
		}
		unsettled.Verdict, unsettled.Requests = d.model.Halt.verdict(since, unsettled.Measure, unsettled.Looks), since.New.N
		unsettled.Looks++
		r.Unsettled = &unsettled
		d.note("%d requests of the new version after the halt of release %s", unsettled.Requests, r.Name)
	case r.Phase == Running && unsettled.Verdict == turn.Right:
		d.settleHalt(turn.Right, fmt.Sprintf("in %d requests after it the new version was worse", unsettled.Requests))
	case r.Phase == Done:
		d.settleHalt(turn.Wrong, "it was resumed, and came to its end without another")
	case r.Phase == RollingBack || r.Phase == RolledBack || r.Phase == Halted && r.HaltedFrom == RollingBack:
		d.settleHalt(unsettled.Verdict, fmt.Sprintf("taken back, %d requests after it looked at", unsettled.Requests))
	}
}

// clearLevel is the probability below which the counts after a halt clear a version.
const clearLevel = 0.05

// verdict judges a version by its counts after the halt. It is right if the test that halts finds the version worse. It
// is wrong if so few events of the measure that halted it would be unlikely for a version twice as bad as tolerated.
// Otherwise it is empty.
func (h Halt) verdict(c Counts, measure, look int) turn.Verdict {
	if h.judge(c, look) != "" {
		return turn.Right
	}
	counted := c.withExpected(h.Worse).measures()[measure%4]
	if all := counted.old + counted.new; all > 0 && counted.binomial(2).CDF(float64(counted.new)) < clearLevel {
		return turn.Wrong
	}
	return ""
}

// measure is the number of events of one kind for both versions, and the number expected of the new one if it is as bad
// as tolerated.
type measure struct {
	old, new int64
	expected float64
}

// measures returns failures, failures in calm stretches, late answers and slow first tokens, in the order that judge
// uses.
func (c Counts) measures() [4]measure {
	oldSlow, newSlow, expectedSlow := c.slowFirstTokens()
	return [4]measure{{c.Old.Failed, max(c.New.Failed-c.Unpaired.Failed, 0), c.Expected.Failed},
		{c.Expected.Calm.Old, c.Expected.Calm.New, c.Expected.Calm.Expected},
		{c.Old.Late, max(c.New.Late-c.Unpaired.Late, 0), c.Expected.Late}, {oldSlow, max(newSlow, 0), expectedSlow}}
}

// binomial is the distribution of the new version's share of all events, if it is times as bad as tolerated.
func (m measure) binomial(times float64) distuv.Binomial {
	all := float64(m.old + m.new)
	p := min(m.expected/max(all, 1), 1)
	return distuv.Binomial{N: all, P: times * p / (times*p + 1 - p)}
}

// pValue is the probability of as many events of the new version or more, if it is as bad as tolerated.
func (m measure) pValue() float64 {
	if m.new == 0 {
		return 1
	}
	return 1 - m.binomial(1).CDF(float64(m.new-1))
}

// counts sums all reports of a run, including those of routers that are gone, which stay valid. raw leaves out the
// expected events of routers that do not report them.
func (d *draft) counts(r *Release) (c, raw Counts) {
	for _, report := range d.view.Reports {
		if report.Release == r.Run {
			c.Add(report.Counts.withExpected(d.model.Halt.Worse))
			raw.Add(report.Counts)
		}
	}
	return c, raw
}

// since returns what was counted after an earlier count. A restarted router counts from zero, so the result may be too
// low.
func (c Counts) since(earlier Counts) Counts {
	out := Counts{Old: c.Old.minus(earlier.Old), New: c.New.minus(earlier.New), Unpaired: c.Unpaired.minus(earlier.Unpaired)}
	e, o := c.Expected, earlier.Expected
	out.Expected.Failed, out.Expected.Late = max(e.Failed-o.Failed, 0), max(e.Late-o.Late, 0)
	out.Expected.Calm = Calm{max(e.Calm.Old-o.Calm.Old, 0), max(e.Calm.New-o.Calm.New, 0), max(e.Calm.Expected-o.Calm.Expected, 0)}
	for i := range e.FirstToken {
		out.Expected.FirstToken[i] = max(e.FirstToken[i]-o.FirstToken[i], 0)
	}
	return out
}

func (t Tally) minus(other Tally) Tally {
	t.N, t.Failed, t.Late = max(t.N-other.N, 0), max(t.Failed-other.Failed, 0), max(t.Late-other.Late, 0)
	for i := range t.FirstToken {
		t.FirstToken[i] = max(t.FirstToken[i]-other.FirstToken[i], 0)
	}
	return t
}

// checkHindsight checks that the count of halts continues from the last state, and that an unsettled halt is among the
// open ones.
func (a *Auditor) checkHindsight(s, before *State) {
	if finding := s.Hindsight.Halts.CheckAgainst(before.Hindsight.Halts); finding != "" {
		a.report(s, "halts in hindsight: %s", finding)
	}
	if r := s.Release; r != nil && r.Unsettled != nil && s.Hindsight.Halts.Open == 0 {
		a.report(s, "the halt at %d is unsettled, but no halt is counted as open", r.Unsettled.Seq)
	}
}
