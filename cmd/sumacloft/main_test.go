package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sumacloft/internal/standin"
)

// free is an address that nothing listens at.
func free(t *testing.T) string {
	l := standin.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

// After SIGTERM (here: the end of its context) a router is not ready, takes what still comes for a while, ends
// what it has taken, however long that streams, and only then stops.
func TestTermination(t *testing.T) {
	released := make(chan struct{})
	worker := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			return
		}
		_, _ = io.WriteString(w, "data: begun\n\n")
		w.(http.Flusher).Flush()
		<-released
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	listen := free(t)
	config, err := json.Marshal(map[string]any{"listen": listen, "discovery": free(t), "seed": "1",
		"known": map[string]any{"members": []any{map[string]any{"id": "s", "host_port": worker, "flavor": "both", "phase": "SERVING"}}},
		"settings": map[string]any{"kinds": []string{"both"}, "familyInfo": map[string]any{"kindRole": []string{"both"}, "kvTokens": []int{100000}},
			"classes": []any{map[string]any{"name": "c", "aimMs": 1000, "deadlineMs": 4000, "worth": 1, "effect": "read_like"}}}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("PROXY_CONFIG", path)
	r, err := onPlatform(standin.Log())
	if err != nil {
		t.Fatal(err)
	}
	ctx, terminate := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- r.serve(ctx, standin.Log()) }()
	health := func() int {
		resp, err := http.Get("http://" + listen + "/_health")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	standin.Eventually(t, 2*time.Second, "the router is ready", func() bool { return health() == 200 })
	ask := func() chan string {
		got := make(chan string, 1)
		go func() {
			req, _ := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader("{}"))
			for k, v := range map[string]string{"Request-Id": "a1", "Request-Class": "c", "Request-Timeout": "4000m"} {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				got <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			got <- string(body)
		}()
		return got
	}
	before := ask()
	time.Sleep(100 * time.Millisecond)
	terminate()
	standin.Eventually(t, 500*time.Millisecond, "the router is not ready any more", func() bool { return health() == 503 })
	time.Sleep(500 * time.Millisecond)
	after := ask() // about 0.6 s after the signal
	standin.Eventually(t, 2*time.Second, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	select {
	case err := <-stopped:
		t.Fatalf("stopped with requests out: %v", err)
	default:
	}
	close(released)
	for name, got := range map[string]chan string{"before": before, "after": after} {
		if text := <-got; !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("the request taken %s the signal got %q", name, text)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Errorf("stopped with %v", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("does not stop after its last answer")
	}
}

// The operator's file in deploy/ must start as it is.
func TestOperatorsFile(t *testing.T) {
	r, err := forOperator(standin.Log(), filepath.Join("..", "..", "deploy", "operator.toml"))
	if err != nil || r.front == nil || r.listen != "127.0.0.1:8080" {
		t.Fatalf("%+v, %v", r, err)
	}
}
