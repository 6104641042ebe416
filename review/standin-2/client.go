package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host    = "seals.example"
	service = "calendar"
)

// kind is a kind of request with its route.
type kind struct {
	name   string
	path   string
	target time.Duration
	giveUp time.Duration
	rank   int
	work   time.Duration // that a worker takes, mean
	rate   float64       // a second
}

// firstKind has the times of soy-ozet's route in the operators' table, laterKind those of muhur-onay with its work, bytes and rate.
var (
	firstKind = kind{name: "record-summary", path: "/summary/", target: 600 * time.Millisecond, giveUp: 10 * time.Second, rank: 1, work: 400 * time.Millisecond, rate: 5}
	laterKind = kind{name: "seal-check", path: "/seal/", target: 100 * time.Millisecond, giveUp: 600 * time.Millisecond, rank: 0, work: 15 * time.Millisecond, rate: 16.6}
	kinds     = []kind{firstKind, laterKind}
)

// route is the kind's route in the configuration.
func (k kind) route() string {
	return fmt.Sprintf(`{"name":%q,"domain":%q,"path_start":%q,"route_type":"harmless","give_up_ms":%d,"target_ms":%d,"rank":%d,"service":%q,"tries":2,"sticky":false,"pick_up":false}`,
		k.name, host, k.path, k.giveUp.Milliseconds(), k.target.Milliseconds(), k.rank, service)
}

// tally counts the requests of one kind; each try is one request.
type tally struct {
	mu             sync.Mutex
	asked, served  int
	statuses       map[int]int
	firstNotServed string
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	t.asked++
	t.statuses[status]++
	if status == http.StatusOK {
		t.served++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked == 0 {
		return 0
	}
	return float64(t.served) / float64(t.asked)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d asked, %d served, by status %v (0: no whole answer)", t.asked, t.served, t.statuses)
}

var requests atomic.Uint64

// flow has clients send requests of a kind at its rate until the end, and counts those sent from the time on.
func flow(f *fleet, r *record, k kind, from, end time.Time, counted *tally) {
	var open sync.WaitGroup
	gap := time.Duration(float64(time.Second) / k.rate)
	for next := time.Now(); next.Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		open.Go(func() { ask(f, r, k, from, counted) })
	}
	open.Wait()
}

// ask is one client's request: a try, and another one at another router if the first was refused or failed and time is left.
func ask(f *fleet, r *record, k kind, from time.Time, counted *tally) {
	end := time.Now().Add(k.giveUp)
	edge := rand.IntN(len(f.proxies))
	for try := range 2 {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		sent := time.Now()
		status, retryAfter := send(f, r, k, (edge+try)%len(f.proxies), left)
		if !sent.Before(from) {
			counted.add(status)
		}
		if status == http.StatusOK {
			return
		}
		time.Sleep(min(retryAfter, time.Until(end)/3))
	}
}

// send makes one try on a new connection. Status 0: there was no whole answer with the worker's seal.
func send(f *fleet, r *record, k kind, edge int, left time.Duration) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), requests.Add(1))
	r.line("sent", "%s %s to edge %d, X-Time-Left %d", k.name, id, edge+1, left.Milliseconds())
	at := time.Now()
	defer func() {
		r.line("answered", "%s %s: status %d after %d ms", k.name, id, status, time.Since(at).Milliseconds())
	}()
	conn, err := net.DialTimeout("tcp", f.front(edge), time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(at.Add(left))
	_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Time-Left: %d\r\n\r\n", k.path, id, host, id, left.Milliseconds())
	if err != nil {
		return 0, 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	if response.StatusCode == http.StatusOK && response.Header.Get("X-Server-Seal") == "" {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
