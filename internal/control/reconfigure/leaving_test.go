package reconfigure

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/consensus"
)

// voterState is the health of a voter in the exhaustive search of shutdown orders.
type voterState uint8

const (
	healthy voterState = iota
	lagging
	dead
	voterStateCount
)

// shutdownState is a state of the search. Several members were asked to stop at the same time, and some of them have stopped.
type shutdownState struct {
	voters  []voterState // the leader, member 1, is healthy
	leaving []bool       // asked to stop
	ended   []bool
}

// situation is the view of the leader when asker asks whether it can stop. The leave requests of later members have not
// arrived yet.
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

// healthyCount counts the voters that are running and up to date.
func (e shutdownState) healthyCount() int {
	count := 0
	for i, state := range e.voters {
		if state == healthy && !e.ended[i] {
			count++
		}
	}
	return count
}

// explore stops members in every order that HoldOf permits and passes each final state to check.
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

// forEachState calls do with every combination of voter states and leave requests. The first voter is always healthy and stays.
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
			// Given any voters that lag or are dead, when any set of voters is asked to stop at the same time,
			before := e.healthyCount()
			e.explore(max(3, count|1), func(last shutdownState) {
				searched++
				// then a majority of all voters stays healthy, or no voter has stopped,
				comment := qt.Commentf("%d voters: %+v", count, last)
				if last.healthyCount() < before {
					c.Assert(last.healthyCount() > count/2, qt.IsTrue, comment)
				}
				// and as many voters stop as the majority allows.
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
		t.Logf("%d voters: %d final states", count, searched)
	}
}

func TestRecentlySilentVoterDoesNotCountTowardsLeave(t *testing.T) {
	c := qt.New(t)
	// Given three voters, one of which stopped half a second ago and whose leave request is forgotten, when another voter asks,
	// then it must keep running.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{3}
	s.Status.Members[1].LastContact = now - 500*time.Millisecond
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
}

func TestHoldReasons(t *testing.T) {
	c := qt.New(t)
	// Given three voters of which one is leaving, when a second asks, then it is held for the majority.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{2, 3}
	c.Assert(HoldOf(s, 3), qt.Equals, HoldMajority)
	// With a live learner it waits for its replacement, and with a pending change for the commit.
	s = situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	c.Assert(HoldOf(s, 2), qt.Equals, HoldReplacement)
	s.Status.MembershipPending = true
	c.Assert(HoldOf(s, 2), qt.Equals, HoldChange)
	for hold := HoldNone; hold <= HoldMajority; hold++ {
		c.Assert(fmt.Sprint(hold), qt.Not(qt.Equals), "unknown")
	}
}
