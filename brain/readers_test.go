package brain

import (
	"testing"
	"time"
)

func TestSamePrefixSameReader(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	first := b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	b.must(b.arrive(2, 0, 3*time.Second) == first, "a request with the same prefix was sent to another reader")
}

func TestHotPrefixSpreads(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	used := map[EngineID]bool{}
	for id := RequestID(2); id < 30; id++ {
		used[b.arrive(id, 0, 3*time.Second)] = true
	}
	b.must(used[r1] && used[r2], "all requests of a hot prefix were sent to one reader")
}

func TestMixedServerTakesWholeRequest(t *testing.T) {
	b := newBench(t, testSettings(), []Engine{{ID: m1, Kind: 2, Weight: 1}})
	b.must(b.arrive(1, 0, 3*time.Second) == m1, "not sent to the mixed server")
	b.start(1)
	b.end(1, Served, false)
	b.must(count[Send](b.log, nil) == 1, "want one attempt at a mixed server")
}

// With every reader full, waiting at the router would only add to the overload.
func TestAllReadersFullIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Full, false)
	b.end(1, Full, false)
	b.must(b.finals(1) == 1, "%d final answers, want 1", b.finals(1))
}

// A dead zone of the router that is still listed must not fill all hops of a prefix's hash order.
func TestDeadZoneDoesNotFillHashOrder(t *testing.T) {
	engines := []Engine{{ID: 90, Cell: 9, Zone: 1, Kind: 0}, {ID: 91, Cell: 9, Zone: 1, Kind: 1}}
	dead := map[EngineID]bool{}
	for id := EngineID(40); id < 52; id++ {
		engines = append(engines, Engine{ID: id, Cell: int(id) / 4, Kind: 0})
		dead[id] = true
	}
	b := newBench(t, testSettings(), engines)
	b.silent = dead
	for id := RequestID(1); id < 40; id++ {
		for b.arrive(id, 0, 3*time.Second); b.finals(id) == 0; b.advance(100 * ms) {
			if dead[b.sentTo(id)] {
				b.end(id, ConnectFailed, false)
			} else if b.sentTo(id) != 0 {
				b.end(id, Read, false)
				b.start(id)
				b.end(id, Served, false)
				break
			}
		}
	}
	b.arrive(100, 0, 3*time.Second)
	b.advance(300 * ms)
	b.must(b.sentTo(100) == 90, "request sent to %d, not to the zone that is up", b.sentTo(100))
}

// In an overload answers start seconds late. Attempts that still wait at full writers must limit admission before
// that.
func TestWaitingAttemptsLimitAdmission(t *testing.T) {
	refusedWith := func(memory float64) int {
		b := newBench(t, testSettings(), fleet())
		b.load = map[EngineID]Load{}
		for _, e := range fleet() {
			b.load[e.ID] = Load{Known: true, MemoryShare: memory, WaitTokens: 1, Queue: -1}
		}
		for id := RequestID(1); id <= 3; id++ {
			b.arrive(id, 1, 9*time.Second)
			b.end(id, Read, false)
		}
		b.advance(5 * time.Second)
		b.arrive(10, 0, 3*time.Second)
		return b.finals(10)
	}
	if refusedWith(0.95) != 1 || refusedWith(0.2) != 0 {
		t.Error("want a refusal when the writers are full, none when they have capacity")
	}
}

// A past overload must not be assumed for as long as it makes the router refuse all that could disprove it. After a
// crash the requests of whole seconds were refused while the writers were idle.
func TestOverloadIsForgottenOnceNothingWaits(t *testing.T) {
	refused := func(waiting bool) bool {
		b := newBench(t, testSettings(), []Engine{fleet()[0], fleet()[2]})
		if waiting {
			b.arrive(1, 1, 9*time.Second)
			b.end(1, Read, false)
		}
		b.s.pools[Writer].starts[1] = startTime{3, b.now}
		b.advance(1200 * ms)
		b.arrive(10, 0, 3*time.Second)
		return b.finals(10) == 1
	}
	if refused(false) || !refused(true) {
		t.Error("want the start time to decay when no attempt waits at a writer, and to stay while one does")
	}
}

// A cell with many readers and one writer is overloaded alone: answers to its prefills start late while writers of
// other cells have capacity. That counts against its readers. Requests are refused only if no cell has capacity.
func TestOverloadOfOneCell(t *testing.T) {
	const reader, other = EngineID(13), EngineID(23)
	engines := append(fleet(), Engine{ID: reader, Cell: 1, Weight: 1}, Engine{ID: other, Cell: 2, Kind: 1, Weight: 1})
	b := newBench(t, testSettings(), engines)
	for id := RequestID(1); id <= 2; id++ { // these wait at the one writer of cell 1
		b.handle(Arrived{Request: id, Class: 1, Session: uint64(id), PromptTokens: 2000, MaxTokens: 300, Timeout: 9 * time.Second})
		b.s.requests[id].current.remove(b.s.requests[id])
		b.s.requests[id].current = nil
		b.s.requests[id].holder = b.s.engines[r1]
		b.s.send(b.s.requests[id], b.s.engines[w1])
	}
	b.s.pools[Writer].starts[1] = startTime{2, b.now}
	away, refused := 0, 0
	for id := RequestID(10); id < 30; id++ {
		b.arrive(id, 0, 3000*ms)
		refused += b.finals(id)
		away += toInt(b.sentTo(id) == r2)
		b.end(id, Read, false)
		b.start(id)
		b.end(id, Served, false)
	}
	if refused > 0 || away < 20 {
		t.Errorf("%d of 20 prefilled in the cell whose writers have capacity, %d refused", away, refused)
	}
}

// One prefill that waited behind other routers' work must not dominate a router's first half minute. On join+vast it
// gave a pace of 0.6 ms per token, and 14 to 25 long prompts were refused in 2 s while readers were idle and had most
// of them cached. In a small fleet, whose routers see enough requests, a pool's mean changes as before.
func TestFirstSlowPrefillCausesNoRefusal(t *testing.T) {
	refused := func(routers, reads int, prompt float64) (n int) {
		set := testSettings()
		set.Routers = routers
		for i := range 80 {
			b := &bench{T: t, s: New(set, uint64(i)*7919), now: time.Second}
			b.handle(Listed{Kind: ListCached, Engines: fleet()})
			for id, took := range []time.Duration{400 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms, 30 * ms}[:reads] {
				b.handle(Arrived{Request: RequestID(id + 1), Class: 1, Session: uint64(id), Prefix: uint64(100 + id), PromptTokens: 800,
					PrefixTokens: 600, MaxTokens: 300, Timeout: 6 * time.Second})
				b.handle(Ended{Request: RequestID(id + 1), Engine: b.sentTo(RequestID(id + 1)), Result: Read, Took: took, CachedTokens: 700})
				b.start(RequestID(id + 1))
				b.end(RequestID(id+1), Served, false)
				b.advance(time.Second)
			}
			b.handle(Arrived{Request: 50, Class: 1, Session: 50, Prefix: 9, PromptTokens: prompt, PrefixTokens: prompt / 2, MaxTokens: 300, Timeout: 6 * time.Second})
			n += count(b.log, func(a Refuse) bool { return a.Request == 50 })
		}
		return n
	}
	for reads, prompt := range map[int]float64{1: 2500, 8: 9000} {
		if n := refused(80, reads, prompt); n > 0 {
			t.Errorf("%d of 80 routers refused a prompt of %.0f tokens after %d prefills, one of them slow", n, prompt, reads)
		}
		if n := refused(4, reads, prompt); n == 0 {
			t.Error("the slow prefill of the test is not slow enough to have an effect")
		}
	}
}

// The class weights of the fleet's plan scale the engines' key shares. An engine with weight 0 gets nothing of the
// class.
func TestClassWeightsScaleKeyShares(t *testing.T) {
	set := testSettings()
	set.Zone = -1
	near, far := Engine{ID: 1, Zone: 0, Kind: 2, ClassWeights: []float64{3, 0}}, Engine{ID: 2, Zone: 1, Kind: 2, ClassWeights: []float64{1, 1}}
	s := New(set, 7)
	s.Handle(time.Second, Listed{Kind: ListComplete, Engines: []Engine{near, far}}, nil)
	got := [2]map[EngineID]int{{}, {}}
	for i := range 4000 {
		for class := range 2 {
			id := RequestID(10000*class + i + 1)
			for _, a := range s.Handle(time.Second, Arrived{Request: id, Class: class, Session: uint64(id), Timeout: 3 * time.Second}, nil) {
				if send, ok := a.(Send); ok {
					got[class][send.Engine]++
					s.Handle(time.Second, Started{Request: id, Engine: send.Engine, Took: ms}, nil)
					s.Handle(time.Second, Ended{Request: id, Engine: send.Engine, Result: Served, Took: ms, Last: true}, nil)
				}
			}
		}
	}
	if got[1][1] != 0 || got[1][2] != 4000 {
		t.Errorf("class 1 was sent to %v", got[1])
	}
	if share := float64(got[0][1]) / 4000; share < 0.7 || share > 0.8 {
		t.Errorf("class 0 was sent to %v: %.2f of it to the engine with weight 3 of 4", got[0], share)
	}
}
