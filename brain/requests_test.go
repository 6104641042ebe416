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
		b.must(b.finals(1) == 1, "class %d: more than one final answer", class)
		b.must(has[Release](b.log), "the state of the late prefill was not released")
	}
}

func TestNoEngineAtAll(t *testing.T) {
	b := newBench(t, testSettings(), nil)
	b.arrive(1, 0, 3*time.Second)
	b.advance(3 * time.Second)
	b.must(b.finals(1) == 1 && !has[Send](b.log), "want one final answer and no Send")
}

func TestNoWriterReleasesWithinPinLimit(t *testing.T) {
	b := newBench(t, testSettings(), fleet()[:2])
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	b.advance(499 * ms)
	b.must(has[Release](b.log), "state was not released within the pin limit")
	b.advance(3 * time.Second)
	b.must(b.finals(1) == 1, "%d final answers, want 1", b.finals(1))
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
		b.must(second != first && (second == w1 || second == w2), "result %d: sent to %d, then to %d", result, first, second)
		b.must(!has[Release](b.log), "the state was released although the next writer needs it")
	}
}

func TestMissingStateIsPrefilledAgain(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 1, 6*time.Second)
	b.end(1, Read, false)
	b.end(1, Full, true)
	again := b.sentTo(1)
	b.must(again == r1 || again == r2, "after the loss of its state the request was sent to %d", again)
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
	b.must(second != first && cell[first] == cell[second], "the request may have run at %d and was sent to %d", first, second)
	b.advance(2100 * ms)
	got := b.end(1, Errored, false)
	b.must(!has[Send](got) && !has[Refuse](got) && b.finals(1) == 1, "after the repeat window: %+v", got)
}

func TestClientGoneDuringPrefillAndWait(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.must(has[Cancel](b.handle(ClientGone{Request: 1})), "the prefill of a client that left was not cancelled")
	b.must(has[Release](b.end(1, Read, false)), "its state was not released")
	b.arrive(2, 0, 3*time.Second)
	b.end(2, Read, false)
	b.must(has[Cancel](b.handle(ClientGone{Request: 2})), "the waiting attempt of a client that left was not cancelled")
	b.must(has[Release](b.end(2, Cancelled, false)), "its state was not released")
	b.advance(5 * time.Second)
	b.must(b.finals(1)+b.finals(2) == 0, "final answer to a client that left")
}

func TestStaleEventsAreIgnored(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	for _, ev := range []Event{ClientGone{Request: 9}, TimerFired{Key: 9}, Started{Request: 9, Engine: w1},
		Ended{Request: 9, Engine: 99, Result: Errored}, Probed{Engine: 99}, Listed{Kind: ListFailed}} {
		b.must(len(b.handle(ev)) == 0, "%+v led to an action", ev)
	}
	got := b.handle(Ended{Request: 9, Engine: 99, Result: Read})
	b.must(len(got) == 1 && has[Release](got), "after a prefill of an unknown request: %+v", got)
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
	b.must(!has[Cancel](b.log) && !has[Probe](b.log), "a disabled action was taken")
	b.must(count(b.log, func(a Refuse) bool { return a.HoldOff != 0 }) == 0, "hold-off in a refusal although it is disabled")
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
		t.Fatalf("%d requests are still remembered", n)
	}
	b.handle(Listed{Kind: ListComplete})
	if len(b.s.engines) != 0 || len(b.s.order) != 0 {
		t.Fatal("removed engines are still remembered")
	}
}

// A refusal promises that nothing ran. While a prefill is out, even that is not proven.
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
	b.must(refused[0] > refused[1] && refused[0] > 0, "refused %d of class 0 and %d of class 1", refused[0], refused[1])
}

// Without an engine, a request was kept for its whole deadline, which is a minute for some clients. After its aim,
// waiting at this router gains nothing: the client is refused and may try elsewhere.
func TestRefusedAtAimWithoutEngine(t *testing.T) {
	b := newBench(t, testSettings(), nil)
	b.arrive(1, 1, time.Minute) // its aim is 1.5 s
	b.advance(1400 * ms)
	b.must(b.finals(1) == 0, "final answer before the aim")
	b.advance(400 * ms)
	b.must(count(b.log, func(a Refuse) bool { return a.Request == 1 }) == 1, "not refused soon after the aim")
	b.arrive(2, 1, time.Minute)
	b.handle(Listed{Kind: ListComplete, Engines: fleet()})
	b.must(b.sentTo(2) != 0, "not sent after an engine was listed")
}

// A request that an engine finds invalid fails at once, at its first attempt, and is no evidence on the engine.
func TestInvalidRequestIsNoEvidenceOnEngine(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	for id := RequestID(1); id <= 10; id++ {
		at := b.arrive(id, int(id)%2, 3000*ms)
		got := b.end(id, Rejected, false)
		if count(got, func(f Fail) bool { return f.Request == id }) != 1 || count(got, func(Send) bool { return true }) != 0 {
			t.Fatalf("after the end of an invalid request: %v", got)
		}
		if risk := b.s.risk(b.s.engines[at], 0); risk > 0 {
			t.Fatalf("risk %.2f after an invalid request", risk)
		}
	}
	if len(b.s.requests) != 0 {
		t.Errorf("%d requests are still remembered", len(b.s.requests))
	}
}

// A client that asks for the rest of a broken answer had its first token in time. After a restart dozens of such
// requests arrive at once at the remaining router. Those refused by the aim of a first token lost all that they had.
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
		t.Error("want a new request refused above its aim, a resumed one only above its deadline")
	}
}

// After an update of the settings, an open request keeps its class as of its arrival (here a safe one is still
// repeated). Later requests get the new class (now unsafe, never repeated).
func TestUpdateSettingsKeepsClassOfOpenRequests(t *testing.T) {
	b := newBench(t, testSettings(), fleet())
	b.arrive(1, 0, 3*time.Second)
	b.end(1, Read, false)
	stricter := testSettings()
	stricter.Classes[0].Effect = Unsafe
	b.s.UpdateSettings(stricter)
	got := b.end(1, Errored, false)
	b.must(has[Send](got), "the open request lost its class: %+v", got)
	b.arrive(2, 0, 3*time.Second)
	b.end(2, Read, false)
	got = b.end(2, Errored, false)
	b.must(!has[Send](got) && has[Fail](got), "a new request has the old class: %+v", got)
}

// Requests that the fleet's plan has no capacity for are refused on arrival, by their rank, with hold-offs that are
// spread. The others, and classes that the plan does not name, are accepted.
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
		t.Errorf("six refusals have only %d different hold-offs", len(advice))
	}
}
