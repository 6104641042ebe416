package member

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/status"
)

// ServeLog sets the log that the member serves to operators. Call it before Run.
func (m *Member) ServeLog(lines status.Log) { m.logLines = lines }

// handleStatus registers the status and log calls of operators.
func (m *Member) handleStatus(mux *http.ServeMux) {
	status.CallStatus.Handle(mux, m.report)
	status.HandleLog(mux, m.logLines)
}

// report returns the status of the member.
func (m *Member) report(ctx context.Context, _ *status.Request) (*status.Report, error) {
	state, err := m.host.Status(ctx)
	if err != nil {
		return nil, err
	}
	report := &status.Report{
		Kind: status.KindControl,
		Node: m.settings.Node,
		Zone: m.settings.Zone,
		UpMS: m.now().Milliseconds(),
		Disk: diskOf(state.Disk),

		Balances: m.views.report(),
		Ending:   m.ending(),
		Orders:   m.orderMemory(ctx),
	}
	if m.coordination != nil {
		report.Calls = m.coordination.counts.report()
	}
	snapshot, _ := m.members.Node().Snapshot()
	status.Gather(report, snapshot)
	report.Traffic = status.TrafficOf(m.client.Meter(), status.HostsInZone(snapshot, m.settings.Zone))
	for _, group := range state.Groups {
		report.Partitions = append(report.Partitions, partitionOf(group, state.Now))
	}
	return report, nil
}

// orderMemory reports how many orders this member remembers. It returns nil if the partition cannot be read in time.
func (m *Member) orderMemory(ctx context.Context) *status.OrderMemory {
	reported := &status.OrderMemory{MostTaken: configstate.MaxRemembered, MostRefused: configstate.MaxRefused}
	err := m.host.ReadUnconfirmed(ctx, settingsGroup, func() {
		memory := m.orders.machine.state.Memory()
		reported.Taken, reported.Forgotten, reported.Refused = memory.Taken, memory.Forgotten, memory.Refused
	})
	if err != nil {
		return nil
	}
	return reported
}

func diskOf(stats disklog.Stats) *status.Disk {
	return &status.Disk{
		Sequence:   stats.Sequence,
		Segment:    stats.Segment,
		Generation: stats.Generation,
		UsedBytes:  stats.UsedBytes,
		FreeBytes:  stats.FreeBytes,
	}
}

// partitionName returns the name of a partition for operators.
func partitionName(number partition.Group) string {
	if number == settingsGroup {
		return "configuration"
	}
	if number >= firstCoordinationGroup {
		return fmt.Sprintf("coordination-%d", number-firstCoordinationGroup+1)
	}
	return fmt.Sprintf("services-%d", number-firstServiceGroup+1)
}

func partitionOf(group partition.GroupStatus, now time.Duration) status.Partition {
	reported := status.Partition{
		Number:     uint32(group.Number),
		Name:       partitionName(group.Number),
		Role:       group.Role.String(),
		Term:       uint64(group.Term),
		Leader:     group.Leader.Address,
		Commit:     uint64(group.Commit),
		Applied:    uint64(group.Applied),
		Last:       uint64(group.Last),
		Stable:     uint64(group.Stable),
		Snapshot:   uint64(group.SnapshotIndex),
		Pending:    group.MembershipPending,
		DiskFailed: group.DiskFailed,
	}
	progress := progressOf(group.Members, now)
	for _, voter := range group.Membership.Voters {
		reported.Members = append(reported.Members, memberOf(voter, true, group.Self, progress))
	}
	for _, learner := range group.Membership.Learners {
		reported.Members = append(reported.Members, memberOf(learner, false, group.Self, progress))
	}
	return reported
}

func memberOf(member consensus.Member, voter bool, self consensus.MemberID, progress map[consensus.MemberID]*status.Progress) status.Member {
	return status.Member{
		ID:       strconv.FormatUint(uint64(member.ID), 16),
		Node:     member.Node,
		Address:  member.Address,
		Voter:    voter,
		Self:     member.ID == self,
		Progress: progress[member.ID],
	}
}

// progressOf returns the replication progress of the other members. It is empty unless this member leads.
func progressOf(members []consensus.MemberStatus, now time.Duration) map[consensus.MemberID]*status.Progress {
	progress := make(map[consensus.MemberID]*status.Progress, len(members))
	for _, member := range members {
		entry := &status.Progress{State: member.State.String(), Match: uint64(member.Match), Responded: member.Contacted}
		if member.Contacted {
			entry.SilentMS = (now - member.LastContact).Milliseconds()
		}
		progress[member.Member.ID] = entry
	}
	return progress
}
