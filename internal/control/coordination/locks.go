package coordination

import "time"

// Holding is one owner's hold on a lock. It goes on until its owner ends it, or until another asks for the lock after its
// time; how much of its time is left is known to each member by its own clock alone.
type Holding struct {
	Owner  string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
	HoldMS uint64 `cbor:"3,keyasint"`
	// Sequence is the index at which the holding was granted or last renewed.
	Sequence uint64 `cbor:"4,keyasint"`
}

// Length is how long it lasts from its last renewal on.
func (h Holding) Length() time.Duration { return time.Duration(h.HoldMS) * time.Millisecond }

// Holding gives the holding of a lock; false if it is free.
func (s *State) Holding(name string) (Holding, bool) {
	if held := s.locks[name]; held != nil {
		return *held, true
	}
	return Holding{}, false
}

// Holdings calls do with each lock that is held.
func (s *State) Holdings(do func(name string, held Holding)) {
	for name, held := range s.locks {
		do(name, *held)
	}
}

// start grants a lock that is free, that the owner has already, or whose holding has lapsed. The fence rises each time: a
// late call about an earlier holding of the same owner does not touch the later one.
func (s *State) start(index uint64, c command) Outcome {
	held := s.locks[c.Name]
	switch {
	case held == nil && len(s.locks) >= MaxLocks:
		return Outcome{Answer: Answer{Status: Full}}
	case held == nil:
	case held.Owner == c.Owner:
		if s.faults.KeepFence {
			held.HoldMS, held.Sequence = c.HoldMS, index
			return Outcome{Answer: Answer{Status: Done, Fence: held.Fence}, Held: c.Name}
		}
	case c.Lapsed != 0 && (held.Sequence == c.Lapsed || s.faults.GrantLapsed):
	default:
		return Outcome{Answer: Answer{Status: Held}}
	}
	next := &Holding{Owner: c.Owner, Fence: index, HoldMS: c.HoldMS, Sequence: index}
	if s.faults.FencePerLock {
		next.Fence = 1
		if held != nil {
			next.Fence = held.Fence + 1
		}
	}
	s.locks[c.Name] = next
	return Outcome{Answer: Answer{Status: Done, Fence: next.Fence}, Held: c.Name}
}

// beat renews a holding that nobody else has taken over, also after its time: until another asks it is still the owner's.
func (s *State) beat(index uint64, c Call) Outcome {
	held := s.locks[c.Name]
	if held == nil || held.Owner != c.Owner || held.Fence != c.Fence {
		return Outcome{Answer: Answer{Status: Lost}}
	}
	held.HoldMS, held.Sequence = c.HoldMS, index
	return Outcome{Answer: Answer{Status: Done}, Held: c.Name}
}

// finish ends a holding; one that has ended already is left alone.
func (s *State) finish(c Call) Outcome {
	if held := s.locks[c.Name]; held != nil && held.Owner == c.Owner && held.Fence == c.Fence {
		delete(s.locks, c.Name)
	}
	return Outcome{Answer: Answer{Status: Done}}
}
