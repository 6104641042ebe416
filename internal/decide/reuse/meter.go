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
	// maxPending is how many sampled uses of a region wait for those of other routers that came before them.
	maxPending = 320
	// MaxHot is how many prefixes a router counts the uses of, and MaxHotReported how many of these a report names.
	MaxHot, MaxHotReported = 192, 192
	// hotDecay is the time constant by which counted uses fade, and histogramDecay that of the histogram.
	hotDecay, histogramDecay = 5 * time.Minute, 20 * time.Minute
	rateDecay                = 30 // seconds, of the rate of all uses
	tick                     = 10 * time.Millisecond
)

// ref is a sampled use at a router's own time, in ticks; these go round after 497 days.
type ref struct {
	hash, tokens, at uint32
}

func ticks(t time.Duration) uint32 { return uint32(t / tick) }

// before tells which of two uses came first.
func (r ref) before(o uint32) bool { return int32(r.at-o) < 0 }

// collector collects a router's sampled uses between two reports.
type collector struct {
	rate      float64 // tokens a second, faded, and the weight of what it is made of
	weight    float64
	rateSince time.Duration
	threshold uint64
	count     int
	refs      [maxRefs]ref
	total     float64
}

func (c *collector) use(k Key, tokens int, now time.Duration) {
	if c.total += float64(tokens); c.rateSince == 0 {
		c.rateSince = now // of the first
	}
	if uint64(sampleHash(k)) >= c.threshold {
		return
	}
	if c.count == maxRefs { // those highest in the order go, and their like is not sampled any more
		var hashes [maxRefs]uint32
		for i, r := range c.refs {
			hashes[i] = r.hash
		}
		slices.Sort(hashes[:])
		c.threshold = uint64(hashes[maxRefs*3/4])
		kept := 0
		for _, r := range c.refs {
			if uint64(r.hash) < c.threshold {
				c.refs[kept] = r
				kept++
			}
		}
		if c.count = kept; kept == 0 || uint64(sampleHash(k)) >= c.threshold {
			return
		}
	}
	c.refs[c.count] = ref{sampleHash(k), uint32(tokens), ticks(now)}
	c.count++
}

// Sample are a router's sampled uses since its last report: at most 2.7 KB in JSON.
type Sample struct {
	Rate        float64 `json:"rate"` // the part of all prefixes that it samples
	TotalTokens float64 `json:"seen"` // tokens of all uses, sampled or not
	Refs        []byte  `json:"refs,omitempty"`
}

func (c *collector) take(now time.Duration) Sample {
	s := Sample{Rate: float64(c.threshold) / hashRange, TotalTokens: c.total}
	for _, r := range c.refs[:c.count] {
		s.Refs = binary.BigEndian.AppendUint32(s.Refs, r.hash)
		s.Refs = binary.BigEndian.AppendUint32(s.Refs, r.tokens)
		s.Refs = binary.BigEndian.AppendUint16(s.Refs, uint16(min(ticks(now)-r.at, math.MaxUint16)))
	}
	if elapsed := (now - c.rateSince).Seconds(); elapsed > 0 && c.rateSince > 0 {
		alpha := 1 - math.Exp(-elapsed/rateDecay)
		c.rate += (c.total/elapsed - c.rate) * alpha
		c.weight += (1 - c.weight) * alpha
	}
	c.count, c.total, c.rateSince = 0, 0, now
	return s
}

// Meter is what a router keeps: its own uses by prefix and by sample, and the reuse distances of its whole region, which it
// puts together from the samples in the reports of all routers there. Its size is fixed, below 64 KB.
type Meter struct {
	collector    collector
	hot          hotList
	region       Sampler
	pending      [maxPending]ref // sampled uses of the region, by time
	pendingCount int
	lastDecay    time.Duration
}

// NewMeter gives one for a region whose curve is wanted up to limit tokens.
func NewMeter(limit float64) *Meter {
	m := &Meter{}
	m.collector.threshold = hashRange
	m.region.limit, m.region.threshold = limit, hashRange
	return m
}

// Use counts a request at this router: its prefix and how many tokens that has.
func (m *Meter) Use(k Key, tokens int, now time.Duration) {
	if tokens <= 0 {
		return
	}
	m.hot.use(k, tokens, now)
	m.collector.use(k, tokens, now)
}

// UseSession counts what a session keeps for itself: it takes room as prefixes do, and is no candidate for copies.
func (m *Meter) UseSession(k Key, tokens int, now time.Duration) {
	if tokens > 0 {
		m.collector.use(k, tokens, now)
	}
}

// TakeSample are this router's sampled uses since it was asked last, which then are its no more.
func (m *Meter) TakeSample(now time.Duration) Sample { return m.collector.take(now) }

// Rate is how many tokens are used at this router, a second, as of the last Taken.
func (m *Meter) Rate() float64 { return m.collector.rate / max(m.collector.weight, 1e-9) }

// AddSample takes the sample of a router of the region, this one's own too, when its report is first seen. Uses of several routers
// are put in order by their ages at that moment: they are wrong by as much as one report travels longer than another. A use
// waits for settle (that of a period) before it is counted, or until too many wait.
func (m *Meter) AddSample(s Sample, now, settle time.Duration) {
	m.region.LowerRate(s.Rate)
	m.collector.threshold = min(m.collector.threshold, max(m.region.threshold, 1))
	if s.TotalTokens > 0 && !math.IsInf(s.TotalTokens, 0) {
		m.region.AddTotal(s.TotalTokens)
	}
	for refs := s.Refs; len(refs) >= refSize; refs = refs[refSize:] {
		r := ref{binary.BigEndian.Uint32(refs), binary.BigEndian.Uint32(refs[4:]), ticks(now) - uint32(binary.BigEndian.Uint16(refs[8:]))}
		if !m.region.samples(r.hash) {
			continue
		}
		if m.pendingCount == maxPending {
			m.flush(maxPending / 4)
		}
		i := m.pendingCount
		for ; i > 0 && r.before(m.pending[i-1].at); i-- {
			m.pending[i] = m.pending[i-1]
		}
		m.pending[i] = r
		m.pendingCount++
	}
	n := 0
	for n < m.pendingCount && m.pending[n].before(ticks(now-settle)) {
		n++
	}
	m.flush(n)
	if m.lastDecay == 0 {
		m.lastDecay = now
	}
	if elapsed := now - m.lastDecay; elapsed > histogramDecay/20 {
		m.region.Decay(math.Exp(-float64(elapsed) / float64(histogramDecay)))
		m.lastDecay = now
	}
}

// flush hands the first waiting uses to the region's sampler.
func (m *Meter) flush(n int) {
	for _, r := range m.pending[:n] {
		m.region.use(r.hash, int(r.tokens))
	}
	m.pendingCount = copy(m.pending[:], m.pending[n:m.pendingCount])
}

// Curve is that of the region, as far as this router has heard.
func (m *Meter) Curve() Curve { return m.region.Curve() }

// Hot are the prefixes used most at this router, most first.
func (m *Meter) Hot(now time.Duration) []Use { return m.hot.list(now, MaxHotReported) }

// Use is how a prefix is used at a router, lately: its uses fade by a time constant of five minutes.
type Use struct {
	Prefix       Key     `json:"p"`
	Tokens       int     `json:"t"`
	Count        float64 `json:"n"`           // faded uses, surely no fewer
	Overestimate float64 `json:"o,omitempty"` // by how many there may be more, which another prefix left behind
	AgeMs        int64   `json:"a"`           // since it was counted first
	IdleMs       int64   `json:"i"`           // since it was used last
}

// hotList counts the uses of prefixes in fixed memory: one that is not among them takes the place of the least used and of its
// count, as what it may have had before (Metwally, Agrawal, El Abbadi, "Space-Saving", ICDT 2005), with fading counts.
type hotList struct {
	count   int
	entries [MaxHot]hotEntry
}

type hotEntry struct {
	key                 Key
	tokens              uint32
	count, overestimate float32
	first, last         time.Duration // count is faded to last
}

func decay(dt time.Duration) float32 { return float32(math.Exp(-float64(dt) / float64(hotDecay))) }

func (h *hotList) use(k Key, tokens int, now time.Duration) {
	lowest, lowestAt := float32(math.Inf(1)), -1
	for i := range h.entries[:h.count] {
		entry := &h.entries[i]
		if entry.key == k {
			factor := decay(now - entry.last)
			entry.count, entry.overestimate, entry.last, entry.tokens = entry.count*factor+1, entry.overestimate*factor, now, uint32(tokens)
			return
		}
	}
	if h.count < MaxHot {
		h.entries[h.count] = hotEntry{k, uint32(tokens), 1, 0, now, now}
		h.count++
		return
	}
	for i := range h.entries {
		if count := h.entries[i].count * decay(now-h.entries[i].last); count < lowest {
			lowest, lowestAt = count, i
		}
	}
	h.entries[lowestAt] = hotEntry{k, uint32(tokens), lowest + 1, lowest, now, now}
}

func (h *hotList) list(now time.Duration, limit int) []Use {
	var uses []Use
	for _, entry := range h.entries[:h.count] {
		factor := float64(decay(now - entry.last))
		uses = append(uses, Use{Prefix: entry.key, Tokens: int(entry.tokens), Count: float64(entry.count-entry.overestimate) * factor, Overestimate: float64(entry.overestimate) * factor,
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
