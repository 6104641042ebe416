package fleettest

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/tombstone"
	"sumacloft/internal/mesh/topic"
)

// Inside is where other routers reach the edge's agent.
func (e *Edge) Inside() string { return fmt.Sprintf("%s:%d", e.IP, insideFirst+membership.PortAgent) }

// copyAt is what a router's copy of the replicated map holds, by key; nil if it does not answer.
func (f *Fleet) copyAt(address string) map[string]replica.Entry {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	question := &message.Sync{From: "test", Digest: &replica.Digest{}}
	answer, err := message.CallSync.Call(ctx, rpc.NewClient(f.Operator.process), address, question)
	if err != nil {
		return nil
	}
	held := make(map[string]replica.Entry, len(answer.Entries))
	for _, entry := range answer.Entries {
		held[entry.Key] = entry
	}
	return held
}

// stateAt is the state of a worker in a router's copy; 0: the copy does not hold it.
func (f *Fleet) stateAt(address string, worker *Worker) registry.State {
	entry, found := f.copyAt(address)[registry.Key(worker.ID)]
	if !found {
		return 0
	}
	known, err := registry.WorkerOf(entry)
	if err != nil {
		f.t.Fatal(err)
	}
	return known.State
}

// insides are the inside addresses of all routers.
func (f *Fleet) insides() []string {
	var all []string
	for _, control := range f.Controls {
		all = append(all, control.Inside())
	}
	for _, edge := range f.Edges {
		all = append(all, edge.Inside())
	}
	return all
}

// forgetTime is how long after the end of a worker all routers have forgotten it.
const forgetTime = tombstone.Grace + 10*time.Second

func TestRoutersForgetWorkersThatEnded(t *testing.T) {
	Run(t, Plan{Edges: 3}, func(c *qt.C, f *Fleet) {
		// Given a worker that stays, and many that end, some with a word and some without.
		stays := f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		for number := range 30 {
			short := f.NewWorker(Plain, "", Behaviour{})
			time.Sleep(2 * time.Second)
			if number%2 == 0 {
				short.End()
			} else {
				short.Crash()
			}
		}
		for _, address := range f.insides() {
			c.Assert(len(f.copyAt(address)) > 15, qt.IsTrue)
		}
		// When all have had time to hear of it.
		time.Sleep(forgetTime)
		// Then every copy holds the worker that stays, the configuration and the routers, and nothing else.
		for _, address := range f.insides() {
			held := f.copyAt(address)
			c.Assert(held, qt.HasLen, 1+1+len(f.Controls)+len(f.Edges), qt.Commentf("%s: %v", address, held))
			c.Assert(f.stateAt(address, stays), qt.Equals, registry.Up)
		}
	})
}

func TestRoutersForgetOrdersToWorkersThatEnded(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a worker whose phase was changed and that then ended, and one that ended while its change was under way.
		changed, changing := f.NewWorker(Model, Writing, Behaviour{}), f.NewWorker(Model, Writing, Behaviour{})
		f.Serve()
		order := topic.PhaseOrder{Phase: Reading}
		entries := []replica.Entry{topic.OrderTombstone(changed.ID, 1000, 2), topic.OrderEntry(changing.ID, order, 1000, 2)}
		_, err := message.CallSync.Call(context.Background(), rpc.NewClient(f.Operator.process), f.Edges[0].Inside(),
			&message.Sync{From: "test", Entries: entries})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		for _, address := range f.insides() {
			for _, entry := range entries {
				_, known := f.copyAt(address)[entry.Key]
				c.Assert(known, qt.IsTrue)
			}
		}
		changed.End()
		changing.End()
		// When their workers are forgotten, and time has passed after that, then no copy holds an order.
		time.Sleep(2 * forgetTime)
		for _, address := range f.insides() {
			for _, entry := range entries {
				_, known := f.copyAt(address)[entry.Key]
				c.Assert(known, qt.IsFalse, qt.Commentf("%s at %s", entry.Key, address))
			}
		}
	})
}

func TestRouterThatWasCutOffBringsNoWorkerBack(t *testing.T) {
	Run(t, Plan{Edges: 3}, func(c *qt.C, f *Fleet) {
		// Given an edge that was cut off before a worker ended, and others that have forgotten that worker meanwhile.
		f.NewWorker(Plain, "", Behaviour{})
		ended := f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		late := f.Edges[0]
		f.CutOffEdge(late)
		ended.End()
		time.Sleep(forgetTime)
		for _, address := range f.insides() {
			want := registry.State(0)
			if address == late.Inside() {
				want = registry.Up
			}
			c.Assert(f.stateAt(address, ended), qt.Equals, want, qt.Commentf("%s", address))
		}
		// When it comes back with what it knew.
		f.HealEdge(late)
		heard := f.Now() + 10*time.Second
		for end := f.Now() + forgetTime; f.Now() < end; time.Sleep(200 * time.Millisecond) {
			for _, address := range f.insides() {
				// Then no other router lists the worker as up, and it hears of the end itself.
				if address == late.Inside() && f.Now() < heard {
					continue
				}
				state := f.stateAt(address, ended)
				c.Assert(state == 0 || state == registry.Gone, qt.IsTrue, qt.Commentf("%s at %v: %v", address, f.Now(), state))
			}
		}
		// And after that all forget it again.
		time.Sleep(forgetTime)
		for _, address := range f.insides() {
			c.Assert(f.stateAt(address, ended), qt.Equals, registry.State(0), qt.Commentf("%s", address))
		}
	})
}
