package core

import (
	"maps"

	"sumacloft/brain"
)

// LastCall and the end of an attempt end requests that the module has not decided.
const whyUndecided brain.Why = "the router ended it: a fault, its last call, or no further attempt was allowed"

// Decisions counts the final answers that were no success, by reason. The module's decisions are counted as it gives them.
type Decisions struct {
	Refused map[brain.Why]uint64 // trying again is harmless
	Failed  map[brain.Why]uint64 // nothing is promised
}

// Decisions are the counts since the core was made.
func (c *Core) Decisions() Decisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Decisions{Refused: maps.Clone(c.decisions.Refused), Failed: maps.Clone(c.decisions.Failed)}
}

// count notes a final answer. The lock is held.
func (c *Core) count(answer brain.Action) {
	switch a := answer.(type) {
	case brain.Refuse:
		c.decisions.Refused[a.Why]++
	case brain.Fail:
		c.decisions.Failed[a.Why]++
	}
}
