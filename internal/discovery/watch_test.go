package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/standin"
)

// agent is a scripted discovery agent: it answers each call by the next step and notes what was asked.
type agent struct {
	mu    sync.Mutex
	asked []string
	steps []func(w http.ResponseWriter, req *http.Request)
}

func (a *agent) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	a.mu.Lock()
	a.asked = append(a.asked, req.URL.RequestURI())
	step := func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }
	if len(a.steps) > 0 {
		step, a.steps = a.steps[0], a.steps[1:]
	}
	a.mu.Unlock()
	step(w, req)
}

func says(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// A list may be laid out over several lines. A watch that breaks, or that says what can't be read, is opened again from the
// last revision that was heard; after one that falls silent the whole list is asked for first.
func TestWatcherResumes(t *testing.T) {
	list := func(rev int) string {
		return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[]}`, rev, rev < 6 || rev == 9) + "\n"
	}
	hangs := func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, list(8))
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}
	a := &agent{steps: []func(http.ResponseWriter, *http.Request){
		says("{\n" + list(5)[1:]), says("\n" + list(6) + "\n\n" + list(7)), hangs, says("{not json\n"),
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, says(list(9)),
	}}
	w := New(standin.HTTP(t, a), &Pace{}, standin.Log())
	w.silence = 60 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var heard []int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, From{Revision: 3}, func(l List) { mu.Lock(); heard = append(heard, l.Revision); mu.Unlock() })
	}()
	standin.Eventually(t, 5*time.Second, "revision 9 is heard and watched on", func() bool {
		mu.Lock()
		defer mu.Unlock()
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(heard) == 5 && strings.HasSuffix(a.asked[len(a.asked)-1], "index=9")
	})
	stop()
	<-done
	if got := fmt.Sprint(heard); got != "[5 6 7 8 9]" {
		t.Errorf("heard %s", got)
	}
	const base = "/catalog/members"
	want := base + " " + base + "?stream=1&index=5 " + base + "?stream=1&index=7 " + base + " " + base
	if got := strings.Join(a.asked, " "); !strings.HasPrefix(got, want) {
		t.Errorf("asked %s", got)
	}
	if silenceTimeout <= 2*time.Second {
		t.Errorf("silence %v: must outlast a heartbeat of 2 s", silenceTimeout)
	}
}

// A member in a phase, zone or kind that is not known must not be taken for one that is.
func TestWorkers(t *testing.T) {
	n := Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	got := n.Workers([]Member{{ID: "s-1", HostPort: "127.0.0.1:1", Locality: "b", Flavor: "m2", Phase: "SERVING", UpSinceMs: 1.5},
		{ID: "s-2", Phase: "NEW"}, {ID: "s-3", Phase: "DELETED"}})
	if w := got[0]; w.Zone != 1 || w.Kind != 1 || w.Availability != brain.Ready || w.StartedAt != 1500*time.Microsecond || w.Addr != "127.0.0.1:1" {
		t.Errorf("%+v", w)
	}
	if got[1].Availability != brain.Draining || got[1].Zone != 2 || got[1].Kind != 2 || got[2].Availability != brain.Removed {
		t.Errorf("%+v", got[1:])
	}
	if got[0].ID == got[1].ID || got[0].ID != EngineID("s-1") {
		t.Error("ids must differ by name and depend on nothing else")
	}
}

// An answer that is no whole list, from another server or cut to a part, must not empty the list of workers.
func TestNoWholeList(t *testing.T) {
	for _, answer := range []string{`{}`, `{"error":"not here"}`, `{"revision":7,"complete":true}`, `{"revision":7,"complete":true,"members":null}`,
		`{"revision":7,"complete":false,"members":[]}`, `[]`, `null`, `<html></html>`, ``} {
		a := &agent{steps: []func(http.ResponseWriter, *http.Request){says(answer), says(`{"revision":8,"complete":true,"members":[]}`)}}
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		var heard []int64
		New(standin.HTTP(t, a), &Pace{}, standin.Log()).Run(ctx, From{}, func(l List) { heard = append(heard, l.Revision); stop() })
		stop()
		if len(heard) != 1 || heard[0] != 8 {
			t.Errorf("%s: lists %v were taken, not only the next one", answer, heard)
		}
	}
}
