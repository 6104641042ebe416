package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Names that the model in the external tests needs. Its package is another one, as packages that it uses import this one.

// Faults is the type of the faults.
type Faults = faults

// The faults, one each.
var (
	AcknowledgeBeforePersist  = faults{acknowledgeBeforePersist: true}
	CountUnpersisted          = faults{countUnpersisted: true}
	VoteTwice                 = faults{voteTwice: true}
	IgnoreStickiness          = faults{ignoreStickiness: true}
	IgnoreRestart             = faults{ignoreRestart: true}
	IgnoreLogInVotes          = faults{ignoreLogInVotes: true}
	KeepLeaseInTransfer       = faults{keepLeaseInTransfer: true}
	LeaseFromAnswerTime       = faults{leaseFromAnswerTime: true}
	SkipLogCheck              = faults{skipLogCheck: true}
	CommitOldTerms            = faults{commitOldTerms: true}
	CountHalf                 = faults{countHalf: true}
	OverlapMemberships        = faults{overlapMemberships: true}
	ChangeManyMembers         = faults{changeManyMembers: true}
	ChangeMembersBeforeCommit = faults{changeMembersBeforeCommit: true}
)

// WithFaults returns a configuration with faults put in.
func WithFaults(config Config, broken Faults) Config {
	config.faults = broken
	return config
}

// earliest is a source of random numbers that makes each election timeout as short as it can be. All longer ones are
// among what a model tries where Tick is called late.
type earliest struct{}

// Uint64 returns a number so small that a range cut from it begins at its start, and large enough to be taken at once.
func (earliest) Uint64() uint64 { return 1 << 42 }

// DrawEarliest has a node draw the shortest election timeouts.
func DrawEarliest(node *Node) { node.random = rand.New(earliest{}) }

// Clone returns a node that goes on apart from the other, whose output was taken. Both may share what is never changed
// in place: entries, snapshots, memberships.
func Clone(node *Node) *Node {
	clone := *node
	clone.log.entries = slices.Clip(node.log.entries)
	clone.memberships.versions = slices.Clip(node.memberships.versions)
	clone.contacts = maps.Clone(node.contacts)
	clone.election.votes = maps.Clone(node.election.votes)
	clone.disk.handedOut = slices.Clone(node.disk.handedOut)
	if node.leading != nil {
		clone.leading = cloneLeading(node.leading)
	}
	if node.incoming != nil {
		incoming := *node.incoming
		incoming.snapshot.Data = slices.Clip(incoming.snapshot.Data)
		clone.incoming = &incoming
	}
	return &clone
}

func cloneLeading(original *leading) *leading {
	clone := *original
	clone.progress = make(map[MemberID]*progress, len(original.progress))
	for id, one := range original.progress {
		copied := *one
		copied.inflight = slices.Clip(one.inflight)
		clone.progress[id] = &copied
	}
	if original.transfer != nil {
		transfer := *original.transfer
		clone.transfer = &transfer
	}
	return &clone
}

// Holds reports whether a node has an entry in its log, or dropped it for a snapshot.
func Holds(node *Node, index Index, term Term) bool {
	return index <= node.log.baseIndex || node.log.matches(index, term)
}

// LogsMatch reports whether two logs that hold the same entry agree before it, or else where they do not.
func LogsMatch(left, right *Node) (Index, bool) {
	first := max(left.log.baseIndex, right.log.baseIndex) + 1
	agrees := false
	for index := min(left.log.lastIndex(), right.log.lastIndex()); index >= first; index-- {
		one := left.log.entries[index-left.log.baseIndex-1]
		other := right.log.entries[index-right.log.baseIndex-1]
		agrees = agrees || one.Term == other.Term
		if agrees && !sameEntry(one, other) {
			return index, false
		}
	}
	return 0, true
}

// RoleOf returns what a node is in its term.
func RoleOf(node *Node) Role { return node.role }

// TermOf returns the term a node is in.
func TermOf(node *Node) Term { return node.hard.Term }
