package brain

import (
	"testing"
	"time"
)

func TestDrainingEngineGetsNoRequests(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	reader := b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	for _, state := range []Availability{Draining, Removed} {
		b.handle(Listed{Kind: ListDelta, Engines: []Engine{{ID: reader, Kind: 0, Availability: state}}})
		for id := RequestID(10 * (1 + int(state))); id < RequestID(10*(1+int(state))+5); id++ {
			to := b.arrive(id, 0, 3*time.Second)
			b.must(to != 0 && to != reader, "sent to %d, which is draining or gone", to)
			b.end(id, Read, false)
		}
	}
}

// A crowded reader turns probes away too; that must not have its reads called off and read again.
func TestRefusedProbeIsSignOfLife(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	reader := b.arrive(1, 0, 3*time.Second)
	b.advanceSilent(300*ms, reader)
	got := b.handle(Probed{Engine: reader, Result: Full})
	b.must(!has[Cancel](got), "a full reader's reads were called off: %+v", got)
}

// Probes follow a router's own requests, not routers x engines.
func TestProbesFollowRequests(t *testing.T) {
	engines := largeFleet()
	all := manyRouters(t, 50, engines, time.Second, 5*time.Second, func(time.Duration) []Engine { return engines[:1] })
	probes, sends := 0, 0
	for _, b := range all {
		probes += count[Probe](b.log, nil)
		sends += count[Send](b.log, nil)
	}
	if sends == 0 || probes > sends*3 {
		t.Errorf("%d probes for %d sends", probes, sends)
	}
}

// What is left of one class's failures at an engine must not keep the other class from it.
func TestFailuresCountForTheirClassOnly(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	id := RequestID(1)
	for range 4 {
		for b.arrive(id, 1, 6*time.Second); b.sentTo(id) == r1; b.end(id, Errored, false) {
		}
		id++
	}
	first := b.arrive(1000, 0, 3*time.Second)
	set := newBench(t, testSettings(), fleet())
	b.must(first == set.arrive(1000, 0, 3*time.Second), "another class's errors moved this one to %d", first)
	b.must(b.arrive(1001, 1, 6*time.Second) != r1, "the class goes on to the engine that fails it")
}

// What is served is a word for every class, as a refused connection is one against: else only failures counted
// there, and healthy writers stood idle for the sake of dead neighbours in their cell.
func TestSuccessLowersRiskOfDeadEnginesNeighbours(t *testing.T) {
	const neighbour = EngineID(23)
	b := newBench(t, testSettings(), []Engine{{ID: r1, Cell: 1, Weight: 1}, {ID: w1, Cell: 1, Kind: 1, Weight: 1},
		{ID: neighbour, Cell: 1, Kind: 1, Weight: 1}})
	for range 6 {
		b.s.addOutcome(b.s.engines[w1], anyClass, 1)
	}
	for id := RequestID(1); id <= 12; id++ {
		b.arrive(id, 0, 3*time.Second)
		b.end(id, Read, false)
		for b.sentTo(id) == w1 && b.finals(id) == 0 {
			b.end(id, ConnectFailed, false)
		}
		b.start(id)
		b.end(id, Served, false)
	}
	risk := func(id EngineID) float64 { return b.s.risk(b.s.engines[id], 1) } // for a class that met neither
	b.must(risk(w1) > 0.5 && risk(neighbour) < 0.1 && risk(r1) < 0.1,
		"risk of the dead %.2f, of its neighbour %.2f, of the reader %.2f", risk(w1), risk(neighbour), risk(r1))
}

// An engine that leaves the list while it still streams for us is forgotten with its last stream, whether or not
// the list changes again.
func TestRemovedEngineIsForgotten(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3000*ms)
	b.end(1, Read, false)
	b.start(1)
	at := b.sentTo(1)
	gone := Engine{ID: at, Kind: 1, Availability: Removed}
	b.handle(Listed{Kind: ListDelta, Engines: []Engine{gone}})
	if b.s.engines[at] == nil {
		t.Fatal("forgotten while it streams")
	}
	b.end(1, Served, false)
	b.advance(2 * time.Second)
	if b.s.engines[at] != nil || len(b.s.order) != 3 {
		t.Error("remembered after its last stream")
	}
}

// What may happen at any engine must not have the engines shunned one after the other, yet one to which nothing else
// happens is told from the rest.
func TestNetworkFaults(t *testing.T) {
	risk := func(results ...Result) float64 {
		b := newBench(t, testSettings(), fleet()[:1])
		for _, result := range results {
			b.s.assess(b.s.engines[r1], nil, Ended{Result: result})
		}
		return b.s.risk(b.s.engines[r1], anyClass)
	}
	one, often, broke := risk(Read, NetworkFault), risk(NetworkFault, NetworkFault, NetworkFault, NetworkFault, NetworkFault), risk(Read, Broke)
	if one <= 0 || one > broke/3 || often < 1.5*one || often > ejectRisk {
		t.Errorf("risk %.2f after one mishap, %.2f after five and nothing else, %.2f after a break", one, often, broke)
	}
}

// A probe for which this router had no socket is no word on the engine. At 256 descriptors such probes had 107 reads
// called off at once, at engines that were well.
func TestProbeNeverSent(t *testing.T) {
	for result, called := range map[Result]bool{NotSent: false, ConnectFailed: true} {
		b := newBench(t, testSettings(), fleet()[:1])
		b.arrive(1, 1, 6*time.Second)
		b.now += 10 * ms
		b.s.now = b.now
		b.s.probe(b.s.engines[r1])
		b.now += ms
		b.handle(Probed{Engine: r1, Result: result})
		if got := count[Cancel](b.log, func(Cancel) bool { return true }) > 0; got != called {
			t.Errorf("result %d: called off %v", result, got)
		}
	}
}

// Where probes wait like requests, one that times out at a crowded reader is no sign of its death: on join+vast 62 of
// 62 reads called off within 2 s had only a probe's silence against them, and each was begun anew elsewhere. Forty
// routers with a read each must wait. One that has seen probes answered at once takes the same silence for what it is.
func TestQueuedProbeCancelsNothing(t *testing.T) {
	set := testSettings()
	off := 0
	for i := range 40 {
		b := &bench{T: t, s: New(set, uint64(i)*7919), now: time.Second}
		b.handle(Listed{Kind: ListCached, Engines: fleet()})
		b.advanceSilent(1200*ms, b.arrive(1, 1, 6*time.Second))
		off += count[Cancel](b.log, nil)
		b.must(count[Probe](b.log, nil) > 0, "nothing was probed")
	}
	if off > 0 {
		t.Errorf("40 routers called off %d reads at a reader that was only crowded", off)
	}
	b := newBench(t, set, fleet())
	for range 20 {
		b.handle(Probed{Engine: r2, Result: Served, Took: ms})
	}
	b.advanceSilent(1200*ms, b.arrive(1, 1, 6*time.Second))
	b.must(has[Cancel](b.log), "probes are known to be answered at once, and one was not")
}
