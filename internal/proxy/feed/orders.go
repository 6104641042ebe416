package feed

import (
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// orderTTL is how long an order may keep a worker from getting anything new: who sent it may be lost.
const orderTTL = 6 * time.Second

// orders are the orders for workers' phases that are under way, by worker.
type orders map[string]trackedOrder

// trackedOrder is an order and since when it is known here.
type trackedOrder struct {
	version  replica.Version
	received time.Time
}

// apply gives the phases that workers are about to have, by worker.
func (o orders) apply(entries []replica.Entry, now time.Time) map[string]string {
	changing := map[string]string{}
	for _, entry := range entries {
		worker := topic.Node(entry.Key)
		order, active := topic.OrderOf(entry)
		if !active {
			delete(o, worker)
			continue
		}
		tracked, known := o[worker]
		if !known || tracked.version != entry.Version {
			tracked = trackedOrder{version: entry.Version, received: now}
			o[worker] = tracked
		}
		if now.Sub(tracked.received) < orderTTL {
			changing[worker] = order.Phase
		}
	}
	return changing
}
