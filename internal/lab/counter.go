package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter is a chat server that counts. Each run of a request makes another answer; it drops repeats of keyed
// requests, as far as it has the key, and refuses an epoch of a key that is older than one it has seen.
type Counter struct {
	mu     sync.Mutex
	draw   *rand.Rand
	runs   map[string]int       // by the request's id
	made   map[string][]string  // answers, by the request's id
	keys   map[string]string    // answers of keyed requests, by key
	ranAt  map[string]time.Time // when the last run of a request began
	epochs map[string]int64
	older  int // requests that came with an older epoch
	Quick  int // how many times quicker it answers
	// Epochs has older epochs refused, not only counted.
	Epochs bool
}

// NewCounter makes a counter whose delays are drawn from a seed.
func NewCounter(seed uint64) *Counter {
	return &Counter{draw: rand.New(rand.NewPCG(seed, 77)), runs: map[string]int{}, made: map[string][]string{}, keys: map[string]string{}, epochs: map[string]int64{}, ranAt: map[string]time.Time{}}
}

// ServeHTTP serves http.Handler.
func (c *Counter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		return
	}
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var in struct {
		Model    string
		Stream   bool
		Messages []struct{ Content string }
	}
	if json.Unmarshal(data, &in) != nil || len(in.Messages) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, key := in.Messages[0].Content, req.Header.Get("Idempotency-Key")
	epoch, _ := strconv.ParseInt(req.Header.Get("X-Sumacloft-Epoch"), 10, 64) // 0 where there is none
	c.mu.Lock()
	if epoch < c.epochs[key] {
		c.older++
		if c.Epochs {
			c.mu.Unlock()
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	c.epochs[key] = max(epoch, c.epochs[key])
	answer, dropped := c.keys[key]
	if !dropped || in.Model != "keyed" {
		dropped = false
		c.runs[in.Model+" "+id]++
		c.ranAt[id] = time.Now()
		answer = fmt.Sprintf("%s-run-%d", id, c.runs[in.Model+" "+id])
		c.made[id] = append(c.made[id], answer)
		c.keys[key] = answer
	}
	wait := time.Duration(c.draw.IntN(120)) * time.Millisecond / time.Duration(1+c.Quick)
	if c.draw.IntN(10) == 0 {
		wait *= 6
	}
	c.mu.Unlock()
	if !in.Stream {
		time.Sleep(wait)
		_, _ = fmt.Fprintf(w, `{"object":"chat.completion","answer":%q}`, answer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, piece := range []string{answer[:len(answer)/2], answer[len(answer)/2:]} {
		time.Sleep(wait / 2)
		_, _ = fmt.Fprintf(w, "data: {\"n\":%d,\"piece\":%q}\n\n", i, piece)
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// twice lists the requests of a model that ran more than once.
func (c *Counter) twice(model string) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.runs {
		if n > 1 && strings.HasPrefix(name, model+" ") {
			out = append(out, fmt.Sprintf("%s ran %d times", name, n))
		}
	}
	slices.Sort(out)
	return out
}
