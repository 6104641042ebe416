package chat

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/upstream"
)

// maxWhole bounds an answer that does not stream: it is held until it is whole.
const maxWhole = 4 << 20

// Servers makes the calls to chat servers.
type Servers struct {
	pool       *upstream.Pool
	healthPath string
}

// NewServers makes the calls over the pool's connections.
func NewServers(pool *upstream.Pool, healthPath string) *Servers {
	return &Servers{pool: pool, healthPath: healthPath}
}

// Probe asks for a sign of life.
func (s *Servers) Probe(ctx context.Context, w core.Worker) error {
	head := "GET " + s.healthPath + " HTTP/1.1\r\nHost: " + w.Addr + "\r\n\r\n"
	a, err := s.pool.Do(ctx, w.Addr, http.MethodGet, []byte(head), nil)
	if err != nil {
		return err
	}
	if _, err := a.Small(); err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("status %d", a.StatusCode)}
	}
	return nil
}

// Forget serves core.Prober.
func (s *Servers) Forget(w core.Worker) { s.pool.Drop(w.Addr) }

// job is one chat request on its way to servers. It is asked of one server at a time, and what the last one
// said stands for the answer.
type job struct {
	servers     *Servers
	arrival     brain.Arrived
	body        []byte
	stream      bool
	auth        string
	contentType string
	idempotency string   // the client's Idempotency-Key
	class       int      // the class's place in the terms that it was taken under
	flight      *flight  // nil: it is not written down
	meter       Meter    // nil: nobody counts
	openings    Openings // nil: nobody asks
	first       []byte   // the opening, in body
	model       string
	className   string
	aim         time.Duration
	came        time.Time
	sample      sampled      // of a class that makes samples: the server that was asked last
	safe        bool         // running again harms nobody
	guard       func() error // nil: nothing but the list is asked at the write

	shut   atomic.Bool // the guard let nothing pass
	free   func()      // gives back the body's memory
	status int         // of the answer that is passed on
	header http.Header
	length int // of an answer that is passed on whole
}

// Arrival serves core.Job.
func (j *job) Arrival(id brain.RequestID) brain.Arrived {
	j.arrival.Request = id
	return j.arrival
}

// Release serves core.Job: chat servers hold nothing between calls.
func (j *job) Release(context.Context, core.Worker) error { return nil }

// Done serves core.Job.
func (j *job) Done() { j.free() }

// Try serves core.Job.
func (j *job) Try(ctx context.Context, w core.Worker, clear func() error) (core.Reply, error) {
	if j.flight == nil {
		return j.try(ctx, w, clear)
	}
	if err := j.flight.sending(ctx, w.Name); err != nil {
		return core.Reply{}, err
	}
	j.flight.asking(w)
	reply, err := j.try(ctx, w, j.flight.clear(clear))
	if err != nil {
		j.flight.tried(err)
	}
	return reply, err
}

func (j *job) try(ctx context.Context, w core.Worker, clear func() error) (core.Reply, error) {
	sent := time.Now()
	reply, err := j.ask(ctx, w, j.guarded(clear))
	if err == nil && j.openings != nil && j.status == http.StatusOK {
		j.opened(w, reply)
	}
	if j.meter != nil && (err == nil || ctx.Err() == nil && !core.Withdrawn(err)) {
		var e *core.AttemptError
		heard := err == nil || errors.As(err, &e) && e.Verdict != core.NoVerdict
		j.meter.Tried(Attempt{Worker: w, Class: j.className, Session: j.arrival.Session, Heard: heard, InTime: err == nil && time.Since(j.came) <= j.aim,
			Failed: err != nil && (e == nil || e.Verdict != core.NotStarted), First: time.Since(sent)})
	}
	return reply, err
}

// guarded asks the guard before the list, if there is one, after all that takes time: a process that was stopped may have
// slept through its lease, and servers have been let out since that it still takes for ready.
func (j *job) guarded(clear func() error) func() error {
	if j.guard == nil || j.flight != nil {
		return clear
	}
	return func() error {
		if j.guard() != nil {
			j.shut.Store(true)
			return core.ErrSendingForbidden
		}
		return clear()
	}
}

func (j *job) ask(ctx context.Context, w core.Worker, clear func() error) (core.Reply, error) {
	a, err := j.servers.pool.Do(ctx, w.Addr, http.MethodPost, j.bytes(w), clear)
	if err != nil {
		return core.Reply{}, err
	}
	if !passes(a.StatusCode) {
		return core.Reply{}, refusal(a)
	}
	if j.stream && a.StatusCode == http.StatusOK {
		if err := a.First(); err != nil {
			return core.Reply{}, err
		}
		j.status, j.header = a.StatusCode, a.Header
		return core.Reply{Stream: &stream{Answer: a}}, nil
	}
	body, err := a.Whole(maxWhole)
	if err == nil && len(body) == 0 && a.StatusCode == http.StatusOK {
		err = &core.AttemptError{Stage: core.Head, Err: errEmpty}
	}
	if err != nil {
		return core.Reply{}, err
	}
	j.status, j.header, j.length = a.StatusCode, a.Header, len(body)
	return core.Reply{Stream: &whole{body: body}}, nil
}

// passes tells whether an answer is the client's business: it was served, or the request itself is at fault,
// which no other server would see differently. All else is between the router and its servers.
func passes(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// refusal reads an answer that is not passed on. Only a server's plain word that it did not start proves that;
// 429 and 503 alone do not.
func refusal(a *upstream.Answer) error {
	_, err := a.Small() // for the connection's sake
	if err == nil {
		err = fmt.Errorf("status %d", a.StatusCode)
	}
	e := &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: err}
	if a.Header.Get("Not-Started") == "1" {
		e.Verdict = core.NotStarted
	}
	return e
}

func (j *job) bytes(w core.Worker) []byte {
	out := make([]byte, 0, 512+len(j.body))
	out = append(out, "POST /v1/chat/completions HTTP/1.1\r\nHost: "+w.Addr+"\r\n"...)
	out = append(out, idHeader+": "+j.id()+"\r\n"...)
	headers := [][2]string{{"Content-Type", j.contentType}, {"Authorization", j.auth}}
	if j.flight != nil { // the client's own key, or one of ours, and whose turn it is
		rec := j.flight.entry.Record()
		headers = append(headers, [2]string{keyHeader, cmp.Or(j.idempotency, rec.Key)}, [2]string{epochHeader, strconv.FormatInt(rec.Epoch, 10)})
	}
	for _, h := range headers {
		if h[1] != "" {
			out = append(out, h[0]+": "+h[1]+"\r\n"...)
		}
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(j.body))+"\r\n\r\n"...)
	return append(out, j.body...)
}

// id names the request in the logs of servers and clients.
func (j *job) id() string { return "req-" + strconv.FormatUint(uint64(j.arrival.Request), 16) }

// served puts the head of a server's answer together.
func (j *job) served(h http.Header) {
	j.headTo(h, ledger.Answer{Status: j.status, Type: j.kind()}, j.length)
}

// kind is the answer's content type.
func (j *job) kind() string { return cmp.Or(j.header.Get("Content-Type"), "application/json") }

// headTo writes the head of an answer of a length, which a stream does not tell.
func (j *job) headTo(h http.Header, a ledger.Answer, length int) {
	h.Set("Content-Type", a.Type)
	h.Set(idHeader, j.id())
	if j.stream && a.Status == http.StatusOK {
		h.Set("Cache-Control", "no-cache")
		return
	}
	h.Set("Content-Length", strconv.Itoa(length))
}

var (
	errNotClosed = errors.New("the stream ended without its closing event")
	errEmpty     = errors.New("an answer without a body")
)

// stream is a streamed answer. It is whole once its closing event has come, and never before.
type stream struct {
	*upstream.Answer
	closing closing
}

// Next serves core.Stream.
func (s *stream) Next() ([]byte, error) {
	b, err := s.Answer.Next()
	s.closing.watch(b)
	switch {
	case err == nil:
		return b, nil
	case s.closing.seen || s.closing.done():
		return b, io.EOF
	case errors.Is(err, io.EOF):
		err = &core.AttemptError{Stage: core.Streaming, Err: errNotClosed}
	}
	return b, err
}

// whole is an answer that came in one piece.
type whole struct{ body []byte }

// Next serves core.Stream.
func (s *whole) Next() ([]byte, error) { return s.body, io.EOF }

// Close serves core.Stream.
func (s *whole) Close() {}
