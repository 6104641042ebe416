package phases

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func fleet(readers, writers, zones int) []Worker {
	var workers []Worker
	for i := range readers + writers {
		phase := Reading
		if i >= readers {
			phase = Writing
		}
		workers = append(workers, Worker{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprintf("z%d", i%zones), Phase: phase, Capacity: 64})
	}
	return workers
}

// occupy has each writer report so many requests that run and that wait.
func occupy(workers []Worker, working, queued int) {
	for i := range workers {
		if workers[i].Phase == Writing {
			workers[i].Working, workers[i].Queued = working, queued
		}
	}
}

// carryOut applies orders to the workers, as their next heartbeats show.
func carryOut(workers []Worker, orders []Order) {
	for _, order := range orders {
		for i := range workers {
			if workers[i].ID == order.Worker {
				workers[i].Phase = order.Phase
			}
		}
	}
}

func writersByZone(workers []Worker) (all int, byZone map[string]int) {
	byZone = map[string]int{}
	for _, worker := range workers {
		if worker.Phase == Writing {
			all++
			byZone[worker.Zone]++
		}
	}
	return all, byZone
}

func TestBeforeTrafficWritersAreFewAndOneInEachZone(t *testing.T) {
	c := qt.New(t)
	// Given nine workers in three zones, most of them writers, and no traffic.
	workers := fleet(4, 5, 3)
	var balance Balance
	// When the balance is observed until it orders nothing more.
	for now := time.Second; now < 20*time.Second; now += time.Second {
		carryOut(workers, balance.Observe(now, workers))
	}
	// Then there is one writer in each zone.
	all, byZone := writersByZone(workers)
	c.Assert(all, qt.Equals, 3)
	c.Assert(byZone, qt.HasLen, 3)
}

func TestLargeServicesKeepWritersForTheirLinks(t *testing.T) {
	c := qt.New(t)
	// Given ninety workers in three zones and no traffic.
	workers := fleet(37, 53, 3)
	var balance Balance
	// When the balance is observed until it orders nothing more.
	for now := time.Second; now < 20*time.Second; now += time.Second {
		carryOut(workers, balance.Observe(now, workers))
	}
	// Then a fifth of them write, though one in each zone would have the places: a link carries one move at a time.
	all, _ := writersByZone(workers)
	c.Assert(all, qt.Equals, 18)
}

func TestBusyWritersGetHelp(t *testing.T) {
	c := qt.New(t)
	// Given three writers whose places are nearly all taken.
	workers := fleet(6, 3, 3)
	occupy(workers, 60, 0)
	var balance Balance
	// When they are observed for a while.
	for now := time.Second; now < 10*time.Second; now += time.Second {
		carryOut(workers, balance.Observe(now, workers))
	}
	// Then readers have become writers.
	all, _ := writersByZone(workers)
	c.Assert(all > 5, qt.IsTrue, qt.Commentf("%d writers", all))
}

func TestOnlySomeChangeAtOnce(t *testing.T) {
	c := qt.New(t)
	workers := fleet(2, 16, 4)
	var balance Balance
	orders := balance.Observe(time.Second, workers)
	c.Assert(len(orders) <= 4, qt.IsTrue)
	// When an order is under way, nothing further is ordered.
	workers[5].Changing = true
	c.Assert(balance.Observe(2*time.Second, workers), qt.HasLen, 0)
	// However many workers there are, no more change at a time than a bound.
	var large Balance
	c.Assert(large.Observe(time.Second, fleet(20, 980, 4)), qt.HasLen, atOnceMost)
}

// A load that goes up and down by turns must not have workers change all the time: orders have a price.
func TestSwingsAreDamped(t *testing.T) {
	c := qt.New(t)
	workers := fleet(6, 3, 3)
	var balance Balance
	count := 0
	for second := range 120 {
		for i := range workers {
			workers[i].Working = 0
			if workers[i].Phase == Writing {
				workers[i].Working = 20 + 10*(second/6%2)
			}
		}
		orders := balance.Observe(time.Duration(second+1)*time.Second, workers)
		count += len(orders)
		carryOut(workers, orders)
	}
	c.Assert(count <= 8, qt.IsTrue, qt.Commentf("%d orders", count))
}

// Whatever the reports say, some worker reads and some worker writes.
func TestBothPhasesAlwaysStand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := fleet(rapid.IntRange(1, 8).Draw(t, "readers"), rapid.IntRange(1, 8).Draw(t, "writers"), rapid.IntRange(1, 4).Draw(t, "zones"))
		var balance Balance
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now += time.Duration(rapid.IntRange(200, 3000).Draw(t, "gap")) * time.Millisecond
			for i := range workers {
				workers[i].Working = rapid.IntRange(0, 64).Draw(t, "working")
				workers[i].Memory = rapid.Float64Range(0, 1).Draw(t, "memory")
			}
			carryOut(workers, balance.Observe(now, workers))
			writers, _ := writersByZone(workers)
			if writers == 0 || writers == len(workers) {
				t.Fatalf("%d writers of %d workers", writers, len(workers))
			}
		}
	})
}
