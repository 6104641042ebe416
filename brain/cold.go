package brain

import "time"

// startWarmup opens our part of the cold budget of an engine that has just started.
func (s *Scheduler) startWarmup(e *engine, since time.Duration) {
	if until := since + s.set.WarmAfter; until > e.coldUntil {
		if s.now >= e.coldUntil { // with a full budget all would send at once in an overload
			e.coldBudget, e.budgetAt = -unit(s.seed, uint64(e.ID))*s.pools[e.role].uncached, s.now
		}
		e.coldUntil = until
	}
}

// withinColdBudget reports whether the request fits our part of the cold budget of an engine that has just
// started. The budget is a bucket that fills at the rate that the engine tolerates at its worst. Our part of
// that is what warm peers of its zone serve for us (requests stay in a zone). A part of less than one request
// delays the next one.
func (s *Scheduler) withinColdBudget(e *engine, r *request) bool {
	if s.now >= e.coldUntil {
		return true
	}
	p, zone := &s.pools[e.role], e.Zone
	if p.warm[zone] == 0 { // a whole zone has restarted
		zone = allZones
	}
	served := func(zone int) float64 { return p.served[zone] * decay(s.now-p.servedAt, streamDecay) }
	// Where no warm one serves us, as after our own start, no rate is known. One request at a time follows
	// the engine's own pace. This keeps a fleet in use that is all cold or whose warm engines fail.
	if served(allZones) < p.uncached && len(e.pending)+len(e.streams) == 0 {
		return true
	}
	rate := coldMargin * s.set.OverloadRatio * s.warmth(e) * e.size() / max(p.warm[zone], 1) * served(zone) /
		streamDecay.Seconds()
	e.coldBudget = min(e.coldBudget+rate*(s.now-e.budgetAt).Seconds(), rate*s.set.OverloadFor.Seconds()/2)
	e.budgetAt = s.now
	return e.coldBudget >= 0
}

// warmth is the least share of its capacity that an engine has by the time since its start. All routers scale
// its share of keys by it: what it can't take yet is prefilled and cached in one other place.
func (s *Scheduler) warmth(e *engine) float64 {
	if s.now >= e.coldUntil {
		return 1
	}
	left := (e.coldUntil - s.now).Seconds() / s.set.WarmAfter.Seconds()
	return s.set.ColdShare + (1-s.set.ColdShare)*(1-min(left, 1))
}

// countServed counts what warm engines serve. What a cold one serves tells nothing of their rate.
func (s *Scheduler) countServed(e *engine, r *request) {
	e.newestServed = max(e.newestServed, r.sentAt)
	if s.now < e.coldUntil {
		return
	}
	p := &s.pools[e.role]
	for zone := range p.served {
		p.served[zone] *= decay(s.now-p.servedAt, streamDecay)
	}
	p.served[e.Zone] += r.size(e)
	p.served[allZones] += r.size(e)
	p.servedAt = s.now
}

// size is the work that a request means for an engine of a role, in tokens.
func (r *request) size(e *engine) float64 {
	if e.role == Reader {
		return r.PromptTokens - r.PrefixTokens + overheadTokens
	}
	return r.footprint()
}
