package partition

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// Status is a consistent snapshot of this member's replicas of all partitions.
type Status struct {
	Now    time.Duration // current time on the host's clock, which Groups use too
	Self   consensus.Member
	Groups []GroupStatus // sorted by number
	Disk   disklog.Stats // as of the latest write
}

// GroupStatus is the status of one partition.
type GroupStatus struct {
	Number Group
	consensus.Status
}

// Status returns the status of all partitions. It fails if the host does not answer before the context ends.
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

// recordStats copies the log's statistics for other goroutines. The log itself belongs to the writer's goroutine.
func (w *writer) recordStats() {
	stats := w.log.Stats()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats = stats
}

// latestStats returns the log's statistics as of the latest write.
func (w *writer) latestStats() disklog.Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Voter reports whether this member votes in all partitions, as far as it knows.
func (h *Host) Voter() bool { return h.voter.Load() }

// Leads reports whether this member leads a partition. A majority has then answered it within its lease.
func (h *Host) Leads() bool { return h.leading.Load() }

// HasLeaders reports whether this member knew a leader of every partition within the limit. If not, it is partitioned from the
// others, or they are lost.
func (h *Host) HasLeaders(limit time.Duration) bool {
	return h.now()-time.Duration(h.leadersKnownAt.Load()) <= limit
}
