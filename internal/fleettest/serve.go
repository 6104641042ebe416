package fleettest

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/fleettest/memnet"
)

// Kind is what a call to a worker asks for.
type Kind string

// The kinds of calls.
const (
	Prefill Kind = "prefill"
	Decode  Kind = "run"
	Release Kind = "release"
	Order   Kind = "order"
)

// Outcome is what became of a call.
type Outcome string

// The outcomes of calls.
const (
	Done       Outcome = "done"
	UnderWay   Outcome = "under way"
	TurnedAway Outcome = "turned away"
	WasReset   Outcome = "reset"
	CalledOff  Outcome = "called off" // the caller closed the connection
)

// Call is one call that reached a worker. Times are the fleet's.
type Call struct {
	Kind    Kind
	Request string // id of the request
	At      time.Duration
	End     time.Duration
	Outcome Outcome
	KvFrom  string
	Ticket  string
	Phase   string // of an order
	Owner   string
	Fence   uint64
}

// ticket is the memory of a prompt that a worker holds.
type ticket struct {
	until time.Duration
	used  bool // taken or released
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", w.release)
	mux.HandleFunc("/", w.request)
	return mux
}

// begin notes a call.
func (w *Worker) begin(call Call) (place int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	call.At = w.fleet.Now()
	call.Outcome = UnderWay
	w.calls = append(w.calls, call)
	return len(w.calls) - 1
}

// finish notes the end of a call.
func (w *Worker) finish(place int, outcome Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[place].End = w.fleet.Now()
	w.calls[place].Outcome = outcome
}

// turnAway promises that the request has not run.
func turnAway(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Run", "1")
	rw.WriteHeader(status)
}

// request serves a client's request or the reading of its prompt.
func (w *Worker) request(rw http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // a caller that left is noticed below
	kind := Decode
	if request.Header.Get("X-Stage") == Reading {
		kind = Prefill
	}
	id := request.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	place := w.begin(Call{Kind: kind, Request: id, KvFrom: request.Header.Get("Kv-From")})
	w.mu.Lock()
	behaviour := w.behaviour
	misplaced := request.Header.Get("X-Meant-Server") != w.ID || kind == Prefill && w.phase != Reading ||
		kind == Decode && w.phase == Reading
	away := behaviour.TurnAway || w.changing
	w.mu.Unlock()
	switch {
	case misplaced:
		w.finish(place, TurnedAway)
		turnAway(rw, http.StatusMisdirectedRequest)
	case away || !w.fetch(request.Header.Get("Kv-From")):
		w.finish(place, TurnedAway)
		turnAway(rw, http.StatusServiceUnavailable)
	case behaviour.Reset:
		w.finish(place, WasReset)
		reset(rw)
	case kind == Prefill:
		w.finish(place, w.prefill(rw, request, place, behaviour))
	default:
		w.finish(place, w.run(rw, request, behaviour))
	}
}

// reset resets the connection of a request.
func reset(rw http.ResponseWriter) {
	taken, _, err := rw.(http.Hijacker).Hijack()
	if err == nil {
		taken.(*memnet.Conn).Reset()
	}
}

// prefill reads a prompt and holds its memory.
func (w *Worker) prefill(rw http.ResponseWriter, request *http.Request, place int, behaviour Behaviour) Outcome {
	if !spend(request, behaviour.ReadTime) {
		return CalledOff
	}
	w.mu.Lock()
	w.lastTicket++
	id := fmt.Sprintf("%s-%d", w.ID, w.lastTicket)
	w.tickets[id] = &ticket{until: w.fleet.Now() + ticketHold}
	w.calls[place].Ticket = id
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(rw, `{"prompt_ticket":%q,"token_count":100,"version":1}`, id)
	return Done
}

// run answers a request, on flowing routes with a stream of events.
func (w *Worker) run(rw http.ResponseWriter, request *http.Request, behaviour Behaviour) Outcome {
	if !spend(request, behaviour.FirstTime) {
		return CalledOff
	}
	rw.Header().Set("X-Server-Seal", "seal-"+w.ID)
	if w.Phase() == "" {
		_, _ = io.WriteString(rw, "from "+w.ID)
		return Done
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	first := lastEvent(request) + 1
	for event := first; event <= max(behaviour.Events, 1); event++ {
		if event > first && !spend(request, behaviour.Pace) {
			return CalledOff
		}
		if behaviour.CutAfter > 0 && event > behaviour.CutAfter {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: tok", event)
			_ = control.Flush()
			spend(request, behaviour.Pace) // what was written arrives before the reset
			reset(rw)
			return WasReset
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", event, event)
		_ = control.Flush()
	}
	return Done
}

// lastEvent is the event behind which a stream is to go on, 0 for a whole one.
func lastEvent(request *http.Request) int {
	event, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 where there is none
	return event
}

// spend works for a time; false says that the caller has left.
func spend(request *http.Request, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// fetch takes the memory of a prompt from the worker that holds it.
func (w *Worker) fetch(from string) bool {
	if from == "" {
		return true
	}
	address, id, _ := strings.Cut(from, "/")
	holder := w.fleet.worker(address)
	return holder != nil && w.fleet.Network.Reaches(holder.IP, w.IP) && holder.take(id)
}

// take ends the holding of a prompt's memory; false: it is not held.
func (w *Worker) take(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.tickets[id]
	if held == nil || held.used || w.fleet.Now() > held.until {
		return false
	}
	held.used = true
	return true
}

// Held is how many prompts' memory the worker holds.
func (w *Worker) Held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, held := range w.tickets {
		if !held.used && w.fleet.Now() <= held.until {
			n++
		}
	}
	return n
}

// Lapsed is how many prompts' memory the worker held for nobody: it was neither taken nor released in time.
func (w *Worker) Lapsed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, held := range w.tickets {
		if !held.used && w.fleet.Now() > held.until {
			n++
		}
	}
	return n
}

func (w *Worker) release(rw http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	place := w.begin(Call{Kind: Release, Ticket: id})
	w.take(id)
	w.finish(place, Done)
	rw.WriteHeader(http.StatusOK)
}

func (w *Worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	working := 0
	if w.phase != Reading {
		working = w.behaviour.Working
	}
	_, _ = io.WriteString(rw, `{"phase":`+strconv.Quote(w.phase)+`,"queued":0,"working":`+strconv.Itoa(working)+
		`,"memory_used":0,"memory_all":1000,"call_count":`+strconv.Itoa(w.orders)+`}`)
}
