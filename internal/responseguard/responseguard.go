// Package responseguard ensures that a client never receives a response that no handler wrote. net/http completes a
// request whose handler returns without writing anything with an empty 200, which a client takes for a success.
package responseguard

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
)

// ErrNoStatus reports a flush before a status was written. net/http would send an implicit 200.
var ErrNoStatus = errors.New("responseguard: flush before a status was written; write the status first")

// Handler returns a handler that aborts the connection if next returns without having written a final status or a body.
// The client then receives no response at all, as after a broken connection.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		guarded := &writer{ResponseWriter: w}
		next.ServeHTTP(guarded, request)
		if !guarded.written {
			panic(http.ErrAbortHandler) // the server closes the connection without a response
		}
	})
}

// writer records whether a response was written.
type writer struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter. Informational statuses are not final; 101 is.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.written = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(data)
}

// FlushError flushes for http.ResponseController. It fails before a status was written.
func (w *writer) FlushError() error {
	if !w.written {
		return ErrNoStatus
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher. It does nothing before a status was written.
func (w *writer) Flush() { _ = w.FlushError() } // the interface has no error

// Hijack implements http.Hijacker. The handler answers on the connection by itself.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffer, err := http.NewResponseController(w.ResponseWriter).Hijack()
	w.written = w.written || err == nil
	return conn, buffer, err
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// MaxBytesReader is http.MaxBytesReader for a handler below Handler. net/http closes the connection after a body that is
// too large only if it is given its own writer.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = wrapped.Unwrap()
	}
}
