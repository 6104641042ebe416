package chat

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/fleet/work"
)

const (
	keyHeader   = "Idempotency-Key"
	epochHeader = "X-Sumacloft-Epoch" // a server that keeps the newest epoch of a key can refuse older ones
	// waitsFor is how long a request may wait before it is written down that it does.
	waitsFor = 50 * time.Millisecond
	// streamsFor is how long an answer may stream before it is written down that it does.
	streamsFor = 200 * time.Millisecond
	// endsFor is how long the end of a request is tried to be written down.
	endsFor = 5 * time.Second
	// writesFor is how long an intent to send may take: past that the request is refused while it can be.
	writesFor = 1500 * time.Millisecond
	// comeAgain is when a client is told to come again whose request another router has, or may take.
	comeAgain = 500 * time.Millisecond
	// looks is how often a request that another router runs is looked at.
	looks = 20 * time.Millisecond
)

// fate is how a request in hand ended for its clients.
type fate uint8

const (
	running  fate = iota
	answered      // by a server, and that is written down
	unknown       // it may have run, and that is written down
	refused       // it has not run, or may run again
	away          // it was not sent, since that could not be written down
	lost          // it is another router's by now
)

// flight is one request in hand. It outlives its client: who comes again finds it.
type flight struct {
	h      *Handover
	entry  *work.Entry
	job    *job
	stop   context.CancelFunc
	effect ledger.Effect
	epoch  int64           // of samples, that it began in; 0: it makes none
	made   *samples.Sample // the sample that it came to, once that is written down

	mu      sync.Mutex
	head    ledger.Answer // Status and Type, once the answer has begun
	body    []byte        // as it came
	more    chan struct{} // closed when anything changes
	fate    fate
	holdOff time.Duration // with refused
	twin    *ledger.Record
}

// waits writes down that the request waits, if it does.
func (fl *flight) waits() {
	fl.mu.Lock()
	over := fl.fate != running
	fl.mu.Unlock()
	if over || fl.entry.Record().Attempts > 0 {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), writesFor)
	defer done()
	err := fl.entry.Wait(ctx)
	if errors.As(err, new(*work.Conflict)) || errors.Is(err, ledger.ErrNotOwner) {
		fl.abandon(err)
	}
}

// streams writes down that the answer streams, if it still does.
func (fl *flight) streams() {
	fl.mu.Lock()
	over := fl.fate != running
	fl.mu.Unlock()
	if over {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), writesFor)
	defer done()
	if err := fl.entry.Streaming(ctx); err != nil { // the end, which is written too, decides
		fl.h.Log.WithField("key", fl.entry.Record().Key).WithError(err).Debug("work: not written down that it streams")
	}
}

// sending is asked before an attempt: what is about to be sent must be written down. An error says that it is not sent.
func (fl *flight) sending(ctx context.Context, worker string) error {
	ctx, done := context.WithTimeout(ctx, writesFor)
	defer done()
	err := fl.entry.Sending(ctx, worker)
	if err == nil {
		return nil
	}
	fl.abandon(err)
	return &core.AttemptError{Stage: core.NotConnected, Err: core.ErrCancelled}
}

// abandon gives the request up here, unsent: it is another's, or it can't be written down.
func (fl *flight) abandon(err error) {
	var twin *work.Conflict
	switch {
	case errors.As(err, &twin):
		fl.mu.Lock()
		fl.twin = &twin.Record
		fl.mu.Unlock()
		fl.end(lost, 0)
	case errors.Is(err, ledger.ErrNotOwner):
		fl.end(lost, 0)
	default:
		fl.h.Log.WithField("key", fl.entry.Record().Key).WithError(err).Warn("work: a request is refused, since it can't be written down")
		fl.end(away, 0)
	}
	fl.entry.Leave()
	fl.stop()
}

// clear is asked just before the first byte, after whatever else was asked.
func (fl *flight) clear(before func() error) func() error {
	return func() error {
		if err := before(); err != nil {
			return err
		}
		work.Pause()
		if fl.entry.Clear() != nil {
			fl.abandon(ledger.ErrNotOwner)
			return core.ErrCancelled
		}
		return nil
	}
}

// tried is told how an attempt ended that brought no answer.
func (fl *flight) tried(err error) {
	var e *core.AttemptError
	if errors.As(err, &e) && (e.Stage < core.Written && e.Verdict == core.NoVerdict || e.Verdict == core.NotStarted) {
		fl.entry.NeverRan()
	}
}

// end settles the request's fate, once.
func (fl *flight) end(f fate, holdOff time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.fate != running {
		return
	}
	fl.fate, fl.holdOff = f, holdOff
	fl.changed()
}

// changed wakes all who listen; the lock is held.
func (fl *flight) changed() {
	close(fl.more)
	fl.more = make(chan struct{})
}

// ending writes an end down and only then lets clients hear of it.
func (fl *flight) ending(f fate, holdOff, within time.Duration, write func(context.Context) error) {
	fl.mu.Lock()
	over := fl.fate != running
	fl.mu.Unlock()
	if over {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), within)
	defer done()
	if err := write(ctx); err != nil {
		fl.h.Log.WithField("key", fl.entry.Record().Key).WithError(err).Info("work: the end could not be written down here; whoever has the request sees to it")
		fl.entry.Leave()
		f = lost
	}
	fl.end(f, holdOff)
}

// Refuse serves core.Client.
func (fl *flight) Refuse(holdOff time.Duration) {
	fl.job.refused()
	fl.ending(refused, holdOff, writesFor, fl.entry.Drop)
}

// Fail serves core.Client: what may run again is dropped, so that whoever comes again has it run; of anything else nobody
// can tell.
func (fl *flight) Fail() {
	if fl.effect == ledger.Safe {
		fl.ending(refused, comeAgain, writesFor, fl.entry.Drop)
		return
	}
	fl.ending(unknown, 0, writesFor, func(ctx context.Context) error { return fl.entry.End(ctx, ledger.Unknown, ledger.Answer{}) })
}

// Pass serves core.Client: it never waits for who listens.
func (fl *flight) Pass(events []byte) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.fate != running || len(fl.body)+len(events) > maxWhole {
		return errors.New("nobody can take the rest")
	}
	if fl.head.Status == 0 {
		fl.head = ledger.Answer{Status: fl.job.status, Type: fl.job.kind()}
		if fl.job.stream {
			time.AfterFunc(streamsFor, fl.streams)
		}
	}
	fl.body = append(fl.body, events...)
	fl.changed()
	return nil
}

// Finish serves core.Client.
func (fl *flight) Finish() {
	_ = fl.Pass(nil) // an answer that is a status alone
	fl.mu.Lock()
	a := fl.head
	a.Body = fl.body
	fl.mu.Unlock()
	made, along := fl.sampled(a)
	fl.ending(answered, 0, endsFor, func(ctx context.Context) error {
		err := fl.entry.End(ctx, ledger.Answered, a, along...)
		if err == nil {
			fl.made = made
		}
		return err
	})
}

// Break serves core.Client: the answer broke midway.
func (fl *flight) Break() { fl.Fail() }

// close is told last: a request that the core gave up without an answer, as its context had ended, has one by now.
func (fl *flight) close() {
	fl.entry.Leave()
	fl.end(lost, 0)
	if fl.epoch != 0 {
		fl.h.Samples.Ended(fl.made)
	}
}

// answer serves one client from the flight. A request of which another router was quicker is given back.
func (fl *flight) answer(w http.ResponseWriter, req *http.Request) (twin *ledger.Record) {
	rc, at, begun := http.NewResponseController(w), 0, false
	for {
		fl.mu.Lock()
		head, body, f, holdOff, more := fl.head, fl.body, fl.fate, fl.holdOff, fl.more
		twin = fl.twin
		fl.mu.Unlock()
		if f != answered {
			body = body[:deliverable(body, fl.job.stream && head.Status == http.StatusOK)]
		}
		if len(body) > at || (f == answered && !begun) {
			if !begun {
				begun = true
				fl.job.headTo(w.Header(), head, len(body))
				w.WriteHeader(head.Status)
			}
			if rc.SetWriteDeadline(time.Now().Add(writeTime)) != nil {
				return nil
			}
			if _, err := w.Write(body[at:]); err != nil || rc.Flush() != nil {
				return nil // the client has left; the flight goes on
			}
			at = len(body)
		}
		switch {
		case f == running:
			select {
			case <-more:
			case <-req.Context().Done():
				return nil
			}
			continue
		case f == answered:
			_ = rc.SetWriteDeadline(time.Time{}) // a connection gone by now is seen by the server
			return nil
		case twin != nil && !begun:
			return twin
		case begun: // a stream that broke, or is another's: it is not closed, and coming again begins anew
			panic(http.ErrAbortHandler)
		}
		fl.decline(w, f, holdOff)
		return nil
	}
}

// decline tells a client that has heard nothing yet that there is no answer.
func (fl *flight) decline(w http.ResponseWriter, f fate, holdOff time.Duration) {
	out := &client{w: w}
	switch {
	case f == refused:
		out.Refuse(holdOff)
	case f == away:
		unavailable(w)
	case f == lost && (fl.entry.Keyed() || fl.effect == ledger.Safe):
		elsewhere(w)
	default:
		out.Fail()
	}
}

// elsewhere sends a client that has a key to come again: the key guards it.
func elsewhere(w http.ResponseWriter) {
	retryAfter(w, comeAgain)
	fail(w, http.StatusServiceUnavailable, "server_error", "in_progress", "the request is in hand; come again with the same key")
}

// deliverable is how much of an answer a client may have before its end is written down: of a stream all events but the
// closing one, of anything else nothing.
func deliverable(body []byte, stream bool) int {
	if !stream {
		return 0
	}
	end := bytes.LastIndexByte(body, '\n') + 1
	for end > 0 { // an event ends with an empty line; the closing one is held back with whatever follows
		event := bytes.LastIndex(body[:end], []byte(lastData))
		if event < 0 {
			return end
		}
		end = bytes.LastIndexByte(body[:event], '\n') + 1
		if data, ok := bytes.CutPrefix(body[end:event], []byte("data:")); !ok || len(bytes.TrimSpace(data)) > 0 {
			return bytes.LastIndexByte(body, '\n') + 1 // it only speaks of it
		}
		return end
	}
	return 0
}
