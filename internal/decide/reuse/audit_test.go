package reuse

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// runAudited runs a fleet through flash crowds, scans, restarts and lost regions drawn from a seed and audits its states. corrupt may
// change a state before it is audited.
func runAudited(seed uint64, broken Fault, corrupt func(step int, s *State)) *Auditor {
	rng := rand.New(rand.NewPCG(seed, 3))
	f := newFleet(broken)
	f.model.LeaseMs, f.model.Copies, f.model.Orders = 20_000, 1, 3
	f.addLocalLinks()
	auditor := &Auditor{Model: f.model, Regions: map[string]string{}, Forbidden: func(k Key) bool { return k >= 1<<40 }}
	for _, s := range f.servers {
		auditor.Regions[s.ID] = s.Region
	}
	for step := range 150 {
		s := f.advance(func() {
			for range 12 {
				f.meters["abc"[step/40%3:step/40%3+1]].Use(Key(100+step/30*10+rng.IntN(8)), 2000, f.now)
			}
			switch rng.IntN(18) {
			case 0:
				f.servers[rng.IntN(len(f.servers))].Boot += "x"
			case 1:
				f.conditions["b"] = []Condition{Up, Lost, Held}[rng.IntN(3)]
			case 2, 3:
				f.drain(f.servers[rng.IntN(len(f.servers))].ID, 5000)
			case 4:
				f.drains = nil // drains are cancelled or ended
			}
		})
		if s != nil {
			if corrupt != nil {
				corrupt(step, s)
			}
			auditor.Observe(s)
		}
	}
	return auditor
}

// States written by the decider keep the rules, and the auditor detects a violation of each.
func TestAuditor(t *testing.T) {
	ordered := 0
	for seed := range uint64(6) {
		a := runAudited(seed, "", nil)
		if len(a.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, a.Violations[0])
		}
		ordered += a.OrderedCopies
	}
	if ordered < 30 {
		t.Errorf("only %d copies were ordered over all seeds", ordered)
	}
	onFirstCopy := func(change func(s *State, c *Copy)) func(int, *State) {
		return func(_ int, s *State) {
			if s.Copies = slices.Clone(s.Copies); len(s.Copies) > 0 {
				change(s, &s.Copies[0])
			}
		}
	}
	for want, corrupt := range map[string]func(int, *State){
		"follows state":                    func(step int, s *State) { s.Seq += int64(step % 2) },
		"was present and is ordered again": onFirstCopy(func(_ *State, c *Copy) { c.Phase = []Phase{Present, Ordered}[int(c.AgeMs/1000)%2] }),
		"a server of":                      onFirstCopy(func(_ *State, c *Copy) { c.Server = map[string]string{"a": "b1", "b": "c1", "c": "a1"}[c.To] }),
		"left of a lease":                  onFirstCopy(func(_ *State, c *Copy) { c.LeftMs = 30_000 }),
		"never ordered":                    onFirstCopy(func(s *State, c *Copy) { s.LastOrder++; c.ID, c.Phase = s.LastOrder, Present }),
		"copies take":                      onFirstCopy(func(_ *State, c *Copy) { c.Tokens = 1_000_000 }),
		"which must not be copied":         onFirstCopy(func(_ *State, c *Copy) { c.Prefix = 1 << 41 }),
		"version":                          func(step int, s *State) { s.Version = int64(step % 2) },
		"order goes back":                  func(step int, s *State) { s.LastOrder = int64(1000 - step) },
		"at most": onFirstCopy(func(s *State, c *Copy) {
			for range 3 {
				s.LastOrder++
				s.Copies = append(s.Copies, Copy{ID: s.LastOrder, Prefix: c.Prefix, Tokens: 1, To: "a", Phase: Ordered})
			}
		}),
	} {
		if a := runAudited(1, "", corrupt); !strings.Contains(strings.Join(a.Violations, "\n"), want) {
			t.Errorf("violation %q is not reported: %v", want, a.Violations[:min(len(a.Violations), 2)])
		}
	}
}
