package coordination

import (
	"math"
	"time"
)

const (
	// driftShare is the part of a holding's time that is added to it, for clocks that run at different rates: they may differ by
	// a sixty-fourth.
	driftShare = 64
	// lapseMargin is added as well.
	lapseMargin = 20 * time.Millisecond
	// sweepAfter is how long after its time a holding is dropped that nobody asked for.
	sweepAfter = 10 * time.Second
	// maxSwept bounds what one sweep names.
	maxSwept = 256
	// trimLeast is how many old events a group has before they are dropped: each sweep is an entry of the log.
	trimLeast = 64
)

// Ages are how long ago a member applied what its state holds, by its own steady clock. Nothing of them is told to others: a
// member counts in full from the moment at which it learned of something, which is never before its caller sent it.
type Ages struct {
	holdings map[string][]age // of each grant that may be the last to end, the newest first
	marks    map[string][]mark
	faults   Faults
}

// age is when a member applied a grant.
type age struct {
	sequence uint64
	since    time.Duration
}

// mark says that a group's events up to a revision were applied by a time.
type mark struct {
	revision uint64
	begun    time.Duration
	at       time.Duration
}

// trustedSilence is how long an owner says nothing before TrustSilence takes its last answer for received. Callers wait a
// second for an answer.
const trustedSilence = time.Second

// markInterval is what one mark covers at most.
const markInterval = time.Second

// NewAges returns the ages of an empty state.
func NewAges() *Ages { return NewBrokenAges(Faults{}) }

// NewBrokenAges returns the ages of an empty state that are broken on purpose.
func NewBrokenAges(faults Faults) *Ages {
	return &Ages{holdings: map[string][]age{}, marks: map[string][]mark{}, faults: faults}
}

// Note takes what a command did, at the time of its application.
func (a *Ages) Note(now time.Duration, state *State, outcome Outcome) {
	if outcome.Held != "" {
		if held, found := state.Holding(outcome.Held); found {
			a.follow(now, outcome.Held, held)
		}
	}
	if outcome.Put != "" {
		a.mark(now, outcome.Put, outcome.Revision)
	}
}

func (a *Ages) mark(now time.Duration, scope string, revision uint64) {
	marks := a.marks[scope]
	last := len(marks) - 1
	if last < 0 || now-marks[last].begun >= markInterval {
		a.marks[scope] = append(marks, mark{revision: revision, begun: now, at: now})
		return
	}
	marks[last].revision, marks[last].at = revision, now
}

// Restart counts all that a state holds from now on, in full.
func (a *Ages) Restart(now time.Duration, state *State) {
	*a = *NewBrokenAges(a.faults)
	state.Holdings(func(name string, held Holding) {
		a.follow(now, name, held)
	})
	for scope, group := range state.cells {
		a.marks[scope] = []mark{{revision: group.Revision, begun: now, at: now}}
	}
}

// Left is how much of a holding's time is left, by this member's clock; negative after its end.
func (a *Ages) Left(now time.Duration, name string, held Holding) time.Duration {
	ages := a.follow(now, name, held)
	if a.faults.TrustSilence && now-ages[0].since >= trustedSilence {
		held.Earlier = nil
	}
	place := 0
	left := time.Duration(math.MinInt64)
	held.Grants(func(grant Grant) {
		length := grant.Length()
		left = max(left, ages[place].since+length+length/driftShare+lapseMargin-now)
		place++
	})
	return left
}

// follow keeps the ages of the grants under a holding and returns them in the order of Holding.Grants. A grant that was not
// known before is counted from now on.
func (a *Ages) follow(now time.Duration, name string, held Holding) []age {
	known := a.holdings[name]
	if len(known) == 1 && len(held.Earlier) == 0 && known[0].sequence == held.Sequence {
		return known
	}
	ages := make([]age, 0, 1+len(held.Earlier))
	held.Grants(func(grant Grant) {
		current := age{sequence: grant.Sequence, since: now}
		for _, one := range known {
			if one.sequence == grant.Sequence {
				current = one
			}
		}
		ages = append(ages, current)
	})
	a.holdings[name] = ages
	return ages
}

// Lapsed is the sequence of a lock's holding by another than an owner whose time has run out. Held says that it has not.
func (a *Ages) Lapsed(now time.Duration, state *State, name, owner string) (sequence uint64, held bool) {
	holding, found := state.Holding(name)
	if !found || holding.Owner == owner {
		return 0, false
	}
	if a.Left(now, name, holding) > 0 {
		return 0, true
	}
	return holding.Sequence, false
}

// Sweep gives what a leader may have dropped: holdings long after their time and events older than the history.
func (a *Ages) Sweep(now time.Duration, state *State, history time.Duration) Sweep {
	var sweep Sweep
	state.Holdings(func(name string, held Holding) {
		if len(sweep.Lapsed) < maxSwept && a.Left(now, name, held) < -sweepAfter {
			sweep.Lapsed = append(sweep.Lapsed, Lapsed{Name: name, Sequence: held.Sequence})
		}
	})
	for name := range a.holdings {
		if _, found := state.Holding(name); !found {
			delete(a.holdings, name)
		}
	}
	for scope, marks := range a.marks {
		upTo := a.passed(now-history, scope, marks)
		group := state.cells[scope]
		if group != nil && len(sweep.Trims) < maxSwept && upTo >= group.Floor+trimLeast {
			sweep.Trims = append(sweep.Trims, Trim{Scope: scope, UpTo: upTo})
		}
	}
	return sweep
}

// passed is the revision up to which a group's events were applied before a time.
func (a *Ages) passed(before time.Duration, scope string, marks []mark) uint64 {
	passed := 0
	for passed < len(marks) && marks[passed].at < before {
		passed++
	}
	if passed == 0 {
		return 0
	}
	a.marks[scope] = marks[passed-1:] // the last one that has passed may be needed again
	return marks[passed-1].revision
}
