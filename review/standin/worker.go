package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
)

const (
	beatInterval = 1200 * time.Millisecond
	// workTime is how long a worker works on a request.
	workTime = 20 * time.Millisecond
)

// arrival is one request as it reached a worker.
type arrival struct {
	id, worker string
	at         time.Duration
}

// arrivals are the requests that reached the workers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// worker is a worker of a plain service: it answers each request whole after workTime, or longWork.
type worker struct {
	fleet    *fleet
	id, zone string
	address  string
	seen     *arrivals
	count    atomic.Uint64 // of its heartbeats
	mu       sync.Mutex
	to       string // address of the control member that acknowledged last, or that it named
	turn     int    // place of the next control member, where that one does not answer
	server   *http.Server
	stopped  chan struct{} // closed: no more heartbeats
	once     sync.Once
}

// startWorker begins to serve and to send heartbeats.
func startWorker(ctx context.Context, f *fleet, number int, seen *arrivals) (*worker, error) {
	w := &worker{fleet: f, id: fmt.Sprintf("i-%d", number), zone: zones[(number-1)%len(zones)], seen: seen, stopped: make(chan struct{}),
		address: fmt.Sprintf("%s:%d", f.ip(30+number), workerPort), turn: number}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beats(ctx)
	return w, nil
}

// ServeHTTP serves requests, health checks and reports.
func (w *worker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		answer.Header().Set("X-Server-Id", w.id)
		return
	}
	if request.URL.Path == "/v1/report" {
		answer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(answer, `{"phase":"","models":[],"occupied":false,"call_count":0,"queued":0,"working":0,"memory_used":0,"memory_all":0,"tickets":0}`)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Request-Id")
	answer.Header().Set("X-Request-Id", id)
	if meant := request.Header.Get("X-Meant-Server"); meant != "" && meant != w.id {
		answer.Header().Set("X-Not-Run", "1")
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		answer.Header().Set("X-Not-Run", "1")
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.seen.add(arrival{id: id, worker: w.id, at: w.fleet.stage.record.at()})
	w.fleet.stage.record.note("worker %s runs request %s", w.id, id)
	length := workTime
	if strings.HasSuffix(request.URL.Path, "/long") {
		length = longWork
	}
	time.Sleep(length)
	answer.Header().Set("X-Server-Seal", "seal."+w.id+"."+id)
	_, _ = io.WriteString(answer, "done by "+w.id)
}

// beats sends heartbeats until the worker leaves.
func (w *worker) beats(ctx context.Context) {
	for {
		w.beat(ctx)
		select {
		case <-w.stopped:
			return
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// beat sends one heartbeat, to the next control members where one does not acknowledge it.
func (w *worker) beat(ctx context.Context) {
	for range len(w.fleet.steering) + 1 {
		body := fmt.Sprintf(`{"service":"calendar","address":%q,"zone":%q,"version":"v1","capacity":64,"state":"up","cold_left_ms":0,"call_count":%d}`,
			w.address, w.zone, w.count.Add(1))
		if _, err := w.tell(ctx, "/v1/Servers.Beat/", body); err == nil {
			return
		}
	}
}

// tell makes one call to the control member that acknowledged last, or to the next one. It returns when a 2xx came.
func (w *worker) tell(ctx context.Context, path, body string) (time.Duration, error) {
	w.mu.Lock()
	if w.to == "" {
		w.to = w.fleet.steering[w.turn%len(w.fleet.steering)]
		w.turn++
	}
	address := w.to
	w.mu.Unlock()
	status, text, err := w.fleet.call(ctx, address, http.MethodPost, path+w.id, body)
	got := w.fleet.stage.record.at()
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("status %d", status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.to = ""
	} else if named := gjson.Get(text, "beat_to").String(); named != "" {
		w.to = named
	}
	return got, err
}

// leave says that the worker ends, as one does that never says leaving, until that is acknowledged, and returns when.
func (w *worker) leave(ctx context.Context) (time.Duration, error) {
	w.once.Do(func() { close(w.stopped) })
	for {
		if got, err := w.tell(ctx, "/v1/Servers.Leave/", ""); err == nil {
			return got, nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return 0, fmt.Errorf("the end of worker %s was not acknowledged", w.id)
		}
	}
}
