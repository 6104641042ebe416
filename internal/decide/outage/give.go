package outage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// grant records a permit for a member that is known to exist.
func (d *draft) grant(member, purpose, to string) {
	kind, n := Split(member)
	d.LastPermitID++
	p := Permit{ID: d.LastPermitID, For: purpose, Stage: Granted, Seq: d.Seq, To: to}
	if kind == Server {
		s := d.fleet.servers[n]
		p.Boot, p.Label, p.Site, p.Role = s.Boot, s.Label, s.Site, s.Role
	} else {
		k := d.Known[n]
		p.Boot, p.Label, p.Site = k.Boot, k.Label, k.Site
	}
	d.Permits[member] = p
	delete(d.Lost, member)
	d.outCache = nil
	d.note("%s may go out (permit %d for %s)", member, p.ID, purpose)
	d.updateBudget()
}

// reasonNoMajority is the reason to wait for a server on which routers' lists disagree: some lists are outdated, and the
// boot or label they report may no longer be current.
const reasonNoMajority = "most routers do not yet have the same start and label of it"

// grantPermits grants permits to requests by hand first, in their order, then to the release, then to reloads.
func (d *draft) grantPermits() {
	halted := d.Release != nil && d.Release.Phase == Halted && d.broken != IgnoresHalt
	pending := slices.SortedFunc(maps.Keys(d.PermitRequests), func(a, b string) int { return d.PermitRequests[a].compare(d.PermitRequests[b]) })
	grantOrWait := func(member string) {
		request := d.PermitRequests[member]
		kind, n := Split(member)
		s, present := d.fleet.servers[n]
		if kind == Router {
			_, present = d.Known[n]
		}
		_, out := d.Permits[member]
		reason := ""
		switch {
		case out:
			delete(d.PermitRequests, member)
			return
		case request.For == ForReload && s.agreed && s.Label == request.To:
			delete(d.PermitRequests, member)
			d.note("%s has label %q already", member, request.To)
			return
		case halted:
			reason = "release " + d.Release.Name + " is halted: " + d.Release.Why
		case !present:
			reason = "most routers do not have it in their lists"
		case kind == Server && !s.agreed:
			reason = reasonNoMajority
		default:
			reason = d.blockReason(member, s.Site, s.Role)
		}
		if reason == "" && !d.readyForPermit(member) {
			reason = reasonCopying
		}
		if reason == "" {
			delete(d.PermitRequests, member)
			d.grant(member, cmp.Or(request.For, ByHand), request.To)
			return
		}
		if request.WaitReason != reason {
			request.WaitReason = reason
			d.PermitRequests[member] = request
			d.note("%s waits: %s", member, reason)
		}
	}
	manual := 0
	for manual < len(pending) && d.PermitRequests[pending[manual]].For == "" {
		manual++
	}
	for _, member := range pending[:manual] {
		grantOrWait(member)
	}
	if r := d.Release; r != nil && (r.Phase == Running || r.Phase == RollingBack || r.Phase == Halted && d.broken == IgnoresHalt) {
		d.runWave(r)
	}
	for _, member := range pending[manual:] {
		grantOrWait(member)
	}
}

// evidenceShortfall describes the missing requests if too few of the new version were seen for the next wave. It returns
// "" if there were enough.
func (d *draft) evidenceShortfall(r *Release) string {
	if d.model.Halt.Seen <= 0 || r.Phase != Running || r.Kind != Server {
		return ""
	}
	if c, _ := d.counts(r); c.New.N < d.model.Halt.Seen {
		return fmt.Sprintf("%d of %d requests of the new version were seen", c.New.N, d.model.Halt.Seen)
	}
	return ""
}

// runWave grants permits to targets of the current wave while the budget allows.
func (d *draft) runWave(r *Release) {
	if r.Paused {
		if r.PauseMs < d.model.PauseMs {
			return
		}
		if shortfall := d.evidenceShortfall(r); shortfall != "" {
			if r.PauseMs < d.model.PauseMs+d.model.Halt.SeenMs {
				return
			}
			d.note("%s, and release %s has waited for more long enough", shortfall, r.Name)
		}
		r.Paused, r.PauseMs = false, 0
		r.Wave++
		r.WaveLeft = r.waveSize()
		d.note("wave %d of release %s begins", r.Wave+1, r.Name)
	}
	waiting := 0 // targets of this wave that wait for copies
	for _, i := range d.targetOrder(r) {
		t := &r.Targets[i]
		if r.WaveLeft == waiting {
			break
		}
		if t.State != Waiting {
			continue
		}
		member := ID(r.Kind, t.Name)
		if p, out := d.Permits[member]; out { // out by hand: it can return with the new label
			if !p.Serve && p.Stage != Returning {
				p.For, p.To, p.OutMs = r.Name, r.wantedLabel(*t), 0
				d.Permits[member] = p
				t.State, t.Why = Out, ""
				r.WaveLeft--
				d.note("%s is out already, and goes along with release %s", member, r.Name)
			}
			continue
		}
		why := ""
		if r.Kind == Server {
			s, present := d.fleet.servers[t.Name]
			if !present {
				why = "most routers do not have it in their lists"
			} else if !s.agreed {
				why = reasonNoMajority
			} else if s.Label == r.wantedLabel(*t) {
				t.State = Reached
				d.note("%s has label %q already", member, s.Label)
				continue
			} else {
				why = d.blockReason(member, s.Site, s.Role)
			}
		} else if d.Known[t.Name].Label == r.wantedLabel(*t) && d.view.Routers[t.Name].Live {
			t.State = Reached
			d.note("%s has label %q already", member, r.wantedLabel(*t))
			continue
		} else {
			why = d.blockReason(member, d.Known[t.Name].Site, "")
		}
		if why == "" && !d.readyForPermit(member) {
			why = reasonCopying
			waiting++
		}
		if why == "" {
			t.State, t.Why = Out, ""
			r.WaveLeft--
			d.grant(member, r.Name, r.wantedLabel(*t))
		} else if t.Why != why {
			t.Why = why
			d.note("%s waits: %s", member, why)
		}
	}
}

// targetReturned records for the release that a target's permit has ended with a label.
func (d *draft) targetReturned(member, label string) {
	r := d.Release
	if r == nil {
		return
	}
	for i := range r.Targets {
		t := &r.Targets[i]
		if ID(r.Kind, t.Name) != member || t.State != Out {
			continue
		}
		switch want := r.wantedLabel(*t); {
		case label == want:
			r.Reached++
			t.State, t.Why, t.Order = Reached, "", r.Reached
		case r.Phase == RollingBack || r.HaltedFrom == RollingBack && r.Phase == Halted: // it was out when the rollback began
			r.Reached++
			t.State, t.Why, t.Order = Waiting, "", r.Reached
			if len(r.Targets) > 1 && d.broken == SkipsRollback {
				t.State = Reached
			}
		default:
			t.State, t.Why = Blocked, fmt.Sprintf("came back with label %q, not %q", label, want)
			d.haltRelease(member + " " + t.Why)
		}
	}
}

func (d *draft) haltRelease(why string) {
	r := d.Release
	if r == nil || r.Phase != Running {
		return
	}
	r.halt(why)
	r.HaltSeq = d.Seq
	d.note("release %s is halted: %s", r.Name, why)
}

// updateRelease checks whether the release must be halted, and whether a wave or the whole release is finished.
func (d *draft) updateRelease() {
	r := d.Release
	if r == nil || r.Phase.Finished() {
		return
	}
	for i := range r.Targets {
		t := &r.Targets[i]
		member := ID(r.Kind, t.Name)
		p, out := d.Permits[member]
		if t.State == Out && out && p.Stage != Returning && p.OutMs > d.model.ReturnMs && t.Why == "" {
			t.Why = fmt.Sprintf("has not come back for %.0f s", p.OutMs/1000)
			d.note("%s %s", member, t.Why)
			if r.Phase == RollingBack {
				t.State = Blocked
			}
			d.haltRelease(member + " " + t.Why)
		}
	}
	d.checkEvidence(r)
	if r.Phase == Halted && d.broken != IgnoresHalt {
		return
	}
	d.retryStrayed(r)
	open, waiting := 0, 0
	for i, t := range r.Targets {
		if d.broken == SkipsRollback && r.Phase == RollingBack && i == 0 && t.State == Waiting {
			r.Targets[i].State = Reached
			continue
		}
		switch t.State {
		case Out:
			open++
		case Waiting:
			waiting++
		}
	}
	switch {
	case open == 0 && waiting == 0:
		r.Phase, r.Why = map[Phase]Phase{Running: Done, RollingBack: RolledBack, Halted: Done}[r.Phase],
			"each target has its label or is named with what holds it"
		d.note("release %s is %s", r.Name, r.Phase)
	case open == 0 && r.WaveLeft == 0 && !r.Paused:
		r.Paused, r.PauseMs = true, 0
		d.note("wave %d of release %s is over", r.Wave+1, r.Name)
	}
}

// checkEvidence halts the release if its new version does harm, or if the fleet lost too much for it to continue.
func (d *draft) checkEvidence(r *Release) {
	if r.Phase != Running {
		return
	}
	c, raw := d.counts(r)
	lost := len(d.view.LostSites)
	switch {
	case lost > r.LostSites:
		d.haltRelease(fmt.Sprintf("%d sites are lost", lost))
	case d.OverBudget && d.OverBudgetMs > d.model.Halt.OverMs:
		d.haltRelease(fmt.Sprintf("losses have used up the budget for %.0f s", d.OverBudgetMs/1000))
	case d.model.Halt.excessRefusals(c) != "":
		r.Evidence = c
		d.haltRelease(d.model.Halt.excessRefusals(c))
	case d.model.Halt.due(c, r.Looks):
		finding := d.model.Halt.judge(c, r.Looks)
		r.Looks++
		r.Evidence = c
		d.note("look %d at release %s: %d requests of the new version", r.Looks, r.Name, c.New.N)
		if finding != "" {
			d.haltRelease(finding)
			d.openHalt(raw)
		}
	}
	if lost < r.LostSites {
		r.LostSites = lost
	}
}
