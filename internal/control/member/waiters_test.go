package member

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// isWoken reports whether the watches of the group were woken.
func (w *watchGroup) isWoken() bool {
	select {
	case <-w.updated:
		return true
	default:
		return false
	}
}

func TestWatchesAreWokenByGroup(t *testing.T) {
	c := qt.New(t)
	w := newWaiters()
	// Given two watches of one group and one of another, when the first group is written, then only its two watches are woken.
	one, two, other := w.join("g."), w.join("g."), w.join("h.")
	w.wake("g.")
	c.Assert(one.isWoken() && two.isWoken(), qt.IsTrue)
	c.Assert(other.isWoken(), qt.IsFalse)
	// A watch that joins later waits for the next write, even when the earlier ones leave after it joined.
	next := w.join("g.")
	w.leave("g.", one)
	w.leave("g.", two)
	c.Assert(next.isWoken(), qt.IsFalse)
	w.wakeAll()
	c.Assert(next.isWoken() && other.isWoken(), qt.IsTrue)
}

func TestGroupsWithoutWatchesAreRemoved(t *testing.T) {
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
