package outage

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"sumacloft/internal/decide/turn"
)

// Hindsight counts the halts that a new version's own counts gave, by what was seen of the version afterwards. Halts for
// other reasons (losses, a target that did not return, an operator) say nothing of a version and are not counted.
type Hindsight struct {
	Halts turn.Judged `json:"halts"`
	// Recent are the last ones that were settled, the newest last.
	Recent []SettledHalt `json:"last,omitempty"`
}

// SettledHalt is one halt that was settled.
type SettledHalt struct {
	Release string       `json:"release"`
	Seq     int64        `json:"seq"` // of the state that halted it
	Verdict turn.Verdict `json:"was"`
	Why     string       `json:"why"`
}

// maxSettledHalts is how many of them a state keeps.
const maxSettledHalts = 8

// UnsettledHalt is a halt that is not settled yet. Whether the version was worse is asked of what is counted after the halt alone,
// so what led to the halt is not taken for its own proof.
type UnsettledHalt struct {
	Seq      int64        `json:"seq"`  // of the state that halted
	Measure  int          `json:"what"` // of the measures, the one that halted
	Run      string       `json:"run"`
	Baseline Counts       `json:"from"`  // what this run had counted by then
	Looks    int          `json:"looks"` // at what was counted since, at so many requests, twice as many, and so on
	Verdict  turn.Verdict `json:"says,omitempty"`
	Requests int64        `json:"n,omitempty"` // requests of the new version at the last look
}

// Counted tells whether what its targets serve is counted: while it runs, and after a halt for what is said of that afterwards.
func (r *Release) Counted() bool {
	return r.Phase == Running || r.Phase == Halted && r.HaltedFrom == Running
}

// openHalt notes a halt by a version's own counts. One that follows on a resumed release says that the one before was right.
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

// settleHalt settles the halt that is open, if one is.
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

// updateHindsight looks at the halt that is open: at what is counted while the release stands, and at what became of it.
func (d *draft) updateHindsight() {
	r := d.Release
	if r == nil || r.Unsettled == nil {
		return
	}
	unsettled := *r.Unsettled
	switch {
	case r.Phase == Halted && r.Counted():
		if unsettled.Run != r.Run { // it was resumed, and counts from nothing since
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

// clearLevel is the chance below which what was seen after a halt clears a version.
const clearLevel = 0.05

// verdict says what a version was by what was counted after its halt: worse by the test that halts; no worse, where as little
// of what halted it would hardly be seen of one twice as bad as is put up with; or neither.
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

// measure is how many of what befell both versions were the new one's, and how many are expected if it is as bad as is put up with.
type measure struct {
	old, new int64
	expected float64
}

// measures are of failures, failures in calm stretches, late answers and slow first tokens, as judge has them.
func (c Counts) measures() [4]measure {
	oldSlow, newSlow, expectSlow := c.slowFirstTokens()
	return [4]measure{{c.Old.Failed, max(c.New.Failed-c.Unpaired.Failed, 0), c.Expected.Failed}, {c.Expected.Calm.Old, c.Expected.Calm.New, c.Expected.Calm.Expected},
		{c.Old.Late, max(c.New.Late-c.Unpaired.Late, 0), c.Expected.Late}, {oldSlow, max(newSlow, 0), expectSlow}}
}

// binomial is how many of all are the new version's, if it is so many times as bad as is put up with.
func (m measure) binomial(times float64) distuv.Binomial {
	all := float64(m.old + m.new)
	p := min(m.expected/max(all, 1), 1)
	return distuv.Binomial{N: all, P: times * p / (times*p + 1 - p)}
}

// pValue is that of as many or more of the new version's, if it is as bad as is put up with.
func (m measure) pValue() float64 {
	if m.new == 0 {
		return 1
	}
	return 1 - m.binomial(1).CDF(float64(m.new-1))
}

// counts are what all reports say of a run, also those of routers that are gone: what they saw was so. raw are without what is expected
// of routers that do not say so.
func (d *draft) counts(r *Release) (c, raw Counts) {
	for _, report := range d.view.Reports {
		if report.Release == r.Run {
			c.Add(report.Counts.withExpected(d.model.Halt.Worse))
			raw.Add(report.Counts)
		}
	}
	return c, raw
}

// since is what was counted after an earlier count; a router that started anew counts from nothing, so it may be too little.
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

func (t Tally) minus(o Tally) Tally {
	t.N, t.Failed, t.Late = max(t.N-o.N, 0), max(t.Failed-o.Failed, 0), max(t.Late-o.Late, 0)
	for i := range t.FirstToken {
		t.FirstToken[i] = max(t.FirstToken[i]-o.FirstToken[i], 0)
	}
	return t
}

// checkHindsight looks at the count of halts that were settled: it goes on, and a halt in doubt is among those that are open.
func (a *Auditor) checkHindsight(s, before *State) {
	if finding := s.Hindsight.Halts.Follows(before.Hindsight.Halts); finding != "" {
		a.report(s, "halts in hindsight: %s", finding)
	}
	if r := s.Release; r != nil && r.Unsettled != nil && s.Hindsight.Halts.Open == 0 {
		a.report(s, "the halt at %d is in doubt, and none is open", r.Unsettled.Seq)
	}
}
