// Package ledger holds what is written down of work in hand, and what may be done with it: how a record goes from one
// step to the next, whose it is, and what becomes of it when its owner is lost. It does no I/O and knows no clock; times
// are Unix milliseconds, given as arguments.
//
// A record belongs to one router's one process, its owner, under an epoch. Whoever changes it does so by a compare on
// the record as it was read, so of two who would take it one wins, and an owner whose record was taken finds out at its
// next write. What matters is written before it is done: that a request is about to be sent, before its first byte goes
// out; its answer, before the client has the last of it.
package ledger

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Step is how far a request came.
type Step uint8

// The steps of a request.
const (
	Waiting   Step = iota // taken, never sent
	Sent                  // about to be sent: it may have reached a server
	Streaming             // its answer has begun
	Ended
)

func (s Step) String() string { return [...]string{"waiting", "sent", "streaming", "ended"}[s] }

// Effect is what running a request twice means.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // no harm
	Keyed                // servers drop repeats of a key, for a while
	Unsafe               // it must never run twice
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota
	Answered         // by a server; the answer is kept, if it was not too large
	Unknown          // it may have run; nobody can tell
)

func (o Outcome) String() string { return [...]string{"open", "answered", "unknown"}[o] }

// Owner is a process of a router.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// Answer is a server's answer, or as much of its head as clients get.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	Type        string `cbor:"2,keyasint"` // Content-Type
	Body        []byte `cbor:"3,keyasint,omitempty"`
	BodyOmitted bool   `cbor:"4,keyasint,omitempty"` // the body was too large to be kept
}

// Request is what a request consists of, for whoever must send it.
type Request struct {
	Body        []byte `cbor:"1,keyasint,omitempty"`
	BodyOmitted bool   `cbor:"2,keyasint,omitempty"` // the body was too large to be kept
	Type        string `cbor:"3,keyasint,omitempty"`
	Auth        string `cbor:"4,keyasint,omitempty"`
	Session     string `cbor:"5,keyasint,omitempty"`
	Key         string `cbor:"6,keyasint,omitempty"` // the Idempotency-Key that the client gave
}

// Record is what is written down of one request.
type Record struct {
	Key         string  `cbor:"1,keyasint"` // a keyed digest of the client's key; or one drawn for a request without
	Digest      string  `cbor:"2,keyasint"` // a keyed digest of the body
	Class       string  `cbor:"3,keyasint"`
	Version     int64   `cbor:"4,keyasint"` // of the policy that it was taken under
	Effect      Effect  `cbor:"5,keyasint"`
	Window      int64   `cbor:"6,keyasint,omitempty"` // Keyed: for how long repeats are dropped, in milliseconds
	Stream      bool    `cbor:"7,keyasint,omitempty"`
	Owner       Owner   `cbor:"8,keyasint"`
	Epoch       int64   `cbor:"9,keyasint"`
	Step        Step    `cbor:"10,keyasint"`
	Worker      string  `cbor:"11,keyasint,omitempty"` // that it was sent to last
	Attempts    int     `cbor:"12,keyasint,omitempty"`
	FirstMs     int64   `cbor:"13,keyasint,omitempty"` // when the first attempt that may have run was about to be sent
	TakenMs     int64   `cbor:"14,keyasint"`
	Deadline    int64   `cbor:"15,keyasint"` // until then its answer must have begun
	Outcome     Outcome `cbor:"16,keyasint,omitempty"`
	EndedMs     int64   `cbor:"17,keyasint,omitempty"`
	Request     Request `cbor:"18,keyasint"`
	Answer      Answer  `cbor:"19,keyasint"`
	Trace       string  `cbor:"20,keyasint,omitempty"` // the trace and the span in which it was taken
	SampleEpoch int64   `cbor:"21,keyasint,omitempty"` // the epoch of samples that it began in; 0: its answer is no sample
	Rev         int64   `cbor:"-"`                     // the store's revision of the record
}

// ErrNotOwner says that the record is another's by now: nothing more may be done for it.
var ErrNotOwner = errors.New("the work has been taken over")

// MarkSent is the record as it must stand before an attempt's first byte goes out.
func (r Record) MarkSent(worker string, now int64) Record {
	r.Step, r.Worker = Sent, worker
	r.Attempts++
	if r.FirstMs == 0 {
		r.FirstMs = now
	}
	return r
}

// MaySend tells whether one more attempt is within the window in which servers drop repeats, where that matters.
func (r Record) MaySend(now int64) bool {
	return r.Effect != Keyed || r.FirstMs == 0 || now < r.FirstMs+r.Window-clockMargin
}

// MarkNotRun is the record once it is certain that the last attempt did not reach a server.
func (r Record) MarkNotRun() Record {
	if r.Attempts == 1 {
		r.FirstMs = 0
	}
	r.Step, r.Worker = Waiting, ""
	return r
}

// End is the record with its outcome. The request is kept no longer.
func (r Record) End(o Outcome, a Answer, now int64) Record {
	r.Step, r.Outcome, r.Answer, r.EndedMs, r.Request = Ended, o, a, now, Request{}
	return r
}

// Claim is the record of one who takes it over.
func (r Record) Claim(by Owner) Record {
	r.Owner = by
	r.Epoch++
	return r
}

// Release is the record of an owner that gives it up: whoever comes first takes it.
func (r Record) Release() Record {
	r.Owner = Owner{}
	return r
}

// Orphan tells whether a record's owner is no process that lives.
func (r Record) Orphan(live []Owner) bool { return r.Step != Ended && !slices.Contains(live, r.Owner) }

// Recovery is what becomes of a record whose owner is lost.
type Recovery uint8

// The verdicts.
const (
	Keep   Recovery = iota // it has its outcome
	Run                    // it never ran: run it, once
	Repeat                 // it may have run, and may run again
	Settle                 // it may have run and must not run again: its outcome is unknown, for good
	Drop                   // it never ran, or running it again is harmless, and it can't be run: whoever comes again begins anew
)

func (v Recovery) String() string { return [...]string{"keep", "run", "repeat", "settle", "drop"}[v] }

// clockMargin is taken off the window in which servers drop repeats: clocks of two routers differ.
const clockMargin = 500

// Recovery decides what becomes of a record whose owner is lost. attempts is how many the policy allows, 0 for any number.
//
//	how far            safe                       keyed                           unsafe
//	waiting            run                        run                             run
//	sent, streaming    repeat within attempts     repeat within its window too    settle
//	ended              keep                       keep                            keep
//
// What can't be run any more (its time is over, its body was not kept, no attempt is left) is dropped where it never
// ran or may run again, and settled where it may have run and may not.
func (r Record) Recovery(now int64, attempts int) Recovery {
	runnable := now < r.Deadline && !r.Request.BodyOmitted && (attempts == 0 || r.Attempts < attempts)
	switch {
	case r.Step == Ended:
		return Keep
	case r.Step == Waiting && runnable:
		return Run
	case r.Step == Waiting:
		return Drop
	case r.Effect == Safe && runnable:
		return Repeat
	case r.Effect == Safe:
		return Drop
	case r.Effect == Keyed && runnable && r.MaySend(now):
		return Repeat
	}
	return Settle
}

// DuplicateAction is what a client is told that comes with a key that is known.
type DuplicateAction uint8

// The answers to a key that is known.
const (
	Join      DuplicateAction = iota // it is running: wait for its outcome
	Replay                           // the kept answer, or that its outcome is unknown
	KeyReused                        // the key was used for something else
)

// OnDuplicate decides what a client is told that comes again with a record's key.
func (r Record) OnDuplicate(digest string) DuplicateAction {
	switch {
	case r.Digest != digest:
		return KeyReused
	case r.Step == Ended:
		return Replay
	}
	return Join
}

// Successor is the router, of those that live, that is to take an orphan over: by rendezvous hashing, so that the
// survivors share what a lost one had in hand, and each knows its part without asking.
func Successor(key string, live []Owner) (Owner, bool) {
	if len(live) == 0 {
		return Owner{}, false
	}
	names := make([]string, len(live))
	for i, o := range live {
		names[i] = o.Name
	}
	slices.Sort(names)
	name := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	i := slices.IndexFunc(live, func(o Owner) bool { return o.Name == name })
	return live[i], true
}

// Limits bound what a router writes down.
type Limits struct {
	Open   int           // requests in hand at once
	Kept   int           // ended ones whose time is not over
	Body   int           // bytes of a body, compressed
	Answer int           // bytes of an answer, compressed
	Keep   time.Duration // how long an ended one is kept
}

// Account counts what one router has written down, against its limits. It is used by one goroutine at a time.
type Account struct {
	limits    Limits
	open      int
	batches   []batch // ended ones by the time at which they go, ascending
	keptCount int
}

type batch struct {
	until int64
	n     int
}

// NewAccount makes an account.
func NewAccount(l Limits) *Account { return &Account{limits: l} }

// ErrFull says that the ledger has no room: the request must be refused before it is sent.
var ErrFull = errors.New("the ledger of work in hand is full")

// Open takes a place for a request in hand.
func (a *Account) Open(now int64) error {
	a.expire(now)
	if a.open >= a.limits.Open || a.open+a.keptCount >= a.limits.Open+a.limits.Kept {
		return ErrFull
	}
	a.open++
	return nil
}

// Close gives the place back; kept tells whether the record stays for its time.
func (a *Account) Close(now int64, kept bool) {
	a.open--
	if !kept {
		return
	}
	until := now + a.limits.Keep.Milliseconds()
	if last := len(a.batches) - 1; last >= 0 && a.batches[last].until/1000 == until/1000 {
		a.batches[last].n++
	} else {
		a.batches = append(a.batches, batch{until, 1})
	}
	a.keptCount++
}

func (a *Account) expire(now int64) {
	for len(a.batches) > 0 && a.batches[0].until <= now {
		a.keptCount -= a.batches[0].n
		a.batches = a.batches[1:]
	}
}

// Counts is how many requests are open, and how many ended ones are kept.
func (a *Account) Counts(now int64) (open, kept int) {
	a.expire(now)
	return a.open, a.keptCount
}
