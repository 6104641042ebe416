// Package ledger defines the stored records of requests in flight and the rules for them: how a record moves from step
// to step, who owns it, and how it is recovered when its owner is lost. The package does no I/O and reads no clock.
// Times are Unix milliseconds, passed as arguments.
//
// A record is owned by one process of one router, under an epoch. Every change is a compare-and-swap on the record as
// it was read. So only one of two claims succeeds, and an owner that lost its record learns that at its next write.
// State is written before the action: a request is recorded as sent before its first byte goes out, and its answer
// before the client receives the last byte.
package ledger

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Step is the progress of a request.
type Step uint8

// The steps of a request.
const (
	Waiting   Step = iota // accepted, never sent
	Sent                  // sent or about to be sent: it may have reached a server
	Streaming             // the answer has begun
	Ended
)

func (s Step) String() string { return [...]string{"waiting", "sent", "streaming", "ended"}[s] }

// Effect is the effect of running a request twice.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // it may run twice
	Keyed                // servers drop duplicates of a key within a window
	Unsafe               // it must never run twice
)

// Outcome is the result of a request.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota
	Answered         // a server answered; the answer is kept unless it was too large
	Unknown          // it may have run, and its result can't be determined
)

func (o Outcome) String() string { return [...]string{"open", "answered", "unknown"}[o] }

// Owner is a process of a router.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// Answer is a server's answer, with the part of the headers that clients get.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	Type        string `cbor:"2,keyasint"` // Content-Type
	Body        []byte `cbor:"3,keyasint,omitempty"`
	BodyOmitted bool   `cbor:"4,keyasint,omitempty"` // the body was too large to be kept
}

// Request is the content of a request, so that another router can send it.
type Request struct {
	Body        []byte `cbor:"1,keyasint,omitempty"`
	BodyOmitted bool   `cbor:"2,keyasint,omitempty"` // the body was too large to be kept
	Type        string `cbor:"3,keyasint,omitempty"`
	Auth        string `cbor:"4,keyasint,omitempty"`
	Session     string `cbor:"5,keyasint,omitempty"`
	Key         string `cbor:"6,keyasint,omitempty"` // the client's Idempotency-Key
}

// Record is the stored record of one request.
type Record struct {
	Key         string  `cbor:"1,keyasint"` // keyed digest of the client's key, or random for a request without one
	Digest      string  `cbor:"2,keyasint"` // keyed digest of the body
	Class       string  `cbor:"3,keyasint"`
	Version     int64   `cbor:"4,keyasint"` // version of the policy that it was accepted under
	Effect      Effect  `cbor:"5,keyasint"`
	Window      int64   `cbor:"6,keyasint,omitempty"` // with Keyed: how long servers drop duplicates, in milliseconds
	Stream      bool    `cbor:"7,keyasint,omitempty"`
	Owner       Owner   `cbor:"8,keyasint"`
	Epoch       int64   `cbor:"9,keyasint"`
	Step        Step    `cbor:"10,keyasint"`
	Worker      string  `cbor:"11,keyasint,omitempty"` // the last worker that it was sent to
	Attempts    int     `cbor:"12,keyasint,omitempty"`
	FirstMs     int64   `cbor:"13,keyasint,omitempty"` // when the first attempt that may have run was recorded
	TakenMs     int64   `cbor:"14,keyasint"`
	Deadline    int64   `cbor:"15,keyasint"` // time by which its answer must have begun
	Outcome     Outcome `cbor:"16,keyasint,omitempty"`
	EndedMs     int64   `cbor:"17,keyasint,omitempty"`
	Request     Request `cbor:"18,keyasint"`
	Answer      Answer  `cbor:"19,keyasint"`
	Trace       string  `cbor:"20,keyasint,omitempty"` // trace and span in which it was accepted
	SampleEpoch int64   `cbor:"21,keyasint,omitempty"` // sampling epoch in which it began; 0: its answer is no sample
	Rev         int64   `cbor:"-"`                     // the store's revision of the record
}

// ErrNotOwner is returned when another process owns the record. The caller must do nothing more for the request.
var ErrNotOwner = errors.New("the work has been taken over")

// MarkSent returns the record to write before the first byte of an attempt goes out.
func (r Record) MarkSent(worker string, now int64) Record {
	r.Step, r.Worker = Sent, worker
	r.Attempts++
	if r.FirstMs == 0 {
		r.FirstMs = now
	}
	return r
}

// MaySend reports whether another attempt is within the window in which servers drop duplicates, if that matters.
func (r Record) MaySend(now int64) bool {
	return r.Effect != Keyed || r.FirstMs == 0 || now < r.FirstMs+r.Window-clockMargin
}

// MarkNotRun returns the record after it is certain that the last attempt did not reach a server.
func (r Record) MarkNotRun() Record {
	if r.Attempts == 1 {
		r.FirstMs = 0
	}
	r.Step, r.Worker = Waiting, ""
	return r
}

// End returns the record with its outcome, without the request's content.
func (r Record) End(o Outcome, a Answer, now int64) Record {
	r.Step, r.Outcome, r.Answer, r.EndedMs, r.Request = Ended, o, a, now, Request{}
	return r
}

// Claim returns the record under a new owner and the next epoch.
func (r Record) Claim(by Owner) Record {
	r.Owner = by
	r.Epoch++
	return r
}

// Release returns the record without an owner: the first router to claim it owns it.
func (r Record) Release() Record {
	r.Owner = Owner{}
	return r
}

// Orphan reports whether the record is unfinished and its owner is not alive.
func (r Record) Orphan(live []Owner) bool { return r.Step != Ended && !slices.Contains(live, r.Owner) }

// Recovery is what is done with a record whose owner is lost.
type Recovery uint8

// The ways to recover a record.
const (
	Keep   Recovery = iota // it has its outcome; nothing to do
	Run                    // it never ran; run it once
	Repeat                 // it may have run and may run again
	Settle                 // it may have run and must not run again; its outcome stays unknown
	Drop                   // it can't be run, and it never ran or is safe to repeat; a client's retry starts from scratch
)

func (v Recovery) String() string { return [...]string{"keep", "run", "repeat", "settle", "drop"}[v] }

// clockMargin shortens the window in which servers drop duplicates, because the clocks of routers differ.
const clockMargin = 500

// Recovery decides what happens to a record whose owner is lost. attempts is the limit of the policy, 0 for none.
//
//	step               safe                       keyed                           unsafe
//	waiting            run                        run                             run
//	sent, streaming    repeat within attempts     repeat within its window too    settle
//	ended              keep                       keep                            keep
//
// A request can't be run after its deadline, without its body, or without an attempt left. A record that never ran, or
// is safe, is then dropped. Any other is settled.
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

// DuplicateAction is how a request with a known key is answered.
type DuplicateAction uint8

// The actions for a known key.
const (
	Join      DuplicateAction = iota // it is in flight; wait for its outcome
	Replay                           // it has ended; return the kept answer, or that its outcome is unknown
	KeyReused                        // the key belongs to a request with another body
)

// OnDuplicate decides how to answer a client that sends the record's key again.
func (r Record) OnDuplicate(digest string) DuplicateAction {
	switch {
	case r.Digest != digest:
		return KeyReused
	case r.Step == Ended:
		return Replay
	}
	return Join
}

// Successor returns the live router that must take over an orphaned record. Rendezvous hashing spreads the records of a
// lost router over the others, and each router can compute its part alone.
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

// Limits bound the records of a router.
type Limits struct {
	Open   int           // requests in flight
	Kept   int           // ended records that are still kept
	Body   int           // bytes of a body, compressed
	Answer int           // bytes of an answer, compressed
	Keep   time.Duration // how long an ended record is kept
}

// Account counts the records of one router against its limits. It must not be used concurrently.
type Account struct {
	limits    Limits
	open      int
	batches   []batch // ended records by expiry time, ascending
	keptCount int
}

type batch struct {
	until int64
	n     int
}

// NewAccount returns an account without records.
func NewAccount(l Limits) *Account { return &Account{limits: l} }

// ErrFull is returned when a limit on records is reached. The request must be refused before it is sent.
var ErrFull = errors.New("the ledger of work in hand is full")

// Open reserves a record for a request.
func (a *Account) Open(now int64) error {
	a.expire(now)
	if a.open >= a.limits.Open || a.open+a.keptCount >= a.limits.Open+a.limits.Kept {
		return ErrFull
	}
	a.open++
	return nil
}

// Close ends the reservation. kept means that the ended record is kept for Limits.Keep.
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

// Counts returns the number of open requests and of ended records that are kept.
func (a *Account) Counts(now int64) (open, kept int) {
	a.expire(now)
	return a.open, a.keptCount
}
