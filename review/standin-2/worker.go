package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slots and queue are those of a worker of donor-calendar in the site file.
	slots = 6
	queue = 24
	// beatInterval is heartbeat_ms of the boot files.
	beatInterval = 1200 * time.Millisecond
	workerPort   = 8000
)

// worker is a stand-in of an application's worker: sound, always well, with slots for requests and a queue before them.
type worker struct {
	fleet   *fleet
	record  *record
	id      string
	address string
	zone    string

	mu       sync.Mutex
	listener net.Listener
	calls    uint64
	inside   int           // requests at work or in the queue
	places   chan struct{} // one for each slot
	stopped  bool
}

// start listens and begins to send heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener, w.places = listener, make(chan struct{}, slots)
	go w.accept()
	go w.beat()
	return nil
}

// stop ends the heartbeats and takes no further connections.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	_ = w.listener.Close()
}

func (w *worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// beat sends heartbeats, to another control member after one that was not acknowledged.
func (w *worker) beat() {
	for turn := 0; !w.ended(); {
		w.calls++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":"up","cold_left_ms":0,"call_count":%d}`,
			service, w.address, w.zone, slots, w.calls)
		status, _, err := post(w.fleet.control(turn%len(w.fleet.controls)), "/v1/Servers.Beat/"+w.id, "", []byte(body))
		if err != nil || status/100 != 2 {
			turn++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(beatInterval)
	}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// serve answers one request after the other on a connection.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if err := w.answer(conn, request); err != nil {
			return
		}
	}
}

// reply writes a whole answer.
func reply(conn net.Conn, status int, body string, headers ...string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	_, err := conn.Write([]byte(text + "\r\n" + body))
	return err
}

// answer serves one request.
func (w *worker) answer(conn net.Conn, request *http.Request) error {
	id := request.Header.Get("X-Request-Id")
	meant := request.Header.Get("X-Meant-Server")
	switch {
	case meant != "" && meant != w.id:
		return reply(conn, http.StatusMisdirectedRequest, "", "X-Not-Run", "1", "X-Request-Id", id)
	case request.URL.Path == "/v1/report":
		w.mu.Lock()
		report := fmt.Sprintf(`{"occupied":false,"call_count":0,"queued":%d,"working":%d}`, max(w.inside-slots, 0), min(w.inside, slots))
		w.mu.Unlock()
		return reply(conn, http.StatusOK, report, "Content-Type", "application/json")
	case request.URL.Path == "/health":
		return reply(conn, http.StatusOK, "", "X-Server-Id", w.id)
	case id == "":
		return reply(conn, http.StatusBadRequest, "", "X-Not-Run", "1")
	case !w.enter():
		return reply(conn, http.StatusServiceUnavailable, "", "X-Not-Run", "1", "X-Request-Id", id)
	}
	w.places <- struct{}{}
	w.work(id, request.URL.Path)
	<-w.places
	w.mu.Lock()
	w.inside--
	w.mu.Unlock()
	return reply(conn, http.StatusOK, strings.Repeat("x", 800), "X-Request-Id", id, "X-Server-Seal", w.id+"."+id, "Content-Type", "text/plain")
}

// enter takes a place at work or in the queue; false: the worker is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inside >= slots+queue {
		return false
	}
	w.inside++
	return true
}

// work takes the time of the request's kind, between 0.75 and 1.25 times its mean.
func (w *worker) work(id, path string) {
	for _, k := range kinds {
		if strings.HasPrefix(path, k.path) {
			length := time.Duration((0.75 + rand.Float64()/2) * float64(k.work))
			w.record.line("run", "%s %s at %s, %d ms", k.name, id, w.id, length.Milliseconds())
			time.Sleep(length)
			return
		}
	}
}
