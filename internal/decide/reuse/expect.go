package reuse

import (
	"math"
	"time"
)

// spillover describes how prefixes used in one region are used in another: the share of prefixes that are used there too, by
// whether one or several regions use them so far, and the ratio of the rate there to the rate here for those that are.
type spillover struct {
	share [2]float64
	ratio float64
}

const (
	// usesPerVisit is how many uses of a prefix count as one visit. A conversation sends several requests with a prefix. Its
	// later requests follow soon and find the prefix cached, and its end does not mean that the prefix is abandoned.
	usesPerVisit = 2
	// initialAbandoned is the assumed share of prefixes that are no longer used, until it is learned.
	initialAbandoned = 0.05
	// leftPrior is the prior probability that a prefix still used in other regions is no longer used in one region.
	leftPrior = 0.05
	// rateShape is the shape of the gamma distribution of a shared prefix's rate in a region around the expected rate.
	rateShape = 4.0
	// localRateFactor is the rate of a local prefix in another region relative to that of a shared prefix.
	localRateFactor = 0.02
)

// estimateRates computes the rate of a prefix's visits in each region: the counted rate times the chance that it is still used.
func (u *usage) estimateRates(p *prefix, abandoned float64) {
	const decaySeconds = float64(hotDecay / time.Second)
	var silence [MaxRegions]float64
	p.idleSeconds = math.Inf(1)
	for at := p.firstUse; at >= 0; at = u.uses[at].next {
		use := &u.uses[at]
		use.countedSeconds = decaySeconds * -math.Expm1(-use.ageMs/1000/decaySeconds)
		use.countedRate = use.count / usesPerVisit / max(use.countedSeconds, decaySeconds/20)
		p.visits += use.count / usesPerVisit
		p.idleSeconds = min(p.idleSeconds, use.idleMs/1000)
	}
	total := 0.0
	for at := p.firstUse; at >= 0; at = u.uses[at].next {
		use := &u.uses[at]
		if silence[use.region] = 1; use.idleMs/1000 > p.idleSeconds {
			silence[use.region] = math.Exp(-use.countedRate * (use.idleMs/1000 - p.idleSeconds))
		}
		total += use.countedRate * silence[use.region]
	}
	p.quietChance = math.Exp(-total * p.idleSeconds)
	for at := p.firstUse; at >= 0; at = u.uses[at].next {
		u.uses[at].rate = u.uses[at].countedRate * p.inUseChance(silence[u.uses[at].region], abandoned)
	}
}

// inUseChance is the chance that a prefix is still used in a region. silence is the chance that a region which uses it would
// be silent for so much longer than the others. A prefix is either in use, or unused in that region, or abandoned everywhere.
func (p *prefix) inUseChance(silence, abandoned float64) float64 {
	active := (1 - abandoned - leftPrior) * p.quietChance * silence
	return active / (active + leftPrior*p.quietChance + abandoned)
}

// expectedRate is the rate of a prefix's visits in a region per second, as observed there or inferred from its use elsewhere.
func (v *valuer) expectedRate(p *prefix, to int) float64 {
	best, otherRegions := 0.0, -1
	if use := &v.usage.uses[p.firstUse]; use.next < 0 && int(use.region) != to { // most are used in one region only
		return max(v.rateFrom(p, use, to, 0), 0)
	}
	for at := p.firstUse; at >= 0; at = v.usage.uses[at].next {
		switch use := &v.usage.uses[at]; {
		case int(use.region) == to:
			best = use.rate
		case use.count >= v.model.Uses:
			otherRegions++
		}
	}
	for at := p.firstUse; at >= 0; at = v.usage.uses[at].next {
		if use := &v.usage.uses[at]; int(use.region) != to {
			best = max(best, v.rateFrom(p, use, to, min(max(otherRegions, 0), 1)))
		}
	}
	return best
}

// rateFrom is the rate of visits in a target region that is inferred from a prefix's use in a source region. There are two
// kinds of prefixes. Shared ones are used in the target region as well, with a gamma-distributed rate around ratio times that
// in the source. Local ones are hardly used there. The visits observed in the target region since the prefix is known, and
// how many regions use it, give the probability of each kind (Bayes' rule). A local prefix is thus soon recognized as such,
// while a single gamma distribution for both kinds would still expect it after a long silence.
func (v *valuer) rateFrom(p *prefix, source *regionUse, to, others int) float64 {
	spill, target := &v.spillovers[source.region][to], v.usage.inRegion(p, to)
	mean := spill.ratio * source.rate
	if mean <= 0 {
		return 0
	}
	observed, visits, prior := max(source.countedSeconds, min(source.ageMs, target.idleMs)/1000), target.count/usesPerVisit, spill.share[others]
	sharedBeta, localBeta := rateShape/mean+observed, rateShape/(localRateFactor*mean)+observed
	// The likelihood ratio of a local prefix, (localBeta/sharedBeta)^-(rateShape+visits) / localRateFactor^rateShape.
	// Without visits the exponent is four and pow is avoided, as decisions evaluate 100,000 prefixes.
	ratio := sharedBeta / (localBeta * localRateFactor)
	odds := ratio * ratio * ratio * ratio
	if visits > 0 {
		odds *= math.Pow(sharedBeta/localBeta, visits)
	}
	sharedChance := prior / (prior + (1-prior)*odds)
	rate := (rateShape + visits) * (sharedChance/sharedBeta + (1-sharedChance)/localBeta)
	if visits > 0 {
		rate *= p.inUseChance(math.Exp(-(rateShape+visits)/sharedBeta*(target.idleMs/1000-p.idleSeconds)), v.abandoned)
	}
	return rate
}

// learnSpillover updates how uses in one region relate to those in another, from prefixes that have been used long enough.
func (d *Decider) learnSpillover(m Model, s *State, u *usage) {
	n := len(m.Regions)
	if len(d.spillovers) != n*n {
		d.spillovers = make([]spillover, n*n)
		for i := range d.spillovers {
			d.spillovers[i] = spillover{[2]float64{0.5, 0.9}, 1}
			if v := s.Spill[m.Regions[i/n].Name][m.Regions[i%n].Name]; v > 0 {
				d.spillovers[i].ratio = v
			}
		}
	}
	type totals struct {
		observed, shared       [2]float64
		sourceRate, targetRate float64
	}
	byPair := make([]totals, n*n)
	abandoned, known := 0.0, 0.0
	for i := range u.prefixes {
		p := &u.prefixes[i]
		if p.visits >= m.Uses {
			known++
			if p.quietChance < 0.01 {
				abandoned++
			}
		}
		for at := p.firstUse; at >= 0; at = u.uses[at].next {
			source := &u.uses[at]
			if source.count == 0 || source.count < 2*m.Uses || source.ageMs <= m.LeaseMs/2 || source.rate < source.countedRate/2 {
				continue
			}
			regions := uint32(0) // regions that use it at no less than a tenth of this rate
			for other := p.firstUse; other >= 0; other = u.uses[other].next {
				if u.uses[other].countedRate > source.countedRate/10 && other != at {
					regions |= 1 << u.uses[other].region
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
					total.sourceRate += source.countedRate
					total.targetRate += u.inRegion(p, target).countedRate
				}
			}
		}
	}
	if known > 0 {
		d.abandoned += spillWeight * min(1, known/20) * (min(max(abandoned/known, 0.02), 0.3) - d.abandoned)
	}
	d.spillRatios = map[string]map[string]float64{}
	for a, from := range m.Regions {
		row := map[string]float64{}
		for b, to := range m.Regions {
			if a == b {
				continue
			}
			spill, total := &d.spillovers[a*n+b], byPair[a*n+b]
			for i := range spill.share {
				if total.observed[i] > 0 {
					spill.share[i] += spillWeight * min(1, total.observed[i]/20) * (min(max(total.shared[i]/total.observed[i], 0.01), 0.99) - spill.share[i])
				}
			}
			if total.sourceRate > 0 {
				spill.ratio += spillWeight * min(1, total.sourceRate*60) * (min(total.targetRate/total.sourceRate, maxSpill) - spill.ratio)
			}
			row[to.Name] = math.Round(spill.ratio*1e4) / 1e4
		}
		d.spillRatios[from.Name] = row
	}
}
