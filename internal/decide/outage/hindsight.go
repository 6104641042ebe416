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
	Halts turn.VerdictCounts `json:"halts"`
	// Last are the last ones that were settled, the newest last.
	Last []Hind `json:"last,omitempty"`
}

// Hind is one halt that was settled.
type Hind struct {
	Release string       `json:"release"`
	Seq     int64        `json:"seq"` // of the state that halted it
	Was     turn.Verdict `json:"was"`
	Why     string       `json:"why"`
}

// keptHinds is how many of them a state keeps.
const keptHinds = 8

// Doubt is a halt that is not settled yet. Whether the version was worse is asked of what is counted after the halt alone,
// so what led to the halt is not taken for its own proof.
type Doubt struct {
	Seq   int64        `json:"seq"`  // of the state that halted
	What  int          `json:"what"` // of the measures, the one that halted
	Run   string       `json:"run"`
	From  Counts       `json:"from"`  // what this run had counted by then
	Looks int          `json:"looks"` // at what was counted since, at so many requests, twice as many, and so on
	Says  turn.Verdict `json:"says,omitempty"`
	N     int64        `json:"n,omitempty"` // requests of the new version at the last look
}

// Counted tells whether what its targets serve is counted: while it runs, and after a halt for what is said of that afterwards.
func (r *Release) Counted() bool {
	return r.Phase == Running || r.Phase == Halted && r.Before == Running
}

// doubt notes a halt by a version's own counts. One that follows on a resumed release says that the one before was right.
func (w *work) doubt(c Counts) {
	r := w.Release
	if r == nil || r.Phase != Halted || r.HaltSeq != w.Seq {
		return
	}
	w.settle(turn.Right, "it was resumed, and its version was halted again")
	w.Hindsight.Halts.Begin()
	d := Doubt{Seq: w.Seq, Run: r.Run, From: c}
	list := c.filled(w.m.Halt.Worse).measures()
	for i, m := range list {
		if m.chance() < list[d.What].chance() {
			d.What = i
		}
	}
	r.Doubt = &d
}

// settle settles the halt that is open, if one is.
func (w *work) settle(v turn.Verdict, why string) {
	r := w.Release
	if r == nil || r.Doubt == nil {
		return
	}
	w.Hindsight.Halts.Settle(v)
	if v != "" {
		list := w.Hindsight.Last
		w.Hindsight.Last = append(slices.Clip(list[max(0, len(list)+1-keptHinds):]), Hind{r.Name, r.Doubt.Seq, v, why})
	}
	w.say("the halt of release %s at %d is settled: %s", r.Name, r.Doubt.Seq, why)
	r.Doubt = nil
}

// hindsight looks at the halt that is open: at what is counted while the release stands, and at what became of it.
func (w *work) hindsight() {
	r := w.Release
	if r == nil || r.Doubt == nil {
		return
	}
	d := *r.Doubt
	switch {
	case r.Phase == Halted && r.Counted():
		if d.Run != r.Run { // it was resumed, and counts from nothing since
			d.Run, d.From, d.Looks = r.Run, Counts{}, 0
		}
		_, raw := w.counts(r)
		since := raw.since(d.From)
		if !w.m.Halt.due(since, d.Looks) {
			return
		}
		d.Says, d.N = w.m.Halt.afterwards(since, d.What, d.Looks), since.New.N
		d.Looks++
		r.Doubt = &d
		w.say("%d requests of the new version after the halt of release %s", d.N, r.Name)
	case r.Phase == Running && d.Says == turn.Right:
		w.settle(turn.Right, fmt.Sprintf("in %d requests after it the new version was worse", d.N))
	case r.Phase == Done:
		w.settle(turn.Wrong, "it was resumed, and came to its end without another")
	case r.Phase == Back || r.Phase == Undone || r.Phase == Halted && r.Before == Back:
		w.settle(d.Says, fmt.Sprintf("taken back, %d requests after it looked at", d.N))
	}
}

// surely is the chance below which what was seen after a halt clears a version.
const surely = 0.05

// afterwards says what a version was by what was counted after its halt: worse by the test that halts; no worse, where as little
// of what halted it would hardly be seen of one twice as bad as is put up with; or neither.
func (h Halt) afterwards(c Counts, what, look int) turn.Verdict {
	if h.judge(c, look) != "" {
		return turn.Right
	}
	m := c.filled(h.Worse).measures()[what%4]
	if all := m.old + m.new; all > 0 && m.binomial(2).CDF(float64(m.new)) < surely {
		return turn.Wrong
	}
	return ""
}

// measure is how many of what befell both versions were the new one's, and how many are expected if it is as bad as is put up with.
type measure struct {
	old, new int64
	expect   float64
}

// measures are of failures, failures in calm stretches, late answers and slow first tokens, as judge has them.
func (c Counts) measures() [4]measure {
	oldSlow, newSlow, expectSlow := c.slower()
	return [4]measure{{c.Old.Failed, max(c.New.Failed-c.Alone.Failed, 0), c.Expect.Failed}, {c.Expect.Calm.Old, c.Expect.Calm.New, c.Expect.Calm.Expect},
		{c.Old.Late, max(c.New.Late-c.Alone.Late, 0), c.Expect.Late}, {oldSlow, max(newSlow, 0), expectSlow}}
}

// binomial is how many of all are the new version's, if it is so many times as bad as is put up with.
func (m measure) binomial(times float64) distuv.Binomial {
	all := float64(m.old + m.new)
	p := min(m.expect/max(all, 1), 1)
	return distuv.Binomial{N: all, P: times * p / (times*p + 1 - p)}
}

// chance is that of as many or more of the new version's, if it is as bad as is put up with.
func (m measure) chance() float64 {
	if m.new == 0 {
		return 1
	}
	return 1 - m.binomial(1).CDF(float64(m.new-1))
}

// counts are what all reports say of a run, also those of routers that are gone: what they saw was so. raw are without what is expected
// of routers that do not say so.
func (w *work) counts(r *Release) (c, raw Counts) {
	for _, report := range w.v.Reports {
		if report.Release == r.Run {
			c.Add(report.Counts.filled(w.m.Halt.Worse))
			raw.Add(report.Counts)
		}
	}
	return c, raw
}

// since is what was counted after an earlier count; a router that started anew counts from nothing, so it may be too little.
func (c Counts) since(was Counts) Counts {
	out := Counts{Old: c.Old.less(was.Old), New: c.New.less(was.New), Alone: c.Alone.less(was.Alone)}
	e, o := c.Expect, was.Expect
	out.Expect.Failed, out.Expect.Late = max(e.Failed-o.Failed, 0), max(e.Late-o.Late, 0)
	out.Expect.Calm = Calm{max(e.Calm.Old-o.Calm.Old, 0), max(e.Calm.New-o.Calm.New, 0), max(e.Calm.Expect-o.Calm.Expect, 0)}
	for i := range e.First {
		out.Expect.First[i] = max(e.First[i]-o.First[i], 0)
	}
	return out
}

func (t Tally) less(o Tally) Tally {
	t.N, t.Failed, t.Late = max(t.N-o.N, 0), max(t.Failed-o.Failed, 0), max(t.Late-o.Late, 0)
	for i := range t.First {
		t.First[i] = max(t.First[i]-o.First[i], 0)
	}
	return t
}

// hindsight looks at the count of halts that were settled: it goes on, and a halt in doubt is among those that are open.
func (a *Auditor) hindsight(s, before *State) {
	if bad := s.Hindsight.Halts.CheckAgainst(before.Hindsight.Halts); bad != "" {
		a.fault(s, "halts in hindsight: %s", bad)
	}
	if r := s.Release; r != nil && r.Doubt != nil && s.Hindsight.Halts.Open == 0 {
		a.fault(s, "the halt at %d is in doubt, and none is open", r.Doubt.Seq)
	}
}
