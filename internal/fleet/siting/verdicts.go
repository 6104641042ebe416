package siting

import (
	"maps"

	"sumacloft/internal/decide/sites"
)

// Verdicts is what is agreed on of sites, and what operators have ordered, as this router knows it; without a plan there is
// nothing.
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
