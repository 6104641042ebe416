package core

import (
	"context"
	"errors"
	"fmt"

	"sumacloft/brain"
)

// Stage is how far an attempt came.
type Stage uint8

// The stages of an attempt, in their order. Before Written the worker can't have the whole request, so it has
// never run; from Written on it may have, whatever else is known.
const (
	NotConnected Stage = iota
	PartlyWritten
	Written   // to the last byte
	Head      // of the answer has come
	Streaming // events have been passed on
)

func (s Stage) String() string {
	return [...]string{"not connected", "partly written", "written", "head", "streaming"}[s]
}

// Verdict is a worker's own word on a request that it did not serve.
type Verdict uint8

// The verdicts.
const (
	NoVerdict    Verdict = iota // the attempt broke, or the answer says nothing certain
	NotStarted                  // and never started
	StateGone                   // never started: there was no state to fetch
	Faulted                     // an error; it may have run
	Rejected                    // the request itself is at fault, whichever worker gets it
	NetworkFault                // none of the worker's, as far as can be told: the answer or the connection was spoilt
)

// AttemptError is how an attempt failed. It is a value to be judged, not only to be shown.
type AttemptError struct {
	Stage   Stage
	Verdict Verdict
	Err     error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("attempt failed (%v): %v", e.Stage, e.Err) }

// Unwrap gives the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Why an attempt was given up by this router.
var (
	ErrCancelled = errors.New("called off")
	ErrNotReady  = errors.New("the worker drains or is gone")
	ErrExpired   = errors.New("time is up")
	ErrNoSocket  = errors.New("no socket is left")
	// ErrSendingForbidden says that this router may send nothing at all now; the request ends with it.
	ErrSendingForbidden = errors.New("this router may send nothing now")
)

// Withdrawn tells whether an attempt was given up by this router: that is no word on the worker.
func Withdrawn(err error) bool {
	for _, cause := range [...]error{ErrNoSocket, ErrCancelled, ErrNotReady, ErrSendingForbidden, context.Canceled} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// result is the one place where the fate of an attempt becomes the module's word for it. What is unclear is
// taken as maybe run.
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
		return brain.NotSent, false // our doing: no word on the worker
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
