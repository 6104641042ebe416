package agent

import (
	"context"
	"time"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/tombstone"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
)

// forgetInterval is how often tombstones are checked for expiry.
const forgetInterval = time.Second

// expireTombstones removes, until the context ends, the entries of ended workers and of their orders once all routers
// have had time to receive them. Control members remove them at the same age.
func (a *Agent) expireTombstones(ctx context.Context) {
	workers, orders := tombstone.New(), tombstone.New()
	periodic.Run(ctx, forgetInterval, func() {
		snapshot, _ := a.members.Node().Snapshot()
		now := time.Since(a.startedAt)
		keys := workers.Expire(now, registry.Tombstones(snapshot.Prefix(topic.Workers)))
		keys = append(keys, orders.Expire(now, topic.OrphanedOrders(snapshot))...)
		if len(keys) > 0 {
			a.members.Node().Forget(keys...)
		}
	})
}
