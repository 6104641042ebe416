package hints

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/fleettest/memnet"
)

// fakeLoad is a Load with settable own work. It records the reported totals.
type fakeLoad struct {
	mu  sync.Mutex
	own Waiting
	all Waiting
}

// Waiting implements Load.
func (w *fakeLoad) Waiting() Waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := Waiting{}
	for engine, tokens := range w.own {
		copied[engine] = tokens
	}
	return copied
}

// Reported implements Load.
func (w *fakeLoad) Reported(all Waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = all
}

func (w *fakeLoad) set(engine uint64, tokens float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.own == nil {
		w.own = Waiting{}
	}
	w.own[engine] = tokens
	if tokens == 0 {
		delete(w.own, engine)
	}
}

func (w *fakeLoad) reported(engine uint64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all[engine]
}

// fleet is a set of proxies that exchange hints over an in-memory network.
type fleet struct {
	fabric  *memnet.Fabric
	hints   []*Hints
	loads   []*fakeLoad
	cancels []context.CancelFunc
}

const linkDelay = 500 * time.Microsecond

func hostOf(index int) string { return fmt.Sprintf("10.0.%d.%d", index/200, 1+index%200) }

// runFleet runs a scenario with a number of proxies.
func runFleet(t *testing.T, count int, scenario func(c *qt.C, p *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &fleet{fabric: memnet.New(linkDelay)}
		var hosts []string
		for index := range count {
			hosts = append(hosts, hostOf(index))
		}
		for index := range count {
			load := &fakeLoad{}
			h, err := New(p.fabric.Machine(hostOf(index)).Process(), hostOf(index), 7000, load, zerolog.Nop())
			c.Assert(err, qt.IsNil)
			h.Peers(hosts)
			ctx, cancel := context.WithCancel(t.Context())
			go h.Run(ctx)
			p.hints, p.loads, p.cancels = append(p.hints, h), append(p.loads, load), append(p.cancels, cancel)
		}
		time.Sleep(time.Second)
		scenario(c, p)
		for _, cancel := range p.cancels {
			cancel()
		}
		time.Sleep(time.Second)
	})
}

func TestQueryReturnsTotalsOfHundredsOfProxies(t *testing.T) {
	runFleet(t, 300, func(c *qt.C, p *fleet) {
		const engine = 77
		// Given three of 300 proxies that queue work at an engine and send hints at once,
		for index, tokens := range map[int]float64{3: 1000, 120: 2000, 299: 4000} {
			p.loads[index].set(engine, tokens)
			p.hints[index].SendNow()
		}
		time.Sleep(2 * time.Millisecond)
		// when any proxy queries the aggregator, then it receives the total, including its own work, within a few
		// milliseconds.
		for _, index := range []int{0, 3, 150} {
			started := time.Now()
			c.Assert(p.hints[index].Ask(c.Context(), []uint64{engine})[engine], qt.Equals, 7000.0)
			c.Assert(time.Since(started) <= 3*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		}
		// When the work has ended, then the total is 0.
		for _, load := range p.loads {
			load.set(engine, 0)
		}
		time.Sleep(3 * interval)
		c.Assert(p.hints[0].Ask(c.Context(), []uint64{engine}), qt.DeepEquals, Waiting{engine: 0})
	})
}

func TestUnresponsiveAggregatorIsNotWaitedFor(t *testing.T) {
	runFleet(t, 40, func(c *qt.C, p *fleet) {
		const engine = 5
		querier := 0
		p.hints[querier].mu.Lock()
		aggregator := p.hints[querier].aggregator(engine)
		p.hints[querier].mu.Unlock()
		if aggregator == hostOf(querier) {
			querier = 1
		}
		// Given an aggregator without power, when it is queried, then the query ends within the timeout without a
		// result.
		p.fabric.Machine(aggregator).PowerOff()
		started := time.Now()
		c.Assert(p.hints[querier].Ask(c.Context(), []uint64{engine}), qt.HasLen, 0)
		c.Assert(time.Since(started) <= queryTimeout, qt.IsTrue)
		// When it is queried again, then the query does not wait.
		started = time.Now()
		c.Assert(p.hints[querier].Ask(c.Context(), []uint64{engine}), qt.HasLen, 0)
		c.Assert(time.Since(started), qt.Equals, time.Duration(0))
	})
}

func TestSmallFleetBroadcastsHints(t *testing.T) {
	runFleet(t, maxBroadcastPeers+1, func(c *qt.C, p *fleet) {
		p.loads[0].set(9, 300)
		p.loads[4].set(9, 500)
		time.Sleep(3 * interval) // sent at the next tick, reported at the one after
		for _, load := range p.loads {
			c.Assert(load.reported(9), qt.Equals, 800.0)
		}
		c.Assert(p.hints[2].Ask(c.Context(), []uint64{9}), qt.IsNil)
	})
}

func TestAggregatorsAreSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	h := newHints(hostOf(0), &fakeLoad{})
	var hosts []string
	for index := range 300 {
		hosts = append(hosts, hostOf(index))
	}
	h.Peers(hosts)
	engines := map[string]int{}
	for engine := range uint64(3000) {
		engines[h.aggregator(engine*7919)]++
	}
	most := 0
	for _, count := range engines {
		most = max(most, count)
	}
	c.Assert(most <= 30, qt.IsTrue, qt.Commentf("one proxy aggregates %d of 3000 engines, the mean is 10", most))
}
