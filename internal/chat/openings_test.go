package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// kept is a set of openings that remembers what it was told.
type kept struct {
	mu    sync.Mutex
	homes []brain.EngineID
	told  []Opening
}

func (k *kept) Homes(uint64) []brain.EngineID { return k.homes }

func (k *kept) Served(o Opening) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o.First, o.Answer = append([]byte{}, o.First...), append([]byte{}, o.Answer...)
	k.told = append(k.told, o)
}

// A request goes to the home that it is told of, and what is told of it is what was served; a server is warmed by the opening
// alone, marked, with no client's credentials, and only while it is ready.
func TestOpeningsOfRequests(t *testing.T) {
	type seen struct{ server, body, warm, auth string }
	var mu sync.Mutex
	var asked []seen
	handler := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			data, _ := io.ReadAll(req.Body)
			if req.URL.Path == "/health" {
				return
			}
			mu.Lock()
			asked = append(asked, seen{name, string(data), req.Header.Get(warmHeader), req.Header.Get("Authorization")})
			mu.Unlock()
			if strings.Contains(string(data), `"stream":true`) {
				_, _ = io.WriteString(w, chunk+"data: [DONE]\n\n")
				return
			}
			_, _ = io.WriteString(w, `{"usage":{"prompt_tokens_details":{"cached_tokens":0}}}`)
		})
	}
	last := func() seen {
		mu.Lock()
		defer mu.Unlock()
		return asked[len(asked)-1]
	}
	cfg := set(standin.HTTP(t, handler("s0")), standin.HTTP(t, handler("s1")), standin.HTTP(t, handler("s2")), standin.HTTP(t, handler("s3")))
	pool := upstream.NewPool(upstream.NewBudget(64), config.Millis(cfg.ConnectTimeoutMs), config.Millis(cfg.ConnIdleMs))
	servers := NewServers(pool, cfg.HealthPath)
	c := core.New(cfg.Brain(), 7, servers, standin.Log())
	c.Listed(brain.ListComplete, cfg.Workers())
	go c.Run(t.Context())
	front, k := New(c, servers, cfg), &kept{}
	front.Hold(k)
	addr := standin.HTTP(t, front)
	const opening = `{"role":"system","content":"shared"}`
	post := func(stream bool) {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(`{"model":"query","stream":%v,"messages":[%s,{"content":"own"}]}`, stream, opening)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer mine")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	for i := range 4 {
		home := fmt.Sprint("s", i)
		k.homes = []brain.EngineID{discovery.EngineID(home)}
		for _, stream := range []bool{false, true} {
			post(stream)
			o := k.told[len(k.told)-1]
			if last().server != home || o.Server != home || string(o.First) != opening || o.Model != "query" || o.Prefix != hash([]byte(opening)) || o.Tokens != float64(len(opening))/tokenBytes || (len(o.Answer) > 0) == stream {
				t.Errorf("home %s, stream %v: asked %+v, told %+v", home, stream, last(), o)
			}
		}
	}
	id := discovery.EngineID("s2")
	if err := servers.Warm(t.Context(), c, id, "query", []byte(opening), nil); err != nil {
		t.Fatal(err)
	}
	var body struct {
		Messages []json.RawMessage
		Max      int `json:"max_tokens"`
	}
	if got := last(); json.Unmarshal([]byte(got.body), &body) != nil || got.server != "s2" || got.warm != "1" || got.auth != "" || body.Max != 1 || len(body.Messages) != 1 || string(body.Messages[0]) != opening {
		t.Errorf("a server is warmed by %+v", got)
	}
	list := cfg.Workers()
	list[2].Availability = brain.Draining
	c.Listed(brain.ListDelta, list[2:3])
	n := len(asked)
	if err := servers.Warm(t.Context(), c, id, "query", []byte(opening), nil); !errors.Is(err, core.ErrNotReady) || len(asked) != n {
		t.Errorf("a server that drains is warmed: %v", err)
	}
}
