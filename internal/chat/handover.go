package chat

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/fleet/work"
)

// Handover keeps the requests in hand of the classes that ask for it: what is sent is written down before, and what
// has ended before its client hears of it. Use NewHandover, then Bind.
type Handover struct {
	Book  *work.Book
	Spans work.Spans
	// Serve has safe classes served on without a record while the store is away.
	Serve bool
	Log   logrus.FieldLogger
	// Samples counts the answers of classes that make samples; nil: none does.
	Samples Sampler

	front   *Front
	mu      sync.Mutex
	flights map[string]*flight // by the record's key
}

// Bind gives a front its handover; it is called before the front serves.
func (h *Handover) Bind(f *Front) {
	h.front, h.flights, f.handover = f, map[string]*flight{}, h
}

// effects are the effects of classes as records have them.
var effects = map[string]ledger.Effect{"safe": ledger.Safe, "keyed": ledger.Keyed, "unsafe": ledger.Unsafe}

// serve serves a request of a class that has handover.
func (h *Handover) serve(w http.ResponseWriter, req *http.Request, t *Terms, j *job, class config.ChatClass) {
	if !h.Book.Ready() {
		h.without(w, req, j, class)
		return
	}
	given := req.Header.Get(keyHeader)
	rec := ledger.Record{Key: work.Anonymous(), Class: class.Name, Version: t.version, Effect: effects[class.Effect], Window: int64(class.WindowMs), Stream: j.stream,
		TakenMs: work.Wall().UnixMilli(), Deadline: work.Wall().Add(j.arrival.Timeout).UnixMilli(), Digest: h.Book.Digest([]byte("body"), j.body),
		Request: ledger.Request{Body: j.body, Type: j.contentType, Auth: j.auth, Session: req.Header.Get(t.set.SessionHeader), Key: given}}
	if given != "" {
		rec.Key = h.Book.ClientKey(j.auth, given)
		if h.known(w, req, rec) {
			j.free()
			return
		}
	}
	if class.Samples && h.Samples != nil {
		rec.SampleEpoch = h.Samples.Epoch()
	}
	entry, err := h.Book.New(rec, given != "")
	switch {
	case errors.As(err, new(*work.Conflict)): // one came in between
		j.free()
		h.twin(w, req, rec)
		return
	case errors.Is(err, ledger.ErrFull):
		j.free()
		retryAfter(w, comeAgain)
		fail(w, http.StatusServiceUnavailable, "server_error", "ledger_full", err.Error()+"; the request has not run")
		return
	case err != nil:
		h.without(w, req, j, class)
		return
	}
	span, named := h.Spans.Taken(rec)
	entry.Traced(named)
	fl := h.fly(entry, j, rec.Effect, span)
	time.AfterFunc(waitsFor, fl.waits)
	if fl.answer(w, req) != nil { // another router was quicker with the same key
		h.twin(w, req, rec)
	}
}

// without serves a request while nothing can be written down: a safe one, if the operator says so, and none that makes a
// sample, which nobody would count.
func (h *Handover) without(w http.ResponseWriter, req *http.Request, j *job, class config.ChatClass) {
	if h.Serve && class.Effect == "safe" && !class.Samples {
		h.front.run(w, req, j)
		return
	}
	j.free()
	unavailable(w)
}

func unavailable(w http.ResponseWriter) {
	retryAfter(w, comeAgain)
	fail(w, http.StatusServiceUnavailable, "server_error", "ledger_unavailable", "work in hand can't be written down just now; the request has not run")
}

// fly has a request run, whoever listens.
func (h *Handover) fly(entry *work.Entry, j *job, effect ledger.Effect, span trace.Span) *flight {
	ctx, stop := context.WithCancel(context.Background())
	fl := &flight{h: h, entry: entry, job: j, stop: stop, effect: effect, more: make(chan struct{})}
	j.flight = fl
	fl.begins()
	key := entry.Record().Key
	h.mu.Lock()
	h.flights[key] = fl
	h.mu.Unlock()
	go func() {
		defer func() {
			if p := recover(); p != nil {
				h.Log.Errorf("a request in hand panicked: %v\n%s", p, debug.Stack())
			}
			fl.close()
			stop()
			h.mu.Lock()
			if h.flights[key] == fl {
				delete(h.flights, key)
			}
			h.mu.Unlock()
			span.End()
		}()
		h.front.core.Do(ctx, j, fl)
	}()
	return fl
}

// Resume runs what this router has taken over, to its end: through the core and the module like any other request,
// with the time and the attempts that are left.
func (h *Handover) Resume(entry *work.Entry) {
	rec := entry.Record()
	ctx, done := context.WithTimeout(context.Background(), endsFor)
	defer done()
	body, err := entry.Body()
	t, gone := h.front.gate.Take(ctx)
	if err != nil || gone != nil {
		h.Log.WithField("key", rec.Key).WithError(errors.Join(err, gone)).Warn("work: what was taken over can't be run here")
		entry.Leave() // it is found again
		return
	}
	class, named := t.named[rec.Class]
	if !named || effects[t.set.Classes[class].Effect] != rec.Effect {
		class = len(t.set.Classes) // what the class was is gone: it must never run twice
	}
	j, err := h.front.read(t, body, class)
	if err != nil {
		h.Log.WithField("key", rec.Key).WithError(err).Warn("work: what was taken over can't be read under the policy in force")
		if rec.Step == ledger.Waiting || rec.Effect == ledger.Safe {
			_ = entry.Drop(ctx) // whoever comes again is told why
		} else {
			_ = entry.End(ctx, ledger.Unknown, ledger.Answer{})
		}
		return
	}
	j.auth, j.contentType, j.free = rec.Request.Auth, rec.Request.Type, func() {}
	j.idempotency = rec.Request.Key
	j.arrival.Timeout = time.UnixMilli(rec.Deadline).Sub(work.Wall())
	j.arrival.PriorAttempts = rec.Attempts
	if rec.Effect == ledger.Keyed && t.set.MaxAttempts > 0 { // the window began elsewhere: one attempt, while it is open
		j.arrival.PriorAttempts = max(rec.Attempts, t.set.MaxAttempts-1)
	}
	if rec.Request.Session != "" {
		j.arrival.Session = hash([]byte(rec.Request.Session))
	}
	h.fly(entry, j, rec.Effect, h.Spans.Resumed(rec))
}

// HandOver gives what waits, and has a client that will come again, to other routers.
func (h *Handover) HandOver() {
	h.mu.Lock()
	list := make([]*flight, 0, len(h.flights))
	for _, fl := range h.flights {
		list = append(list, fl)
	}
	h.mu.Unlock()
	for _, fl := range list {
		if rec := fl.entry.Record(); rec.Step != ledger.Waiting || !fl.entry.Keyed() {
			continue
		}
		ctx, done := context.WithTimeout(context.Background(), writesFor)
		if fl.entry.Free(ctx) == nil {
			fl.end(lost, 0)
			fl.stop()
		}
		done()
	}
}

// Settle waits until nothing is in flight, or until ctx ends.
func (h *Handover) Settle(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		n := len(h.flights)
		h.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(looks):
		}
	}
}

// known answers a client whose key is known, from this router's flights or from the store; false: it is not known.
func (h *Handover) known(w http.ResponseWriter, req *http.Request, rec ledger.Record) bool {
	waited := time.NewTimer(time.UnixMilli(rec.Deadline).Sub(work.Wall()))
	defer waited.Stop()
	seen := false
	for {
		h.mu.Lock()
		fl := h.flights[rec.Key]
		h.mu.Unlock()
		if fl != nil && fl.entry.Record().Digest != rec.Digest {
			reused(w)
			return true
		}
		if fl != nil && fl.answer(w, req) == nil {
			return true
		}
		seen = seen || fl != nil // of a flight that lost to another router's, that one is looked for
		found, there, err := h.Book.Find(req.Context(), rec.Key)
		switch {
		case err != nil: // what is there can't be told
			unavailable(w)
			return true
		case !there && !seen:
			return false
		case !there: // it was in hand a moment ago, and has not run, or may run again
			elsewhere(w)
			return true
		}
		switch seen = true; found.OnDuplicate(rec.Digest) {
		case ledger.KeyReused:
			reused(w)
			return true
		case ledger.Replay:
			h.kept(w, found)
			return true
		}
		select {
		case <-req.Context().Done():
			return true
		case <-waited.C:
			elsewhere(w)
			return true
		case <-time.After(looks):
		}
	}
}

// twin answers a client whose key is surely known, though it may not show yet, here or in this router's copy.
func (h *Handover) twin(w http.ResponseWriter, req *http.Request, rec ledger.Record) {
	for end := time.Now().Add(comeAgain); !h.known(w, req, rec); time.Sleep(looks / 4) {
		if time.Now().After(end) {
			elsewhere(w)
			return
		}
	}
}

func reused(w http.ResponseWriter) {
	fail(w, http.StatusUnprocessableEntity, "invalid_request_error", "idempotency_key_reused", "the key was used for another request")
}

// kept answers with what a record has.
func (h *Handover) kept(w http.ResponseWriter, rec ledger.Record) {
	a, err := work.Kept(rec)
	switch {
	case err != nil:
		h.Log.WithField("key", rec.Key).Error(err)
		fallthrough
	case rec.Outcome == ledger.Answered && a.BodyOmitted:
		w.Header().Set(noRetry, "false")
		fail(w, statusUnknown, "server_error", "answer_not_kept", "the request has run; its answer was too large to be kept")
	case rec.Outcome == ledger.Answered:
		w.Header().Set("Content-Type", a.Type)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body) // a client that has left may come again
	default:
		(&client{w: w}).Fail()
	}
}

// read makes a job of a body that another router took, under a class by its place in the terms.
func (f *Front) read(t *Terms, body []byte, class int) (*job, error) {
	a, limit, err := t.read(body)
	if err != nil {
		return nil, err
	}
	j := f.job(t, a, limit, class, body)
	f.measure(j, a.Messages, "")
	return j, nil
}
