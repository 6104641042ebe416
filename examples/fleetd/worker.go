package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The parts that a worker may have.
const (
	phaseReading = "reading"
	phaseWriting = "writing"
)

// The headers that the stand-in uses.
const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
	headerServerID  = "X-Server-Id"
	headerSeal      = "X-Server-Seal"
)

const (
	// readPace is how long one token of a prompt takes.
	readPace = 200 * time.Microsecond
	// writePace is how long one token of an answer takes.
	writePace = 30 * time.Millisecond
	// ticketHold is how long what was read of a prompt is kept for a writer.
	ticketHold = 4 * time.Second
	// workerCapacity is how many requests run at a time.
	workerCapacity = 8
	// headLimit bounds the time that a caller may take to send the head of a request.
	headLimit = 5 * time.Second
)

// workerCommand is one stand-in model worker.
type workerCommand struct {
	ID       string   `required:"" help:"Id of this start of the worker."`
	Service  string   `required:"" help:"Service that it serves."`
	Address  string   `required:"" help:"Address (ip:port) to listen on."`
	Zone     string   `required:"" help:"Zone of its machine."`
	Phase    string   `required:"" enum:"reading,writing" help:"Its part: reading or writing."`
	Steering []string `required:"" help:"Addresses (ip:port) of control members for its heartbeats."`
}

// Run serves until the context ends.
func (c *workerCommand) Run(ctx context.Context) error {
	model := newModel(c.ID, c.Phase)
	server := &http.Server{Addr: c.Address, Handler: model.handler(), ReadHeaderTimeout: headLimit}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	beats := &beats{command: c, model: model, done: make(chan struct{})}
	go beats.run(ctx)
	select {
	case err := <-failed:
		return demoError.Wrap(err)
	case <-ctx.Done():
	}
	<-beats.done
	beats.leave()
	if err := server.Close(); !errors.Is(err, http.ErrServerClosed) {
		return demoError.Wrap(err)
	}
	return nil
}

// ticket is what was read of a prompt.
type ticket struct {
	tokens int
	lapses time.Time
}

// model stands in for a model on an accelerator: it takes its time and makes up its words.
type model struct {
	id     string
	client *http.Client

	mu      sync.Mutex
	phase   string
	working int
	orders  int
	number  int // of the newest ticket
	tickets map[string]ticket
}

func newModel(id, phase string) *model {
	return &model{id: id, phase: phase, client: &http.Client{Timeout: time.Second}, tickets: map[string]ticket{}}
}

func (m *model) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", m.health)
	mux.HandleFunc("GET /v1/report", m.report)
	mux.HandleFunc("POST /v1/order", m.order)
	mux.HandleFunc("DELETE /v1/kv-handle/{handle}", m.free)
	mux.HandleFunc("/", m.request)
	return mux
}

func (m *model) health(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerServerID, m.id) }

// request serves a client's request: one of its stages, or both.
func (m *model) request(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(headerRequestID, request.Header.Get(headerRequestID))
	w.Header().Set(headerServerID, m.id)
	_, _ = io.Copy(io.Discard, request.Body) // its words do not matter here
	if request.Header.Get(headerRequestID) == "" {
		notRun(w, http.StatusBadRequest)
		return
	}
	if meant := request.Header.Get("X-Meant-Server"); meant != "" && meant != m.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	stage := phaseWriting
	if request.Header.Get("X-Stage") == phaseReading {
		stage = phaseReading
	}
	if !m.enter(w, stage) {
		return
	}
	defer m.leave()
	if stage == phaseReading {
		m.read(w, request)
		return
	}
	m.write(w, request)
}

// notRun promises that the request has not run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// enter takes a slot for a stage, or answers why there is none.
func (m *model) enter(w http.ResponseWriter, stage string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stage != m.phase {
		notRun(w, http.StatusMisdirectedRequest)
		return false
	}
	if m.working >= workerCapacity {
		notRun(w, http.StatusServiceUnavailable)
		return false
	}
	m.working++
	return true
}

func (m *model) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.working--
}

// read reads a prompt and keeps what came of it for a writer.
func (m *model) read(w http.ResponseWriter, request *http.Request) {
	tokens, _ := tokenCounts(request)
	if !pause(request.Context(), time.Duration(tokens)*readPace) {
		return
	}
	m.mu.Lock()
	m.number++
	handle := fmt.Sprintf("%s-%d", m.id, m.number)
	m.tickets[handle] = ticket{tokens: tokens, lapses: time.Now().Add(ticketHold)}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"prompt_ticket":%q,"token_count":%d,"version":1}`, handle, tokens) // a caller that has left asks again
}

// write writes an answer, from what another worker has read or by reading the prompt itself at half the pace.
func (m *model) write(w http.ResponseWriter, request *http.Request) {
	tokens, most := tokenCounts(request)
	if from := request.Header.Get("Kv-From"); from != "" {
		if !m.fetch(request.Context(), from) {
			notRun(w, http.StatusServiceUnavailable)
			return
		}
	} else if !pause(request.Context(), time.Duration(tokens)*2*readPace) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSeal, "demo."+m.id)
	w.Header().Set("Versions", "1")
	flush := http.NewResponseController(w)
	for event := lastEvent(request) + 1; event <= most; event++ {
		if !pause(request.Context(), writePace) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, word(event)); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
	}
}

// pause waits; false says that the caller has left.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// word is the text of an event.
func word(event int) string {
	words := []string{"a", "router", "passes", "each", "prompt", "to", "one", "reader", "and", "its", "answer", "on"}
	return words[(event-1)%len(words)]
}
