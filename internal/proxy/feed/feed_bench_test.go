package feed

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/sirupsen/logrus"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/upstream"
)

// largeFleet is how many workers the fleet has that docs/CAPACITY.md works its figures out for.
const largeFleet = 600

const largeDocument = `{"version":1,"routes":[{"name":"r","domain":"a.example","path_start":"/a/","route_type":"flowing",` +
	`"give_up_ms":10000,"target_ms":600,"service":"assistant-a","tries":2,"sticky":true}],"services":[{"name":"assistant-a",` +
	`"runner":{"capacity":64,"memory_tokens":600000,"token_bytes":163840,"link_mbps":1500000,"ticket_hold_s":4,"change_s":0.9}}]}`

func largeWorkers() []replica.Entry {
	entries := make([]replica.Entry, 0, largeFleet)
	for number := range largeFleet {
		phase := "writing"
		if number%2 == 0 {
			phase = "reading"
		}
		entries = append(entries, registry.EntryOf(registry.Worker{
			ID: fmt.Sprintf("i-%08x", number), Service: "assistant-a", Address: fmt.Sprintf("10.128.%d.%d:8080", number/200, number%200+1),
			Zone: fmt.Sprintf("zone-%d", number%7), Capacity: 64, State: registry.Up, Phase: phase, CallCount: 9, Home: "core-1",
		}))
	}
	return entries
}

func largeFeed() *Feed {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	worker := calls.New(upstream.NewPool(upstream.NewBudget(100), time.Second, time.Second))
	around := lane.Surroundings{
		Calls: worker, Zone: "zone-0", Log: quiet,
		Budget: budget.Terms{Window: 10 * time.Second, Ratio: 0.2, Extra: 50},
	}
	for number := range 7 {
		around.Zones = append(around.Zones, fmt.Sprintf("zone-%d", number))
	}
	return New(network.System{}, "127.0.0.1:1", &front.Front{Calls: worker}, around, zerolog.Nop())
}

// BenchmarkStateTaken is what a proxy does with each answer of its agent, but for the decoding.
func BenchmarkStateTaken(b *testing.B) {
	entries := largeWorkers()
	snapshot := &message.Snapshot{Revision: 1, AgentRun: 1, Settings: 1, Document: []byte(largeDocument), Workers: entries}
	followed := largeFeed()
	defer followed.Stop()
	before := heap()
	qt.Assert(b, followed.take(snapshot), qt.IsNil)
	snapshot.Document = nil
	for b.Loop() {
		if err := followed.take(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-before)/1024, "heap-KB")
}

// BenchmarkOneWorkerChanged is the same when one worker has other news each time.
func BenchmarkOneWorkerChanged(b *testing.B) {
	entries := largeWorkers()
	snapshot := &message.Snapshot{Revision: 1, AgentRun: 1, Settings: 1, Document: []byte(largeDocument), Workers: entries}
	followed := largeFeed()
	defer followed.Stop()
	qt.Assert(b, followed.take(snapshot), qt.IsNil)
	snapshot.Document = nil
	states := []registry.State{registry.Leaving, registry.Up}
	changes := 0
	for b.Loop() {
		place := changes % len(entries)
		changes++
		entries[place] = registry.EntryOf(registry.Worker{
			ID: fmt.Sprintf("i-%08x", place), Service: "assistant-a", Address: fmt.Sprintf("10.128.%d.%d:8080", place/200, place%200+1),
			Zone: fmt.Sprintf("zone-%d", place%7), Capacity: 64, State: states[changes/len(entries)%2], Phase: "writing",
			CallCount: uint64(9 + changes), Home: "core-1",
		})
		if err := followed.take(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
