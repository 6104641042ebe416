package partition

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// Status is this member's part in all partitions, at one moment.
type Status struct {
	Now    time.Duration // the host's time, which the times in Groups are on
	Self   consensus.Member
	Groups []GroupStatus // in the order of their numbers
	Disk   disklog.Stats // as of the latest write
}

// GroupStatus is its part in one partition.
type GroupStatus struct {
	Number Group
	consensus.Status
}

// Status is the state of the partitions. It fails where the host does not answer in time.
func (h *Host) Status(ctx context.Context) (Status, error) {
	done := make(chan Status, 1)
	select {
	case <-ctx.Done():
		return Status{}, Error.New("this member is too busy to answer, ask again: %w", ctx.Err())
	case <-h.ended:
		return Status{}, Error.New("this member is ending: ask another")
	case h.events <- func() { done <- h.status() }:
	}
	select {
	case <-ctx.Done():
		return Status{}, Error.New("this member is too busy to answer, ask again: %w", ctx.Err())
	case <-h.ended:
		return Status{}, Error.New("this member is ending: ask another")
	case status := <-done:
		return status, nil
	}
}

func (h *Host) status() Status {
	status := Status{Now: h.now(), Self: h.config.Self, Disk: h.writer.latestStats()}
	for number, g := range h.groups {
		status.Groups = append(status.Groups, GroupStatus{Number: number, Status: g.node.Status()})
	}
	slices.SortFunc(status.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Number, b.Number) })
	return status
}

// recordStats keeps where the log stands for others to read; the log itself belongs to the writer's goroutine.
func (w *writer) recordStats() {
	stats := w.log.Stats()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats = stats
}

// latestStats is where the log stood after the latest write.
func (w *writer) latestStats() disklog.Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Voter tells whether this member votes in all partitions, as far as it knows.
func (h *Host) Voter() bool { return h.voter.Load() }

// Leads tells whether this member leads a partition. A majority has answered it within its lease then.
func (h *Host) Leads() bool { return h.leading.Load() }

// HasLeaders tells whether, within the limit, this member knew a leader of every partition. One that did not is cut off from the
// others, or the others are lost.
func (h *Host) HasLeaders(limit time.Duration) bool {
	return h.now()-time.Duration(h.leadersKnownAt.Load()) <= limit
}
