package reuse

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// CopiesToDraining is a rule that a decider breaks on purpose: copies are also placed on draining servers.
const CopiesToDraining Fault = "to-leaving"

// Drain is a server that is drained or about to be, as the decider of outages reports it.
type Drain struct {
	Server string
	Epoch  int64   // distinguishes successive drains of a server
	LeftMs float64 // of its wait for copies; 0 if it is drained
}

// DrainState is the agreed progress of copying from a draining server.
type DrainState struct {
	Epoch int64 `json:"turn"`
	Done  bool  `json:"done,omitempty"` // nothing worthwhile is left to be copied from it, and no copy is under way
}

// MaxDrains bounds the draining servers in a state. Further ones wait out their time without copies.
const MaxDrains = 32

// draining reports whether a server is drained or about to be.
func (v View) draining(server string) bool {
	return slices.ContainsFunc(v.Drains, func(drain Drain) bool { return drain.Server == server })
}

// withAgreedDrains returns the view with the drains from the state that this router has not learned of yet.
func (v View) withAgreedDrains(s *State) View {
	v.Drains = slices.Clone(v.Drains)
	for _, server := range slices.Sorted(maps.Keys(s.Drains)) {
		if drain := s.Drains[server]; !v.draining(server) && drain.Epoch > v.OutageSeq {
			v.Drains = append(v.Drains, Drain{Server: server, Epoch: drain.Epoch})
		}
	}
	return v
}

// ended reports whether, as far as this decider knows, a drain no longer applies because it was cancelled or has ended.
func (v View) ended(id string, s DrainState) bool { return !v.draining(id) && s.Epoch <= v.OutageSeq }

// revokedReason returns why a copy is no longer wanted, or "". A copy that was made for a drain is released once that server
// serves again or stays, and requests return to it. If kept, the copy would draw requests, and with them memory, away from
// that server for as long as it is used.
func (v View) revokedReason(s *State, c Copy, broken Fault) string {
	switch drain, known := s.Drains[c.DrainServer]; {
	case c.DrainServer != "" && (!known || v.ended(c.DrainServer, drain)):
		return c.DrainServer + " is there"
	case c.Phase != Ordered:
	case v.draining(c.Server) && broken != CopiesToDraining:
		return "its server is about to be let out"
	}
	return ""
}

// ledger tracks how much of the bounds copies take while more are ordered.
type ledger struct {
	decider   *Decider
	state     *State
	model     Model
	ordered   int
	copies    map[Key]int
	tokens    map[string]float64
	occupied  map[copyTarget]bool // copies and cool-downs
	cooldowns map[copyTarget]bool
}

// full reports whether no more copies may be ordered in this step.
func (l *ledger) full() bool { return l.ordered >= l.model.Orders || len(l.state.Copies) >= MaxCopies }

// fits reports whether a copy stays within the bounds of its prefix and its region.
func (l *ledger) fits(o option) bool {
	to := l.model.Regions[o.to]
	return l.copies[o.p.key] < l.model.Copies && l.tokens[to.Name]+float64(o.p.tokens) <= l.model.Share*to.Memory
}

// add orders a copy. drainServer is the draining server that it is ordered for, or "".
func (l *ledger) add(o option, server Server, drainServer string) {
	tokens, to := float64(o.p.tokens), l.model.Regions[o.to].Name
	l.decider.budgets[[2]string{o.link.From, o.link.To}] -= tokens
	l.ordered++
	l.copies[o.p.key]++
	l.tokens[to] += tokens
	l.state.LastOrder++
	c := Copy{ID: l.state.LastOrder, Prefix: o.p.key, Tokens: o.p.tokens, From: o.link.From, To: to, Server: server.ID, Boot: server.Boot,
		Phase: Ordered, LeftMs: max(l.model.LeaseMs/2, 2000*tokens/(l.model.LinkShare*o.link.Rate)), DrainServer: drainServer}
	l.state.Copies = append(l.state.Copies, c)
	l.state.Hindsight.Copies.Begin()
	l.state.note(c.ID, "copy", fmt.Sprintf("%016x from %s to %s: %s", uint64(c.Prefix), c.From, c.To, o.reason()))
}

// orderDrainCopies orders copies of what draining servers hold and records for which of them nothing is left to copy. It
// reports whether the state has to be written.
func (d *Decider) orderDrainCopies(s *State, v View, val *valuer, limits *ledger) (any bool) {
	states := map[string]DrainState{}
	for server, state := range s.Drains {
		if !v.ended(server, state) {
			states[server] = state
		}
	}
	drains := slices.SortedFunc(slices.Values(v.Drains), func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Server, b.Server))
	})
	for _, drain := range drains {
		previous, known := states[drain.Server]
		if drain.LeftMs <= 0 || previous.Epoch > drain.Epoch || previous.Epoch == drain.Epoch && previous.Done || !known && len(states) >= MaxDrains {
			continue
		}
		lastOrder := s.LastOrder
		states[drain.Server] = DrainState{Epoch: drain.Epoch, Done: d.copyOut(s, v, val, limits, drain)}
		any = any || s.LastOrder > lastOrder
	}
	if !maps.Equal(states, s.Drains) {
		s.Drains, any = states, true
	}
	return any
}

// copyOut orders the copies from a draining server that pay and can arrive within the rest of its wait. It reports whether
// there is nothing left to wait for.
func (d *Decider) copyOut(s *State, v View, val *valuer, limits *ledger, drain Drain) bool {
	i := slices.IndexFunc(v.Servers, func(server Server) bool { return server.ID == drain.Server })
	if i < 0 {
		return true
	}
	region, n := val.model.regionIndex(v.Servers[i].Region), len(val.model.Regions)
	if region < 0 || val.closed[region] || val.links[region*n+region] == nil {
		return true
	}
	link := val.links[region*n+region]
	capacity, pending := val.model.LinkShare*link.Rate*drain.LeftMs/1000, false
	atDraining, elsewhere := map[Key]bool{}, map[Key]bool{} // leased at the draining server, and at others of its region
	for _, c := range s.Copies {
		if c.Phase == Ordered && c.From == link.From && c.To == link.To {
			capacity -= float64(c.Tokens)
			pending = pending || c.DrainServer == drain.Server
		}
		if c.To == link.To {
			atDraining[c.Prefix] = atDraining[c.Prefix] || c.Phase == Present && c.Server == drain.Server
			elsewhere[c.Prefix] = elsewhere[c.Prefix] || !v.draining(c.Server)
		}
	}
	currentHome, nextHome := v.placement(link.To, true), v.placement(link.To, d.Fault == CopiesToDraining)
	for _, o := range val.drainOptions(region, link, atDraining) {
		if pending && limits.full() {
			break
		}
		tokens := float64(o.p.tokens)
		target := copyTarget{o.p.key, link.To}
		if tokens > capacity || !limits.fits(o) || elsewhere[o.p.key] || limits.cooldowns[target] ||
			limits.occupied[target] && !atDraining[o.p.key] || len(s.Copies) >= MaxCopies {
			continue
		}
		if current, ok := currentHome(o.p.key); !atDraining[o.p.key] && (!ok || current.ID != drain.Server) {
			continue // it is cached on another server
		}
		server, ok := nextHome(o.p.key)
		if !ok {
			continue
		}
		capacity -= tokens
		pending = true
		if !limits.full() && d.withinBudget(val.model, [2]string{link.From, link.To}, tokens, *link) {
			limits.add(o, server, drain.Server)
		}
	}
	return !pending
}

// drainOptions are the prefixes of a region whose copying within the region saves more than it costs, ordered by the saving per
// token. Without the copy, the first use would read each of them again.
func (v *valuer) drainOptions(region int, link *Link, held map[Key]bool) (options []option) {
	for i := range v.usage.prefixes {
		p := &v.usage.prefixes[i]
		use := v.usage.inRegion(p, region)
		if recent := use.count >= v.minUses && use.idleMs/1000 < v.retention[region]; !recent && !held[p.key] {
			continue
		}
		if benefit := v.drainBenefit(p, link, region); benefit.saved > benefit.costs {
			options = append(options, option{p: p, benefit: benefit, link: link, to: region, margin: (benefit.saved - benefit.costs) / float64(p.tokens)})
		}
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Or(cmp.Compare(y.margin, x.margin), cmp.Compare(x.p.key, y.p.key)) })
	return options
}

// drainBenefit is the benefit of copying a prefix within its region. Only the first use is saved, since the prefix would be
// cached after that, and only if it comes before unused prefixes are evicted, as servers may not be able to pin the copy.
func (v *valuer) drainBenefit(p *prefix, link *Link, region int) benefit {
	tokens, rate := float64(p.tokens), v.expectedRate(p, region)
	seconds := min(v.model.LeaseMs/1000-tokens/(v.model.LinkShare*link.Rate), v.retention[region])
	if seconds <= 0 {
		return benefit{}
	}
	usedChance := -math.Expm1(-rate * seconds)
	if usedChance < minSavedReads {
		return benefit{}
	}
	return benefit{rate, tokens * usedChance, link.Price*tokens + v.model.fixedCost(link) + v.displaced(tokens, region)*seconds*(1-usedChance)}
}

// checkDrains validates the draining servers of a state.
func (s *State) checkDrains() error {
	if len(s.Drains) > MaxDrains {
		return &RecordError{Field: "leaving", Says: fmt.Sprintf("%d draining servers, at most %d allowed", len(s.Drains), MaxDrains)}
	}
	for name, drain := range s.Drains {
		if name == "" || len(name) > maxName || drain.Epoch < 0 || drain.Epoch > math.MaxInt64/2 {
			return &RecordError{Field: "leaving", Says: fmt.Sprintf("invalid server %q with drain epoch %d", name, drain.Epoch)}
		}
	}
	return nil
}

// CopiesDone returns the drain epoch of each draining server for which nothing is left to copy.
func (s *State) CopiesDone() map[string]int64 {
	epochs := map[string]int64{}
	for server, drain := range s.Drains {
		if drain.Done {
			epochs[server] = drain.Epoch
		}
	}
	return epochs
}
