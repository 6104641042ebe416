package chat

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/work"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// hands starts a router whose classes have handover, over servers at the addresses.
func hands(t *testing.T, endpoint, name string, serve bool, addrs ...string) (addr string, h *Handover) {
	set := set(addrs...)
	for i := range set.Classes {
		set.Classes[i].Handover, set.Classes[i].WholeMs, set.Classes[i].DeadlineMs = true, 5000, 5000
	}
	pool := upstream.NewPool(upstream.NewBudget(1024), config.Millis(set.ConnectTimeoutMs), config.Millis(set.ConnIdleMs))
	servers := NewServers(pool, set.HealthPath)
	c := core.New(set.Brain(), 7, servers, standin.Log())
	c.Listed(brain.ListComplete, set.Workers())
	f, h := New(c, servers, set), &Handover{Serve: serve, Log: standin.Log()}
	session := new(int)
	var err error
	h.Book, err = work.Open(work.Options{Endpoints: []string{endpoint}, Me: ledger.Owner{Name: name, Boot: "1"}, Batch: 64, Pace: 1000,
		Limits:  ledger.Limits{Open: 100, Kept: 100, Body: 1 << 16, Answer: 1 << 16, Keep: time.Minute},
		Session: func() any { return session }, Attempts: func() int { return 3 }, Resume: h.Resume, Log: standin.Log()})
	if err != nil {
		t.Fatal(err)
	}
	h.Bind(f)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, run := range []func(context.Context){c.Run, h.Book.Run} {
		all.Add(1)
		go func() { defer all.Done(); run(ctx) }()
	}
	t.Cleanup(func() { stop(); all.Wait(); _ = h.Book.Close() })
	return standin.HTTP(t, f), h
}

type said struct {
	status int
	text   string
	whole  bool
	after  string
}

func askKeyed(t *testing.T, addr, model, key, text string, stream bool) said {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"content":%q}]}`, model, stream, text)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return said{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return said{resp.StatusCode, string(data), err == nil, resp.Header.Get("Retry-After")}
}

// One key, at two routers, at once and again: the server runs it once, and all get the same answer; another body is
// refused. What the server gets bears the client's key and the epoch.
func TestOneKeyRunsOnce(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	var runs atomic.Int64
	go1 := make(chan struct{})
	server := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/health" {
			return
		}
		if req.Header.Get(keyHeader) != "key-1" || req.Header.Get(epochHeader) != "1" {
			t.Errorf("%v", req.Header)
		}
		n := runs.Add(1)
		<-go1
		_, _ = fmt.Fprintf(w, `{"run":%d}`, n)
	}))
	a, ha := hands(t, endpoint, "a", false, server)
	b, hb := hands(t, endpoint, "b", false, server)
	standin.Eventually(t, 5*time.Second, "both books are ready", func() bool { return ha.Book.Ready() && hb.Book.Ready() })
	answers := make(chan said, 6)
	for i := range 6 {
		go func() { answers <- askKeyed(t, []string{a, b}[i%2], "filing", "key-1", "file this", false) }()
	}
	standin.Eventually(t, 5*time.Second, "it is at the server", func() bool { return runs.Load() > 0 })
	if got := askKeyed(t, a, "filing", "key-1", "file that", false); got.status != 422 || !strings.Contains(got.text, "reused") {
		t.Errorf("another body: %+v", got)
	}
	close(go1)
	for range 6 {
		if got := <-answers; got.status != 200 || got.text != `{"run":1}` {
			t.Errorf("%+v", got)
		}
	}
	for _, addr := range []string{a, b} { // kept
		if got := askKeyed(t, addr, "filing", "key-1", "file this", false); got.status != 200 || got.text != `{"run":1}` {
			t.Errorf("%+v", got)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("it ran %d times", runs.Load())
	}
}

// A filing whose outcome can't be told is settled so, and stays that for its key; one that never ran leaves no trace.
func TestOutcomesOfFilings(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	var broke, turns atomic.Int64
	server := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		switch {
		case req.URL.Path == "/health":
		case strings.Contains(string(body), "break"):
			broke.Add(1)
			standin.Hangup(w)
		case strings.Contains(string(body), "turn") && turns.Add(1) <= 3:
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(503)
		default:
			_, _ = io.WriteString(w, "{}")
		}
	}))
	a, h := hands(t, endpoint, "a", false, server)
	standin.Eventually(t, 5*time.Second, "the book is ready", h.Book.Ready)
	for range 3 {
		if got := askKeyed(t, a, "filing", "k-1", "break", false); got.status != 424 {
			t.Errorf("%+v", got)
		}
	}
	if broke.Load() != 1 {
		t.Errorf("it was sent %d times", broke.Load())
	}
	if got := askKeyed(t, a, "filing", "k-2", "turn", false); got.status != 503 || got.after == "" {
		t.Errorf("%+v", got)
	}
	standin.Eventually(t, 5*time.Second, "it runs when it comes again", func() bool { return askKeyed(t, a, "filing", "k-2", "turn", false).status == 200 })
	if got := askKeyed(t, a, "filing", "", "turn", false); got.status != 200 {
		t.Errorf("without a key: %+v", got)
	}
}

// A stream's closing event comes only once its end is written down: while the store is away it is cut, not closed.
func TestStreamsEndIsWrittenFirst(t *testing.T) {
	endpoint, stop := etcdtest.Serve(t, nil)
	away := make(chan struct{})
	server := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/health" {
			return
		}
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		if strings.Contains(string(body), "away") {
			<-away
		}
		_, _ = io.WriteString(w, "data: 2\n\ndata: [DONE]\n\n")
	}))
	a, h := hands(t, endpoint, "a", false, server)
	b, hb := hands(t, endpoint, "b", true, server)
	standin.Eventually(t, 5*time.Second, "the books are ready", func() bool { return h.Book.Ready() && hb.Book.Ready() })
	const whole = "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
	for range 2 { // as it comes, and as it was kept
		if got := askKeyed(t, a, "query", "k-1", "stream", true); got.text != whole || !got.whole {
			t.Errorf("%+v", got)
		}
	}
	got := make(chan said)
	go func() { got <- askKeyed(t, a, "filing", "k-2", "away", true) }()
	standin.Eventually(t, 5*time.Second, "it streams", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, fl := range h.flights { // the one before, which has come whole, may be among them for a moment yet
			fl.mu.Lock()
			body := string(fl.body)
			fl.mu.Unlock()
			if body == "data: 1\n\n" {
				return true
			}
		}
		return false
	})
	stop()
	close(away)
	if s := <-got; s.whole || strings.Contains(s.text, "[DONE]") || !strings.HasPrefix(s.text, "data: 1\n\n") {
		t.Errorf("%+v", s)
	}
	// Nothing can be written down now: a filing is refused before it is sent; a query too, unless the operator has it
	// served on without a record.
	for model, addr := range map[string]string{"filing": b, "query": a} {
		if s := askKeyed(t, addr, model, "k-"+model, "x", false); s.status != 503 || s.after == "" {
			t.Errorf("%s: %+v", model, s)
		}
	}
}

func TestDeliverable(t *testing.T) {
	for body, want := range map[string]int{
		"":                                   0,
		"data: 1\n\n":                        9,
		"data: 1\n\ndata: 2":                 9,
		"data: 1\n\ndata: [DONE]\n\n":        9,
		"data: 1\n\ndata:[DONE]":             9,
		"data: 1\n\ndata: [DO":               9,
		"data: say [DONE]\n\n":               18,
		"data: say [DONE]\n\ndata: [DONE]\n": 18,
		"data: [DONE]\n\ndata: more\n\n":     0,
	} {
		if got := deliverable([]byte(body), true); got != want {
			t.Errorf("%q: %d, want %d", body, got, want)
		}
		if deliverable([]byte(body), false) != 0 {
			t.Errorf("%q: a part of what does not stream", body)
		}
	}
}

// A request that the core fails, as it does for one that the module has not decided by its deadline, is settled as unknown
// only where running it again would harm: of a query nothing stays.
func TestFailedQueryIsNotUnknown(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	_, h := hands(t, endpoint, "a", false)
	standin.Eventually(t, 5*time.Second, "the book is ready", h.Book.Ready)
	for effect, want := range map[ledger.Effect]bool{ledger.Safe: false, ledger.Unsafe: true} {
		key, now := h.Book.ClientKey("", fmt.Sprint(effect)), time.Now().UnixMilli()
		entry, err := h.Book.New(ledger.Record{Key: key, Effect: effect, TakenMs: now, Deadline: now + 60_000}, true)
		if err == nil {
			err = entry.Sending(t.Context(), "s")
		}
		if err != nil {
			t.Fatal(err)
		}
		fl := &flight{h: h, entry: entry, job: &job{}, effect: effect, more: make(chan struct{})}
		fl.Fail()
		rec, there, err := h.Book.Find(t.Context(), key)
		if err != nil || there != want || (want && rec.Outcome != ledger.Unknown) || (fl.fate == refused) == want {
			t.Errorf("effect %v: %+v, %v, %v; fate %v", effect, rec, there, err, fl.fate)
		}
	}
}
