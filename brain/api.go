// Package brain decides, for one router, where prompts are read and answers are written across pools of
// model servers. State that has been read and waits for its writer is held under a short lease, renewed in
// batch by the writer's signs of life.
//
// A router makes one Scheduler with New, hands it every Event in the order of arrival by Handle, and carries
// out the Actions that come back, in order. Handle never blocks, does no I/O, reads no clock and starts no
// goroutine; equal settings, seed and events give equal actions. A Scheduler is not safe for concurrent use:
// call it from one goroutine, or guard it with a mutex. Its memory grows with the open requests and the listed
// engines only; what has ended is forgotten.
//
// Where things stand: the interface stands in api.go, what is remembered in state.go. A request's life, its retries and endings
// are in requests.go: a reader is chosen by rendezvous hashing, or it is refused (readers.go); once it is
// read a writer is chosen, and the state waits for its pull under a lease that the writer's signs of life
// renew (writers.go). Outcomes and reports say how fast engines are (learn.go) and how well (health.go);
// cold.go holds what one that starts may be sent. Constants, timers and the tick are here.
package brain

import "time"

// RequestID names one try of a client. A repeat by the client has a new one.
type RequestID uint64

// EngineID names a model server; the scheduler only compares and hashes it.
type EngineID uint64

// Role is what a kind of engine can do.
type Role uint8

// The roles of engines.
const (
	Reader Role = iota // reads prompts (prefill)
	Writer             // writes answers (decode)
	Mixed              // does both
)

// Effect is what a repeat of a request does.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped within a Scope, for a window of time
	Unsafe               // must never run twice
)

// Scope is the set of engines that drop repeats of a Keyed request.
type Scope uint8

// The scopes of a Keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class holds what the operator promises for a class of requests.
type Class struct {
	Aim            time.Duration // first token within this time earns full worth
	AimPer1kPrompt time.Duration // added to the aim for each 1,000 prompt tokens
	Deadline       time.Duration // the client's patience over all its tries
	Worth          float64       // for a unit of work
	Effect         Effect
	Scope          Scope         // Keyed only
	RepeatWindow   time.Duration // Keyed only: counted from the first send that may have run
}

// Kind is a sort of machine.
type Kind struct {
	Role         Role
	MemoryTokens float64 // 0: unknown
}

// Settings are fixed for the life of a Scheduler.
type Settings struct {
	Zone    int // of this router; below 0: none, and its own does not come first
	Routers int // that share the engines, with this one; 0: unknown
	Classes []Class
	Kinds   []Kind

	MaxAttempts int // for each request; 0: no limit
	MaxHoldOff  time.Duration
	HoldOff     bool // refusals may carry advice on when to return
	Probing     bool
	Cancelling  bool
	WritersRead bool // a writer reads the prompt itself when there is no state
	AskForList  bool // the list of engines comes only when asked for

	// LateShare of the time between a request's aim and its deadline is added to the aim where it is judged whether the
	// request would wait too long to be taken: with 0 what would be late is turned away as it arrives.
	LateShare float64

	// RereadWeight is what reading a shared beginning once more counts, besides the time that it takes, in that time.
	RereadWeight float64

	// MinPrefillTokens is the length from which prompts are read apart: a shorter one is read by its writer, which takes less
	// than a separate read and a move would; 0: all are read apart.
	MinPrefillTokens float64

	// Admitted is, by class, the part of the requests that the fleet has room for: those of the least rank; the others
	// are turned away as they arrive. A class past its end is taken whole.
	Admitted []float64

	Step          time.Duration // shortest time between two calls of Handle with different times
	PinLimit      time.Duration // state with no attempt out must be taken or released within this time
	AskWithin     time.Duration // AskForList: ask at least this often while not subscribed
	ColdShare     float64       // an engine starts with at least this share of its capacity
	WarmAfter     time.Duration // and is warm after this time
	OverloadRatio float64       // a cold engine falls when sent more than this multiple of its capacity
	OverloadFor   time.Duration // over this time
}

// Load is an engine's report on itself; a negative value is one that the report lacks.
type Load struct {
	Known       bool
	MemoryShare float64 // of its memory, held
	WaitTokens  float64 // prompt tokens that wait to be read or fetched
	Queue       float64 // requests that wait
	FromPeers   bool    // others' word, which may lack what they do not know of
}

// Handle takes one event at the time now and appends the actions that answer it.
func (s *Scheduler) Handle(now time.Duration, event Event, out []Action) []Action {
	s.now, s.actions = now, out
	switch ev := event.(type) {
	case Listed:
		s.onListed(ev)
	case Arrived:
		s.onArrived(ev)
	case Ended:
		s.onEnded(ev)
	case Started:
		s.onStarted(ev)
	case ClientGone:
		s.onClientGone(ev)
	case TimerFired:
		s.onTimer(ev)
	case Probed:
		s.onProbed(ev)
	case Reported:
		if e := s.engines[ev.Engine]; e != nil {
			s.recordLoad(e, ev.Load)
		}
	}
	return s.actions
}

// Home is the engine that requests with a beginning go to first where engines are alike; 0: there are none.
func Home(prefix uint64, engines []EngineID) (home EngineID) {
	best := 0.0
	for _, id := range engines {
		if u := unit(prefix, uint64(id)); u > best {
			home, best = id, u
		}
	}
	return home
}

// OpenAttempts is how many attempts are out at an engine, answers that have begun among them.
func (s *Scheduler) OpenAttempts(id EngineID) int {
	if e := s.engines[id]; e != nil {
		return len(e.pending) + len(e.streams)
	}
	return 0
}

// Candidates are the engines that a request's prompt would first be considered for, most of them at most; none where its
// writer is to read it.
func (s *Scheduler) Candidates(ev Arrived, limit int) []EngineID {
	if ev.PromptTokens < s.set.MinPrefillTokens {
		return nil
	}
	var ids []EngineID
	for _, e := range s.readersInOrder(&request{Arrived: ev, class: &Class{}}) {
		if len(ids) < limit && e.role == Reader {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// PendingTokens is how many prompt tokens of attempts that are out at an engine are thought to be unread.
func (s *Scheduler) PendingTokens(id EngineID) (tokens float64) {
	if e := s.engines[id]; e != nil {
		for _, r := range e.pending {
			tokens += r.work
		}
	}
	return tokens
}

// Event is something the router tells the scheduler: Listed, Arrived, Ended, Started, Gone, TimerFired, Probed
// or Reported.
type Event interface{ event() }

// ListKind says how a Listed event is to be read.
type ListKind uint8

// The kinds of Listed events.
const (
	ListFailed   ListKind = iota // asking for the list failed; the old one stands
	ListComplete                 // every engine; those absent are gone
	ListCached                   // as ListWhole, but possibly stale
	ListDelta                    // changed engines only
)

// Availability is the list's word on an engine.
type Availability uint8

// The states of a listed engine.
const (
	Ready Availability = iota
	Draining
	Removed
)

// Engine is one entry of the list.
type Engine struct {
	ID           EngineID
	Zone, Cell   int
	Kind         int // index into Settings.Kinds
	Availability Availability
	Weight       float64
	StartedAt    time.Duration // 0: long ago
	// ClassWeights scale, by class, the engine's share of the keys; with 0 nothing of the class goes there. The fleet's plan
	// sets them; a class past their end is whole.
	ClassWeights []float64
}

// Listed brings news from discovery.
type Listed struct {
	Kind    ListKind
	Engines []Engine
}

// Arrived is a request that the router has taken on: one final answer is owed.
type Arrived struct {
	Request       RequestID
	Class         int
	Session       uint64 // 0: none
	Prefix        uint64 // beginning shared with other sessions; 0: none
	PromptTokens  float64
	PrefixTokens  float64
	MaxTokens     float64
	HintTokens    float64       // rough length of the answer; 0: not known
	Timeout       time.Duration // until the client gives up on this try
	PriorAttempts int           // attempts that were made for it elsewhere; they count with ours
	Rank          float64       // its place, from 0 to 1, in the order in which Settings.Admitted takes its class
	Homes         []EngineID    // that are thought to keep the beginning besides; a wrong one costs a read
	Resumed       bool          // the client asks for the rest of an answer that broke: its start was in time long ago
}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt. Only Full, ConnectFailed, NotSent, Read and Rejected prove that nothing ran.
const (
	Served Result = iota
	Read          // the prompt is read, its state waits at the reader
	Errored
	Full // turned away; with Ended.NoState: there was no state to fetch
	TimedOut
	ConnectFailed
	Broke
	Cancelled
	NotSent      // never sent
	Rejected     // the engine finds the request at fault, as any other would
	NetworkFault // as Broke, by what may happen at any engine: the answer or the connection was spoilt on the way
)

// Ended tells that an attempt is over; exactly one follows each Send.
type Ended struct {
	Request      RequestID
	Attempt      int // the number of the request's Send, from 0
	Engine       EngineID
	Result       Result
	NoState      bool
	CachedTokens float64 // Read, Served: prompt tokens found kept
	Took         time.Duration
	Last         bool // the client has its final answer
	Load         Load
}

// Started tells that the answer has begun to stream; the client's deadline no longer counts.
type Started struct {
	Request RequestID
	Attempt int
	Engine  EngineID
	Took    time.Duration
}

// ClientGone tells that the client has left; nothing is owed any more.
type ClientGone struct{ Request RequestID }

// TimerFired is the answer to a SetTimer.
type TimerFired struct{ Key uint64 }

// Probed is the answer to a Probe.
type Probed struct {
	Engine EngineID
	Result Result // Served, or why it failed
	Took   time.Duration
	Load   Load
}

// Reported brings an engine's load as others tell it: no word of the engine's own, so no sign of life.
type Reported struct {
	Engine EngineID
	Load   Load
}

func (Reported) event()   {}
func (Listed) event()     {}
func (Arrived) event()    {}
func (Ended) event()      {}
func (Started) event()    {}
func (ClientGone) event() {}
func (TimerFired) event() {}
func (Probed) event()     {}

// Action is something the router is to do: Send, Cancel, Refuse, Fail, Release, Probe, SetTimer, Subscribe
// or Log.
type Action interface{ action() }

// Send starts the request's next attempt, at an engine.
type Send struct {
	Request RequestID
	Engine  EngineID
	Timeout time.Duration // 0: until the client gives up
}

// Cancel calls an attempt off; its Ended still comes.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Reason is the reason of a final answer that is no success, in words for operators.
type Reason string

// The reasons.
const (
	NotAdmitted    Reason = "the fleet has no room for its rank"
	Exhausted      Reason = "its time, its attempts or what was read for it are over"
	ReadersFull    Reason = "all readers turned it away"
	WaitTooLong    Reason = "it would wait too long"
	NoWorker       Reason = "there was no worker to send it to"
	InvalidRequest Reason = "a worker finds the request at fault"
)

// Refuse is a final answer that tells the client that trying again is harmless.
type Refuse struct {
	Request RequestID
	Reason  Reason
	HoldOff time.Duration // how long the client should stay away; 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct {
	Request RequestID
	Reason  Reason
}

// Release lets go of every state held for the request that no attempt waits for.
type Release struct{ Request RequestID }

// Probe tests an engine; the answer is a Probed.
type Probe struct{ Engine EngineID }

// SetTimer asks for a TimerFired with the same Key, at or after the time At.
type SetTimer struct {
	At  time.Duration
	Key uint64
}

// Subscribe asks discovery for changes from now on.
type Subscribe struct{}

// Log is a line for the operator; it names a change of judgement.
type Log struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Release) action()   {}
func (Probe) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Log) action()       {}

// UpdateSettings takes new settings for requests that arrive from now on. Classes keep their places, since requests
// under way are known by them; a request under way keeps its class as it came. What the scheduler has learnt of
// engines and requests stays.
func (s *Scheduler) UpdateSettings(set Settings) {
	fresh := New(set, s.seed)
	s.set, s.tick, s.waitSeen, s.maxWorth = fresh.set, fresh.tick, fresh.waitSeen, fresh.maxWorth
}
