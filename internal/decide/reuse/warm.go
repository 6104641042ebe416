package reuse

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Faults of the components that carry out copies.
const (
	NoFence   Fault = "no-fence"   // a state overwrites any other, even from a router that is no longer registered
	WarmsBusy Fault = "warms-busy" // servers are read to in the background however busy they are
)

// Busy is the number of requests that a router has at each server.
type Busy map[string]int

// MaxBusy bounds the servers in a report.
const MaxBusy = 32

// Busiest returns the servers with the most requests, at most MaxBusy.
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

// MayWarm reports whether a server has few enough requests for a prefix to be read to it in the background, counting this
// router's own requests and those last reported by the others.
func (m Model) MayWarm(server string, requests int, others []Busy, broken Fault) bool {
	for _, b := range others {
		requests += b[server]
	}
	return requests < m.WarmBelow || broken == WarmsBusy
}

// Rank is the number of routers able to carry out the order that come before router. Each order has its own order of routers, by a
// hash, so that work is spread and the next router takes over from one that fails.
func (c Copy) Rank(router string, routers []string) (earlier int) {
	weight := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint("copy\x00", c.ID, name)) }
	for _, name := range routers {
		if name != router && weight(name) < weight(router) {
			earlier++
		}
	}
	return earlier
}

// HeldTokens returns the tokens that each server holds under leases.
func (s *State) HeldTokens() map[string]float64 {
	tokens := map[string]float64{}
	for _, c := range s.Copies {
		if c.Phase == Present {
			tokens[c.Server] += float64(c.Tokens)
		}
	}
	return tokens
}

// placement returns a function that picks the server of a region for a prefix, or false if there is none. With includeDraining
// it picks the server that caches the prefix by default, even if that is about to be drained.
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
