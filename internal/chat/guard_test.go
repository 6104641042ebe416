package chat

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// What the guard lets not pass reaches no server, is tried nowhere else, and is answered at once as not run. A query that
// has run before is refused all the same: it may run again.
func TestGuard(t *testing.T) {
	var asked, ran, guards atomic.Int64
	var shut, faulty atomic.Bool
	set := set(standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/health" {
			return
		}
		ran.Add(1)
		if faulty.Load() {
			shut.Store(true)
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write([]byte("{}"))
	})))
	set.MaxAttempts = 0 // nothing else bounds attempts but the deadline
	for i := range set.Classes {
		set.Classes[i].WholeMs = 5000
	}
	pool := upstream.NewPool(upstream.NewBudget(1024), config.Millis(set.ConnectTimeoutMs), config.Millis(set.ConnIdleMs))
	servers := NewServers(pool, set.HealthPath)
	c := core.New(set.Brain(), 7, servers, standin.Log())
	c.Listed(brain.ListComplete, set.Workers())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(ctx)
	front := New(c, servers, set)
	front.Guard(func() error {
		guards.Add(1)
		if shut.Load() {
			return errors.New("the lease is over")
		}
		return nil
	})
	addr := standin.HTTP(t, front)
	ask := func(model string) (int, string, time.Duration) {
		t.Helper()
		asked.Add(1)
		began := time.Now()
		resp, err := http.Post("http://"+addr+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"`+model+`","messages":[{}]}`))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var body struct{ Error struct{ Code string } }
		_ = json.NewDecoder(resp.Body).Decode(&body) // what has no error has no code
		return resp.StatusCode, body.Error.Code, time.Since(began)
	}
	for _, model := range []string{"query", "filing"} {
		shut.Store(true)
		before := guards.Load()
		status, code, took := ask(model)
		if status != 503 || code != "policy_unsettled" || took > time.Second || guards.Load() != before+1 || ran.Load() != 0 {
			t.Errorf("%s: %d %s after %v, asked %d times, ran %d", model, status, code, took, guards.Load()-before, ran.Load())
		}
	}
	shut.Store(false)
	if status, _, _ := ask("filing"); status != 200 {
		t.Errorf("open: %d", status)
	}
	faulty.Store(true)
	if status, code, took := ask("query"); status != 503 || code != "overloaded" || took > time.Second || ran.Load() != 2 {
		t.Errorf("a query that ran once, then shut: %d %s after %v, ran %d", status, code, took, ran.Load())
	}
	// A client has its answer before what is held for its request is released; that takes 500 ms at most.
	released, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	c.WaitIdle(released)
	if c.Open() != 0 {
		t.Errorf("%d requests are left of %d", c.Open(), asked.Load())
	}
}
