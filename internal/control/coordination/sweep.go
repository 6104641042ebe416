package coordination

// Sweep drops what is old. A leader makes it from its own clock; it is checked when it is applied, as what it names may have
// changed meanwhile.
type Sweep struct {
	Lapsed []Lapsed `cbor:"1,keyasint,omitempty"`
	Trims  []Trim   `cbor:"2,keyasint,omitempty"`
}

// Lapsed is a holding whose time ran out long ago.
type Lapsed struct {
	Name     string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Trim forgets a group's events up to a revision.
type Trim struct {
	Scope string `cbor:"1,keyasint"`
	UpTo  uint64 `cbor:"2,keyasint"`
}

// Empty tells whether there is nothing to drop.
func (s Sweep) Empty() bool { return len(s.Lapsed) == 0 && len(s.Trims) == 0 }

// Encode returns the sweep as an entry of the log.
func (s Sweep) Encode() ([]byte, error) {
	return encode(command{Call: Call{Kind: sweepKind}, Sweep: &s})
}

func (s *State) sweep(sweep *Sweep) {
	if sweep == nil {
		return
	}
	for _, lapsed := range sweep.Lapsed {
		if held := s.locks[lapsed.Name]; held != nil && held.Sequence == lapsed.Sequence {
			delete(s.locks, lapsed.Name)
		}
	}
	for _, trim := range sweep.Trims {
		if group := s.cells[trim.Scope]; group != nil {
			s.drop(group, group.upTo(trim.UpTo))
		}
	}
}

// upTo counts the events up to a revision.
func (g *cellGroup) upTo(revision uint64) int {
	count := 0
	for count < len(g.Events) && g.Events[count].Revision <= revision {
		count++
	}
	return count
}
