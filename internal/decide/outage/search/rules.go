package search

import (
	"fmt"
	"slices"

	"sumacloft/internal/decide/outage"
)

// checkTransition returns the rules that a state breaks as the successor of another one. The auditor checks rules that
// hold for any history. The others compare the state with the true state of the fleet.
func checkTransition(before, next *outage.State, w *world, majority labels) []string {
	a := outage.Auditor{Model: func(int64) (outage.Model, bool) { return model(w.lowered), true }} // the model in force when the state is written
	a.StartFrom(before)
	a.Check(next)
	faults := a.Faults
	for j, member := range memberIDs {
		p, out := next.Permits[member]
		previous := before.Permits[member]
		// A server that was replaced already is not stopped under this permit.
		if out && p.Stage == outage.Acknowledged && p.Boot[0] == w.servers[j].boot && !p.Serve {
			faults = append(faults, w.sendersTo(member)...)
		}
		if ended := previous.ID != 0 && previous.ID != p.ID; ended && !previous.Serve && w.servers[j].boot == previous.Boot[0] {
			faults = append(faults, fmt.Sprintf("%s: permit %d ended, but the server was never stopped", member, previous.ID))
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

// sendersTo reports the routers that serve and still send to a server that may be stopped.
func (w *world) sendersTo(member string) (faults []string) {
	for i, r := range w.routers {
		if r.up && r.registered && r.sends[member[len(member)-1]-'1'] {
			faults = append(faults, fmt.Sprintf("%s may be stopped while %s sends to it", member, routerNames[i]))
		}
	}
	return faults
}

// checkRolledBack checks the end of a rollback: each target has its previous label, or is recorded with what blocks it.
// A server that started with another label is not held against the decider if most routers had not reported it when the
// decision was made.
func (w *world) checkRolledBack(majority labels) (faults []string) {
	for _, t := range w.state.Release.Targets {
		j := slices.Index(serverNames[:], t.Name)
		s := w.servers[j]
		switch {
		case t.State == outage.Blocked && t.Why != "":
		case t.State != outage.Reached:
			faults = append(faults, fmt.Sprintf("the rollback ended while %s is %s", t.Name, t.State))
		case s.label() != t.From && majority[j] == s.label():
			faults = append(faults, fmt.Sprintf("the rollback ended while %s has label %q", t.Name, s.label()))
		}
	}
	return faults
}

// majorityLabels returns the labels that most registered routers report of the servers.
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

// checkRollback reports whether a rollback from this state finishes after recovery: all routers and servers up and the
// deployer working.
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
	for _, member := range memberIDs { // return servers drained by hand to service
		if next := w.state.Serve(member, "op"); next != nil {
			w.state = next
		}
	}
	for range 60 {
		if w.state.Release.Phase == outage.RolledBack {
			return nil // checked when the state was written
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
	return []string{"a rollback from here does not finish"}
}
