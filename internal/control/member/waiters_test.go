package member

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// ended tells whether those who wait were woken.
func (w *waiting) ended() bool {
	select {
	case <-w.news:
		return true
	default:
		return false
	}
}

func TestWatchesWaitForTheirGroup(t *testing.T) {
	c := qt.New(t)
	w := newWaiters()
	// Given two watches of one group and one of another, when there is a put in the first, then its two are woken.
	one, two, other := w.join("g."), w.join("g."), w.join("h.")
	w.wake("g.")
	c.Assert(one.ended() && two.ended(), qt.IsTrue)
	c.Assert(other.ended(), qt.IsFalse)
	// A watch that joins meanwhile waits for the next put, whenever those before it leave.
	next := w.join("g.")
	w.leave("g.", one)
	w.leave("g.", two)
	c.Assert(next.ended(), qt.IsFalse)
	w.wakeAll()
	c.Assert(next.ended() && other.ended(), qt.IsTrue)
}

func TestGroupsThatNobodyWaitsForAreNotHeld(t *testing.T) {
	c := qt.New(t)
	w := newWaiters()
	one, two := w.join("g."), w.join("g.")
	w.leave("g.", one)
	c.Assert(w.groups, qt.HasLen, 1)
	w.leave("g.", two)
	c.Assert(w.groups, qt.HasLen, 0)
	woken := w.join("g.")
	w.wake("g.")
	w.leave("g.", woken)
	c.Assert(w.groups, qt.HasLen, 0)
}
