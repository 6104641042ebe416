package reuse

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// maxRefs bounds the sampled uses in a report. If more occur in a period, the router lowers its sampling rate.
	maxRefs = 192
	refSize = 10
	// maxPending bounds the sampled uses of a region that wait for earlier ones of other routers.
	maxPending = 320
	// MaxHot is the number of prefixes whose uses a router counts, MaxHotReported the number of these in a report.
	MaxHot, MaxHotReported = 192, 192
	// hotDecay is the time constant of the counts of uses, histogramDecay that of the histogram.
	hotDecay, histogramDecay = 5 * time.Minute, 20 * time.Minute
	rateDecay                = 30 // seconds, time constant of the rate of all uses
	tick                     = 10 * time.Millisecond
)

// ref is a sampled use with its time in ticks of the router's own clock. Ticks wrap around after 497 days.
type ref struct {
	hash, tokens, at uint32
}

func ticks(t time.Duration) uint32 { return uint32(t / tick) }

// before reports whether the use was earlier than o.
func (r ref) before(o uint32) bool { return int32(r.at-o) < 0 }

// collector collects a router's sampled uses between two reports.
type collector struct {
	rate      float64 // tokens per second as a moving average, and the weight of the samples in it
	weight    float64
	rateSince time.Duration
	threshold uint64
	count     int
	refs      [maxRefs]ref
	total     float64
}

func (c *collector) use(k Key, tokens int, now time.Duration) {
	if c.total += float64(tokens); c.rateSince == 0 {
		c.rateSince = now // time of the first use
	}
	if uint64(sampleHash(k)) >= c.threshold {
		return
	}
	if c.count == maxRefs { // remove the refs with the highest hashes and stop sampling such hashes
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

// Sample is a router's sampled uses since its last report. In JSON it has at most 2.7 KB.
type Sample struct {
	Rate        float64 `json:"rate"` // sampled share of all prefixes
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

// Meter measures the uses at one router, by prefix and by sample, and the reuse distances of its whole region, which it merges
// from the samples in the reports of all routers there. Its size is fixed and below 64 KB.
type Meter struct {
	collector    collector
	hot          hotList
	region       Sampler
	pending      [maxPending]ref // sampled uses of the region, ordered by time
	pendingCount int
	lastDecay    time.Duration
}

// NewMeter returns a meter for a region whose curve is needed up to limit tokens.
func NewMeter(limit float64) *Meter {
	m := &Meter{}
	m.collector.threshold = hashRange
	m.region.limit, m.region.threshold = limit, hashRange
	return m
}

// Use counts a request at this router with its prefix and the tokens of that.
func (m *Meter) Use(k Key, tokens int, now time.Duration) {
	if tokens <= 0 {
		return
	}
	m.hot.use(k, tokens, now)
	m.collector.use(k, tokens, now)
}

// UseSession counts the part of a prompt that only its session uses. It takes memory like a prefix, but is never copied.
func (m *Meter) UseSession(k Key, tokens int, now time.Duration) {
	if tokens > 0 {
		m.collector.use(k, tokens, now)
	}
}

// TakeSample returns and clears this router's sampled uses since the last call.
func (m *Meter) TakeSample(now time.Duration) Sample { return m.collector.take(now) }

// Rate is the number of tokens used at this router per second, as of the last TakeSample.
func (m *Meter) Rate() float64 { return m.collector.rate / max(m.collector.weight, 1e-9) }

// AddSample adds the sample of a router of the region, including this one, when its report is first seen. Uses of several
// routers are ordered by their ages at that moment, with an error of the difference between the reports' delays. A use waits
// for settle, which is one period, before it is counted, or until too many wait.
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

// flush passes the first n pending uses to the region's sampler.
func (m *Meter) flush(n int) {
	for _, r := range m.pending[:n] {
		m.region.use(r.hash, int(r.tokens))
	}
	m.pendingCount = copy(m.pending[:], m.pending[n:m.pendingCount])
}

// Curve is the curve of the region, as far as this router has received samples.
func (m *Meter) Curve() Curve { return m.region.Curve() }

// Hot returns the most used prefixes of this router in descending order.
func (m *Meter) Hot(now time.Duration) []Use { return m.hot.list(now, MaxHotReported) }

// Use is the recent use of a prefix at a router. Counts decay with a time constant of five minutes.
type Use struct {
	Prefix       Key     `json:"p"`
	Tokens       int     `json:"t"`
	Count        float64 `json:"n"`           // decayed uses, a lower bound
	Overestimate float64 `json:"o,omitempty"` // how many more there may be, inherited from an evicted prefix
	AgeMs        int64   `json:"a"`           // since it was first counted
	IdleMs       int64   `json:"i"`           // since its last use
}

// hotList counts the uses of prefixes in fixed memory. A new prefix replaces the least used one and inherits its count as the
// possible overestimate (Metwally, Agrawal, El Abbadi, "Space-Saving", ICDT 2005). Counts decay.
type hotList struct {
	count   int
	entries [MaxHot]hotEntry
}

type hotEntry struct {
	key                 Key
	tokens              uint32
	count, overestimate float32
	first, last         time.Duration // count is decayed up to last
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
		uses = append(uses, Use{Prefix: entry.key, Tokens: int(entry.tokens), Count: float64(entry.count-entry.overestimate) * factor,
			Overestimate: float64(entry.overestimate) * factor, AgeMs: (now - entry.first).Milliseconds(), IdleMs: (now - entry.last).Milliseconds()})
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
