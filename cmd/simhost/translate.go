package main

import (
	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/wire"
)

// field stores one value of a report in a load.
type field func(*brain.Load, float64)

// reportFields maps the names of reported values that the scheduler uses; x1 is in thousands of tokens.
var reportFields = map[string]field{
	"backlog": func(l *brain.Load, v float64) { l.Queue = v },
	"x0":      func(l *brain.Load, v float64) { l.MemoryShare = v },
	"x1":      func(l *brain.Load, v float64) { l.WaitTokens = v * 1000 },
}

func fields(names []string) []field {
	out := make([]field, len(names))
	for i, name := range names {
		out[i] = reportFields[name]
	}
	return out
}

var (
	listKinds = [...]brain.ListKind{brain.ListFailed, brain.ListComplete, brain.ListCached, brain.ListDelta}
	results   = map[uint16]brain.Result{
		wire.OutcomeOK: brain.Served, wire.OutcomeMiss: brain.Read, wire.OutcomeError: brain.Errored,
		wire.OutcomeFull: brain.Full, wire.OutcomeTimeout: brain.TimedOut,
		wire.OutcomeConnectFailed: brain.ConnectFailed, wire.OutcomeReset: brain.Broke,
		wire.OutcomeCancelled: brain.Cancelled, wire.OutcomeMoot: brain.NotSent,
	}
)

// The bits of an Accept's bitmap: its estimate is valid; its client returned after a broken answer.
const flagHint, flagResumed = 1, 16

// translate returns nil for events that the scheduler does not use.
func (in *instance) translate(ev *wire.Event) brain.Event {
	call, engine := brain.RequestID(ev.Call), brain.EngineID(ev.Engine)
	switch ev.Code {
	case wire.EvAnnounce:
		return in.listed(ev)
	case wire.EvAccept:
		return in.arrived(ev)
	case wire.EvAccepted:
		return brain.Started{Request: call, Attempt: ev.Trial, Engine: engine, Took: config.Millis(ev.TookMs)}
	case wire.EvCompleted:
		e := brain.Ended{Request: call, Attempt: ev.Trial, Engine: engine, Result: results[ev.How],
			Took: config.Millis(ev.TookMs), Last: ev.Last, Load: in.load(ev.Report)}
		if e.Result == brain.Full {
			e.NoState = ev.Note == 1
		} else {
			e.CachedTokens = float64(ev.Note)
		}
		return e
	case wire.EvVanished:
		return brain.ClientGone{Request: call}
	case wire.EvElapsed:
		return brain.TimerFired{Key: ev.Token}
	case wire.EvProbeDone:
		return brain.Probed{Engine: engine, Result: results[ev.How], Took: config.Millis(ev.TookMs),
			Load: in.load(ev.Report)}
	}
	return nil
}

func (in *instance) arrived(ev *wire.Event) brain.Event {
	a := brain.Arrived{Request: brain.RequestID(ev.Call), Class: ev.Class, Session: ev.Session, Prefix: ev.Prefix,
		PromptTokens: ev.Prompt, PrefixTokens: ev.PrefixLen, MaxTokens: ev.MaxTokens, Timeout: config.Millis(ev.GraceMs),
		Resumed: ev.Flags&flagResumed != 0}
	if aim := in.tokenAim(ev.Class); ev.Flags&flagHint != 0 && aim > 0 {
		a.HintTokens = ev.EstimateMs / aim
	}
	return a
}

func (in *instance) listed(ev *wire.Event) brain.Event {
	out := brain.Listed{Kind: listKinds[ev.ListKind], Engines: make([]brain.Engine, len(ev.Entries))}
	for i, e := range ev.Entries {
		out.Engines[i] = brain.Engine{ID: brain.EngineID(e.Engine), Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
			Availability: brain.Availability(e.Availability), Weight: e.Weight, StartedAt: config.Millis(e.CameUpMs)}
	}
	return out
}

func (in *instance) load(r wire.Report) brain.Load {
	l := brain.Load{Known: r.N > 0, MemoryShare: -1, WaitTokens: -1, Queue: -1}
	for i := range min(r.N, len(in.fields)) {
		if in.fields[i] != nil {
			in.fields[i](&l, r.Values[i])
		}
	}
	return l
}

// tokenAim is the class's target for the time between tokens, in ms; 0 if there is none.
func (in *instance) tokenAim(class int) float64 {
	if class < len(in.tokenAimMs) {
		return in.tokenAimMs[class]
	}
	return 0
}
