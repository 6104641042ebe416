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
func (d *draft) readyForPermit(member string) bool {
	kind, n := Split(member)
	_, lost := d.Lost[member]
	entry, named := d.Leaving[member]
	if end := d.copyWaitEnd(n, entry, named); kind != Server || d.model.CopyWaitMs <= 0 || !d.fleet.copies || lost || end != "" {
		if named {
			delete(d.Leaving, member)
			d.note("%s: %s", member, cmp.Or(end, "no copies are waited for"))
		}
		return true
	}
	if !named {
		s := d.fleet.servers[n]
		d.Leaving[member] = Leaving{Turn: d.Seq, Site: s.Site, Role: s.Role}
		d.note("%s has its turn: %s", member, reasonCopying)
	}
	d.copyWaiters[member] = true
	return false
}

// copyWaitEnd tells why a server's wait for copies is copyWaitEnd, or "".
func (d *draft) copyWaitEnd(server string, entry Leaving, named bool) string {
	switch {
	case !named || d.broken == WaitsForever:
	case entry.WaitMs >= d.model.CopyWaitMs:
		return "its wait for copies is over"
	case d.view.CopiesDone[server] >= entry.Turn:
		return "nothing that pays is to be copied from it any more"
	}
	return ""
}

// dropStaleLeaving ends the waits of those that do not have their turn any more: their wish was withdrawn or met, a release was halted, or
// losses have taken the room.
func (d *draft) dropStaleLeaving() {
	for _, member := range slices.Sorted(maps.Keys(d.Leaving)) {
		if !d.copyWaiters[member] {
			delete(d.Leaving, member)
			d.note("%s does not have its turn any more", member)
		}
	}
}

// reserves tells whether a thing's place in the budget is taken beside another that asks for one: it has its turn, and of two that have
// theirs the one that was looked at first.
func (d *draft) reserves(member, other string) bool {
	_, named := d.Leaving[member]
	_, otherNamed := d.Leaving[other]
	return named && member != other && (!otherNamed || d.copyWaiters[member])
}

// reservedCount counts those that keep their places beside a thing, of those that a test names.
func (d *draft) reservedCount(other string, match func(k Kind, site, role string) bool) (n int) {
	for member, l := range d.Leaving {
		if k, _ := Split(member); match(k, l.Site, l.Role) && d.reserves(member, other) {
			n++
		}
	}
	return n
}

// targetOrder are the places of a release's targets in the order in which they are looked at: first those that have their turn.
func (d *draft) targetOrder(r *Release) (order []int) {
	for _, hasTurn := range []bool{true, false} {
		for i, t := range r.Targets {
			if _, named := d.Leaving[ID(r.Kind, t.Name)]; named == hasTurn {
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
	maps.DeleteFunc(a.started, func(member string, _ copyWait) bool { _, still := s.Leaving[member]; return !still })
	for member, l := range s.Leaving {
		wait, known := a.started[member]
		if !known {
			a.started[member] = copyWait{turn: l.Turn, at: nowMs}
		} else if wait.turn != l.Turn {
			a.Faults = append(a.Faults, fmt.Sprintf("seq %d: %s has its turn anew while it has it", s.Seq, member))
		}
	}
}

// Advance looks at how long servers have waited by a time.
func (a *CopyWaits) Advance(nowMs float64) {
	for _, member := range slices.Sorted(maps.Keys(a.started)) {
		if wait := a.started[member]; !wait.reported && nowMs-wait.at > a.LimitMs {
			wait.reported = true
			a.started[member] = wait
			a.Faults = append(a.Faults, fmt.Sprintf("%s is held back for %.0f ms, %.0f at most", member, nowMs-wait.at, a.LimitMs))
		}
	}
}
