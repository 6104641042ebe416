// Package brain decides, for one router, which engines of a model server fleet prefill prompts and decode answers. KV
// state that waits for its writer is held under a short lease, which the writer's signs of life renew in batch.
//
// A router makes one Scheduler with New, passes it every Event in the order of arrival by Handle, and carries out the
// returned Actions in order. Handle never blocks, does no I/O, reads no clock and starts no goroutine. Equal
// settings, seed and events give equal actions. A Scheduler is not safe for concurrent use. Its memory grows with the
// open requests and the listed engines only.
//
// The interface is in api.go and the data in state.go. A request's life cycle, retries and final answers are in
// requests.go. readers.go chooses a reader by rendezvous hashing or refuses the request, writers.go chooses a writer
// and keeps the leases. learn.go learns the speed of engines and health.go their chance of failure. cold.go limits
// what a starting engine is sent. brain.go holds constants and timers.
package brain

import "time"

// RequestID identifies one try of a client. A retry by the client has a new one.
type RequestID uint64

// EngineID identifies a model server. The scheduler only compares and hashes it.
type EngineID uint64

// Role is what a kind of engine can do.
type Role uint8

// The roles of engines.
const (
	Reader Role = iota // prefills prompts
	Writer             // decodes answers
	Mixed              // does both
)

// Effect is what repeating a request does.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
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

// Class holds what the operator configures for a class of requests.
type Class struct {
	Aim            time.Duration // a first token within this time earns full worth
	AimPer1kPrompt time.Duration // added to the aim for each 1,000 prompt tokens
	Deadline       time.Duration // the client's timeout over all its tries
	Worth          float64       // per unit of work
	Effect         Effect
	Scope          Scope         // Keyed only
	RepeatWindow   time.Duration // Keyed only: counted from the first send that may have run
}

// Kind is a type of machine.
type Kind struct {
	Role         Role
	MemoryTokens float64 // 0: unknown
}

// Settings configure a Scheduler. UpdateSettings replaces them.
type Settings struct {
	Zone    int // of this router; below 0: none, and no zone is preferred
	Routers int // that share the engines, with this one; 0: unknown
	Classes []Class
	Kinds   []Kind

	MaxAttempts int // per request; 0: no limit
	MaxHoldOff  time.Duration
	HoldOff     bool // refusals may carry a hold-off
	Probing     bool
	Cancelling  bool
	WritersRead bool // a writer prefills the prompt itself if no reader can
	AskForList  bool // the list of engines comes only on request

	// LateShare of the time between a request's aim and its deadline is added to the aim for admission. With 0, a
	// request that would be late is refused on arrival.
	LateShare float64

	// RereadWeight is the extra cost of prefilling a shared prefix once more, as a multiple of its time.
	RereadWeight float64

	// MinPrefillTokens is the length from which a prompt gets a separate prefill. A shorter one is prefilled by its
	// writer, which costs less than a separate prefill and a transfer. 0: all are prefilled separately.
	MinPrefillTokens float64

	// Admitted is, by class, the share of the requests that the fleet has capacity for: those of the lowest rank. The
	// others are refused on arrival. A class past its end is admitted whole.
	Admitted []float64

	Step          time.Duration // shortest time between two calls of Handle with different times
	PinLimit      time.Duration // state with no attempt out must be fetched or released within this time
	AskWithin     time.Duration // AskForList: ask at least this often while not subscribed
	ColdShare     float64       // an engine starts with at least this share of its capacity
	WarmAfter     time.Duration // and is warm after this time
	OverloadRatio float64       // a cold engine fails when sent more than this multiple of its capacity
	OverloadFor   time.Duration // over this time
}

// Load is an engine's load report. A negative value means that the report lacks it.
type Load struct {
	Known       bool
	MemoryShare float64 // share of its memory in use
	WaitTokens  float64 // prompt tokens that wait to be prefilled or fetched
	Queue       float64 // requests that wait
	FromPeers   bool    // reported by other routers, which may not know of all work
}

// Handle processes one event at the time now and appends the resulting actions to out.
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

// Home returns the engine that requests with a prefix go to first if all engines are alike; 0 if there are none.
func Home(prefix uint64, engines []EngineID) (home EngineID) {
	best := 0.0
	for _, id := range engines {
		if u := unit(prefix, uint64(id)); u > best {
			home, best = id, u
		}
	}
	return home
}

// OpenAttempts returns how many attempts are out at an engine, those that stream their answer included.
func (s *Scheduler) OpenAttempts(id EngineID) int {
	if e := s.engines[id]; e != nil {
		return len(e.pending) + len(e.streams)
	}
	return 0
}

// Candidates returns the engines that a request's prompt would be considered for first, up to limit; none if its
// writer is to prefill it.
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

// PendingTokens returns how many prompt tokens of the attempts that are out at an engine are estimated to be unread.
func (s *Scheduler) PendingTokens(id EngineID) (tokens float64) {
	if e := s.engines[id]; e != nil {
		for _, r := range e.pending {
			tokens += r.work
		}
	}
	return tokens
}

// Event is an input of the scheduler: Listed, Arrived, Ended, Started, ClientGone, TimerFired, Probed or Reported.
type Event interface{ event() }

// ListKind tells what a Listed event contains.
type ListKind uint8

// The kinds of Listed events.
const (
	ListFailed   ListKind = iota // the list could not be fetched; the old one remains in use
	ListComplete                 // every engine; those absent are gone
	ListCached                   // as ListComplete, but possibly stale
	ListDelta                    // changed engines only
)

// Availability is an engine's state in the list.
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
	// ClassWeights scale, by class, the engine's share of the keys. With 0 nothing of the class goes there. The
	// fleet's plan sets them. A class past their end has weight 1.
	ClassWeights []float64
}

// Listed updates the list of engines from discovery.
type Listed struct {
	Kind    ListKind
	Engines []Engine
}

// Arrived is a request that the router has accepted. It is owed one final answer.
type Arrived struct {
	Request       RequestID
	Class         int
	Session       uint64 // 0: none
	Prefix        uint64 // prefix shared with other sessions; 0: none
	PromptTokens  float64
	PrefixTokens  float64
	MaxTokens     float64
	HintTokens    float64       // estimated length of the answer; 0: unknown
	Timeout       time.Duration // until the client's timeout for this try
	PriorAttempts int           // attempts made for it elsewhere; they count with ours
	Rank          float64       // its position, from 0 to 1, in its class's order of admission (Settings.Admitted)
	Homes         []EngineID    // engines expected to cache the prefix as well; a wrong one costs a prefill
	Resumed       bool          // the client wants the rest of a broken answer; its first token was in time
}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt. Only Full, ConnectFailed, NotSent, Read and Rejected prove that nothing ran.
const (
	Served Result = iota
	Read          // the prompt is prefilled, its state waits at the reader
	Errored
	Full // refused for lack of capacity; with Ended.NoState: there was no state to fetch
	TimedOut
	ConnectFailed
	Broke
	Cancelled
	NotSent      // withdrawn by the router before it was sent
	Rejected     // the engine finds the request invalid, as any other would
	NetworkFault // as Broke, perhaps without fault of the engine: the answer or connection was corrupted on the way
)

// Ended reports that an attempt is over. Exactly one follows each Send.
type Ended struct {
	Request      RequestID
	Attempt      int // the number of the request's Send, from 0
	Engine       EngineID
	Result       Result
	NoState      bool
	CachedTokens float64 // Read, Served: prompt tokens found cached
	Took         time.Duration
	Last         bool // the client has its final answer
	Load         Load
}

// Started reports that the answer has begun to stream. The client's deadline no longer counts.
type Started struct {
	Request RequestID
	Attempt int
	Engine  EngineID
	Took    time.Duration
}

// ClientGone reports that the client has left. No answer is owed any more.
type ClientGone struct{ Request RequestID }

// TimerFired follows a SetTimer.
type TimerFired struct{ Key uint64 }

// Probed is the result of a Probe.
type Probed struct {
	Engine EngineID
	Result Result // Served, or why it failed
	Took   time.Duration
	Load   Load
}

// Reported is an engine's load as other routers report it. It is no sign of life.
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

// Action is an instruction to the router: Send, Cancel, Refuse, Fail, Release, Probe, SetTimer, Subscribe or Log.
type Action interface{ action() }

// Send starts the request's next attempt at an engine.
type Send struct {
	Request RequestID
	Engine  EngineID
	Timeout time.Duration // 0: until the client's deadline
}

// Cancel cancels an attempt. Its Ended still follows.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Reason is why a request was not served, in words for operators.
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

// Refuse is a final answer that tells the client that a retry is harmless.
type Refuse struct {
	Request RequestID
	Reason  Reason
	HoldOff time.Duration // how long the client should wait before a retry; 0: no advice
}

// Fail is a final answer without that promise: the request may have run.
type Fail struct {
	Request RequestID
	Reason  Reason
}

// Release frees all state held for the request that no attempt waits for.
type Release struct{ Request RequestID }

// Probe tests an engine. A Probed follows.
type Probe struct{ Engine EngineID }

// SetTimer requests a TimerFired with the same Key, at or after the time At.
type SetTimer struct {
	At  time.Duration
	Key uint64
}

// Subscribe asks discovery for all further changes of the list.
type Subscribe struct{}

// Log is a line for the operator about a changed assessment.
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

// UpdateSettings applies new settings to requests that arrive from now on. Classes keep their index, since open
// requests refer to it. An open request keeps its class as of its arrival. What the scheduler has learned of engines
// and requests remains.
func (s *Scheduler) UpdateSettings(set Settings) {
	fresh := New(set, s.seed)
	s.set, s.tick, s.waitSeen, s.maxWorth = fresh.set, fresh.tick, fresh.waitSeen, fresh.maxWorth
}
