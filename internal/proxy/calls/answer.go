package calls

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"sumacloft/internal/core"
	"sumacloft/internal/upstream"
)

// Why an answer was not taken.
var (
	errOtherRequest  = errors.New("the answer belongs to another request")
	errNoSeal        = errors.New("a success without the worker's seal")
	errNoAttemptLeft = errors.New("no further attempt is allowed")
)

// noAttemptLeft ends a request for which nothing more may be sent.
func noAttemptLeft() *core.AttemptError {
	return &core.AttemptError{Stage: core.NotConnected, Err: fmt.Errorf("%w: %w", errNoAttemptLeft, core.ErrShut)}
}

// notRun tells whether the worker promised that it has not run the request.
func notRun(answer *upstream.Answer) bool {
	return answer.Header.Get(headerNotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// errorOf is a worker's answer that serves nothing.
func errorOf(answer *upstream.Answer) *core.AttemptError {
	e := &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("status %d", answer.StatusCode)}
	switch {
	case notRun(answer):
		e.Verdict = core.TurnedAway
	case answer.StatusCode >= 400 && answer.StatusCode < 500:
		e.Verdict = core.Rejected
	}
	return e
}

// Head is the status and headers of an answer.
type Head struct {
	Status int
	Header http.Header
	Length int64  // of the body in bytes; below 0: not known
	Framed bool   // the body's end can be told from that of its connection
	Worker string // name of the worker, of a stream
}

// Headed is a stream whose head is known.
type Headed interface{ Head() Head }

// Stream is a worker's answer that is passed on as it comes.
type Stream struct {
	*upstream.Answer
	worker string
}

// Head serves Headed.
func (s *Stream) Head() Head {
	return Head{
		Status: s.StatusCode,
		Header: s.Header,
		Length: s.ContentLength,
		Framed: s.ContentLength >= 0 || len(s.TransferEncoding) > 0,
		Worker: s.worker,
	}
}

// bufferedAnswer is a worker's answer that came whole before any of it is passed on.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	read   bool
}

// Head serves Headed.
func (w *bufferedAnswer) Head() Head {
	return Head{Status: w.status, Header: w.header, Length: int64(len(w.body))}
}

// Next serves core.Stream.
func (w *bufferedAnswer) Next() ([]byte, error) {
	if w.read {
		return nil, io.EOF
	}
	w.read = true
	return w.body, io.EOF
}

// Close serves core.Stream.
func (w *bufferedAnswer) Close() {}
