package outage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Leaving is a server that would get a permit now, and waits until its KV cache has been copied.
type Leaving struct {
	Turn   int64   `json:"turn"`    // Seq of the state that put it here; reports about an earlier turn do not apply
	WaitMs float64 `json:"wait_ms"` // since Turn
	Site   string  `json:"site,omitempty"`
	Role   string  `json:"role,omitempty"`
}

// reasonCopying is the reason to wait for a server whose KV cache is being copied.
const reasonCopying = "copies of what it holds are made first"

// readyForPermit reports whether a member that the budget allows to go out gets its permit now. A server is listed as
// leaving first. It stays there until the copy decider reports that no copy worth making remains, for at most
// copy_wait_ms. There is no wait for a lost server, or in a fleet that makes no copies.
func (d *draft) readyForPermit(member string) bool {
	kind, n := Split(member)
	_, lost := d.Lost[member]
	entry, leaving := d.Leaving[member]
	if end := d.copyWaitEnd(n, entry, leaving); kind != Server || d.model.CopyWaitMs <= 0 || !d.fleet.copies || lost || end != "" {
		if leaving {
			delete(d.Leaving, member)
			d.note("%s: %s", member, cmp.Or(end, "no copies are waited for"))
		}
		return true
	}
	if !leaving {
		s := d.fleet.servers[n]
		d.Leaving[member] = Leaving{Turn: d.Seq, Site: s.Site, Role: s.Role}
		d.note("%s has its turn: %s", member, reasonCopying)
	}
	d.copyWaiters[member] = true
	return false
}

// copyWaitEnd returns why a server's wait for copies has ended, or "" if it has not.
func (d *draft) copyWaitEnd(server string, entry Leaving, leaving bool) string {
	switch {
	case !leaving || d.broken == WaitsForever:
	case entry.WaitMs >= d.model.CopyWaitMs:
		return "its wait for copies is over"
	case d.view.CopiesDone[server] >= entry.Turn:
		return "nothing that pays is to be copied from it any more"
	}
	return ""
}

// dropStaleLeaving ends the waits of servers that are no longer next: their request was withdrawn or granted, the
// release was halted, or losses used up the budget.
func (d *draft) dropStaleLeaving() {
	for _, member := range slices.Sorted(maps.Keys(d.Leaving)) {
		if !d.copyWaiters[member] {
			delete(d.Leaving, member)
			d.note("%s does not have its turn any more", member)
		}
	}
}

// reserves reports whether a leaving member reserves its place in the budget against another one. If both are leaving,
// the one examined first in this step does.
func (d *draft) reserves(member, other string) bool {
	_, leaving := d.Leaving[member]
	_, otherLeaving := d.Leaving[other]
	return leaving && member != other && (!otherLeaving || d.copyWaiters[member])
}

// reservedCount counts the matching members that reserve a place in the budget against another one.
func (d *draft) reservedCount(other string, match func(k Kind, site, role string) bool) (n int) {
	for member, l := range d.Leaving {
		if k, _ := Split(member); match(k, l.Site, l.Role) && d.reserves(member, other) {
			n++
		}
	}
	return n
}

// targetOrder returns the indices of the release's targets in the order in which they are considered: leaving ones
// first.
func (d *draft) targetOrder(r *Release) (order []int) {
	for _, wantLeaving := range []bool{true, false} {
		for i, t := range r.Targets {
			if _, leaving := d.Leaving[ID(r.Kind, t.Name)]; leaving == wantLeaving {
				order = append(order, i)
			}
		}
	}
	return order
}

// CopyWaits measures, by the caller's clock, how long servers wait for copies. Check takes each new state, and Advance
// the time at any moment. It is independent of the deciders.
type CopyWaits struct {
	LimitMs float64 // copy_wait_ms, plus the delay that a change of deciders may add
	// Faults describes waits that exceeded the limit or were restarted midway.
	Faults  []string
	started map[string]copyWait
}

type copyWait struct {
	turn     int64
	at       float64
	reported bool
}

// Check examines the state that is current from a time on, in milliseconds of any origin.
func (c *CopyWaits) Check(s *State, nowMs float64) {
	c.Advance(nowMs)
	if c.started == nil {
		c.started = map[string]copyWait{}
	}
	maps.DeleteFunc(c.started, func(member string, _ copyWait) bool { _, waiting := s.Leaving[member]; return !waiting })
	for member, l := range s.Leaving {
		wait, known := c.started[member]
		if !known {
			c.started[member] = copyWait{turn: l.Turn, at: nowMs}
		} else if wait.turn != l.Turn {
			c.Faults = append(c.Faults, fmt.Sprintf("seq %d: %s restarted its wait for copies", s.Seq, member))
		}
	}
}

// Advance checks how long servers have waited by a time.
func (c *CopyWaits) Advance(nowMs float64) {
	for _, member := range slices.Sorted(maps.Keys(c.started)) {
		if wait := c.started[member]; !wait.reported && nowMs-wait.at > c.LimitMs {
			wait.reported = true
			c.started[member] = wait
			c.Faults = append(c.Faults, fmt.Sprintf("%s waited for copies for %.0f ms, %.0f at most", member, nowMs-wait.at, c.LimitMs))
		}
	}
}
