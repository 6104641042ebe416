package consensus

// pipeline gathers what is to be written and follows how far the disk is.
type pipeline struct {
	// last is the sequence number of the latest batch, handed out or not.
	last uint64
	// hardState is the sequence number of the latest batch with a HardState.
	hardState uint64
	// persisted is the sequence number of the latest batch on disk.
	persisted uint64
	// pending is the batch not yet handed out, or nil.
	pending *PersistBatch
	// handedOut are the batches at the caller, in order.
	handedOut []handedOutBatch
	// stable is the index up to which the log is on disk.
	stable Index
}

// handedOutBatch is what is remembered of a batch that the caller writes.
type handedOutBatch struct {
	sequence uint64
	// covers is the index up to which the log is on disk once the batch is.
	covers Index
}

// open returns the pending batch.
func (pipeline *pipeline) open() *PersistBatch {
	if pipeline.pending == nil {
		pipeline.last++
		pipeline.pending = &PersistBatch{Sequence: pipeline.last}
	}
	return pipeline.pending
}

// addHardState adds a changed hard state.
func (pipeline *pipeline) addHardState(state HardState) {
	batch := pipeline.open()
	batch.HardState = &state
	pipeline.hardState = batch.Sequence
}

// addEntries adds entries that replace all from the first of them on.
func (pipeline *pipeline) addEntries(entries []Entry) {
	pipeline.truncate(entries[0].Index)
	batch := pipeline.open()
	batch.Entries = append(batch.Entries, entries...)
}

// addSnapshot adds a snapshot that replaces the whole log.
func (pipeline *pipeline) addSnapshot(snapshot Snapshot) {
	pipeline.truncate(1)
	pipeline.open().Snapshot = &snapshot
}

// truncate forgets what was said to be on disk from an index on.
func (pipeline *pipeline) truncate(from Index) {
	pipeline.stable = min(pipeline.stable, from-1)
	for position := range pipeline.handedOut {
		batch := &pipeline.handedOut[position]
		batch.covers = min(batch.covers, from-1)
	}
	if pipeline.pending == nil {
		return
	}
	entries := pipeline.pending.Entries
	for len(entries) > 0 && entries[len(entries)-1].Index >= from {
		entries = entries[:len(entries)-1]
	}
	pipeline.pending.Entries = entries
}

// take hands out the pending batch.
func (pipeline *pipeline) take() *PersistBatch {
	batch := pipeline.pending
	if batch == nil {
		return nil
	}
	pipeline.pending = nil
	covers := Index(0)
	if batch.Snapshot != nil {
		covers = batch.Snapshot.Index
	}
	if count := len(batch.Entries); count > 0 {
		covers = batch.Entries[count-1].Index
	}
	pipeline.handedOut = append(pipeline.handedOut, handedOutBatch{sequence: batch.Sequence, covers: covers})
	return batch
}

// report notes that the batches up to a sequence number are on disk.
func (pipeline *pipeline) report(sequence uint64) {
	for len(pipeline.handedOut) > 0 && pipeline.handedOut[0].sequence <= sequence {
		batch := pipeline.handedOut[0]
		pipeline.handedOut = pipeline.handedOut[1:]
		pipeline.persisted = batch.sequence
		pipeline.stable = max(pipeline.stable, batch.covers)
	}
}
