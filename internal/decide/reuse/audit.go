package reuse

import "fmt"

// Auditor looks at every state that was ever written, in order, and names what breaks a rule.
type Auditor struct {
	Model     Model
	Regions   map[string]string // of servers; one that is not named is not looked at
	Forbidden func(k Key) bool  // prefixes that must not be copied; nil: none

	Violations                                   []string
	States                                       int
	OrderedCopies, ArrivedCopies, ReleasedCopies int
	MaxCopies                                    int // copies at once
	last                                         *State
	phases                                       map[int64]Phase
	ended                                        map[int64]bool
	MaxOrders, MaxCopiesPerPrefix                int
}

func (a *Auditor) addViolation(s *State, format string, args ...any) {
	a.Violations = append(a.Violations, fmt.Sprintf("state %d by %s: ", s.Seq, s.By)+fmt.Sprintf(format, args...))
}

// Observe looks at the next state.
func (a *Auditor) Observe(s *State) {
	m := a.Model.Filled()
	if a.phases == nil {
		a.phases, a.ended = map[int64]Phase{}, map[int64]bool{}
	}
	a.States++
	if a.last != nil && s.Seq != a.last.Seq+1 {
		a.addViolation(s, "it follows state %d by %s", a.last.Seq, a.last.By)
	}
	if a.last != nil && s.Version < a.last.Version {
		a.addViolation(s, "it is decided under version %d of the policy after one under %d", s.Version, a.last.Version)
	}
	if a.last != nil && s.LastOrder < a.last.LastOrder {
		a.addViolation(s, "orders go back from %d to %d", a.last.LastOrder, s.LastOrder)
	}
	tokensByRegion, copiesByPrefix, ordered, present := map[string]float64{}, map[Key]int{}, 0, map[int64]bool{}
	for _, c := range s.Copies {
		present[c.ID] = true
		tokensByRegion[c.To] += float64(c.Tokens)
		copiesByPrefix[c.Prefix]++
		a.checkCopy(s, m, c)
		if c.Phase == Ordered {
			ordered++
		}
	}
	for id := range a.phases {
		if !present[id] {
			delete(a.phases, id)
			a.ended[id] = true
			a.ReleasedCopies++
		}
	}
	for _, r := range m.Regions {
		if tokensByRegion[r.Name] > m.Share*r.Memory {
			a.addViolation(s, "copies take %.0f tokens of %s, %.0f at most", tokensByRegion[r.Name], r.Name, m.Share*r.Memory)
		}
	}
	for k, n := range copiesByPrefix {
		if a.MaxCopiesPerPrefix = max(a.MaxCopiesPerPrefix, n); n > m.Copies {
			a.addViolation(s, "%d copies of %016x, %d at most", n, uint64(k), m.Copies)
		}
	}
	if ordered > m.Orders {
		a.addViolation(s, "%d orders under way, %d at most", ordered, m.Orders)
	}
	if len(s.Drains) > MaxDrains {
		a.addViolation(s, "%d servers leave, %d at most", len(s.Drains), MaxDrains)
	}
	a.MaxCopies, a.MaxOrders = max(a.MaxCopies, len(s.Copies)), max(a.MaxOrders, ordered)
	a.checkHindsight(s)
	a.last = s
}

// checkCopy looks at one copy of a state.
func (a *Auditor) checkCopy(s *State, m Model, c Copy) {
	previous, known := a.phases[c.ID]
	switch {
	case a.ended[c.ID]:
		a.addViolation(s, "copy %d stands again", c.ID)
	case !known && c.Phase != Ordered:
		a.addViolation(s, "copy %d is there and was never ordered", c.ID)
	case known && previous == Present && c.Phase != Present:
		a.addViolation(s, "copy %d was there and is on its way", c.ID)
	}
	_, atDraining := s.Drains[c.Server]
	_, forDraining := s.Drains[c.DrainServer]
	switch {
	case atDraining && c.Phase == Ordered:
		a.addViolation(s, "copy %d is on its way to %s, which is let out", c.ID, c.Server)
	case c.From == c.To && c.DrainServer == "":
		a.addViolation(s, "copy %d stays in %s, and nobody leaves there", c.ID, c.To)
	case !known && c.DrainServer != "" && !forDraining:
		a.addViolation(s, "copy %d is ordered for the sake of %s, which does not leave", c.ID, c.DrainServer)
	}
	if !known {
		a.OrderedCopies++
	}
	if c.Phase == Present && previous != Present {
		a.ArrivedCopies++
	}
	a.phases[c.ID] = c.Phase
	if r, named := a.Regions[c.Server]; named && r != c.To {
		a.addViolation(s, "copy %d to %s is at %s, a server of %s", c.ID, c.To, c.Server, r)
	}
	if c.LeftMs > m.LeaseMs && c.Phase == Present {
		a.addViolation(s, "copy %d has %.0f ms left of a lease of %.0f", c.ID, c.LeftMs, m.LeaseMs)
	}
	if a.Forbidden != nil && a.Forbidden(c.Prefix) && !known {
		a.addViolation(s, "copy %d is of %016x, which is not to be copied", c.ID, uint64(c.Prefix))
	}
}
