// Package reuse runs drawn sessions over regions in virtual time, with policies that copy openings of prompts between them:
// none, a copy at the second use everywhere, the fleet's decider (internal/decide/reuse), and one that knows the future. It has
// no processes; equal settings give equal days. docs/REUSE.md has its tables.
package reuse

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	decide "sumacloft/internal/decide/reuse"
)

// Drift is how what is asked changes over a day.
type Drift string

// The kinds of drift.
const (
	Slow  Drift = "slow"  // each few seconds an opening is replaced by a new one; half of the new reach the other regions later
	Flash Drift = "flash" // now and then a new opening takes a tenth of what is asked, first in one region, then in the others
	Shift Drift = "shift" // openings of one region move to the next over a minute
)

// Drifts are all of them.
var Drifts = []Drift{Slow, Flash, Shift}

// Class is a class of requests.
type Class struct {
	Name  string
	Aim   time.Duration // for the first token
	Worth float64
	Part  float64
	Own   int // tokens that a turn adds to its session, about
}

// Classes are those of a day.
var Classes = [2]Class{{"query", 800 * time.Millisecond, 3, 0.6, 300}, {"filing", 3 * time.Second, 1, 0.4, 900}}

// turn is one request of a session: it uses its opening and what the session has had so far, and adds to that.
type turn struct {
	at      time.Duration
	region  int
	router  int // of its region
	class   int
	opening decide.Key
	tokens  int
	session decide.Key
	had     int // tokens of the session before this turn
	adds    int
}

type opening struct {
	key    decide.Key
	tokens int
	weight float64
	home   int
	global bool
	born   [Regions]time.Duration // when it comes to each region
	ends   time.Duration          // 0: never
	moves  time.Duration          // when its home moves on; 0: never
}

const (
	// Regions is how many there are.
	Regions = 3
	routers = 3 // of each
	catalog = 300
)

// asked is an opening's weight in a region at a time; abroad is that of a region's own beside that at home.
func (o *opening) asked(region int, at time.Duration, abroad float64) float64 {
	if at < o.born[region] || (o.ends > 0 && at >= o.ends) {
		return 0
	}
	if o.global {
		return o.weight
	}
	moved := 0.0
	if o.moves > 0 && at > o.moves {
		moved = min(float64(at-o.moves)/float64(time.Minute), 1)
	}
	switch region {
	case o.home:
		return o.weight * max(1-moved, abroad)
	case (o.home + 1) % Regions:
		return o.weight * max(moved, abroad)
	}
	return o.weight * abroad
}

// draw draws the turns of a day, and tells of the openings that they use.
func draw(set Settings) ([]turn, []opening) {
	rng := rand.New(rand.NewPCG(set.Seed, 41))
	var list []opening
	next := decide.Key(0)
	fresh := func(weight float64) opening {
		next++
		return opening{key: next, tokens: 800 + int(2400*rng.ExpFloat64()), weight: weight, home: rng.IntN(Regions), global: rng.IntN(2) == 0}
	}
	whole := 0.0
	for i := range catalog {
		o := fresh(1 / math.Pow(float64(i+5), 0.9))
		whole += o.weight
		if set.Drift == Shift && !o.global && rng.IntN(2) == 0 {
			o.moves = time.Duration(rng.Int64N(int64(set.Warm + set.For)))
		}
		list = append(list, o)
	}
	end := set.Warm + set.For
	every := 20 * time.Second
	if set.Drift == Slow {
		every = 3 * time.Second
	}
	late := func(o opening, at time.Duration, mean time.Duration) opening {
		for r := range o.born {
			if o.born[r] = at; r != o.home {
				o.born[r] += time.Duration((0.2 + rng.ExpFloat64()) * float64(mean))
			}
		}
		return o
	}
	for at := every; at < end; at += every { // one goes, another comes
		var old *opening
		for old == nil || old.ends > 0 {
			old = &list[rng.IntN(len(list))]
		}
		old.ends = at
		list = append(list, late(fresh(old.weight), at, 45*time.Second))
	}
	if set.Drift == Flash {
		for at := 30 * time.Second; at < end; at += 90 * time.Second {
			o := fresh(0.1 * whole)
			o.global = true
			o = late(o, at, 20*time.Second)
			o.ends = at + 150*time.Second
			list = append(list, o)
		}
	}
	var out []turn
	var sums [Regions][]float64
	second := time.Duration(-1)
	session := decide.Key(1 << 40)
	for at := time.Duration(0); at < end; at += time.Duration(rng.ExpFloat64() / (set.Rate * Regions) * float64(time.Second)) {
		if s := at.Truncate(time.Second); s != second {
			second = s
			for r := range sums {
				sums[r] = sums[r][:0]
				sum := 0.0
				for i := range list {
					sum += list[i].asked(r, at, set.Abroad)
					sums[r] = append(sums[r], sum)
				}
			}
		}
		r := rng.IntN(Regions)
		o := &list[min(sort.SearchFloat64s(sums[r], rng.Float64()*sums[r][len(list)-1]), len(list)-1)]
		t := turn{at: at, region: r, router: rng.IntN(routers), opening: o.key, tokens: o.tokens}
		if rng.Float64() >= Classes[0].Part {
			t.class = 1
		}
		session++
		t.session = session
		for {
			t.adds = 50 + int(rng.ExpFloat64()*float64(Classes[t.class].Own))
			out = append(out, t)
			t.had += t.adds
			t.at += time.Duration((2 + 15*rng.ExpFloat64()) * float64(time.Second))
			if rng.IntN(2) == 0 || t.at >= end {
				break
			}
		}
	}
	slices.SortStableFunc(out, func(a, b turn) int { return cmp.Compare(a.at, b.at) })
	return out, list
}
