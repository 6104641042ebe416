package outage

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts are what was served by servers (or routers) of the old label and of the new, at the same time.
type Counts struct {
	Old Tally `json:"old,omitzero"`
	New Tally `json:"new,omitzero"`
	// Expected is how much of what befell both is the new version's by chance, if it is as bad as the bound allows. Alone is
	// what the new version had with no old one beside it: it is in New as well, and tells nothing.
	Expected Expected `json:"expect,omitzero"`
	Unpaired Tally    `json:"alone,omitzero"`
	// Asked and Refused are by class, since the run began.
	Asked   map[string]int64 `json:"asked,omitempty"`
	Refused map[string]int64 `json:"refused,omitempty"`
}

// Tally counts attempts that ended by themselves.
type Tally struct {
	N      int64 `json:"n"`
	Failed int64 `json:"failed,omitempty"`
	Late   int64 `json:"late,omitempty"`
	// FirstToken are times to the first token, by powers of two of a millisecond.
	FirstToken [FirstBuckets]int64 `json:"first,omitzero"`
}

// FirstBuckets is how many powers of two are told apart.
const FirstBuckets = 18

// Bucket is the place of a time in milliseconds among Tally.First.
func Bucket(ms float64) int {
	if ms < 1 {
		return 0
	}
	return min(int(math.Log2(ms))+1, FirstBuckets-1)
}

// Add adds what another counted.
func (t *Tally) Add(o Tally) {
	t.N, t.Failed, t.Late = t.N+o.N, t.Failed+o.Failed, t.Late+o.Late
	for i := range t.FirstToken {
		t.FirstToken[i] += o.FirstToken[i]
	}
}

// Add adds what another router counted.
func (c *Counts) Add(o Counts) {
	c.Old.Add(o.Old)
	c.New.Add(o.New)
	c.Expected.Add(o.Expected)
	c.Unpaired.Add(o.Unpaired)
	for _, pair := range [...]struct {
		to   *map[string]int64
		from map[string]int64
	}{{&c.Asked, o.Asked}, {&c.Refused, o.Refused}} {
		for k, n := range pair.from {
			if *pair.to == nil {
				*pair.to = map[string]int64{}
			}
			(*pair.to)[k] += n
		}
	}
}

// Expected are mean numbers of events of the new version, among those of both.
type Expected struct {
	Failed     float64               `json:"failed,omitempty"`
	Calm       Calm                  `json:"calm,omitzero"`
	Late       float64               `json:"late,omitempty"`
	FirstToken [FirstBuckets]float64 `json:"first,omitzero"`
}

// Calm is what failed in stretches in which little failed of both: in a bad hour so much fails by chance that a version that is a
// little worse is not seen. Which stretches these are hangs on the failures of both together, which say nothing of whose they are, so
// to choose them favours neither.
type Calm struct {
	Old      int64   `json:"old,omitempty"`
	New      int64   `json:"new,omitempty"`
	Expected float64 `json:"expect,omitempty"`
}

// calmShare is the greatest part of both versions' requests that fails in a stretch that is calmShare.
const calmShare = 0.05

// Add adds what is expected of another stretch.
func (e *Expected) Add(o Expected) {
	e.Calm = Calm{e.Calm.Old + o.Calm.Old, e.Calm.New + o.Calm.New, e.Calm.Expected + o.Calm.Expected}
	e.Failed, e.Late = e.Failed+o.Failed, e.Late+o.Late
	for i := range e.FirstToken {
		e.FirstToken[i] += o.FirstToken[i]
	}
}

// addStretch adds what is expected in one stretch, if the new version's rate is so many times the old one's.
func (c *Counts) addStretch(old, next Tally, worse float64) {
	if old.N == 0 {
		c.Unpaired.Add(next)
		return
	}
	var e Expected
	share := worse * float64(next.N) / (worse*float64(next.N) + float64(old.N))
	e.Failed, e.Late = share*float64(old.Failed+next.Failed), share*float64(old.Late+next.Late)
	if float64(old.Failed+next.Failed) <= calmShare*float64(old.N+next.N) {
		e.Calm = Calm{old.Failed, next.Failed, e.Failed}
	}
	for i := range e.FirstToken {
		e.FirstToken[i] = share * float64(old.FirstToken[i]+next.FirstToken[i])
	}
	c.Expected.Add(e)
}

// withExpected are counts with what is expected; those of a router that does not say so are one stretch.
func (c Counts) withExpected(worse float64) Counts {
	if c.Expected == (Expected{}) && c.Unpaired == (Tally{}) {
		c.addStretch(c.Old, c.New, worse)
	}
	return c
}

// slowFirstTokens is how many answers of each came later than nine of ten of the old version's do, and how many are
// expected of the new one.
func (c Counts) slowFirstTokens() (old, new int64, expect float64) {
	sum, at := int64(0), FirstBuckets-1
	for i, n := range c.Old.FirstToken {
		if sum += n; 10*sum >= 9*c.Old.N && c.Old.N > 0 {
			at = i
			break
		}
	}
	for i := at + 1; i < FirstBuckets; i++ {
		old, new, expect = old+c.Old.FirstToken[i], new+c.New.FirstToken[i]-c.Unpaired.FirstToken[i], expect+c.Expected.FirstToken[i]
	}
	return old, new, expect
}

// due tells whether the sequential test looks now: at so many requests of the new version, then at twice as many, and so
// on.
func (h Halt) due(c Counts, looks int) bool {
	return c.New.N >= h.Least<<min(looks, 40) && c.Old.N > 0
}

// judge looks at what the new version does beside the old one at the same time, by the exact conditional test of two
// rates: of all failures so many are the new version's only with a chance that shrinks as it is no worse, counted apart for each
// stretch of time and kind of server (Meter). Each look
// spends half of what the one before it spent of the level, and a quarter of that is for each of failures, failures in calm stretches, late
// answers and times to the first token; so however often it looks, a version that is no worse is halted at most with the level's chance.
func (h Halt) judge(c Counts, look int) (finding string) {
	level := h.Level / math.Pow(2, float64(look+1)) / 4
	c = c.withExpected(h.Worse)
	oldSlow, newSlow, expectSlow := c.slowFirstTokens()
	for _, measure := range [...]struct {
		what     string
		old, new int64
		expect   float64
	}{{"failed", c.Old.Failed, c.New.Failed - c.Unpaired.Failed, c.Expected.Failed}, {"failed in calm hours", c.Expected.Calm.Old, c.Expected.Calm.New, c.Expected.Calm.Expected},
		{"late", c.Old.Late, c.New.Late - c.Unpaired.Late, c.Expected.Late}, {"slow to the first token", oldSlow, newSlow, expectSlow}} {
		all := measure.old + measure.new
		if float64(measure.new) < measure.expect+1 { // no worse, and the bound on the chance holds from here on
			continue
		}
		// The chance of as many or more: of stretches with several shares it is at most that of their mean share (Hoeffding 1956).
		chance := 1 - distuv.Binomial{N: float64(all), P: min(measure.expect/float64(all), 1)}.CDF(float64(measure.new-1))
		if chance < level {
			return fmt.Sprintf("the new version is %s: %d of %d, the old one beside it %d of %d (chance %.2g at look %d, %.2g wanted)", measure.what, measure.new, c.New.N, measure.old, c.Old.N, chance, look+1, level)
		}
	}
	return ""
}

// excessRefusals names a class of which more is refused than the bound allows.
func (h Halt) excessRefusals(c Counts) string {
	if h.Refused <= 0 {
		return ""
	}
	for _, class := range slices.Sorted(maps.Keys(c.Asked)) {
		if n := c.Asked[class]; n >= h.Least && float64(c.Refused[class]) > h.Refused*float64(n) {
			return fmt.Sprintf("class %s: %d of %d refused, %.0f%% at most", class, c.Refused[class], n, 100*h.Refused)
		}
	}
	return ""
}

// Look makes a look of the sequential test if one is due: what is bad about the new version, if anything.
func (h Halt) Look(c Counts, looks int) (finding string, looked bool) {
	if !h.due(c, looks) {
		return "", false
	}
	return h.judge(c, looks), true
}
