package reconfigure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/control/consensus"
)

const now = time.Minute

func member(id int) consensus.Member {
	return consensus.Member{ID: consensus.MemberID(id), Address: "10.0.0." + string(rune('0'+id)), Node: "n"}
}

// mayLeave reports whether a member can stop.
func mayLeave(s Situation, id consensus.MemberID) bool { return HoldOf(s, id) == HoldNone }

// situation is the view of leader 1. Members 1 to voters are voters, the following ones learners. All are up to date and have
// just answered.
func situation(voters, learners int) Situation {
	s := Situation{Now: now, LeadingFor: now, Target: 3, RecentCommit: 100}
	s.Status.Self = 1
	s.Status.Commit = 100
	for id := 1; id <= voters+learners; id++ {
		if id <= voters {
			s.Status.Membership.Voters = append(s.Status.Membership.Voters, member(id))
		} else {
			s.Status.Membership.Learners = append(s.Status.Membership.Learners, member(id))
		}
		s.Status.Members = append(s.Status.Members, consensus.MemberStatus{
			Member: member(id), Voter: id <= voters, Match: 100, Contacted: true, LastContact: now})
	}
	return s
}

func ids(members []consensus.Member) (list []int) {
	for _, m := range members {
		list = append(list, int(m.ID))
	}
	return list
}

func TestStableMembershipIsUnchanged(t *testing.T) {
	_, change := Next(situation(3, 1))
	qt.New(t).Assert(change, qt.IsFalse)
}

func TestMachineWithLostDiskReplacesItsOldMember(t *testing.T) {
	c := qt.New(t)
	s := situation(3, 0)
	// Given that the machine of voter 3 asks to join under a new identity,
	back := member(9)
	back.Address = member(3).Address
	s.Joining = []consensus.Member{back}
	// then its old member is removed first,
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 2})
	// and the new one is added as a learner.
	s.Status.Membership = next
	next, change = Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Learners), qt.DeepEquals, []int{9})
}

func TestUpToDateLearnerIsPromoted(t *testing.T) {
	c := qt.New(t)
	s := situation(2, 1)
	s.Status.Members[2].Match = 99
	_, change := Next(s)
	c.Assert(change, qt.IsFalse)
	s.Status.Members[2].Match = 100
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 2, 3})
}

func TestLearnerWithoutLogIsNotPromoted(t *testing.T) {
	c := qt.New(t)
	// Given a short log and a learner that answers but has none of it,
	s := situation(2, 1)
	s.Status.Commit = 1
	s.RecentCommit = 0
	s.Status.Members[2].Match = 0
	// then it stays a learner,
	_, change := Next(s)
	c.Assert(change, qt.IsFalse)
	// and becomes a voter once it has an entry.
	s.Status.Members[2].Match = 1
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 2, 3})
}

func TestSilentVoterIsReplacedOnlyByReadyLearner(t *testing.T) {
	c := qt.New(t)
	s := situation(3, 1)
	s.Status.Members[1].LastContact = now - voterSilenceTimeout - 1
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 3})
	// Without a learner it stays, since it may come back.
	s = situation(3, 0)
	s.Status.Members[1].LastContact = now - voterSilenceTimeout - 1
	_, change = Next(s)
	c.Assert(change, qt.IsFalse)
	// A newly elected leader does not treat members as silent yet.
	s = situation(3, 1)
	s.Status.Members[1].Contacted = false
	s.LeadingFor = voterSilenceTimeout
	_, change = Next(s)
	c.Assert(change, qt.IsFalse)
}

func TestLeavingVoterIsReplacedBeforeItIsDropped(t *testing.T) {
	c := qt.New(t)
	// Given a voter that is leaving and a learner that can replace it,
	s := situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	c.Assert(mayLeave(s, 2), qt.IsFalse)
	// then the learner is promoted first, so that fault tolerance does not drop in between,
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 2, 3, 4})
	s.Status.Membership = next
	c.Assert(mayLeave(s, 2), qt.IsFalse)
	// and the leaving voter is removed afterwards. Only then can it stop.
	next, change = Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 3, 4})
	s.Status.Membership = next
	c.Assert(mayLeave(s, 2), qt.IsTrue)
	_, change = Next(s)
	c.Assert(change, qt.IsFalse)
}

func TestVoterIsDroppedOnlyWithHealthyMajority(t *testing.T) {
	c := qt.New(t)
	// Given a silent voter, a leaving voter and a learner that can replace one of them,
	s := situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	s.Status.Members[2].LastContact = now - voterSilenceTimeout - 1
	// then the learner is promoted. Neither other voter is removed while the rest would have no healthy majority.
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 2, 3, 4})
	s.Status.Membership = next
	s.Status.Members[3].Match = 0
	_, change = Next(s)
	c.Assert(change, qt.IsFalse)
	c.Assert(mayLeave(s, 2), qt.IsFalse)
	// With the DropFirst fault the leaving voter is removed, and a silent one remains.
	s = situation(3, 1)
	s.Leaving = []consensus.MemberID{2}
	s.Status.Members[2].LastContact = now - voterSilenceTimeout - 1
	s.DropFirst = true
	next, change = Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 3})
}

func TestMemberLeavesOnlyOnceOthersAreCaughtUp(t *testing.T) {
	c := qt.New(t)
	// A leaving member cannot stop while another voter lacks an entry.
	s := situation(3, 0)
	s.Leaving = []consensus.MemberID{3}
	s.Status.Members[1].Match = 99
	c.Assert(mayLeave(s, 3), qt.IsFalse)
	// It can stop once the other voter has the entry,
	s.Status.Members[1].Match = 100
	c.Assert(mayLeave(s, 3), qt.IsTrue)
	// unless the other is silent or leaving too, or a membership change is pending.
	s.Status.Members[1].LastContact = now - aliveTimeout - 1
	c.Assert(mayLeave(s, 3), qt.IsFalse)
	s = situation(3, 0)
	s.Leaving = []consensus.MemberID{2, 3}
	c.Assert(mayLeave(s, 3), qt.IsFalse)
	s = situation(3, 0)
	s.Status.MembershipPending = true
	c.Assert(mayLeave(s, 3), qt.IsFalse)
	// With five voters, one may be silent.
	s = situation(5, 0)
	s.Target = 5
	s.Status.Members[1].LastContact = now - time.Minute
	c.Assert(mayLeave(s, 3), qt.IsTrue)
}

func TestSurplusSilentVoterIsDropped(t *testing.T) {
	c := qt.New(t)
	// Given four voters, one of which stopped before it was removed,
	s := situation(4, 0)
	s.Status.Members[1].LastContact = now - voterSilenceTimeout - 1
	// then it is removed, although there is no learner.
	next, change := Next(s)
	c.Assert(change, qt.IsTrue)
	c.Assert(ids(next.Voters), qt.DeepEquals, []int{1, 3, 4})
	// A voter that is back stays.
	s.Status.Members[1].LastContact = now
	_, change = Next(s)
	c.Assert(change, qt.IsFalse)
}

func TestNoChangeWhileOneIsPending(t *testing.T) {
	s := situation(2, 1)
	s.Status.MembershipPending = true
	_, change := Next(s)
	qt.New(t).Assert(change, qt.IsFalse)
}

// In any situation a step changes one member and keeps the leader as a voter.
func TestEachStepChangesOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := situation(rapid.IntRange(1, 5).Draw(t, "voters"), rapid.IntRange(0, 3).Draw(t, "learners"))
		s.Target = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "target")
		for i := range s.Status.Members {
			s.Status.Members[i].LastContact = now - time.Duration(rapid.IntRange(0, 20).Draw(t, "silent"))*time.Second
			s.Status.Members[i].Match = consensus.Index(rapid.IntRange(0, 100).Draw(t, "match"))
		}
		for range rapid.IntRange(0, 2).Draw(t, "joining") {
			joiner := member(rapid.IntRange(2, 9).Draw(t, "joiner"))
			joiner.Address = member(rapid.IntRange(2, 9).Draw(t, "address")).Address
			s.Joining = append(s.Joining, joiner)
		}
		next, change := Next(s)
		if !change {
			return
		}
		before, after := votingByID(s.Status.Membership), votingByID(next)
		differences := 0
		for id, voter := range after {
			if wasVoter, found := before[id]; !found || wasVoter != voter {
				differences++
			}
		}
		for id := range before {
			if _, found := after[id]; !found {
				differences++
			}
		}
		if differences != 1 {
			t.Fatalf("%v becomes %v in one step", before, after)
		}
		if voter, found := after[1]; !found || !voter {
			t.Fatalf("the leader is no longer a voter: %v", after)
		}
	})
}

// votingByID maps each member to whether it is a voter.
func votingByID(membership consensus.Membership) map[int]bool {
	all := map[int]bool{}
	for _, id := range ids(membership.Voters) {
		all[id] = true
	}
	for _, id := range ids(membership.Learners) {
		all[id] = false
	}
	return all
}
