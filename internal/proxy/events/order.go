package events

import "errors"

// Errors for which a resumed run can't continue the answer.
var (
	errNoID = errors.New("event has no numeric id")
	errGap  = errors.New("gap in the sequence of event ids")
)

// Sequence tracks the event ids of an answer over its first run and the runs that resume it. Its zero value is an
// answer without events.
type Sequence struct {
	lastPassed uint64 // id of the last event that was forwarded
	started    bool
	unordered  bool // the first run's ids are not consecutive numbers, so no run can resume it

	resumedLast    uint64 // id of the resumed run's last event
	resumedStarted bool   // the resumed run has sent an event
}

// AddFirst records an event of the first run, which is forwarded whatever its id is.
func (s *Sequence) AddFirst(event Event) {
	if event.Filler {
		return
	}
	if !event.HasID || (s.started && event.ID != s.lastPassed+1) {
		s.unordered = true
	}
	s.lastPassed, s.started = event.ID, true
}

// Last returns the id of the last forwarded event. It returns false if no run can resume after it.
func (s *Sequence) Last() (id uint64, ok bool) { return s.lastPassed, s.started && !s.unordered }

// Resume prepares for the events of another run.
func (s *Sequence) Resume() { s.resumedLast, s.resumedStarted = 0, false }

// AddResumed records an event of the resumed run and reports whether to forward it. An event whose id was already
// forwarded is skipped. An error means that the run can't continue the answer.
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

// CaughtUp reports whether the resumed run has reached the last forwarded event.
func (s *Sequence) CaughtUp() bool { return s.resumedStarted && s.resumedLast == s.lastPassed }
