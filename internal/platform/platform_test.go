package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

const events = "data: {\"choices\":[{\"delta\":{\"content\":\"oqvh\"}}]}\n\n"

// node is a stand-in worker that notes the calls it gets.
type node struct {
	mu     sync.Mutex
	calls  []string
	answer func(w http.ResponseWriter, req *http.Request)
}

func (n *node) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	n.mu.Lock()
	n.calls = append(n.calls, fmt.Sprintf("%s %s %s %q", req.Method, req.RequestURI, req.Header.Get("Request-Id"), body))
	n.mu.Unlock()
	if req.Method == http.MethodDelete {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	n.answer(w, req)
}

func (n *node) seen() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.calls)
}

func reads(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, `{"cached_tokens":4096}`)
}

func streams(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for range 3 {
		_, _ = io.WriteString(w, events)
		w.(http.Flusher).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

// start runs a front over one reader and one writer.
func start(t *testing.T, reader, writer http.HandlerFunc) (addr string, r, w *node, front *Front) {
	r, w = &node{answer: reader}, &node{answer: writer}
	class := brain.Class{Aim: time.Second, Deadline: time.Second, Worth: 1}
	set := brain.Settings{Classes: []brain.Class{class, class}, Cancelling: true, PinLimit: 500 * time.Millisecond, MaxAttempts: 6,
		MaxHoldOff: 2 * time.Second, HoldOff: true,
		Kinds: []brain.Kind{{Role: brain.Reader, MemoryTokens: 1e5}, {Role: brain.Writer, MemoryTokens: 1e5}}}
	set.Classes[1].Effect = brain.Unsafe
	workers := NewWorkers(upstream.NewPool(upstream.NewBudget(256), 250*time.Millisecond, time.Minute))
	c := core.New(set, 1, workers, standin.Log())
	c.Listed(brain.ListComplete, []core.Worker{
		{Name: "r", Addr: standin.HTTP(t, r), Engine: brain.Engine{ID: 1}},
		{Name: "w", Addr: standin.HTTP(t, w), Engine: brain.Engine{ID: 2, Kind: 1}}})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	front = New(c, workers, func(name string) int { return slices.Index([]string{"query", "filing"}, name) })
	return standin.HTTP(t, front), r, w, front
}

// ask sends one request as it would come on the wire and gives all that comes back until the connection ends.
func ask(t *testing.T, addr, class string, change func(string) string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"odd":  "bytes\u00e9"}`
	text := fmt.Sprintf("POST /v1/chat/completions?a=%%41&b HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n"+
		"Request-Class: %s\r\nAffinity-Key: 7f3a\r\nRequest-Timeout: 400m\r\nRequest-Info: prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, len(body), body)
	if change != nil {
		text = change(text)
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, text)
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Method, path, query, body and id reach both workers as they came, and the events come back as they were.
func TestPassesOnUnchanged(t *testing.T) {
	addr, r, w, _ := start(t, reads, streams)
	got := ask(t, addr, "filing", nil)
	if strings.Count(got, events) != 3 || !strings.HasSuffix(got, "0\r\n\r\n") {
		t.Errorf("answer %q", got)
	}
	want := `POST /v1/chat/completions?a=%41&b 9b1f03aa5c7e2d41 "{\"odd\":  \"bytes\\u00e9\"}"`
	if len(r.seen()) != 1 || len(w.seen()) != 1 || r.seen()[0] != want || w.seen()[0] != want {
		t.Errorf("reader %q, writer %q", r.seen(), w.seen())
	}
}

// What a writer's end means to a filing: only Not-Started proves that it never ran, a 429 or 503 may be told
// only then, and a stream that breaks ends without the last chunk.
func TestOutcomes(t *testing.T) {
	status := func(code int, proof string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if proof != "" {
				w.Header().Set("Not-Started", proof)
			}
			w.WriteHeader(code)
		}
	}
	for name, c := range map[string]struct {
		writer http.HandlerFunc
		status string
		sends  int // to the writer; 0: any number
	}{
		"500":                 {status(500, ""), "500", 1},
		"500 with a proof":    {status(500, "1"), "500", 1},
		"503 without":         {status(503, ""), "500", 1},
		"503 with another":    {status(503, "0"), "500", 1},
		"503 with":            {status(503, "1"), "503", 0},
		"504 with":            {status(504, "1"), "503", 0},
		"410 without":         {status(410, ""), "500", 1},
		"410 with":            {status(410, "1"), "503", 0},
		"hangs up":            {func(w http.ResponseWriter, _ *http.Request) { standin.Hangup(w) }, "500", 1},
		"silent":              {func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, "500", 1},
		"breaks after events": {func(w http.ResponseWriter, req *http.Request) { streams(w, req); standin.Hangup(w) }, "200", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _, w, _ := start(t, reads, c.writer)
			began := time.Now()
			got := ask(t, addr, "filing", nil)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || time.Since(began) > 450*time.Millisecond {
				t.Errorf("after %v: %q", time.Since(began), got)
			}
			if c.status == "200" && strings.HasSuffix(got, "0\r\n\r\n") {
				t.Error("a broken stream was ended as if whole")
			}
			posts := slices.DeleteFunc(w.seen(), func(call string) bool { return !strings.HasPrefix(call, "POST") })
			if n := len(posts); c.sends > 0 && n != c.sends {
				t.Errorf("%d calls to the writer: %q", n, w.seen())
			}
		})
	}
}

// A worker's 4xx is the request's fault: it is passed on as an error, the request goes nowhere else, and the worker
// that said so serves the next one. Counted against workers, a few bad clients had the good ones kept off them.
func TestRequestAtFault(t *testing.T) {
	faulty := true
	addr, r, w, _ := start(t, func(w http.ResponseWriter, req *http.Request) {
		if faulty {
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		reads(w, req)
	}, streams)
	under := func(n int) func(string) string { // fresh ids, as clients have them
		return func(text string) string { return strings.Replace(text, "9b1f03aa5c7e2d41", fmt.Sprint(n), 1) }
	}
	for i := range 5 {
		if got := ask(t, addr, "query", under(i)); !strings.HasPrefix(got, "HTTP/1.1 422") {
			t.Errorf("%q", got)
		}
	}
	posts := slices.DeleteFunc(append(r.seen(), w.seen()...), func(call string) bool { return !strings.HasPrefix(call, "POST") })
	if len(posts) != 5 {
		t.Errorf("workers were asked %d times for 5 requests", len(posts))
	}
	faulty = false
	if got := ask(t, addr, "query", under(5)); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a good request after bad ones: %q", got)
	}
}

// The id of an open request is refused, as its cancels and releases would be the other's; it is free again after.
func TestIDInUse(t *testing.T) {
	hold, entered := make(chan struct{}), make(chan struct{}, 8)
	addr, _, _, front := start(t, reads, func(w http.ResponseWriter, req *http.Request) {
		entered <- struct{}{}
		<-hold
		streams(w, req)
	})
	first := make(chan string, 1)
	go func() { first <- ask(t, addr, "query", nil) }()
	<-entered
	if got := ask(t, addr, "query", nil); !strings.HasPrefix(got, "HTTP/1.1 409") {
		t.Errorf("%q", got)
	}
	close(hold)
	if got := <-first; !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("%q", got)
	}
	standin.Eventually(t, time.Second, "the id is free again", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return len(front.open) == 0
	})
}

// A state that no writer takes is released by its id, at any worker.
func TestReleases(t *testing.T) {
	addr, r, w, _ := start(t, reads, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	ask(t, addr, "filing", nil)
	standin.Eventually(t, time.Second, "the state is released", func() bool {
		return slices.Contains(append(r.seen(), w.seen()...), `DELETE /v1/holds/9b1f03aa5c7e2d41  ""`)
	})
}

// Malformed input is answered with a 4xx, and no worker hears of it.
func TestMalformed(t *testing.T) {
	refuse := func(w http.ResponseWriter, req *http.Request) { t.Errorf("a worker was asked: %v", req) }
	addr, _, _, _ := start(t, refuse, refuse)
	swap := func(a, b string) func(string) string {
		return func(text string) string {
			if !strings.Contains(text, a) {
				t.Fatalf("%q is not in the request", a)
			}
			return strings.Replace(text, a, b, 1)
		}
	}
	for name, c := range map[string]struct {
		change func(string) string
		status string
	}{
		"no id":           {swap("Request-Id", "Other-Id"), "400"},
		"odd id":          {swap("9b1f03aa5c7e2d41", "../x"), "400"},
		"long id":         {swap("9b1f03aa5c7e2d41", strings.Repeat("a", maxID+1)), "400"},
		"no class":        {swap("Request-Class", "Other"), "400"},
		"unknown class":   {swap("Class: query", "Class: other"), "400"},
		"no time":         {swap("Request-Timeout", "Other"), "400"},
		"time without":    {swap("400m", "400"), "400"},
		"time not finite": {swap("400m", "NaNm"), "400"},
		"negative time":   {swap("400m", "-1m"), "400"},
		"endless time":    {swap("400m", "1e300m"), "400"},
		"bad length":      {swap("prompt_len=5120", "prompt_len=-1"), "400"},
		"length NaN":      {swap("max_out=800", "max_out=NaN"), "400"},
		"not HTTP":        {func(string) string { return "what\r\n\r\n" }, "400"},
		"large body":      {swap("Content-Length: 23", "Content-Length: 300000"), "413"},
		"absolute target": {swap("POST /", "POST http://other/"), "400"},
		// no client may make the calls that are between routers and workers
		"a release":     {swap("POST /v1/chat/completions", "DELETE /v1/holds/9b1f03aa5c7e2d42"), "404"},
		"one disguised": {swap("/v1/chat/completions", "/v1/x/..//%68olds/9b1f03aa5c7e2d42"), "404"},
		"a probe":       {swap("/v1/chat/completions", "/ping"), "404"},
		"a load report": {swap("/v1/chat/completions", "/_load/"), "404"},
	} {
		if c.status == "413" {
			change := c.change
			c.change = func(text string) string { return change(text) + strings.Repeat("x", 300000-23) }
		}
		got := ask(t, addr, "query", c.change)
		if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
			t.Errorf("%s: %.200q", name, got)
		}
	}
}

// While draining the health check fails, but requests are answered as before, and clients are asked to leave.
func TestDrain(t *testing.T) {
	addr, _, _, front := start(t, reads, streams)
	health := func() int {
		resp, err := http.Get("http://" + addr + healthURL)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if health() != 200 {
		t.Error("not ready after the start")
	}
	front.Drain()
	if health() != 503 {
		t.Error("ready while draining")
	}
	keep := func(text string) string { return strings.Replace(text, "Connection: close\r\n", "", 1) }
	if got := ask(t, addr, "query", keep); !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.Contains(got, "Connection: close") {
		t.Errorf("%q", got)
	}
}

// A request that waits for its worker, or is still coming, when the router is told to end: its answer tells of the close.
func TestDrainIsToldWithTheAnswer(t *testing.T) {
	for name, c := range map[string]struct{ class, status string }{"served": {"query", "200"}, "failed": {"filing", "500"}} {
		hold := make(chan struct{})
		addr, _, w, front := start(t, reads, func(w http.ResponseWriter, req *http.Request) {
			<-hold
			if name == "failed" {
				standin.Hangup(w)
				return
			}
			streams(w, req)
		})
		answer := make(chan string, 1)
		go func() {
			defer close(answer)
			answer <- ask(t, addr, c.class, func(text string) string {
				return strings.Replace(strings.Replace(text, "Connection: close\r\n", "", 1), "400m", "2500m", 1)
			})
		}()
		standin.Eventually(t, time.Second, "the writer has it", func() bool { return len(w.seen()) > 0 })
		front.Drain()
		close(hold)
		if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 "+c.status) || !strings.Contains(got, "Connection: close") {
			t.Errorf("%s: %q", name, got)
		}
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("4800m", "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800")
	f.Add("1u", "prompt_len=1e400,=,")
	f.Fuzz(func(t *testing.T, wait, lengths string) {
		if d, err := timeout(wait); err == nil && (d < 0 || d > maxTimeout) {
			t.Errorf("%q gives %v", wait, d)
		}
		var a brain.Arrived
		if err := info(lengths, &a); err == nil && !(a.PromptTokens >= 0 && a.PrefixTokens >= 0 && a.MaxTokens >= 0) {
			t.Errorf("%q gives %+v", lengths, a)
		}
		j := job{method: "POST", uri: "/", body: bytes.Repeat([]byte("x"), len(wait))}
		if !bytes.HasSuffix(j.bytes(context.Background()), append([]byte("\r\n\r\n"), j.body...)) {
			t.Error("the body does not follow the head")
		}
	})
}

// Only the word of the protocol marks a client that asks for the rest of an answer.
func TestResumed(t *testing.T) {
	front := New(nil, nil, func(string) int { return 0 })
	read := make(chan error, 1)
	addr := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		j, err := front.read(w, req)
		if word := req.Header.Get("Client-Retry"); err == nil && j.Arrival(1).Resumed != (word == "again") {
			err = fmt.Errorf("Client-Retry %q taken for %+v", word, j.arrival)
		}
		read <- err
	}))
	for i, word := range []string{"again", "1", ""} {
		resp, err := http.DefaultClient.Do(&http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"},
			Header: http.Header{"Request-Id": {fmt.Sprint(i)}, "Request-Timeout": {"4800m"}, "Client-Retry": {word}}})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := <-read; err != nil {
			t.Error(err)
		}
	}
}

// A router that is emptied for a while serves what comes soon after the call, refuses at once what comes later, with the close
// and without asking a worker, and serves again once that is called off.
func TestEmptiedForAWhile(t *testing.T) {
	addr, r, _, front := start(t, reads, streams)
	check := func(when string, status string, reads int) {
		t.Helper()
		got := ask(t, addr, "query", func(text string) string { return strings.Replace(text, "Connection: close\r\n", "", 1) })
		if !strings.HasPrefix(got, "HTTP/1.1 "+status) || !strings.Contains(got, "Connection: close\r\n") || len(r.seen()) != reads {
			t.Errorf("%s: %q, %d read", when, got, len(r.seen()))
		}
	}
	front.Duck(true)
	check("soon after the call", "200", 1)
	before := front.ducked.Load().Add(-duckServes)
	front.ducked.Store(&before)
	front.Duck(true) // the same call again changes nothing
	check("later", "503", 1)
	front.Duck(false)
	if front.leaving() {
		t.Error("it is leaving after that was called off")
	}
	if got := ask(t, addr, "query", nil); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("called off: %q", got)
	}
}
