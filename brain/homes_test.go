package brain

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// randomActions returns the actions after events drawn from a seed, with readers, writers and mixed engines in two
// zones. homes returns the Homes of a prefix.
func randomActions(t *testing.T, seed uint64, homes func(prefix uint64) []EngineID) []Action {
	rng := rand.New(rand.NewPCG(seed, 5))
	var engines []Engine
	for i := range 12 {
		engines = append(engines, Engine{ID: EngineID(10 + i), Cell: i / 3, Zone: i / 6, Kind: i % 3, Weight: 1})
	}
	b := newBench(t, testSettings(), engines)
	for id := RequestID(1); id < 120; id++ {
		a := Arrived{Request: id, Class: rng.IntN(3), Session: uint64(rng.IntN(20)), Prefix: uint64(rng.IntN(6)), PromptTokens: float64(100 + rng.IntN(3000)),
			PrefixTokens: 90, MaxTokens: 300, Timeout: time.Duration(1+rng.IntN(5)) * time.Second}
		a.Homes = homes(a.Prefix)
		b.handle(a)
		if rng.IntN(12) == 0 {
			e := engines[rng.IntN(len(engines))]
			e.Availability = []Availability{Ready, Draining}[rng.IntN(2)]
			b.handle(Listed{Kind: ListDelta, Engines: []Engine{e}})
		}
		b.advance(time.Duration(rng.IntN(60)) * ms)
		for open := max(id, 6) - 5; open <= id; open++ {
			switch rng.IntN(3) {
			case 0:
				b.end(open, []Result{Read, Full, Errored, ConnectFailed, Served}[rng.IntN(5)], false)
			case 1:
				b.start(open)
			}
		}
	}
	b.advance(8 * time.Second)
	return b.log
}

// Homes that are empty or not listed change nothing. Listed ones do.
func TestUnlistedHomesChangeNothing(t *testing.T) {
	changed := 0
	for seed := range uint64(40) {
		none := randomActions(t, seed, func(uint64) []EngineID { return nil })
		unknown := randomActions(t, seed, func(uint64) []EngineID { return []EngineID{900, 901} })
		some := randomActions(t, seed, func(prefix uint64) []EngineID { return []EngineID{EngineID(10 + prefix)} })
		if !reflect.DeepEqual(none, unknown) {
			t.Fatalf("seed %d: homes that are not listed changed the actions", seed)
		}
		if !reflect.DeepEqual(none, some) {
			changed++
		}
	}
	if changed < 20 {
		t.Errorf("homes changed %d of 40 runs", changed)
	}
}

// Home is the engine that requests go to without other evidence.
func TestHomeIsFirstInHashOrder(t *testing.T) {
	var engines []Engine
	var ids []EngineID
	for i := range 9 {
		engines, ids = append(engines, Engine{ID: EngineID(20 + i), Kind: 2, Weight: 1}), append(ids, EngineID(20+i))
	}
	b := newBench(t, testSettings(), engines)
	for i := range 50 {
		id := RequestID(1 + i)
		b.handle(Arrived{Request: id, Session: uint64(i), Prefix: uint64(1000 + i), PromptTokens: 2000, PrefixTokens: 1500, MaxTokens: 30, Timeout: 3 * time.Second})
		if got, want := b.sentTo(id), Home(uint64(1000+i), ids); got != want {
			t.Errorf("prefix %d was sent to %d, want %d", 1000+i, got, want)
		}
		b.start(id)
		b.end(id, Served, false)
	}
	if Home(1, nil) != 0 {
		t.Error("Home of no engines is not 0")
	}
}

// An engine in Homes comes before the hash order, but only in the router's zone and if it is ready.
func TestHomesComeBeforeHashOrder(t *testing.T) {
	for i := range 8 {
		home := EngineID(20 + i)
		engines := make([]Engine, 0, 8)
		for j := range 8 {
			engines = append(engines, Engine{ID: EngineID(20 + j), Kind: 2, Zone: j / 4, Weight: 1})
		}
		ask := func(t *testing.T, change func(b *bench)) EngineID {
			b := newBench(t, testSettings(), engines)
			if change != nil {
				change(b)
			}
			b.handle(Arrived{Request: 1, Session: 4, Prefix: 77, PromptTokens: 2000, PrefixTokens: 1500, MaxTokens: 30, Timeout: 3 * time.Second, Homes: []EngineID{home}})
			return b.sentTo(1)
		}
		t.Run(fmt.Sprint("home ", home), func(t *testing.T) {
			if got := ask(t, nil); (got == home) != (i < 4) {
				t.Errorf("request sent to %d", got)
			}
			if got := ask(t, func(b *bench) {
				drains := engines[i]
				drains.Availability = Draining
				b.handle(Listed{Kind: ListDelta, Engines: []Engine{drains}})
			}); got == home {
				t.Error("request sent to a draining home")
			}
		})
	}
}
