package brain

import (
	"testing"
	"time"
)

// readersIn returns a fleet with two readers in each of the given number of zones, and one writer.
func readersIn(zones int) []Engine {
	engines := []Engine{{ID: 900, Kind: 1, Weight: 1}}
	for zone := range zones {
		for i := range 2 {
			engines = append(engines, Engine{ID: EngineID(100 + 2*zone + i), Zone: zone, Cell: zone, Weight: 1})
		}
	}
	return engines
}

// Routers without a zone send a prefix to the same reader. Those with a zone send it to one reader in each zone.
func TestRoutersWithoutAZoneAgreeOnAHome(t *testing.T) {
	homes := func(zones ...int) int {
		used := map[EngineID]bool{}
		for _, zone := range zones {
			set := testSettings()
			set.Zone = zone
			b := newBench(t, set, readersIn(3))
			used[b.arrive(1, 0, 3*time.Second)] = true
		}
		return len(used)
	}
	if n := homes(-1, -1, -1); n != 1 {
		t.Errorf("routers without a zone use %d homes, want 1", n)
	}
	if n := homes(0, 1, 2); n != 3 {
		t.Errorf("routers of three zones use %d homes, want 3", n)
	}
}

// Work that other routers report at a reader counts like our own.
func TestReportedWorkSendsPromptsElsewhere(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	home := b.arrive(1, 0, 3*time.Second)
	b.advance(20 * ms)
	b.end(1, Read, false)
	b.handle(Reported{Engine: home, Load: Load{Known: true, MemoryShare: -1, WaitTokens: 1e6}})
	b.must(b.arrive(2, 0, 3*time.Second) != home, "request sent to a reader with a million waiting tokens")
}

// A report of other routers is no sign of life and must not renew a lease.
func TestReportsRenewNoLease(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	at := b.arrive(1, 0, 3*time.Second)
	before := b.s.requests[1].lease
	b.advance(50 * ms)
	b.handle(Reported{Engine: at, Load: Load{Known: true, MemoryShare: -1, WaitTokens: 10}})
	b.must(b.s.requests[1].lease == before, "the lease changed from %v to %v", before, b.s.requests[1].lease)
}

// A late answer that still has worth is waited for if the settings allow it. Without LateShare the request is refused.
func TestLateShareAdmitsWhatWouldBeLate(t *testing.T) {
	refused := func(lateShare float64) bool {
		set := testSettings()
		set.LateShare = lateShare
		b := newBench(t, set, []Engine{fleet()[0], fleet()[2]})
		b.s.pools[Writer].starts[1] = startTime{1.2, b.now} // answers start later than the aim
		b.arrive(10, 0, 9*time.Second)
		return b.finals(10) == 1
	}
	if !refused(0) || refused(0.9) {
		t.Errorf("refused without a share: %v, with one: %v", refused(0), refused(0.9))
	}
}

// Prefilling a long shared prefix once more takes capacity from others. With a weight for it, a request waits for its
// home a little longer than without.
func TestRereadWeightKeepsPromptsAtHome(t *testing.T) {
	leaves := func(weight float64) (waiting float64) {
		for waiting = 500; waiting < 1e6; waiting *= 1.2 {
			set := testSettings()
			set.RereadWeight = weight
			b := newBench(t, set, fleet())
			home := b.arrive(1, 0, 3*time.Second)
			b.advance(20 * ms)
			b.end(1, Read, false)
			b.handle(Reported{Engine: home, Load: Load{Known: true, MemoryShare: -1, WaitTokens: waiting}})
			if b.arrive(2, 0, 3*time.Second) != home {
				return waiting
			}
		}
		return waiting
	}
	if without, with := leaves(0), leaves(5); with <= without {
		t.Errorf("leaves its home at %v waiting tokens with a weight, at %v without", with, without)
	}
}

// A report of other routers that nothing waits at a reader does not prove that a slow prefill is lost.
func TestPeerReportsProveNoPrefillLost(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	at := b.arrive(1, 0, 3*time.Second)
	for range 20 {
		b.advance(50 * ms)
		b.handle(Reported{Engine: at, Load: Load{Known: true, MemoryShare: -1, FromPeers: true}})
	}
	b.must(!has[Cancel](b.log), "a prefill was cancelled on a report of other routers")
}

// A prompt shorter than MinPrefillTokens is sent whole to a writer. A longer one is prefilled first.
func TestShortPromptsGoWholeToWriters(t *testing.T) {
	set := testSettings()
	set.MinPrefillTokens = 1000
	b := newBench(t, set, fleet())
	roles := map[EngineID]Role{}
	for _, e := range fleet() {
		roles[e.ID] = set.Kinds[e.Kind].Role
	}
	for id, tokens := range map[RequestID]float64{1: 0, 2: 999, 3: 1000} {
		b.handle(Arrived{Request: id, Class: 0, Session: uint64(id), PromptTokens: tokens, MaxTokens: 30, Timeout: 3 * time.Second})
		b.must((roles[b.sentTo(id)] == Writer) == (tokens < 1000), "a prompt of %.0f tokens was sent to an engine of role %d", tokens, roles[b.sentTo(id)])
	}
	b.end(1, Full, false)
	b.must(roles[b.sentTo(1)] == Writer, "a request that a writer refused was not sent to another writer")
	b.start(2)
	b.end(2, Served, false)
}
