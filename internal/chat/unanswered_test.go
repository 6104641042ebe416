package chat

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/downstream"
	"sumacloft/internal/inflight"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// Guards against the empty 200 for a client that closes its sending side after its request (docs/incidents/empty-200.md).
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	silent := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/health" {
			<-req.Context().Done()
		}
	}
	chat := set(standin.HTTP(t, http.HandlerFunc(silent)))
	servers := NewServers(upstream.NewPool(upstream.NewBudget(16), config.Millis(chat.ConnectTimeoutMs), config.Millis(chat.ConnIdleMs)), chat.HealthPath)
	c := core.New(chat.Brain(), 7, servers, standin.Log())
	c.Listed(brain.ListComplete, chat.Workers())
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	guard := downstream.New(16, inflight.New(inflight.Limits{Bytes: 1 << 20, Connections: 16}, inflight.Hooks{}))
	listener := standin.Listen(t)
	server := guard.Server(New(c, servers, chat), nil)
	go func() { _ = server.Serve(guard.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })

	body := `{"model":"filing","messages":[{"role":"user","content":"x"}]}`
	received := standin.HalfClosed(t, listener.Addr().String(), fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if received != "" {
		t.Errorf("received %q", received)
	}
}
