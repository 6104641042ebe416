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

// largeFleet is the number of workers in the fleet that docs/CAPACITY.md calculates.
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
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	workerCalls := calls.New(upstream.NewPool(upstream.NewBudget(100), time.Second, time.Second))
	env := lane.Environment{
		Calls: workerCalls, Zone: "zone-0", Log: logger,
		Budget: budget.Terms{Window: 10 * time.Second, Ratio: 0.2, Extra: 50},
	}
	for number := range 7 {
		env.Zones = append(env.Zones, fmt.Sprintf("zone-%d", number))
	}
	return New(network.System{}, "127.0.0.1:1", &front.Front{Calls: workerCalls}, env, zerolog.Nop())
}

// BenchmarkApplySnapshot measures how a proxy applies an unchanged snapshot, without the decoding.
func BenchmarkApplySnapshot(b *testing.B) {
	entries := largeWorkers()
	snapshot := &message.Snapshot{Revision: 1, AgentRun: 1, Settings: 1, Document: []byte(largeDocument), Workers: entries}
	benched := largeFeed()
	defer benched.Stop()
	before := heapBytes()
	qt.Assert(b, benched.apply(snapshot), qt.IsNil)
	snapshot.Document = nil
	for b.Loop() {
		if err := benched.apply(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/1024, "heap-KB")
}

// BenchmarkApplyOneChangedWorker measures how a proxy applies a snapshot in which one worker has changed.
func BenchmarkApplyOneChangedWorker(b *testing.B) {
	entries := largeWorkers()
	snapshot := &message.Snapshot{Revision: 1, AgentRun: 1, Settings: 1, Document: []byte(largeDocument), Workers: entries}
	benched := largeFeed()
	defer benched.Stop()
	qt.Assert(b, benched.apply(snapshot), qt.IsNil)
	snapshot.Document = nil
	states := []registry.State{registry.Leaving, registry.Up}
	changes := 0
	for b.Loop() {
		index := changes % len(entries)
		changes++
		entries[index] = registry.EntryOf(registry.Worker{
			ID: fmt.Sprintf("i-%08x", index), Service: "assistant-a", Address: fmt.Sprintf("10.128.%d.%d:8080", index/200, index%200+1),
			Zone: fmt.Sprintf("zone-%d", index%7), Capacity: 64, State: states[changes/len(entries)%2], Phase: "writing",
			CallCount: uint64(9 + changes), Home: "core-1",
		})
		if err := benched.apply(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
