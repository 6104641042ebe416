package member

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/status"
)

// Members of the partitions under test.
var (
	one   = consensus.Member{ID: 0x1f, Address: "10.0.0.1:7700", Node: "control-1"}
	two   = consensus.Member{ID: 2, Address: "10.0.0.2:7700", Node: "control-2"}
	three = consensus.Member{ID: 3, Address: "10.0.0.3:7700", Node: "control-3"}
)

func TestLeaderReportsMemberProgress(t *testing.T) {
	c := qt.New(t)
	// Given the leader of the configuration partition, a voter that answers and a learner that never has,
	led := partition.GroupStatus{Number: settingsGroup, Status: consensus.Status{
		Self: one.ID, Role: consensus.RoleLeader, Term: 4, Leader: one,
		Commit: 9, Applied: 8, Last: 10, Stable: 7, SnapshotIndex: 6, MembershipPending: true, DiskFailed: true,
		Membership: consensus.Membership{Voters: []consensus.Member{one, two}, Learners: []consensus.Member{three}},
		Members: []consensus.MemberStatus{
			{Member: two, State: consensus.StateReplicate, Match: 9, Contacted: true, LastContact: 700 * time.Millisecond},
			{Member: three, State: consensus.StateProbe},
		},
	}}
	// when it reports its status,
	reported := partitionOf(led, time.Second)
	// then the report has the partition's state and the time since the last contact with each member.
	c.Assert(reported, qt.DeepEquals, status.Partition{
		Number: 0, Name: "configuration", Role: "leader", Term: 4, Leader: one.Address,
		Commit: 9, Applied: 8, Last: 10, Stable: 7, Snapshot: 6, Pending: true, DiskFailed: true,
		Members: []status.Member{
			{ID: "1f", Node: one.Node, Address: one.Address, Voter: true, Self: true},
			{ID: "2", Node: two.Node, Address: two.Address, Voter: true,
				Progress: &status.Progress{State: "replicate", Match: 9, Responded: true, SilentMS: 300}},
			{ID: "3", Node: three.Node, Address: three.Address, Progress: &status.Progress{State: "probe"}},
		},
	})
}

func TestFollowerReportsNoProgress(t *testing.T) {
	c := qt.New(t)
	// Given a follower without a known leader in a partition of services, when it reports its status,
	following := partition.GroupStatus{Number: firstServiceGroup + 1, Status: consensus.Status{
		Self: two.ID, Role: consensus.RoleFollower,
		Membership: consensus.Membership{Voters: []consensus.Member{one, two}},
	}}
	reported := partitionOf(following, time.Second)
	// then the report has the partition's name, but no leader and no progress.
	c.Assert(reported.Name, qt.Equals, "services-2")
	c.Assert(reported.Leader, qt.Equals, "")
	for _, member := range reported.Members {
		c.Check(member.Progress, qt.IsNil)
	}
}

func TestDiskPositionIsReported(t *testing.T) {
	c := qt.New(t)
	// All values of the disk log's statistics are copied into the report.
	stats := disklog.Stats{Segment: 1, Generation: 5, UsedBytes: 100, FreeBytes: 900, Sequence: 44}
	c.Assert(diskOf(stats), qt.DeepEquals, &status.Disk{Sequence: 44, Segment: 1, Generation: 5, UsedBytes: 100, FreeBytes: 900})
}
