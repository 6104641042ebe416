package reuse

import "fmt"

// Auditor looks at every state that was ever written, in order, and names what breaks a rule.
type Auditor struct {
	Model   Model
	Regions map[string]string // of servers; one that is not named is not looked at
	Never   func(k Key) bool  // prefixes that must not be copied; nil: none

	Faults                   []string
	States                   int
	Ordered, Here, Released  int
	Most                     int // copies at once
	last                     *State
	phases                   map[int64]Phase
	ended                    map[int64]bool
	MostOrders, MostOfPrefix int
}

func (a *Auditor) fault(s *State, format string, args ...any) {
	a.Faults = append(a.Faults, fmt.Sprintf("state %d by %s: ", s.Seq, s.By)+fmt.Sprintf(format, args...))
}

// Take looks at the next state.
func (a *Auditor) Take(s *State) {
	m := a.Model.Filled()
	if a.phases == nil {
		a.phases, a.ended = map[int64]Phase{}, map[int64]bool{}
	}
	a.States++
	if a.last != nil && s.Seq != a.last.Seq+1 {
		a.fault(s, "it follows state %d by %s", a.last.Seq, a.last.By)
	}
	if a.last != nil && s.Version < a.last.Version {
		a.fault(s, "it is decided under version %d of the policy after one under %d", s.Version, a.last.Version)
	}
	if a.last != nil && s.Orders < a.last.Orders {
		a.fault(s, "orders go back from %d to %d", a.last.Orders, s.Orders)
	}
	tokensByRegion, copiesByPrefix, ordered, present := map[string]float64{}, map[Key]int{}, 0, map[int64]bool{}
	for _, c := range s.Copies {
		present[c.ID] = true
		tokensByRegion[c.To] += float64(c.Tokens)
		copiesByPrefix[c.Prefix]++
		a.copied(s, m, c)
		if c.Phase == Ordered {
			ordered++
		}
	}
	for id := range a.phases {
		if !present[id] {
			delete(a.phases, id)
			a.ended[id] = true
			a.Released++
		}
	}
	for _, r := range m.Regions {
		if tokensByRegion[r.Name] > m.Share*r.Memory {
			a.fault(s, "copies take %.0f tokens of %s, %.0f at most", tokensByRegion[r.Name], r.Name, m.Share*r.Memory)
		}
	}
	for k, n := range copiesByPrefix {
		if a.MostOfPrefix = max(a.MostOfPrefix, n); n > m.Copies {
			a.fault(s, "%d copies of %016x, %d at most", n, uint64(k), m.Copies)
		}
	}
	if ordered > m.Orders {
		a.fault(s, "%d orders under way, %d at most", ordered, m.Orders)
	}
	if len(s.Leaving) > MaxLeaving {
		a.fault(s, "%d servers leave, %d at most", len(s.Leaving), MaxLeaving)
	}
	a.Most, a.MostOrders = max(a.Most, len(s.Copies)), max(a.MostOrders, ordered)
	a.hindsight(s)
	a.last = s
}

// copied looks at one copy of a state.
func (a *Auditor) copied(s *State, m Model, c Copy) {
	previous, known := a.phases[c.ID]
	switch {
	case a.ended[c.ID]:
		a.fault(s, "copy %d stands again", c.ID)
	case !known && c.Phase != Ordered:
		a.fault(s, "copy %d is there and was never ordered", c.ID)
	case known && previous == Here && c.Phase != Here:
		a.fault(s, "copy %d was there and is on its way", c.ID)
	}
	_, atDraining := s.Leaving[c.Server]
	_, forDraining := s.Leaving[c.Leaves]
	switch {
	case atDraining && c.Phase == Ordered:
		a.fault(s, "copy %d is on its way to %s, which is let out", c.ID, c.Server)
	case c.From == c.To && c.Leaves == "":
		a.fault(s, "copy %d stays in %s, and nobody leaves there", c.ID, c.To)
	case !known && c.Leaves != "" && !forDraining:
		a.fault(s, "copy %d is ordered for the sake of %s, which does not leave", c.ID, c.Leaves)
	}
	if !known {
		a.Ordered++
	}
	if c.Phase == Here && previous != Here {
		a.Here++
	}
	a.phases[c.ID] = c.Phase
	if r, named := a.Regions[c.Server]; named && r != c.To {
		a.fault(s, "copy %d to %s is at %s, a server of %s", c.ID, c.To, c.Server, r)
	}
	if c.LeftMs > m.LeaseMs && c.Phase == Here {
		a.fault(s, "copy %d has %.0f ms left of a lease of %.0f", c.ID, c.LeftMs, m.LeaseMs)
	}
	if a.Never != nil && a.Never(c.Prefix) && !known {
		a.fault(s, "copy %d is of %016x, which is not to be copied", c.ID, uint64(c.Prefix))
	}
}
