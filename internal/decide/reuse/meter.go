package reuse

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// maxRefs is how many sampled uses a report carries; where more come in a period the router samples fewer prefixes.
	maxRefs = 192
	refSize = 10
	// waiting is how many sampled uses of a region wait for those of other routers that came before them.
	waiting = 320
	// HotMost is how many prefixes a router counts the uses of, and HotTold how many of these a report names.
	HotMost, HotTold = 192, 192
	// hotFor is the time constant by which counted uses fade, and histFor that of the histogram.
	hotFor, histFor = 5 * time.Minute, 20 * time.Minute
	rateFor         = 30 // seconds, of the rate of all uses
	tick            = 10 * time.Millisecond
)

// ref is a sampled use at a router's own time, in ticks; these go round after 497 days.
type ref struct {
	spot, tokens, at uint32
}

func ticks(t time.Duration) uint32 { return uint32(t / tick) }

// before tells which of two uses came first.
func (r ref) before(o uint32) bool { return int32(r.at-o) < 0 }

// tap collects a router's sampled uses between two reports.
type tap struct {
	rate      float64 // tokens a second, faded, and the weight of what it is made of
	weight    float64
	rated     time.Duration
	threshold uint64
	n         int
	refs      [maxRefs]ref
	seen      float64
}

func (c *tap) use(k Key, tokens int, now time.Duration) {
	if c.seen += float64(tokens); c.rated == 0 {
		c.rated = now // of the first
	}
	if uint64(spot(k)) >= c.threshold {
		return
	}
	if c.n == maxRefs { // those highest in the order go, and their like is not sampled any more
		var hashes [maxRefs]uint32
		for i, r := range c.refs {
			hashes[i] = r.spot
		}
		slices.Sort(hashes[:])
		c.threshold = uint64(hashes[maxRefs*3/4])
		kept := 0
		for _, r := range c.refs {
			if uint64(r.spot) < c.threshold {
				c.refs[kept] = r
				kept++
			}
		}
		if c.n = kept; kept == 0 || uint64(spot(k)) >= c.threshold {
			return
		}
	}
	c.refs[c.n] = ref{spot(k), uint32(tokens), ticks(now)}
	c.n++
}

// Sample are a router's sampled uses since its last report: at most 2.7 KB in JSON.
type Sample struct {
	Rate float64 `json:"rate"` // the part of all prefixes that it samples
	Seen float64 `json:"seen"` // tokens of all uses, sampled or not
	Refs []byte  `json:"refs,omitempty"`
}

func (c *tap) take(now time.Duration) Sample {
	s := Sample{Rate: float64(c.threshold) / spots, Seen: c.seen}
	for _, r := range c.refs[:c.n] {
		s.Refs = binary.BigEndian.AppendUint32(s.Refs, r.spot)
		s.Refs = binary.BigEndian.AppendUint32(s.Refs, r.tokens)
		s.Refs = binary.BigEndian.AppendUint16(s.Refs, uint16(min(ticks(now)-r.at, math.MaxUint16)))
	}
	if elapsed := (now - c.rated).Seconds(); elapsed > 0 && c.rated > 0 {
		alpha := 1 - math.Exp(-elapsed/rateFor)
		c.rate += (c.seen/elapsed - c.rate) * alpha
		c.weight += (1 - c.weight) * alpha
	}
	c.n, c.seen, c.rated = 0, 0, now
	return s
}

// Meter is what a router keeps: its own uses by prefix and by sample, and the reuse distances of its whole region, which it
// puts together from the samples in the reports of all routers there. Its size is fixed, below 64 KB.
type Meter struct {
	tap    tap
	hot    hot
	region Sampler
	wait   [waiting]ref // sampled uses of the region, by time
	waits  int
	faded  time.Duration
}

// NewMeter gives one for a region whose curve is wanted up to limit tokens.
func NewMeter(limit float64) *Meter {
	m := &Meter{}
	m.tap.threshold = spots
	m.region.limit, m.region.threshold = limit, spots
	return m
}

// Use counts a request at this router: its prefix and how many tokens that has.
func (m *Meter) Use(k Key, tokens int, now time.Duration) {
	if tokens <= 0 {
		return
	}
	m.hot.use(k, tokens, now)
	m.tap.use(k, tokens, now)
}

// Sample counts what a session keeps for itself: it takes room as prefixes do, and is no candidate for copies.
func (m *Meter) Sample(k Key, tokens int, now time.Duration) {
	if tokens > 0 {
		m.tap.use(k, tokens, now)
	}
}

// Taken are this router's sampled uses since it was asked last, which then are its no more.
func (m *Meter) Taken(now time.Duration) Sample { return m.tap.take(now) }

// Rate is how many tokens are used at this router, a second, as of the last Taken.
func (m *Meter) Rate() float64 { return m.tap.rate / max(m.tap.weight, 1e-9) }

// Heard takes the sample of a router of the region, this one's own too, when its report is first seen. Uses of several routers
// are put in order by their ages at that moment: they are wrong by as much as one report travels longer than another. A use
// waits for settle (that of a period) before it is counted, or until too many wait.
func (m *Meter) Heard(s Sample, now, settle time.Duration) {
	m.region.Lower(s.Rate)
	m.tap.threshold = min(m.tap.threshold, max(m.region.threshold, 1))
	if s.Seen > 0 && !math.IsInf(s.Seen, 0) {
		m.region.Seen(s.Seen)
	}
	for refs := s.Refs; len(refs) >= refSize; refs = refs[refSize:] {
		r := ref{binary.BigEndian.Uint32(refs), binary.BigEndian.Uint32(refs[4:]), ticks(now) - uint32(binary.BigEndian.Uint16(refs[8:]))}
		if !m.region.samples(r.spot) {
			continue
		}
		if m.waits == waiting {
			m.count(waiting / 4)
		}
		i := m.waits
		for ; i > 0 && r.before(m.wait[i-1].at); i-- {
			m.wait[i] = m.wait[i-1]
		}
		m.wait[i] = r
		m.waits++
	}
	n := 0
	for n < m.waits && m.wait[n].before(ticks(now-settle)) {
		n++
	}
	m.count(n)
	if m.faded == 0 {
		m.faded = now
	}
	if elapsed := now - m.faded; elapsed > histFor/20 {
		m.region.Fade(math.Exp(-float64(elapsed) / float64(histFor)))
		m.faded = now
	}
}

// count hands the first waiting uses to the region's sampler.
func (m *Meter) count(n int) {
	for _, r := range m.wait[:n] {
		m.region.use(r.spot, int(r.tokens))
	}
	m.waits = copy(m.wait[:], m.wait[n:m.waits])
}

// Curve is that of the region, as far as this router has heard.
func (m *Meter) Curve() Curve { return m.region.Curve() }

// Hot are the prefixes used most at this router, most first.
func (m *Meter) Hot(now time.Duration) []Use { return m.hot.list(now, HotTold) }

// Use is how a prefix is used at a router, lately: its uses fade by a time constant of five minutes.
type Use struct {
	Prefix Key     `json:"p"`
	Tokens int     `json:"t"`
	Count  float64 `json:"n"`           // faded uses, surely no fewer
	Over   float64 `json:"o,omitempty"` // by how many there may be more, which another prefix left behind
	AgeMs  int64   `json:"a"`           // since it was counted first
	IdleMs int64   `json:"i"`           // since it was used last
}

// hot counts the uses of prefixes in fixed memory: one that is not among them takes the place of the least used and of its
// count, as what it may have had before (Metwally, Agrawal, El Abbadi, "Space-Saving", ICDT 2005), with fading counts.
type hot struct {
	n   int
	all [HotMost]hotOne
}

type hotOne struct {
	key         Key
	tokens      uint32
	count, over float32
	first, last time.Duration // count is faded to last
}

func fade(dt time.Duration) float32 { return float32(math.Exp(-float64(dt) / float64(hotFor))) }

func (h *hot) use(k Key, tokens int, now time.Duration) {
	lowest, lowestAt := float32(math.Inf(1)), -1
	for i := range h.all[:h.n] {
		entry := &h.all[i]
		if entry.key == k {
			factor := fade(now - entry.last)
			entry.count, entry.over, entry.last, entry.tokens = entry.count*factor+1, entry.over*factor, now, uint32(tokens)
			return
		}
	}
	if h.n < HotMost {
		h.all[h.n] = hotOne{k, uint32(tokens), 1, 0, now, now}
		h.n++
		return
	}
	for i := range h.all {
		if count := h.all[i].count * fade(now-h.all[i].last); count < lowest {
			lowest, lowestAt = count, i
		}
	}
	h.all[lowestAt] = hotOne{k, uint32(tokens), lowest + 1, lowest, now, now}
}

func (h *hot) list(now time.Duration, limit int) []Use {
	var uses []Use
	for _, entry := range h.all[:h.n] {
		factor := float64(fade(now - entry.last))
		uses = append(uses, Use{Prefix: entry.key, Tokens: int(entry.tokens), Count: float64(entry.count-entry.over) * factor, Over: float64(entry.over) * factor,
			AgeMs: (now - entry.first).Milliseconds(), IdleMs: (now - entry.last).Milliseconds()})
	}
	slices.SortFunc(uses, func(a, b Use) int {
		switch {
		case a.Count != b.Count:
			if a.Count > b.Count {
				return -1
			}
			return 1
		case a.Prefix < b.Prefix:
			return -1
		}
		return 1
	})
	return uses[:min(len(uses), limit)]
}
