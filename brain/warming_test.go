package brain

import (
	"testing"
	"time"
)

func TestColdEngineGetsItsShareOnly(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.advance(10 * time.Second)
	cold := fleet()
	cold[3].StartedAt = b.now
	b.handle(Listed{Kind: ListDelta, Engines: cold[3:]})
	sends := map[EngineID]int{}
	for id := RequestID(1); id < 60; id++ {
		b.arrive(id, 0, 3*time.Second)
		b.end(id, Read, false)
		sends[b.sentTo(id)]++
		b.advance(20 * ms)
	}
	// The warm peer shows the capacity: within a window a cold engine gets 2.5 x 0.25 of what the peer gets.
	b.must(sends[w2] > 0 && float64(sends[w2]) <= 0.7*float64(sends[w1]), "cold %d, warm %d", sends[w2], sends[w1])
}

// A share of the cold budget below one request must not be rounded up to one for each router. With 100 requests a
// second and 20 writers a warm one gets 5 a second, so a cold one gets at most 2.5 x 0.25 of that.
func TestColdBudgetHoldsOverAllRouters(t *testing.T) {
	engines := largeFleet()
	cold := engines[1]
	all := manyRouters(t, 100, engines, 8*time.Second, 13*time.Second, func(now time.Duration) []Engine {
		cold.StartedAt = now
		return []Engine{cold}
	})
	sends := 0
	for _, b := range all {
		sends += count(b.log, func(a Send) bool { return a.Engine == cold.ID })
	}
	if most := 2.5 * 0.25 * 5 * 13; float64(sends) > most {
		t.Errorf("a cold writer was sent %d requests by all routers, its budget is %.0f", sends, most)
	}
	if sends == 0 {
		t.Error("a cold writer gets no requests at all")
	}
}

// A router that starts in a fleet whose only warm reader fails has no observed rate. It must not use that reader
// alone. After a restart in the middle of a release, five attempts in a row went to the same reader.
func TestColdFleetIsUsedAfterOurStart(t *testing.T) {
	engines := fleet()
	engines[1].StartedAt = 500 * ms
	b := newBench(t, testSettings(), engines)
	served := 0
	for id := RequestID(1); id <= 12; id++ {
		for range 4 {
			if b.arrive(id, 0, 3000*ms); b.sentTo(id) == r2 {
				served++
				b.end(id, Read, false)
				break
			}
			b.end(id, Errored, false)
		}
		b.advance(400 * ms)
	}
	if served < 8 {
		t.Errorf("only %d of 12 requests were prefilled by the cold reader, the only one that works", served)
	}
}

// A cold engine's budget grows as it warms up. When a whole fleet was replaced and each engine kept the budget of its
// first second until the end, requests waited at the few warm ones.
func TestColdBudgetGrows(t *testing.T) {
	sent := func(age time.Duration) (n int) {
		b := newBench(t, testSettings(), fleet())
		b.now = 20 * time.Second
		p := &b.s.pools[Writer]
		p.uncached, p.servedAt = 2000, b.now
		p.served, p.warm = map[int]float64{0: 20000, allZones: 20000}, map[int]float64{0: 1, allZones: 1}
		b.s.engines[w2].coldUntil, b.s.engines[w2].budgetAt = b.now-age+testSettings().WarmAfter, b.now
		r := &request{Arrived: Arrived{PromptTokens: 2000, MaxTokens: 300}}
		for range 200 {
			b.now += 10 * ms
			b.s.now, p.servedAt = b.now, b.now
			if b.s.withinColdBudget(b.s.engines[w2], r) {
				b.s.engines[w2].coldBudget -= r.size(b.s.engines[w2])
				n++
			}
		}
		return n
	}
	if young, old := sent(0), sent(10*time.Second); young == 0 || old < 2*young {
		t.Errorf("%d requests in 2 s right after the start, %d in 2 s after 10 s", young, old)
	}
}

// Requests stay in a router's own zone, so a starting reader's share of the budget is based on what warm peers of
// that zone serve. Based on the warm readers of all zones, which served nothing for these routers, it left four in
// five of join+vast's new readers idle beside crowded ones. The budget over all routers still holds.
func TestColdBudgetIsCountedByZone(t *testing.T) {
	var engines []Engine
	for i := range 24 { // two warm readers in the routers' own zone, ten in each of two others
		engines = append(engines, Engine{ID: EngineID(100 + i), Cell: i / 4, Kind: 0, Zone: (i + 8) / 10, Weight: 1})
	}
	engines = append(engines, Engine{ID: 200, Cell: 1, Kind: 1, Weight: 1}, Engine{ID: 201, Cell: 2, Kind: 1, Weight: 1})
	cold := Engine{ID: 150, Cell: 1, Kind: 0, Weight: 1}
	const length = 8 * time.Second
	all := manyRouters(t, 80, engines, 8*time.Second, length, func(now time.Duration) []Engine {
		cold.StartedAt = now
		return []Engine{cold}
	})
	toCold, toWarm := 0, 0
	for _, b := range all {
		toCold += count(b.log, func(a Send) bool { return a.Engine == cold.ID })
		toWarm += count(b.log, func(a Send) bool { return a.Engine < cold.ID && engines[a.Engine-100].Zone == 0 })
	}
	peer := float64(toWarm) / 2
	if float64(toCold) < peer/8 {
		t.Errorf("a starting reader got %d prefills, a warm one of its zone %.0f", toCold, peer)
	}
	if most := 2.5 * (0.25 + 0.75*length.Seconds()/14/2) * peer; float64(toCold) > most {
		t.Errorf("a starting reader got %d prefills, its budget is %.0f", toCold, most)
	}
}

// When a zone returns all cold, its routers must not prefill all of their prompts there while other zones have
// capacity. On zone+vast the cold readers served 31 prefills in 2 s with a p50 of 2.5 s, the warm ones 33 with a p50
// of 0.08 s. The routers agree on which prompts go elsewhere, and these return as the zone warms up.
func TestColdZoneSendsPrefillsElsewhere(t *testing.T) {
	var engines []Engine
	for i := range 12 {
		engines = append(engines, Engine{ID: EngineID(100 + i), Cell: i / 2, Kind: i % 2, Zone: i / 4, Weight: 1})
	}
	set := testSettings()
	back := 30 * time.Second
	for i := range engines[:4] {
		engines[i].StartedAt = back
	}
	own := func(after time.Duration) (sends, agreed int) {
		home := map[uint64]EngineID{}
		for i := range 40 {
			b := &bench{T: t, s: New(set, uint64(i)*7919), now: back + after}
			b.handle(Listed{Kind: ListCached, Engines: engines})
			id, prefix := RequestID(i+1), 1+uint64(i)%20
			b.handle(Arrived{Request: id, Session: uint64(i), Prefix: prefix, PromptTokens: 2000, PrefixTokens: 1500, MaxTokens: 300, Timeout: 3 * time.Second})
			sends += toInt(b.sentTo(id) < 104)
			agreed += toInt(home[prefix] == b.sentTo(id))
			home[prefix] = b.sentTo(id)
		}
		return sends, agreed
	}
	sends, agreed := own(time.Second)
	if sends == 0 || sends > 24 {
		t.Errorf("%d of 40 prompts were prefilled in a zone that is a quarter warm", sends)
	}
	if agreed != 20 {
		t.Errorf("routers agree on the reader of %d in 20 prefixes", agreed)
	}
	if sends, _ := own(15 * time.Second); sends != 40 {
		t.Errorf("%d of 40 prompts were prefilled in a zone that is warm again", sends)
	}
}
