package brain

import (
	"testing"
	"time"
)

// A prefix that writers prefill themselves has one home among them, the same for all routers, while it has free
// memory. Other requests draw a writer.
func TestShortPromptsHaveAHomeAmongWriters(t *testing.T) {
	engines := []Engine{{ID: 100, Kind: 0, Weight: 1}}
	for zone := range 7 {
		engines = append(engines, Engine{ID: EngineID(900 + zone), Zone: zone, Cell: zone, Kind: 1, Weight: 1})
	}
	used := map[EngineID]bool{}
	for seed := range uint64(10) {
		set := testSettings()
		set.Zone, set.MinPrefillTokens = -1, 3000
		b := newBench(t, set, engines)
		b.s.seed = seed
		for id := RequestID(1); id <= 5; id++ {
			used[b.arrive(id, 0, 3*time.Second)] = true
			b.start(id)
		}
	}
	if len(used) != 1 {
		t.Errorf("one prefix was prefilled by several writers: %v", used)
	}
	home := EngineID(0)
	for id := range used {
		home = id
	}
	set := testSettings()
	set.Zone, set.MinPrefillTokens = -1, 3000
	b := newBench(t, set, engines)
	for _, e := range engines[1:] {
		b.handle(Reported{Engine: e.ID, Load: Load{Known: true, MemoryShare: float64(toInt(e.ID == home)), WaitTokens: -1}})
	}
	b.must(b.arrive(1, 0, 3*time.Second) != home, "request sent to a home without free memory")
}

// The candidates of a request are the readers in the order in which they would be tried. A short prompt has none.
func TestCandidatesAreTheReadersInOrder(t *testing.T) {
	set := testSettings()
	set.Zone, set.MinPrefillTokens = -1, 1000
	b := newBench(t, set, readersIn(3))
	ev := Arrived{Class: 0, Session: 1001, Prefix: 9, PromptTokens: 2000, PrefixTokens: 1500, MaxTokens: 300, Timeout: 3 * time.Second}
	ids := b.s.Candidates(ev, 3)
	b.must(len(ids) == 3, "%d candidates, want 3", len(ids))
	b.must(ids[0] == b.arrive(1, 0, 3*time.Second), "the first candidate %d is not the home", ids[0])
	ev.PromptTokens = 500
	b.must(len(b.s.Candidates(ev, 3)) == 0, "a short prompt has candidates")
}
