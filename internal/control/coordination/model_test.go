package coordination_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"sumacloft/internal/control/coordination"
)

// The model is the State and the Ages of this package at two members that lead in turn, under all orders of a bounded number
// of events: two callers that ask for one lock, renew and end it, with answers and entries that are late or lost, a leader
// that rests for any time between its look and its entry, and changes of leader. What the log itself promises is taken for
// granted: an entry of a former term is not committed, and only the leader looks.
const (
	tickLength = 500 * time.Millisecond
	holdTicks  = 2
	shortTicks = 0 // of some calls: for less than a tick
	lastTick   = 6
	lockName   = "l"
)

var broken = errs.Class("broken promise")

// modelFaults break the model's leader on purpose.
type modelFaults struct {
	State coordination.Faults
	// UnloggedBeats has the leader renew from what it knows, without an entry.
	UnloggedBeats bool
	// SharedTimes has a new leader count holdings from the start, whenever it applied them.
	SharedTimes bool
	// Received has the leader take answers for received that may not have been: see guess.
	Received guess
}

// budget is how often things may still happen.
type budget struct {
	Asks, Beats, Ends, Changes, Losses int
	Shorts                             int // asks and renewals for less time than the others
	// Hold is the length of the others in ticks, and Ticks the end of the world; 0: holdTicks and lastTick.
	Hold, Ticks int
	// Serial has callers make one call at a time, wait for a second and go by the last good one. Others have any number of
	// calls under way, hear late answers too and go by the longest of all that they were given.
	Serial bool
}

// caller is one application.
type caller struct {
	Fence uint64
	Until int // tick until which it counts itself the holder
}

// message is a call that a leader has looked at and may propose at any time, or an answer on its way.
type message struct {
	Stage  string // "commit", "answer": what happens to it next
	Caller int
	Call   coordination.Call
	Sent   int // tick
	At     int // the member that looked
	Lapsed uint64
	Answer coordination.Answer
	Seen   uint64 // highest fence that the other had obtained when the call was sent
	Entry  int    // of an answer: the index of the call's entry, 0 if it has none
}

// entry is a committed call; When is the tick at which each member applied it, -1 before.
type entry struct {
	Message message
	When    [2]int
	Fate    fate // of its answer
}

type world struct {
	Tick, Term int
	Left       budget
	Callers    [2]caller
	Messages   []message
	Log        []entry
}

func (w world) leader() int { return w.Term % 2 }

// move is one thing that happens.
type move struct {
	kind string
	at   int // a caller, a message or a member
}

func (m move) String() string { return fmt.Sprint(m.kind, " ", m.at) }

func (w world) moves() []move {
	var list []move
	if w.Tick < orElse(w.Left.Ticks, lastTick) {
		list = append(list, move{"tick", 0})
	}
	if w.Left.Changes > 0 {
		list = append(list, move{"change leader", 0})
	}
	for i, c := range w.Callers {
		if w.Left.Serial && w.waits(i) {
			continue
		}
		holds := c.Until > w.Tick
		if w.Left.Asks > 0 {
			list = append(list, move{"ask", i})
		}
		if w.Left.Asks > 0 && w.Left.Shorts > 0 {
			list = append(list, move{"ask for less", i})
		}
		if holds && w.Left.Beats > 0 {
			list = append(list, move{"beat", i})
		}
		if holds && w.Left.Beats > 0 && w.Left.Shorts > 0 {
			list = append(list, move{"beat for less", i})
		}
		if holds && w.Left.Ends > 0 {
			list = append(list, move{"end", i})
		}
	}
	for i, m := range w.Messages {
		list = append(list, move{m.Stage, i})
		if w.Left.Losses > 0 {
			list = append(list, move{"lose", i})
		}
	}
	follower := 1 - w.leader()
	if slices.ContainsFunc(w.Log, func(e entry) bool { return e.When[follower] < 0 }) {
		list = append(list, move{"apply", follower})
	}
	return list
}

// orElse is a number, or another if it is 0.
func orElse(number, other int) int {
	if number != 0 {
		return number
	}
	return other
}

// member is the state of one member, with its times.
func (w world) member(number int, faults modelFaults) (*coordination.State, *coordination.Ages) {
	state, ages := coordination.NewBroken(faults.State), coordination.NewBrokenAges(faults.State)
	for index, e := range w.Log {
		if e.When[number] < 0 {
			break
		}
		applied := state.Apply(uint64(index+1), encoded(e.Message))
		at := time.Duration(e.When[number]) * tickLength
		if faults.SharedTimes {
			at = 0
		}
		ages.Note(at, state, applied)
	}
	return state, ages
}

func encoded(m message) []byte {
	command, err := m.Call.Encode(m.Lapsed)
	if err != nil {
		panic(err)
	}
	return command
}

func (w world) take(step move, faults modelFaults) (world, error) {
	next := w
	next.Messages, next.Log = slices.Clone(w.Messages), slices.Clone(w.Log)
	switch step.kind {
	case "tick":
		next.Tick++
	case "change leader":
		next.Left.Changes--
		next.Term++
		next.applyAll(next.leader())
	case "apply":
		next.applyOne(step.at)
	case "ask", "ask for less":
		next.Left.Asks--
		next.send(step.at, coordination.Call{Kind: coordination.StartLock}, next.hold(step), faults)
	case "beat", "beat for less":
		next.Left.Beats--
		next.send(step.at, coordination.Call{Kind: coordination.BeatLock, Fence: w.Callers[step.at].Fence}, next.hold(step), faults)
	case "end":
		next.Left.Ends--
		next.send(step.at, coordination.Call{Kind: coordination.FinishLock, Fence: w.Callers[step.at].Fence}, holdTicks, faults)
		next.Callers[step.at].Until = 0
	default:
		m := next.Messages[step.at]
		next.Messages = slices.Delete(next.Messages, step.at, step.at+1)
		if step.kind == "lose" {
			next.Left.Losses--
			next.settle(m, lost)
			return next, nil
		}
		return next, next.follow(m, faults)
	}
	return next, nil
}

// hold takes the ticks for which a move asks from the budget.
func (w *world) hold(step move) int {
	if !strings.HasSuffix(step.kind, "for less") {
		return orElse(w.Left.Hold, holdTicks)
	}
	w.Left.Shorts--
	return shortTicks
}

func (w *world) send(who int, call coordination.Call, ticks int, faults modelFaults) {
	call.Name, call.Owner, call.HoldMS = lockName, fmt.Sprint("owner-", who), uint64((time.Duration(ticks) * tickLength).Milliseconds())
	w.look(message{Stage: "commit", Caller: who, Call: call, Sent: w.Tick, At: w.leader(), Seen: w.Callers[1-who].Fence}, faults)
}

func (w *world) applyOne(number int) {
	for i := range w.Log {
		if w.Log[i].When[number] < 0 {
			w.Log[i].When[number] = w.Tick
			return
		}
	}
}

func (w *world) applyAll(number int) {
	for range w.Log {
		w.applyOne(number)
	}
}

// follow takes a message one step further. A member that no longer leads has nothing committed.
func (w *world) follow(m message, faults modelFaults) error {
	if m.Stage == "answer" && w.Left.Serial && w.late(m) {
		w.settle(m, lost)
		return nil
	}
	if m.Stage == "answer" {
		w.settle(m, heard)
		return w.hear(m)
	}
	if m.At == w.leader() {
		w.commit(m, faults)
	}
	return nil
}

func (w *world) look(m message, faults modelFaults) {
	state, ages := w.member(m.At, faults)
	now := time.Duration(w.Tick) * tickLength
	if m.Call.Kind == coordination.StartLock {
		lapsed, held := ages.Lapsed(now, state, lockName, m.Call.Owner)
		if held && faults.Received != nil {
			if sequence, gone := w.trusted(state, ages, faults.Received); gone {
				lapsed, held = sequence, false
			}
		}
		if held {
			return
		}
		m.Lapsed = lapsed
	}
	if holding, found := state.Holding(lockName); m.Call.Kind == coordination.BeatLock && faults.UnloggedBeats {
		if !found || holding.Fence != m.Call.Fence {
			return
		}
		m.Stage, m.Answer = "answer", coordination.Answer{Status: coordination.Done}
	}
	w.Messages = append(w.Messages, m)
}

func (w *world) commit(m message, faults modelFaults) {
	w.Log = append(w.Log, entry{Message: m, When: [2]int{-1, -1}})
	w.applyAll(w.leader())
	state := coordination.NewBroken(faults.State)
	for index, e := range w.Log {
		m.Answer = state.Apply(uint64(index+1), encoded(e.Message)).Answer
	}
	m.Stage, m.Entry = "answer", len(w.Log)
	w.Messages = append(w.Messages, m)
}

// hear has a caller take an answer.
func (w *world) hear(m message) error {
	if m.Answer.Status != coordination.Done || m.Call.Kind == coordination.FinishLock {
		return nil
	}
	own, other := &w.Callers[m.Caller], w.Callers[1-m.Caller]
	until := m.Sent + int(time.Duration(m.Call.HoldMS)*time.Millisecond/tickLength)
	if !w.Left.Serial {
		until = max(until, own.Until)
	}
	if m.Call.Kind == coordination.BeatLock {
		if own.Until > w.Tick && own.Fence == m.Call.Fence {
			own.Until = until
		}
	} else {
		if m.Answer.Fence <= m.Seen {
			return broken.New("fence %d to %d after %d to the other", m.Answer.Fence, m.Caller, m.Seen)
		}
		own.Fence, own.Until = m.Answer.Fence, until
	}
	if own.Until > w.Tick && other.Until > w.Tick {
		return broken.New("both hold the lock at tick %d, until %d and %d", w.Tick, own.Until, other.Until)
	}
	return nil
}

func TestNoOrderOfEventsGivesALockToTwo(t *testing.T) {
	for name, left := range map[string]budget{
		"two ask, a renewal, another leader": {Asks: 2, Beats: 1, Changes: 1},
		"three ask, another leader":          {Asks: 3, Changes: 1},
		"ends, a lost answer":                {Asks: 3, Ends: 1, Losses: 1},
		"two changes of leader":              {Asks: 2, Changes: 2, Losses: 1},
		"a renewal for less, a lost answer":  {Asks: 2, Beats: 1, Losses: 1, Shorts: 1},
		"the holder asks again for less":     {Asks: 3, Losses: 1, Shorts: 1},
		"two renewals, another leader":       {Asks: 2, Beats: 2, Shorts: 1, Changes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := search(modelFaults{}, left, statesOf(60_000))
			t.Log(result)
			qt.New(t).Assert(result.Violation, qt.IsNil)
		})
	}
}

func TestModelFindsBrokenLeaders(t *testing.T) {
	for name, given := range map[string]struct {
		faults modelFaults
		left   budget
	}{
		"a lapse of any holding":        {modelFaults{State: coordination.Faults{GrantLapsed: true}}, budget{Asks: 3}},
		"renewals that are not logged":  {modelFaults{UnloggedBeats: true}, budget{Asks: 2, Beats: 2}},
		"times of another's clock":      {modelFaults{SharedTimes: true}, budget{Asks: 2}},
		"fences that are counted anew":  {modelFaults{State: coordination.Faults{FencePerLock: true}}, budget{Asks: 2, Ends: 1}},
		"a renewal that shortens":       {modelFaults{State: coordination.Faults{ShortenHolds: true}}, budget{Asks: 2, Beats: 1, Shorts: 1}},
		"a second ask that shortens":    {modelFaults{State: coordination.Faults{ShortenHolds: true}}, budget{Asks: 3, Shorts: 1}},
		"a holder that keeps its fence": {modelFaults{State: coordination.Faults{KeepFence: true}}, budget{Asks: 3, Ends: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := search(given.faults, given.left, 1_000_000)
			t.Log(result)
			qt.New(t).Assert(result.Violation, qt.IsNotNil)
		})
	}
}
