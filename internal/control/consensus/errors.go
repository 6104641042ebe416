package consensus

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package that callers need not tell
// apart.
var Error = errs.Class("consensus")

// ErrNotLeader is returned for what only the leader can do.
type ErrNotLeader struct {
	// Leader is the leader the member knows of, or the zero Member.
	Leader Member
}

// Error implements error.
func (err ErrNotLeader) Error() string {
	if err.Leader.ID == 0 {
		return "this member is not the leader and knows of none: retry after an election timeout; " +
			"if it lasts, check that a majority of the voters runs and that they reach each other"
	}
	return fmt.Sprintf("this member is not the leader: send the request to member %d at %q",
		err.Leader.ID, err.Leader.Address)
}

// ErrTransferring is returned while the leader hands leadership over.
type ErrTransferring struct {
	// To is the member that is to become the leader.
	To MemberID
}

// Error implements error.
func (err ErrTransferring) Error() string {
	return fmt.Sprintf("leadership is being handed over to member %d: retry after an election timeout", err.To)
}

// ErrMembershipPending is returned while an earlier change of the membership is
// not committed.
type ErrMembershipPending struct {
	// Index is the position of the earlier change in the log.
	Index Index
}

// Error implements error.
func (err ErrMembershipPending) Error() string {
	return fmt.Sprintf("the change of membership at index %d is not committed yet: retry once it is; "+
		"if it lasts, check that a majority of the voters runs", err.Index)
}

// ErrTermUncommitted is returned before the leader has committed an entry of its
// own term.
type ErrTermUncommitted struct {
	// Term is the leader's term.
	Term Term
}

// Error implements error.
func (err ErrTermUncommitted) Error() string {
	return fmt.Sprintf("the leader has not committed an entry of its term %d yet: retry in a moment; "+
		"if it lasts, check the disks of the voters", err.Term)
}

// ErrMembershipInvalid is returned for a membership that cannot follow the
// current one.
type ErrMembershipInvalid struct {
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (err ErrMembershipInvalid) Error() string {
	return fmt.Sprintf("invalid membership: %s: read the current membership and change one member of it", err.Reason)
}

// ErrTransferTarget is returned if leadership cannot be handed to a member.
type ErrTransferTarget struct {
	// To is the member asked for.
	To MemberID
}

// Error implements error.
func (err ErrTransferTarget) Error() string {
	return fmt.Sprintf("leadership cannot be handed to member %d: name another member that votes", err.To)
}
