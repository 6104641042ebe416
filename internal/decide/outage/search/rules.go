package search

import (
	"fmt"
	"slices"

	"sumacloft/internal/decide/outage"
)

// checkTransition names the rules that a state breaks in the place of the one before it. The auditor's are those that hold of any
// history; here the truth is known besides.
func checkTransition(before, next *outage.State, w *world, majority labels) []string {
	a := outage.Auditor{Model: func(int64) (outage.Model, bool) { return model(w.lowered), true }} // in force as it is written
	a.StartFrom(before)
	a.Check(next)
	faults := a.Faults
	for j, member := range memberIDs {
		p, out := next.Permits[member]
		previous := before.Permits[member]
		// What was replaced already nobody stops for this permit.
		if out && p.Stage == outage.Acknowledged && p.Boot[0] == w.servers[j].boot && !p.Serve {
			faults = append(faults, w.sendersTo(member)...)
		}
		if ended := previous.ID != 0 && previous.ID != p.ID; ended && !previous.Serve && w.servers[j].boot == previous.Boot[0] {
			faults = append(faults, fmt.Sprintf("%s: permit %d ended, and it was never away", member, previous.ID))
		}
	}
	r := next.Release
	if r == nil || before.Release == nil || r.Phase == before.Release.Phase {
		return faults
	}
	if r.Phase == outage.RolledBack {
		faults = append(faults, w.checkRolledBack(majority)...)
	}
	return faults
}

// sendersTo names the routers that serve and send to a server that may be stopped.
func (w *world) sendersTo(member string) (faults []string) {
	for i, r := range w.routers {
		if r.up && r.registered && r.sends[member[len(member)-1]-'1'] {
			faults = append(faults, fmt.Sprintf("%s may be stopped and %s sends to it", member, routerNames[i]))
		}
	}
	return faults
}

// checkRolledBack looks at the end of a way back: each target is at its old label, or named with what holds it. What started with
// another label so late that most routers had not reported it as the decision was made, nobody could know.
func (w *world) checkRolledBack(majority labels) (faults []string) {
	for _, t := range w.state.Release.Targets {
		j := slices.Index(serverNames[:], t.Name)
		s := w.servers[j]
		switch {
		case t.State == outage.Blocked && t.Why != "":
		case t.State != outage.Reached:
			faults = append(faults, fmt.Sprintf("the way back is over and %s is %s", t.Name, t.State))
		case s.label() != t.From && majority[j] == s.label():
			faults = append(faults, fmt.Sprintf("the way back is over and %s has label %q", t.Name, s.label()))
		}
	}
	return faults
}

// majorityLabels gives the labels that majorityLabels of the registered routers that report have of servers.
func (w *world) majorityLabels() (out labels) {
	for j := range out {
		olds, news := 0, 0
		for _, r := range w.routers {
			switch {
			case !r.registered || r.report.boot != r.boot:
			case r.report.servers[j].newLabel:
				news++
			default:
				olds++
			}
		}
		if olds > news {
			out[j] = "old"
		} else if news > olds {
			out[j] = "new"
		}
	}
	return out
}

// checkRollback tells whether a way back from here comes to its end once all is mended: routers and servers up, the deployer at work.
func (w world) checkRollback(broken Fault) (faults []string) {
	for i := range w.routers {
		r := &w.routers[i]
		if !r.up {
			r.boot++
		}
		r.up, r.paused, r.registered = true, false, true
	}
	w.pending, w.failingRun, w.remaining = [Deciders]pendingWrite{}, "", Bounds{WrongLabels: 100}
	if next, err := w.state.RollBack("op"); err == nil && next != nil {
		w.state, w.rolledBack = next, true
	}
	if next, err := w.view().Resume("op"); err == nil && next != nil {
		w.state = next
	}
	for _, member := range memberIDs { // nothing stays out by hand
		if next := w.state.Serve(member, "op"); next != nil {
			w.state = next
		}
	}
	for range 60 {
		if w.state.Release.Phase == outage.RolledBack {
			return nil // judged as it was written
		}
		for j, member := range memberIDs {
			p, out := w.state.Permits[member]
			s := &w.servers[j]
			clear := out && p.Stage == outage.Acknowledged && p.To != "" && p.Boot == string(s.boot)
			if clear {
				*s = server{boot: s.boot + 1, up: true, newLabel: p.To == "new"}
			} else if !s.up {
				s.up = true
				s.boot++
			}
		}
		for i := range w.routers {
			w.apply(event{opReport, uint8(i)}, broken)
		}
		w.apply(event{opReadAged, 0}, broken)
		if w.pending[0].next != nil {
			faults = append(faults, w.write(0, broken)...)
		}
		if len(faults) > 0 {
			return faults
		}
	}
	return []string{"a way back from here has no end"}
}
