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
			b.must(to != 0 && to != reader, "request sent to %d, which is draining or removed", to)
			b.end(id, Read, false)
		}
	}
}

// A reader without capacity refuses probes too. That must not cancel its prefills and repeat them elsewhere.
func TestRefusedProbeIsSignOfLife(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	reader := b.arrive(1, 0, 3*time.Second)
	b.advanceSilent(300*ms, reader)
	got := b.handle(Probed{Engine: reader, Result: Full})
	b.must(!has[Cancel](got), "prefills of a full reader were cancelled: %+v", got)
}

// The number of probes follows a router's own requests, not routers x engines.
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

// The remaining evidence of one class's failures must not keep another class from the engine.
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
	b.must(first == set.arrive(1000, 0, 3*time.Second), "errors of another class moved the request to %d", first)
	b.must(b.arrive(1001, 1, 6*time.Second) != r1, "the class is still sent to the engine that fails it")
}

// A served request is evidence for every class, as a refused connection is against every class. When only failures
// counted for all classes, healthy writers were idle because of dead neighbours in their cell.
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
	risk := func(id EngineID) float64 { return b.s.risk(b.s.engines[id], 1) } // for a class that had neither outcome
	b.must(risk(w1) > 0.5 && risk(neighbour) < 0.1 && risk(r1) < 0.1,
		"risk of the dead writer %.2f, of its neighbour %.2f, of the reader %.2f", risk(w1), risk(neighbour), risk(r1))
}

// An engine that is removed from the list while it still streams for us is forgotten after its last stream, even if
// the list does not change again.
func TestRemovedEngineIsForgotten(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3000*ms)
	b.end(1, Read, false)
	b.start(1)
	at := b.sentTo(1)
	gone := Engine{ID: at, Kind: 1, Availability: Removed}
	b.handle(Listed{Kind: ListDelta, Engines: []Engine{gone}})
	if b.s.engines[at] == nil {
		t.Fatal("engine forgotten while it streams")
	}
	b.end(1, Served, false)
	b.advance(2 * time.Second)
	if b.s.engines[at] != nil || len(b.s.order) != 3 {
		t.Error("engine remembered after its last stream")
	}
}

// Network faults may happen at any engine and must not exclude one engine after another. But an engine that causes
// nothing else must stand out.
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
		t.Errorf("risk %.2f after one network fault, %.2f after five and nothing else, %.2f after a broken connection", one, often, broke)
	}
}

// A probe that this router could not send for lack of a socket is no evidence on the engine. With 256 descriptors
// such probes had 107 prefills cancelled at once at healthy engines.
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
			t.Errorf("result %d: cancelled %v", result, got)
		}
	}
}

// Where probes queue like requests, a probe timeout at a crowded reader does not show that it is dead. On join+vast,
// 62 of 62 prefills cancelled within 2 s had only a silent probe against them, and each was repeated elsewhere. Forty
// routers with one prefill each must wait. A router that has seen probes answered at once must cancel after the same
// silence.
func TestQueuedProbeCancelsNothing(t *testing.T) {
	set := testSettings()
	off := 0
	for i := range 40 {
		b := &bench{T: t, s: New(set, uint64(i)*7919), now: time.Second}
		b.handle(Listed{Kind: ListCached, Engines: fleet()})
		b.advanceSilent(1200*ms, b.arrive(1, 1, 6*time.Second))
		off += count[Cancel](b.log, nil)
		b.must(count[Probe](b.log, nil) > 0, "no probe was sent")
	}
	if off > 0 {
		t.Errorf("40 routers cancelled %d prefills at a reader that was only crowded", off)
	}
	b := newBench(t, set, fleet())
	for range 20 {
		b.handle(Probed{Engine: r2, Result: Served, Took: ms})
	}
	b.advanceSilent(1200*ms, b.arrive(1, 1, 6*time.Second))
	b.must(has[Cancel](b.log), "no cancellation after a silent probe where probes are answered at once")
}
