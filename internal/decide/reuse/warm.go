package reuse

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Faults of what carries copies out.
const (
	NoFence   Fault = "no-fence"   // a state is written over whatever stands, also by a router that is not registered any more
	WarmsBusy Fault = "warms-busy" // servers are read to in background whatever they have to do
)

// Busy is how many requests a router has at servers, by name.
type Busy map[string]int

// MaxBusy bounds how many servers a report names.
const MaxBusy = 32

// Busiest are the servers that have most, as many as a report may name.
func (b Busy) Busiest() Busy {
	if len(b) <= MaxBusy {
		return b
	}
	names := slices.SortedFunc(maps.Keys(b), func(x, y string) int { return cmp.Or(b[y]-b[x], cmp.Compare(x, y)) })
	busiest := Busy{}
	for _, name := range names[:MaxBusy] {
		busiest[name] = b[name]
	}
	return busiest
}

func (b Busy) valid() bool {
	for name, n := range b {
		if n < 0 || len(name) > maxName {
			return false
		}
	}
	return len(b) <= MaxBusy
}

// MayWarm tells whether a server has so little to do that a prefix may be read to it in background: what this router has
// there, with what the others said last.
func (m Model) MayWarm(server string, requests int, others []Busy, broken Fault) bool {
	for _, b := range others {
		requests += b[server]
	}
	return requests < m.WarmBelow || broken == WarmsBusy
}

// Rank is how many of the routers that may carry an order out come before one of them: the order's own order among them, by a
// hash, so that orders are spread and the next takes over from one that can't.
func (c Copy) Rank(router string, routers []string) (earlier int) {
	weight := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint("copy\x00", c.ID, name)) }
	for _, name := range routers {
		if name != router && weight(name) < weight(router) {
			earlier++
		}
	}
	return earlier
}

// HeldTokens is what servers hold under leases, in tokens, by server.
func (s *State) HeldTokens() map[string]float64 {
	tokens := map[string]float64{}
	for _, c := range s.Copies {
		if c.Phase == Present {
			tokens[c.Server] += float64(c.Tokens)
		}
	}
	return tokens
}

// placement tells which server of a region is to hold a prefix, or holds it by itself where those that leave count as well; false: none can.
func (v View) placement(region string, includeDraining bool) func(k Key) (Server, bool) {
	candidates := map[string]Server{}
	var names []string
	for _, s := range v.Servers {
		if s.Region == region && !s.Draining && (includeDraining || !v.draining(s.ID)) {
			candidates[s.ID] = s
			names = append(names, s.ID)
		}
	}
	return func(k Key) (Server, bool) {
		home := v.Home
		if home == nil {
			home = rendezvousServer
		}
		s, ok := candidates[home(k, names)]
		return s, ok
	}
}
