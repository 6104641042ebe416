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

// The kinds of records.
const (
	kindIdentity  disklog.Kind = iota + 1 // of the member: consensus.Member
	kindHardState                         // consensus.HardState
	kindSnapshot                          // consensus.Snapshot, in place of the whole log
	kindCompacted                         // consensus.Snapshot, in place of the log up to it
	kindEntry                             // consensus.Entry, in place of all from its index on
	kindCommitted                         // consensus.Index up to which the log is known to be committed
	kindNote                              // bytes that the host's user keeps beside the partitions
)

// identityGroup is the group of the identity's record; no partition has this number.
const identityGroup = 1<<32 - 1

// retryInterval is how long the writer waits after the disk refused a write.
const retryInterval = 200 * time.Millisecond

// diskState is what the disk holds.
type diskState struct {
	identity consensus.Member
	note     []byte
	groups   map[Group]*diskGroup
}

// diskGroup is what it holds of one partition.
type diskGroup struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	committed consensus.Index
}

// replayRecords folds the records found at the start.
func replayRecords(records []disklog.Record) (*diskState, error) {
	state := &diskState{groups: map[Group]*diskGroup{}}
	for _, record := range records {
		if err := state.applyRecord(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// applyRecord folds one record.
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
	return Error.New("the disk holds a record of kind %d: start the release that wrote it", record.Kind)
}

func (s *diskState) group(number Group) *diskGroup {
	stored := s.groups[number]
	if stored == nil {
		stored = &diskGroup{}
		s.groups[number] = stored
	}
	return stored
}

// replace takes a snapshot; the entries after it stay where it is one of this very log.
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

// append takes an entry in place of all from its index on.
func (g *diskGroup) append(entry consensus.Entry) {
	for len(g.entries) > 0 && g.entries[len(g.entries)-1].Index >= entry.Index {
		g.entries = g.entries[:len(g.entries)-1]
	}
	g.entries = append(g.entries, entry)
}

// records are the state as a checkpoint.
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
		panic(err) // plain structs can always be encoded
	}
	return disklog.Record{Group: uint32(number), Kind: kind, Data: data}
}

// batch is one write, and what is done once it is on disk.
type batch struct {
	records []disklog.Record
	done    func()
}

// writer writes batches in their order. It has a goroutine of its own, as the disk may stall for seconds.
type writer struct {
	log   *disklog.Log
	state *diskState // what is on disk
	// initialNote is the note that the disk held at the start.
	initialNote   []byte
	logger        zerolog.Logger
	post          func(func())
	onDiskFailure func(bool) // told when the disk begins and ceases to refuse

	mu    sync.Mutex
	queue []batch
	stats disklog.Stats // after the latest write
	wake  chan struct{}
}

func newWriter(log *disklog.Log, state *diskState, lines zerolog.Logger, post func(func())) *writer {
	return &writer{log: log, state: state, initialNote: state.note, logger: lines, post: post, wake: make(chan struct{}, 1)}
}

// add queues a node's batch.
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

// writeCommitted queues the index up to which a partition's log is known to be writeCommitted. Nothing waits for it.
func (w *writer) writeCommitted(number Group, index consensus.Index) {
	w.enqueue(batch{records: []disklog.Record{newRecord(number, kindCommitted, index)}, done: func() {}})
}

// writeNote queues the bytes that the host's user keeps.
func (w *writer) writeNote(note []byte) {
	w.enqueue(batch{records: []disklog.Record{newRecord(identityGroup, kindNote, note)}, done: func() {}})
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

// takeQueue takes all that is queued, to be written with one sync.
func (w *writer) takeQueue() []batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.queue
	w.queue = nil
	return taken
}

// run writes until the context ends.
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

// groupBytes bounds what is written with one sync.
const groupBytes = 2 << 20

// groupBatches cuts batches into groups that are written with one sync each.
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

// persist writes a group of batches, again and again while the disk refuses; false says that the context has ended.
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
			w.logger.Warn().Err(err).Msg("the disk refuses writes")
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

// write writes records and takes them into the state; a full segment is left behind with a checkpoint.
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

// checkpointWith writes records that are too large to stand behind a checkpoint as a part of one.
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
