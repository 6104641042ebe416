package bounds_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/bounds"
)

// Guards against a body that never ends and never pauses for long: it kept its connection and its place for ever.
func TestMeteredBodyMayNotDripForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a server that meters bodies,
		limiter := bounds.NewFixed(nil)
		failed := make(chan error, 1)
		server := limiter.Server(bounds.MeterBodies(1<<20, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, err := io.ReadAll(request.Body)
			failed <- err
			w.WriteHeader(http.StatusServiceUnavailable)
		})), nil)
		listener := &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
		go func() { _ = server.Serve(limiter.Listen(listener)) }()
		defer func() { _ = server.Close() }()
		client, serving := net.Pipe()
		defer func() { _ = client.Close() }()
		listener.incoming <- serving
		go func() { _, _ = io.Copy(io.Discard, client) }()
		// when a client sends a byte each second,
		began := time.Now()
		_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
		c.Assert(err, qt.IsNil)
		for range 200 {
			if _, err := client.Write([]byte("x")); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		// then the body ends after a minute.
		select {
		case err := <-failed:
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
		default:
			c.Fatal("the body is still read")
		}
		c.Assert(time.Since(began) < 70*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}
