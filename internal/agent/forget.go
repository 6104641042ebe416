package agent

import (
	"context"
	"time"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/tombstone"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
)

// forgetInterval is how often tombstones are looked through.
const forgetInterval = time.Second

// expireTombstones drops, until the context ends, entries of workers that ended and of orders to them, once all routers have
// had time to hear of them. Control members do so at the same age.
func (a *Agent) expireTombstones(ctx context.Context) {
	workers, orders := tombstone.New(), tombstone.New()
	periodic.Run(ctx, forgetInterval, func() {
		snapshot, _ := a.members.Node().Snapshot()
		now := time.Since(a.startedAt)
		keys := workers.Expire(now, registry.Tombstones(snapshot.Prefix(topic.Workers)))
		keys = append(keys, orders.Expire(now, topic.PastOrders(snapshot))...)
		if len(keys) > 0 {
			a.members.Node().Forget(keys...)
		}
	})
}
