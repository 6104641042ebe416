package brain

import (
	"testing"
	"time"
)

func TestSilentReaderLapsesAndPrefillMoves(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	reader := b.arrive(1, 1, 6*time.Second)
	b.advanceSilent(2*time.Second, reader)
	b.must(has[Cancel](b.log), "no attempt was cancelled")
	b.end(1, Cancelled, false)
	b.must(b.sentTo(1) != reader, "prefilled again at the silent reader")
	b.must(b.arrive(2, 0, 3*time.Second) != reader, "another request was sent to the silent reader")
}

func TestLeaseLapseAtSilentWriter(t *testing.T) {
	for class, want := range map[int]string{0: "send", 1: "fail"} {
		b := newBench(t, testSettings(), fleet())
		b.arrive(1, class, 6*time.Second)
		b.end(1, Read, false)
		writer := b.sentTo(1)
		b.advanceSilent(4*time.Second, writer)
		b.must(has[Cancel](b.log), "class %d: the lease did not lapse", class)
		got := b.end(1, Cancelled, false)
		b.must(want == "send" && has[Send](got) || want == "fail" && has[Fail](got) && has[Release](got),
			"class %d: after the lapse %+v", class, got)
	}
}

func TestOneSignOfLifeRenewsAllLeases(t *testing.T) {
	set := testSettings()
	set.Probing = false
	b := newBench(t, set, []Engine{fleet()[0], fleet()[2]})
	for id := RequestID(1); id <= 4; id++ {
		b.arrive(id, 1, 6*time.Second)
		b.end(id, Read, false)
	}
	b.advance(1200 * ms)
	b.start(4) // three still wait; this start renews their leases
	b.advance(700 * ms)
	b.must(!has[Cancel](b.log), "a renewed lease lapsed")
	b.advance(1500 * ms)
	n := count(b.log, func(a Cancel) bool { return a.Request <= 3 })
	b.must(n == 3, "%d of 3 leases lapsed after the signs of life stopped", n)
	b.must(count(b.log, func(a Cancel) bool { return a.Request == 4 }) == 0, "a started stream was cancelled")
}

func TestLeaseIsNeverShortened(t *testing.T) {
	set := testSettings()
	set.Probing = false
	b := newBench(t, set, []Engine{fleet()[0], fleet()[2]})
	for id := RequestID(1); id <= 2; id++ {
		b.arrive(id, 1, 6*time.Second)
		b.end(id, Read, false)
	}
	b.start(2) // now plus two thirds of a lease is before the end of a lease just granted
	b.advance(1450 * ms)
	b.must(!has[Cancel](b.log), "a sign of life shortened a lease")
}

// A full writer is not tried again within a moment.
func TestStateDoesNotBounceBetweenFullWriters(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	b.end(1, Full, false)
	b.must(!has[Send](b.end(1, Full, false)), "state sent to a writer that was full a moment ago")
	b.must(has[Send](b.advance(400*ms)), "not tried again within the pin limit")
}

// An engine that serves other classes and leaves one attempt unanswered shows life all the time. Its report that
// nothing waits proves the prefill lost, long before the lease could lapse.
func TestLostPrefillIsCancelledOnIdleReport(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.load = map[EngineID]Load{}
	for _, e := range fleet() {
		b.load[e.ID] = Load{Known: true, MemoryShare: 0.1, Queue: -1}
	}
	reader := b.arrive(1, 1, 6*time.Second)
	b.advance(700 * ms)
	b.must(has[Cancel](b.log), "a prefill that the idle reader lost was not cancelled")
	b.end(1, Cancelled, false)
	b.must(b.sentTo(1) != reader, "prefilled again at the engine that lost it")
	b.must(b.finals(1) == 0, "final answer with time left")
}

// Routers with equal reports must not all choose the same writer.
func TestEqualWritersAreDrawnBySeed(t *testing.T) {
	engines := []Engine{{ID: r1, Cell: 1, Kind: 0}}
	for id := EngineID(40); id < 60; id++ {
		engines = append(engines, Engine{ID: id, Cell: 2, Kind: 1})
	}
	chosen := map[EngineID]int{}
	for seed := range uint64(100) {
		b := &bench{T: t, s: New(testSettings(), seed), now: time.Second}
		b.handle(Listed{Kind: ListCached, Engines: engines})
		b.arrive(1, 0, 3*time.Second)
		b.end(1, Read, false)
		chosen[b.sentTo(1)]++
	}
	for id, n := range chosen {
		if n > 25 {
			t.Errorf("writer %d was chosen by %d of 100 routers", id, n)
		}
	}
	if len(chosen) < 15 {
		t.Errorf("%d of 20 equal writers were used", len(chosen))
	}
}

// A router sees only its own streams. A writer that other routers have filled seems free to it, but the attempts it
// sent there do not start. Such a writer must not keep getting the states of its cell.
func TestWaitAtAWriterShowsItFull(t *testing.T) {
	set := testSettings()
	for _, waits := range []bool{false, true} {
		b := newBench(t, set, fleet())
		first := b.arrive(1, 1, 9*time.Second)
		b.end(1, Read, false)
		near := b.sentTo(1)
		if !waits {
			b.start(1)
		}
		b.advance(1200 * ms)
		for id := RequestID(2); ; id++ { // one that is prefilled at the same reader
			if b.arrive(id, 1, 9*time.Second) != first && id < 20 {
				continue
			}
			b.end(id, Read, false)
			b.must((b.sentTo(id) == near) == !waits, "waits: %v, first sent to %d, then to %d", waits, near, b.sentTo(id))
			break
		}
	}
}

// Slow links between cells are no reason to refuse requests or to send more state across them, so start times at
// writers are learned separately for state of their own cell and of others. On a day with slow links, starts of 30 ms
// within the cell and of 1 to 2 s from others gave one mean, by which a quarter of the requests was refused.
func TestSlowLinksBetweenCells(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	served, away := 0, 0
	for id := RequestID(1); id <= 60; id++ {
		b.arrive(id, 0, 3000*ms)
		if reader := b.sentTo(id); reader != 0 {
			b.end(id, Read, false)
			took := 30 * ms
			if writer := b.sentTo(id); (reader == r1) != (writer == w1) {
				took, away = 1500*ms, away+1
			}
			b.handle(Started{Request: id, Attempt: 1, Engine: b.sentTo(id), Took: took})
			served++
		}
		if id > 15 { // so many streams at once that the writers of other cells look emptier
			b.end(id-15, Served, false)
		}
		b.advance(30 * ms)
	}
	if served < 60 || away == 0 || away > 6 { // away is 10 if the rank ignores the link
		t.Errorf("%d of 60 served, %d of them over the slow link", served, away)
	}
}

// For clients that wait one second, the lease was a quarter of that and lapsed before any sign of life could renew
// it. Slow prefills were cancelled and restarted until the time was up, and filings cancelled at their writer failed.
func TestShortTimeoutLeaseIsRenewed(t *testing.T) {
	for _, class := range []int{0, 1} {
		b := newBench(t, testSettings(), fleet())
		b.arrive(1, class, 900*ms)
		b.advance(400 * ms) // a slow prefill at an engine that answers probes
		b.end(1, Read, false)
		b.advance(400 * ms)
		b.start(1)
		if n := count[Send](b.log, func(Send) bool { return true }); n != 2 || count[Cancel](b.log, func(Cancel) bool { return true }) != 0 {
			t.Errorf("class %d: %d attempts in %v, want one prefill and one decode", class, n, b.log)
		}
	}
}

// A connection that falls silent shows nothing, while the engine's other answers are signs of life, so prefills
// waited for their clients' whole timeout. If attempts sent much later have been served, the earlier ones are lost. A
// filing at a writer may still start and is not cancelled.
func TestOvertakenAttemptIsLost(t *testing.T) {
	for _, c := range []struct {
		class    int
		at       EngineID
		answered bool // the later attempts are answered
		lost     bool
	}{{0, r1, true, true}, {1, r1, true, true}, {0, w1, true, true}, {1, w1, true, false}, {0, r1, false, false}, {0, w1, false, false}} {
		b := newBench(t, testSettings(), []Engine{fleet()[0], fleet()[2]})
		b.arrive(1, c.class, 6*time.Second)
		if c.at == w1 {
			b.end(1, Read, false)
		}
		for id := RequestID(2); id < 12; id++ {
			b.advance(100 * ms)
			b.arrive(id, 1, 6*time.Second)
			if c.at == w1 || c.answered {
				b.end(id, Read, false)
			}
			if c.answered {
				b.start(id)
			}
		}
		lost := count[Cancel](b.log, func(a Cancel) bool { return a.Request == 1 }) > 0
		if lost != c.lost {
			t.Errorf("%+v: cancelled: %v", c, lost)
		}
	}
}
