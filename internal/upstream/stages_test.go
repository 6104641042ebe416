package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/standin"
)

// settle waits until what the far side did has come here.
func settle(c *conn) {
	for end := time.Now().Add(time.Second); quiet(c) && time.Now().Before(end); {
		time.Sleep(100 * time.Microsecond)
	}
}

// A request that can't be written whole never ran, one that the context ends after it was written may have.
func TestStages(t *testing.T) {
	pool := NewPool(NewBudget(128), 200*time.Millisecond, time.Hour)
	refused := standin.Listen(t)
	_ = refused.Close()
	mute := standin.Raw(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	stuck := standin.Raw(t, func(net.Conn) { time.Sleep(2 * time.Second) })
	for name, c := range map[string]struct {
		addr string
		size int
		want core.Stage
	}{
		"refused":   {refused.Addr().String(), 10, core.NotConnected},
		"no answer": {mute, 10, core.Written},
		"not read":  {stuck, 64 << 20, core.PartlyWritten},
	} {
		request := make([]byte, c.size)
		ctx, cancel := context.WithTimeoutCause(context.Background(), 500*time.Millisecond, core.ErrExpired)
		_, err := pool.Do(ctx, c.addr, "GET", request, nil)
		cancel()
		var e *core.AttemptError
		if !errors.As(err, &e) || e.Stage != c.want || (c.want > core.NotConnected && !errors.Is(err, core.ErrExpired)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// With no socket left the oldest idle connection makes room; with none idle the attempt fails as not connected.
func TestBudget(t *testing.T) {
	var n atomic.Int32
	w := &worker{mode: "small"}
	serve := func(c net.Conn) { n.Add(1); w.serve(c) }
	first, second := standin.Raw(t, serve), standin.Raw(t, serve)
	b := NewBudget(1)
	p := NewPool(b, time.Second, time.Hour)
	p.settle = 0
	for _, addr := range []string{first, second, first} {
		a, err := p.Do(context.Background(), addr, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.Small(); err != nil {
			t.Fatal(err)
		}
	}
	if n.Load() != 3 || b.left != 0 {
		t.Errorf("%d connections, %d sockets left", n.Load(), b.left)
	}
	p.Sweep() // nothing is old
	if len(p.idle) != 1 {
		t.Errorf("%d idle after a sweep", len(p.idle))
	}
	p.idleLimit = 0
	p.Sweep()
	if len(p.idle) != 0 || b.left != 1 {
		t.Errorf("%d idle, %d sockets left after all grew old", len(p.idle), b.left)
	}
	b.left = 0
	_, err := p.Do(context.Background(), first, "GET", nil, nil)
	if !errors.Is(err, core.ErrNoSocket) {
		t.Errorf("without a socket: %v", err)
	}
	b.left, b.spare = 1, 1 // what attempts leave is for calls that end something
	if _, err = p.Do(context.Background(), first, "GET", nil, func() error { return nil }); !errors.Is(err, core.ErrNoSocket) {
		t.Errorf("an attempt took the spare socket: %v", err)
	}
	if _, err = p.Do(context.Background(), first, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil); err != nil {
		t.Errorf("a call got none: %v", err)
	}
}

// A second answer may come a little after the one that was asked for: a connection rests before it is used again, or
// the next request would be given that answer.
func TestLateSecondAnswer(t *testing.T) {
	var n atomic.Int32
	addr := standin.Raw(t, func(c net.Conn) {
		n.Add(1)
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, small)
			time.Sleep(settleTime / 3)
			_, _ = io.WriteString(c, "HTTP/1.1 500 not yours\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := NewPool(NewBudget(8), time.Second, time.Hour)
	for _, pause := range []time.Duration{0, 0, 2 * settleTime, 0} {
		time.Sleep(pause)
		a, err := p.Do(context.Background(), addr, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.Small(); err != nil || a.StatusCode != 204 {
			t.Errorf("status %d, %v", a.StatusCode, err)
		}
	}
	if n.Load() != 4 {
		t.Errorf("%d connections for 4 requests", n.Load())
	}
	p.Drop(addr)
	if len(p.idle) != 0 || p.budget.left != 8 {
		t.Errorf("%d idle, %d sockets left after its worker went", len(p.idle), p.budget.left)
	}
}

// The opening is held back until one event with data is whole; noise is told as soon as its first line shows it.
func TestOpening(t *testing.T) {
	for text, want := range map[string]string{"": "more", "da": "more", "data: x\n": "more", "data: x\n\n": "whole",
		"data: x\r\n\r\n": "whole", ": ping\n\n": "more", ": ping\n\nevent: a\ndata\n\nrest": "whole", "id: 1\n\n": "more",
		"datum: x": "noise", "HTTP/1.1 ": "noise", "\x00\x01": "noise", "data: \xff\n": "noise", "\n\ndat": "more",
		strings.Repeat(":\n", maxOpening): "noise"} {
		got := "more"
		if whole, err := opening([]byte(text)); err != nil {
			got = "noise"
		} else if whole {
			got = "whole"
		}
		if got != want {
			t.Errorf("%.40q: %s, want %s", text, got, want)
		}
	}
}

// Kept connections that die as they are written to, though nothing showed it, were dropped by the network: no word on
// the worker, and after a few only those that were idle for a moment are used again. Seen on a day when a quarter of
// those idle for more than 150 ms died so, each time with a filing that could not be sent again.
func TestKeptConnectionsDieUnseen(t *testing.T) {
	var n atomic.Int32
	addr := standin.Raw(t, func(c net.Conn) {
		n.Add(1)
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, small)
		last := time.Now()
		for {
			if _, err := http.ReadRequest(br); err != nil || time.Since(last) > briefly {
				return
			}
			_, _ = io.WriteString(c, small)
			last = time.Now()
		}
	})
	p := NewPool(NewBudget(8), time.Second, time.Hour)
	ask := func(pause time.Duration) error {
		time.Sleep(pause)
		a, err := p.Do(context.Background(), addr, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		if err == nil {
			_, err = a.Small()
		}
		return err
	}
	failed := 0
	for range 6 {
		err := ask(2 * briefly)
		if err == nil {
			continue
		}
		failed++
		var e *core.AttemptError
		if !errors.As(err, &e) || e.Stage != core.Written || e.Verdict != core.NetworkFault {
			t.Errorf("%v, want one that may have run by a mishap", err)
		}
	}
	if failed != 2 {
		t.Errorf("%d of 6 failed, want 2", failed)
	}
	before := n.Load()
	if err := ask(briefly / 3); err != nil || n.Load() != before {
		t.Errorf("one idle for a moment was not used again: %v", err)
	}
	p.stale.at = p.stale.at.Add(-3 * staleMemory)
	if !p.stale.trusts(time.Second) {
		t.Error("never used again")
	}
}

// What we give up ourselves is no sign of a dead connection. Seen on a day when clients left early: two such in half a
// minute, and nearly every request opened a new connection, 1,230 in place of 170.
func TestGivenUpIsNotStale(t *testing.T) {
	addr := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			<-req.Context().Done()
		}
	}))
	p := NewPool(NewBudget(8), time.Second, time.Hour)
	p.settle = 0
	ask := func(ctx context.Context, path string) error {
		a, err := p.Do(ctx, addr, "GET", []byte("GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		if err == nil {
			_, err = a.Small()
		}
		return err
	}
	for range 4 {
		if err := ask(context.Background(), "/"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), staleWithin/4)
		if err := ask(ctx, "/slow"); err == nil {
			t.Error("an answer came")
		}
		cancel()
	}
	if !p.stale.trusts(time.Second) {
		t.Error("kept connections are not used any more")
	}
}
