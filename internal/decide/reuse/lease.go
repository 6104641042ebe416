package reuse

import (
	"encoding/json"
	"fmt"
	"math"
)

// Phase is where a copy stands.
type Phase string

// The phases of a copy. One that is released stands in no state any more.
const (
	Ordered Phase = "ordered" // it is on its way: nothing is sent there for its sake
	Present Phase = "here"    // requests may go there for it
)

// Copy is a prefix that is held in a further region, under a lease.
type Copy struct {
	ID          int64   `json:"id"` // of the order, never used again
	Prefix      Key     `json:"prefix"`
	Tokens      int     `json:"tokens"`
	From        string  `json:"from"` // empty for a prefix that its region holds of its own: nothing is sent
	To          string  `json:"to"`
	Server      string  `json:"server"` // the one that holds it
	Boot        string  `json:"boot"`   // and its process
	Phase       Phase   `json:"phase"`
	LeftMs      float64 `json:"left_ms"` // of its lease, or of the time it may be on its way
	AgeMs       float64 `json:"age_ms"`
	DrainServer string  `json:"leaves,omitempty"` // the server that is about to be let out and for whose sake it was ordered
	Used        bool    `json:"used,omitempty"`   // a request found it
}

// extendLease extends a lease for a use some time ago: to two thirds of a whole one from then, never to less than it has.
func (c *Copy) extendLease(leaseMs, agoMs float64) { c.LeftMs = max(c.LeftMs, leaseMs*2/3-agoMs) }

// reasonNoBenefit is why a copy ends that its region keeps as well without a lease, or that pushes out more than it saves.
const reasonNoBenefit = "a lease does not pay there"

// reasonCrowded is why a copy ends where others are worth more.
const reasonCrowded = "others are worth more there"

// reasonUnused is why a copy ends whose lease nobody extends.
const reasonUnused = "it is not used"

// endReason tells why a copy is not to be believed in any more, or "".
func (c *Copy) endReason(servers map[string]Server, conditions map[string]Condition, broken Fault) string {
	s, known := servers[c.Server]
	condition := conditions[c.To]
	switch {
	case broken == BelievesAfterRestart && known && s.Boot != c.Boot:
	case !known:
		return "its server left"
	case s.Boot != c.Boot:
		return "its server started again"
	case s.Draining:
		return "its server drains"
	}
	switch {
	case condition == Lost:
		return "its region is lost"
	case c.Phase == Ordered && condition != Up && condition != "":
		return "its region is " + string(condition)
	case c.Phase == Ordered && conditions[c.From] == Lost:
		return "where it was to come from is lost"
	case c.LeftMs <= 0 && c.Phase == Ordered:
		return "it did not arrive in time"
	case c.LeftMs <= 0:
		return reasonUnused
	}
	return ""
}

// State is what the fleet has agreed on. It has at most MaxBytes in JSON.
type State struct {
	Seq       int64                         `json:"seq"`
	By        string                        `json:"by"`
	LastOrder int64                         `json:"orders"` // the highest ID that was given
	Copies    []Copy                        `json:"copies,omitempty"`
	Cooldowns []Cooldown                    `json:"rests,omitempty"`
	Spill     map[string]map[string]float64 `json:"spill,omitempty"` // how uses in one region compare with those in another
	Notes     []Note                        `json:"notes,omitempty"` // of the last decisions
	// Drains are the servers that are about to be let out, or are.
	Drains    map[string]DrainState `json:"leaving,omitempty"`
	Hindsight Hindsight             `json:"hindsight,omitzero"`
	// Version is of the policy that it was decided under: who follows an older one writes nothing over it.
	Version int64 `json:"version,omitempty"`
	Rev     int64 `json:"-"`
}

// Cooldown keeps a prefix from being copied into a region again for a while.
type Cooldown struct {
	Prefix Key     `json:"prefix"`
	To     string  `json:"to"`
	LeftMs float64 `json:"left_ms"`
	// Pending tells that the release is not settled in hindsight, SinceMs for how long it has been one.
	Pending bool    `json:"asked,omitempty"`
	SinceMs float64 `json:"since_ms,omitempty"`
}

// Note tells of one decision.
type Note struct {
	ID   int64  `json:"id"`
	What string `json:"what"` // "copy", "here" or "release"
	Why  string `json:"why"`
}

// RecordError is a state or a report in the store that cannot be read.
type RecordError struct {
	Field string
	Says  string
	Err   error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("record of copies: %s: %v", e.Says, e.Err)
	}
	return fmt.Sprintf("record of copies: %s: %s", e.Field, e.Says)
}

// Unwrap gives what was found by the decoder.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (e *RecordError) Advice() string {
	return "delete the record: copies are then forgotten, and made again where they pay"
}

// Decode reads a state, whatever bytes are there; its errors are *RecordError.
func Decode(b []byte) (*State, error) {
	if len(b) > MaxBytes {
		return nil, &RecordError{Field: "all of it", Says: fmt.Sprintf("%d bytes, at most %d", len(b), MaxBytes)}
	}
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, &RecordError{Says: "it is no JSON of a state", Err: err}
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check tells what of a state cannot be used, as a *RecordError.
func (s *State) Check() error {
	invalid := func(field, format string, args ...any) error {
		return &RecordError{Field: field, Says: fmt.Sprintf(format, args...)}
	}
	if len(s.Copies) > MaxCopies || len(s.Cooldowns) > maxCooldowns || len(s.Notes) > maxNotes || len(s.Spill) > MaxRegions {
		return invalid("its lists", "%d copies, %d rests, %d notes, %d regions are too many", len(s.Copies), len(s.Cooldowns), len(s.Notes), len(s.Spill))
	}
	if s.Seq < 0 || s.LastOrder < 0 {
		return invalid("seq", "%d with %d orders", s.Seq, s.LastOrder)
	}
	if err := s.checkDrains(); err != nil {
		return err
	}
	ids := map[int64]bool{}
	for i, c := range s.Copies {
		field := fmt.Sprintf("copies[%d]", i)
		switch {
		case c.ID <= 0 || c.ID > s.LastOrder || ids[c.ID]:
			return invalid(field, "id %d is none of %d orders, or is there twice", c.ID, s.LastOrder)
		case c.Phase != Ordered && c.Phase != Present:
			return invalid(field, "phase %q", c.Phase)
		case c.Tokens <= 0 || c.To == "" || c.Server == "" || c.From == c.To && c.DrainServer == "" || len(c.DrainServer) > maxName:
			return invalid(field, "%d tokens from %q to %q at %q", c.Tokens, c.From, c.To, c.Server)
		case !validDuration(c.LeftMs) || !validDuration(c.AgeMs):
			return invalid(field, "durations %g and %g", c.LeftMs, c.AgeMs)
		}
		ids[c.ID] = true
	}
	for i, r := range s.Cooldowns {
		if !validDuration(r.LeftMs) || !validDuration(r.SinceMs) || r.To == "" {
			return invalid(fmt.Sprintf("rests[%d]", i), "%g ms at %q", r.LeftMs, r.To)
		}
	}
	for from, row := range s.Spill {
		for to, v := range row {
			if len(row) > MaxRegions || !(v >= 0 && v <= maxSpill) {
				return invalid("spill", "%g from %q to %q", v, from, to)
			}
		}
	}
	return nil
}

// validDuration tells whether a figure is a duration that a state may carry; one that has just ended may be a little below 0.
func validDuration(ms float64) bool { return ms > -3_600_000 && ms < math.MaxInt32 }
