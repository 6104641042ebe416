// Package modelcheck searches the states of a model breadth-first: every order in which its actions can happen, each
// state once. It is for tests: models run the code of the control plane itself and say which of its promises a step broke.
//
// States are told apart by a 64-bit fingerprint. Two different states of which one is taken for the other are possible,
// at a chance of about n*n/2^65 for n states: one in a million for five million.
package modelcheck

import (
	"fmt"
	"strings"
)

// Model is what is searched. A state is never changed once it was returned: Take makes another one.
type Model[State any, Action fmt.Stringer] struct {
	First State
	// Actions lists what can happen in a state.
	Actions func(State) []Action
	// Take returns the state after an action, or the promise that it broke.
	Take func(State, Action) (State, error)
	// Fingerprint is the same for two states that go on alike.
	Fingerprint func(State) uint64
}

// Bounds end a search early. Zero: no bound.
type Bounds struct {
	States int
	Depth  int
}

// Result is what was searched and found.
type Result[Action fmt.Stringer] struct {
	States int  // that differ
	Steps  int  // that were taken
	Depth  int  // of the deepest state
	Whole  bool // no state within the model was left out
	// Violation is the first broken promise, and Trace the shortest way to it.
	Violation error
	Trace     []Action
}

// String tells the counts and, if there is one, the finding.
func (result Result[Action]) String() string {
	counts := fmt.Sprintf("%d states, %d steps, depth %d, whole %t", result.States, result.Steps, result.Depth, result.Whole)
	if result.Violation == nil {
		return counts
	}
	names := make([]string, 0, len(result.Trace))
	for _, action := range result.Trace {
		names = append(names, action.String())
	}
	return fmt.Sprintf("%s: %v, after %d steps: %s", counts, result.Violation, len(names), strings.Join(names, "; "))
}

// origin is how a state was come to.
type origin[Action fmt.Stringer] struct {
	from   int32
	action Action
}

// open is a state whose actions were not taken yet.
type open[State any] struct {
	state State
	at    int32
}

// search is a search under way.
type search[State any, Action fmt.Stringer] struct {
	model   Model[State, Action]
	bounds  Bounds
	seen    map[uint64]struct{}
	origins []origin[Action]
	result  Result[Action]
}

// Run searches a model until the first violation, a bound, or its end.
func Run[State any, Action fmt.Stringer](model Model[State, Action], bounds Bounds) Result[Action] {
	search := search[State, Action]{model: model, bounds: bounds, seen: map[uint64]struct{}{}}
	search.seen[model.Fingerprint(model.First)] = struct{}{}
	search.origins = []origin[Action]{{from: -1}}
	search.result.States = 1
	level := []open[State]{{state: model.First}}
	for len(level) > 0 && (bounds.Depth == 0 || search.result.Depth < bounds.Depth) {
		next, goOn := search.expand(level)
		if !goOn {
			return search.result
		}
		level = next
		if len(level) > 0 {
			search.result.Depth++
		}
	}
	search.result.Whole = len(level) == 0
	return search.result
}

// expand takes all actions of the states of one depth. It returns those of the next, and false once the search is over.
func (search *search[State, Action]) expand(level []open[State]) ([]open[State], bool) {
	var next []open[State]
	for position, current := range level {
		level[position] = open[State]{} // its memory is needed no more
		for _, action := range search.model.Actions(current.state) {
			search.result.Steps++
			state, violation := search.model.Take(current.state, action)
			if violation != nil {
				search.result.Violation = violation
				search.result.Trace = search.trace(current.at, action)
				return nil, false
			}
			fingerprint := search.model.Fingerprint(state)
			if _, known := search.seen[fingerprint]; known {
				continue
			}
			search.seen[fingerprint] = struct{}{}
			search.origins = append(search.origins, origin[Action]{from: current.at, action: action})
			next = append(next, open[State]{state: state, at: int32(len(search.origins) - 1)})
			search.result.States++
			if search.bounds.States > 0 && search.result.States >= search.bounds.States {
				return nil, false
			}
		}
	}
	return next, true
}

// trace returns the actions that led to a state, and a last one.
func (search *search[State, Action]) trace(at int32, last Action) []Action {
	reversed := []Action{last}
	for ; search.origins[at].from >= 0; at = search.origins[at].from {
		reversed = append(reversed, search.origins[at].action)
	}
	trace := make([]Action, 0, len(reversed))
	for position := len(reversed) - 1; position >= 0; position-- {
		trace = append(trace, reversed[position])
	}
	return trace
}

// Replay takes the actions of a trace once more and returns the promise that the last of them broke, or nil.
func Replay[State any, Action fmt.Stringer](model Model[State, Action], trace []Action) error {
	state := model.First
	for _, action := range trace {
		next, violation := model.Take(state, action)
		if violation != nil {
			return violation
		}
		state = next
	}
	return nil
}
