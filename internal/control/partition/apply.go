package partition

import "sumacloft/internal/control/consensus"

// applyEarly applies the entries that the disk records as committed. A restarted member can then report the state in force
// while there is no leader yet.
func (g *group) applyEarly(disk *diskGroup) {
	g.committedOnDisk = disk.committed
	for _, entry := range disk.entries {
		if entry.Index <= disk.snapshot.Index || entry.Index > disk.committed {
			continue
		}
		if entry.Kind == consensus.EntryCommand {
			g.machine.Apply(uint64(entry.Index), entry.Data)
		}
		g.appliedEarly = entry.Index
	}
}

// restore replaces the state with a snapshot from the leader.
func (h *Host) restore(g *group, snapshot *consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		h.config.Log.Error().Err(err).Uint32("partition", uint32(g.number)).Msg("failed to restore a snapshot from the leader")
		return
	}
	g.applied = snapshot.Index
	g.appliedEarly = 0
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
}

// apply applies an entry and returns the result to its proposer.
func (h *Host) apply(g *group, entry consensus.Entry) {
	var value any
	if entry.Kind == consensus.EntryCommand && entry.Index > g.appliedEarly {
		value = g.machine.Apply(uint64(entry.Index), entry.Data)
	}
	g.membershipChanged = g.membershipChanged || entry.Kind == consensus.EntryMembership
	g.applied = entry.Index
	g.entriesSinceSnapshot++
	g.bytesSinceSnapshot += len(entry.Data)
	waiting := g.proposals[entry.Index]
	if waiting == nil {
		return
	}
	delete(g.proposals, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- result{err: ErrOutcomeUnknown.New("another leader took over")}
		return
	}
	waiting.done <- result{value: value}
}

// compact takes a snapshot once the log has grown past its limits.
func (h *Host) compact(g *group) {
	if g.entriesSinceSnapshot < g.compactAfter && g.bytesSinceSnapshot < compactBytes {
		return
	}
	snapshot, err := g.node.SnapshotAt(g.applied, g.machine.Snapshot())
	if err != nil {
		h.config.Log.Warn().Err(err).Msg("failed to take a snapshot")
		return
	}
	g.entriesSinceSnapshot, g.bytesSinceSnapshot = 0, 0
	h.writer.compact(g.number, snapshot, func() {
		if err := g.node.Compact(snapshot); err != nil {
			h.config.Log.Warn().Err(err).Msg("failed to compact the log")
		}
	})
}
