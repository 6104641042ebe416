package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// member is a stand-in for a control member that knows one lock.
type member struct {
	mu     sync.Mutex
	owner  string
	fence  uint64
	refuse bool
	late   time.Duration // by which the first renewal is answered late
}

// ServeHTTP answers as docs/LOCKS.md says, but that nothing lapses.
func (m *member) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var call lockCall
	_ = json.NewDecoder(request.Body).Decode(&call) // these tests send what can be read
	if strings.Contains(request.URL.Path, "Beat") {
		time.Sleep(m.late)
		m.late = 0
	}
	switch {
	case m.refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.Contains(request.URL.Path, "Start") && (m.owner == "" || m.owner == call.Owner):
		m.owner, m.fence = call.Owner, m.fence+1
	case strings.Contains(request.URL.Path, "Start"), call.Owner != m.owner || call.Fence != m.fence:
		w.WriteHeader(http.StatusConflict)
	case strings.Contains(request.URL.Path, "Finish"):
		m.owner = ""
	}
	_ = json.NewEncoder(w).Encode(map[string]uint64{"fence_number": m.fence}) // to a recorder or a connection of the test
}

func (m *member) with(do func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do()
}

// eventually waits for something that other goroutines bring about.
func eventually(c *qt.C, what string, is func() bool) {
	c.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("not seen: " + what)
}

// Guards against a leader that goes on when its renewal is answered after its time has run out: that answer counts for nothing.
func TestLeaderGivesUpWhenItsRenewalComesTooLate(t *testing.T) {
	c := qt.New(t)
	const hold = 900 * time.Millisecond
	kept := &store{}
	written := httptest.NewServer(kept)
	defer written.Close()
	// Given a renewal that is sent after a third of the hold and answered after the hold, before another has passed since it
	// was sent,
	control := httptest.NewServer(&member{late: hold - 150*time.Millisecond})
	defer control.Close()
	one := &candidate{name: "one", lock: "l", hold: hold, store: strings.TrimPrefix(written.URL, "http://"), say: t.Logf,
		calls: &controlClient{addresses: []string{strings.TrimPrefix(control.URL, "http://")}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		one.run(ctx)
	}()
	// when it writes again,
	seen := func() (fence uint64, text string) {
		kept.mu.Lock()
		defer kept.mu.Unlock()
		return kept.fence, kept.text
	}
	eventually(c, "a second write", func() bool { _, text := seen(); return text == "one wrote this 2" })
	// then it has been elected anew.
	fence, _ := seen()
	c.Assert(fence, qt.Equals, uint64(2))
	cancel()
	<-ended
}

func TestLeaderThatWasReplacedCannotWrite(t *testing.T) {
	c := qt.New(t)
	kept := &store{}
	control, deaf, written := &member{}, &member{refuse: true}, httptest.NewServer(kept)
	first, second := httptest.NewServer(deaf), httptest.NewServer(control)
	defer written.Close()
	defer first.Close()
	defer second.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	text := func() string {
		answer, err := http.Get(written.URL)
		c.Assert(err, qt.IsNil)
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, qt.IsNil)
		return string(body)
	}
	// Given a candidate that is elected, although the member that it asks first can't decide,
	one := &candidate{name: "one", lock: "l", hold: 300 * time.Millisecond, store: address(written), say: t.Logf,
		calls: &controlClient{addresses: []string{address(first), address(second)}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		one.run(ctx)
	}()
	eventually(c, "a write", func() bool { return strings.HasPrefix(text(), "one wrote") })
	// when another is elected and writes,
	control.with(func() { control.owner, control.fence = "other", control.fence+1 })
	other := &candidate{name: "other", store: address(written)}
	c.Assert(other.write(ctx, control.fence), qt.IsNil)
	// then the first one's fence is refused, and nothing of it is seen any more.
	c.Assert((&candidate{name: "one", store: address(written)}).write(ctx, control.fence-1), qt.ErrorMatches, ".*refused fence.*")
	c.Assert(text(), qt.Equals, "other wrote this 1")
	cancel()
	<-ended
	c.Assert(control.owner, qt.Equals, "other")
}
