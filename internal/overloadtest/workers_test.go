package overloadtest

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/workerwire"
)

const (
	workerCapacity = 48
	beatInterval   = 300 * time.Millisecond
	// largeAnswer is the size of an answer of the busy worker.
	largeAnswer = 8 << 20
)

// workers are the two workers of a fleet, served by the test.
type workers struct {
	calls   atomic.Uint64
	release chan struct{} // closed once held requests are to be answered
	once    sync.Once
}

// startWorkers serves both workers and sends their heartbeats until the test ends.
func startWorkers(c *qt.C, f *fleet) *workers {
	w := &workers{release: make(chan struct{})}
	done := make(chan struct{})
	for service, port := range map[string]int{"busy": busyPort, "calm": calmPort} {
		listener, err := net.Listen("tcp", f.address(3, port))
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(listener) }() // ends with Close
		c.Cleanup(func() { _ = server.Close() })
		go func() {
			for {
				_ = w.beat(f, service, port) // sent again
				select {
				case <-done:
					return
				case <-time.After(beatInterval):
				}
			}
		}()
	}
	c.Cleanup(func() { close(done); w.releaseAll() })
	return w
}

// releaseAll has all held requests answered.
func (w *workers) releaseAll() { w.once.Do(func() { close(w.release) }) }

func workerID(service string) string { return "worker-" + service }

// beat sends one heartbeat.
func (w *workers) beat(f *fleet, service string, port int) error {
	body, err := json.Marshal(workerwire.Heartbeat{Service: service, Address: f.address(3, port), Zone: "north", Version: "v1",
		Capacity: workerCapacity, State: "up", CallCount: w.calls.Add(1)})
	if err != nil {
		return err
	}
	return f.post("http://"+f.steering()+"/v1/Servers.Beat/"+workerID(service), "", body)
}

// ServeHTTP answers a request as the last part of its path says.
func (w *workers) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	out.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	out.Header().Set("X-Server-Seal", "seal")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch {
	case strings.HasSuffix(request.URL.Path, "hold"):
		select {
		case <-w.release:
		case <-request.Context().Done():
		}
	case strings.HasSuffix(request.URL.Path, "large"):
		writeLarge(out)
		return
	case strings.HasSuffix(request.URL.Path, "size"):
		body = []byte(fmt.Sprint(len(body)))
	case !strings.HasSuffix(request.URL.Path, "echo"):
		body = []byte("well")
	}
	_, _ = out.Write(body) // a caller that has left needs nothing
}

// writeLarge answers with largeAnswer bytes.
func writeLarge(out http.ResponseWriter) {
	out.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
	piece := make([]byte, 64<<10)
	for range largeAnswer / len(piece) {
		if _, err := out.Write(piece); err != nil {
			return
		}
	}
}
