package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/coordination"
)

// A holder whose renewal for less time was answered counts on less than before, but no member can know that the answer
// arrived: the holder makes no further call that would show it. The leaders of this file guess it from what a member can
// see, and give the lock away when the last grant has passed. Each of them gives it to two callers.

// answerTicks is how many ticks a caller waits for an answer: a second.
const answerTicks = 2

// fate is what became of the answer to an entry's call.
type fate byte

const (
	underWay fate = iota
	heard
	lost // after the other end of the member's connection had it: a relay, or the machine of a caller that sleeps
)

// late tells whether the caller of a call waits for its answer no longer.
func (w world) late(m message) bool { return w.Tick >= m.Sent+answerTicks }

// waits tells whether a caller waits for an answer.
func (w world) waits(number int) bool {
	return slices.ContainsFunc(w.Messages, func(m message) bool { return m.Caller == number && !w.late(m) })
}

// guess tells whether a leader takes the answer to an entry for received.
type guess func(w world, e entry) bool

// acknowledged trusts the transport: whoever is at the other end of the connection has acknowledged all bytes.
func acknowledged(_ world, e entry) bool { return e.Fate != underWay }

// hungUp trusts the end of the connection. A caller that got no answer in time ends it too.
func hungUp(w world, e entry) bool {
	return e.Fate == heard || e.Fate == lost && w.late(e.Message)
}

// answeredTwice trusts a renewal if one of the same holding was sent before: the caller missed the first answer, asked again
// and has not asked a third time since.
func answeredTwice(w world, e entry) bool {
	return e.Fate != underWay && slices.ContainsFunc(w.Log, func(before entry) bool {
		return before.Message.Sent < e.Message.Sent && before.Message.Call == e.Message.Call
	})
}

// trusted is the sequence of a holding whose last grant has passed and whose answer a leader takes for received.
func (w world) trusted(state *coordination.State, ages *coordination.Ages, received guess) (uint64, bool) {
	holding, found := state.Holding(lockName)
	if !found || !received(w, w.Log[holding.Sequence-1]) {
		return 0, false
	}
	holding.Earlier = nil
	return holding.Sequence, ages.Left(time.Duration(w.Tick)*tickLength, lockName, holding) <= 0
}

// settle notes what became of an answer.
func (w *world) settle(m message, became fate) {
	if m.Stage == "answer" && m.Entry > 0 {
		w.Log[m.Entry-1].Fate = became
	}
}

// longHoldTicks is the hold of the searches for guesses: longer than a caller waits for an answer.
const longHoldTicks = 4

// held are the moves after which the first caller has the lock, and unheard those that renew it for less time while the
// answer is lost.
var (
	held    = []move{{"ask", 0}, {"commit", 0}, {"answer", 0}}
	unheard = []move{{"beat for less", 0}, {"commit", 0}, {"lose", 0}, {"tick", 0}, {"tick", 0}}
)

// guessing are the leaders that guess, each with moves after which few more are needed to find it.
var guessing = map[string]struct {
	faults modelFaults
	before []move
}{
	"the caller was silent for a second":       {modelFaults{State: coordination.Faults{TrustSilence: true}}, held},
	"all bytes were acknowledged":              {modelFaults{Received: acknowledged}, held},
	"the connection was closed":                {modelFaults{Received: hungUp}, held},
	"a renewal that was repeated was answered": {modelFaults{Received: answeredTwice}, slices.Concat(held, unheard)},
}

// after is the world of the searches after some moves.
func after(t *testing.T, moves []move) world {
	w := world{Left: budget{Asks: 2, Beats: 2, Losses: 2, Shorts: 2, Hold: longHoldTicks, Serial: true}}
	for _, step := range moves {
		var err error
		w, err = w.take(step, modelFaults{})
		qt.New(t).Assert(err, qt.IsNil)
	}
	return w
}

// Guards against a lock that is given away because the answer to a renewal for less time is thought to have arrived.
func TestModelFindsLeadersThatGuessThatAnAnswerArrived(t *testing.T) {
	for name, given := range guessing {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := searchFrom(after(t, given.before), given.faults, 1_000_000)
			t.Log(result)
			qt.New(t).Assert(result.Violation, qt.IsNotNil)
		})
	}
	for name, before := range map[string][]move{"a lock that is held": held, "a renewal that was not heard": slices.Concat(held, unheard)} {
		t.Run(name+", no guess", func(t *testing.T) {
			t.Parallel()
			result := searchFrom(after(t, before), modelFaults{}, statesOf(60_000))
			t.Log(result)
			qt.New(t).Assert(result.Violation, qt.IsNil)
		})
	}
}

// drawnMoves is the length of histories that are drawn: longer than those that are searched.
const drawnMoves = 120

var drawnBudget = budget{Asks: 30, Beats: 20, Ends: 3, Changes: 2, Losses: 10, Shorts: 16, Hold: longHoldTicks, Ticks: 18, Serial: true}

// drawHistory makes moves by chance until one breaks a promise, and returns that.
func drawHistory(seed uint64, faults modelFaults) error {
	chance := rand.New(rand.NewPCG(seed, 0))
	w := world{Left: drawnBudget}
	for range drawnMoves {
		moves := w.moves()
		if len(moves) == 0 {
			return nil
		}
		var err error
		if w, err = w.take(moves[chance.IntN(len(moves))], faults); err != nil {
			return err
		}
	}
	return nil
}

// Guards against the same, in long histories of many calls, ends, losses and changes of leader.
func TestDrawnHistoriesFindLeadersThatGuess(t *testing.T) {
	find := func(faults modelFaults) (seed uint64, violation error) {
		for seed := range uint64(statesOf(1_500)) {
			if err := drawHistory(seed, faults); err != nil {
				return seed, err
			}
		}
		return 0, nil
	}
	for name, given := range guessing {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed, violation := find(given.faults)
			t.Log(fmt.Sprintf("seed %d: %v", seed, violation))
			qt.New(t).Assert(violation, qt.IsNotNil)
		})
	}
	t.Run("none that does not guess", func(t *testing.T) {
		t.Parallel()
		seed, violation := find(modelFaults{})
		qt.New(t).Assert(violation, qt.IsNil, qt.Commentf("seed %d", seed))
	})
}
