package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	at     time.Time
	worker string
	id     string
	method string
	uri    string
	body   string // the hash of its body
	last   string // Last-Event-Id
	seal   string
	status int
	answer []byte // the whole body that the worker has made
	notRun bool
}

// book keeps what all workers have run and been asked.
type book struct {
	mu   sync.Mutex
	runs map[string][]*run
	asks int
}

func (b *book) add(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.id] = append(b.runs[r.id], r)
}

func (b *book) of(id string) []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*run(nil), b.runs[id]...)
}

// worker is a stand-in of a server: a model worker with a phase, or an application's worker without one.
type worker struct {
	fleet   *fleet
	book    *book
	id      string
	service string
	address string
	zone    string
	phase   string // empty for an application's worker
	trouble func(request *http.Request) string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	calls    uint64
	state    string
	tickets  map[string]string // the request of each handle
	working  int
	acked    time.Time // when leaving was acknowledged
	stopped  bool
	late     []string // requests that came later than empty_out_ms after the acknowledgement
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// start listens and begins to send heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener, w.conns, w.state, w.tickets = listener, map[net.Conn]struct{}{}, "up", map[string]string{}
	go w.accept()
	go w.beat()
	return nil
}

// stop ends the worker at once: its connections are closed.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	_ = w.listener.Close()
	for conn := range w.conns {
		reset(conn)
	}
}

func (w *worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// beat sends heartbeats about every 1.2 s, to another control member after one that is not acknowledged.
func (w *worker) beat() {
	turn := rand.IntN(len(w.fleet.controls))
	for !w.ended() {
		if !w.tell(turn) {
			turn++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// tell sends one heartbeat and tells whether it was acknowledged.
func (w *worker) tell(turn int) bool {
	w.mu.Lock()
	w.calls++
	state := w.state
	phase := ""
	if w.phase != "" {
		phase = fmt.Sprintf(`,"phase":%q,"models":[{"name":"m","version":1,"add_ons":[]}]`, w.phase)
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":64,"state":%q,"cold_left_ms":0%s,"call_count":%d}`,
		w.service, w.address, w.zone, state, phase, w.calls)
	w.mu.Unlock()
	status, _, err := post(w.fleet.control(turn%len(w.fleet.controls)), "/v1/Servers.Beat/"+w.id, "", []byte(body))
	acked := err == nil && status/100 == 2
	if acked && state == "leaving" {
		w.mu.Lock()
		if w.acked.IsZero() {
			w.acked = time.Now()
		}
		w.mu.Unlock()
	}
	return acked
}

// leave has the worker say that it leaves, at once, until that is acknowledged.
func (w *worker) leave() {
	w.mu.Lock()
	w.state = "leaving"
	w.mu.Unlock()
	for turn := 0; turn < 20 && !w.tell(turn); turn++ {
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.serve(conn)
			_ = conn.Close()
			w.mu.Lock()
			delete(w.conns, conn)
			w.mu.Unlock()
		}()
	}
}

// serve answers one request after the other on a connection.
func (w *worker) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, request, body) {
			return
		}
	}
}

// head writes the head of an answer.
func head(status int, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	return text + "\r\n"
}

// small writes a short whole answer.
func small(conn net.Conn, status int, body string, headers ...string) bool {
	headers = append(headers, "Content-Length", fmt.Sprint(len(body)))
	_, err := conn.Write([]byte(head(status, headers...) + body))
	return err == nil
}

// answer serves one request and tells whether the connection may carry another.
func (w *worker) answer(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	meant := request.Header.Get("X-Meant-Server")
	switch {
	case meant != "" && meant != w.id:
		return small(conn, 421, "", "X-Not-Run", "1", "X-Request-Id", id)
	case request.Method == http.MethodGet && request.URL.Path == "/v1/report":
		w.mu.Lock()
		report := fmt.Sprintf(`{"phase":%q,"models":[{"name":"m","version":1,"add_ons":[]}],"occupied":false,"call_count":0,"queued":0,"working":%d,"memory_used":1000,"memory_all":600000,"tickets":%d}`,
			w.phase, w.working, len(w.tickets))
		w.mu.Unlock()
		return small(conn, 200, report, "Content-Type", "application/json")
	case request.URL.Path == "/health":
		return small(conn, 200, "", "X-Server-Id", w.id)
	case request.URL.Path == "/v1/order":
		return small(conn, 200, "{}", "Content-Type", "application/json")
	case request.Method == http.MethodDelete && strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		w.mu.Lock()
		delete(w.tickets, strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"))
		w.mu.Unlock()
		return small(conn, 200, "{}", "Content-Type", "application/json")
	case id == "":
		return small(conn, 400, "", "X-Not-Run", "1")
	}
	w.mu.Lock()
	w.working++
	if late := time.Since(w.acked); !w.acked.IsZero() && late > 2*time.Second {
		w.late = append(w.late, fmt.Sprintf("%s at %s %v after its leaving was acknowledged", id, w.id, late))
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.working--
		w.mu.Unlock()
	}()
	reading := request.Header.Get("X-Stage") == "reading"
	if w.phase != "" && reading != (w.phase == "reading") {
		return small(conn, 421, "", "X-Not-Run", "1", "X-Request-Id", id)
	}
	trouble := ""
	if w.trouble != nil {
		trouble = w.trouble(request)
	}
	if trouble == "full" {
		return small(conn, 503, "", "X-Not-Run", "1", "X-Request-Id", id)
	}
	if reading {
		return w.read(conn, request, id, trouble)
	}
	return w.work(conn, request, body, id, trouble)
}
