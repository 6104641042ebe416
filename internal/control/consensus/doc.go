// Package consensus is the agreement of one partition's members on one
// sequence of commands: the Raft algorithm (Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm", 2014; pre-vote, check-quorum and
// leadership transfer after Ongaro's dissertation) as a pure state machine.
//
// A Node performs no I/O, reads no clock, starts no goroutine and draws random
// numbers from a seed only. Its caller
//
//   - passes the time in as the monotonic time since an origin of its choice,
//     which need not be the same on two machines,
//   - calls Tick at the latest when NextTick says so, and Step with each message,
//   - takes what is to be done with TakeOutput after each call,
//   - writes the batches of Output.Persist in their order and reports each with
//     Persisted, and
//   - sends each message of Output.Messages, not before the batch it names was
//     reported.
//
// Messages may be lost, delayed, duplicated and reordered. A Node is not safe
// for concurrent use.
//
// # Lease
//
// A leader holds a lease as long as a majority of the voters answered what it
// sent less than an election timeout ago: each of them refuses its vote for a
// whole election timeout after it heard from a leader, also across a restart
// (Restored.Restarted). The clocks of two machines may run at rates that differ
// by less than Config.ClockDriftMargin in an election timeout. A leader that
// hands leadership over gives up its lease for the rest of its term.
//
// # Identities
//
// A member that lost its disk must not come back under its identity: it no
// longer knows what it voted and acknowledged. It draws a new MemberID, joins as
// a learner and is made a voter once it caught up.
package consensus
