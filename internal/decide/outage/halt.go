package outage

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts compares requests served by members of the old label and of the new one at the same time.
type Counts struct {
	Old Tally `json:"old,omitzero"`
	New Tally `json:"new,omitzero"`
	// Expected is the number of events expected of the new version among those of both, if it is as bad as the bound
	// allows. Unpaired counts requests of the new version in stretches without any of the old one. They are included in
	// New, but are no evidence.
	Expected Expected `json:"expect,omitzero"`
	Unpaired Tally    `json:"alone,omitzero"`
	// Asked and Refused count requests by class since the run began.
	Asked   map[string]int64 `json:"asked,omitempty"`
	Refused map[string]int64 `json:"refused,omitempty"`
}

// Tally counts attempts that ended on their own.
type Tally struct {
	N      int64 `json:"n"`
	Failed int64 `json:"failed,omitempty"`
	Late   int64 `json:"late,omitempty"`
	// FirstToken is a histogram of times to the first token, in powers of two of a millisecond.
	FirstToken [FirstTokenBuckets]int64 `json:"first,omitzero"`
}

// FirstTokenBuckets is the number of buckets in Tally.FirstToken.
const FirstTokenBuckets = 18

// Bucket returns the bucket in Tally.FirstToken of a time in milliseconds.
func Bucket(ms float64) int {
	if ms < 1 {
		return 0
	}
	return min(int(math.Log2(ms))+1, FirstTokenBuckets-1)
}

// Add adds another tally.
func (t *Tally) Add(other Tally) {
	t.N, t.Failed, t.Late = t.N+other.N, t.Failed+other.Failed, t.Late+other.Late
	for i := range t.FirstToken {
		t.FirstToken[i] += other.FirstToken[i]
	}
}

// Add adds the counts of another router.
func (c *Counts) Add(other Counts) {
	c.Old.Add(other.Old)
	c.New.Add(other.New)
	c.Expected.Add(other.Expected)
	c.Unpaired.Add(other.Unpaired)
	for _, pair := range [...]struct {
		to   *map[string]int64
		from map[string]int64
	}{{&c.Asked, other.Asked}, {&c.Refused, other.Refused}} {
		for k, n := range pair.from {
			if *pair.to == nil {
				*pair.to = map[string]int64{}
			}
			(*pair.to)[k] += n
		}
	}
}

// Expected holds the numbers of events expected of the new version among those of both.
type Expected struct {
	Failed     float64                    `json:"failed,omitempty"`
	Calm       Calm                       `json:"calm,omitzero"`
	Late       float64                    `json:"late,omitempty"`
	FirstToken [FirstTokenBuckets]float64 `json:"first,omitzero"`
}

// Calm counts failures in stretches where few requests of either version failed. In a bad hour the random failures are
// so many that a slightly worse version goes unnoticed. Calm stretches are chosen by the failures of both versions
// together, which say nothing about whose they are, so the choice favours neither.
type Calm struct {
	Old      int64   `json:"old,omitempty"`
	New      int64   `json:"new,omitempty"`
	Expected float64 `json:"expect,omitempty"`
}

// calmShare is the largest share of both versions' requests that fails in a calm stretch.
const calmShare = 0.05

// Add adds the events expected of another stretch.
func (e *Expected) Add(other Expected) {
	e.Calm = Calm{e.Calm.Old + other.Calm.Old, e.Calm.New + other.Calm.New, e.Calm.Expected + other.Calm.Expected}
	e.Failed, e.Late = e.Failed+other.Failed, e.Late+other.Late
	for i := range e.FirstToken {
		e.FirstToken[i] += other.FirstToken[i]
	}
}

// addStretch adds the events expected of one stretch, if the new version's rate is worse times the old one's.
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

// withExpected fills in the expected events. Counts from a router that does not report them are taken as one stretch.
func (c Counts) withExpected(worse float64) Counts {
	if c.Expected == (Expected{}) && c.Unpaired == (Tally{}) {
		c.addStretch(c.Old, c.New, worse)
	}
	return c
}

// slowFirstTokens returns how many answers of each version were slower than the old version's 90th percentile, and how
// many are expected of the new one.
func (c Counts) slowFirstTokens() (old, new int64, expected float64) {
	sum, at := int64(0), FirstTokenBuckets-1
	for i, n := range c.Old.FirstToken {
		if sum += n; 10*sum >= 9*c.Old.N && c.Old.N > 0 {
			at = i
			break
		}
	}
	for i := at + 1; i < FirstTokenBuckets; i++ {
		old, new, expected = old+c.Old.FirstToken[i], new+c.New.FirstToken[i]-c.Unpaired.FirstToken[i], expected+c.Expected.FirstToken[i]
	}
	return old, new, expected
}

// due reports whether the sequential test makes a look now: at the first Least requests of the new version, then at
// twice as many, and so on.
func (h Halt) due(c Counts, looks int) bool {
	return c.New.N >= h.Least<<min(looks, 40) && c.Old.N > 0
}

// judge compares the new version with the old one over the same time, by the exact conditional test of two Poisson
// rates: given all failures, too many on the new version's side are unlikely if it is no worse. Counts are kept apart
// for each stretch of time and kind of server (see Meter).
//
// Each look spends half as much of the level as the look before. A quarter of that goes to each of failures, failures in
// calm stretches, late answers and slow first tokens. So however many looks are made, a version that is no worse is
// halted with a probability of at most Level.
func (h Halt) judge(c Counts, look int) (finding string) {
	level := h.Level / math.Pow(2, float64(look+1)) / 4
	c = c.withExpected(h.Worse)
	oldSlow, newSlow, expectedSlow := c.slowFirstTokens()
	for _, measure := range [...]struct {
		name     string
		old, new int64
		expected float64
	}{{"failed", c.Old.Failed, c.New.Failed - c.Unpaired.Failed, c.Expected.Failed},
		{"failed in calm hours", c.Expected.Calm.Old, c.Expected.Calm.New, c.Expected.Calm.Expected},
		{"late", c.Old.Late, c.New.Late - c.Unpaired.Late, c.Expected.Late}, {"slow to the first token", oldSlow, newSlow, expectedSlow}} {
		all := measure.old + measure.new
		if float64(measure.new) < measure.expected+1 { // no worse; the bound on the tail probability holds from here on
			continue
		}
		// The probability of as many or more. For stretches with different shares it is at most that of their mean share
		// (Hoeffding 1956).
		pValue := 1 - distuv.Binomial{N: float64(all), P: min(measure.expected/float64(all), 1)}.CDF(float64(measure.new-1))
		if pValue < level {
			return fmt.Sprintf("the new version is %s: %d of %d, the old one beside it %d of %d (chance %.2g at look %d, %.2g wanted)", measure.name, measure.new, c.New.N, measure.old, c.Old.N, pValue, look+1, level)
		}
	}
	return ""
}

// excessRefusals describes the first class of which more is refused than the bound allows, or returns "".
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

// Look makes a look of the sequential test if one is due. It returns what is worse about the new version, if anything.
func (h Halt) Look(c Counts, looks int) (finding string, looked bool) {
	if !h.due(c, looks) {
		return "", false
	}
	return h.judge(c, looks), true
}
