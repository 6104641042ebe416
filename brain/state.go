// This file holds the data of the scheduler and its upkeep. The decisions are in the other files.

package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Scheduler decides for one router. See the package comment for its guarantees.
type Scheduler struct {
	set       Settings
	seed      uint64
	now       time.Duration
	actions   []Action
	engines   map[EngineID]*engine
	order     []*engine // by ID
	requests  map[RequestID]*request
	parked    []*request // no engine to send to, oldest first
	tick      time.Duration
	ticking   bool
	askedAt   time.Duration
	tallies   map[tallyKey]tally
	seen      int // requests so far
	began     time.Duration
	waitSeen  []time.Duration // by class: how long clients were seen to wait
	pools     [Mixed + 1]pool
	probeTime time.Duration // mean time of a probe's reply
	homeHit   float64       // share of a prompt that a home has usually cached for other routers
	maxWorth  float64       // highest worth of a class
}

// pool holds the statistics of a role's engines.
type pool struct {
	time     float64           // mean seconds of a prefill
	tokens   float64           // mean tokens up to its end
	reads    float64           // prefills seen
	pace     float64           // mean observed seconds per token, with unreported waits
	memory   float64           // mean reported share of memory
	uncached float64           // mean uncached tokens of a prompt
	backlog  float64           // mean reported tokens that wait
	starts   map[int]startTime // by the cell of state and writer; far: state of other cells
	served   map[int]float64   // decayed sum of work served for us, by zone and for allZones
	servedAt time.Duration
	warm     map[int]float64 // capacity of the ready engines past their warm-up, by the same keys
}

// startTime is the known time from a send to the start of an answer: mean seconds, as of a time.
type startTime struct {
	mean float64
	at   time.Duration
}

// far is the origin of state from any cell but the writer's own. Links between cells may be far slower than
// those within.
const far = math.MinInt

// allZones is the key for the zones together.
const allZones = math.MinInt

// origin is where the request's state comes from relative to an engine: the cell that they share, or far.
func (r *request) origin(e *engine) int {
	if r.holder != nil && r.holder.Cell != e.Cell {
		return far
	}
	return e.Cell
}

type engine struct {
	Engine
	role         Role
	memory       float64
	pending      []*request // attempts not yet started, oldest first
	streams      []*request
	lastAlive    time.Duration
	newestServed time.Duration // when the newest attempt was sent that it has prefilled or begun to answer
	probedAt     time.Duration
	probing      bool
	fullUntil    time.Duration // skipped until then, after it refused an attempt
	tier         int           // group in a request's order of readers: 0 own zone, 1 other zone, 2 last
	coldUntil    time.Duration
	coldBudget   float64 // unused rest of our part of its cold budget
	budgetAt     time.Duration
	time         float64 // decayed sums over prefills: seconds, tokens
	tokens       float64
	pacedAt      time.Duration
	share        float64            // weight in the rendezvous hash
	cached       map[uint64]float64 // tokens of the prefixes prefilled here
	load         Load
	loadAt       time.Duration
}

type request struct {
	Arrived
	class     *Class
	cost      float64 // weight of a chance of failure
	arrived   time.Duration
	aimAt     time.Duration
	deadline  time.Duration
	sends     int
	current   *engine // engine of the attempt that is out; nil: none
	whole     bool    // the attempt prefills and decodes
	sentAt    time.Duration
	work      float64 // prompt tokens that the attempt is expected to prefill
	ahead     float64 // backlog that it found at the engine
	lease     time.Duration
	cancelled bool // its cancellation was requested
	started   bool
	done      bool    // the final answer is given, or none is owed
	home      *engine // the first of its readers in hash order
	holder    *engine // the reader that holds the state; nil: none
	heldSince time.Duration
	avoid     *engine // engine of the last failure
	ranAt     *engine // the first engine at which it may have run
	ranSince  time.Duration
}

// onListed updates the list of engines.
func (s *Scheduler) onListed(ev Listed) {
	if ev.Kind == ListFailed {
		s.askedAt = s.now
		return
	}
	if ev.Kind != ListDelta {
		named := map[EngineID]bool{}
		for _, e := range ev.Engines {
			named[e.ID] = true
		}
		for _, e := range s.order {
			if !named[e.ID] {
				e.Availability = Removed
			}
		}
	}
	for _, entry := range ev.Engines {
		s.updateEngine(entry)
	}
	s.order = slices.DeleteFunc(s.order, s.dropIfGone)
	s.updateShares()
	if ev.Kind == ListCached && s.set.AskForList {
		s.askedAt = s.now
		s.emit(Subscribe{})
	}
	if !s.ticking {
		s.ticking, s.began = true, s.now
		s.emit(SetTimer{At: s.now + s.tick, Key: tickKey})
	}
	s.retryParked()
}

// dropIfGone forgets an engine that was removed and has none of our attempts out.
func (s *Scheduler) dropIfGone(e *engine) bool {
	if e.Availability != Removed || len(e.pending)+len(e.streams) > 0 {
		return false
	}
	for class := anyClass; class < len(s.set.Classes); class++ {
		delete(s.tallies, tallyKey{byEngine, uint64(e.ID), class})
	}
	delete(s.engines, e.ID)
	return true
}

func (s *Scheduler) updateEngine(entry Engine) {
	if entry.Kind < 0 || entry.Kind >= len(s.set.Kinds) {
		return
	}
	e := s.engines[entry.ID]
	if e == nil {
		if entry.Availability == Removed {
			return
		}
		e = &engine{lastAlive: s.now, cached: map[uint64]float64{}}
		s.engines[entry.ID] = e
		e.ID = entry.ID
		byID := func(o *engine, id EngineID) int { return cmp.Compare(o.ID, id) }
		at, _ := slices.BinarySearchFunc(s.order, entry.ID, byID)
		s.order = slices.Insert(s.order, at, e)
	}
	if entry.StartedAt != e.StartedAt {
		e.reset()
	}
	e.Engine, e.role, e.memory = entry, s.set.Kinds[entry.Kind].Role, s.set.Kinds[entry.Kind].MemoryTokens
	if entry.StartedAt > 0 {
		s.startWarmup(e, entry.StartedAt)
	}
}

// reset forgets what an earlier process had cached and reported.
func (e *engine) reset() {
	clear(e.cached)
	e.time, e.tokens, e.load, e.loadAt, e.newestServed = 0, 0, Load{}, 0, 0
}

// size is the engine's size relative to its peers, where the list has it.
func (e *engine) size() float64 {
	if e.Weight > 0 && !math.IsInf(e.Weight, 0) {
		return e.Weight
	}
	return 1
}

// classShare is the engine's weight in the rendezvous hash for a class: its share, scaled by the fleet's
// plan.
func (e *engine) classShare(class int) float64 {
	if class < 0 || class >= len(e.ClassWeights) {
		return e.share
	}
	return e.share * e.ClassWeights[class]
}

// unit hashes two numbers to one between 0 and 1 (splitmix64's finalizer).
func unit(a, b uint64) float64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	for range 2 {
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// remember records what the engine has prefilled.
func (e *engine) remember(r *request) {
	if len(e.cached) > cachedLimit {
		clear(e.cached)
	}
	if r.Prefix != 0 {
		e.cached[r.Prefix] = r.PrefixTokens
	}
	if r.Session != 0 {
		e.cached[r.Session] = r.PromptTokens
	}
}

type tallyKey struct {
	scope int
	id    uint64
	class int
}

type tally struct {
	n, bad float64
	at     time.Duration
}

func (e *engine) tallyKeys(class int) [3]tallyKey {
	role := uint64(e.role)
	return [...]tallyKey{{byZone, uint64(e.Zone)<<8 | role, class}, {byCell, uint64(e.Cell)<<8 | role, class},
		{byEngine, uint64(e.ID), class}}
}

// decay is the remaining weight of something after a time.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / memory.Seconds())
}

func scale(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// remove ends the attempt's lease: the answer started or the attempt is over.
func (e *engine) remove(r *request) {
	is := func(o *request) bool { return o == r }
	e.pending, e.streams = slices.DeleteFunc(e.pending, is), slices.DeleteFunc(e.streams, is)
}

// cachedTokens is how much of the prompt the engine is known to have prefilled before.
func (e *engine) cachedTokens(r *request) float64 {
	kept := 0.0
	if r.Prefix != 0 {
		kept = e.cached[r.Prefix]
	}
	if r.Session != 0 {
		kept = max(kept, e.cached[r.Session])
	}
	return kept
}

// holdsPrefix is 1 if the engine is expected to cache the request's prefix as well.
func (r *request) holdsPrefix(e *engine) int { return toInt(slices.Contains(r.Homes, e.ID)) }

func toInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
