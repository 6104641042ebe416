package search

import (
	"math/rand/v2"
	"slices"

	"sumacloft/internal/decide/outage"
)

// Options configures a search.
type Options struct {
	Bounds Bounds `json:"bounds"`
	Broken Fault  `json:"broken,omitempty"`
	// Depth and States end a search early; 0 means no limit.
	Depth  int `json:"most_depth,omitempty"`
	States int `json:"most_states,omitempty"`
	// RollbackEvery tries a rollback to its end from one state in so many; 0: from none.
	RollbackEvery uint64 `json:"finish,omitempty"`
	// OnLevel is called after each depth that was searched.
	OnLevel func(Result) `json:"-"`
}

// Result is the outcome of a search or a random walk.
type Result struct {
	States    int      `json:"states"`           // distinct states
	Steps     int      `json:"steps"`            // events applied
	Depth     int      `json:"depth"`            // of the deepest state
	Rollbacks int      `json:"ways"`             // rollbacks tried to their end
	Complete  bool     `json:"whole"`            // every reachable state was searched
	Faults    []string `json:"faults,omitempty"` // rules that were broken
	Trace     Trace    `json:"-"`                // the events leading to the first fault; the shortest such trace if found by a search
}

// node records how a state was reached.
type node struct {
	parent int32
	event  event
}

// Run searches breadth-first and stops at the first fault.
func (o Options) Run() Result {
	w := initialWorld(o.Bounds)
	key, buf := w.hash(nil)
	seen := map[uint64]struct{}{key: {}}
	nodes := []node{{parent: -1}}
	type frontierNode struct {
		world
		node int32
	}
	frontier := []frontierNode{{w, 0}}
	out := Result{States: 1}
	report := func(leaf int32, last Trace, faults []string) Result {
		out.Faults = faults
		for ; nodes[leaf].parent >= 0; leaf = nodes[leaf].parent {
			out.Trace = append(Trace{nodes[leaf].event}, out.Trace...)
		}
		out.Trace = append(out.Trace, last...)
		return out
	}
	var enabled []event
	for len(frontier) > 0 && (o.Depth == 0 || out.Depth < o.Depth) {
		var next []frontierNode
		for i := range frontier {
			current := frontier[i]
			frontier[i] = frontierNode{}
			enabled = current.events(enabled)
			for _, e := range enabled {
				successor := current.world
				out.Steps++
				if faults := successor.apply(e, o.Broken); len(faults) > 0 {
					return report(current.node, Trace{e}, faults)
				}
				successor.dropStaleWrites(o.Broken)
				key, buf = successor.hash(buf)
				if _, ok := seen[key]; ok {
					continue
				}
				seen[key] = struct{}{}
				nodes = append(nodes, node{current.node, e})
				n := int32(len(nodes) - 1)
				if o.RollbackEvery > 0 && key%o.RollbackEvery == 0 {
					out.Rollbacks++
					if faults := successor.checkRollback(o.Broken); len(faults) > 0 {
						return report(n, nil, append(faults, "after recovery, during the rollback"))
					}
				}
				next = append(next, frontierNode{successor, n})
				if out.States++; o.States > 0 && out.States >= o.States {
					return out
				}
			}
		}
		if frontier = next; len(frontier) > 0 {
			out.Depth++
		}
		if o.OnLevel != nil {
			o.OnLevel(out)
		}
	}
	out.Complete = len(frontier) == 0
	return out
}

// Replay applies a trace again. It returns the states that were written, and the rules that the last event broke.
func (o Options) Replay(t Trace) (states []*outage.State, faults []string) {
	w := initialWorld(o.Bounds)
	states = append(states, w.state)
	for _, e := range t {
		faults = w.apply(e, o.Broken)
		if w.state != states[len(states)-1] {
			states = append(states, w.state)
		}
		w.dropStaleWrites(o.Broken)
	}
	if len(faults) == 0 && o.RollbackEvery > 0 {
		faults = w.checkRollback(o.Broken)
	}
	return states, faults
}

// Walk applies random events drawn from a seed, to greater depth than a search reaches. A trace that breaks a rule is
// reduced to the events it needs, by removing one after another.
func (o Options) Walk(seed uint64, length int) (out Result) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := initialWorld(o.Bounds)
	var enabled []event
	for range length {
		enabled = w.events(enabled)
		e := enabled[rng.IntN(len(enabled))]
		if e.op > opRegister && e.op != opStopServer && rng.IntN(4) > 0 { // do not use up rare events early
			continue
		}
		out.Trace = append(out.Trace, e)
		out.Steps++
		if out.Faults = w.apply(e, o.Broken); len(out.Faults) > 0 {
			out.Trace = o.shrink(out.Trace, false)
			return out
		}
		w.dropStaleWrites(o.Broken)
	}
	out.Rollbacks++
	if out.Faults = w.checkRollback(o.Broken); len(out.Faults) > 0 {
		out.Faults = append(out.Faults, "after recovery, during the rollback")
		out.Trace = o.shrink(out.Trace, true)
	}
	return out
}

// shrink removes events as long as a rule is still broken.
func (o Options) shrink(t Trace, recovered bool) Trace {
	for i := len(t) - 1; i >= 0; i-- {
		shorter := slices.Delete(slices.Clone(t), i, i+1)
		if o.reproduces(shorter, recovered) {
			t = shorter
		}
	}
	return t
}

// reproduces reports whether the events of a trace are all possible and the last one breaks a rule, or, after recovery,
// the rollback that follows does.
func (o Options) reproduces(t Trace, recovered bool) bool {
	w := initialWorld(o.Bounds)
	for i, e := range t {
		if !slices.Contains(w.events(nil), e) {
			return false
		}
		if faults := w.apply(e, o.Broken); len(faults) > 0 {
			return !recovered && i == len(t)-1
		}
		w.dropStaleWrites(o.Broken)
	}
	return recovered && len(w.checkRollback(o.Broken)) > 0
}
