package disklog

import (
	"errors"
	"fmt"
)

// Kind tells apart the records of a group. Its values are the caller's.
type Kind uint8

// Record is one entry of the log.
type Record struct {
	// Group is the caller's: what the record belongs to.
	Group uint32
	Kind  Kind
	Data  []byte
}

// Defaults and bounds of Options.
const (
	DefaultSegments           = 4
	DefaultSegmentBytes int64 = 6 << 20
	MinimumSegments           = 2
	MaximumSegments           = 1024
	MinimumSegmentBytes int64 = 1 << 10
	MaximumSegmentBytes int64 = 1 << 30
)

// reserveDivisor gives the share of a segment that a checkpoint leaves free for appends: a
// batch of up to a quarter of a segment always fits after a checkpoint.
const reserveDivisor = 4

// Options are the measures of a log, fixed when it is made. A zero stands for the default.
type Options struct {
	// Segments is the number of files in the ring. A checkpoint may take half of them.
	Segments int
	// SegmentBytes is the size of each.
	SegmentBytes int64
}

func (options Options) withDefaults() Options {
	if options.Segments == 0 {
		options.Segments = DefaultSegments
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	return options
}

func (options Options) check() error {
	if options.Segments < MinimumSegments || options.Segments > MaximumSegments {
		return ErrOptions.New("%d segments; set %d to %d", options.Segments, MinimumSegments, MaximumSegments)
	}
	if options.SegmentBytes < MinimumSegmentBytes || options.SegmentBytes > MaximumSegmentBytes {
		return ErrOptions.New("segments of %d bytes; set %d to %d",
			options.SegmentBytes, MinimumSegmentBytes, MaximumSegmentBytes)
	}
	return nil
}

// capacity is the room for records in a segment, in bytes.
func (options Options) capacity() int64 {
	return options.SegmentBytes - recordsStart
}

// Stats describes where the log stands.
type Stats struct {
	// Segment is the place of the current segment in the ring, and Generation the number of
	// segments written before it since the log was made.
	Segment    int
	Generation uint64
	// UsedBytes and FreeBytes are those of the current segment.
	UsedBytes int64
	FreeBytes int64
	// Sequence is that of the last durable record, counted from 1 since the log was made.
	Sequence uint64
	// Created says that this Open made the log: the disk was empty, new or wiped.
	Created bool
}

// Log is an open log. It is for one goroutine.
type Log struct {
	options  Options
	segments []File
	control  controlFile
	// end is that of the durable records.
	end     position
	batch   uint64
	buffer  []byte
	created bool
	closed  bool
	defects defects
}

// Append writes the records behind those before and makes them durable. On nil all of them are;
// on an error none count, but until the next success a first part of them may turn up at Open.
// ErrSegmentFull asks for a Checkpoint first. On ErrWrite the log stays usable, and a later
// append takes the same place.
func (log *Log) Append(records []Record) error {
	if log.closed {
		return ErrClosed.New("append; open the log again")
	}
	if len(records) == 0 {
		return nil
	}
	if err := log.checkRoom(records); err != nil {
		return err
	}
	if err := log.control.settle(); err != nil {
		return err
	}
	w := log.writer(log.end, log.nextStamp())
	defer log.keepBuffer(w)
	if err := w.records(records); err != nil {
		return err
	}
	if err := w.sync(); err != nil {
		return err
	}
	log.end = w.end
	return nil
}

// checkRoom refuses a batch that does not fit in the current segment.
func (log *Log) checkRoom(records []Record) error {
	var size int64
	for _, record := range records {
		size += recordSize(record)
	}
	if size > log.options.capacity() {
		return ErrRecordTooLarge.New("batch of %d records takes %d bytes and a segment %d; "+
			"append less at once or make a log of larger segments", len(records), size, log.options.capacity())
	}
	free := log.options.SegmentBytes - log.end.offset
	if size > free {
		return ErrSegmentFull.New("batch of %d bytes, %d free; a checkpoint makes room", size, free)
	}
	return nil
}

// nextStamp returns a stamp that no write has had.
func (log *Log) nextStamp() stamp {
	if log.defects.reuseStamps {
		return 0
	}
	log.batch++
	return makeStamp(log.control.durable.opening, log.batch)
}

func (log *Log) writer(start position, write stamp) *writer {
	index := log.place(start.generation)
	return &writer{
		file:    log.segments[index],
		name:    segmentName(index),
		offset:  start.offset,
		buffer:  log.buffer[:0],
		end:     start,
		stamp:   write,
		defects: log.defects,
	}
}

// keepBuffer takes the buffer back for the next write, unless a large record made it grow.
func (log *Log) keepBuffer(w *writer) {
	log.buffer = nil
	if cap(w.buffer) <= 2*chunkSize {
		log.buffer = w.buffer[:0]
	}
}

// place returns the index in the ring of the segment with this generation.
func (log *Log) place(generation uint64) int {
	return int(generation % uint64(log.options.Segments))
}

// Stats returns where the log stands.
func (log *Log) Stats() Stats {
	return Stats{
		Segment:    log.place(log.end.generation),
		Generation: log.end.generation,
		UsedBytes:  log.end.offset,
		FreeBytes:  log.options.SegmentBytes - log.end.offset,
		Sequence:   log.end.sequence,
		Created:    log.created,
	}
}

// Close lets go of the files. Everything acknowledged is durable already.
func (log *Log) Close() error {
	if log.closed {
		return nil
	}
	log.closed = true
	var failures []error
	for _, file := range log.files() {
		failures = append(failures, file.Close())
	}
	if err := errors.Join(failures...); err != nil {
		return ErrWrite.New("close: %w; what was acknowledged is durable, nothing is to be done", err)
	}
	return nil
}

// files returns all open files.
func (log *Log) files() []File {
	var files []File
	if log.control.file != nil {
		files = append(files, log.control.file)
	}
	return append(files, log.segments...)
}

func segmentName(index int) string {
	return fmt.Sprintf("segment-%04d.log", index)
}
