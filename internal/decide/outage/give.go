package outage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// grant gives a grant; what it is of is known to be there.
func (w *draft) grant(thing, why, to string) {
	kind, n := Split(thing)
	w.LastPermitID++
	p := Permit{ID: w.LastPermitID, For: why, Stage: Granted, Seq: w.Seq, To: to}
	if kind == Server {
		s := w.fleet.servers[n]
		p.Boot, p.Label, p.Site, p.Role = s.Boot, s.Label, s.Site, s.Role
	} else {
		k := w.Known[n]
		p.Boot, p.Label, p.Site = k.Boot, k.Label, k.Site
	}
	w.Permits[thing] = p
	delete(w.Lost, thing)
	w.outCache = nil
	w.note("%s may go out (permit %d for %s)", thing, p.ID, why)
	w.updateBudget()
}

// reasonNoMajority is why nothing is done with a server whose list is behind at some routers: what one of them says of its start or
// label may be over by now.
const reasonNoMajority = "most routers do not yet have the same start and label of it"

// grantPermits gives permits: to wishes by hand first, in their order, then to the release, to reloads with what is left.
func (w *draft) grantPermits() {
	halted := w.Release != nil && w.Release.Phase == Halted && w.broken != IgnoresHalt
	things := slices.SortedFunc(maps.Keys(w.PermitRequests), func(a, b string) int { return w.PermitRequests[a].compare(w.PermitRequests[b]) })
	meet := func(thing string) {
		wish := w.PermitRequests[thing]
		kind, n := Split(thing)
		s, there := w.fleet.servers[n]
		if kind == Router {
			_, there = w.Known[n]
		}
		_, out := w.Permits[thing]
		wait := ""
		switch {
		case out:
			delete(w.PermitRequests, thing)
			return
		case wish.For == ForReload && s.agreed && s.Label == wish.To:
			delete(w.PermitRequests, thing)
			w.note("%s has label %q already", thing, wish.To)
			return
		case halted:
			wait = "release " + w.Release.Name + " is halted: " + w.Release.Why
		case !there:
			wait = "most routers do not have it in their lists"
		case kind == Server && !s.agreed:
			wait = reasonNoMajority
		default:
			wait = w.blockReason(thing, s.Site, s.Role)
		}
		if wait == "" && !w.readyForPermit(thing) {
			wait = reasonCopying
		}
		if wait == "" {
			delete(w.PermitRequests, thing)
			w.grant(thing, cmp.Or(wish.For, ByHand), wish.To)
			return
		}
		if wish.WaitReason != wait {
			wish.WaitReason = wait
			w.PermitRequests[thing] = wish
			w.note("%s waits: %s", thing, wait)
		}
	}
	hand := 0
	for hand < len(things) && w.PermitRequests[things[hand]].For == "" {
		hand++
	}
	for _, thing := range things[:hand] {
		meet(thing)
	}
	if r := w.Release; r != nil && (r.Phase == Running || r.Phase == RollingBack || r.Phase == Halted && w.broken == IgnoresHalt) {
		w.runWave(r)
	}
	for _, thing := range things[hand:] {
		meet(thing)
	}
}

// evidenceShortfall tells whether too little was seen of the new version for the next wave, and how much; "" if it was enough.
func (w *draft) evidenceShortfall(r *Release) string {
	if w.model.Halt.Seen <= 0 || r.Phase != Running || r.Kind != Server {
		return ""
	}
	if c, _ := w.counts(r); c.New.N < w.model.Halt.Seen {
		return fmt.Sprintf("%d of %d requests of the new version were seen", c.New.N, w.model.Halt.Seen)
	}
	return ""
}

// runWave lets targets of the runWave out while there is room.
func (w *draft) runWave(r *Release) {
	if r.Paused {
		if r.PauseMs < w.model.PauseMs {
			return
		}
		if few := w.evidenceShortfall(r); few != "" {
			if r.PauseMs < w.model.PauseMs+w.model.Halt.SeenMs {
				return
			}
			w.note("%s, and release %s has waited for more long enough", few, r.Name)
		}
		r.Paused, r.PauseMs = false, 0
		r.Wave++
		r.WaveLeft = r.waveSize()
		w.note("wave %d of release %s begins", r.Wave+1, r.Name)
	}
	waiting := 0 // that have their turn in this wave
	for _, i := range w.targetOrder(r) {
		t := &r.Targets[i]
		if r.WaveLeft == waiting {
			break
		}
		if t.State != Waiting {
			continue
		}
		thing := ID(r.Kind, t.Name)
		if p, out := w.Permits[thing]; out { // by hand: what brings it back may as well bring the label
			if !p.Serve && p.Stage != Returning {
				p.For, p.To, p.OutMs = r.Name, r.wantedLabel(*t), 0
				w.Permits[thing] = p
				t.State, t.Why = Out, ""
				r.WaveLeft--
				w.note("%s is out already, and goes along with release %s", thing, r.Name)
			}
			continue
		}
		why := ""
		if r.Kind == Server {
			s, there := w.fleet.servers[t.Name]
			if !there {
				why = "most routers do not have it in their lists"
			} else if !s.agreed {
				why = reasonNoMajority
			} else if s.Label == r.wantedLabel(*t) {
				t.State = Reached
				w.note("%s has label %q already", thing, s.Label)
				continue
			} else {
				why = w.blockReason(thing, s.Site, s.Role)
			}
		} else if w.Known[t.Name].Label == r.wantedLabel(*t) && w.view.Routers[t.Name].Live {
			t.State = Reached
			w.note("%s has label %q already", thing, r.wantedLabel(*t))
			continue
		} else {
			why = w.blockReason(thing, w.Known[t.Name].Site, "")
		}
		if why == "" && !w.readyForPermit(thing) {
			why = reasonCopying
			waiting++
		}
		if why == "" {
			t.State, t.Why = Out, ""
			r.WaveLeft--
			w.grant(thing, r.Name, r.wantedLabel(*t))
		} else if t.Why != why {
			t.Why = why
			w.note("%s waits: %s", thing, why)
		}
	}
}

// targetReturned notes for the release that a thing's permit has ended with a label.
func (w *draft) targetReturned(thing, label string) {
	r := w.Release
	if r == nil {
		return
	}
	for i := range r.Targets {
		t := &r.Targets[i]
		if ID(r.Kind, t.Name) != thing || t.State != Out {
			continue
		}
		switch want := r.wantedLabel(*t); {
		case label == want:
			r.Reached++
			t.State, t.Why, t.Order = Reached, "", r.Reached
		case r.Phase == RollingBack || r.HaltedFrom == RollingBack && r.Phase == Halted: // it was on its way when the way back began
			r.Reached++
			t.State, t.Why, t.Order = Waiting, "", r.Reached
			if len(r.Targets) > 1 && w.broken == SkipsRollback {
				t.State = Reached
			}
		default:
			t.State, t.Why = Blocked, fmt.Sprintf("came back with label %q, not %q", label, want)
			w.haltRelease(thing + " " + t.Why)
		}
	}
}

func (w *draft) haltRelease(why string) {
	r := w.Release
	if r == nil || r.Phase != Running {
		return
	}
	r.halt(why)
	r.HaltSeq = w.Seq
	w.note("release %s is halted: %s", r.Name, why)
}

// updateRelease looks at the updateRelease: whether it must be halted, whether a wave or all of it is over.
func (w *draft) updateRelease() {
	r := w.Release
	if r == nil || r.Phase.Finished() {
		return
	}
	for i := range r.Targets {
		t := &r.Targets[i]
		thing := ID(r.Kind, t.Name)
		p, out := w.Permits[thing]
		if t.State == Out && out && p.Stage != Returning && p.OutMs > w.model.ReturnMs && t.Why == "" {
			t.Why = fmt.Sprintf("has not come back for %.0f s", p.OutMs/1000)
			w.note("%s %s", thing, t.Why)
			if r.Phase == RollingBack {
				t.State = Blocked
			}
			w.haltRelease(thing + " " + t.Why)
		}
	}
	w.checkEvidence(r)
	if r.Phase == Halted && w.broken != IgnoresHalt {
		return
	}
	w.retryStrayed(r)
	open, waiting := 0, 0
	for i, t := range r.Targets {
		if w.broken == SkipsRollback && r.Phase == RollingBack && i == 0 && t.State == Waiting {
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
		r.Phase, r.Why = map[Phase]Phase{Running: Done, RollingBack: RolledBack, Halted: Done}[r.Phase], "each target has its label or is named with what holds it"
		w.note("release %s is %s", r.Name, r.Phase)
	case open == 0 && r.WaveLeft == 0 && !r.Paused:
		r.Paused, r.PauseMs = true, 0
		w.note("wave %d of release %s is over", r.Wave+1, r.Name)
	}
}

// checkEvidence halts a release that does harm, or that meets with what it can't go on in.
func (w *draft) checkEvidence(r *Release) {
	if r.Phase != Running {
		return
	}
	c, raw := w.counts(r)
	lost := len(w.view.LostSites)
	switch {
	case lost > r.LostSites:
		w.haltRelease(fmt.Sprintf("%d sites are lost", lost))
	case w.OverBudget && w.OverBudgetMs > w.model.Halt.OverMs:
		w.haltRelease(fmt.Sprintf("losses have used up the budget for %.0f s", w.OverBudgetMs/1000))
	case w.model.Halt.excessRefusals(c) != "":
		r.Evidence = c
		w.haltRelease(w.model.Halt.excessRefusals(c))
	case w.model.Halt.due(c, r.Looks):
		bad := w.model.Halt.judge(c, r.Looks)
		r.Looks++
		r.Evidence = c
		w.note("look %d at release %s: %d requests of the new version", r.Looks, r.Name, c.New.N)
		if bad != "" {
			w.haltRelease(bad)
			w.openHalt(raw)
		}
	}
	if lost < r.LostSites {
		r.LostSites = lost
	}
}
