package reuse

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	decide "sumacloft/internal/decide/reuse"
)

// Policy is a way to copy.
type Policy string

// The policies.
const (
	None    Policy = "none"
	Pull    Policy = "pull-through" // at the second use since it was sent there last, into each region that has it not
	Decided Policy = "decider"
	Owning  Policy = "decider, own too" // and has regions hold prefixes of their own
	Rates   Policy = "knows the rates"
	Knowing Policy = "knows the future"
)

// Policies are all of them.
var Policies = []Policy{None, Pull, Decided, Owning, Rates, Knowing}

// Settings are a day's.
type Settings struct {
	Seed   uint64
	Drift  Drift
	Policy Policy
	Rate   float64       // sessions a second in each region
	Memory int           // tokens that a region keeps
	Speed  float64       // tokens that a region reads a second
	Link   float64       // tokens a second, from each region to each other
	Price  float64       // of a token over a link, beside reading one
	Abroad float64       // how often a region's own openings are used in another, beside at home
	Cut    bool          // the last region is cut off for the middle third
	Warm   time.Duration // not counted
	For    time.Duration
	Broken decide.Fault
	Model  decide.Model // further settings of the decider
}

// Standard are settings for a day of a seed: 20 sessions a second in each region, memories that keep what is not used for a
// few minutes, links that carry an eighth of what is used.
func Standard(seed uint64, drift Drift, policy Policy) Settings {
	return Settings{Seed: seed, Drift: drift, Policy: policy, Rate: 20, Memory: 2_000_000, Speed: 40_000, Link: 20_000, Price: 0.1, Abroad: 0.005, Warm: 5 * time.Minute, For: 20 * time.Minute}
}

// Day is what came of one.
type Day struct {
	Read     float64 // tokens that were read, of openings and of what sessions had
	Openings float64 // of these: of openings
	Asked    float64 // tokens of openings that were used
	Sent     float64 // tokens over links
	Copies   int
	Found    int        // requests that found what was held for them
	Worth    float64    // served in time
	InTime   [2]float64 // by class: the part
	Median   [2]float64 // by class: time to the first token, ms
	P95      [2]float64
	Most     int // copies held at once
	// Hindsight is what the decider's orders and releases turned out to be.
	Hindsight decide.Hindsight
}

// send is a copy on its way.
type send struct {
	id        int64
	key       decide.Key
	tokens    int
	from, to  int
	arrives   time.Duration
	abandoned bool
}

type world struct {
	set     Settings
	now     time.Duration
	turns   []turn
	next    int // of turns
	mem     [Regions]*memory
	free    [Regions]time.Duration          // when a region's readers are free
	link    [Regions][Regions]time.Duration // when a link is free
	way     []*send
	uses    map[decide.Key]int
	tokens  map[decide.Key]int
	day     Day
	times   [2]*hdrhistogram.Histogram
	asked   [2]float64
	inTime  [2]float64
	cut     bool
	fleet   *fleet
	future  *future
	rates   *rates
	pulled  map[decide.Key][Regions]int // uses when it was sent there last
	heldNow int
}

// base is what a first token takes beyond reading.
const base = 60 * time.Millisecond

// Run carries out a day.
func Run(set Settings) Day {
	turns, list := draw(set)
	w := &world{set: set, turns: turns, uses: map[decide.Key]int{}, tokens: map[decide.Key]int{}, pulled: map[decide.Key][Regions]int{}}
	for r := range w.mem {
		w.mem[r] = newMemory(set.Memory)
	}
	for c := range w.times {
		w.times[c] = hdrhistogram.New(1, 600_000, 3)
	}
	switch set.Policy {
	case Decided, Owning:
		w.fleet = newFleet(w)
	case Rates:
		w.rates = newRates(list)
	case Knowing:
		w.future = newFuture(w.turns)
	}
	step := 100 * time.Millisecond
	for w.now = 0; w.now < set.Warm+set.For; w.now += step {
		third := set.For / 3
		w.setCut(set.Cut && w.now >= set.Warm+third && w.now < set.Warm+2*third)
		w.arrive()
		if w.fleet != nil && w.now%time.Second == 0 {
			w.fleet.second()
		}
		if w.rates != nil && w.now%ratesEvery == 0 {
			w.rates.look(w)
		}
		if w.future != nil {
			w.future.look(w)
		}
		for w.next < len(w.turns) && w.turns[w.next].at < w.now+step {
			w.serve(w.turns[w.next])
			w.next++
		}
	}
	d := &w.day
	if w.fleet != nil && w.fleet.state != nil {
		d.Hindsight = w.fleet.state.Hindsight
	}
	for c, h := range w.times {
		d.Median[c], d.P95[c] = float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(95))
		d.InTime[c] = w.inTime[c] / max(w.asked[c], 1)
		d.Worth += w.inTime[c] * Classes[c].Worth
	}
	return *d
}

// counted tells whether what happens now counts.
func (w *world) counted() bool { return w.now >= w.set.Warm }

// serve reads what of a request is not kept, in the order of coming.
func (w *world) serve(t turn) {
	m := w.mem[t.region]
	held := false
	if e := m.at[t.opening]; e != nil {
		held = e.Value.(*kept).held
	}
	miss := t.tokens - m.use(t.opening, t.tokens)
	again := 0
	if t.had > 0 {
		again = t.had - min(m.use(t.session, t.had), t.had)
	}
	m.use(t.session, t.had+t.adds)
	w.uses[t.opening]++
	w.tokens[t.opening] = t.tokens
	start := max(w.free[t.region], t.at)
	w.free[t.region] = start + time.Duration(float64(miss+again+t.adds)/w.set.Speed*float64(time.Second))
	took := w.free[t.region] - t.at + base
	if w.fleet != nil {
		w.fleet.used(t, held)
	}
	if w.set.Policy == Pull {
		w.pull(t)
	}
	if !w.counted() {
		return
	}
	w.day.Read += float64(miss + again)
	w.day.Openings += float64(miss)
	w.day.Asked += float64(t.tokens)
	if held {
		w.day.Found++
	}
	w.asked[t.class]++
	if took <= Classes[t.class].Aim {
		w.inTime[t.class]++
	}
	_ = w.times[t.class].RecordValue(min(took.Milliseconds(), 600_000))
}

// pull sends what was used twice since it was sent there last to each region that has it not.
func (w *world) pull(t turn) {
	for r := range w.mem {
		sent := w.pulled[t.opening]
		if r == t.region || w.mem[r].has(t.opening) || w.uses[t.opening]-sent[r] < 2 || w.queue(t.region, r) > 10*time.Second {
			continue
		}
		if w.send(0, t.opening, t.tokens, t.region, r) {
			sent[r] = w.uses[t.opening]
			w.pulled[t.opening] = sent
		}
	}
}

// queue is how long what is sent now waits for a link.
func (w *world) queue(from, to int) time.Duration { return max(w.link[from][to]-w.now, 0) }

// send has an opening sent, behind what the link carries; false where there is no way.
func (w *world) send(id int64, k decide.Key, tokens, from, to int) bool {
	if w.cut && (from == Regions-1 || to == Regions-1) {
		return false
	}
	took := time.Duration(float64(tokens) / w.set.Link * float64(time.Second))
	w.link[from][to] = max(w.link[from][to], w.now) + took
	w.way = append(w.way, &send{id: id, key: k, tokens: tokens, from: from, to: to, arrives: w.link[from][to] + 20*time.Millisecond})
	if w.counted() {
		w.day.Sent += float64(tokens)
		w.day.Copies++
	}
	return true
}

// arrive has copies arrive whose time has come.
func (w *world) arrive() {
	w.way = slices.DeleteFunc(w.way, func(s *send) bool {
		if s.arrives > w.now {
			return false
		}
		if !s.abandoned {
			w.mem[s.to].use(s.key, s.tokens)
			if w.fleet != nil {
				w.fleet.here(s)
			}
		}
		return true
	})
}

// setCut cuts the last region off, or has it back; what is on its way over a cut link is lost.
func (w *world) setCut(cut bool) {
	if cut == w.cut {
		return
	}
	if w.cut = cut; !cut {
		return
	}
	w.way = slices.DeleteFunc(w.way, func(s *send) bool {
		lost := s.from == Regions-1 || s.to == Regions-1
		if lost && w.fleet != nil {
			w.fleet.gone(s)
		}
		return lost
	})
}
