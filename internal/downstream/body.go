package downstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sumacloft/internal/responseguard"
)

// MaxBody bounds the body of a request.
const MaxBody = 256 << 10

// Fault is why a request was not taken, with the status that says so.
type Fault struct {
	Status int
	Text   string
}

func (f *Fault) Error() string { return f.Text }

var (
	errLarge      = &Fault{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBody)}
	errUnreadable = &Fault{http.StatusBadRequest, "the body can't be read"}
	errCrowded    = &Fault{http.StatusServiceUnavailable, "too much is open for others"}
)

// firstPiece is what the memory for a body starts with: it grows as the body comes, so that those that say much and
// send nothing take little from the others.
const firstPiece = 16 << 10

// Body takes a request and reads its body within the time for it. free gives back the request's place and the memory
// that it counts for.
func Body(w http.ResponseWriter, req *http.Request) (body []byte, free func(), err error) {
	size := int(min(req.ContentLength, MaxBody+1))
	if size > MaxBody {
		linger(w)
		return nil, nil, errLarge
	}
	if size < 0 { // chunked: it may be as long as any, and one byte more shows that it is too long
		size = MaxBody + 1
	}
	c, held := of(req), 0
	if c != nil && !c.guard.enter() {
		w.Header().Set("Retry-After", "1")
		return nil, nil, errCrowded
	}
	free = sync.OnceFunc(func() {
		if c != nil {
			c.guard.done(held)
		}
	})
	for err == nil && len(body) < size {
		if len(body) == cap(body) {
			more := min(max(len(body), firstPiece), size-len(body))
			if c != nil && !c.guard.hold(more) {
				err = errCrowded
				break
			}
			held += more
			body = append(make([]byte, 0, len(body)+more), body...)
		}
		var n int
		n, err = req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	switch {
	case len(body) > MaxBody:
		err = errLarge
	case errors.Is(err, errCrowded):
	case len(body) == size || errors.Is(err, io.EOF):
		// The server goes on reading to see whether the client leaves; that must not run into the limit.
		err = http.NewResponseController(w).SetReadDeadline(time.Time{})
	default:
		err = errUnreadable
	}
	if err != nil {
		free()
		linger(w)
		return nil, nil, err
	}
	return body, free, nil
}

// linger has the connection closed after the answer, without waiting for the rest of the body, but such that the
// client can still read why: net/http does so once a limited reader finds a body too long.
func linger(w http.ResponseWriter) {
	_, _ = io.ReadAll(responseguard.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)) // its error is the point
}
