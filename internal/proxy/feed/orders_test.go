package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

func TestWorkerUnderOrderGetsNothingUntilTheOrderEnds(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	known := orders{}
	order := topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "reading"}, 5, 1)
	// Given an order for a worker.
	c.Assert(known.take([]replica.Entry{order}, now), qt.DeepEquals, map[string]string{"i-1": "reading"})
	// When its end is told, then the worker is free.
	c.Assert(known.take([]replica.Entry{topic.OrderTombstone("i-1", 5, 2)}, now), qt.HasLen, 0)
}

func TestOrderOfALostOwnerIsGivenUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	known := orders{}
	order := []replica.Entry{topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "reading"}, 5, 1)}
	known.take(order, now)
	// When nothing more is heard of an order for long, then its worker is used again.
	c.Assert(known.take(order, now.Add(orderLimit-time.Second)), qt.HasLen, 1)
	c.Assert(known.take(order, now.Add(orderLimit)), qt.HasLen, 0)
	// And a newer order counts from when it came.
	newer := []replica.Entry{topic.OrderEntry("i-1", topic.PhaseOrder{Phase: "writing"}, 6, 1)}
	c.Assert(known.take(newer, now.Add(orderLimit)), qt.DeepEquals, map[string]string{"i-1": "writing"})
}
