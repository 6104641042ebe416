package emu

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// WarmHeader marks a read in background, which is told to ran as a line that begins with Warmed, then the beginning's hash, how
// many requests the server has and the least that it had in the last seconds.
const (
	WarmHeader = "X-Sumacloft-Warm"
	Warmed     = "WARM"
)

// Handler serves a server in real time, as a chat server does. Each request that it begins to run is told to ran with
// the content of its last message, before anything else.
type Handler struct {
	// Mark is the version of the weights, as answers name it; "" for a server that names none.
	Mark string

	zero time.Time
	ran  func(id string)

	mu     sync.Mutex
	server *Server
	last   uint64
	waits  map[uint64]chan ended
	timer  *time.Timer
	calm   calm
}

// ended is what became of a request that was taken: it may have fallen with the server, or found its beginning remembered.
type ended struct{ whole, kept bool }

// NewHandler makes a handler for a server that starts now.
func NewHandler(set Settings, warm bool, ran func(id string)) *Handler {
	started := time.Duration(0)
	if warm {
		started = -set.Warm
	}
	h := &Handler{zero: time.Now(), ran: ran, server: New(set, started), waits: map[uint64]chan ended{}}
	h.timer = time.AfterFunc(time.Hour, h.fire)
	return h
}

func (h *Handler) now() time.Duration { return time.Since(h.zero) }

// fire ends what is due.
func (h *Handler) fire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
}

// advance ends what has run and sets the timer for the next; the lock is held.
func (h *Handler) advance() {
	for _, d := range h.server.Advance(h.now()) {
		if c := h.waits[d.ID]; c != nil {
			c <- ended{true, d.Kept}
			delete(h.waits, d.ID)
		}
	}
	if at, any := h.server.Next(); any {
		h.timer.Reset(max(at-h.now(), 0))
	}
}

// ServeHTTP serves http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		h.mu.Lock()
		away := h.server.Away(h.now())
		h.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		return
	}
	var body struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	data, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	if err != nil || json.Unmarshal(data, &body) != nil || len(body.Messages) == 0 {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	key := fnv.New64a()
	_, _ = key.Write([]byte(body.Messages[0].Content)) // never fails
	done := make(chan ended, 1)
	h.mu.Lock()
	h.advance()
	h.last++
	id, falls := h.last, h.server.Falls
	running, waiting := h.server.Load()
	least := h.calm.saw(h.now(), running+waiting)
	work, says := 1.0, body.Messages[len(body.Messages)-1].Content
	if warms := req.Header.Get(WarmHeader) != ""; warms { // what remembering it saves is what reading it costs
		work, says = h.server.set.Hit, fmt.Sprintf("%s %016x %d %d", Warmed, key.Sum64(), running+waiting, least)
	}
	fate := h.server.Offer(h.now(), id, work, key.Sum64())
	switch {
	case h.server.Falls > falls: // all that it had is lost
		for _, c := range h.waits {
			c <- ended{}
		}
		clear(h.waits)
	case fate == Taken:
		h.ran(says)
		h.waits[id] = done
		h.advance()
	}
	h.mu.Unlock()
	switch fate {
	case Full:
		w.Header().Set("Not-Started", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	case Fell, Absent:
		panic(http.ErrAbortHandler)
	}
	kept := 0
	select {
	case e := <-done:
		if !e.whole {
			panic(http.ErrAbortHandler)
		}
		if e.kept {
			kept = max(len(body.Messages[0].Content)/4, 1)
		}
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	usage := fmt.Sprintf(`"prompt_tokens_details":{"cached_tokens":%d}`, kept)
	if h.Mark == "" {
		_, _ = fmt.Fprintf(w, `{"object":"chat.completion","choices":[],"usage":{%s}}`, usage) // a client that has left is no matter
		return
	}
	_, _ = fmt.Fprintf(w, `{"object":"chat.completion","choices":[{"finish_reason":"stop"}],"system_fingerprint":%q,"usage":{"completion_tokens":%d,%s}}`, h.Mark, tokensFrom+id%tokensSpan, usage)
}

// tokensFrom is how long marked answers are at least, tokensSpan by how much they differ.
const tokensFrom, tokensSpan = 90, 21

// Falls tells how often the server fell over.
func (h *Handler) Falls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server.Falls
}
