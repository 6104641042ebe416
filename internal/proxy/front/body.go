package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sumacloft/internal/opconf"
)

// lingerTimeout is how long what a refused client goes on sending is read, so that it can read why.
const lingerTimeout = 500 * time.Millisecond

// readBody reads a request's body whole, within the limits and until a deadline.
func readBody(w http.ResponseWriter, request *http.Request, limits opconf.Limits, deadline time.Time) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(limits.BodyBytes)
	if limit > 0 && request.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := io.Reader(&pacedReader{
		body:     request.Body,
		control:  http.NewResponseController(w),
		maxPause: limits.Quiet,
		deadline: deadline,
	})
	if limit > 0 {
		reader = http.MaxBytesReader(w, io.NopCloser(reader), limit)
	}
	if request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	return io.ReadAll(reader)
}

// pacedReader reads a body that may neither pause for longer than quiet (0: for as long as it likes) nor go on past the
// deadline.
type pacedReader struct {
	body     io.Reader
	control  *http.ResponseController
	maxPause time.Duration
	deadline time.Time
}

// Read serves io.Reader.
func (s *pacedReader) Read(p []byte) (int, error) {
	until := s.deadline
	if pause := time.Now().Add(s.maxPause); s.maxPause > 0 && pause.Before(until) {
		until = pause
	}
	_ = s.control.SetReadDeadline(until) // fails on a closed connection, as the read does
	n, err := s.body.Read(p)
	// The server goes on reading after a request's end to see whether the client leaves: no deadline may be left.
	_ = s.control.SetReadDeadline(time.Time{})
	return n, err
}

// refuseBody answers a request whose body did not come whole: it has not run.
func (f *Front) refuseBody(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // fails on a closed connection
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		f.writeAnswer(w, http.StatusRequestEntityTooLarge, "the body is larger than the configured body_bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.writeAnswer(w, http.StatusRequestTimeout, "the body did not come in time")
	default:
		f.writeAnswer(w, http.StatusBadRequest, "the body can't be read")
	}
}
