package sites

import (
	"cmp"
	"math"
	"time"
)

// Parameters for the estimates of demand and of the sites' capacity.
const (
	// smoothing is the weight of a period's demand in its moving average. jumpSmoothing is the weight where a class
	// changed by more than chance explains.
	smoothing, jumpSmoothing = 0.4, 0.8
	// chanceSigmas is the number of standard deviations by which a count must differ from chance to be significant.
	chanceSigmas = 2.0
	// A site is crowded when more than crowdedLateShare of its requests are late. Rejected requests indicate a queue
	// too but cost less, so they count with rejectedWeight. Below idleLateShare nothing is queued.
	crowdedLateShare, rejectedWeight, idleLateShare = 0.05, 0.5, 0.01
	// A crowded site that answers less than its estimated capacity loses ratioGain of the difference per period. Its
	// recent peak of answers decays by peakDecay per period. Without crowding the ratio recovers by ratioRecovery per
	// period up to the declared capacity. Above that it changes by ratioProbe.
	ratioGain, peakDecay, ratioRecovery, ratioProbe = 0.5, 0.9, 0.03, 0.01
	minCapacityRatio, maxCapacityRatio              = 0.5, 1.5
	// targetQueueS is the queue to keep while classes are admitted in part, in seconds of the capacity of all sites:
	// servers with an empty queue are idle now and then. A longer queue is drained within drainTimeS, using at most
	// maxDrainShare of the capacity. With a shorter one up to maxFillShare more is admitted. maxQueueS bounds the
	// estimated queue: routers reject requests beyond it.
	targetQueueS, drainTimeS, maxDrainShare, maxFillShare, maxQueueS = 0.25, 1.5, 0.5, 0.2, 1.0
	// queueDecay is what remains of the estimated queue after a period without late answers. With many late answers the
	// estimate is at least crowdedQueueS, with few it is at most that.
	queueDecay, crowdedQueueS = 0.6, 0.4
	// minDemand is the demand, in requests per second, below which it counts as none.
	minDemand = 0.01
	// maxChance bounds the share of excess demand that is attributed to chance.
	maxChance = 0.15
)

// estimates are what a decider derives from the reports over time.
type estimates struct {
	demand        map[string]map[string]float64 // by class and site, moving average
	capacityRatio map[string]float64            // by site, relative to the declared capacity
	peak          map[string]float64            // by site, recent peak of answers, requests per second
	served        map[string]float64            // by site, moving average of answers, requests per second
	queued        float64                       // estimated number of queued requests
	crowded       bool                          // too many requests are late
	idle          bool                          // hardly any request is late
	overloaded    bool                          // demand exceeds the capacity
}

// totals are the sums over all fresh reports.
type totals struct {
	offered map[string]map[string]float64 // by class and site
	seen    map[string]Observation
	served  map[string]float64 // by site, answers per second
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
			combined.InTime, combined.Late, combined.Rejected, combined.Served = combined.InTime+s.InTime, combined.Late+s.Late,
				combined.Rejected+s.Rejected, combined.Served+max(s.Served, s.InTime)
			out.seen[name] = combined
			out.served[name] += float64(max(s.Served, s.InTime)) / cmp.Or(r.WindowMs/1000, period)
		}
	}
	return out
}

// updateEstimates updates the demand, the capacity of each site relative to its declaration, and the queue. A queue
// alone does not mean less capacity. If a site answers as much as estimated, too much was admitted, and less is
// admitted until the queue has drained. If it answers less, its capacity is lower.
func (d *Decider) updateEstimates(m Model, last Decision, fresh []Report, now time.Duration) {
	if d.demand == nil {
		d.estimates = estimates{demand: map[string]map[string]float64{}, capacityRatio: map[string]float64{},
			peak: map[string]float64{}, served: map[string]float64{}}
	}
	if d.estimatedAt > 0 && ms(now-d.estimatedAt) < m.ReportMs {
		return
	}
	d.estimatedAt = now
	for name, v := range last.CapacityRatio { // another router may have known it before this one started
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
		// The capacity is at least what was answered, less the possible error of the count.
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
		case d.idle && last.limitsAdmission(): // all sites alike, else one site would get the others' load by chance
			ratio += ratioProbe
		}
		ratios[site.Name] = min(max(ratio, minCapacityRatio), maxCapacityRatio)
		if last.Sites[site.Name].State != Lost {
			capacity += site.Capacity * ratios[site.Name]
			lateWeight, totalRequests, rejected, answered = lateWeight+late, totalRequests+requests,
				rejected+float64(seen.Rejected), answered+float64(seen.Served)
		}
	}
	d.capacityRatio = ratios
	d.crowded, d.idle = totalRequests >= minRequests && lateWeight > crowdedLateShare*float64(totalRequests),
		lateWeight <= idleLateShare*float64(totalRequests)
	admitted := 0.0
	for class, rows := range s.offered {
		for site, rate := range rows {
			admitted += rate * last.Admitted(class, site) * period
		}
	}
	d.queued = min(max(d.queued+admitted-rejected-answered, 0), maxQueueS*capacity)
	switch { // late answers take precedence over counts: some admitted requests are never reported as answered
	case d.crowded:
		d.queued = max(d.queued, crowdedQueueS*capacity)
	case d.idle:
		d.queued *= queueDecay
	default:
		d.queued = min(d.queued, crowdedQueueS*capacity)
	}
}

// updateDemand updates the demand with a period's arrivals.
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
				row[site.Name] = 0 // a tiny remainder is no demand: a plan that serves none of it would refuse the next requests
			}
		}
	}
}

// chanceShare returns the share by which the demand may be overestimated: arrivals are counted over few periods.
func chanceShare(demand, period float64) float64 {
	if demand <= 0 {
		return maxChance
	}
	return min(chanceSigmas*math.Sqrt(smoothing/(2-smoothing)/(demand*period)), maxChance)
}

// fitCapacity determines whether the demand exceeds the capacity, and scales the situation accordingly. Only while
// classes are admitted in part is the reserve kept and the queue given time to drain. It returns the reserve to plan
// with.
func (d *Decider) fitCapacity(m Model, s Situation) float64 {
	demand, capacity := 0.0, 0.0
	for i, site := range m.Sites {
		if s.CutOff[i] {
			continue
		}
		capacity += site.Capacity * s.Factor[i]
		for k, c := range m.Classes {
			demand += s.Demand[k][i] * cmp.Or(site.Work[c.Name], c.Work)
		}
	}
	if capacity <= 0 {
		return m.Reserve
	}
	if d.overloaded {
		d.overloaded = demand > capacity
	} else {
		d.overloaded = demand > capacity*(1+chanceShare(demand, m.ReportMs/1000)) || d.crowded && demand > capacity*(1-m.Reserve)
	}
	scale, reserve := 1.0, m.Reserve
	if d.overloaded {
		scale += min(max((targetQueueS-d.queued/capacity)/drainTimeS, -maxDrainShare), maxFillShare)
	} else {
		scale = max(demand/capacity, 1)
		reserve = min(max(1-demand/capacity, 0), m.Reserve)
	}
	for i := range s.Factor {
		if !s.CutOff[i] {
			s.Factor[i] *= scale
		}
	}
	return max(reserve, 1e-9) // 0 would select the default
}
