package partition

import (
	"context"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/reconfigure"
)

const (
	// joinMemory is how long a wish to join is remembered; it is repeated at every duty.
	joinMemory = 2 * time.Second
	// unledLimit is for how long a member hears of no leader before it asks to join.
	unledLimit = 2 * time.Second
	// leaveInterval is how often a member that is about to end says so.
	leaveInterval = 100 * time.Millisecond
	// leaveMemory is how long that word is remembered. It is short: the member may be back at once, and one that is taken
	// for leaving while it stays must not be dropped in place of one that is lost.
	leaveMemory = 500 * time.Millisecond
)

// noteJoin takes a machine's wish to join, or its word that it ends. It says which of the partitions that this member leads
// let it end.
func (h *Host) noteJoin(join *Join) *JoinAnswer {
	answer := &JoinAnswer{}
	id := join.Member.ID
	if !join.Leaving {
		delete(h.leaving, id)
		h.joining[id] = joiner{member: join.Member, at: h.now()}
		return answer
	}
	delete(h.joining, id)
	now := h.now()
	word, before := h.leaving[id]
	if !before || now-word.last > h.leaveMemory() {
		h.leaving[id] = leaver{first: now, last: now}
		return answer // its place is looked at first
	}
	h.leaving[id] = leaver{first: word.first, last: now}
	for _, g := range h.groups {
		status := g.node.Status()
		if status.Role != consensus.RoleLeader {
			continue
		}
		if why := reconfigure.HoldOf(h.situationFor(g, status, id), id); why != reconfigure.HoldNone {
			answer.Holds = append(answer.Holds, Held{Group: g.number, Why: why})
			continue
		}
		answer.MayLeave = append(answer.MayLeave, g.number)
	}
	return answer
}

// situationFor is the situation as it counts for a member that ends: those that said so after it stay for that long. Of two
// that said so at the same moment the one with the higher identity stays, or both would be let go.
func (h *Host) situationFor(g *group, status consensus.Status, id consensus.MemberID) reconfigure.Situation {
	situation := h.situation(g, status)
	own := h.leaving[id].first
	situation.Leaving = slices.DeleteFunc(situation.Leaving, func(other consensus.MemberID) bool {
		said := h.leaving[other].first
		return said > own || said == own && other > id
	})
	return situation
}

// duties asks to join where this member is in no partition, and has the partitions that it leads follow the machines. A
// member that hears of no leader asks too: it may have been dropped while it was cut off, and would never hear of it. Its
// disk is whole, so it comes back as who it is; leaders that count it already take no notice.
func (h *Host) duties(ctx context.Context) {
	outside := !h.Led(unledLimit) && !h.config.Faults.WaitOutside
	for _, g := range h.groups {
		status := g.node.Status()
		outside = outside || !isMember(status.Membership, h.config.Self.ID)
		if status.Role == consensus.RoleLeader {
			h.reconfigure(g, status)
		}
	}
	if outside && !h.stopped {
		h.tellAll(ctx, &Join{Member: h.config.Self}, func(*JoinAnswer) {})
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

// leaveMemory is how long the word that a member ends is remembered.
func (h *Host) leaveMemory() time.Duration {
	if h.config.Faults.LongLeave {
		return 20 * leaveMemory
	}
	return leaveMemory
}

// situation is what this member, a partition's leader, knows of its membership.
func (h *Host) situation(g *group, status consensus.Status) reconfigure.Situation {
	now := h.now()
	situation := reconfigure.Situation{
		Now:          now,
		Status:       status,
		LeadingFor:   now - g.ledSince,
		Target:       h.config.Voters,
		RecentCommit: g.settled,
		DropFirst:    h.config.Faults.DropFirst,
	}
	for id, wish := range h.joining {
		if now-wish.at > joinMemory {
			delete(h.joining, id)
			continue
		}
		situation.Joining = append(situation.Joining, wish.member)
	}
	for id, word := range h.leaving {
		if now-word.last > h.leaveMemory() {
			delete(h.leaving, id)
			continue
		}
		situation.Leaving = append(situation.Leaving, id)
	}
	return situation
}

// reconfigure takes the next step of a partition's membership, if there is one.
func (h *Host) reconfigure(g *group, status consensus.Status) {
	next, change := reconfigure.Next(h.situation(g, status))
	g.settled = status.Commit
	if !change {
		return
	}
	if err := g.node.ProposeMembership(h.now(), next); err != nil {
		h.config.Log.Info().Err(err).Msg("membership not changed")
		return
	}
	h.config.Log.Info().Uint32("partition", uint32(g.number)).Interface("voters", next.Voters).
		Interface("learners", next.Learners).Msg("membership changes")
}

// tellAll tells all control members of a wish; the leaders among them act on it.
func (h *Host) tellAll(ctx context.Context, join *Join, answered func(*JoinAnswer)) {
	for _, address := range h.config.Controls() {
		if address == h.config.Self.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendLimit)
			defer cancel()
			if answer, err := callJoin.Call(ctx, h.config.Client, address, join); err == nil { // else it is repeated
				answered(answer)
			}
		}()
	}
}

// handOver hands a partition to the voter whose log is the longest.
func (h *Host) handOver(g *group) {
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
		h.config.Log.Info().Err(err).Msg("leadership not handed over")
	}
}
