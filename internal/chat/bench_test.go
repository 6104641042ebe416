package chat

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"sumacloft/internal/standin"
)

// What a request without handover costs in the front, the core and the call to a server.
func BenchmarkComplete(b *testing.B) {
	server := standin.HTTP(b, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, "{}")
	}))
	addr, _ := route(b, set(server))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Post("http://"+addr+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"query","messages":[{"content":"x"}]}`))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
