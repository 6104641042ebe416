package outage

import (
	"fmt"
	"maps"
	"slices"
)

// Auditor checks the states of a store's history, one revision after another, and reports each rule that a state breaks.
// It counts anew and is independent of the deciders.
type Auditor struct {
	Model    func(version int64) (Model, bool) // the model of a policy version
	last     *State
	endCount map[int64]int // by permit: how often it ended
	granted  map[int64]bool
	Faults   []string
	// What was observed, as a measure of how much was exercised.
	Permits, Ended, Halts, Lost int
}

func (a *Auditor) report(s *State, format string, args ...any) {
	a.Faults = append(a.Faults, fmt.Sprintf("seq %d: ", s.Seq)+fmt.Sprintf(format, args...))
}

// StartFrom sets the state before the first one to check. It is not checked itself.
func (a *Auditor) StartFrom(s *State) {
	a.last, a.endCount, a.granted = s, map[int64]int{}, map[int64]bool{}
	if s == nil {
		return
	}
	for _, p := range s.Permits {
		a.granted[p.ID] = true
	}
	for _, p := range s.EndedPermits {
		a.granted[p.ID], a.endCount[p.ID] = true, 1
	}
}

// Check checks the next state.
func (a *Auditor) Check(s *State) {
	if a.endCount == nil {
		a.endCount, a.granted = map[int64]int{}, map[int64]bool{}
	}
	before := a.last
	if before == nil {
		before = &State{}
	}
	if s.Seq != before.Seq+1 && a.last != nil {
		a.report(s, "follows seq %d: a state was written over another", before.Seq)
	}
	grantedKinds, grantedSites := map[Kind]bool{}, map[string]bool{}
	for _, member := range slices.Sorted(maps.Keys(s.Permits)) {
		p := s.Permits[member]
		previous, existed := before.Permits[member]
		if existed && previous.ID == p.ID {
			continue
		}
		kind, _ := Split(member)
		grantedKinds[kind] = true
		if kind == Server && p.Site != "" {
			grantedSites[p.Site] = true
		}
		a.Permits++
		if a.granted[p.ID] {
			a.report(s, "permit %d was granted before", p.ID)
		}
		a.granted[p.ID] = true
		if existed && !slices.ContainsFunc(s.EndedPermits, func(e EndedPermit) bool { return e.ID == previous.ID }) {
			a.report(s, "%s: permit %d replaced %d, which has not ended", member, p.ID, previous.ID)
		}
		if s.Release != nil && s.Release.Phase == Halted {
			a.report(s, "%s: permit %d was granted while release %s is halted", member, p.ID, s.Release.Name)
		}
		if p.For != ByHand && p.For != ForReload && (s.Release == nil || s.Release.Name != p.For) {
			a.report(s, "%s: permit %d is for %s, which is not running", member, p.ID, p.For)
		}
	}
	a.checkBudget(s, before, grantedKinds, grantedSites)
	a.checkCopyWaits(s)
	a.checkEnded(s, before)
	a.checkHindsight(s, before)
	for member := range s.Lost {
		if _, known := before.Lost[member]; !known {
			a.Lost++
		}
	}
	if r := s.Release; r != nil && r.Phase == Halted && (before.Release == nil || before.Release.Phase != Halted || before.Release.Run != r.Run) {
		a.Halts++
	}
	a.last = s
}

// checkCopyWaits checks that leaving servers have no permit and wait for at most copy_wait_ms.
func (a *Auditor) checkCopyWaits(s *State) {
	m, known := a.Model(s.Version)
	for _, member := range slices.Sorted(maps.Keys(s.Leaving)) {
		_, out := s.Permits[member]
		switch l := s.Leaving[member]; {
		case out:
			a.report(s, "%s waits for copies and has a permit", member)
		case known && l.WaitMs >= m.CopyWaitMs && m.CopyWaitMs > 0:
			a.report(s, "%s has waited for copies for %.0f ms, %.0f at most", member, l.WaitMs, m.CopyWaitMs)
		}
	}
}

// checkBudget checks a state that granted permits to members of some kinds, at some sites, against the budget.
func (a *Auditor) checkBudget(s, before *State, grantedKinds map[Kind]bool, grantedSites map[string]bool) {
	m, known := a.Model(s.Version)
	if !known {
		return
	}
	m = m.WithDefaults()
	a.checkHeadroom(s, before, m)
	out, site := map[Kind]int{}, map[string]int{}
	add := func(member, siteName string) {
		kind, _ := Split(member)
		out[kind]++
		if kind == Server {
			site[siteName]++
		}
	}
	for member, p := range s.Permits {
		add(member, p.Site)
	}
	for member, l := range s.Lost {
		if _, permitted := s.Permits[member]; permitted {
			a.report(s, "%s is counted as lost and has a permit", member)
			continue
		}
		add(member, l.Site)
	}
	if most := limit(s.serverBound(m), s.Budget.Servers); grantedKinds[Server] && out[Server] > most {
		a.report(s, "a permit was given with %d servers out, %d may be", out[Server], most)
	}
	if most := limit(m.Routers, s.Budget.Routers); grantedKinds[Router] && out[Router] > most {
		a.report(s, "a permit was given with %d routers out, %d may be", out[Router], most)
	}
	for _, name := range slices.Sorted(maps.Keys(grantedSites)) {
		if m.WorkersSite >= 1 && site[name] > int(m.WorkersSite) {
			a.report(s, "a permit was given with %d servers of site %s out, %g may be", site[name], name, m.WorkersSite)
		}
	}
}

// checkEnded checks the permits that ended.
func (a *Auditor) checkEnded(s, before *State) {
	endedNow := map[int64]EndedPermit{}
	for _, p := range s.EndedPermits {
		if p.Seq == s.Seq {
			endedNow[p.ID] = p
			a.Ended++
			if a.endCount[p.ID]++; a.endCount[p.ID] > 1 {
				a.report(s, "permit %d has ended twice", p.ID)
			}
		}
	}
	for member, p := range before.Permits {
		if now, exists := s.Permits[member]; exists && now.ID == p.ID {
			continue
		}
		end, ok := endedNow[p.ID]
		switch {
		case !ok:
			a.report(s, "%s: permit %d disappeared without a recorded end", member, p.ID)
		case end.End == "back" && p.Stage != Returning && p.Stage != Acknowledged:
			a.report(s, "%s: permit %d ended at stage %s, before the member was seen back", member, p.ID, p.Stage)
		case end.End == "back" && p.Stage == Acknowledged:
			a.report(s, "%s: permit %d ended without a time in which it was seen back", member, p.ID)
		}
	}
}
