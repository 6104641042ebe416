package core

import (
	"maps"

	"sumacloft/brain"
)

// reasonUndecided is the reason of requests that end without a decision of the scheduler.
const reasonUndecided brain.Reason = "the router ended it: a fault, its last call, or no further attempt was allowed"

// Decisions counts the unsuccessful final answers by reason, as clients get them, and the requests without an answer.
type Decisions struct {
	Abandoned uint64                  // the client left before its answer began
	Refused   map[brain.Reason]uint64 // a retry is harmless
	Failed    map[brain.Reason]uint64 // no promise: the request may have run
}

// Decisions returns the counts since the core was created.
func (c *Core) Decisions() Decisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Decisions{Abandoned: c.decisions.Abandoned, Refused: maps.Clone(c.decisions.Refused), Failed: maps.Clone(c.decisions.Failed)}
}

// count adds a final answer. The core's lock is held.
func (d *Decisions) count(answer brain.Action) {
	switch a := answer.(type) {
	case brain.Refuse:
		d.Refused[a.Reason]++
	case brain.Fail:
		d.Failed[a.Reason]++
	}
}
