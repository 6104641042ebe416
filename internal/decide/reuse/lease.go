package reuse

import (
	"encoding/json"
	"fmt"
	"math"
)

// Phase is the stage of a copy.
type Phase string

// The phases of a copy. A released copy is no longer in the state.
const (
	Ordered Phase = "ordered" // it is being copied; no requests are routed to it yet
	Present Phase = "here"    // requests may be routed to it
)

// Copy is a prefix that is held in an additional region under a lease.
type Copy struct {
	ID          int64   `json:"id"` // of the order, never reused
	Prefix      Key     `json:"prefix"`
	Tokens      int     `json:"tokens"`
	From        string  `json:"from"` // empty for a region's own prefix, for which nothing is sent
	To          string  `json:"to"`
	Server      string  `json:"server"` // the server that holds it
	Boot        string  `json:"boot"`   // the process of that server
	Phase       Phase   `json:"phase"`
	LeftMs      float64 `json:"left_ms"` // left of its lease, or of the time allowed for copying
	AgeMs       float64 `json:"age_ms"`
	DrainServer string  `json:"leaves,omitempty"` // the draining server for which it was ordered, if any
	Used        bool    `json:"used,omitempty"`   // at least one request found it
}

// extendLease extends the lease for a use that was agoMs ago: to two thirds of a full lease from the use on. It never shortens it.
func (c *Copy) extendLease(leaseMs, agoMs float64) { c.LeftMs = max(c.LeftMs, leaseMs*2/3-agoMs) }

// reasonNoBenefit ends a copy that its region keeps without a lease as well, or that displaces more than it saves.
const reasonNoBenefit = "a lease does not pay there"

// reasonCrowded ends a copy where others save more.
const reasonCrowded = "others are worth more there"

// reasonUnused ends a copy whose lease expired without a use.
const reasonUnused = "it is not used"

// endReason returns why a copy is no longer valid, or "".
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

// State is the replicated decision state of the fleet. It has at most MaxBytes in JSON.
type State struct {
	Seq       int64                         `json:"seq"`
	By        string                        `json:"by"`
	LastOrder int64                         `json:"orders"` // the highest ID assigned so far
	Copies    []Copy                        `json:"copies,omitempty"`
	Cooldowns []Cooldown                    `json:"rests,omitempty"`
	Spill     map[string]map[string]float64 `json:"spill,omitempty"` // ratio of uses in one region to those in another
	Notes     []Note                        `json:"notes,omitempty"` // on the last decisions
	// Drains are the servers that are drained or about to be.
	Drains    map[string]DrainState `json:"leaving,omitempty"`
	Hindsight Hindsight             `json:"hindsight,omitzero"`
	// Version is the policy version that the state was decided under. A decider with an older version does not overwrite it.
	Version int64 `json:"version,omitempty"`
	Rev     int64 `json:"-"`
}

// Cooldown keeps a released prefix from being copied into a region again for a while.
type Cooldown struct {
	Prefix Key     `json:"prefix"`
	To     string  `json:"to"`
	LeftMs float64 `json:"left_ms"`
	// Pending reports that the outcome of the release is not settled yet, SinceMs is the time since the release.
	Pending bool    `json:"asked,omitempty"`
	SinceMs float64 `json:"since_ms,omitempty"`
}

// Note records one decision and its reason.
type Note struct {
	ID   int64  `json:"id"`
	What string `json:"what"` // "copy", "here" or "release"
	Why  string `json:"why"`
}

// RecordError is a stored state or report that cannot be read.
type RecordError struct {
	Field string
	Says  string
	Err   error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("copies record: %s: %v", e.Says, e.Err)
	}
	return fmt.Sprintf("copies record: %s: %s", e.Field, e.Says)
}

// Unwrap returns the decoder's error.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice returns what an operator can do about the error.
func (e *RecordError) Advice() string {
	return "delete the record: its copies are dropped and made again where they pay"
}

// Decode reads a state from any bytes. Its errors are *RecordError.
func Decode(b []byte) (*State, error) {
	if len(b) > MaxBytes {
		return nil, &RecordError{Field: "whole record", Says: fmt.Sprintf("%d bytes, at most %d", len(b), MaxBytes)}
	}
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, &RecordError{Says: "not a state in JSON", Err: err}
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check validates a state. Its errors are *RecordError.
func (s *State) Check() error {
	invalid := func(field, format string, args ...any) error {
		return &RecordError{Field: field, Says: fmt.Sprintf(format, args...)}
	}
	if len(s.Copies) > MaxCopies || len(s.Cooldowns) > maxCooldowns || len(s.Notes) > maxNotes || len(s.Spill) > MaxRegions {
		return invalid("list sizes", "too many entries: %d copies, %d cool-downs, %d notes, %d regions",
			len(s.Copies), len(s.Cooldowns), len(s.Notes), len(s.Spill))
	}
	if s.Seq < 0 || s.LastOrder < 0 {
		return invalid("seq", "sequence number %d with last order %d, neither may be negative", s.Seq, s.LastOrder)
	}
	if err := s.checkDrains(); err != nil {
		return err
	}
	ids := map[int64]bool{}
	for i, c := range s.Copies {
		field := fmt.Sprintf("copies[%d]", i)
		switch {
		case c.ID <= 0 || c.ID > s.LastOrder || ids[c.ID]:
			return invalid(field, "id %d is not from 1 to the last order %d, or not unique", c.ID, s.LastOrder)
		case c.Phase != Ordered && c.Phase != Present:
			return invalid(field, "unknown phase %q", c.Phase)
		case c.Tokens <= 0 || c.To == "" || c.Server == "" || c.From == c.To && c.DrainServer == "" || len(c.DrainServer) > maxName:
			return invalid(field, "invalid copy of %d tokens from %q to %q at %q", c.Tokens, c.From, c.To, c.Server)
		case !validDuration(c.LeftMs) || !validDuration(c.AgeMs):
			return invalid(field, "durations of %g and %g ms out of range", c.LeftMs, c.AgeMs)
		}
		ids[c.ID] = true
	}
	for i, r := range s.Cooldowns {
		if !validDuration(r.LeftMs) || !validDuration(r.SinceMs) || r.To == "" {
			return invalid(fmt.Sprintf("rests[%d]", i), "invalid cool-down of %g ms in region %q", r.LeftMs, r.To)
		}
	}
	for from, row := range s.Spill {
		for to, v := range row {
			if len(row) > MaxRegions || !(v >= 0 && v <= maxSpill) {
				return invalid("spill", "invalid ratio %g from %q to %q", v, from, to)
			}
		}
	}
	return nil
}

// validDuration reports whether ms is a duration that a state may have. One that just ended may be a little below 0.
func validDuration(ms float64) bool { return ms > -3_600_000 && ms < math.MaxInt32 }
