// Package reconfigure decides how the membership of a partition follows the machines: members that lost their disk or are
// gone for good make room for those that join. One step at a time; each leaves a majority that can carry the next.
package reconfigure

import (
	"cmp"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
)

const (
	// voterSilenceTimeout is how long a voter may be silent before a learner that is up to date takes its place.
	voterSilenceTimeout = 2 * time.Second
	// learnerSilenceTimeout is how long a learner may be silent before it is dropped.
	learnerSilenceTimeout = 10 * time.Second
	// aliveTimeout is how long ago a member that lives may have answered.
	aliveTimeout = time.Second
	// leaveAliveTimeout is the same where another member asks whether it may end. It is shorter than the time for which the word
	// that a member ends is remembered: one that ended must not count as staying once its word is forgotten.
	leaveAliveTimeout = 400 * time.Millisecond
)

// Situation is what the leader of a partition knows.
type Situation struct {
	Now     time.Duration
	Status  consensus.Status   // the leader's own
	Joining []consensus.Member // that asked to join lately
	Leaving []consensus.MemberID
	// LeadingFor is for how long this member has led: right after its election nobody has answered it yet.
	LeadingFor time.Duration
	Target     int // voters wanted
	// RecentCommit is the commit index as it was a moment ago: who counts as a voter holds all up to it.
	RecentCommit consensus.Index
	// aliveTimeout is how long ago a member that lives may have aliveTimeout; 0: answerLimit.
	aliveTimeout time.Duration
	// DropFirst drops a leaving or silent voter before another votes and whoever is left, for the tests of the tests.
	DropFirst bool
}

// Next is the membership to propose, or false if nothing is to be changed.
func Next(s Situation) (consensus.Membership, bool) {
	if s.Status.MembershipPending || len(s.Status.Membership.Voters) == 0 {
		return consensus.Membership{}, false
	}
	for _, step := range []func(Situation) (consensus.Membership, bool){dropReplaced, addLearner, promote, dropSurplus, replaceSilent, dropSilentLearner} {
		if membership, change := step(s); change {
			return membership, true
		}
	}
	return consensus.Membership{}, false
}

// dropReplaced drops a member whose machine asks to join under another identity: its disk is lost.
func dropReplaced(s Situation) (consensus.Membership, bool) {
	for _, joiner := range s.Joining {
		for _, old := range allMembers(s.Status.Membership) {
			if old.Address == joiner.Address && old.ID != joiner.ID && old.ID != s.Status.Self {
				return without(s.Status.Membership, old.ID), true
			}
		}
	}
	return consensus.Membership{}, false
}

// addLearner takes in as a learner who asks to join.
func addLearner(s Situation) (consensus.Membership, bool) {
	for _, joiner := range s.Joining {
		if !contains(s.Status.Membership, joiner.ID) {
			next := clone(s.Status.Membership)
			next.Learners = append(next.Learners, joiner)
			return next, true
		}
	}
	return consensus.Membership{}, false
}

// promote makes a learner that is up to date a voter while too few stay.
func promote(s Situation) (consensus.Membership, bool) {
	if s.stayingVoters() >= s.Target {
		return consensus.Membership{}, false
	}
	for _, learner := range s.Status.Membership.Learners {
		if s.ready(learner.ID) {
			next := without(s.Status.Membership, learner.ID)
			next.Voters = append(next.Voters, learner)
			return next, true
		}
	}
	return consensus.Membership{}, false
}

// dropSurplus drops a voter that is leaving or silent while there are more than are wanted.
func dropSurplus(s Situation) (consensus.Membership, bool) {
	voters := s.Status.Membership.Voters
	if len(voters) <= s.Target {
		return consensus.Membership{}, false
	}
	for _, voter := range voters {
		removable := slices.Contains(s.Leaving, voter.ID) || s.silent(voter.ID, voterSilenceTimeout)
		if removable && voter.ID != s.Status.Self && s.canLose(voter.ID) {
			return without(s.Status.Membership, voter.ID), true
		}
	}
	return consensus.Membership{}, false
}

// replaceSilent drops a voter that is silent once a learner can take its place.
func replaceSilent(s Situation) (consensus.Membership, bool) {
	if !slices.ContainsFunc(s.Status.Membership.Learners, func(m consensus.Member) bool { return s.ready(m.ID) }) {
		return consensus.Membership{}, false
	}
	for _, voter := range s.Status.Membership.Voters {
		removable := s.silent(voter.ID, voterSilenceTimeout) || s.DropFirst && slices.Contains(s.Leaving, voter.ID)
		if removable && voter.ID != s.Status.Self && s.canLose(voter.ID) {
			return without(s.Status.Membership, voter.ID), true
		}
	}
	return consensus.Membership{}, false
}

// HoldOf says why a member that was told to end has to go on. It is Free once it votes no more, or once without it a
// majority of all voters lives, stays and holds all that is committed, and nobody is about to take its place.
func HoldOf(s Situation, id consensus.MemberID) Hold {
	switch {
	case s.Status.MembershipPending:
		return HoldChange
	case !s.isVoter(id):
		return HoldNone
	case len(s.Status.Membership.Voters) > s.Target || s.replacementPending():
		return HoldReplacement
	}
	s.RecentCommit = s.Status.Commit
	s.aliveTimeout = leaveAliveTimeout
	if s.DropFirst || s.healthyExcept(id) > len(s.Status.Membership.Voters)/2 {
		return HoldNone
	}
	return HoldMajority
}

// isVoter tells whether a member is a voter.
func (s Situation) isVoter(id consensus.MemberID) bool {
	return slices.ContainsFunc(s.Status.Membership.Voters, func(m consensus.Member) bool { return m.ID == id })
}

// replacementPending tells whether a machine that lives is on its way to become a voter.
func (s Situation) replacementPending() bool {
	return slices.ContainsFunc(s.Joining, func(m consensus.Member) bool { return !s.isVoter(m.ID) }) ||
		slices.ContainsFunc(s.Status.Membership.Learners, func(m consensus.Member) bool { return s.alive(m.ID) })
}

// canLose tells whether without a member a majority of the voters that are left lives, stays and holds what is committed.
func (s Situation) canLose(excluded consensus.MemberID) bool {
	return s.DropFirst || s.healthyExcept(excluded) > (len(s.Status.Membership.Voters)-1)/2
}

// healthyExcept is how many voters but one live, stay and hold what is committed.
func (s Situation) healthyExcept(id consensus.MemberID) int {
	healthy := 0
	for _, voter := range s.Status.Membership.Voters {
		if voter.ID != id && (voter.ID == s.Status.Self || s.ready(voter.ID)) {
			healthy++
		}
	}
	return healthy
}

// stayingVoters is how many voters are not about to end. One that is silent may come back.
func (s Situation) stayingVoters() int {
	count := 0
	for _, voter := range s.Status.Membership.Voters {
		if s.DropFirst || !slices.Contains(s.Leaving, voter.ID) {
			count++
		}
	}
	return count
}

// dropSilentLearner drops a learner that is gone.
func dropSilentLearner(s Situation) (consensus.Membership, bool) {
	for _, learner := range s.Status.Membership.Learners {
		if s.silent(learner.ID, learnerSilenceTimeout) {
			return without(s.Status.Membership, learner.ID), true
		}
	}
	return consensus.Membership{}, false
}

// silent tells whether a member has not answered for longer than the limit.
func (s Situation) silent(id consensus.MemberID, limit time.Duration) bool {
	if s.LeadingFor <= limit {
		return false
	}
	for _, member := range s.Status.Members {
		if member.Member.ID == id {
			return !member.Contacted || s.Now-member.LastContact > limit
		}
	}
	return false
}

// ready tells whether a member holds all that was committed a moment ago, lives and stays.
func (s Situation) ready(id consensus.MemberID) bool {
	if slices.Contains(s.Leaving, id) || !s.alive(id) {
		return false
	}
	for _, member := range s.Status.Members {
		if member.Member.ID == id {
			return member.Match > 0 && member.Match >= s.RecentCommit
		}
	}
	return false
}

// alive tells whether a member has answered a moment ago.
func (s Situation) alive(id consensus.MemberID) bool {
	for _, member := range s.Status.Members {
		if member.Member.ID == id {
			return member.Contacted && s.Now-member.LastContact <= cmp.Or(s.aliveTimeout, aliveTimeout)
		}
	}
	return false
}

func allMembers(membership consensus.Membership) []consensus.Member {
	return slices.Concat(membership.Voters, membership.Learners)
}

func contains(membership consensus.Membership, id consensus.MemberID) bool {
	return slices.ContainsFunc(allMembers(membership), func(m consensus.Member) bool { return m.ID == id })
}

func clone(membership consensus.Membership) consensus.Membership {
	return consensus.Membership{Voters: slices.Clone(membership.Voters), Learners: slices.Clone(membership.Learners)}
}

// without is a membership less one member.
func without(membership consensus.Membership, id consensus.MemberID) consensus.Membership {
	matches := func(m consensus.Member) bool { return m.ID == id }
	next := clone(membership)
	next.Voters = slices.DeleteFunc(next.Voters, matches)
	next.Learners = slices.DeleteFunc(next.Learners, matches)
	return next
}
