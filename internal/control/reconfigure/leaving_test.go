package reconfigure

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/consensus"
)

// voterState is how a voter stands in the search of endings.
type voterState uint8

const (
	sound voterState = iota
	lagging
	dead
	stateCount
)

// endings is a state of the search: members that were told to end at the same moment, some of which have ended.
type endings struct {
	voters []voterState // that of the leader, member 1, is sound
	told   []bool       // to end
	ended  []bool
}

// situation is what the leader knows when a member asks whether it may end: those that said so after it count as staying.
func (e endings) situation(asks int, target int) Situation {
	s := situation(len(e.voters), 0)
	s.Target = target
	for i := range e.voters {
		if e.voters[i] == lagging {
			s.Status.Members[i].Match = 99
		}
		if e.voters[i] == dead || e.ended[i] {
			s.Status.Members[i].LastContact = 0
		}
		if i == asks || e.told[i] && i < asks {
			s.Leaving = append(s.Leaving, consensus.MemberID(i+1))
		}
	}
	return s
}

// left is how many voters still run, hold all that is committed and were not let go.
func (e endings) left() int {
	count := 0
	for i, state := range e.voters {
		if state == sound && !e.ended[i] {
			count++
		}
	}
	return count
}

// settle has members end in any order in which they are let go, until none is, and hands each last state to check.
func (e endings) settle(target int, check func(endings)) {
	moved := false
	for i := range e.voters {
		if !e.told[i] || e.ended[i] || e.voters[i] == dead || HoldOf(e.situation(i, target), consensus.MemberID(i+1)) != Free {
			continue
		}
		moved = true
		next := e
		next.ended = append([]bool(nil), e.ended...)
		next.ended[i] = true
		next.settle(target, check)
	}
	if !moved {
		check(e)
	}
}

// forEach calls do with every state of count voters but the first, which is sound, and every choice of those that end.
func forEach(count int, do func(endings)) {
	states := 1
	for range count - 1 {
		states *= int(stateCount) * 2
	}
	for code := range states {
		e := endings{voters: make([]voterState, count), told: make([]bool, count), ended: make([]bool, count)}
		for i := 1; i < count; i++ {
			e.voters[i] = voterState(code % int(stateCount))
			code /= int(stateCount)
			e.told[i] = code%2 == 1
			code /= 2
		}
		do(e)
	}
}

func TestMembersThatEndAtOnceLeaveAMajority(t *testing.T) {
	c := qt.New(t)
	for count := 2; count <= 5; count++ {
		searched := 0
		forEach(count, func(e endings) {
			// Given voters of which any are behind or dead, when any of them are told to end at the same moment,
			before := e.left()
			e.settle(max(3, count|1), func(last endings) {
				searched++
				// then a majority of all voters that holds everything is left, or nobody was let go,
				what := qt.Commentf("%d voters: %+v", count, last)
				if last.left() < before {
					c.Assert(last.left() > count/2, qt.IsTrue, what)
				}
				// and as many end as a majority can spare.
				spare := max(before-(count/2+1), 0)
				ending := 0
				for i := range last.voters {
					if last.told[i] && last.voters[i] == sound {
						ending++
					}
				}
				c.Assert(before-last.left(), qt.Equals, min(spare, ending), what)
			})
		})
		c.Assert(searched > 0, qt.IsTrue)
		t.Logf("%d voters: %d ends", count, searched)
	}
}

func TestMemberThatFellSilentAMomentAgoIsNotCountedOn(t *testing.T) {
	c := qt.New(t)
	// Given three voters, one of which ended half a second ago so that its word is forgotten, when another asks, it goes on.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{3}
	s.Status.Members[1].LastContact = now - 500*time.Millisecond
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
}

func TestHoldsSayWhatIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	// Given three voters of which one ended, when a second asks, then it hears that no majority would be left.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{2, 3}
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
	// With a learner that lives it waits for its place to be taken, with a change under way for its commit.
	s = situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	c.Assert(HoldOf(s, 2), qt.Equals, HoldPlace)
	s.Status.MembershipPending = true
	c.Assert(HoldOf(s, 2), qt.Equals, HoldChange)
	for hold := Free; hold <= HoldMajority; hold++ {
		c.Assert(fmt.Sprint(hold), qt.Not(qt.Equals), "unknown")
	}
}
