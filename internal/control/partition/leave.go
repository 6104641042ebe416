package partition

import (
	"context"
	"sync"
	"time"

	"sumacloft/internal/control/reconfigure"
)

// ending is what a member that was told to end still waits for. Its zero value waits for nothing.
type ending struct {
	mu    sync.Mutex
	holds map[Group]reconfigure.Hold // partitions that have not let it end; HoldNone: their leader has not said why
}

// begin notes that the partitions are waited for.
func (e *ending) begin(groups map[Group]*group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = make(map[Group]reconfigure.Hold, len(groups))
	for number := range groups {
		e.holds[number] = reconfigure.HoldNone
	}
}

// take takes the word of a member that leads some of the partitions.
func (e *ending) take(answer *JoinAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, number := range answer.MayLeave {
		delete(e.holds, number)
	}
	for _, held := range answer.Holds {
		if _, open := e.holds[held.Group]; open {
			e.holds[held.Group] = held.Why
		}
	}
}

// done tells whether all partitions have let the member end.
func (e *ending) done() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holds) == 0
}

// Ending lists what this member, told to end, waits for, by partition: none if it was not told to, or may end. A
// partition whose leader has not answered yet stands there with reconfigure.HoldNone.
func (h *Host) Ending() map[Group]reconfigure.Hold {
	h.ending.mu.Lock()
	defer h.ending.mu.Unlock()
	holds := make(map[Group]reconfigure.Hold, len(h.ending.holds))
	for number, why := range h.ending.holds {
		holds[number] = why
	}
	return holds
}

// Leave has this member end in good order: it hands over what it leads, says that it ends, and goes on taking part until
// each partition lets it end, at most until the context ends. It tells whether all have. Ending says what it waits for.
//
// A partition lets a member end once the voters that are left can do without it (reconfigure.HoldOf): otherwise what it
// alone holds beside one that is lost would be lost too, or nobody could be elected. A member that is alone in all
// partitions has nobody to wait for.
func (h *Host) Leave(ctx context.Context) bool {
	h.ending.begin(h.groups)
	alone := make(chan bool, 1)
	h.post(func() {
		h.stopped = true
		alone <- h.alone()
	})
	select {
	case is := <-alone:
		if is {
			return true
		}
	case <-ctx.Done():
		return false
	}
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for !h.ending.done() {
		h.post(func() { h.sayLeaving(ctx) })
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	go h.keepSaying()
	return true
}

// keepSaying goes on telling the others that this member ends for as long as its process runs: one that was let go must not
// count as staying when another asks.
func (h *Host) keepSaying() {
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ended:
			return
		case <-ticker.C:
			h.post(func() { h.sayLeaving(context.Background()) })
		}
	}
}

// alone tells whether this member is the only one of all its partitions.
func (h *Host) alone() bool {
	for _, g := range h.groups {
		membership := g.node.Status().Membership
		if len(membership.Voters) != 1 || len(membership.Learners) > 0 || !isMember(membership, h.config.Self.ID) {
			return false
		}
	}
	return true
}

// sayLeaving hands over what this member leads and tells the others that it ends.
func (h *Host) sayLeaving(ctx context.Context) {
	for _, g := range h.groups {
		if g.node.IsLeader() {
			h.handOver(g)
		}
	}
	h.tellAll(ctx, &Join{Member: h.config.Self, Leaving: true}, h.ending.take)
}
