package coordination

import (
	"slices"
	"time"
)

// Holding is one owner's hold on a lock. It goes on until its owner ends it, or until another asks for the lock after its
// time; how much of its time is left is known to each member by its own clock alone.
type Holding struct {
	Owner  string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
	HoldMS uint64 `cbor:"3,keyasint"`
	// Sequence is the index at which the holding was granted or last renewed.
	Sequence uint64 `cbor:"4,keyasint"`
	// Earlier are grants under this holding that may end later than the last one, oldest and longest first. If the answer to
	// the last one was lost, the owner still counts on them.
	Earlier []Grant `cbor:"5,keyasint,omitempty"`
}

// Grant is time that an owner was given under a holding.
type Grant struct {
	HoldMS   uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // index at which it was given
}

// Length is how long the grant lasts.
func (g Grant) Length() time.Duration { return time.Duration(g.HoldMS) * time.Millisecond }

// maxEarlierGrants bounds the earlier grants of a holding.
const maxEarlierGrants = 8

// Grants calls do with each grant under the holding that may be the last to end.
func (h Holding) Grants(do func(Grant)) {
	do(Grant{HoldMS: h.HoldMS, Sequence: h.Sequence})
	for _, earlier := range h.Earlier {
		do(earlier)
	}
}

// extend adds a grant. An earlier one that is not longer ends sooner and is dropped. If there are too many, the newest two of
// the earlier ones become one that is as long as the longer and as new as the newer.
func (h *Holding) extend(index, holdMS uint64) {
	var longer []Grant
	for _, earlier := range append(slices.Clone(h.Earlier), Grant{HoldMS: h.HoldMS, Sequence: h.Sequence}) {
		if earlier.HoldMS > holdMS {
			longer = append(longer, earlier)
		}
	}
	if last := len(longer) - 1; last >= maxEarlierGrants {
		longer[last-1].Sequence = longer[last].Sequence
		longer = longer[:last]
	}
	h.HoldMS, h.Sequence, h.Earlier = holdMS, index, longer
}

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
			held.extend(index, c.HoldMS)
			return Outcome{Answer: Answer{Status: Done, Fence: held.Fence}, Held: c.Name}
		}
	case c.Lapsed != 0 && (held.Sequence == c.Lapsed || s.faults.GrantLapsed):
	default:
		return Outcome{Answer: Answer{Status: Held}}
	}
	next := &Holding{Owner: c.Owner, Fence: index, HoldMS: c.HoldMS, Sequence: index}
	if held != nil && held.Owner == c.Owner && !s.faults.ShortenHolds {
		next.HoldMS, next.Sequence, next.Earlier = held.HoldMS, held.Sequence, held.Earlier
		next.extend(index, c.HoldMS)
	}
	if s.faults.FencePerLock {
		next.Fence = 1
		if held != nil {
			next.Fence = held.Fence + 1
		}
	}
	s.locks[c.Name] = next
	return Outcome{Answer: Answer{Status: Done, Fence: next.Fence}, Held: c.Name}
}

// beat renews a holding that nobody else has taken over, also after its time: until another asks it is still the owner's. It
// never ends a holding sooner than a grant before it did: the owner may not hear of the renewal.
func (s *State) beat(index uint64, c Call) Outcome {
	held := s.locks[c.Name]
	if held == nil || held.Owner != c.Owner || held.Fence != c.Fence {
		return Outcome{Answer: Answer{Status: Lost}}
	}
	held.extend(index, c.HoldMS)
	if s.faults.ShortenHolds {
		held.Earlier = nil
	}
	return Outcome{Answer: Answer{Status: Done}, Held: c.Name}
}

// finish ends a holding; one that has ended already is left alone.
func (s *State) finish(c Call) Outcome {
	if held := s.locks[c.Name]; held != nil && held.Owner == c.Owner && held.Fence == c.Fence {
		delete(s.locks, c.Name)
	}
	return Outcome{Answer: Answer{Status: Done}}
}
