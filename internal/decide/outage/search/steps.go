package search

import (
	"fmt"
	"slices"
	"strings"

	"sumacloft/internal/decide/outage"
)

// op is a kind of event.
type op uint8

const (
	opReport      op = iota // a router follows the state and reports what it observes
	opRead                  // a decider reads and decides
	opReadAged              // likewise, having seen the state for a time unit
	opReadExpired           // likewise, ignoring reports of paused or crashed routers
	opWrite                 // a decider writes its decision
	opPause                 // a decider is paused
	opUnpause               // it continues
	opLapse                 // a registration expires
	opRegister              // a router registers, and reads the state before it serves
	opRouterCrash           // a router crashes
	opServerCrash           // a server crashes
	opStopServer            // the deployer stops a server with an acknowledged permit
	opStartOld              // a server starts with the old label
	opStartNew              // a server starts with the new label
	opRegress               // routers see the new version fail from now on
	opHalt                  // an operator halts the release
	opResume                // an operator resumes it
	opRollBack              // an operator rolls it back
	opCutBudget             // the policy's budget is lowered
	opDrain                 // an operator requests a permit for a server
	opServe                 // an operator returns a server to service
	opCount
)

var opNames = [opCount]string{"report", "read", "read-aged", "read-deaf", "write", "stop", "go", "lapse", "enter", "end", "crash", "take", "old", "new",
	"worse", "halt", "resume", "back", "lower", "ask", "serve"}

// event is an op and the router or server it happens to.
type event struct {
	op op
	at uint8 // index of the router or server
}

func (e event) String() string {
	switch {
	case e.op >= opRegress && e.op <= opCutBudget:
		return opNames[e.op]
	case e.op >= opServerCrash:
		return opNames[e.op] + " " + serverNames[e.at]
	}
	return opNames[e.op] + " " + routerNames[e.at]
}

// Trace is a sequence of events. Its text form can be parsed and replayed.
type Trace []event

func (t Trace) String() string {
	var out []string
	for _, e := range t {
		out = append(out, e.String())
	}
	return strings.Join(out, ", ")
}

// TraceError reports a word of a trace that names no event.
type TraceError struct{ Word string }

func (e *TraceError) Error() string {
	return fmt.Sprintf("trace: %q is not an event of a fleet of this size", e.Word)
}

// Advice tells the operator how to correct the trace.
func (e *TraceError) Advice() string { return "copy the whole line of the trace" }

// ParseTrace parses what String returns.
func ParseTrace(text string) (out Trace, err error) {
	for word := range strings.SplitSeq(text, ", ") {
		found := false
		for o := range opCount {
			for at := range uint8(FleetSize) {
				if e := (event{o, at}); !found && e.String() == word {
					out, found = append(out, e), true
				}
			}
		}
		if !found {
			return nil, &TraceError{word}
		}
	}
	return out, nil
}

// events returns the possible next events.
func (w *world) events(out []event) []event {
	out = out[:0]
	add := func(o op, at int) { out = append(out, event{o, uint8(at)}) }
	expirable := false // some router's reports may be too old to use
	for _, r := range w.routers {
		expirable = expirable || (r.paused || !r.up) && r.registered
	}
	for i, r := range w.routers {
		if r.up && !r.paused && r.registered {
			add(opReport, i)
		}
		if r.registered && (r.paused || !r.up) {
			add(opLapse, i)
		}
		if !r.registered && !r.paused {
			add(opRegister, i)
		}
		if r.paused {
			add(opUnpause, i)
		}
		if r.up && w.remaining.RouterCrashes > 0 {
			add(opRouterCrash, i)
		}
		if i >= Deciders || !r.up || r.paused {
			continue
		}
		if w.remaining.DeciderPauses > 0 {
			add(opPause, i)
		}
		if w.pending[i].next != nil {
			add(opWrite, i)
		} else if r.registered {
			add(opRead, i)
			add(opReadAged, i)
			if expirable {
				add(opReadExpired, i)
			}
		}
	}
	for j, s := range w.servers {
		p, out := w.state.Permits[memberIDs[j]]
		if s.up && w.remaining.ServerCrashes > 0 {
			add(opServerCrash, j)
		}
		if s.up && out && p.Stage == outage.Acknowledged && p.To != "" && p.Boot == string(s.boot) {
			add(opStopServer, j)
		}
		if !s.up {
			label := s.label()
			if out && p.To != "" && p.Stage == outage.Acknowledged {
				label = p.To
			}
			otherLabel := out && p.To != "" && w.remaining.WrongLabels > 0
			if label == "old" || otherLabel {
				add(opStartOld, j)
			}
			if label == "new" || otherLabel {
				add(opStartNew, j)
			}
		}
		if w.remaining.DrainRequests > 0 {
			add(opDrain, j)
		}
		if _, requested := w.state.PermitRequests[memberIDs[j]]; requested || out && p.For == outage.ByHand && !p.Serve {
			add(opServe, j)
		}
	}
	for _, limited := range [...]struct {
		op      op
		enabled bool
	}{{opRegress, w.remaining.Regressions > 0 && w.failingRun != w.run()}, {opHalt, w.remaining.Halts > 0},
		{opResume, w.remaining.Resumes > 0}, {opRollBack, w.remaining.Rollbacks > 0}, {opCutBudget, w.remaining.BudgetCuts > 0}} {
		if limited.enabled {
			add(limited.op, 0)
		}
	}
	return out
}

// adoptState has a router follow the stored state.
func (w *world) adoptState(i int) {
	r := &w.routers[i]
	r.stateSeq = w.state.Seq
	for j, member := range memberIDs {
		p, out := w.state.Permits[member]
		r.sends[j] = !out || p.Stage == outage.Returning
	}
}

// applyOrder writes the result of an operator's order, if there is one.
func (w *world) applyOrder(next *outage.State, err error) []string {
	if err != nil || next == nil { // refused, or nothing to do
		return nil
	}
	return w.store(next, w.majorityLabels())
}

// store replaces the stored state. majority holds the labels that most routers reported when the decision was made.
func (w *world) store(next *outage.State, majority labels) []string {
	before := w.state
	w.state = next
	w.rev++
	return checkTransition(before, next, w, majority)
}

// apply applies an event and returns the rules that it broke.
func (w *world) apply(e event, broken Fault) []string {
	r, s := &w.routers[e.at], &w.servers[e.at]
	switch e.op {
	case opReport:
		w.adoptState(int(e.at))
		r.report = routerReport{boot: r.boot, stateSeq: r.stateSeq, servers: w.servers}
		if rel := w.state.Release; rel != nil && rel.Phase == outage.Running && w.failingRun == rel.Run {
			r.report.failingRun = rel.Run
		}
	case opRead, opReadAged, opReadExpired:
		w.adoptState(int(e.at))
		next := w.decide(int(e.at), e.op == opReadAged, e.op == opReadExpired, broken)
		w.pending[e.at] = pendingWrite{next, w.rev, w.lowered, w.majorityLabels()}
		if next == nil {
			w.pending[e.at] = pendingWrite{}
		}
	case opWrite:
		return w.write(int(e.at), broken)
	case opPause:
		w.remaining.DeciderPauses--
		r.paused = true
	case opUnpause:
		r.paused = false
	case opLapse:
		r.registered = false
	case opRegister:
		if !r.up {
			r.up = true
			r.boot++
			if e.at < Deciders {
				w.pending[e.at] = pendingWrite{}
			}
		}
		r.registered = true
		w.adoptState(int(e.at))
	case opRouterCrash:
		w.remaining.RouterCrashes--
		r.up, r.paused = false, false
		if e.at < Deciders {
			w.pending[e.at] = pendingWrite{}
		}
	case opServerCrash:
		w.remaining.ServerCrashes--
		s.up = false
	case opStopServer:
		s.up = false
	case opStartOld, opStartNew:
		if p, out := w.state.Permits[memberIDs[e.at]]; out && p.To != "" && p.To != [...]string{"old", "new"}[e.op-opStartOld] {
			w.remaining.WrongLabels--
		}
		s.up, s.newLabel = true, e.op == opStartNew
		s.boot++
	case opRegress:
		w.remaining.Regressions--
		w.failingRun = w.run()
	case opHalt:
		w.remaining.Halts--
		return w.applyOrder(w.state.Halt("op", ""))
	case opResume:
		w.remaining.Resumes--
		return w.applyOrder(w.view().Resume("op"))
	case opRollBack:
		w.remaining.Rollbacks--
		next, err := w.state.RollBack("op")
		if next != nil && err == nil && w.rolledBack {
			return []string{"a second rollback request started another rollback"}
		}
		w.rolledBack = w.rolledBack || next != nil && err == nil
		return w.applyOrder(next, err)
	case opCutBudget:
		w.remaining.BudgetCuts--
		w.lowered = true
	case opDrain:
		w.remaining.DrainRequests--
		next, permitted := w.state.Drain(memberIDs[e.at], "op")
		if permitted {
			return w.sendersTo(memberIDs[e.at])
		}
		return w.applyOrder(next, nil)
	case opServe:
		return w.applyOrder(w.state.Serve(memberIDs[e.at], "op"), nil)
	}
	return nil
}

// write does what the decider's caller does: it writes only if the revision, the policy and the writer's registration
// are unchanged.
func (w *world) write(i int, broken Fault) []string {
	p, r := w.pending[i], w.routers[i]
	w.pending[i] = pendingWrite{}
	conditions := map[Fault]bool{NoRevision: p.readRev == w.rev, NoRegistration: r.registered, NoPolicy: p.lowered == w.lowered}
	for rule, met := range conditions {
		if !met && broken != rule && (broken != outage.NoFence || rule == NoPolicy) {
			return nil
		}
	}
	var faults []string
	if !r.registered {
		faults = append(faults, "a router wrote after its registration ended")
	}
	faults = append(faults, w.store(p.next, p.labels)...)
	w.adoptState(i)
	return faults
}

// initialWorld returns a fleet in which all routers know each other and a release has just begun.
func initialWorld(b Bounds) world {
	w := world{remaining: b}
	for i := range FleetSize {
		w.servers[i] = server{boot: '1', up: true}
		w.routers[i] = router{up: true, registered: true, boot: '1', report: routerReport{boot: '1'}}
	}
	for i := range w.routers {
		w.routers[i].report.servers = w.servers
	}
	w.state = w.decide(0, false, false, "")
	next, err := w.view().Start(outage.Spec{Name: "up", Kind: outage.Server, To: "new", Order: "name", Waves: []float64{1, 2}}, "op")
	if err != nil {
		panic(err) // the spec is fixed
	}
	w.state = next
	w.rev = 2
	for i := range w.routers {
		w.adoptState(i)
		w.routers[i].report.stateSeq = next.Seq
	}
	return w
}

// dropStaleWrites drops decisions that can't be written any more. This does not change behaviour, but merges equal
// states.
func (w *world) dropStaleWrites(broken Fault) {
	compares := !slices.Contains([]Fault{NoRevision, outage.NoFence}, broken)
	for i := range w.pending {
		if p := w.pending[i]; p.next != nil && compares && p.readRev != w.rev {
			w.pending[i] = pendingWrite{}
		}
	}
}
