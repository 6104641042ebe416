package partition

import (
	"context"
	"time"
)

// Leave has this member end in good order: it hands over what it leads, says that it ends, and goes on taking part until
// each partition lets it end, at most until the context ends. It tells whether all have.
//
// A partition lets a member end once the voters that are left can do without it (reconfigure.MayLeave): otherwise what it
// alone holds beside one that is lost would be lost too, or nobody could be elected.
func (h *Host) Leave(ctx context.Context) bool {
	granted := make(chan []Group, 64)
	open := h.ending()
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for len(open) > 0 {
		h.post(func() { h.sayLeaving(ctx, granted) })
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		for len(granted) > 0 {
			for _, number := range <-granted {
				delete(open, number)
			}
		}
	}
	return true
}

// ending has this member ask for no place any more, and gives its partitions.
func (h *Host) ending() map[Group]struct{} {
	open := make(map[Group]struct{}, len(h.groups))
	for number := range h.groups {
		open[number] = struct{}{}
	}
	h.post(func() { h.stopped = true })
	return open
}

// sayLeaving hands over what this member leads and tells the others that it ends.
func (h *Host) sayLeaving(ctx context.Context, granted chan<- []Group) {
	for _, g := range h.groups {
		if g.node.IsLeader() {
			h.handOver(g)
		}
	}
	h.tellAll(ctx, &Join{Member: h.config.Self, Leaving: true}, func(answer *JoinAnswer) {
		select {
		case granted <- answer.MayLeave:
		default: // asked again
		}
	})
}
