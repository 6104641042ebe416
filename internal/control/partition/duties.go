package partition

import (
	"context"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/reconfigure"
)

const (
	// joinRetention is how long a join request is valid. Requests are repeated every maintenanceInterval.
	joinRetention = 2 * time.Second
	// leaderlessLimit is how long a member knows no leader before it asks to join.
	leaderlessLimit = 2 * time.Second
	// leaveInterval is how often a leaving member announces it.
	leaveInterval = 100 * time.Millisecond
	// leaveRetention is how long a leave notice is valid. It is short because the member may be back at once, and a member
	// wrongly considered as leaving must not be dropped in place of a lost one.
	leaveRetention = 500 * time.Millisecond
)

// handleJoin records a member's join request or leave notice. The answer to a leave notice lists which of the partitions led
// by this member let it leave.
func (h *Host) handleJoin(join *Join) *JoinAnswer {
	answer := &JoinAnswer{}
	id := join.Member.ID
	if !join.Leaving {
		delete(h.leaving, id)
		h.joining[id] = joinRequest{member: join.Member, at: h.now()}
		return answer
	}
	delete(h.joining, id)
	now := h.now()
	notice, announced := h.leaving[id]
	if !announced || now-notice.last > h.leaveRetention() {
		h.leaving[id] = leaveNotice{first: now, last: now}
		return answer // its first notice is only recorded; membership is reviewed before it is answered
	}
	h.leaving[id] = leaveNotice{first: notice.first, last: now}
	for _, g := range h.groups {
		status := g.node.Status()
		if status.Role != consensus.RoleLeader {
			continue
		}
		if hold := reconfigure.HoldOf(h.situationFor(g, status, id), id); hold != reconfigure.HoldNone {
			answer.Holds = append(answer.Holds, Held{Group: g.number, Reason: hold})
			continue
		}
		answer.MayLeave = append(answer.MayLeave, g.number)
	}
	return answer
}

// situationFor returns the situation as it applies to a leaving member: members that announced their leave later count as
// staying. Of two that announced it at the same moment the one with the higher ID counts as staying. Otherwise both would be
// let go.
func (h *Host) situationFor(g *group, status consensus.Status, id consensus.MemberID) reconfigure.Situation {
	situation := h.situation(g, status)
	ownAnnouncedAt := h.leaving[id].first
	situation.Leaving = slices.DeleteFunc(situation.Leaving, func(other consensus.MemberID) bool {
		announcedAt := h.leaving[other].first
		return announcedAt > ownAnnouncedAt || announcedAt == ownAnnouncedAt && other > id
	})
	return situation
}

// maintain asks to join if this member is missing from a partition, and adapts the membership of the partitions that it leads.
// A member that knows no leader asks too: it may have been dropped while it was partitioned and would never learn of it. Its
// disk is intact, so it rejoins under its old identity. Leaders that already count it as a member ignore the request.
func (h *Host) maintain(ctx context.Context) {
	needsJoin := !h.HasLeaders(leaderlessLimit) && !h.config.Faults.WaitOutside
	for _, g := range h.groups {
		status := g.node.Status()
		needsJoin = needsJoin || !isMember(status.Membership, h.config.Self.ID)
		if status.Role == consensus.RoleLeader {
			h.reconfigure(g, status)
		}
	}
	if needsJoin && !h.leaveStarted {
		h.broadcastJoin(ctx, &Join{Member: h.config.Self}, func(*JoinAnswer) {})
	}
}

func isMember(membership consensus.Membership, id consensus.MemberID) bool {
	for _, list := range [][]consensus.Member{membership.Voters, membership.Learners} {
		for _, member := range list {
			if member.ID == id {
				return true
			}
		}
	}
	return false
}

// leaveRetention returns how long a leave notice is valid.
func (h *Host) leaveRetention() time.Duration {
	if h.config.Faults.LongLeave {
		return 20 * leaveRetention
	}
	return leaveRetention
}

// situation returns the input for the next membership decision of a partition that this member leads.
func (h *Host) situation(g *group, status consensus.Status) reconfigure.Situation {
	now := h.now()
	situation := reconfigure.Situation{
		Now:          now,
		Status:       status,
		LeadingFor:   now - g.leaderSince,
		Target:       h.config.Voters,
		RecentCommit: g.reviewedCommit,
		DropFirst:    h.config.Faults.DropFirst,
	}
	for id, request := range h.joining {
		if now-request.at > joinRetention {
			delete(h.joining, id)
			continue
		}
		situation.Joining = append(situation.Joining, request.member)
	}
	for id, notice := range h.leaving {
		if now-notice.last > h.leaveRetention() {
			delete(h.leaving, id)
			continue
		}
		situation.Leaving = append(situation.Leaving, id)
	}
	return situation
}

// reconfigure proposes the next membership change of a partition, if there is one.
func (h *Host) reconfigure(g *group, status consensus.Status) {
	next, change := reconfigure.Next(h.situation(g, status))
	g.reviewedCommit = status.Commit
	if !change {
		return
	}
	if err := g.node.ProposeMembership(h.now(), next); err != nil {
		h.config.Log.Info().Err(err).Msg("failed to propose a membership change")
		return
	}
	h.config.Log.Info().Uint32("partition", uint32(g.number)).Interface("voters", next.Voters).
		Interface("learners", next.Learners).Msg("membership change proposed")
}

// broadcastJoin sends a join request or leave notice to all control members. The leaders among them act on it.
func (h *Host) broadcastJoin(ctx context.Context, join *Join, onAnswer func(*JoinAnswer)) {
	for _, address := range h.config.Controls() {
		if address == h.config.Self.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if answer, err := callJoin.Call(ctx, h.config.Client, address, join); err == nil { // on error the next repetition covers it
				onAnswer(answer)
			}
		}()
	}
}

// transferLeadership transfers a partition's leadership to the voter with the longest log.
func (h *Host) transferLeadership(g *group) {
	status := g.node.Status()
	best := consensus.MemberStatus{}
	for _, member := range status.Members {
		if member.Voter && member.Contacted && member.Member.ID != h.config.Self.ID && member.Match >= best.Match {
			best = member
		}
	}
	if best.Member.ID == 0 {
		return
	}
	if err := g.node.TransferLeadership(h.now(), best.Member.ID); err != nil {
		h.config.Log.Info().Err(err).Msg("failed to transfer leadership")
	}
}
