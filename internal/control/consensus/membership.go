package consensus

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// all returns voters and learners.
func (membership Membership) all() []Member {
	members := make([]Member, 0, len(membership.Voters)+len(membership.Learners))
	members = append(members, membership.Voters...)
	return append(members, membership.Learners...)
}

// find returns a member by its identity.
func (membership Membership) find(id MemberID) (Member, bool) {
	for _, member := range membership.all() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// contains reports whether there is a member of that identity.
func (membership Membership) contains(id MemberID) bool {
	_, found := membership.find(id)
	return found
}

// isVoter reports whether a member votes.
func (membership Membership) isVoter(id MemberID) bool {
	for _, voter := range membership.Voters {
		if voter.ID == id {
			return true
		}
	}
	return false
}

// quorum returns the size of a majority of the voters.
func (membership Membership) quorum() int {
	return len(membership.Voters)/2 + 1
}

// quorum returns the size of a majority of a membership's voters.
func (node *Node) quorum(membership Membership) int {
	if node.config.faults.countHalf {
		return max(len(membership.Voters)/2, 1)
	}
	return membership.quorum()
}

// place is what a membership says of one member.
type place struct {
	member Member
	voter  bool
}

// places returns the members by identity, or why the membership is invalid.
func (membership Membership) places() (map[MemberID]place, error) {
	if len(membership.Voters) == 0 {
		return nil, ErrMembershipInvalid{Reason: "nobody votes"}
	}
	places := map[MemberID]place{}
	for position, member := range membership.all() {
		if member.ID == 0 {
			return nil, ErrMembershipInvalid{Reason: "a member has no identity"}
		}
		if _, taken := places[member.ID]; taken {
			return nil, ErrMembershipInvalid{Reason: fmt.Sprintf("member %d is there twice", member.ID)}
		}
		places[member.ID] = place{member: member, voter: position < len(membership.Voters)}
	}
	return places, nil
}

// checkChange returns an error unless a membership differs from the current one in
// one member.
func checkChange(current, wanted Membership) error {
	after, err := wanted.places()
	if err != nil {
		return err
	}
	before, err := current.places()
	if err != nil {
		return err
	}
	changes := 0
	for id, place := range after {
		if before[id] != place {
			changes++
		}
	}
	for id := range before {
		if _, stays := after[id]; !stays {
			changes++
		}
	}
	if changes != 1 {
		return ErrMembershipInvalid{Reason: fmt.Sprintf("it differs in %d members from the current one", changes)}
	}
	return nil
}

// membershipVersion is a membership and the entry it came with.
type membershipVersion struct {
	index      Index
	membership Membership
}

// membershipHistory holds the membership at the snapshot and the later ones in
// the log. The latest is in force, committed or not.
type membershipHistory struct {
	versions []membershipVersion
}

// reset begins anew with one membership.
func (history *membershipHistory) reset(index Index, membership Membership) {
	history.versions = []membershipVersion{{index: index, membership: membership}}
}

// latest returns the membership in force and its place.
func (history *membershipHistory) latest() membershipVersion {
	return history.versions[len(history.versions)-1]
}

// current returns the membership in force.
func (history *membershipHistory) current() Membership {
	return history.latest().membership
}

// at returns the membership in force at an index.
func (history *membershipHistory) at(index Index) Membership {
	found := history.versions[0].membership
	for _, version := range history.versions {
		if version.index <= index {
			found = version.membership
		}
	}
	return found
}

// append takes in the memberships among entries.
func (history *membershipHistory) append(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := decodeMembership(entry)
		if err != nil {
			return err
		}
		history.versions = append(history.versions, membershipVersion{index: entry.Index, membership: membership})
	}
	return nil
}

// truncate drops the memberships of entries from an index on.
func (history *membershipHistory) truncate(from Index) {
	for len(history.versions) > 1 && history.latest().index >= from {
		history.versions = history.versions[:len(history.versions)-1]
	}
}

// compact drops what was in force before an index only.
func (history *membershipHistory) compact(index Index) {
	for len(history.versions) > 1 && history.versions[1].index <= index {
		history.versions = history.versions[1:]
	}
}

// decodeMembership returns the membership an entry holds.
func decodeMembership(entry Entry) (Membership, error) {
	var membership Membership
	if err := cbor.Unmarshal(entry.Data, &membership); err != nil {
		return Membership{}, Error.New("the membership at index %d is damaged (%v): wipe the member's disk and let it join under a new identity",
			entry.Index, err)
	}
	return membership, nil
}

// membershipsOf returns an error if a membership among the entries is damaged.
func membershipsOf(entries []Entry) error {
	var history membershipHistory
	return history.append(entries)
}

// ProposeMembership appends a membership that differs from the current one in one
// member: added, removed, promoted, demoted or with another address. It takes
// effect at once. Errors: ErrNotLeader, ErrTransferring, ErrMembershipPending,
// ErrTermUncommitted, ErrMembershipInvalid.
func (node *Node) ProposeMembership(now time.Duration, membership Membership) error {
	node.advance(now)
	if err := node.checkLeading(); err != nil {
		return err
	}
	if !node.committedOwnTerm() && !node.config.faults.changeMembersBeforeCommit {
		return ErrTermUncommitted{Term: node.hard.Term}
	}
	if latest := node.memberships.latest(); latest.index > node.commit && !node.config.faults.overlapMemberships {
		return ErrMembershipPending{Index: latest.index}
	}
	if err := checkChange(node.memberships.current(), membership); err != nil && !node.config.faults.changeManyMembers {
		return err
	}
	data, err := cbor.Marshal(membership)
	if err != nil {
		return Error.Wrap(err)
	}
	index := node.appendOwn(EntryMembership, data)
	node.memberships.versions = append(node.memberships.versions,
		membershipVersion{index: index, membership: membership})
	node.trackMembers()
	node.advanceCommit()
	return nil
}

// retireIfRemoved steps down once the leader's own removal from the voters is
// committed.
func (node *Node) retireIfRemoved() {
	latest := node.memberships.latest()
	if latest.index > node.commit || latest.membership.isVoter(node.config.Self) {
		return
	}
	node.replicate()
	if successor, found := node.bestSuccessor(); found {
		node.askToLead(successor)
	}
	node.becomeFollower(node.hard.Term, 0)
}
