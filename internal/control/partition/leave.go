package partition

import (
	"context"
	"sync"
	"time"

	"sumacloft/internal/control/reconfigure"
)

// leaveState tracks which partitions a leaving member still waits for. The zero value waits for none.
type leaveState struct {
	mu    sync.Mutex
	holds map[Group]reconfigure.Hold // partitions that have not let it leave; HoldNone if their leader has not answered
}

// begin adds all partitions as waited for.
func (e *leaveState) begin(groups map[Group]*group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = make(map[Group]reconfigure.Hold, len(groups))
	for number := range groups {
		e.holds[number] = reconfigure.HoldNone
	}
}

// applyAnswer applies the answer of a member that leads some of the partitions.
func (e *leaveState) applyAnswer(answer *JoinAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, number := range answer.MayLeave {
		delete(e.holds, number)
	}
	for _, held := range answer.Holds {
		if _, pending := e.holds[held.Group]; pending {
			e.holds[held.Group] = held.Reason
		}
	}
}

// done reports whether all partitions have let the member leave.
func (e *leaveState) done() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holds) == 0
}

// LeaveHolds returns, by partition, why this member may not leave yet. It is empty if Leave was not called or if the member may
// leave. The value is reconfigure.HoldNone for a partition whose leader has not answered yet.
func (h *Host) LeaveHolds() map[Group]reconfigure.Hold {
	h.leaveState.mu.Lock()
	defer h.leaveState.mu.Unlock()
	holds := make(map[Group]reconfigure.Hold, len(h.leaveState.holds))
	for number, hold := range h.leaveState.holds {
		holds[number] = hold
	}
	return holds
}

// Leave shuts this member down gracefully: it transfers leadership, announces its leave, and keeps participating until every
// partition lets it leave or the context ends. It reports whether all partitions have. LeaveHolds reports what it waits for.
//
// A partition lets a member leave once the remaining voters can do without it (reconfigure.HoldOf). Otherwise data held only by
// this member and a lost one would be lost, or no leader could be elected. A member that is the only one in all partitions
// waits for none.
func (h *Host) Leave(ctx context.Context) bool {
	h.leaveState.begin(h.groups)
	onlyMember := make(chan bool, 1)
	h.post(func() {
		h.leaveStarted = true
		onlyMember <- h.isOnlyMember()
	})
	select {
	case only := <-onlyMember:
		if only {
			return true
		}
	case <-ctx.Done():
		return false
	}
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for !h.leaveState.done() {
		h.post(func() { h.announceLeave(ctx) })
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	go h.repeatLeave()
	return true
}

// repeatLeave keeps announcing the leave until the process ends: a member that was let go must not count as staying when
// another one asks to leave.
func (h *Host) repeatLeave() {
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ended:
			return
		case <-ticker.C:
			h.post(func() { h.announceLeave(context.Background()) })
		}
	}
}

// isOnlyMember reports whether this member is the only member of every partition.
func (h *Host) isOnlyMember() bool {
	for _, g := range h.groups {
		membership := g.node.Status().Membership
		if len(membership.Voters) != 1 || len(membership.Learners) > 0 || !isMember(membership, h.config.Self.ID) {
			return false
		}
	}
	return true
}

// announceLeave transfers leadership of this member's partitions and sends its leave notice to the other members.
func (h *Host) announceLeave(ctx context.Context) {
	for _, g := range h.groups {
		if g.node.IsLeader() {
			h.transferLeadership(g)
		}
	}
	h.broadcastJoin(ctx, &Join{Member: h.config.Self, Leaving: true}, h.leaveState.applyAnswer)
}
