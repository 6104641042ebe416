package brain

import (
	"testing"
	"time"
)

func TestEveryRequestAnsweredOnceInTime(t *testing.T) {
	for class := range 3 {
		b := newBench(t, testSettings(), fleet())
		b.arrive(1, class, 3*time.Second)
		b.advance(3*time.Second - ms)
		b.must(b.finals(1) == 1, "class %d: %d final answers by the deadline", class, b.finals(1))
		b.end(1, Read, false)
		b.advance(5 * time.Second)
		b.must(b.finals(1) == 1, "class %d: answered twice", class)
		b.must(has[Release](b.log), "the late read's state was not let go")
	}
}

func TestNoEngineAtAll(t *testing.T) {
	b := newBench(t, testSettings(), nil)
	b.arrive(1, 0, 3*time.Second)
	b.advance(3 * time.Second)
	b.must(b.finals(1) == 1 && !has[Send](b.log), "want one answer and no send")
}

func TestNoWriterReleasesWithinPinLimit(t *testing.T) {
	b := newBench(t, testSettings(), fleet()[:2])
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	b.advance(499 * ms)
	b.must(has[Release](b.log), "state stayed pinned")
	b.advance(3 * time.Second)
	b.must(b.finals(1) == 1, "%d final answers", b.finals(1))
}

func TestUnsafeNeverRepeatedOrRefusedOnceItMayHaveRun(t *testing.T) {
	for _, result := range []Result{Errored, TimedOut, Broke, Cancelled} {
		b := newBench(t, testSettings(), fleet())
		b.arrive(1, 1, 6*time.Second)
		b.end(1, Read, false)
		got := b.end(1, result, false)
		b.must(!has[Send](got) && !has[Refuse](got) && has[Fail](got) && has[Release](got),
			"result %d at the writer led to %+v", result, got)
	}
}

func TestUnsafeMayBePrefilledAgain(t *testing.T) {
	for _, result := range []Result{Errored, TimedOut, Broke, Cancelled, Full, ConnectFailed} {
		b := newBench(t, testSettings(), fleet())
		first := b.arrive(1, 1, 6*time.Second)
		got := b.end(1, result, false)
		b.must(has[Send](got) && b.sentTo(1) != first, "result %d at the reader led to %+v", result, got)
	}
}

func TestStateMovesAfterAttemptThatDidNotRun(t *testing.T) {
	for _, result := range []Result{Full, ConnectFailed} {
		b := newBench(t, testSettings(), fleet())
		b.arrive(1, 1, 6*time.Second)
		b.end(1, Read, false)
		first := b.sentTo(1)
		b.end(1, result, false)
		second := b.sentTo(1)
		b.must(second != first && (second == w1 || second == w2), "result %d: %d then %d", result, first, second)
		b.must(!has[Release](b.log), "the state that the next writer needs was let go")
	}
}

func TestMissingStateIsPrefilledAgain(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 1, 6*time.Second)
	b.end(1, Read, false)
	b.end(1, Full, true)
	again := b.sentTo(1)
	b.must(again == r1 || again == r2, "with the state gone it went to %d", again)
}

func TestKeyedStaysInCellAndWindow(t *testing.T) {
	engines := append(fleet(), Engine{ID: 23, Cell: 1, Kind: 1, Weight: 1}, Engine{ID: 24, Cell: 2, Kind: 1, Weight: 1})
	b := newBench(t, testSettings(), engines)
	b.arrive(1, 2, 3*time.Second)
	b.end(1, Read, false)
	first := b.sentTo(1)
	b.end(1, Errored, false)
	second := b.sentTo(1)
	cell := map[EngineID]int{w1: 1, 23: 1, w2: 2, 24: 2}
	b.must(second != first && cell[first] == cell[second], "it may have run at %d and went to %d", first, second)
	b.advance(2100 * ms)
	got := b.end(1, Errored, false)
	b.must(!has[Send](got) && !has[Refuse](got) && b.finals(1) == 1, "past the window: %+v", got)
}

func TestClientGoneDuringPrefillAndWait(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.must(has[Cancel](b.handle(ClientGone{Request: 1})), "the read of a client that left goes on")
	b.must(has[Release](b.end(1, Read, false)), "its state stays")
	b.arrive(2, 0, 3*time.Second)
	b.end(2, Read, false)
	b.must(has[Cancel](b.handle(ClientGone{Request: 2})), "the wait of a client that left goes on")
	b.must(has[Release](b.end(2, Cancelled, false)), "its state stays")
	b.advance(5 * time.Second)
	b.must(b.finals(1)+b.finals(2) == 0, "an answer to a client that left")
}

func TestStaleEventsAreIgnored(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	for _, ev := range []Event{ClientGone{Request: 9}, TimerFired{Key: 9}, Started{Request: 9, Engine: w1},
		Ended{Request: 9, Engine: 99, Result: Errored}, Probed{Engine: 99}, Listed{Kind: ListFailed}} {
		b.must(len(b.handle(ev)) == 0, "%+v was answered", ev)
	}
	got := b.handle(Ended{Request: 9, Engine: 99, Result: Read})
	b.must(len(got) == 1 && has[Release](got), "a read of an unknown request: %+v", got)
}

func TestDisabledActionsAreNotTaken(t *testing.T) {
	set := testSettings()
	set.Probing, set.Cancelling, set.HoldOff = false, false, false
	b := newBench(t, set, fleet())
	for id := RequestID(1); id <= 6; id++ {
		b.arrive(id, int(id)%2, 3*time.Second)
	}
	b.handle(ClientGone{Request: 1})
	b.advance(5 * time.Second)
	b.must(!has[Cancel](b.log) && !has[Probe](b.log), "a forbidden action")
	b.must(count(b.log, func(a Refuse) bool { return a.HoldOff != 0 }) == 0, "advice where none is carried")
}

func TestEndedRequestsAreForgotten(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	for id := RequestID(1); id <= 3000; id++ {
		b.arrive(id, int(id)%2, 3*time.Second)
		b.end(id, Read, false)
		b.start(id)
		b.end(id, Served, false)
		b.log = b.log[:0]
		b.advance(10 * ms)
	}
	if n := len(b.s.requests) + len(b.s.parked); n != 0 {
		t.Fatalf("%d requests are remembered", n)
	}
	b.handle(Listed{Kind: ListComplete})
	if len(b.s.engines) != 0 || len(b.s.order) != 0 {
		t.Fatal("engines that are gone are remembered")
	}
}

// A refusal says that nothing ran; while a read is out even that is not proven.
func TestUnsafeIsNotRefusedDuringPrefill(t *testing.T) {
	set := testSettings()
	set.Cancelling, set.Probing = false, false
	b := newBench(t, set, fleet())
	b.arrive(1, 1, 6*time.Second)
	b.advance(6 * time.Second)
	b.must(!has[Refuse](b.log) && has[Fail](b.log), "want a failure and no refusal")
}

func TestOverloadRefusesLowestWorthFirst(t *testing.T) {
	b := newBench(t, testSettings(), fleet()[:3])
	refused := map[int]int{}
	for id := RequestID(1); id < 200; id++ {
		b.arrive(id, int(id)%2, 6*time.Second)
		if id < 3 {
			b.end(id, Read, false)
			b.start(id)
		}
		refused[int(id)%2] += b.finals(id)
	}
	b.must(refused[0] > refused[1] && refused[0] > 0, "refused of class 0: %d, of class 1: %d", refused[0], refused[1])
}

// With nobody to send to, a request was kept for its whole deadline, which is a minute for some clients. From its
// aim on nothing is won by waiting here: the client is told to try elsewhere.
func TestRefusedAtAimWithoutEngine(t *testing.T) {
	b := newBench(t, testSettings(), nil)
	b.arrive(1, 1, time.Minute) // its aim is 1.5 s
	b.advance(1400 * ms)
	b.must(b.finals(1) == 0, "answered before its aim")
	b.advance(400 * ms)
	b.must(count(b.log, func(a Refuse) bool { return a.Request == 1 }) == 1, "not refused soon after its aim")
	b.arrive(2, 1, time.Minute)
	b.handle(Listed{Kind: ListComplete, Engines: fleet()})
	b.must(b.sentTo(2) != 0, "not sent once an engine is listed")
}

// A request that an engine finds at fault fails at once, at its first attempt, and says nothing on the engine.
func TestInvalidRequestIsNoEvidenceOnEngine(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	for id := RequestID(1); id <= 10; id++ {
		at := b.arrive(id, int(id)%2, 3000*ms)
		got := b.end(id, Rejected, false)
		if count(got, func(f Fail) bool { return f.Request == id }) != 1 || count(got, func(Send) bool { return true }) != 0 {
			t.Fatalf("at the end of a request at fault: %v", got)
		}
		if risk := b.s.risk(b.s.engines[at], 0); risk > 0 {
			t.Fatalf("risk %.2f after a request at fault", risk)
		}
	}
	if len(b.s.requests) != 0 {
		t.Errorf("%d requests are remembered", len(b.s.requests))
	}
}

// A client that asks for the rest of a broken answer had its first token in time. After a restart dozens of them come
// at once to the router that is left: those turned away for the aim of a first token lost all that they had.
func TestResumedRequestIsAdmittedUpToDeadline(t *testing.T) {
	refused := func(wait float64, resumed bool) bool {
		b := newBench(t, testSettings(), fleet())
		b.s.pools[Writer].starts[1] = startTime{wait, b.now}
		b.s.pools[Writer].starts[2] = startTime{wait, b.now}
		b.s.engines[w1].coldUntil, b.s.engines[w2].coldUntil = time.Hour, time.Hour
		b.handle(Arrived{Request: 1, PromptTokens: 2000, MaxTokens: 300, Timeout: 3 * time.Second, Resumed: resumed})
		return b.finals(1) == 1
	}
	if !refused(1, false) || refused(1, true) || !refused(3, true) {
		t.Error("want a new request refused past its aim, the rest of an answer past its deadline only")
	}
}

// Settings retuned while requests are under way: one under way keeps its class as it came (here, a safe one is
// still tried again), and what comes after takes the new terms (the same class now unsafe, never repeated).
func TestUpdateSettingsKeepsClassOfOpenRequests(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	stricter := testSettings()
	stricter.Classes[0].Effect = Unsafe
	b.s.UpdateSettings(stricter)
	got := b.end(1, Errored, false)
	b.must(has[Send](got), "the request under way lost its class: %+v", got)
	b.arrive(2, 0, 3*time.Second)
	b.end(2, Read, false)
	got = b.end(2, Errored, false)
	b.must(!has[Send](got) && has[Fail](got), "a new request has the old terms: %+v", got)
}

// What the fleet's plan leaves no room for is turned away as it arrives, by its rank, with advice that is spread; the
// others, and classes that the plan does not name, are taken.
func TestPlanRefusesByRank(t *testing.T) {
	set := testSettings()
	set.Admitted = []float64{0.4, 1}
	b := newBench(t, set, fleet())
	advice := map[time.Duration]bool{}
	for i := range 10 {
		for class := range 3 {
			id := RequestID(100*class + i)
			b.log = nil
			b.handle(Arrived{Request: id, Class: class, Session: uint64(id) + 1, Rank: float64(i) / 10, PromptTokens: 100, MaxTokens: 10, Timeout: 3 * time.Second})
			refused := count[Refuse](b.log, func(r Refuse) bool { advice[r.HoldOff] = true; return r.Request == id })
			if want := toInt(class == 0 && i >= 4); refused != want || count[Send](b.log, func(s Send) bool { return s.Request == id }) != 1-want {
				t.Errorf("class %d, rank 0.%d: refused %d times, want %d", class, i, refused, want)
			}
		}
	}
	if len(advice) < 4 {
		t.Errorf("six were sent away for %d times in all", len(advice))
	}
}
