package reuse

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// CopiesToDraining is a rule that a decider breaks on purpose: what is copied goes to servers that are about to be let out, too.
const CopiesToDraining Fault = "to-leaving"

// Drain is a server that is about to be let out, as the decider of outages has it.
type Drain struct {
	Server string
	Epoch  int64   // tells this time from another
	LeftMs float64 // of its wait for copies; 0: it is let out
}

// DrainState is what is agreed on of a server that leaves.
type DrainState struct {
	Epoch int64 `json:"turn"`
	Done  bool  `json:"done,omitempty"` // nothing that pays is to be copied from it any more, or on its way
}

// MaxDrains is how many servers that leave a state names; others wait for nothing but the time they are given.
const MaxDrains = 32

// draining tells whether a server is about to be let out, or is.
func (v View) draining(server string) bool {
	return slices.ContainsFunc(v.Drains, func(drain Drain) bool { return drain.Server == server })
}

// withAgreedDrains is the view with those that are agreed to leave and that this router does not know of yet.
func (v View) withAgreedDrains(s *State) View {
	v.Drains = slices.Clone(v.Drains)
	for _, server := range slices.Sorted(maps.Keys(s.Drains)) {
		if drain := s.Drains[server]; !v.draining(server) && drain.Epoch > v.OutageSeq {
			v.Drains = append(v.Drains, Drain{Server: server, Epoch: drain.Epoch})
		}
	}
	return v
}

// ended tells whether a server that was to leave is not to any more, as far as this decider knows: its wish was ended, or it is
// back.
func (v View) ended(id string, s DrainState) bool { return !v.draining(id) && s.Epoch <= v.OutageSeq }

// revokedReason tells why a copy is not wanted any more, or "". What was copied for the sake of a server that is there again, or stays, goes
// back to it with the next request: left where it is it would keep requests, and so room, away from that server for as long as it is used.
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

// ledger is what copies take of the bounds, as more are ordered.
type ledger struct {
	decider   *Decider
	state     *State
	model     Model
	ordered   int
	copies    map[Key]int
	tokens    map[string]float64
	occupied  map[copyTarget]bool // copies, and rests
	cooldowns map[copyTarget]bool
}

// full tells whether no more may be ordered in this step.
func (l *ledger) full() bool { return l.ordered >= l.model.Orders || len(l.state.Copies) >= MaxCopies }

// fits tells whether a copy keeps the bounds of its prefix and its region.
func (l *ledger) fits(o option) bool {
	to := l.model.Regions[o.to]
	return l.copies[o.p.key] < l.model.Copies && l.tokens[to.Name]+float64(o.p.tokens) <= l.model.Share*to.Memory
}

// add orders a copy; leaves is the server for whose sake, or "".
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

// orderDrainCopies orders copies of what servers hold that are about to be let out, and says of which nothing more is to be copied. It tells
// whether that is to be written.
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

// copyOut orders what pays to be copied from a server and can arrive within what is left of its wait, and tells whether nothing is left
// to wait for.
func (d *Decider) copyOut(s *State, v View, val *valuer, limits *ledger, drain Drain) bool {
	i := slices.IndexFunc(v.Servers, func(one Server) bool { return one.ID == drain.Server })
	if i < 0 {
		return true
	}
	region, n := val.model.regionIndex(v.Servers[i].Region), len(val.model.Regions)
	if region < 0 || val.closed[region] || val.links[region*n+region] == nil {
		return true
	}
	link := val.links[region*n+region]
	capacity, pending := val.model.LinkShare*link.Rate*drain.LeftMs/1000, false
	atDraining, elsewhere := map[Key]bool{}, map[Key]bool{} // under a lease at the server that leaves, and at others of its region
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
	currentHome, nextHome := v.placement(link.To, true), v.placement(link.To, d.Broken == CopiesToDraining)
	for _, o := range val.drainOptions(region, link, atDraining) {
		if pending && limits.full() {
			break
		}
		tokens := float64(o.p.tokens)
		target := copyTarget{o.p.key, link.To}
		if tokens > capacity || !limits.fits(o) || elsewhere[o.p.key] || limits.cooldowns[target] || limits.occupied[target] && !atDraining[o.p.key] || len(s.Copies) >= MaxCopies {
			continue
		}
		if current, ok := currentHome(o.p.key); !atDraining[o.p.key] && (!ok || current.ID != drain.Server) {
			continue // it is kept elsewhere
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

// drainOptions are the prefixes that a region has and whose copying within it saves more than it costs, those that save most for each token
// first: without the copy the first use would read each anew.
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

// drainBenefit is what copying a prefix within its region is worth. Only the first use is saved, after which it would be there by itself, and
// that only if it comes before what is not used is pushed out: servers may not be able to hold it.
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

// checkDrains tells what of the servers that leave cannot be used.
func (s *State) checkDrains() error {
	if len(s.Drains) > MaxDrains {
		return &RecordError{Field: "leaving", Says: fmt.Sprintf("%d servers, at most %d", len(s.Drains), MaxDrains)}
	}
	for name, drain := range s.Drains {
		if name == "" || len(name) > maxName || drain.Epoch < 0 || drain.Epoch > math.MaxInt64/2 {
			return &RecordError{Field: "leaving", Says: fmt.Sprintf("%q in turn %d", name, drain.Epoch)}
		}
	}
	return nil
}

// CopiesDone is the turn of each server that leaves for which nothing is to be copied from it any more.
func (s *State) CopiesDone() map[string]int64 {
	epochs := map[string]int64{}
	for server, drain := range s.Drains {
		if drain.Done {
			epochs[server] = drain.Epoch
		}
	}
	return epochs
}
