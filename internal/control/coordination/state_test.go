package coordination

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const second = time.Second

// story applies calls one after the other, each at the next index.
type story struct {
	c     *qt.C
	state *State
	index uint64
}

func tell(t *testing.T) *story { return &story{c: qt.New(t), state: New()} }

func (s *story) call(call Call, lapsed uint64) Answer {
	entry, err := call.Encode(lapsed)
	s.c.Assert(err, qt.IsNil)
	s.index++
	return s.state.Apply(s.index, entry).Answer
}

func (s *story) start(owner string, lapsed uint64) Answer {
	return s.call(Call{Kind: StartLock, Name: "l", Owner: owner, HoldMS: 1000}, lapsed)
}

func (s *story) put(key, amount string, expected uint64) Answer {
	return s.call(Call{Kind: ReplaceCell, Name: key, Amount: amount, Expected: expected}, 0)
}

func TestLockGoesToAnotherOnlyIfTheVeryHoldingHasLapsed(t *testing.T) {
	s := tell(t)
	first := s.start("one", 0)
	s.c.Assert(first, qt.DeepEquals, Answer{Status: Done, Fence: 1})
	s.c.Assert(s.start("other", 0).Status, qt.Equals, Held)
	// A look before the renewal is worth nothing after it.
	s.c.Assert(s.call(Call{Kind: BeatLock, Name: "l", Owner: "one", Fence: 1, HoldMS: 1000}, 0).Status, qt.Equals, Done)
	s.c.Assert(s.start("other", 1).Status, qt.Equals, Held)
	s.c.Assert(s.start("other", 3).Fence, qt.Equals, uint64(5))
	s.c.Assert(s.call(Call{Kind: BeatLock, Name: "l", Owner: "one", Fence: 1, HoldMS: 1000}, 0).Status, qt.Equals, Lost)
}

func TestLateCallsOfAnEarlierHoldDoNotTouchTheLaterOne(t *testing.T) {
	s := tell(t)
	s.start("one", 0)
	again := s.start("one", 0)
	s.c.Assert(again.Fence, qt.Equals, uint64(2))
	s.c.Assert(s.call(Call{Kind: FinishLock, Name: "l", Owner: "one", Fence: 1}, 0).Status, qt.Equals, Done)
	s.c.Assert(s.call(Call{Kind: BeatLock, Name: "l", Owner: "one", Fence: 1, HoldMS: 9000}, 0).Status, qt.Equals, Lost)
	held, found := s.state.Holding("l")
	s.c.Assert(found, qt.IsTrue)
	s.c.Assert(held, qt.DeepEquals, Holding{Owner: "one", Fence: 2, HoldMS: 1000, Sequence: 2})
}

func TestPutThatComesAgainGetsItsFirstRevision(t *testing.T) {
	s := tell(t)
	s.c.Assert(s.put("g.a", "v1", 0).Revision, qt.Equals, uint64(1))
	s.c.Assert(s.put("g.b", "v2", 0).Revision, qt.Equals, uint64(2))
	s.c.Assert(s.put("h.a", "w1", 0).Revision, qt.Equals, uint64(1))
	s.c.Assert(s.put("g.a", "v3", 1).Revision, qt.Equals, uint64(3))
	s.c.Assert(s.put("g.a", "v1", 0), qt.DeepEquals, Answer{Status: Done, Revision: 1})
	s.c.Assert(s.put("g.a", "v4", 1), qt.DeepEquals, Answer{Status: Different, Revision: 3})
	s.c.Assert(s.put("g.c", "v5", 2), qt.DeepEquals, Answer{Status: Different})
	always := Call{Kind: ReplaceCell, Name: "g.d", Amount: "v6", Always: true}
	s.c.Assert(s.call(always, 0).Revision, qt.Equals, uint64(4))
	s.c.Assert(s.put("g.d", "v7", 4).Revision, qt.Equals, uint64(5))
	s.c.Assert(s.call(always, 0).Revision, qt.Equals, uint64(4))
	s.c.Assert(s.state.Read("g.a"), qt.DeepEquals, Answer{Status: Done, Amount: "v3", Revision: 3})
	s.c.Assert(s.state.Read("g.c").Status, qt.Equals, Missing)
}

func TestWatchTellsAllThatIsRemembered(t *testing.T) {
	s := tell(t)
	for i := range uint64(5) {
		s.put("g.a", fmt.Sprint("v", i+1), i)
	}
	s.c.Assert(s.state.Watch("g.", 0), qt.DeepEquals, Answer{Status: Done, Revision: 5})
	s.c.Assert(s.state.Watch("g.", 3).Events, qt.DeepEquals, []Event{{"g.a", "v4", 4}, {"g.a", "v5", 5}})
	entry, err := Sweep{Trims: []Trim{{Scope: "g.", UpTo: 3}}}.Encode()
	s.c.Assert(err, qt.IsNil)
	s.state.Apply(9, entry)
	s.c.Assert(s.state.Watch("g.", 2).Status, qt.Equals, TooOld)
	s.c.Assert(s.state.Watch("g.", 3).Events, qt.HasLen, 2)
	s.c.Assert(s.put("g.a", "v5", 4).Revision, qt.Equals, uint64(5)) // the present value is known for good
}

func TestHistoryKeepsToItsBytes(t *testing.T) {
	s := tell(t)
	amount := string(make([]byte, 4096))
	for i := range uint64(3000) {
		s.put("g.a", fmt.Sprint(i, amount), i)
	}
	s.c.Assert(s.state.history <= MaxHistoryBytes, qt.IsTrue)
	s.c.Assert(s.state.Watch("g.", 1).Status, qt.Equals, TooOld)
	s.c.Assert(s.state.Watch("g.", 2999).Events, qt.HasLen, 1)
}

// A member counts a holding's time from its own application on, in full; another's clock and what a snapshot says count for
// nothing.
func TestAgesCountFromOwnApplication(t *testing.T) {
	s := tell(t)
	ages := NewAges()
	entry, err := Call{Kind: StartLock, Name: "l", Owner: "one", HoldMS: 1000}.Encode(0)
	s.c.Assert(err, qt.IsNil)
	ages.Note(5*second, s.state, s.state.Apply(7, entry))
	lapsed, held := ages.Lapsed(5*second+1000*time.Millisecond, s.state, "l", "other")
	s.c.Assert(held, qt.IsTrue)
	s.c.Assert(lapsed, qt.Equals, uint64(0))
	lapsed, held = ages.Lapsed(5*second+1036*time.Millisecond, s.state, "l", "other") // a sixty-fourth and 20 ms more
	s.c.Assert(held, qt.IsFalse)
	s.c.Assert(lapsed, qt.Equals, uint64(7))
	_, held = ages.Lapsed(5*second, s.state, "l", "one")
	s.c.Assert(held, qt.IsFalse)
	// When the state is restored from a snapshot, then its time begins anew.
	restored := New()
	s.c.Assert(restored.Restore(s.state.Snapshot()), qt.IsNil)
	ages.Restart(8*second, restored)
	_, held = ages.Lapsed(8900*time.Millisecond, restored, "l", "other")
	s.c.Assert(held, qt.IsTrue)
}

func TestSweepNamesWhatIsOld(t *testing.T) {
	s := tell(t)
	ages := NewAges()
	note := func(now time.Duration, call Call) {
		entry, err := call.Encode(0)
		s.c.Assert(err, qt.IsNil)
		s.index++
		ages.Note(now, s.state, s.state.Apply(s.index, entry))
	}
	note(0, Call{Kind: StartLock, Name: "l", Owner: "one", HoldMS: 1000})
	for i := range uint64(200) {
		note(time.Duration(i)*100*time.Millisecond, Call{Kind: ReplaceCell, Name: "g.a", Amount: fmt.Sprint(i), Expected: i})
	}
	s.c.Assert(ages.Sweep(19*second, s.state, 20*second).Trims, qt.HasLen, 0)
	// Events of 10 s and before, and the holding that nobody has asked for since.
	swept := ages.Sweep(30*second, s.state, 20*second)
	s.c.Assert(swept.Lapsed, qt.DeepEquals, []Lapsed{{Name: "l", Sequence: 1}})
	s.c.Assert(swept.Trims, qt.HasLen, 1)
	s.c.Assert(swept.Trims[0].UpTo >= 90 && swept.Trims[0].UpTo <= 100, qt.IsTrue, qt.Commentf("%v", swept))
	entry, err := swept.Encode()
	s.c.Assert(err, qt.IsNil)
	s.state.Apply(1000, entry)
	_, found := s.state.Holding("l")
	s.c.Assert(found, qt.IsFalse)
	s.c.Assert(ages.Sweep(30*second, s.state, 20*second).Empty(), qt.IsTrue)
}

// Replicas that apply the same commands agree, also one that was restored from a snapshot in between.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := New(), New()
		names := rapid.SampledFrom([]string{"g.a", "g.b", "h.a", "l"})
		for index := uint64(1); index <= 60; index++ {
			call := Call{
				Kind:     rapid.SampledFrom([]Kind{StartLock, BeatLock, FinishLock, DrawNumber, ReplaceCell}).Draw(t, "kind"),
				Name:     names.Draw(t, "name"),
				Owner:    rapid.SampledFrom([]string{"one", "other"}).Draw(t, "owner"),
				HoldMS:   1000,
				Fence:    rapid.Uint64Range(0, index).Draw(t, "fence"),
				Amount:   rapid.StringMatching("[a-d]").Draw(t, "amount"),
				Expected: rapid.Uint64Range(0, 8).Draw(t, "expected"),
			}
			entry, err := call.Encode(rapid.Uint64Range(0, index).Draw(t, "lapsed"))
			if err != nil {
				t.Fatal(err)
			}
			if got, want := other.Apply(index, entry), one.Apply(index, entry); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%v and %v", got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				next := New()
				if err := next.Restore(other.Snapshot()); err != nil {
					t.Fatal(err)
				}
				other = next
			}
		}
		if one.keys != other.keys || one.history != other.history {
			t.Fatalf("%d keys and %d, %d bytes and %d", one.keys, other.keys, one.history, other.history)
		}
	})
}

func TestUnknownCommandsAndSnapshots(t *testing.T) {
	s := tell(t)
	s.c.Assert(s.state.Apply(1, []byte("?")).Status, qt.Equals, Unclear)
	s.c.Assert(s.call(Call{Kind: 77, Name: "l"}, 0).Status, qt.Equals, Unclear)
	s.c.Assert(s.state.Restore([]byte("?")), qt.ErrorMatches, "coordination: a snapshot can't be read.*")
}

// Guards against a lock that is given to a second caller while the first still counts itself the holder: the answer to a
// renewal for less time may be lost (docs/incidents/shortened-lock.md).
func TestGrantForLessTimeDoesNotEndOneBefore(t *testing.T) {
	const long, short = 5000, 500
	for name, again := range map[string]Call{
		"a renewal":    {Kind: BeatLock, Name: "l", Owner: "one", Fence: 1, HoldMS: short},
		"a second ask": {Kind: StartLock, Name: "l", Owner: "one", HoldMS: short},
	} {
		t.Run(name, func(t *testing.T) {
			s, ages := tell(t), NewAges()
			apply := func(now time.Duration, call Call) {
				s.c.Assert(s.call(call, 0).Status, qt.Equals, Done)
				ages.Note(now, s.state, Outcome{Held: "l"})
			}
			heldFor := func(now time.Duration) bool {
				_, held := ages.Lapsed(now, s.state, "l", "other")
				return held
			}
			// Given a caller that has a lock for 5 s, when it is given it for half a second after the first second,
			apply(0, Call{Kind: StartLock, Name: "l", Owner: "one", HoldMS: long})
			apply(second, again)
			// then the lock is held until the end of the 5 s, also by a member that restarts meanwhile,
			s.c.Assert(heldFor(2*second), qt.IsTrue)
			s.c.Assert(heldFor(5*second), qt.IsTrue)
			s.c.Assert(heldFor(5*second+200*time.Millisecond), qt.IsFalse)
			restored, restoredAges := New(), NewAges()
			s.c.Assert(restored.Restore(s.state.Snapshot()), qt.IsNil)
			restoredAges.Restart(3*second, restored)
			_, held := restoredAges.Lapsed(7*second, restored, "l", "other")
			s.c.Assert(held, qt.IsTrue)
			// and until a renewal for more time has passed.
			holding, _ := s.state.Holding("l")
			apply(4*second, Call{Kind: BeatLock, Name: "l", Owner: "one", Fence: holding.Fence, HoldMS: long})
			s.c.Assert(heldFor(9*second), qt.IsTrue)
			s.c.Assert(heldFor(9*second+200*time.Millisecond), qt.IsFalse)
			holding, _ = s.state.Holding("l")
			s.c.Assert(holding.Earlier, qt.HasLen, 0)
		})
	}
}

// Whatever times a holding is granted and renewed for, it ends no sooner than any of them, and what is remembered is bounded.
func TestHoldingOutlastsEachOfItsGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, ages := New(), NewAges()
		now, end, fence := time.Duration(0), time.Duration(0), uint64(0)
		for index := uint64(1); index <= 40; index++ {
			holdMS := rapid.Uint64Range(1, 4000).Draw(t, "hold")
			call := Call{Kind: StartLock, Name: "l", Owner: "one", HoldMS: holdMS}
			if fence != 0 && rapid.Bool().Draw(t, "renews") {
				call.Kind, call.Fence = BeatLock, fence
			}
			entry, err := call.Encode(0)
			if err != nil {
				t.Fatal(err)
			}
			outcome := state.Apply(index, entry)
			ages.Note(now, state, outcome)
			if call.Kind == StartLock {
				fence = outcome.Fence
			}
			end = max(end, now+time.Duration(holdMS)*time.Millisecond)
			holding, _ := state.Holding("l")
			if left := ages.Left(now, "l", holding); now+left < end {
				t.Fatalf("at %v the holding ends after %v, a grant at %v: %+v", now, left, end, holding)
			}
			if len(holding.Earlier) > maxEarlierGrants {
				t.Fatalf("%d earlier grants are remembered", len(holding.Earlier))
			}
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
		}
	})
}
