package brain

import (
	"testing"
	"time"
)

// readersIn is a fleet with readers in so many zones, two in each, and a writer.
func readersIn(zones int) []Engine {
	engines := []Engine{{ID: 900, Kind: 1, Weight: 1}}
	for zone := range zones {
		for i := range 2 {
			engines = append(engines, Engine{ID: EngineID(100 + 2*zone + i), Zone: zone, Cell: zone, Weight: 1})
		}
	}
	return engines
}

// Routers without a zone of their own send one beginning to one reader, wherever they stand; those with a zone send it to one
// in each.
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
		t.Errorf("routers without a zone use %d homes", n)
	}
	if n := homes(0, 1, 2); n != 3 {
		t.Errorf("routers of three zones use %d homes", n)
	}
}

// What others report to wait at a reader counts like work of our own.
func TestReportedWorkSendsPromptsElsewhere(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	home := b.arrive(1, 0, 3*time.Second)
	b.advance(20 * ms)
	b.end(1, Read, false)
	b.handle(Reported{Engine: home, Load: Load{Known: true, MemoryShare: -1, WaitTokens: 1e6}})
	b.must(b.arrive(2, 0, 3*time.Second) != home, "sent to a reader that a million tokens wait at")
}

// A report of others is no sign of life: it must not keep a lease alive.
func TestReportsRenewNoLease(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	at := b.arrive(1, 0, 3*time.Second)
	before := b.s.requests[1].lease
	b.advance(50 * ms)
	b.handle(Reported{Engine: at, Load: Load{Known: true, MemoryShare: -1, WaitTokens: 10}})
	b.must(b.s.requests[1].lease == before, "the lease moved from %v to %v", before, b.s.requests[1].lease)
}

// A late answer that earns something is waited for where the settings say so: without LateShare the request is refused.
func TestLateShareAdmitsWhatWouldBeLate(t *testing.T) {
	refused := func(lateShare float64) bool {
		set := testSettings()
		set.LateShare = lateShare
		b := newBench(t, set, []Engine{fleet()[0], fleet()[2]})
		b.s.pools[Writer].starts[1] = startTime{1.2, b.now} // answers start after more than the aim
		b.arrive(10, 0, 9*time.Second)
		return b.finals(10) == 1
	}
	if !refused(0) || refused(0.9) {
		t.Errorf("refused without a share: %v, with one: %v", refused(0), refused(0.9))
	}
}

// Reading a long shared beginning once more costs others room: with a weight for it the request waits for its home a little
// longer than without.
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
		t.Errorf("leaves its home from %v waiting tokens on with a weight, from %v without", with, without)
	}
}

// What others say of a reader is no word of its own: that nothing waits there by their account does not prove a read lost
// that takes its time.
func TestPeerReportsProveNoPrefillLost(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	at := b.arrive(1, 0, 3*time.Second)
	for range 20 {
		b.advance(50 * ms)
		b.handle(Reported{Engine: at, Load: Load{Known: true, MemoryShare: -1, FromPeers: true}})
	}
	b.must(!has[Cancel](b.log), "a read was given up on the word of others")
}

// A prompt that is shorter than the settings say goes whole to a writer; a longer one is read first.
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
		b.must((roles[b.sentTo(id)] == Writer) == (tokens < 1000), "%.0f tokens went to a worker of role %d", tokens, roles[b.sentTo(id)])
	}
	b.end(1, Full, false)
	b.must(roles[b.sentTo(1)] == Writer, "what a writer turned away was not tried at another")
	b.start(2)
	b.end(2, Served, false)
}
