// Package reuse decides which prefixes (openings of prompts, of which a server keeps the read state) are held in further
// regions. It measures how far apart uses of one prefix lie in a region's whole stream, in distinct prefix tokens, makes of
// that what a memory of a given size keeps, and copies a prefix where that saves more reading than it costs. It has no I/O,
// clock or goroutine: time is passed in. docs/REUSE.md says why it decides as it does.
package reuse

import (
	"math"
	"slices"
)

// Key names a prefix: a hash of its text made by whoever routes, equal at all routers.
type Key uint64

const (
	// MaxSampled is how many prefixes a sampler keeps at most.
	MaxSampled = 1700
	slots      = 2 * MaxSampled
	indexCells = 2048 // of the index, a power of two
	// maxTokens is the longest prefix.
	maxTokens = 1 << 20
	// hashRange is the range of a key's place in the sampling order: a key is sampled while its spot is below the threshold.
	hashRange = 1 << 32
	// shrinkTo is the part of a full table that stays when the threshold falls.
	shrinkTo = 0.875
)

// mix spreads a key's bits (the finaliser of SplitMix64).
func mix(k Key) uint64 {
	x := uint64(k) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sampleHash is a key's place in the sampling order, alike at all routers; what is sampled is known by it too. Two prefixes are
// taken for one when they have one sampleHash: with a full table and a tenth sampled that befalls one new prefix in 250,000.
func sampleHash(k Key) uint32 { return uint32(mix(k) >> 32) }

// Sampler estimates reuse distances in tokens by spatially hashed sampling in fixed memory (SHARDS: Waldspurger, Park,
// Garthwaite, Ahmad, "Efficient MRC Construction with SHARDS", FAST '15). Keys whose hash lies below a threshold are followed
// exactly, and their distances scaled up by the part that is sampled; when the table is full the threshold falls. Each prefix
// weighs its tokens. What was not used within Limit tokens is forgotten, so that an endless stream of new prefixes does not
// lower the threshold for ever. The zero value is not ready: see NewSampler.
type Sampler struct {
	limit                float64 // tokens, 0: none
	threshold            uint64  // sampled are the keys with a lower spot
	count                int     // entries
	nextSlot, oldestSlot int     // the slot of the next use; below low all are empty
	totalTokens          uint64  // tokens of all entries
	hist                 Histogram

	hashes     [MaxSampled]uint32 // spots
	tokens     [MaxSampled]uint32
	usedTokens [MaxSampled]float32 // tokens of all its uses, faded
	slot       [MaxSampled]uint16  // when an entry was used last, as a slot
	owner      [slots]uint16       // by slot: the entry + 1
	tree       [slots + 1]uint32
	index      [indexCells]uint16 // by hash: the entry + 1
}

// NewSampler gives one that forgets what was not used within limit tokens (0: it forgets nothing).
func NewSampler(limit float64) *Sampler { return &Sampler{limit: limit, threshold: hashRange} }

// Rate is the part of all prefixes that is sampled.
func (s *Sampler) Rate() float64 { return float64(s.threshold) / hashRange }

// Samples tells whether a key is among those that are followed.
func (s *Sampler) Samples(k Key) bool { return s.samples(sampleHash(k)) }

func (s *Sampler) samples(hash uint32) bool { return uint64(hash) < s.threshold }

// AddTotal takes all tokens that were used, sampled or not: by it the curve is adjusted for heavy prefixes that the hash happens
// to take or to leave (SHARDS-adj).
func (s *Sampler) AddTotal(tokens float64) { s.hist.Total += tokens }

// Use takes a use of a prefix, in the order of the stream; what is not sampled is passed over.
func (s *Sampler) Use(k Key, tokens int) { s.use(sampleHash(k), tokens) }

func (s *Sampler) use(hash uint32, tokens int) {
	if !s.samples(hash) || tokens <= 0 {
		return
	}
	if s.nextSlot == slots {
		s.compact()
	}
	weight := float64(tokens) / s.Rate()
	if entry := s.find(hash); entry >= 0 {
		distance := uint64(s.totalTokens) - uint64(s.prefixSum(int(s.slot[entry])+1)) // used after it was used last
		s.usedTokens[entry] += float32(tokens)
		// What it has growth by is new: a session that goes on takes more room with each turn.
		if growth := tokens - int(s.tokens[entry]); growth > 0 {
			added := float64(growth) / s.Rate()
			s.hist.Cold += added
			s.hist.coldCovariance += float64(s.usedTokens[entry]) * added
			weight -= added
		}
		s.hist.add(float64(distance)/s.Rate()+float64(tokens), weight, float64(s.usedTokens[entry])*weight)
		s.unlink(entry)
		s.tokens[entry] = uint32(min(tokens, maxTokens))
		s.pushLatest(entry)
		return
	}
	s.hist.Cold += weight
	s.hist.coldCovariance += float64(tokens) * weight
	if s.count == MaxSampled {
		s.shrink()
		if !s.samples(hash) {
			return
		}
	}
	entry := s.count
	s.count++
	s.hashes[entry], s.tokens[entry], s.usedTokens[entry] = hash, uint32(min(tokens, maxTokens)), float32(tokens)
	s.insert(entry)
	s.pushLatest(entry)
	s.evictOld()
}

// LowerRate brings the threshold down to a part, where another router samples no more than that.
func (s *Sampler) LowerRate(rate float64) {
	if t := uint64(rate * hashRange); t < s.threshold && t > 0 {
		s.threshold = t
		s.dropUnsampled()
	}
}

// pushLatest makes an entry the one used last.
func (s *Sampler) pushLatest(entry int) {
	s.slot[entry], s.owner[s.nextSlot] = uint16(s.nextSlot), uint16(entry+1)
	s.addWeight(s.nextSlot, s.tokens[entry])
	s.totalTokens += uint64(s.tokens[entry])
	s.nextSlot++
}

// unlink takes an entry out of the order of uses.
func (s *Sampler) unlink(entry int) {
	s.addWeight(int(s.slot[entry]), -s.tokens[entry])
	s.owner[s.slot[entry]] = 0
	s.totalTokens -= uint64(s.tokens[entry])
}

// addWeight adds to a slot of the Fenwick tree, modulo 2^32.
func (s *Sampler) addWeight(slot int, tokens uint32) {
	for i := slot + 1; i <= slots; i += i & -i {
		s.tree[i] += tokens
	}
}

// prefixSum sums the first slots.
func (s *Sampler) prefixSum(n int) (sum uint32) {
	for i := n; i > 0; i -= i & -i {
		sum += s.tree[i]
	}
	return sum
}

// compact numbers the uses anew, in their order.
func (s *Sampler) compact() {
	to := 0
	for from := range slots {
		if owner := s.owner[from]; owner != 0 {
			s.owner[from] = 0
			s.owner[to] = owner
			s.slot[owner-1] = uint16(to)
			to++
		}
	}
	s.nextSlot, s.oldestSlot = to, 0
	clear(s.tree[:])
	for i := range to {
		s.tree[i+1] = s.tokens[s.owner[i]-1]
	}
	for i := 1; i <= slots; i++ {
		if parent := i + i&-i; parent <= slots {
			s.tree[parent] += s.tree[i]
		}
	}
}

// shrink lowers the threshold until a part of the table is free.
func (s *Sampler) shrink() {
	var hashes [MaxSampled]uint32
	copy(hashes[:], s.hashes[:s.count])
	slices.Sort(hashes[:s.count])
	s.threshold = uint64(hashes[int(shrinkTo*float64(s.count))])
	s.dropUnsampled()
}

// dropUnsampled removes what is not sampled any more.
func (s *Sampler) dropUnsampled() {
	for entry := 0; entry < s.count; {
		if s.samples(s.hashes[entry]) {
			entry++
			continue
		}
		s.remove(entry)
	}
	clear(s.index[:])
	for entry := range s.count {
		s.insert(entry)
	}
}

// remove takes an entry out and has the last take its place; the index is made anew by the caller.
func (s *Sampler) remove(entry int) {
	s.unlink(entry)
	s.count--
	if last := s.count; entry != last {
		s.hashes[entry], s.tokens[entry], s.slot[entry], s.usedTokens[entry] = s.hashes[last], s.tokens[last], s.slot[last], s.usedTokens[last]
		s.owner[s.slot[entry]] = uint16(entry + 1)
	}
}

// evictOld removes what was not used within the limit, with some slack so that the index is made anew seldom.
func (s *Sampler) evictOld() {
	if limit := s.limit * s.Rate(); s.limit > 0 && float64(s.totalTokens) > 1.1*limit {
		for ; s.oldestSlot < s.nextSlot && float64(s.totalTokens) > limit; s.oldestSlot++ {
			if owner := s.owner[s.oldestSlot]; owner != 0 {
				s.remove(int(owner) - 1)
			}
		}
		clear(s.index[:])
		for entry := range s.count {
			s.insert(entry)
		}
	}
}

// indexStart is where the index begins to look; a spot's high bits say little, as only low ones are sampled.
func indexStart(hash uint32) uint32 { return hash * 2654435761 >> (32 - 11) }

func (s *Sampler) find(hash uint32) int {
	for i := indexStart(hash); s.index[i] != 0; i = (i + 1) % indexCells {
		if entry := int(s.index[i]) - 1; s.hashes[entry] == hash {
			return entry
		}
	}
	return -1
}

func (s *Sampler) insert(entry int) {
	i := indexStart(s.hashes[entry])
	for s.index[i] != 0 {
		i = (i + 1) % indexCells
	}
	s.index[i] = uint16(entry + 1)
}

// Histogram is what a sampler has counted: tokens of uses by reuse distance, in buckets whose bounds grow by a quarter of an
// octave, in estimated tokens of the whole stream.
type Histogram struct {
	Buckets [bucketCount]float64
	Cold    float64 // used for the first time, or not within the limit
	Total   float64 // all that was used, exactly
	// By bucket, how much it varies with the heavy prefixes that the hash happens to take.
	covariance     [bucketCount]float64
	coldCovariance float64
}

const (
	bucketsPerOctave = 4
	minDistance      = 256 // tokens up to which distances are one bucket
	bucketCount      = 22*bucketsPerOctave + 1
)

// bucket is the place of a distance; that of the longest holds all beyond.
func bucket(d float64) int {
	if d <= minDistance {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(d/minDistance))), bucketCount-1)
}

// bucketLimit is the longest distance of a bucket.
func bucketLimit(i int) float64 { return minDistance * math.Exp2(float64(i)/bucketsPerOctave) }

func (h *Histogram) add(d, weight, pull float64) {
	b := bucket(d)
	h.Buckets[b] += weight
	h.covariance[b] += pull
}

// Decay lowers all counts to a part, so that what is old counts less.
func (h *Histogram) Decay(part float64) {
	for i := range h.Buckets {
		h.Buckets[i] *= part
		h.covariance[i] *= part
	}
	h.Cold, h.Total, h.coldCovariance = h.Cold*part, h.Total*part, h.coldCovariance*part
}

// Decay lowers all counts to a part; what is followed stays.
func (s *Sampler) Decay(part float64) {
	s.hist.Decay(part)
	for i := range s.usedTokens[:s.count] {
		s.usedTokens[i] *= float32(part)
	}
}

// Curve is what a sampler has found so far.
func (s *Sampler) Curve() Curve { return s.hist.Curve() }
