package bounds

import (
	"errors"
	"io"
	"net/http"
	"time"

	"sumacloft/internal/inflight"
	"sumacloft/internal/responseguard"
)

// endBodies wraps a handler. After a handler that has not read its request's whole body, net/http reads on, so that the
// client can read the answer; endBodies limits how long.
func endBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength == 0 {
			next.ServeHTTP(w, request)
			return
		}
		body := &endNoted{ReadCloser: request.Body}
		request.Body = body
		next.ServeHTTP(w, request)
		if !body.ended {
			inflight.DropHead(request)
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // fails on a closed connection
		}
	})
}

// endNoted is a body that notes its end.
type endNoted struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *endNoted) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

const (
	// bodyPause is how long a metered body may pause, bodyTimeout how long it may take. The largest takes 20 s at 10 Mbit/s.
	bodyPause   = 5 * time.Second
	bodyTimeout = time.Minute
	// meteredCopies is how many times a handler may hold the bytes of a metered body at once: it reads into a buffer that
	// doubles, and decodes that.
	meteredCopies = 3
)

// MeterBodies wraps a handler that reads bodies by itself. The bytes that it reads are charged, the body may not pause for
// long nor take longer than bodyTimeout, and may have at most limit bytes. A request runs once its body has been read.
func MeterBodies(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		holder := Holder(request)
		if request.ContentLength > limit {
			w.Header().Set("Connection", "close")
			http.Error(w, "the body is too large for this path", http.StatusRequestEntityTooLarge)
			return
		}
		if request.ContentLength == 0 {
			if pin(w, holder) {
				next.ServeHTTP(w, request)
			}
			return
		}
		limited := responseguard.MaxBytesReader(w, request.Body, limit)
		request.Body = &meteredBody{ReadCloser: limited, request: request, holder: holder, control: http.NewResponseController(w),
			until: time.Now().Add(bodyTimeout)}
		next.ServeHTTP(w, request)
	})
}

// pin records that a request runs from now on. If it had to make room for others, pin refuses it and returns false.
func pin(w http.ResponseWriter, holder *inflight.Holder) bool {
	if err := holder.Pin(); err != nil {
		RefuseNoRoom(w)
		return false
	}
	return true
}

// RefuseNoRoom answers a request for which there is no room. It has not run.
func RefuseNoRoom(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "too many requests are open: this one has not run; retry later", http.StatusServiceUnavailable)
}

// meteredBody charges the bytes that are read.
type meteredBody struct {
	io.ReadCloser
	request *http.Request
	holder  *inflight.Holder
	control *http.ResponseController
	until   time.Time // when the body must be complete
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyPause)
	if b.until.Before(deadline) {
		deadline = b.until
	}
	_ = b.control.SetReadDeadline(deadline) // fails on a closed connection, as the read does
	n, err := b.ReadCloser.Read(p)
	_ = b.control.SetReadDeadline(time.Time{})
	if full := b.holder.Grow(int64(meteredCopies * n)); n > 0 && full != nil {
		return 0, full
	}
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // no handler reads it
		if evicted := b.holder.Pin(); evicted != nil {
			return 0, evicted
		}
	}
	return n, err
}
