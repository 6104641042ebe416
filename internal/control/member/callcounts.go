package member

import (
	"cmp"
	"slices"
	"sync"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/status"
)

// callCounts counts applications' calls by kind and outcome. The zero value is ready to use.
type callCounts struct {
	mu     sync.Mutex
	counts map[callOutcome]uint64
}

type callOutcome struct {
	kind   coordination.Kind
	status coordination.Status
}

func (c *callCounts) add(kind coordination.Kind, status coordination.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[callOutcome]uint64{}
	}
	c.counts[callOutcome{kind, status}]++
}

// report lists the counts by kind and outcome.
func (c *callCounts) report() []status.Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	var outcomes []callOutcome
	for outcome := range c.counts {
		outcomes = append(outcomes, outcome)
	}
	slices.SortFunc(outcomes, func(a, b callOutcome) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.status, b.status))
	})
	calls := make([]status.Calls, 0, len(outcomes))
	for _, outcome := range outcomes {
		calls = append(calls, status.Calls{Kind: outcome.kind.String(), Outcome: outcome.status.String(), Count: c.counts[outcome]})
	}
	return calls
}
