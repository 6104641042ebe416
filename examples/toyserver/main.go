// Command toyserver is a stand-in chat server to try sumacloft with: it streams back the words of the last
// message, or gives them in one piece. It listens on loopback only.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

type completion struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "a loopback address")
	pause := flag.Duration("pause", 50*time.Millisecond, "between two words")
	fail := flag.Float64("fail", 0, "the part of the requests that fail, for a bad version")
	flag.Parse()
	host, _, err := net.SplitHostPort(*listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		log.Fatalf("-listen %q: not a loopback address with a port", *listen)
	}
	log.Printf("toyserver listens at %s", *listen)
	log.Fatal(http.ListenAndServe(*listen, failing(*fail, handler(*listen, *pause))))
}

// failing fails a part of the requests, as a bad version of a server does.
func failing(part float64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/health" && rand.Float64() < part {
			http.Error(w, `{"error":{"message":"a fault of this version","type":"server_error","param":null,"code":null}}`, http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func handler(name string, pause time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, req *http.Request) {
		var in completion
		if err := json.NewDecoder(req.Body).Decode(&in); err != nil || len(in.Messages) == 0 {
			http.Error(w, `{"error":{"message":"messages: missing","type":"invalid_request_error","param":null,"code":null}}`, http.StatusBadRequest)
			return
		}
		words := strings.Fields(name + " heard: " + in.Messages[len(in.Messages)-1].Content)
		if !in.Stream {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"object": "chat.completion", "model": in.Model, "choices": []any{
				map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": strings.Join(words, " ")}}}})
			return
		}
		stream(w, req, words, pause)
	})
	return mux
}

func stream(w http.ResponseWriter, req *http.Request, words []string, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for _, word := range words {
		event, err := json.Marshal(map[string]any{"object": "chat.completion.chunk", "choices": []any{
			map[string]any{"index": 0, "delta": map[string]string{"content": word + " "}, "finish_reason": nil}}})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil || flush.Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(pause):
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
