package reuse

import (
	"math"
	"time"
)

// likely is how prefixes of one region are used in another: the part of them that come there, by whether only one region or
// several use them so far, and how much those that come are used there beside here.
type likely struct {
	comes [2]float64
	ratio float64
}

const (
	// perVisit is how many uses of a prefix make one visit. A conversation asks again and again: its later uses come soon and
	// find the prefix there, and its end is no sign that the prefix has ended.
	perVisit = 2
	// goneFirst is the part of prefixes that nobody uses any more, until it is learned.
	goneFirst = 0.05
	// left is the chance, before silence is counted, that a prefix that others still use is used in a region no more.
	left = 0.05
	// alike is the shape of the gamma distribution of the rate of those that come to a region about what is expected.
	alike = 4.0
	// hardly is what is used of the others in a region, beside what would be if they came.
	hardly = 0.02
)

// pace comes to the rate of a prefix's visits in each region: what was counted, less the chance that it is used there no more.
func (u *usage) pace(p *prefix, abandoned float64) {
	const decaySeconds = float64(hotFor / time.Second)
	var silence [MaxRegions]float64
	p.idle = math.Inf(1)
	for at := p.first; at >= 0; at = u.room[at].next {
		use := &u.room[at]
		use.seen = decaySeconds * -math.Expm1(-use.ageMs/1000/decaySeconds)
		use.raw = use.count / perVisit / max(use.seen, decaySeconds/20)
		p.visits += use.count / perVisit
		p.idle = min(p.idle, use.idleMs/1000)
	}
	total := 0.0
	for at := p.first; at >= 0; at = u.room[at].next {
		use := &u.room[at]
		if silence[use.region] = 1; use.idleMs/1000 > p.idle {
			silence[use.region] = math.Exp(-use.raw * (use.idleMs/1000 - p.idle))
		}
		total += use.raw * silence[use.region]
	}
	p.quiet = math.Exp(-total * p.idle)
	for at := p.first; at >= 0; at = u.room[at].next {
		u.room[at].rate = u.room[at].raw * p.stays(silence[u.room[at].region], abandoned)
	}
}

// stays is the chance that a prefix is still used in a region that has been silent for longer than others by a chance, if it
// is used there. Either it is, or it left that region, or nobody uses it any more.
func (p *prefix) stays(silence, abandoned float64) float64 {
	active := (1 - abandoned - left) * p.quiet * silence
	return active / (active + left*p.quiet + abandoned)
}

// expects is the rate of a prefix's visits in a region, a second: what was seen there, or what its use elsewhere lets expect.
func (v *scales) expects(p *prefix, to int) float64 {
	best, otherRegions := 0.0, -1
	if use := &v.u.room[p.first]; use.next < 0 && int(use.region) != to { // most are used in one region only
		return max(v.follows(p, use, to, 0), 0)
	}
	for at := p.first; at >= 0; at = v.u.room[at].next {
		switch use := &v.u.room[at]; {
		case int(use.region) == to:
			best = use.rate
		case use.count >= v.m.Uses:
			otherRegions++
		}
	}
	for at := p.first; at >= 0; at = v.u.room[at].next {
		if use := &v.u.room[at]; int(use.region) != to {
			best = max(best, v.follows(p, use, to, min(max(otherRegions, 0), 1)))
		}
	}
	return best
}

// follows is the rate of visits in a region that a prefix's use in another lets expect. Prefixes are of two kinds: those that come
// there, whose rate is gamma distributed about ratio times that elsewhere, and a region's own, which hardly do. How many visits
// came there in the time since the prefix is known, and how many regions use it, tell which kind it is of (Bayes' rule). So a
// region's own soon counts as such, while one gamma distribution for both kinds would still expect it after long silence.
func (v *scales) follows(p *prefix, source *used, to, others int) float64 {
	spill, target := &v.likely[source.region][to], v.u.in(p, to)
	mean := spill.ratio * source.rate
	if mean <= 0 {
		return 0
	}
	observed, visits, prior := max(source.seen, min(source.ageMs, target.idleMs)/1000), target.count/perVisit, spill.comes[others]
	sharedBeta, localBeta := alike/mean+observed, alike/(hardly*mean)+observed
	// How much more likely what was seen is of its region's own, (own/come)^-(alike+c) / hardly^alike; without visits the power
	// is four, as decisions weigh 100,000 prefixes.
	ratio := sharedBeta / (localBeta * hardly)
	odds := ratio * ratio * ratio * ratio
	if visits > 0 {
		odds *= math.Pow(sharedBeta/localBeta, visits)
	}
	sharedChance := prior / (prior + (1-prior)*odds)
	rate := (alike + visits) * (sharedChance/sharedBeta + (1-sharedChance)/localBeta)
	if visits > 0 {
		rate *= p.stays(math.Exp(-(alike+visits)/sharedBeta*(target.idleMs/1000-p.idle)), v.gone)
	}
	return rate
}

// learn keeps how uses in one region compare with those in another, over prefixes that have been used for long enough to tell.
func (d *Decider) learn(m Model, s *State, u *usage) {
	n := len(m.Regions)
	if len(d.likely) != n*n {
		d.likely = make([]likely, n*n)
		for i := range d.likely {
			d.likely[i] = likely{[2]float64{0.5, 0.9}, 1}
			if v := s.Spill[m.Regions[i/n].Name][m.Regions[i%n].Name]; v > 0 {
				d.likely[i].ratio = v
			}
		}
	}
	type totals struct {
		observed, shared       [2]float64
		sourceRate, targetRate float64
	}
	byPair := make([]totals, n*n)
	abandoned, known := 0.0, 0.0
	for i := range u.list {
		p := &u.list[i]
		if p.visits >= m.Uses {
			known++
			if p.quiet < 0.01 {
				abandoned++
			}
		}
		for at := p.first; at >= 0; at = u.room[at].next {
			source := &u.room[at]
			if source.count == 0 || source.count < 2*m.Uses || source.ageMs <= m.LeaseMs/2 || source.rate < source.raw/2 {
				continue
			}
			regions := uint32(0) // where it is used as well, by no less than a tenth
			for o := p.first; o >= 0; o = u.room[o].next {
				if u.room[o].raw > source.raw/10 && o != at {
					regions |= 1 << u.room[o].region
				}
			}
			for target := range n {
				if target == int(source.region) {
					continue
				}
				total, others := &byPair[int(source.region)*n+target], 0
				if regions&^(1<<target) != 0 {
					others = 1
				}
				total.observed[others]++
				if regions>>target&1 == 1 {
					total.shared[others]++
					total.sourceRate += source.raw
					total.targetRate += u.in(p, target).raw
				}
			}
		}
	}
	if known > 0 {
		d.gone += spillRate * min(1, known/20) * (min(max(abandoned/known, 0.02), 0.3) - d.gone)
	}
	d.spill = map[string]map[string]float64{}
	for a, from := range m.Regions {
		row := map[string]float64{}
		for b, to := range m.Regions {
			if a == b {
				continue
			}
			spill, total := &d.likely[a*n+b], byPair[a*n+b]
			for i := range spill.comes {
				if total.observed[i] > 0 {
					spill.comes[i] += spillRate * min(1, total.observed[i]/20) * (min(max(total.shared[i]/total.observed[i], 0.01), 0.99) - spill.comes[i])
				}
			}
			if total.sourceRate > 0 {
				spill.ratio += spillRate * min(1, total.sourceRate*60) * (min(total.targetRate/total.sourceRate, spillMost) - spill.ratio)
			}
			row[to.Name] = math.Round(spill.ratio*1e4) / 1e4
		}
		d.spill[from.Name] = row
	}
}
