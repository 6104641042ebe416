package consensus

import "time"

// Defaults of optional fields of Config.
const (
	DefaultMaxBatchBytes = 256 << 10
	DefaultMaxInflight   = 16
	DefaultCompactMargin = 1024
	// DefaultCompactMarginBytes is the default of Config.CompactMarginBytes.
	DefaultCompactMarginBytes = 256 << 10

	// defaultDriftShare is the share of the election timeout that the margin for
	// clock drift takes by default.
	defaultDriftShare = 10
)

// Config holds the settings of a Node. Timeouts must be the same on all members.
type Config struct {
	// Self is the member's own identity.
	Self MemberID
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without a leader after which a member
	// stands for election or grants a vote; the longest is twice as long. It must
	// be at least twice Heartbeat.
	ElectionTimeout time.Duration
	// ClockDriftMargin is how much the clocks of two members may diverge during an
	// ElectionTimeout; the lease is shorter by it. Default: a tenth.
	ClockDriftMargin time.Duration
	// Seed seeds the random part of the election timeouts.
	Seed uint64
	// MaxBatchBytes bounds the entries or the part of a snapshot in one message; a
	// single larger entry is still sent. Default: DefaultMaxBatchBytes.
	MaxBatchBytes int
	// MaxInflight bounds the unanswered appends to one member. Default:
	// DefaultMaxInflight.
	MaxInflight int
	// CompactMarginBytes bounds the data of these entries. Default:
	// DefaultCompactMarginBytes.
	CompactMarginBytes int
	// CompactMargin is how many entries before a snapshot are kept for members that
	// lag a little. Default: DefaultCompactMargin; negative: none.
	CompactMargin int

	// faults breaks the algorithm on purpose, for the tests of the tests.
	faults faults
}

// faults are deliberate violations of the algorithm. All are off outside tests.
type faults struct {
	// restartSnapshot begins anew with a newer snapshot while one is being sent.
	restartSnapshot bool
	// acknowledgeBeforePersist lets votes and answers go out before the disk has
	// what they say.
	acknowledgeBeforePersist bool
	// countUnpersisted counts the leader's own log before its disk has it.
	countUnpersisted bool
	// voteTwice forgets whom the member voted for in a term.
	voteTwice bool
	// ignoreStickiness grants votes although a leader was heard from recently.
	ignoreStickiness bool
	// ignoreRestart grants votes right after a restart.
	ignoreRestart bool
	// ignoreLogInVotes grants votes to candidates with an older log.
	ignoreLogInVotes bool
	// keepLeaseInTransfer keeps the lease while leadership is handed over.
	keepLeaseInTransfer bool
	// leaseFromAnswerTime begins the lease when an answer arrives instead of when
	// what it answers was sent.
	leaseFromAnswerTime bool
	// skipLogCheck accepts appends without comparing the preceding entry.
	skipLogCheck bool
	// countHalf takes half of the voters, rounded down, for a majority.
	countHalf bool
	// commitOldTerms commits entries of former terms by counting copies.
	commitOldTerms bool
	// overlapMemberships takes a change of the membership before the one before is
	// committed.
	overlapMemberships bool
	// changeManyMembers takes a change of several members at once.
	changeManyMembers bool
	// changeMembersBeforeCommit takes a change of the membership before an entry of
	// the leader's own term is committed.
	changeMembersBeforeCommit bool
}

// withDefaults returns the configuration with defaults filled in.
func (config Config) withDefaults() (Config, error) {
	if config.Self == 0 {
		return config, Error.New("the member has no identity: set Self to the identity on its disk")
	}
	if config.Heartbeat <= 0 {
		return config, Error.New("the heartbeat interval is %v: set one above zero", config.Heartbeat)
	}
	if config.ElectionTimeout < 2*config.Heartbeat {
		return config, Error.New("the election timeout %v is too short: set at least twice the heartbeat interval %v",
			config.ElectionTimeout, config.Heartbeat)
	}
	if config.ClockDriftMargin == 0 {
		config.ClockDriftMargin = config.ElectionTimeout / defaultDriftShare
	}
	if config.ClockDriftMargin < 0 || config.ClockDriftMargin >= config.ElectionTimeout-config.Heartbeat {
		return config, Error.New("the clock drift margin is %v: set one above zero that leaves a heartbeat of the election timeout",
			config.ClockDriftMargin)
	}
	if config.MaxBatchBytes <= 0 {
		config.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if config.MaxInflight <= 0 {
		config.MaxInflight = DefaultMaxInflight
	}
	if config.CompactMargin == 0 {
		config.CompactMargin = DefaultCompactMargin
	}
	config.CompactMargin = max(config.CompactMargin, 0)
	if config.CompactMarginBytes <= 0 {
		config.CompactMarginBytes = DefaultCompactMarginBytes
	}
	return config, nil
}
