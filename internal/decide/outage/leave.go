package outage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Leaving is a server that has its turn and whose permit waits for copies of what it holds.
type Leaving struct {
	Turn   int64   `json:"turn"`    // Seq of the state that named it: what is said of an older turn is not about this one
	WaitMs float64 `json:"wait_ms"` // since then
	Site   string  `json:"site,omitempty"`
	Role   string  `json:"role,omitempty"`
}

// reasonCopying is why something waits that has its turn.
const reasonCopying = "copies of what it holds are made first"

// readyForPermit tells whether a thing that has its turn and for which there is room gets its permit now. A server is named as leaving
// first, until whoever decides on copies has said that nothing that pays is under way from it any more, or for copy_wait_ms. Who
// is lost already, or whose fleet makes no copies, is not waited for.
func (w *draft) readyForPermit(thing string) bool {
	kind, n := Split(thing)
	_, lost := w.Lost[thing]
	one, named := w.Leaving[thing]
	if over := w.copyWaitEnd(n, one, named); kind != Server || w.model.CopyWaitMs <= 0 || !w.fleet.copies || lost || over != "" {
		if named {
			delete(w.Leaving, thing)
			w.note("%s: %s", thing, cmp.Or(over, "no copies are waited for"))
		}
		return true
	}
	if !named {
		s := w.fleet.servers[n]
		w.Leaving[thing] = Leaving{Turn: w.Seq, Site: s.Site, Role: s.Role}
		w.note("%s has its turn: %s", thing, reasonCopying)
	}
	w.copyWaiters[thing] = true
	return false
}

// copyWaitEnd tells why a server's wait for copies is copyWaitEnd, or "".
func (w *draft) copyWaitEnd(server string, one Leaving, named bool) string {
	switch {
	case !named || w.broken == WaitsForever:
	case one.WaitMs >= w.model.CopyWaitMs:
		return "its wait for copies is over"
	case w.view.CopiesDone[server] >= one.Turn:
		return "nothing that pays is to be copied from it any more"
	}
	return ""
}

// dropStaleLeaving ends the waits of those that do not have their turn any more: their wish was withdrawn or met, a release was halted, or
// losses have taken the room.
func (w *draft) dropStaleLeaving() {
	for _, thing := range slices.Sorted(maps.Keys(w.Leaving)) {
		if !w.copyWaiters[thing] {
			delete(w.Leaving, thing)
			w.note("%s does not have its turn any more", thing)
		}
	}
}

// reserves tells whether a thing's place in the budget is taken beside another that asks for one: it has its turn, and of two that have
// theirs the one that was looked at first.
func (w *draft) reserves(thing, beside string) bool {
	_, named := w.Leaving[thing]
	_, both := w.Leaving[beside]
	return named && thing != beside && (!both || w.copyWaiters[thing])
}

// reservedCount counts those that keep their places beside a thing, of those that a test names.
func (w *draft) reservedCount(beside string, is func(k Kind, site, role string) bool) (n int) {
	for thing, l := range w.Leaving {
		if k, _ := Split(thing); is(k, l.Site, l.Role) && w.reserves(thing, beside) {
			n++
		}
	}
	return n
}

// targetOrder are the places of a release's targets in the order in which they are looked at: first those that have their turn.
func (w *draft) targetOrder(r *Release) (order []int) {
	for _, has := range []bool{true, false} {
		for i, t := range r.Targets {
			if _, named := w.Leaving[ID(r.Kind, t.Name)]; named == has {
				order = append(order, i)
			}
		}
	}
	return order
}

// CopyWaits follows, by a clock of whoever looks, for how long servers are held back for copies: Took is told of each state, Passed of
// the time at any moment. It asks no decider.
type CopyWaits struct {
	LimitMs float64 // copy_wait_ms, and what changes of deciders may add
	// Faults are the waits that were longer, and those that another began in the middle of.
	Faults  []string
	started map[string]copyWait
}

type copyWait struct {
	turn     int64
	at       float64
	reported bool
}

// Check looks at the state that stands from a time on, in milliseconds of any origin.
func (a *CopyWaits) Check(s *State, nowMs float64) {
	a.Advance(nowMs)
	if a.started == nil {
		a.started = map[string]copyWait{}
	}
	maps.DeleteFunc(a.started, func(thing string, _ copyWait) bool { _, still := s.Leaving[thing]; return !still })
	for thing, l := range s.Leaving {
		one, known := a.started[thing]
		if !known {
			a.started[thing] = copyWait{turn: l.Turn, at: nowMs}
		} else if one.turn != l.Turn {
			a.Faults = append(a.Faults, fmt.Sprintf("seq %d: %s has its turn anew while it has it", s.Seq, thing))
		}
	}
}

// Advance looks at how long servers have waited by a time.
func (a *CopyWaits) Advance(nowMs float64) {
	for _, thing := range slices.Sorted(maps.Keys(a.started)) {
		if one := a.started[thing]; !one.reported && nowMs-one.at > a.LimitMs {
			one.reported = true
			a.started[thing] = one
			a.Faults = append(a.Faults, fmt.Sprintf("%s is held back for %.0f ms, %.0f at most", thing, nowMs-one.at, a.LimitMs))
		}
	}
}
