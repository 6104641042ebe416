package core

import (
	"context"
	"errors"
	"fmt"

	"sumacloft/brain"
)

// Stage is how far an attempt came.
type Stage uint8

// The stages of an attempt, in order. Before Written the worker can't have the whole request, so it has never
// run. From Written on it may have run, whatever else is known.
const (
	NotConnected Stage = iota
	PartlyWritten
	Written   // the request, to its last byte
	Head      // the head of the answer has come
	Streaming // events have been forwarded
)

func (s Stage) String() string {
	return [...]string{"not connected", "partly written", "written", "head", "streaming"}[s]
}

// Verdict is a worker's own statement on a request that it did not serve.
type Verdict uint8

// The verdicts.
const (
	NoVerdict    Verdict = iota // the attempt broke, or the answer proves nothing
	NotStarted                  // refused before it started
	StateGone                   // never started: there was no state to fetch
	Faulted                     // failed; it may have run
	Rejected                    // invalid request, for any worker
	NetworkFault                // apparently not of the worker: the answer or the connection was corrupted
)

// AttemptError is how an attempt failed. Its fields are evaluated, not only printed.
type AttemptError struct {
	Stage   Stage
	Verdict Verdict
	Err     error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("attempt failed (%v): %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Reasons why this router ended an attempt.
var (
	ErrCancelled = errors.New("attempt cancelled by this router")
	ErrNotReady  = errors.New("worker is draining or removed")
	ErrExpired   = errors.New("time limit reached")
	ErrNoSocket  = errors.New("no socket available")
	// ErrSendingForbidden means that this router may send nothing at all now. The request ends with it.
	ErrSendingForbidden = errors.New("this router must not send requests now")
)

// Withdrawn reports whether this router ended the attempt. That is no evidence on the worker.
func Withdrawn(err error) bool {
	for _, cause := range [...]error{ErrNoSocket, ErrCancelled, ErrNotReady, ErrSendingForbidden, context.Canceled} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// result is the one place that maps the error of an attempt to a scheduler result. Unclear cases count as
// possibly run.
func result(err error) (r brain.Result, noState bool) {
	var e *AttemptError
	if !errors.As(err, &e) {
		return brain.Broke, false
	}
	withdrawn := Withdrawn(e.Err)
	late := errors.Is(e.Err, ErrExpired) || errors.Is(e.Err, context.DeadlineExceeded)
	switch {
	case e.Verdict == NotStarted:
		return brain.Full, false
	case e.Verdict == StateGone:
		return brain.Full, true
	case e.Verdict == Faulted:
		return brain.Errored, false
	case e.Verdict == Rejected:
		return brain.Rejected, false
	case e.Stage < Written && withdrawn:
		return brain.NotSent, false // by this router: no evidence on the worker
	case e.Stage < Written:
		return brain.ConnectFailed, false
	case withdrawn:
		return brain.Cancelled, false
	case late:
		return brain.TimedOut, false
	case e.Verdict == NetworkFault:
		return brain.NetworkFault, false
	}
	return brain.Broke, false
}
