package downstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sumacloft/internal/inflight"
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
	errNoRoom     = &Fault{http.StatusServiceUnavailable, "too much is open for others"}
)

// bodyCopies is how many times a body is held beside what was read: what is parsed of it, and its copy on the way to a server.
const bodyCopies = 2

// Body takes a request and reads its body within the time for it. free gives back the request's place and the memory
// that it is charged for.
func Body(w http.ResponseWriter, req *http.Request) (body []byte, free func(), err error) {
	if req.ContentLength > MaxBody {
		linger(w)
		return nil, nil, errLarge
	}
	c := of(req)
	if c == nil {
		body, err = inflight.ReadBody(req.Body, req.ContentLength, MaxBody, nil)
		return body, func() {}, fault(w, err)
	}
	if !c.guard.enter() {
		w.Header().Set("Retry-After", "1")
		return nil, nil, errNoRoom
	}
	body, charged, err := c.read(req)
	free = sync.OnceFunc(func() {
		c.guard.done()
		c.holder.Shrink(charged)
		c.holder.Unpin()
	})
	if err == nil {
		// The server goes on reading to see whether the client leaves; that must not run into the limit.
		err = http.NewResponseController(w).SetReadDeadline(time.Time{})
	} else if c.holder.Evicted() {
		err = inflight.ErrEvicted
	}
	if err = fault(w, err); err != nil {
		inflight.DropHead(req)
		free()
		return nil, nil, err
	}
	return body, free, nil
}

// read reads a body and has the request run from then on. charged is what was charged for it.
func (c *Conn) read(req *http.Request) (body []byte, charged int64, err error) {
	if body, err = inflight.ReadBody(req.Body, req.ContentLength, MaxBody, c.holder); err != nil {
		return nil, 0, err
	}
	req.Trailer = nil // nothing reads it
	charged = int64(cap(body))
	more := bodyCopies*int64(len(body)) + inflight.RequestBytes
	if err = c.holder.Grow(more); err != nil {
		return nil, charged, err
	}
	return body, charged + more, c.holder.Pin()
}

// fault is why a body was not taken, for the client. A body that was not read whole is not waited for.
func fault(w http.ResponseWriter, err error) error {
	if err == nil {
		return nil
	}
	linger(w)
	switch {
	case errors.Is(err, inflight.ErrTooLarge):
		return errLarge
	case inflight.NoRoom(err):
		w.Header().Set("Retry-After", "1")
		return errNoRoom
	}
	return errUnreadable
}

// linger has the connection closed after the answer, without waiting for the rest of the body, but such that the
// client can still read why: net/http does so once a limited reader finds a body too long.
func linger(w http.ResponseWriter) {
	_, _ = io.ReadAll(responseguard.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)) // its error is the point
}
