package consensus_test

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/partition"
)

// course is a scenario with a name.
type course struct {
	name string
	plan scenario
	// short bounds its states in CI, if it is more than others need there.
	short int
}

// brokenCourse is a build that is broken on purpose, and a scenario in which it shows. The same scenario is searched
// without the fault, too.
type brokenCourse struct {
	name string
	plan scenario
	mend func(*scenario) // takes the fault out
}

// dropped removes a member.
func dropped(id consensus.MemberID) change {
	return func(current consensus.Membership) (consensus.Membership, bool) {
		is := func(member consensus.Member) bool { return member.ID == id }
		next := consensus.Membership{
			Voters:   slices.DeleteFunc(slices.Clone(current.Voters), is),
			Learners: slices.DeleteFunc(slices.Clone(current.Learners), is),
		}
		return next, len(next.Voters) < len(current.Voters)
	}
}

// promoted makes a learner a voter.
func promoted(id consensus.MemberID) change {
	return func(current consensus.Membership) (consensus.Membership, bool) {
		place := slices.IndexFunc(current.Learners, func(member consensus.Member) bool { return member.ID == id })
		if place < 0 {
			return current, false
		}
		return consensus.Membership{
			Voters:   append(slices.Clone(current.Voters), current.Learners[place]),
			Learners: slices.Delete(slices.Clone(current.Learners), place, place+1),
		}, true
	}
}

// alone leaves one voter, whatever there was.
func alone(id consensus.MemberID) change {
	return func(current consensus.Membership) (consensus.Membership, bool) {
		place := slices.IndexFunc(current.Voters, func(member consensus.Member) bool { return member.ID == id })
		if place < 0 || len(current.Voters) == 1 {
			return current, false
		}
		return consensus.Membership{Voters: current.Voters[place : place+1 : place+1]}, true
	}
}

// figureEight is the course of figure 8 of the Raft paper: member 1 has an entry of term 2, member 3 another one of term 3
// at the same place, and member 2 none.
func figureEight() []image {
	noop := func(term consensus.Term) []consensus.Entry {
		return []consensus.Entry{{Index: 2, Term: term, Kind: consensus.EntryNoop}}
	}
	return []image{
		{hard: consensus.HardState{Term: 3}, entries: noop(2)},
		{hard: consensus.HardState{Term: 3, Vote: 3}},
		{hard: consensus.HardState{Term: 3, Vote: 3}, entries: noop(3)},
	}
}

// changeAtLearner is the course of the fault in the first description of changes of one member at a time (Ongaro, raft-dev,
// 2015): member 1 led in term 2 and made learner 3 a voter, which nobody but member 3 has on disk. Member 3 stood for
// election in term 4, of which nobody heard.
func changeAtLearner() []image {
	membership := consensus.Membership{Voters: []consensus.Member{
		named(1, machineName(1)), named(2, machineName(2)), named(3, machineName(3)),
	}}
	data, err := cbor.Marshal(membership)
	if err != nil {
		panic(err) // a plain struct can always be encoded
	}
	noop := consensus.Entry{Index: 2, Term: 2, Kind: consensus.EntryNoop}
	return []image{
		{hard: consensus.HardState{Term: 3}, entries: []consensus.Entry{noop}},
		{hard: consensus.HardState{Term: 3}, entries: []consensus.Entry{noop}},
		{hard: consensus.HardState{Term: 4, Vote: 3}, entries: []consensus.Entry{noop, {Index: 3, Term: 2, Kind: consensus.EntryMembership, Data: data}}},
	}
}

// forgetsVote is a restart that does not find whom the member voted for.
func forgetsVote(disk image) image {
	disk.hard.Vote = 0
	return disk
}

func noFaults(plan *scenario) { plan.broken = consensus.Faults{} }

// brokenAgreement are the broken builds of elections, the log and the membership.
func brokenAgreement() []brokenCourse {
	behind := scenario{voters: 3, settled: true, lastTerm: 3, budget: budget{lapses: 1, proposals: 1}}
	withFault := func(plan scenario, broken consensus.Faults) scenario {
		plan.broken = broken
		return plan
	}
	unsynced := behind
	unsynced.slowDisk = true
	unsynced.budget.crashes = 1
	unsynced.crash = []consensus.MemberID{2}
	own := unsynced
	own.stand = []consensus.MemberID{1}
	own.crash = []consensus.MemberID{1}
	unsynced.stand = []consensus.MemberID{2}
	elections := scenario{voters: 3, lastTerm: 2, budget: budget{lapses: 2}}
	restarts := elections
	restarts.budget.crashes = 1
	restarts.restarts = forgetsVote
	wiped := behind
	wiped.budget.wipes = 1
	wiped.keepsIdentity = true
	figure := scenario{voters: 3, lastTerm: 5, oneEntry: true, disks: figureEight(), stand: []consensus.MemberID{1, 3}, inTurn: true,
		budget: budget{lapses: 2}}
	gap := scenario{voters: 3, settled: true, lastTerm: 2, budget: budget{proposals: 2}}
	overlap := scenario{voters: 3, settled: true, lastTerm: 3, changes: []change{dropped(2), dropped(3)}, budget: budget{lapses: 1, changes: 2}}
	many := scenario{voters: 3, settled: true, lastTerm: 3, changes: []change{alone(1)}, budget: budget{lapses: 1, changes: 1}}
	early := scenario{voters: 2, learners: 1, lastTerm: 5, disks: changeAtLearner(), changes: []change{dropped(1)},
		stand: []consensus.MemberID{2, 3}, inTurn: true, budget: budget{lapses: 2, changes: 1}}
	refused := behind
	refused.budget.refusals = 1
	refused.budget.crashes = 1
	refused.refuse, refused.crash = []consensus.MemberID{2}, []consensus.MemberID{2}
	refused.stand = []consensus.MemberID{2}
	refused.ignoresRefusal = true
	four := scenario{voters: 4, lastTerm: 2, budget: budget{lapses: 2}}
	five := scenario{voters: 5, lastTerm: 2, budget: budget{lapses: 2}, stand: []consensus.MemberID{1, 2}, inTurn: true}
	return []brokenCourse{
		{"takes what the disk refused for written", refused, func(plan *scenario) { plan.ignoresRefusal = false }},
		{"takes two of four for a majority", withFault(four, consensus.CountHalf), noFaults},
		{"takes two of five for a majority", withFault(five, consensus.CountHalf), noFaults},
		{"a vote is given twice in a term", withFault(elections, consensus.VoteTwice), noFaults},
		{"a restart forgets the vote", restarts, func(plan *scenario) { plan.restarts = nil }},
		{"votes for an older log", withFault(behind, consensus.IgnoreLogInVotes), noFaults},
		{"acknowledges before it is on disk", withFault(unsynced, consensus.AcknowledgeBeforePersist), noFaults},
		{"counts its own log before the disk has it", withFault(own, consensus.CountUnpersisted), noFaults},
		{"appends without comparing", withFault(gap, consensus.SkipLogCheck), noFaults},
		{"commits an old term by counting replicas", withFault(figure, consensus.CommitOldTerms), noFaults},
		{"a wiped disk's old vote counts", wiped, func(plan *scenario) { plan.keepsIdentity = false }},
		{"two changes of the membership at once", withFault(overlap, consensus.OverlapMemberships), noFaults},
		{"a change of several members", withFault(many, consensus.ChangeManyMembers), noFaults},
		{"a change before the term's first commit", withFault(early, consensus.ChangeMembersBeforeCommit), noFaults},
	}
}

// calm is the timing of the lease: an election timeout of 4 units, of which the lease leaves 1 for the clocks.
func calm() *timing {
	return &timing{election: 4, heartbeat: 2, margin: 1, life: 2, lease: 3, turn: 1, order: 3, orderMargin: 1, wait: waits, limit: limits}
}

// quick is the same where no message is on its way for longer than a unit.
func quick() *timing {
	timing := calm()
	timing.life = 1
	return timing
}

// brokenLeases are the broken builds of the lease and of the duty under it.
func brokenLeases() []brokenCourse {
	coup := func(broken consensus.Faults) scenario {
		return scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(), broken: broken, budget: budget{lapses: 1, beats: 1}}
	}
	restart := coup(consensus.IgnoreRestart)
	restart.budget.crashes = 1
	restart.timing = quick()
	restart.crash = []consensus.MemberID{2}
	restart.stand = []consensus.MemberID{3}
	handover := coup(consensus.KeepLeaseInTransfer)
	handover.budget.transfers = 1
	sticky := coup(consensus.IgnoreStickiness)
	sticky.stand = []consensus.MemberID{3}
	late := coup(consensus.LeaseFromAnswerTime)
	late.stand = []consensus.MemberID{3}
	drift := coup(consensus.Faults{})
	drift.budget.stalls = 2
	hasty := scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(), budget: budget{lapses: 1, orders: 2}}
	hasty.timing.wait = func(lease partition.Lease, _ *timing) bool { return lease.Left > 0 }
	endless := scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(), budget: budget{lapses: 1, orders: 1}}
	endless.timing.limit = func(partition.Lease, *timing) (time.Duration, bool) { return 8, true }
	jump := coup(consensus.Faults{})
	jump.budget.jumps = 1
	jump.timeOfDay = true
	for _, plan := range []*scenario{&drift, &hasty, &endless, &jump} {
		plan.stand = []consensus.MemberID{3}
	}
	return []brokenCourse{
		{"votes although it hears a leader", sticky, noFaults},
		{"votes right after a restart", restart, noFaults},
		{"begins the lease with the answer", late, noFaults},
		{"keeps the lease in a transfer", handover, noFaults},
		{"clocks that differ by more than the margin", drift, func(plan *scenario) { plan.budget.stalls = 1 }},
		{"goes by the time of day, which jumps", jump, func(plan *scenario) { plan.timeOfDay = false }},
		{"a new holder orders at once", hasty, func(plan *scenario) { plan.timing.wait = waits }},
		{"an order outlives the lease", endless, func(plan *scenario) { plan.timing.limit = limits }},
	}
}

// courses are what the code as it is must go through without breaking a promise.
func courses() []course {
	return []course{
		{name: "one lapse, one proposal", plan: scenario{voters: 3, settled: true, lastTerm: 3, budget: budget{lapses: 1, proposals: 1}}},
		{name: "the same with a message twice", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, duplicates: 1}}},
		{name: "one lapse, two proposals, a round of heartbeats", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 2, beats: 1}}},
		{name: "two lapses, one proposal", plan: scenario{voters: 3, settled: true, lastTerm: 4, budget: budget{lapses: 2, proposals: 1}}},
		{name: "a handover, one lapse, one proposal", plan: scenario{voters: 3, settled: true, lastTerm: 4,
			budget: budget{lapses: 1, proposals: 1, transfers: 1}}},
		{name: "the first election, two lapses", plan: scenario{voters: 3, lastTerm: 3, budget: budget{lapses: 2}}},
		{name: "two lapses and a crash, slow disks", plan: scenario{voters: 3, slowDisk: true, lastTerm: 2, budget: budget{lapses: 2, crashes: 1}}},
		{name: "one lapse, one proposal and a crash, slow disks", plan: scenario{voters: 3, settled: true, slowDisk: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, crashes: 1}}},
		{name: "an acknowledgement that a crash may lose", plan: scenario{voters: 3, settled: true, slowDisk: true, lastTerm: 3,
			stand: []consensus.MemberID{2}, crash: []consensus.MemberID{2},
			budget: budget{lapses: 1, proposals: 1, crashes: 1}}, short: 9_000},
		{name: "figure 8", plan: scenario{voters: 3, lastTerm: 5, oneEntry: true, disks: figureEight(), budget: budget{lapses: 2, crashes: 1}}},
		{name: "a wiped disk, its machine taken in again", plan: scenario{voters: 3, settled: true, lastTerm: 2, budget: budget{changes: 3, wipes: 1}}},
		{name: "the same with one lapse and one proposal", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, changes: 3, wipes: 1}}},
		{name: "a disk wiped, and another once that is made up for", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			stand: []consensus.MemberID{1, 2}, budget: budget{lapses: 1, changes: 6, wipes: 2}}},
		{name: "a disk wiped while a learner takes the place of a member that ends", plan: scenario{voters: 3, learners: 1, settled: true,
			lastTerm: 3, leaving: []consensus.MemberID{3}, stand: []consensus.MemberID{1, 2}, budget: budget{lapses: 1, changes: 4, wipes: 1}}},
		{name: "a member dropped and a learner made a voter, one lapse", plan: scenario{voters: 3, learners: 1, settled: true, lastTerm: 3,
			changes: []change{dropped(1), dropped(2), promoted(4)}, budget: budget{lapses: 1, changes: 2}}},
		{name: "a lease, one lapse, a round of heartbeats, a slow clock", plan: scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(),
			budget: budget{lapses: 1, beats: 1, stalls: 1}}},
		{name: "a lease, one lapse, a slow clock, messages of one unit", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			timing: quick(), budget: budget{lapses: 1, stalls: 1}}},
		{name: "a duty passed on", plan: scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(),
			stand: []consensus.MemberID{3}, budget: budget{lapses: 1, orders: 2}}, short: 5_000},
		{name: "a duty passed on, two rounds of heartbeats", plan: scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(),
			stand: []consensus.MemberID{3}, budget: budget{lapses: 1, beats: 2, orders: 2}}},
		{name: "four members, one lapse, one proposal", plan: scenario{voters: 4, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1}}},
		{name: "five members, one lapse, one proposal", plan: scenario{voters: 5, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1}}},
		{name: "four members, the first election, two lapses", plan: scenario{voters: 4, lastTerm: 3, budget: budget{lapses: 2}}},
		{name: "five members, a disk wiped and its machine taken in again, one lapse", plan: scenario{voters: 5, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, changes: 3, wipes: 1}}},
		{name: "a disk that refuses for a while, one lapse, two proposals", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 2, refusals: 1}}},
		{name: "a disk that refuses for a while, one lapse, one proposal and a crash", plan: scenario{voters: 3, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, refusals: 1, crashes: 1}}},
		{name: "four members, a disk that refuses for a while, one lapse, one proposal", plan: scenario{voters: 4, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, refusals: 1}}},
		{name: "five members, two disks that refuse for a while, one lapse, one proposal", plan: scenario{voters: 5, settled: true, lastTerm: 3,
			budget: budget{lapses: 1, proposals: 1, refusals: 2}}},
		{name: "a lease, one lapse, a jump of the time of day", plan: scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(),
			budget: budget{lapses: 1, beats: 1, jumps: 1}}},
		{name: "a lease of four members, one lapse", plan: scenario{voters: 4, settled: true, lastTerm: 3, timing: quick(),
			stand: []consensus.MemberID{3}, budget: budget{lapses: 1}}},
		{name: "a duty handed over", plan: scenario{voters: 3, settled: true, lastTerm: 3, timing: calm(), stand: []consensus.MemberID{3},
			budget: budget{beats: 2, orders: 2, transfers: 1}}},
	}
}
