package calls

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"sumacloft/internal/core"
	"sumacloft/internal/upstream"
)

// Reasons for not accepting an answer.
var (
	errOtherRequest  = errors.New("the answer belongs to another request")
	errNoSeal        = errors.New("a successful answer without the worker's seal")
	errNoAttemptLeft = errors.New("no further attempt is allowed")
)

// noAttemptLeft returns the error that ends a request for which no further attempt is allowed.
func noAttemptLeft() *core.AttemptError {
	return &core.AttemptError{Stage: core.NotConnected, Err: fmt.Errorf("%w: %w", errNoAttemptLeft, core.ErrSendingForbidden)}
}

// notRun reports whether the worker guarantees that it has not run the request.
func notRun(answer *upstream.Answer) bool {
	return answer.Header.Get(headerNotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// errorOf converts an unsuccessful answer of a worker to an error.
func errorOf(answer *upstream.Answer) *core.AttemptError {
	e := &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("status %d", answer.StatusCode)}
	switch {
	case notRun(answer):
		e.Verdict = core.NotStarted
	case answer.StatusCode >= 400 && answer.StatusCode < 500:
		e.Verdict = core.Rejected
	}
	return e
}

// Head is the status and headers of an answer.
type Head struct {
	Status int
	Header http.Header
	Length int64  // of the body in bytes; negative if unknown
	Framed bool   // the end of the body does not depend on the end of the connection
	Worker string // name of the worker; set for streams
}

// Headed is implemented by streams whose head is known.
type Headed interface{ Head() Head }

// Stream is a worker's answer that is forwarded as it arrives.
type Stream struct {
	*upstream.Answer
	worker string
}

// Head implements Headed.
func (s *Stream) Head() Head {
	return Head{
		Status: s.StatusCode,
		Header: s.Header,
		Length: s.ContentLength,
		Framed: s.ContentLength >= 0 || len(s.TransferEncoding) > 0,
		Worker: s.worker,
	}
}

// bufferedAnswer is a worker's answer that is read completely before it is forwarded.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	read   bool
}

// Head implements Headed.
func (w *bufferedAnswer) Head() Head {
	return Head{Status: w.status, Header: w.header, Length: int64(len(w.body))}
}

// Next implements core.Stream.
func (w *bufferedAnswer) Next() ([]byte, error) {
	if w.read {
		return nil, io.EOF
	}
	w.read = true
	return w.body, io.EOF
}

// Close implements core.Stream.
func (w *bufferedAnswer) Close() {}
