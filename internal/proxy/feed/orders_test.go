package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

func TestOrderAppliesUntilItEnds(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	tracked := orders{}
	order := topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "reading"}, 5, 1)
	// Given an order for a worker,
	c.Assert(tracked.apply([]replica.Entry{order}, now), qt.DeepEquals, map[string]string{"i-1": "reading"})
	// when the order ends, then the worker gets new work again.
	c.Assert(tracked.apply([]replica.Entry{topic.OrderTombstone("i-1", 5, 2)}, now), qt.HasLen, 0)
}

func TestOrderExpires(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	tracked := orders{}
	order := []replica.Entry{topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "reading"}, 5, 1)}
	tracked.apply(order, now)
	// Given an order without any later news, when its time is up, then its worker gets new work again.
	c.Assert(tracked.apply(order, now.Add(orderTTL-time.Second)), qt.HasLen, 1)
	c.Assert(tracked.apply(order, now.Add(orderTTL)), qt.HasLen, 0)
	// And the time of a newer order counts from when it was received.
	newer := []replica.Entry{topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "writing"}, 6, 1)}
	c.Assert(tracked.apply(newer, now.Add(orderTTL)), qt.DeepEquals, map[string]string{"i-1": "writing"})
}
