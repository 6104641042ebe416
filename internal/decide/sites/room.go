package sites

import (
	"cmp"
	"math"
	"time"
)

// The terms by which a decider learns what is asked and what sites bear.
const (
	// smoothing is the weight of a period's demand in its mean, jumpSmoothing that where a class changed by more than chance would.
	smoothing, jumpSmoothing = 0.4, 0.8
	// chanceSigmas is by how many standard deviations of what comes by chance a figure must differ before anything is made of it.
	chanceSigmas = 2.0
	// crowdedLateShare of a site's requests may come late before it counts as crowded; what was turned away shows a queue too,
	// though it cost less. idleLateShare is the part below which nothing waits.
	crowdedLateShare, rejectedWeight, idleLateShare = 0.05, 0.5, 0.01
	// ratioGain is how much of the difference between what a crowded site answers and what it was held to bear is taken
	// off with each period, peakDecay how the most that it has answered lately is forgotten. ratioRecovery is what it is trusted
	// with again with each period without; past what was declared that is ratioProbe.
	ratioGain, peakDecay, ratioRecovery, ratioProbe = 0.5, 0.9, 0.03, 0.01
	minCapacityRatio, maxCapacityRatio              = 0.5, 1.5
	// targetQueueS is how much work is to wait while classes are taken in part, in seconds of all sites' room: servers with
	// nothing waiting stand idle now and then. What waits more drains within drainTimeS, by maxDrainShare of the room at most; where
	// less does, up to maxFillShare more is taken. maxQueueS bounds what is thought to wait: routers turn away past that.
	targetQueueS, drainTimeS, maxDrainShare, maxFillShare, maxQueueS = 0.25, 1.5, 0.5, 0.2, 1.0
	// queueDecay is what is left of what is thought to wait after a period in which nothing came late; where much does, no
	// less than crowdedQueueS seconds are thought to wait, and no more where little does.
	queueDecay, crowdedQueueS = 0.6, 0.4
	// minDemand is the demand, in requests a second, below which minDemand asks.
	minDemand = 0.01
	// maxChance bounds by how much more than there is room for is put down to chance.
	maxChance = 0.15
)

// estimates is what a decider makes of reports over time.
type estimates struct {
	demand        map[string]map[string]float64 // by class and site, smoothed
	capacityRatio map[string]float64            // by site
	peak          map[string]float64            // that a site has answered lately, requests a second
	served        map[string]float64            // by site, smoothed
	queued        float64                       // requests that are thought to wait
	crowded       bool                          // somewhere too much waits
	idle          bool                          // nothing does
	overloaded    bool                          // more is asked than there is room for
}

// totals are what fresh reports say together.
type totals struct {
	offered map[string]map[string]float64 // by class and site
	seen    map[string]Observation
	served  map[string]float64 // by site, answers a second
}

func aggregate(fresh []Report, period float64) totals {
	out := totals{map[string]map[string]float64{}, map[string]Observation{}, map[string]float64{}}
	for _, r := range fresh {
		for class, rate := range r.Offered {
			if out.offered[class] == nil {
				out.offered[class] = map[string]float64{}
			}
			out.offered[class][r.Site] += rate
		}
		for name, s := range r.Observations {
			combined := out.seen[name]
			combined.InTime, combined.Late, combined.Rejected, combined.Served = combined.InTime+s.InTime, combined.Late+s.Late, combined.Rejected+s.Rejected, combined.Served+max(s.Served, s.InTime)
			out.seen[name] = combined
			out.served[name] += float64(max(s.Served, s.InTime)) / cmp.Or(r.WindowMs/1000, period)
		}
	}
	return out
}

// updateEstimates keeps the demand, how much sites carry against what was declared, and what waits. A queue alone does not say that
// a site carries less: where it answers as much as it was held to bear, too much was asked, and less is taken until the
// queue has drained; where it answers less, it bears less.
func (d *Decider) updateEstimates(m Model, last Decision, fresh []Report, now time.Duration) {
	if d.demand == nil {
		d.estimates = estimates{demand: map[string]map[string]float64{}, capacityRatio: map[string]float64{}, peak: map[string]float64{}, served: map[string]float64{}}
	}
	if d.estimatedAt > 0 && ms(now-d.estimatedAt) < m.ReportMs {
		return
	}
	d.estimatedAt = now
	for name, v := range last.CapacityRatio { // another router may have known it longer
		if _, known := d.capacityRatio[name]; !known {
			d.capacityRatio[name] = v
		}
	}
	period := m.ReportMs / 1000
	s := aggregate(fresh, period)
	d.updateDemand(m, s, period)
	ratios, capacity, answered, rejected, lateWeight, totalRequests := map[string]float64{}, 0.0, 0.0, 0.0, 0.0, 0
	for _, site := range m.Sites {
		seen := s.seen[site.Name]
		late, requests := float64(seen.Late)+rejectedWeight*float64(seen.Rejected), seen.InTime+seen.Late+seen.Rejected
		d.served[site.Name] += smoothing * (s.served[site.Name] - d.served[site.Name])
		d.peak[site.Name] = max(d.served[site.Name], peakDecay*d.peak[site.Name])
		ratio := cmp.Or(d.capacityRatio[site.Name], 1)
		peakRatio := d.peak[site.Name] / max(site.Capacity, 1e-9)
		// What was answered can be borne, but for what a count may be over by chance.
		if answeredRatio := d.served[site.Name] / (1 + chanceShare(d.served[site.Name], period)/2) / max(site.Capacity, 1e-9); answeredRatio > ratio {
			ratio += ratioGain * (answeredRatio - ratio)
		}
		switch state := cmp.Or(last.Sites[site.Name].State, Up); {
		case state == Lost:
			ratio = 1
		case now < d.settleUntil || state != Up || requests < minRequests:
		case late > crowdedLateShare*float64(requests):
			ratio -= ratioGain * max(ratio-peakRatio, 0)
		case ratio < 1:
			ratio = min(ratio+ratioRecovery, 1)
		case ratio > 1 && !(d.idle && last.limitsAdmission()):
			ratio = max(ratio-ratioProbe, 1)
		case d.idle && last.limitsAdmission(): // everywhere alike, or one site would be given the others' work by chance
			ratio += ratioProbe
		}
		ratios[site.Name] = min(max(ratio, minCapacityRatio), maxCapacityRatio)
		if last.Sites[site.Name].State != Lost {
			capacity += site.Capacity * ratios[site.Name]
			lateWeight, totalRequests, rejected, answered = lateWeight+late, totalRequests+requests, rejected+float64(seen.Rejected), answered+float64(seen.Served)
		}
	}
	d.capacityRatio = ratios
	d.crowded, d.idle = totalRequests >= minRequests && lateWeight > crowdedLateShare*float64(totalRequests), lateWeight <= idleLateShare*float64(totalRequests)
	admitted := 0.0
	for class, rows := range s.offered {
		for site, rate := range rows {
			admitted += rate * last.Admitted(class, site) * period
		}
	}
	d.queued = min(max(d.queued+admitted-rejected-answered, 0), maxQueueS*capacity)
	switch { // what is seen of it goes before what is counted: some of what is taken is never heard of again
	case d.crowded:
		d.queued = max(d.queued, crowdedQueueS*capacity)
	case d.idle:
		d.queued *= queueDecay
	default:
		d.queued = min(d.queued, crowdedQueueS*capacity)
	}
}

// updateDemand takes in what came in a period.
func (d *Decider) updateDemand(m Model, s totals, period float64) {
	for _, c := range m.Classes {
		row := d.demand[c.Name]
		if row == nil {
			row = map[string]float64{}
			d.demand[c.Name] = row
		}
		previous, current, weight := 0.0, 0.0, smoothing
		for _, site := range m.Sites {
			previous, current = previous+row[site.Name], current+s.offered[c.Name][site.Name]
		}
		if math.Abs(current-previous)*period > 2*chanceSigmas*math.Sqrt(max(current, previous)*period) {
			weight = jumpSmoothing
		}
		for _, site := range m.Sites {
			if row[site.Name] += weight * (s.offered[c.Name][site.Name] - row[site.Name]); row[site.Name] < minDemand {
				row[site.Name] = 0 // what fades out is no demand: a plan that serves none of it would refuse who comes next
			}
		}
	}
}

// chanceShare is the part by which the demand may seem more than it is: arrivals are counted over few periods.
func chanceShare(asked, period float64) float64 {
	if asked <= 0 {
		return maxChance
	}
	return min(chanceSigmas*math.Sqrt(smoothing/(2-smoothing)/(asked*period)), maxChance)
}

// fitCapacity tells whether what is asked is more than there is room for, and fits the situation to it: the reserve is kept and
// what waits is given time to drain only while classes are taken in part. It gives the reserve.
func (d *Decider) fitCapacity(m Model, s Situation) float64 {
	asked, capacity := 0.0, 0.0
	for i, site := range m.Sites {
		if s.CutOff[i] {
			continue
		}
		capacity += site.Capacity * s.Factor[i]
		for k, c := range m.Classes {
			asked += s.Demand[k][i] * cmp.Or(site.Work[c.Name], c.Work)
		}
	}
	if capacity <= 0 {
		return m.Reserve
	}
	if d.overloaded {
		d.overloaded = asked > capacity
	} else {
		d.overloaded = asked > capacity*(1+chanceShare(asked, m.ReportMs/1000)) || d.crowded && asked > capacity*(1-m.Reserve)
	}
	scale, reserve := 1.0, m.Reserve
	if d.overloaded {
		scale += min(max((targetQueueS-d.queued/capacity)/drainTimeS, -maxDrainShare), maxFillShare)
	} else {
		scale = max(asked/capacity, 1)
		reserve = min(max(1-asked/capacity, 0), m.Reserve)
	}
	for i := range s.Factor {
		if !s.CutOff[i] {
			s.Factor[i] *= scale
		}
	}
	return max(reserve, 1e-9) // 0 would be the default
}
