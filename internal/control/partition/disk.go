package partition

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// The kinds of disk records, with the type of their data.
const (
	kindIdentity  disklog.Kind = iota + 1 // consensus.Member, the member's identity
	kindHardState                         // consensus.HardState
	kindSnapshot                          // consensus.Snapshot, replaces the whole log
	kindCompacted                         // consensus.Snapshot, replaces the log up to its index
	kindEntry                             // consensus.Entry, replaces all entries from its index on
	kindCommitted                         // consensus.Index, the highest known commit index
	kindNote                              // []byte, see Host.SaveNote
)

// identityGroup is the group number of the identity and note records. No partition has this number.
const identityGroup = 1<<32 - 1

// retryInterval is the delay before a failed write is retried.
const retryInterval = 200 * time.Millisecond

// diskState is the state stored on disk.
type diskState struct {
	identity consensus.Member
	note     []byte
	groups   map[Group]*diskGroup
}

// diskGroup is the stored state of one partition.
type diskGroup struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	committed consensus.Index
}

// replayRecords builds the state from the records found at the start.
func replayRecords(records []disklog.Record) (*diskState, error) {
	state := &diskState{groups: map[Group]*diskGroup{}}
	for _, record := range records {
		if err := state.applyRecord(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// applyRecord applies one record to the state.
func (s *diskState) applyRecord(record disklog.Record) error {
	if record.Kind == kindIdentity {
		return Error.Wrap(cbor.Unmarshal(record.Data, &s.identity))
	}
	if record.Kind == kindNote {
		return Error.Wrap(cbor.Unmarshal(record.Data, &s.note))
	}
	stored := s.group(Group(record.Group))
	switch record.Kind {
	case kindHardState:
		stored.hardState = consensus.HardState{}
		return Error.Wrap(cbor.Unmarshal(record.Data, &stored.hardState))
	case kindSnapshot, kindCompacted:
		var snapshot consensus.Snapshot
		if err := cbor.Unmarshal(record.Data, &snapshot); err != nil {
			return Error.Wrap(err)
		}
		stored.replace(snapshot, record.Kind == kindCompacted)
		return nil
	case kindCommitted:
		return Error.Wrap(cbor.Unmarshal(record.Data, &stored.committed))
	case kindEntry:
		var entry consensus.Entry
		if err := cbor.Unmarshal(record.Data, &entry); err != nil {
			return Error.Wrap(err)
		}
		stored.append(entry)
		return nil
	}
	return Error.New("unknown disk record of kind %d: start the release that wrote it", record.Kind)
}

func (s *diskState) group(number Group) *diskGroup {
	stored := s.groups[number]
	if stored == nil {
		stored = &diskGroup{}
		s.groups[number] = stored
	}
	return stored
}

// replace installs a snapshot. The entries after it are kept if the snapshot was taken of this log.
func (g *diskGroup) replace(snapshot consensus.Snapshot, sameLog bool) {
	g.snapshot = snapshot
	kept := []consensus.Entry{}
	for _, entry := range g.entries {
		if sameLog && entry.Index > snapshot.Index {
			kept = append(kept, entry)
		}
	}
	g.entries = kept
}

// append adds an entry and drops all entries from its index on.
func (g *diskGroup) append(entry consensus.Entry) {
	for len(g.entries) > 0 && g.entries[len(g.entries)-1].Index >= entry.Index {
		g.entries = g.entries[:len(g.entries)-1]
	}
	g.entries = append(g.entries, entry)
}

// records returns the state as the records of a checkpoint.
func (s *diskState) records() []disklog.Record {
	records := []disklog.Record{newRecord(identityGroup, kindIdentity, s.identity), newRecord(identityGroup, kindNote, s.note)}
	for number, stored := range s.groups {
		records = append(records, newRecord(number, kindSnapshot, stored.snapshot), newRecord(number, kindHardState, stored.hardState),
			newRecord(number, kindCommitted, stored.committed))
		for _, entry := range stored.entries {
			records = append(records, newRecord(number, kindEntry, entry))
		}
	}
	return records
}

func newRecord(number Group, kind disklog.Kind, value any) disklog.Record {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: plain structs can always be encoded
	}
	return disklog.Record{Group: uint32(number), Kind: kind, Data: data}
}

// batch is a set of records written together, with a callback for when they are on disk.
type batch struct {
	records []disklog.Record
	done    func()
}

// writer writes batches in order. It has its own goroutine because the disk may stall for seconds.
type writer struct {
	log   *disklog.Log
	state *diskState // what is on disk
	// initialNote is the note that was on disk at the start.
	initialNote   []byte
	logger        zerolog.Logger
	post          func(func())
	onDiskFailure func(bool) // called when writes start to fail and when they succeed again

	mu    sync.Mutex
	queue []batch
	stats disklog.Stats // as of the latest write
	wake  chan struct{}
}

func newWriter(log *disklog.Log, state *diskState, logger zerolog.Logger, post func(func())) *writer {
	return &writer{log: log, state: state, initialNote: state.note, logger: logger, post: post, wake: make(chan struct{}, 1)}
}

// add queues a batch of a consensus node.
func (w *writer) add(number Group, persist *consensus.PersistBatch, done func()) {
	var records []disklog.Record
	if persist.HardState != nil {
		records = append(records, newRecord(number, kindHardState, *persist.HardState))
	}
	if persist.Snapshot != nil {
		records = append(records, newRecord(number, kindSnapshot, *persist.Snapshot))
	}
	for _, entry := range persist.Entries {
		records = append(records, newRecord(number, kindEntry, entry))
	}
	w.enqueue(batch{records: records, done: done})
}

// compact queues a snapshot of a partition's own log.
func (w *writer) compact(number Group, snapshot consensus.Snapshot, done func()) {
	w.enqueue(batch{records: []disklog.Record{newRecord(number, kindCompacted, snapshot)}, done: done})
}

// writeCommitted queues a partition's commit index. Nothing waits for this write.
func (w *writer) writeCommitted(number Group, index consensus.Index) {
	w.enqueue(batch{records: []disklog.Record{newRecord(number, kindCommitted, index)}, done: func() {}})
}

// writeNote queues the host's note. done is called once it is on disk.
func (w *writer) writeNote(note []byte, done func()) {
	w.enqueue(batch{records: []disklog.Record{newRecord(identityGroup, kindNote, note)}, done: done})
}

func (w *writer) enqueue(b batch) {
	w.mu.Lock()
	w.queue = append(w.queue, b)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// takeQueue removes and returns all queued batches.
func (w *writer) takeQueue() []batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.queue
	w.queue = nil
	return taken
}

// run writes queued batches until the context ends.
func (w *writer) run(ctx context.Context) {
	w.recordStats()
	for {
		for _, group := range groupBatches(w.takeQueue()) {
			if !w.persist(ctx, group) {
				return
			}
			for _, b := range group {
				w.post(b.done)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
	}
}

// groupBytes limits the size of a write with one sync.
const groupBytes = 2 << 20

// groupBatches divides batches into groups, each of which is written with one sync.
func groupBatches(batches []batch) [][]batch {
	var groups [][]batch
	size := groupBytes
	for _, b := range batches {
		batchBytes := 0
		for _, record := range b.records {
			batchBytes += len(record.Data)
		}
		if size += batchBytes; size > groupBytes {
			groups = append(groups, nil)
			size = batchBytes
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], b)
	}
	return groups
}

// persist writes a group of batches and retries until it succeeds. It returns false if the context ends first.
func (w *writer) persist(ctx context.Context, group []batch) bool {
	var records []disklog.Record
	for _, b := range group {
		records = append(records, b.records...)
	}
	failing := false
	for {
		err := w.write(records)
		if err == nil {
			break
		}
		if !failing {
			failing = true
			w.logger.Warn().Err(err).Msg("disk write failed, will be retried")
			w.notifyDiskFailure(true)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
	}
	if failing {
		w.notifyDiskFailure(false)
	}
	return true
}

func (w *writer) notifyDiskFailure(failed bool) {
	if w.onDiskFailure != nil {
		w.post(func() { w.onDiskFailure(failed) })
	}
}

// write appends records and applies them to the state. When the segment is full, it starts a new one with a checkpoint.
func (w *writer) write(records []disklog.Record) error {
	err := w.log.Append(records)
	if disklog.ErrSegmentFull.Has(err) {
		if err := w.log.Checkpoint(w.state.records()); err != nil {
			return err
		}
		err = w.log.Append(records)
	}
	if disklog.ErrSegmentFull.Has(err) {
		return w.checkpointWith(records)
	}
	if err != nil {
		return err
	}
	w.recordStats()
	for _, record := range records {
		if err := w.state.applyRecord(record); err != nil {
			return err
		}
	}
	return nil
}

// checkpointWith includes the records in a checkpoint, for records too large to be appended after one.
func (w *writer) checkpointWith(records []disklog.Record) error {
	next, err := replayRecords(append(w.state.records(), records...))
	if err != nil {
		return err
	}
	if err := w.log.Checkpoint(next.records()); err != nil {
		return err
	}
	w.state = next
	w.recordStats()
	return nil
}
