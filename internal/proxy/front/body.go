package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sumacloft/internal/bounds"
	"sumacloft/internal/inflight"
	"sumacloft/internal/opconf"
	"sumacloft/internal/responseguard"
)

// defaultBodyBytes applies if the configuration sets no body_bytes.
const defaultBodyBytes = 16 << 20

// readBody reads a request's complete body, within the limits and before the deadline, and charges it to the request's
// holder.
func readBody(w http.ResponseWriter, request *http.Request, limits opconf.Limits, deadline time.Time) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if request.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	reader := io.Reader(&pacedReader{
		body:     request.Body,
		control:  http.NewResponseController(w),
		maxPause: limits.Quiet,
		deadline: deadline,
	})
	reader = responseguard.MaxBytesReader(w, io.NopCloser(reader), limit)
	body, err := inflight.ReadBody(reader, request.ContentLength, limit, bounds.Holder(request))
	request.Trailer = nil // it is not passed on, and would be held with the request
	return body, err
}

// pacedReader reads a body whose pauses may not exceed maxPause (0: no limit) and which must end before the deadline.
type pacedReader struct {
	body     io.Reader
	control  *http.ResponseController
	maxPause time.Duration
	deadline time.Time
}

// Read implements io.Reader.
func (s *pacedReader) Read(p []byte) (int, error) {
	until := s.deadline
	if pause := time.Now().Add(s.maxPause); s.maxPause > 0 && pause.Before(until) {
		until = pause
	}
	_ = s.control.SetReadDeadline(until) // fails on a closed connection, as the read does
	n, err := s.body.Read(p)
	// After a request's end the server keeps reading to detect a disconnected client, so the deadline must be cleared.
	_ = s.control.SetReadDeadline(time.Time{})
	return n, err
}

// refuseBody answers a request whose body was not received completely. The request has not run. Package bounds limits how long
// the rest of the body is waited for.
func (f *Front) refuseBody(w http.ResponseWriter, holder *inflight.Holder, err error) {
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case inflight.NoRoom(err), holder.Evicted():
		bounds.RefuseNoRoom(w)
	case errors.As(err, &large), errors.Is(err, inflight.ErrTooLarge):
		f.writeAnswer(w, http.StatusRequestEntityTooLarge, "the body is larger than the configured body_bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.writeAnswer(w, http.StatusRequestTimeout, "the body did not come in time")
	default:
		f.writeAnswer(w, http.StatusBadRequest, "the body can't be read")
	}
}
