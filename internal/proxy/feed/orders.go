package feed

import (
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// orderTTL is how long an order keeps new work from a worker. It limits the effect of an order whose sender is lost.
const orderTTL = 6 * time.Second

// orders tracks the active phase orders, by worker.
type orders map[string]trackedOrder

// trackedOrder is an order and the time when this proxy first received it.
type trackedOrder struct {
	version  replica.Version
	received time.Time
}

// apply updates the tracked orders and returns the phases that workers are about to change to, by worker.
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
