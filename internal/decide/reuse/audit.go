package reuse

import "fmt"

// Auditor checks every written state, in order, and records violations of the rules.
type Auditor struct {
	Model     Model
	Regions   map[string]string // by server; servers that are not listed are not checked
	Forbidden func(k Key) bool  // reports whether a prefix must not be copied; nil if all may be

	Violations                                   []string
	States                                       int
	OrderedCopies, ArrivedCopies, ReleasedCopies int
	MaxCopies                                    int // at the same time
	last                                         *State
	phases                                       map[int64]Phase
	ended                                        map[int64]bool
	MaxOrders, MaxCopiesPerPrefix                int
}

func (a *Auditor) addViolation(s *State, format string, args ...any) {
	a.Violations = append(a.Violations, fmt.Sprintf("state %d by %s: ", s.Seq, s.By)+fmt.Sprintf(format, args...))
}

// Observe checks the next state.
func (a *Auditor) Observe(s *State) {
	m := a.Model.WithDefaults()
	if a.phases == nil {
		a.phases, a.ended = map[int64]Phase{}, map[int64]bool{}
	}
	a.States++
	if a.last != nil && s.Seq != a.last.Seq+1 {
		a.addViolation(s, "follows state %d by %s, sequence numbers are not consecutive", a.last.Seq, a.last.By)
	}
	if a.last != nil && s.Version < a.last.Version {
		a.addViolation(s, "policy version %d is older than that of the previous state, %d", s.Version, a.last.Version)
	}
	if a.last != nil && s.LastOrder < a.last.LastOrder {
		a.addViolation(s, "last order goes back from %d to %d", a.last.LastOrder, s.LastOrder)
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
			a.addViolation(s, "copies take %.0f tokens in %s, at most %.0f allowed", tokensByRegion[r.Name], r.Name, m.Share*r.Memory)
		}
	}
	for k, n := range copiesByPrefix {
		if a.MaxCopiesPerPrefix = max(a.MaxCopiesPerPrefix, n); n > m.Copies {
			a.addViolation(s, "%d copies of prefix %016x, at most %d allowed", n, uint64(k), m.Copies)
		}
	}
	if ordered > m.Orders {
		a.addViolation(s, "%d orders under way, at most %d allowed", ordered, m.Orders)
	}
	if len(s.Drains) > MaxDrains {
		a.addViolation(s, "%d draining servers, at most %d allowed", len(s.Drains), MaxDrains)
	}
	a.MaxCopies, a.MaxOrders = max(a.MaxCopies, len(s.Copies)), max(a.MaxOrders, ordered)
	a.checkHindsight(s)
	a.last = s
}

// checkCopy checks one copy of a state.
func (a *Auditor) checkCopy(s *State, m Model, c Copy) {
	previous, known := a.phases[c.ID]
	switch {
	case a.ended[c.ID]:
		a.addViolation(s, "copy %d reappears after its release", c.ID)
	case !known && c.Phase != Ordered:
		a.addViolation(s, "copy %d is present but was never ordered", c.ID)
	case known && previous == Present && c.Phase != Present:
		a.addViolation(s, "copy %d was present and is ordered again", c.ID)
	}
	_, atDraining := s.Drains[c.Server]
	_, forDraining := s.Drains[c.DrainServer]
	switch {
	case atDraining && c.Phase == Ordered:
		a.addViolation(s, "copy %d is ordered to %s, which is draining", c.ID, c.Server)
	case c.From == c.To && c.DrainServer == "":
		a.addViolation(s, "copy %d within %s is not for a draining server", c.ID, c.To)
	case !known && c.DrainServer != "" && !forDraining:
		a.addViolation(s, "copy %d is ordered for the drain of %s, which is not draining", c.ID, c.DrainServer)
	}
	if !known {
		a.OrderedCopies++
	}
	if c.Phase == Present && previous != Present {
		a.ArrivedCopies++
	}
	a.phases[c.ID] = c.Phase
	if r, named := a.Regions[c.Server]; named && r != c.To {
		a.addViolation(s, "copy %d to %s is at %s, a server of region %s", c.ID, c.To, c.Server, r)
	}
	if c.LeftMs > m.LeaseMs && c.Phase == Present {
		a.addViolation(s, "copy %d has %.0f ms left of a lease of %.0f ms", c.ID, c.LeftMs, m.LeaseMs)
	}
	if a.Forbidden != nil && a.Forbidden(c.Prefix) && !known {
		a.addViolation(s, "copy %d is of prefix %016x, which must not be copied", c.ID, uint64(c.Prefix))
	}
}
