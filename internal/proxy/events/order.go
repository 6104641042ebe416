package events

import "errors"

// Why a further run can't be joined to what was passed on.
var (
	errNoID = errors.New("an event without an id that is a number")
	errGap  = errors.New("an event is missing")
)

// Sequence follows the ids of an answer's events, over the first run and those that go on with it. Its zero value is that of
// an answer that has not begun.
type Sequence struct {
	lastPassed uint64 // id of the last event that was passed on
	started    bool
	unordered  bool // the ids of the first run are not consecutive numbers: no run can be joined to it

	resumedLast    uint64 // id of the last event of the further run
	resumedStarted bool   // the further run has begun
}

// AddFirst notes an event of the first run, which is passed on whatever its id.
func (s *Sequence) AddFirst(event Event) {
	if event.Filler {
		return
	}
	if !event.HasID || (s.started && event.ID != s.lastPassed+1) {
		s.unordered = true
	}
	s.lastPassed, s.started = event.ID, true
}

// Last is the id of the last event that was passed on; false where no run can go on behind it.
func (s *Sequence) Last() (id uint64, ok bool) { return s.lastPassed, s.started && !s.unordered }

// Resume begins a further run.
func (s *Sequence) Resume() { s.resumedLast, s.resumedStarted = 0, false }

// AddResumed tells whether an event of the further run is to be passed on: not if one with its id was. An error says that the
// run can't be joined.
func (s *Sequence) AddResumed(event Event) (pass bool, err error) {
	if event.Filler {
		return true, nil
	}
	if !event.HasID {
		return false, errNoID
	}
	if s.resumedStarted && event.ID != s.resumedLast+1 || event.ID > s.lastPassed+1 {
		return false, errGap
	}
	s.resumedLast, s.resumedStarted = event.ID, true
	if event.ID <= s.lastPassed {
		return false, nil
	}
	s.lastPassed = event.ID
	return true, nil
}

// CaughtUp tells whether the further run has come as far as what was passed on.
func (s *Sequence) CaughtUp() bool { return s.resumedStarted && s.resumedLast == s.lastPassed }
