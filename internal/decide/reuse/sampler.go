// Package reuse decides which shared prompt prefixes are copied to further regions of the fleet. It estimates from sampled reuse
// distances what a region's KV cache retains, and copies a prefix where that saves more prefill than it costs. It has no I/O,
// clock or goroutines: time is passed in. The design is explained in docs/REUSE.md.
package reuse

import (
	"math"
	"slices"
)

// Key identifies a prefix. It is a hash of the text that is the same at all routers.
type Key uint64

const (
	// MaxSampled is the maximum number of prefixes in a sampler.
	MaxSampled = 1700
	slots      = 2 * MaxSampled
	indexCells = 2048 // of the index, a power of two
	// maxTokens is the maximum length of a prefix.
	maxTokens = 1 << 20
	// hashRange is the range of sample hashes. A key is sampled while its hash is below the threshold.
	hashRange = 1 << 32
	// shrinkTo is the part of a full table that is kept when the threshold is lowered.
	shrinkTo = 0.875
)

// mix spreads a key's bits (the finalizer of SplitMix64).
func mix(k Key) uint64 {
	x := uint64(k) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sampleHash is the hash that decides whether a key is sampled. It is the same at all routers and identifies sampled keys. Two
// prefixes with the same hash count as one. With a full table and a tenth sampled this affects one new prefix in 250,000.
func sampleHash(k Key) uint32 { return uint32(mix(k) >> 32) }

// Sampler estimates reuse distances in tokens by spatially hashed sampling in fixed memory (SHARDS: Waldspurger, Park,
// Garthwaite, Ahmad, "Efficient MRC Construction with SHARDS", FAST '15). Keys whose hash is below a threshold are tracked
// exactly and their distances are divided by the sampling rate. When the table is full the threshold is lowered. Each prefix
// weighs its tokens. Prefixes not used within limit tokens are evicted, so that an endless stream of new prefixes does not
// lower the threshold forever. The zero value is not usable, see NewSampler.
type Sampler struct {
	limit                float64 // tokens, 0 for no limit
	threshold            uint64  // keys with a lower hash are sampled
	count                int     // number of entries
	nextSlot, oldestSlot int     // the slot of the next use, and the one below which all slots are empty
	totalTokens          uint64  // tokens of all entries
	hist                 Histogram

	hashes     [MaxSampled]uint32 // sample hashes
	tokens     [MaxSampled]uint32
	usedTokens [MaxSampled]float32 // tokens of all its uses, decayed
	slot       [MaxSampled]uint16  // slot of the entry's last use
	owner      [slots]uint16       // by slot: entry + 1, or 0
	tree       [slots + 1]uint32
	index      [indexCells]uint16 // by hash: entry + 1, or 0
}

// NewSampler returns a sampler that evicts prefixes not used within limit tokens. With a limit of 0 it evicts none.
func NewSampler(limit float64) *Sampler { return &Sampler{limit: limit, threshold: hashRange} }

// Rate is the share of prefixes that is sampled.
func (s *Sampler) Rate() float64 { return float64(s.threshold) / hashRange }

// Samples reports whether a key is sampled.
func (s *Sampler) Samples(k Key) bool { return s.samples(sampleHash(k)) }

func (s *Sampler) samples(hash uint32) bool { return uint64(hash) < s.threshold }

// AddTotal adds the tokens of all uses, sampled or not. With it the curve is corrected for heavy prefixes that the hash happens
// to include or exclude (SHARDS-adj).
func (s *Sampler) AddTotal(tokens float64) { s.hist.Total += tokens }

// Use records a use of a prefix, in stream order. Keys that are not sampled are ignored.
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
		distance := uint64(s.totalTokens) - uint64(s.prefixSum(int(s.slot[entry])+1)) // tokens used since its last use
		s.usedTokens[entry] += float32(tokens)
		// Growth is new: a session's prefix takes more memory with each turn.
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

// LowerRate lowers the sampling rate to that of another router.
func (s *Sampler) LowerRate(rate float64) {
	if t := uint64(rate * hashRange); t < s.threshold && t > 0 {
		s.threshold = t
		s.dropUnsampled()
	}
}

// pushLatest makes an entry the most recently used one.
func (s *Sampler) pushLatest(entry int) {
	s.slot[entry], s.owner[s.nextSlot] = uint16(s.nextSlot), uint16(entry+1)
	s.addWeight(s.nextSlot, s.tokens[entry])
	s.totalTokens += uint64(s.tokens[entry])
	s.nextSlot++
}

// unlink removes an entry from the order of uses.
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

// prefixSum sums the first n slots.
func (s *Sampler) prefixSum(n int) (sum uint32) {
	for i := n; i > 0; i -= i & -i {
		sum += s.tree[i]
	}
	return sum
}

// compact renumbers the slots in the order of uses.
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

// shrink lowers the threshold until part of the table is free.
func (s *Sampler) shrink() {
	var hashes [MaxSampled]uint32
	copy(hashes[:], s.hashes[:s.count])
	slices.Sort(hashes[:s.count])
	s.threshold = uint64(hashes[int(shrinkTo*float64(s.count))])
	s.dropUnsampled()
}

// dropUnsampled removes the entries that are no longer sampled.
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

// remove deletes an entry and moves the last one into its place. The caller rebuilds the index.
func (s *Sampler) remove(entry int) {
	s.unlink(entry)
	s.count--
	if last := s.count; entry != last {
		s.hashes[entry], s.tokens[entry], s.slot[entry], s.usedTokens[entry] = s.hashes[last], s.tokens[last], s.slot[last], s.usedTokens[last]
		s.owner[s.slot[entry]] = uint16(entry + 1)
	}
}

// evictOld removes entries not used within the limit. It allows 10% beyond it, so that the index is rebuilt rarely.
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

// indexStart is where probing of the index starts. It multiplies because only low hashes are sampled, so high bits vary little.
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

// Histogram counts the tokens of uses by reuse distance, in estimated tokens of the whole stream. Bucket bounds grow by a quarter
// of an octave.
type Histogram struct {
	Buckets [bucketCount]float64
	Cold    float64 // first uses, and uses not within the limit
	Total   float64 // tokens of all uses, exact
	// By bucket, the covariance of its weight with the sum over the heavy prefixes that the hash may include or exclude.
	covariance     [bucketCount]float64
	coldCovariance float64
}

const (
	bucketsPerOctave = 4
	minDistance      = 256 // tokens, upper bound of the first bucket
	bucketCount      = 22*bucketsPerOctave + 1
)

// bucket returns the bucket of a distance. The last one holds all longer distances.
func bucket(distance float64) int {
	if distance <= minDistance {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(distance/minDistance))), bucketCount-1)
}

// bucketLimit is the longest distance of a bucket.
func bucketLimit(i int) float64 { return minDistance * math.Exp2(float64(i)/bucketsPerOctave) }

func (h *Histogram) add(distance, weight, covariance float64) {
	b := bucket(distance)
	h.Buckets[b] += weight
	h.covariance[b] += covariance
}

// Decay multiplies all counts by factor, so that older uses count less.
func (h *Histogram) Decay(factor float64) {
	for i := range h.Buckets {
		h.Buckets[i] *= factor
		h.covariance[i] *= factor
	}
	h.Cold, h.Total, h.coldCovariance = h.Cold*factor, h.Total*factor, h.coldCovariance*factor
}

// Decay multiplies all counts by factor. Tracked entries stay.
func (s *Sampler) Decay(factor float64) {
	s.hist.Decay(factor)
	for i := range s.usedTokens[:s.count] {
		s.usedTokens[i] *= float32(factor)
	}
}

// Curve returns the curve of the uses recorded so far.
func (s *Sampler) Curve() Curve { return s.hist.Curve() }
