package responseguard_test

import (
	"bufio"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/responseguard"
)

// serve starts a server with a guarded handler and returns its URL.
func serve(c *qt.C, handler http.HandlerFunc) string {
	server := httptest.NewUnstartedServer(responseguard.Handler(handler))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	c.Cleanup(server.Close)
	return server.URL
}

// Guards against the empty 200 that net/http sends for a handler that wrote nothing (docs/incidents/empty-200.md).
func TestNoResponseIsSentThatNoHandlerWrote(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"returns":       func(http.ResponseWriter, *http.Request) {},
		"sets a header": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Some", "value") },
		"panics":        func(http.ResponseWriter, *http.Request) { panic("fault") },
		"reads and returns": func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"flushes": func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() },
		"flushes through a controller": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
		},
		"sends hints only": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response, err := http.Post(serve(c, handler), "text/plain", strings.NewReader("request"))
			if err == nil {
				c.Fatalf("status %d from a handler that wrote nothing", response.StatusCode)
			}
		})
	}
}

func TestWrittenResponsesPass(t *testing.T) {
	for name, given := range map[string]struct {
		handler http.HandlerFunc
		status  int
		body    string
	}{
		"a status":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 204, ""},
		"an empty 200": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, 200, ""},
		"a body":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }, 200, "body"},
		"an error":     {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 503) }, 503, "no\n"},
		"a stream": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "one ")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "two")
		}, 200, "one two"},
		"a hijacked connection": {func(w http.ResponseWriter, _ *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
			_ = buffer.Flush()
			_ = conn.Close()
		}, 200, "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			response, err := http.Get(serve(c, given.handler))
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, given.status)
			c.Assert(string(body), qt.Equals, given.body)
		})
	}
}

func TestTooLargeBodyClosesItsConnection(t *testing.T) {
	c := qt.New(t)
	const limit = 8
	url := serve(c, func(w http.ResponseWriter, request *http.Request) {
		_, err := io.ReadAll(responseguard.MaxBytesReader(w, request.Body, limit))
		if !errors.As(err, new(*http.MaxBytesError)) {
			panic(err)
		}
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	})
	response, err := http.Post(url, "text/plain", bufio.NewReader(strings.NewReader(strings.Repeat("x", 1<<20))))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(response.Close, qt.IsTrue)
}
