package platform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"sumacloft/internal/downstream"
	"sumacloft/internal/inflight"
	"sumacloft/internal/standin"
)

// guarded serves a front as the daemon does.
func guarded(t *testing.T, front *Front) string {
	guard := downstream.New(16, inflight.New(inflight.Limits{Bytes: 1 << 20, Connections: 16}, inflight.Hooks{}))
	listener := standin.Listen(t)
	server := guard.Server(front, nil)
	go func() { _ = server.Serve(guard.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against the empty 200 for a client that closes its sending side after its request (docs/incidents/empty-200.md).
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	silent := func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }
	_, _, _, front := start(t, silent, silent)
	body := "{}"
	received := standin.HalfClosed(t, guarded(t, front), fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n"+
		"Request-Class: filing\r\nRequest-Timeout: 400m\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if received != "" {
		t.Errorf("received %q", received)
	}
}

// The health check is answered by the front itself, and so is a stream without events.
func TestEmptyAnswersAreWritten(t *testing.T) {
	nothing := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	_, _, _, front := start(t, reads, nothing)
	addr := guarded(t, front)
	response, err := http.Get("http://" + addr + healthURL)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("health check: %v, %v", response, err)
	}
	got := ask(t, addr, "query", nil)
	if !strings.HasPrefix(got, "HTTP/1.1 ") {
		t.Errorf("a stream without events: %q", got)
	}
}
