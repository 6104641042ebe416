package reuse

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// CopiesToLeaving is a rule that a decider breaks on purpose: what is copied goes to servers that are about to be let out, too.
const CopiesToLeaving Fault = "to-leaving"

// Leaving is a server that is about to be let out, as the decider of outages has it.
type Leaving struct {
	Server string
	Turn   int64   // tells this time from another
	LeftMs float64 // of its wait for copies; 0: it is let out
}

// Leave is what is agreed on of a server that leaves.
type Leave struct {
	Turn int64 `json:"turn"`
	Done bool  `json:"done,omitempty"` // nothing that pays is to be copied from it any more, or on its way
}

// MaxLeaving is how many servers that leave a state names; others wait for nothing but the time they are given.
const MaxLeaving = 32

// away tells whether a server is about to be let out, or is.
func (v View) away(server string) bool {
	return slices.ContainsFunc(v.Leaving, func(drain Leaving) bool { return drain.Server == server })
}

// known is the view with those that are agreed to leave and that this router does not know of yet.
func (v View) known(s *State) View {
	v.Leaving = slices.Clone(v.Leaving)
	for _, server := range slices.Sorted(maps.Keys(s.Leaving)) {
		if drain := s.Leaving[server]; !v.away(server) && drain.Turn > v.Seen {
			v.Leaving = append(v.Leaving, Leaving{Server: server, Turn: drain.Turn})
		}
	}
	return v
}

// stays tells whether a server that was to leave is not to any more, as far as this decider knows: its wish was withdrawn, or it is
// back.
func (v View) stays(server string, s Leave) bool { return !v.away(server) && s.Turn <= v.Seen }

// revoked tells why a copy is not wanted any more, or "". What was copied for the sake of a server that is there again, or stays, goes
// back to it with the next request: left where it is it would keep requests, and so room, away from that server for as long as it is used.
func (v View) revoked(s *State, c Copy, broken Fault) string {
	switch drain, known := s.Leaving[c.Leaves]; {
	case c.Leaves != "" && (!known || v.stays(c.Leaves, drain)):
		return c.Leaves + " is there"
	case c.Phase != Ordered:
	case v.away(c.Server) && broken != CopiesToLeaving:
		return "its server is about to be let out"
	}
	return ""
}

// ledger is what copies take of the bounds, as more are ordered.
type ledger struct {
	d     *Decider
	s     *State
	m     Model
	under int
	held  map[Key]int
	taken map[string]float64
	has   map[spotOf]bool // copies, and rests
	rests map[spotOf]bool
}

// full tells whether no more may be ordered in this step.
func (l *ledger) full() bool { return l.under >= l.m.Orders || len(l.s.Copies) >= MaxCopies }

// fits tells whether a copy keeps the bounds of its prefix and its region.
func (l *ledger) fits(o option) bool {
	to := l.m.Regions[o.to]
	return l.held[o.p.key] < l.m.Copies && l.taken[to.Name]+float64(o.p.tokens) <= l.m.Share*to.Memory
}

// add orders a copy; leaves is the server for whose sake, or "".
func (l *ledger) add(o option, server Server, drainServer string) {
	tokens, to := float64(o.p.tokens), l.m.Regions[o.to].Name
	l.d.purse[[2]string{o.link.From, o.link.To}] -= tokens
	l.under++
	l.held[o.p.key]++
	l.taken[to] += tokens
	l.s.Orders++
	c := Copy{ID: l.s.Orders, Prefix: o.p.key, Tokens: o.p.tokens, From: o.link.From, To: to, Server: server.ID, Boot: server.Boot,
		Phase: Ordered, LeftMs: max(l.m.LeaseMs/2, 2000*tokens/(l.m.LinkShare*o.link.Rate)), Leaves: drainServer}
	l.s.Copies = append(l.s.Copies, c)
	l.s.Hindsight.Copies.Begin()
	l.s.note(c.ID, "copy", fmt.Sprintf("%016x from %s to %s: %s", uint64(c.Prefix), c.From, c.To, o.why()))
}

// leave orders copies of what servers hold that are about to be let out, and says of which nothing more is to be copied. It tells
// whether that is to be written.
func (d *Decider) leave(s *State, v View, val *scales, limits *ledger) (any bool) {
	states := map[string]Leave{}
	for server, state := range s.Leaving {
		if !v.stays(server, state) {
			states[server] = state
		}
	}
	drains := slices.SortedFunc(slices.Values(v.Leaving), func(a, b Leaving) int {
		return cmp.Or(cmp.Compare(a.Turn, b.Turn), cmp.Compare(a.Server, b.Server))
	})
	for _, drain := range drains {
		previous, known := states[drain.Server]
		if drain.LeftMs <= 0 || previous.Turn > drain.Turn || previous.Turn == drain.Turn && previous.Done || !known && len(states) >= MaxLeaving {
			continue
		}
		lastOrder := s.Orders
		states[drain.Server] = Leave{Turn: drain.Turn, Done: d.empty(s, v, val, limits, drain)}
		any = any || s.Orders > lastOrder
	}
	if !maps.Equal(states, s.Leaving) {
		s.Leaving, any = states, true
	}
	return any
}

// empty orders what pays to be copied from a server and can arrive within what is left of its wait, and tells whether nothing is left
// to wait for.
func (d *Decider) empty(s *State, v View, val *scales, limits *ledger, drain Leaving) bool {
	i := slices.IndexFunc(v.Servers, func(one Server) bool { return one.ID == drain.Server })
	if i < 0 {
		return true
	}
	region, n := val.m.region(v.Servers[i].Region), len(val.m.Regions)
	if region < 0 || val.closed[region] || val.links[region*n+region] == nil {
		return true
	}
	link := val.links[region*n+region]
	capacity, pending := val.m.LinkShare*link.Rate*drain.LeftMs/1000, false
	atDraining, elsewhere := map[Key]bool{}, map[Key]bool{} // under a lease at the server that leaves, and at others of its region
	for _, c := range s.Copies {
		if c.Phase == Ordered && c.From == link.From && c.To == link.To {
			capacity -= float64(c.Tokens)
			pending = pending || c.Leaves == drain.Server
		}
		if c.To == link.To {
			atDraining[c.Prefix] = atDraining[c.Prefix] || c.Phase == Here && c.Server == drain.Server
			elsewhere[c.Prefix] = elsewhere[c.Prefix] || !v.away(c.Server)
		}
	}
	currentHome, nextHome := v.homes(link.To, true), v.homes(link.To, d.Broken == CopiesToLeaving)
	for _, o := range val.moves(region, link, atDraining) {
		if pending && limits.full() {
			break
		}
		tokens := float64(o.p.tokens)
		target := spotOf{o.p.key, link.To}
		if tokens > capacity || !limits.fits(o) || elsewhere[o.p.key] || limits.rests[target] || limits.has[target] && !atDraining[o.p.key] || len(s.Copies) >= MaxCopies {
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
		if !limits.full() && d.affords(val.m, [2]string{link.From, link.To}, tokens, *link) {
			limits.add(o, server, drain.Server)
		}
	}
	return !pending
}

// moves are the prefixes that a region has and whose copying within it saves more than it costs, those that save most for each token
// first: without the copy the first use would read each anew.
func (v *scales) moves(region int, link *Link, held map[Key]bool) (options []option) {
	for i := range v.u.list {
		p := &v.u.list[i]
		use := v.u.in(p, region)
		if recent := use.count >= v.least && use.idleMs/1000 < v.keeps[region]; !recent && !held[p.key] {
			continue
		}
		if benefit := v.moved(p, link, region); benefit.saved > benefit.costs {
			options = append(options, option{p: p, worth: benefit, link: link, to: region, each: (benefit.saved - benefit.costs) / float64(p.tokens)})
		}
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Or(cmp.Compare(y.each, x.each), cmp.Compare(x.p.key, y.p.key)) })
	return options
}

// moved is what copying a prefix within its region is worth. Only the first use is saved, after which it would be there by itself, and
// that only if it comes before what is not used is pushed out: servers may not be able to hold it.
func (v *scales) moved(p *prefix, link *Link, region int) worth {
	tokens, rate := float64(p.tokens), v.expects(p, region)
	seconds := min(v.m.LeaseMs/1000-tokens/(v.m.LinkShare*link.Rate), v.keeps[region])
	if seconds <= 0 {
		return worth{}
	}
	usedChance := -math.Expm1(-rate * seconds)
	if usedChance < leastSaved {
		return worth{}
	}
	return worth{rate, tokens * usedChance, link.Price*tokens + v.m.besides(link) + v.pushes(tokens, region)*seconds*(1-usedChance)}
}

// checkLeaving tells what of the servers that leave cannot be used.
func (s *State) checkLeaving() error {
	if len(s.Leaving) > MaxLeaving {
		return &RecordError{Field: "leaving", Says: fmt.Sprintf("%d servers, at most %d", len(s.Leaving), MaxLeaving)}
	}
	for name, drain := range s.Leaving {
		if name == "" || len(name) > maxName || drain.Turn < 0 || drain.Turn > math.MaxInt64/2 {
			return &RecordError{Field: "leaving", Says: fmt.Sprintf("%q in turn %d", name, drain.Turn)}
		}
	}
	return nil
}

// Emptied is the turn of each server that leaves for which nothing is to be copied from it any more.
func (s *State) Emptied() map[string]int64 {
	epochs := map[string]int64{}
	for server, drain := range s.Leaving {
		if drain.Done {
			epochs[server] = drain.Turn
		}
	}
	return epochs
}
