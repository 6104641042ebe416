package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// read reads a prompt and keeps its handle.
func (w *worker) read(conn net.Conn, _ *http.Request, id, trouble string) bool {
	time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
	if trouble == "broken" || trouble == "mute" {
		return false
	}
	handle := fmt.Sprintf("%012x", rand.Uint64N(1<<48))
	w.mu.Lock()
	w.tickets[handle] = id
	w.mu.Unlock()
	w.fleet.handles.Store(w.address+"/"+handle, id)
	body := fmt.Sprintf(`{"prompt_ticket":%q,"token_count":1000,"version":1}`, handle)
	return w.extra(conn, small(conn, 200, body, "X-Request-Id", id, "Content-Type", "application/json"), trouble, 200, body, id)
}

// extra sends a second copy of an answer where the trouble is that, at once or a little later.
func (w *worker) extra(conn net.Conn, open bool, trouble string, status int, body, id string) bool {
	if !open || trouble != "extra" {
		return open
	}
	time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	return small(conn, status, body, "X-Request-Id", id, "X-Server-Seal", "extra."+id, "Content-Type", "application/json")
}

// work runs a request: a stream for a model worker, a whole answer for an application's.
func (w *worker) work(conn net.Conn, request *http.Request, body []byte, id, trouble string) bool {
	if from := request.Header.Get("Kv-From"); from != "" {
		owner, known := w.fleet.handles.Load(from)
		if known && owner != id {
			w.book.add(&run{at: time.Now(), worker: w.id, id: id, seal: "foreign handle of " + fmt.Sprint(owner)})
		}
		if !known {
			return small(conn, 503, "", "X-Not-Run", "1", "X-Request-Id", id)
		}
	}
	r := &run{at: time.Now(), worker: w.id, id: id, method: request.Method, uri: request.RequestURI, body: digest(body),
		last: request.Header.Get("Last-Event-Id"), seal: fmt.Sprintf("%s.%s.%d", w.id, id, rand.IntN(1<<30)), status: 200}
	if w.phase == "" {
		return w.whole(conn, r, trouble)
	}
	return w.stream(conn, request, r, trouble)
}

// whole gives an answer of a known length, in chunks or up to the connection's end.
func (w *worker) whole(conn net.Conn, r *run, trouble string) bool {
	r.answer = []byte(strings.Repeat(r.id+".", 20+rand.IntN(200)))
	if trouble == "fails" {
		r.status = 500
	}
	w.book.add(r)
	time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
	if trouble == "mute" {
		return false
	}
	headers := []string{"X-Request-Id", r.id, "X-Server-Seal", r.seal, "Content-Type", "text/plain"}
	text := ""
	open := true
	if r.method == http.MethodHead {
		return err(conn, head(r.status, append(headers, "Content-Length", strconv.Itoa(len(r.answer)))...)) == nil
	}
	switch rand.IntN(3) {
	case 0:
		text = head(r.status, append(headers, "Content-Length", strconv.Itoa(len(r.answer)))...) + string(r.answer)
	case 1:
		half := len(r.answer) / 2
		text = head(r.status, append(headers, "Transfer-Encoding", "chunked")...) +
			fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, r.answer[:half], len(r.answer)-half, r.answer[half:])
	case 2:
		text, open = head(r.status, append(headers, "Connection", "close")...)+string(r.answer), false
	}
	if trouble == "broken" {
		text, open = text[:rand.IntN(len(text)-1)], false
		_, _ = conn.Write([]byte(text))
		reset(conn)
		return false
	}
	if trouble == "dribble" {
		for len(text) > 0 && err(conn, text[:min(len(text), 7)]) == nil {
			text = text[min(len(text), 7):]
			time.Sleep(time.Millisecond / 4)
		}
		return open
	}
	if err(conn, text) != nil {
		return false
	}
	return w.extra(conn, open, trouble, r.status, string(r.answer), r.id)
}

func err(conn net.Conn, text string) error {
	_, failed := conn.Write([]byte(text))
	return failed
}

// reset has the connection's end be a reset.
func reset(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// stream gives events with rising ids.
func (w *worker) stream(conn net.Conn, request *http.Request, r *run, trouble string) bool {
	most := 3
	if _, out, found := strings.Cut(request.Header.Get("X-Token-Count"), ","); found {
		most, _ = strconv.Atoi(strings.TrimSpace(out))
	}
	first, _ := strconv.Atoi(r.last)
	var whole bytes.Buffer
	var events []string
	for event := first + 1; event <= most; event++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s of %s\n\n", event, strings.Repeat("x", rand.IntN(60)), r.id))
		whole.WriteString(events[len(events)-1])
	}
	r.answer = whole.Bytes()
	w.book.add(r)
	time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	if trouble == "mute" {
		return false
	}
	chunked := rand.IntN(4) > 0
	headers := []string{"X-Request-Id", r.id, "X-Server-Seal", r.seal, "Content-Type", "text/event-stream", "Versions", "1"}
	if chunked {
		headers = append(headers, "Transfer-Encoding", "chunked")
	} else {
		headers = append(headers, "Connection", "close")
	}
	if err(conn, head(200, headers...)) != nil {
		return false
	}
	breakAt := -1
	if trouble == "broken" && len(events) > 0 {
		breakAt = rand.IntN(len(events))
	}
	for i, event := range events {
		time.Sleep(time.Duration(1+rand.IntN(12)) * time.Millisecond)
		if i == breakAt {
			cut := event[:rand.IntN(len(event))]
			if chunked && len(cut) > 0 {
				_ = err(conn, fmt.Sprintf("%x\r\n%s", len(event), cut))
			}
			reset(conn)
			return false
		}
		if chunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if err(conn, event) != nil {
			return false
		}
	}
	if !chunked {
		return false
	}
	return err(conn, "0\r\n\r\n") == nil && w.extra(conn, true, trouble, 200, "", r.id)
}
