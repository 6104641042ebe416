package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/upstream"
)

const benchDocument = `{"version":1,"routes":[{"name":"r","domain":"a.example","path_start":"/a/","route_type":"flowing",` +
	`"give_up_ms":10000,"target_ms":600,"service":"assistant-a","tries":2,"sticky":true}],"services":[{"name":"assistant-a",` +
	`"runner":{"capacity":64,"memory_tokens":600000,"token_bytes":163840,"link_mbps":1500000,"ticket_hold_s":4,"change_s":0.9}}]}`

// benchWorker answers prefills, and runs with a stream of the given number of events, without delay.
func benchWorker(events int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // a read error fails the request
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		switch {
		case request.URL.Path == "/v1/report":
			_, _ = io.WriteString(w, "{}")
		case request.Header.Get("X-Stage") != "":
			_, _ = io.WriteString(w, `{"prompt_ticket":"3fa09c41b7d5","token_count":1460,"version":1}`)
		default:
			w.Header().Set("X-Server-Seal", "seal")
			w.Header().Set("Content-Type", "text/event-stream")
			for number := range events {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number+1, strings.Repeat("x", 60))
				w.(http.Flusher).Flush()
			}
		}
	})
}

// benchFront returns a front with one lane, a reader and a writer.
func benchFront(b *testing.B, reader, writer string) *front.Front {
	b.Helper()
	configuration, err := opconf.Parse([]byte(benchDocument))
	qt.Assert(b, err, qt.IsNil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	terms := upstream.Terms{Patient: true, EndsWithConnection: true, KeepAlive: true}
	worker := calls.New(upstream.NewPoolOn(terms, upstream.NewBudget(1000), time.Second, 10*time.Second))
	surroundings := lane.Environment{
		Calls: worker, Zone: "zone-0", Zones: []string{"zone-0"}, Log: logger,
		Budget: budget.Terms{Window: 10 * time.Second, Ratio: 0.2, Extra: 50},
	}
	served := lane.New(configuration.Services[0], surroundings, 1)
	b.Cleanup(served.Stop)
	served.Configure(configuration.Services[0], configuration.Routes, 1)
	served.List([]registry.Worker{
		{ID: "reader", Service: "assistant-a", Address: reader, Zone: "zone-0", Capacity: 64, State: registry.Up, Phase: "reading"},
		{ID: "writer", Service: "assistant-a", Address: writer, Zone: "zone-0", Capacity: 64, State: registry.Up, Phase: "writing"},
	}, nil)
	routed := &front.Front{Calls: worker}
	routed.SetRouting(&front.Routing{
		Table: configuration.Table(), Limits: configuration.Limits, Lanes: map[string]*lane.Lane{"assistant-a": served},
	})
	return routed
}

// benchmarkStream requests one stream after the other with a single client. The processor time covers the proxy, the
// client and both workers.
func benchmarkStream(b *testing.B, events int) {
	reader, writer := httptest.NewServer(benchWorker(events)), httptest.NewServer(benchWorker(events))
	defer reader.Close()
	defer writer.Close()
	proxy := httptest.NewServer(benchFront(b, reader.Listener.Addr().String(), writer.Listener.Addr().String()))
	defer proxy.Close()
	before, served := processorTime(b), 0
	for b.Loop() {
		served++
		request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, proxy.URL+"/a/b", strings.NewReader(strings.Repeat("p", 2_000)))
		qt.Assert(b, err, qt.IsNil)
		request.Host = "a.example"
		request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", served))
		request.Header.Set("X-Token-Count", "1460,80")
		request.Header.Set("X-Prompt-Start", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
		request.Header.Set("X-Time-Left", "10000")
		answer, err := proxy.Client().Do(request)
		qt.Assert(b, err, qt.IsNil)
		text, err := io.ReadAll(answer.Body)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, answer.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		_ = answer.Body.Close() // it was read
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(served), "cpu-µs/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkStreamOf3Events(b *testing.B) { benchmarkStream(b, 3) }

func BenchmarkStreamOf42Events(b *testing.B) { benchmarkStream(b, 42) }
