// Package reconfigure decides membership changes of a partition. Members that lost their disk or failed permanently are
// replaced by machines that join. Each change adds, promotes or removes one member and leaves a majority that can commit
// the next change.
package reconfigure

import (
	"cmp"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
)

const (
	// voterSilenceTimeout is how long a voter may be silent before an up-to-date learner replaces it.
	voterSilenceTimeout = 2 * time.Second
	// learnerSilenceTimeout is how long a learner may be silent before it is removed.
	learnerSilenceTimeout = 10 * time.Second
	// aliveTimeout is the age of the last contact up to which a member counts as alive.
	aliveTimeout = time.Second
	// leaveAliveTimeout replaces aliveTimeout when a member asks whether it can stop. It is shorter than the time for which the
	// leader remembers leave requests. Otherwise a member that has stopped would count as alive after its request is forgotten.
	leaveAliveTimeout = 400 * time.Millisecond
)

// Situation is the state of a partition as its leader knows it.
type Situation struct {
	Now     time.Duration
	Status  consensus.Status   // status of the leader
	Joining []consensus.Member // machines that recently asked to join
	Leaving []consensus.MemberID
	// LeadingFor is the time since this member was elected. Right after the election no member has answered it yet.
	LeadingFor time.Duration
	Target     int // target number of voters
	// RecentCommit is a slightly older commit index. A member counts as up to date if its log matches up to this index.
	RecentCommit consensus.Index
	// aliveTimeout overrides the constant aliveTimeout unless it is 0.
	aliveTimeout time.Duration
	// DropFirst is an injected fault. It removes a leaving or silent voter before its replacement is promoted, and without
	// checking that the remaining voters form a majority. Tests use it to check that they detect the fault.
	DropFirst bool
}

// Next returns the membership to propose, or false if no change is needed.
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

// dropReplaced removes a member whose machine asks to join under a new identity, because it has lost its disk.
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

// addLearner adds a machine that asks to join as a learner.
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

// promote makes an up-to-date learner a voter while too few voters stay.
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

// dropSurplus removes a leaving or silent voter while there are more voters than the target.
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

// replaceSilent removes a silent voter once a learner is ready to replace it.
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

// HoldOf returns the reason why a member that is shutting down must keep running. It returns HoldNone if the member is not a
// voter. It also returns HoldNone if no replacement is pending and a majority of all voters, not counting the member, is
// alive, not leaving and up to date.
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

// isVoter reports whether a member is a voter.
func (s Situation) isVoter(id consensus.MemberID) bool {
	return slices.ContainsFunc(s.Status.Membership.Voters, func(m consensus.Member) bool { return m.ID == id })
}

// replacementPending reports whether a joining machine or a live learner is about to become a voter.
func (s Situation) replacementPending() bool {
	return slices.ContainsFunc(s.Joining, func(m consensus.Member) bool { return !s.isVoter(m.ID) }) ||
		slices.ContainsFunc(s.Status.Membership.Learners, func(m consensus.Member) bool { return s.alive(m.ID) })
}

// canLose reports whether a majority of the remaining voters is healthy if one member is removed.
func (s Situation) canLose(excluded consensus.MemberID) bool {
	return s.DropFirst || s.healthyExcept(excluded) > (len(s.Status.Membership.Voters)-1)/2
}

// healthyExcept counts the voters other than id that are alive, not leaving and up to date.
func (s Situation) healthyExcept(id consensus.MemberID) int {
	healthy := 0
	for _, voter := range s.Status.Membership.Voters {
		if voter.ID != id && (voter.ID == s.Status.Self || s.ready(voter.ID)) {
			healthy++
		}
	}
	return healthy
}

// stayingVoters counts the voters that are not leaving. Silent voters count, since they may come back.
func (s Situation) stayingVoters() int {
	count := 0
	for _, voter := range s.Status.Membership.Voters {
		if s.DropFirst || !slices.Contains(s.Leaving, voter.ID) {
			count++
		}
	}
	return count
}

// dropSilentLearner removes a learner that has been silent for learnerSilenceTimeout.
func dropSilentLearner(s Situation) (consensus.Membership, bool) {
	for _, learner := range s.Status.Membership.Learners {
		if s.silent(learner.ID, learnerSilenceTimeout) {
			return without(s.Status.Membership, learner.ID), true
		}
	}
	return consensus.Membership{}, false
}

// silent reports whether a member has not answered for longer than the limit. It is false until this member has led for that
// long.
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

// ready reports whether a member is alive, not leaving and has the log up to RecentCommit.
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

// alive reports whether a member answered within the alive timeout.
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

// without returns a copy of a membership with one member removed.
func without(membership consensus.Membership, id consensus.MemberID) consensus.Membership {
	matches := func(m consensus.Member) bool { return m.ID == id }
	next := clone(membership)
	next.Voters = slices.DeleteFunc(next.Voters, matches)
	next.Learners = slices.DeleteFunc(next.Learners, matches)
	return next
}
