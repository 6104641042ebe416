package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/core"
	"sumacloft/internal/standin"
)

// worker is a scripted far side: each connection answers the requests it reads in the way that mode says.
type worker struct {
	mu       sync.Mutex
	conns    []net.Conn // open, the youngest last
	accepted int
	requests int
	mode     string
}

func (w *worker) serve(c net.Conn) {
	w.mu.Lock()
	w.conns = append(w.conns, c)
	w.accepted++
	w.mu.Unlock()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		w.mu.Lock()
		w.requests++
		mode := w.mode
		w.mu.Unlock()
		if _, err := io.WriteString(c, says[mode]); err != nil || !lives[mode] {
			return
		}
	}
}

const (
	small = "HTTP/1.1 204 No Content\r\n\r\n"
	begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	hello = "d\r\ndata: hello\n\n\r\n"
)

// says is what a worker answers in each mode; in those that live its connection stays open after that.
var says = map[string]string{"small": small, "last": strings.Replace(small, "\r\n", "\r\nConnection: close\r\n", 1),
	"stream": begin + hello + "0\r\n\r\n", "cut": begin + hello, "unheard": "", "headless": begin,
	// good, yet more than belongs to them
	"interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + begin + hello + "0\r\n\r\n",
	"odd report":   strings.Replace(begin, "\r\n", "\r\nServer-Load: \x00\x7f;=\r\n", 1) + hello + "0\r\n\r\n",
	"one too many": begin + hello + "0\r\n\r\n" + small,
	// spoilt before the first event
	"noise":        "\x16\x03\x01 what is this\r\n\r\n",
	"endless head": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("x", 100)+"\r\n", 1000),
	"all interim":  strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1),
	"switches":     "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"no event":     begin + "7\r\n\xff\xfe oops\r\n",
	"half event":   begin + "5\r\ndata:\r\nzz\r\n",
	// spoilt later
	"odd size":  begin + hello + "-5\r\n" + hello,
	"huge size": begin + hello + "b2d05e00\r\n" + strings.Repeat("data: x\n\n", 100),
	"misfit":    begin + hello + strings.Replace(hello, "d", "9", 1) + hello}

var lives = map[string]bool{"small": true, "stream": true, "interim": true, "odd report": true, "one too many": true,
	"noise": true, "endless head": true, "all interim": true, "switches": true, "no event": true, "half event": true,
	"odd size": true, "huge size": true, "misfit": true}

// link is what the model knows of an idle connection.
type link struct{ fit bool }

// The model of a connection's life: idle, fit or not, taken, and given back or closed. Random steps are checked
// against it. What it guards: a connection that is closed, that has something to read, or that is old is never
// written to; nothing is sent twice; every error tells its stage; no socket is lost. An answer is spoilt that can't
// be read, before its first event or later, and none is for what else came with it; what is spoilt, or has brought
// too much, is not used again.
func TestConnectionModel(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := &worker{}
		addr := standin.Raw(t, w.serve)
		const sockets = 6
		budget := NewBudget(sockets)
		p := NewPool(budget, time.Second, time.Hour)
		p.settle = 0
		var idle []link // the one to be used next at the end
		accepted, requests := 0, 0
		do := func(mode string) (a *Answer, err error) {
			w.mu.Lock()
			w.mode = mode
			w.mu.Unlock()
			for len(idle) > 0 && !idle[len(idle)-1].fit {
				idle = idle[:len(idle)-1]
			}
			if len(idle) > 0 {
				idle = idle[:len(idle)-1]
			} else {
				accepted++
			}
			requests++
			return p.Do(context.Background(), addr, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
		}
		stage := func(err error, want core.Stage, mode string) {
			var e *core.AttemptError
			if !errors.As(err, &e) || e.Stage != want {
				rt.Fatalf("error %v, want one at the stage %v", err, want)
			}
			if spoilt := lives[mode]; mode != "unheard" && spoilt != (e.Verdict == core.NetworkFault) { // a kept one may have died unseen
				rt.Fatalf("%s: verdict %v of %v", mode, e.Verdict, err)
			}
		}
		spoil := func(rt *rapid.T, how func(*conn)) {
			if len(idle) == 0 {
				rt.Skip("nothing is idle")
			}
			i := rapid.IntRange(0, len(idle)-1).Draw(rt, "which")
			if !idle[i].fit {
				rt.Skip("spoilt before")
			}
			how(p.idle[addr][i])
			idle[i].fit = false
		}
		far := func(c *conn) net.Conn {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, f := range w.conns {
				if f.RemoteAddr().String() == c.LocalAddr().String() {
					return f
				}
			}
			rt.Fatal("the far side of a connection is not there")
			return nil
		}
		rt.Repeat(map[string]func(*rapid.T){
			"small": func(*rapid.T) {
				a, err := do("small")
				if err == nil {
					_, err = a.Small()
				}
				if err != nil {
					rt.Fatal(err)
				}
				idle = append(idle, link{true})
			},
			"closes after": func(*rapid.T) {
				a, err := do("last")
				if err == nil {
					_, err = a.Small()
				}
				if err != nil {
					rt.Fatal(err)
				}
			},
			"stream": func(rt *rapid.T) {
				mode := rapid.SampledFrom([]string{"stream", "interim", "odd report", "one too many"}).Draw(rt, "mode")
				a, err := do(mode)
				if err == nil {
					err = a.First()
				}
				if err != nil {
					rt.Fatal(err)
				}
				if rapid.Bool().Draw(rt, "given up") {
					a.Close()
					return
				}
				text, err := "", error(nil)
				for b := []byte(nil); err == nil; text += string(b) {
					b, err = a.Next()
				}
				if text != "data: hello\n\n" || !errors.Is(err, io.EOF) {
					rt.Fatalf("stream %q, %v", text, err)
				}
				a.Close() // after the end it must not touch the connection
				if mode != "one too many" {
					idle = append(idle, link{true})
				}
			},
			"stream is spoilt": func(rt *rapid.T) {
				mode := rapid.SampledFrom([]string{"cut", "odd size", "huge size", "misfit"}).Draw(rt, "mode")
				a, err := do(mode)
				if err == nil {
					err = a.First()
				}
				if err != nil {
					rt.Fatal(err)
				}
				text := ""
				for b := []byte(nil); err == nil; text += string(b) {
					b, err = a.Next()
				}
				stage(err, core.Streaming, mode)
				if len(text) > 2*len(hello) {
					rt.Fatalf("passed on %d bytes of a chunk that can't be", len(text))
				}
			},
			"no head": func(rt *rapid.T) {
				mode := rapid.SampledFrom([]string{"unheard", "noise", "endless head", "all interim", "switches"}).Draw(rt, "mode")
				_, err := do(mode)
				stage(err, core.Written, mode)
			},
			"no opening": func(rt *rapid.T) {
				mode := rapid.SampledFrom([]string{"headless", "no event", "half event"}).Draw(rt, "mode")
				a, err := do(mode)
				if err != nil {
					rt.Fatal(err)
				}
				stage(a.First(), core.Head, mode)
			},
			"far side closes": func(rt *rapid.T) { spoil(rt, func(c *conn) { _ = far(c).Close(); settle(c) }) },
			"far side writes": func(rt *rapid.T) {
				spoil(rt, func(c *conn) { _, _ = far(c).Write([]byte("HTTP/1.1 408 x\r\n\r\n")); settle(c) })
			},
			"grows old": func(rt *rapid.T) { spoil(rt, func(c *conn) { c.since = c.since.Add(-2 * time.Hour) }) },
			"not clear": func(*rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				for len(idle) > 0 && !idle[len(idle)-1].fit {
					idle = idle[:len(idle)-1]
				}
				if len(idle) == 0 {
					accepted++
					idle = append(idle, link{true}) // dialled, then kept for the next
				}
				_, err := p.Do(ctx, addr, "GET", []byte("never"), func() error { return core.ErrNotReady })
				stage(err, core.NotConnected, "")
				if !errors.Is(err, core.ErrNotReady) {
					rt.Fatalf("error %v", err)
				}
			},
			"": func(rt *rapid.T) {
				standin.Eventually(t, time.Second, "what the far side saw agrees with the model", func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return w.accepted == accepted && w.requests == requests
				})
				if n := len(p.idle[addr]); n != len(idle) || budget.left != sockets-n {
					rt.Fatalf("%d idle and %d sockets left, the model has %d idle", n, budget.left, len(idle))
				}
			},
		})
	})
}
