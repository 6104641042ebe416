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
	healthy voterState = iota
	lagging
	dead
	voterStateCount
)

// shutdownState is a state of the search: members that were told to end at the same moment, some of which have ended.
type shutdownState struct {
	voters  []voterState // that of the leader, member 1, is sound
	leaving []bool       // to end
	ended   []bool
}

// situation is what the leader knows when a member asks whether it may end: those that said so after it count as staying.
func (e shutdownState) situation(asker int, target int) Situation {
	s := situation(len(e.voters), 0)
	s.Target = target
	for i := range e.voters {
		if e.voters[i] == lagging {
			s.Status.Members[i].Match = 99
		}
		if e.voters[i] == dead || e.ended[i] {
			s.Status.Members[i].LastContact = 0
		}
		if i == asker || e.leaving[i] && i < asker {
			s.Leaving = append(s.Leaving, consensus.MemberID(i+1))
		}
	}
	return s
}

// healthyCount is how many voters still run, hold all that is committed and were not let go.
func (e shutdownState) healthyCount() int {
	count := 0
	for i, state := range e.voters {
		if state == healthy && !e.ended[i] {
			count++
		}
	}
	return count
}

// explore has members end in any order in which they are let go, until none is, and hands each last state to check.
func (e shutdownState) explore(target int, check func(shutdownState)) {
	progressed := false
	for i := range e.voters {
		if !e.leaving[i] || e.ended[i] || e.voters[i] == dead || HoldOf(e.situation(i, target), consensus.MemberID(i+1)) != HoldNone {
			continue
		}
		progressed = true
		next := e
		next.ended = append([]bool(nil), e.ended...)
		next.ended[i] = true
		next.explore(target, check)
	}
	if !progressed {
		check(e)
	}
}

// forEachState calls do with every state of count voters but the first, which is sound, and every choice of those that end.
func forEachState(count int, do func(shutdownState)) {
	states := 1
	for range count - 1 {
		states *= int(voterStateCount) * 2
	}
	for code := range states {
		e := shutdownState{voters: make([]voterState, count), leaving: make([]bool, count), ended: make([]bool, count)}
		for i := 1; i < count; i++ {
			e.voters[i] = voterState(code % int(voterStateCount))
			code /= int(voterStateCount)
			e.leaving[i] = code%2 == 1
			code /= 2
		}
		do(e)
	}
}

func TestConcurrentLeavesKeepAMajority(t *testing.T) {
	c := qt.New(t)
	for count := 2; count <= 5; count++ {
		searched := 0
		forEachState(count, func(e shutdownState) {
			// Given voters of which any are behind or dead, when any of them are told to end at the same moment,
			before := e.healthyCount()
			e.explore(max(3, count|1), func(last shutdownState) {
				searched++
				// then a majority of all voters that holds everything is left, or nobody was let go,
				comment := qt.Commentf("%d voters: %+v", count, last)
				if last.healthyCount() < before {
					c.Assert(last.healthyCount() > count/2, qt.IsTrue, comment)
				}
				// and as many end as a majority can spare.
				spare := max(before-(count/2+1), 0)
				ending := 0
				for i := range last.voters {
					if last.leaving[i] && last.voters[i] == healthy {
						ending++
					}
				}
				c.Assert(before-last.healthyCount(), qt.Equals, min(spare, ending), comment)
			})
		})
		c.Assert(searched > 0, qt.IsTrue)
		t.Logf("%d voters: %d ends", count, searched)
	}
}

func TestRecentlySilentVoterDoesNotCountTowardsLeave(t *testing.T) {
	c := qt.New(t)
	// Given three voters, one of which ended half a second ago so that its word is forgotten, when another asks, it goes on.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{3}
	s.Status.Members[1].LastContact = now - 500*time.Millisecond
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
}

func TestHoldReasons(t *testing.T) {
	c := qt.New(t)
	// Given three voters of which one ended, when a second asks, then it hears that no majority would be left.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{2, 3}
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
	// With a learner that lives it waits for its place to be taken, with a change under way for its commit.
	s = situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	c.Assert(HoldOf(s, 2), qt.Equals, HoldReplacement)
	s.Status.MembershipPending = true
	c.Assert(HoldOf(s, 2), qt.Equals, HoldChange)
	for hold := HoldNone; hold <= HoldMajority; hold++ {
		c.Assert(fmt.Sprint(hold), qt.Not(qt.Equals), "unknown")
	}
}
