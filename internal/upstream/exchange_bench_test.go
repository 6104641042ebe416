package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkExchange makes exchanges with a worker on loopback: over kept connections, and over a new one each, as with a
// worker whose answers lack the request's id. The processor time of both ends is in it.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	worker := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })}
	go func() { _ = worker.Serve(listener) }() // ends with Close
	defer func() { _ = worker.Close() }()
	addr := listener.Addr().String()
	request := []byte("GET /x HTTP/1.1\r\nHost: w\r\n\r\n")
	for name, last := range map[string]bool{"kept connection": false, "new connection": true} {
		b.Run(name, func(b *testing.B) {
			pool := NewPool(NewBudget(64), time.Second, 10*time.Second)
			pool.settle = 0
			for b.Loop() {
				answer, err := pool.Do(context.Background(), addr, http.MethodGet, request, nil)
				if err != nil {
					b.Fatal(err)
				}
				if last {
					answer.Last()
				}
				if _, err := answer.Small(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
