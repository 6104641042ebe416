package siting

import (
	"maps"

	"sumacloft/internal/decide/sites"
)

// Verdicts returns the shared verdicts on sites and the operators' orders as this router last read them, or nil without a
// plan.
func (a *Agent) Verdicts() (verdicts map[string]sites.Verdict, orders map[string]sites.Orders) {
	if !a.planned.Load() {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.decision != nil {
		verdicts = maps.Clone(a.decision.Sites)
	}
	return verdicts, a.orders
}
