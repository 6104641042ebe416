// Package search walks all states that a small fleet can come to under the real decider of outages: three routers of which
// two decide, three servers under one release, and whatever may happen between a reading and its writing. It is breadth-first,
// so what it finds first is found by the fewest steps, and each finding is a line of words that can be played again.
//
// Time is abstract: between any two steps as much may pass as one likes, so each reading is tried with the state just seen
// and with it seen for a unit, which is as long as the model's bounds but return_ms (two units). Whose turn it is is left out:
// whoever decides may write at any time, which turns only make rarer. So all that a fleet of this size does is among what is searched.
package search

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/outage"
)

// FleetSize of the fleet: routers and servers, and how many of the routers decide.
const (
	FleetSize = 3
	Deciders  = 2
)

// Fault is a rule that the carrier of the decider breaks on purpose; those of the decider are its own.
type Fault = outage.Fault

// The carrier's faults, besides outage.NoFence, which has both.
const (
	NoRegistration Fault = "no-registration" // a write does not compare the writer's registration
	NoRevision     Fault = "no-revision"     // a write does not compare the state's revision
	NoPolicy       Fault = "no-policy"       // a write does not compare the policy that its budget is from
)

// Bounds say how often each thing may happen in one life, so that there is an end of states.
type Bounds struct {
	ServerCrashes int8 `json:"crashes"` // deaths of a server; it may return at any time, or never
	RouterCrashes int8 `json:"ends"`    // deaths of a router; likewise
	DeciderPauses int8 `json:"stops"`   // stops of a decider, with its registration lost meanwhile or not
	WrongLabels   int8 `json:"odd"`     // returns under a permit with another label than the permit's
	Regressions   int8 `json:"worse"`   // times that the new version is seen to fail
	Halts         int8 `json:"halts"`   // by an operator
	Resumes       int8 `json:"resumes"`
	Rollbacks     int8 `json:"backs"`
	BudgetCuts    int8 `json:"lowers"` // of the budget from two servers to one
	DrainRequests int8 `json:"hands"`  // wishes by hand, each of which may be taken back
}

const timeUnit = 1000.0 // ms

// model is the policy's; lowered, its budget is less.
func model(lowered bool) outage.Model {
	m := outage.Model{Workers: 2, Routers: 1, PauseMs: timeUnit, LostMs: timeUnit, WarmMs: timeUnit, ReturnMs: 2 * timeUnit, ReportMs: 500,
		Halt: outage.Halt{OverMs: timeUnit, Least: 20}}
	if lowered {
		m.Workers = 1
	}
	return m
}

// server is what is true of a server, or what a router's report says of it.
type server struct {
	boot     byte // '1' and on
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
	boot       byte // 0: none was written
	stateSeq   int64
	servers    [FleetSize]server
	failingRun string // the run for which it counted that the new version fails
}

type router struct {
	up, paused bool
	registered bool // its registration stands
	boot       byte
	stateSeq   int64           // number of the state that it goes by
	sends      [FleetSize]bool // by that state, to which servers
	report     routerReport
}

// pendingWrite is a decision that was made and not yet written.
type pendingWrite struct {
	next    *outage.State
	readRev int64 // revision that was read
	lowered bool  // the budget that was read
	labels  labels
}

// labels are the labels that most routers reported of servers: "", "old" or "new".
type labels [FleetSize]string

// world is one state of the whole: what is true, what the store has, and what deciders are about to write.
type world struct {
	state      *outage.State // never changed, only replaced
	rev        int64
	lowered    bool
	servers    [FleetSize]server
	routers    [FleetSize]router
	pending    [Deciders]pendingWrite
	failingRun string // the run in which the new version fails
	rolledBack bool   // back was asked for and done
	remaining  Bounds
}

var (
	serverNames = [FleetSize]string{"s1", "s2", "s3"}
	routerNames = [FleetSize]string{"r1", "r2", "r3"}
	memberIDs   = [FleetSize]string{"server/s1", "server/s2", "server/s3"}
)

// failingCounts are counts that any look halts at.
var failingCounts = outage.Counts{Old: outage.Tally{N: 1000}, New: outage.Tally{N: 20, Failed: 20}}

// view is what a reading of the store gives.
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
		report := outage.Report{Router: routerNames[i], Boot: string(r.report.boot), StateSeq: r.report.stateSeq, Observed: make(map[string]outage.Observation, FleetSize), Rev: 1}
		for j, s := range r.report.servers {
			sight := outage.Observation{Boot: string(s.boot), Label: s.label(), Probed: true}
			if !s.up {
				sight.SilentMs = timeUnit
			}
			report.Observed[serverNames[j]] = sight
		}
		if r.report.failingRun != "" {
			report.Release, report.Counts = r.report.failingRun, failingCounts
		}
		v.Reports = append(v.Reports, report)
	}
	return v
}

// decide has a router make a decision: aged, the state has stood for a unit; deaf, the reports of stopped routers are not
// believed any more.
func (w *world) decide(i int, aged, expired bool, broken Fault) *outage.State {
	d := outage.Decider{Me: routerNames[i], Broken: broken}
	made := d.Step(w.view(), outage.Ages{
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
	if !made.Quorum {
		return nil
	}
	return made.Next
}

// hash is a hash of all that what follows depends on. Numbers that only grow (states, permits, starts) go in by how they
// compare; times by how they stand to the model's bounds; what is only said, not at all.
func (w *world) hash(buf []byte) (uint64, []byte) {
	b := buf[:0]
	b = appendFlags(b, w.lowered, w.rolledBack, w.failingRun != "" && w.run() == w.failingRun)
	l := w.remaining
	b = append(b, byte(l.ServerCrashes), byte(l.RouterCrashes), byte(l.DeciderPauses), byte(l.WrongLabels), byte(l.Regressions), byte(l.Halts), byte(l.Resumes), byte(l.Rollbacks), byte(l.BudgetCuts), byte(l.DrainRequests))
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
		b = appendFlags(b, r.up, r.paused, r.registered, r.report.boot != 0, r.report.boot == r.boot, r.report.failingRun != "" && r.report.failingRun == w.run(), r.sends[0], r.sends[1], r.sends[2],
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

// states are those in the store and those about to be written.
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

// units is a time by how many units it has, up to a most.
func units(ms float64, most int) byte { return byte(min(int(ms/timeUnit), most)) }

// appendState adds what follows depends on of one state.
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
		wish, ok := s.PermitRequests[member]
		if b = appendFlags(b, ok); ok {
			b = binary.AppendVarint(b, s.Seq-wish.Seq)
			text(wish.WaitReason)
		}
		text(s.Lost[member].Why)
		text(s.Lost["router/"+routerNames[i]].Why)
		_, known := s.Known[routerNames[i]]
		b = appendFlags(b, known)
	}
	g := s.Budget
	b = append(appendFlags(b, s.OverBudget), units(s.OverBudgetMs, 2), byte(g.Servers), byte(g.Routers), byte(g.ServersLimit), byte(g.ServersOut), byte(g.RoutersOut), byte(g.ServersLost), byte(g.RoutersLost))
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
