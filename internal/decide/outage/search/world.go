// Package search explores all states that a small fleet can reach under the real outage decider: three routers of which
// two decide, three servers under one release, and any event between a read and the write that follows. The search is
// breadth-first, so a fault is found by the fewest events, and its trace can be replayed.
//
// Time is abstract. Any amount may pass between two steps, so each read is tried with a state just seen and with one
// seen for a time unit. The unit equals the model's durations, except return_ms, which is two units. Turns are not
// modelled: either decider may write at any time. Turns only rule out some of these interleavings, so every behaviour of
// a fleet of this size is searched.
package search

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/outage"
)

// Number of routers and of servers, and how many of the routers decide.
const (
	FleetSize = 3
	Deciders  = 2
)

// Fault is a rule broken on purpose, by the decider or by its caller.
type Fault = outage.Fault

// Faults of the caller, which writes the state. outage.NoFence combines the first two.
const (
	NoRegistration Fault = "no-registration" // a write is not fenced by the writer's registration
	NoRevision     Fault = "no-revision"     // a write is not fenced by the state's revision
	NoPolicy       Fault = "no-policy"       // a write is not fenced by the policy that its budget is from
)

// Bounds limits how often each kind of event may happen, so that the state space is finite.
type Bounds struct {
	ServerCrashes int8 `json:"crashes"` // of a server; it may restart at any time, or never
	RouterCrashes int8 `json:"ends"`    // of a router; it may restart at any time, or never
	DeciderPauses int8 `json:"stops"`   // of a decider, with or without losing its registration meanwhile
	WrongLabels   int8 `json:"odd"`     // restarts under a permit with another label than the permit's
	Regressions   int8 `json:"worse"`   // times that the new version starts to fail
	Halts         int8 `json:"halts"`   // by an operator
	Resumes       int8 `json:"resumes"`
	Rollbacks     int8 `json:"backs"`
	BudgetCuts    int8 `json:"lowers"` // from two servers to one
	DrainRequests int8 `json:"hands"`  // requests by hand; each may be withdrawn
}

const timeUnit = 1000.0 // ms

// model returns the policy's model, with a smaller budget if it was lowered.
func model(lowered bool) outage.Model {
	m := outage.Model{Workers: 2, Routers: 1, PauseMs: timeUnit, LostMs: timeUnit, WarmMs: timeUnit, ReturnMs: 2 * timeUnit, ReportMs: 500,
		Halt: outage.Halt{OverMs: timeUnit, Least: 20}}
	if lowered {
		m.Workers = 1
	}
	return m
}

// server is the state of a server, either the true one or as a router reports it.
type server struct {
	boot     byte // from '1'
	newLabel bool // it has the new label
	up       bool
}

func (s server) label() string {
	if s.newLabel {
		return "new"
	}
	return "old"
}

type routerReport struct {
	boot       byte // 0: there is no report
	stateSeq   int64
	servers    [FleetSize]server
	failingRun string // the run in which it counted failures of the new version
}

type router struct {
	up, paused bool
	registered bool // its registration is valid
	boot       byte
	stateSeq   int64           // Seq of the state that it follows
	sends      [FleetSize]bool // servers it sends to under that state
	report     routerReport
}

// pendingWrite is a decision that was made and not written yet.
type pendingWrite struct {
	next    *outage.State
	readRev int64 // revision that was read
	lowered bool  // whether the lowered budget was read
	labels  labels
}

// labels holds the label that most routers reported for each server: "", "old" or "new".
type labels [FleetSize]string

// world is one state of the model: the true fleet, the stored state, and the writes that deciders are about to make.
type world struct {
	state      *outage.State // immutable; replaced as a whole
	rev        int64
	lowered    bool
	servers    [FleetSize]server
	routers    [FleetSize]router
	pending    [Deciders]pendingWrite
	failingRun string // the run in which the new version fails
	rolledBack bool   // a rollback was requested and accepted
	remaining  Bounds
}

var (
	serverNames = [FleetSize]string{"s1", "s2", "s3"}
	routerNames = [FleetSize]string{"r1", "r2", "r3"}
	memberIDs   = [FleetSize]string{"server/s1", "server/s2", "server/s3"}
)

// failingCounts are counts at which any look halts the release.
var failingCounts = outage.Counts{Old: outage.Tally{N: 1000}, New: outage.Tally{N: 20, Failed: 20}}

// view returns what a read of the store returns.
func (w *world) view() outage.View {
	v := outage.View{Model: model(w.lowered), Version: 1, Last: w.state, Routers: make(map[string]outage.Registration, FleetSize)}
	if w.lowered {
		v.Version = 2
	}
	for i, r := range w.routers {
		if r.registered {
			v.Routers[routerNames[i]] = outage.Registration{Boot: string(r.boot), Label: "p", Live: true}
		}
		if r.report.boot == 0 {
			continue
		}
		report := outage.Report{Router: routerNames[i], Boot: string(r.report.boot), StateSeq: r.report.stateSeq,
			Observed: make(map[string]outage.Observation, FleetSize), Rev: 1}
		for j, s := range r.report.servers {
			observation := outage.Observation{Boot: string(s.boot), Label: s.label(), Probed: true}
			if !s.up {
				observation.SilentMs = timeUnit
			}
			report.Observed[serverNames[j]] = observation
		}
		if r.report.failingRun != "" {
			report.Release, report.Counts = r.report.failingRun, failingCounts
		}
		v.Reports = append(v.Reports, report)
	}
	return v
}

// decide has a router make a decision. If aged, the state was seen for a time unit. If expired, reports of paused or
// crashed routers are too old to use.
func (w *world) decide(i int, aged, expired bool, broken Fault) *outage.State {
	d := outage.Decider{Router: routerNames[i], Fault: broken}
	result := d.Step(w.view(), outage.Ages{
		State: func() time.Duration {
			if aged {
				return timeUnit * time.Millisecond
			}
			return 0
		},
		Report: func(name string, _ int64) time.Duration {
			if r := w.routers[name[1]-'1']; expired && (r.paused || !r.up) {
				return time.Hour
			}
			return 0
		}})
	if !result.Quorum {
		return nil
	}
	return result.Next
}

// hash hashes everything that future behaviour depends on. Growing numbers (states, permits, starts) are included by
// comparison only, and durations relative to the model's bounds. Descriptive texts are left out.
func (w *world) hash(buf []byte) (uint64, []byte) {
	b := buf[:0]
	b = appendFlags(b, w.lowered, w.rolledBack, w.failingRun != "" && w.run() == w.failingRun)
	l := w.remaining
	b = append(b, byte(l.ServerCrashes), byte(l.RouterCrashes), byte(l.DeciderPauses), byte(l.WrongLabels),
		byte(l.Regressions), byte(l.Halts), byte(l.Resumes), byte(l.Rollbacks), byte(l.BudgetCuts), byte(l.DrainRequests))
	for j := range w.servers {
		var names [16]byte
		n := byte(0)
		boot := func(c byte) byte {
			if i := c & 15; names[i] == 0 {
				n++
				names[i] = n
			}
			return names[c&15]
		}
		addServer := func(s server) { b = appendFlags(append(b, boot(s.boot)), s.newLabel, s.up) }
		addServer(w.servers[j])
		for _, r := range w.routers {
			if r.report.boot != 0 {
				addServer(r.report.servers[j])
			}
		}
		for _, s := range w.states() {
			if p, ok := s.Permits[memberIDs[j]]; ok {
				b = append(b, boot(p.Boot[0]))
			}
		}
	}
	for i, r := range w.routers {
		b = appendFlags(b, r.up, r.paused, r.registered, r.report.boot != 0, r.report.boot == r.boot,
			r.report.failingRun != "" && r.report.failingRun == w.run(), r.sends[0], r.sends[1], r.sends[2],
			w.state.Known[routerNames[i]].Boot == string(r.boot))
	}
	b = w.appendState(b, w.state)
	for _, p := range w.pending {
		if b = appendFlags(b, p.next != nil, p.readRev == w.rev, p.lowered); p.next != nil {
			b = w.appendState(b, p.next)
			for _, label := range p.labels {
				b = append(append(b, label...), 0)
			}
		}
	}
	return xxhash.Sum64(b), b
}

// states returns the stored state and those about to be written.
func (w *world) states() []*outage.State {
	out := append(make([]*outage.State, 0, 1+Deciders), w.state)
	for _, p := range w.pending {
		if p.next != nil {
			out = append(out, p.next)
		}
	}
	return out
}

func (w *world) run() string {
	if w.state.Release == nil {
		return ""
	}
	return w.state.Release.Run
}

func appendFlags(b []byte, list ...bool) []byte {
	out := uint16(0)
	for i, f := range list {
		if f {
			out |= 1 << i
		}
	}
	return append(b, byte(out), byte(out>>8))
}

// units returns a duration in time units, up to a maximum.
func units(ms float64, most int) byte { return byte(min(int(ms/timeUnit), most)) }

// appendState appends what future behaviour depends on in one state.
func (w *world) appendState(b []byte, s *outage.State) []byte {
	text := func(t string) { b = append(append(b, t...), 0) }
	for i, member := range memberIDs {
		p, out := s.Permits[member]
		b = appendFlags(b, out, p.Serve)
		if out {
			text(string(p.Stage))
			text(p.To)
			text(p.Label)
			text(p.For)
			b = append(b, units(p.OutMs, 3), units(p.BackMs, 1))
			for _, r := range w.routers {
				b = appendFlags(b, r.report.stateSeq >= p.Seq)
			}
		}
		request, ok := s.PermitRequests[member]
		if b = appendFlags(b, ok); ok {
			b = binary.AppendVarint(b, s.Seq-request.Seq)
			text(request.WaitReason)
		}
		text(s.Lost[member].Why)
		text(s.Lost["router/"+routerNames[i]].Why)
		_, known := s.Known[routerNames[i]]
		b = appendFlags(b, known)
	}
	g := s.Budget
	b = append(appendFlags(b, s.OverBudget), units(s.OverBudgetMs, 2), byte(g.Servers), byte(g.Routers),
		byte(g.ServersLimit), byte(g.ServersOut), byte(g.RoutersOut), byte(g.ServersLost), byte(g.RoutersLost))
	r := s.Release
	if r == nil {
		return b
	}
	text(string(r.Phase))
	text(string(r.HaltedFrom))
	b = append(appendFlags(b, r.Paused, r.ByHand), units(r.PauseMs, 1), byte(min(r.Wave, len(r.Waves)-1)), byte(r.WaveLeft), byte(r.Looks))
	for _, t := range r.Targets {
		text(t.Name)
		text(t.From)
		text(string(t.State))
		text(t.Why)
		nth := byte(0)
		for _, o := range r.Targets {
			if o.Order < t.Order {
				nth++
			}
		}
		b = appendFlags(append(b, nth), t.Gone, t.Order != 0)
	}
	return b
}
