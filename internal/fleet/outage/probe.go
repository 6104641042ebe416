package outage

import (
	"context"
	"slices"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/fleet/roster"
)

// probed is how many servers are asked at a time at most.
const probed = 32

// probing has the servers asked for a sign of life, again and again: one that is let out gets no requests that would tell.
func (a *Agent) probing() roster.ProbeSubscription {
	return roster.ProbeSubscription{
		Interval: func() time.Duration {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.model.On() {
				return 0
			}
			return time.Duration(a.model.WithDefaults().ReportMs/2) * time.Millisecond
		},
		Select: func(list []core.Worker) []core.Worker {
			if n := len(list); n > probed {
				list = slices.Concat(list, list)[a.turn%n:][:probed]
				a.turn += probed
			}
			return list
		},
		OnResult: func(w core.Worker, heard bool, _ error) {
			a.meter.mu.Lock()
			defer a.meter.mu.Unlock()
			a.meter.saw(w.Name, heard)
		},
	}
}

// unfenced is how long a decider broken on purpose waits between its reading and its writing, so that others come between.
const unfenced = 250 * time.Millisecond

// move writes a state; a decider broken on purpose writes over whatever stands there.
func (a *Agent) move(ctx context.Context, from int64, next *outage.State, fence []*pb.Compare) (int64, error) {
	if a.o.Broken == outage.NoFence {
		time.Sleep(unfenced)
		var done context.CancelFunc
		ctx, done = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer done()
		all, err := a.store.Store.ReadAll(ctx, false)
		if err != nil {
			return 0, err
		}
		from = all.StateRev
	}
	return a.store.ReplaceState(ctx, from, next, fence)
}
