package disklog

import (
	"bufio"
	"errors"
	"io"
)

// readBufferSize is how much replay reads at once, in bytes.
const readBufferSize = 64 << 10

// replayed is what a replay found.
type replayed struct {
	records []Record
	end     position
	// unsettled is the offset in the last segment from where records may not be durable yet:
	// the start of the last batch. All before it were synced, as a batch is written only behind
	// a durable one.
	unsettled int64
	lastStamp stamp
}

// replay reads the checkpoint in force and all that continues from it.
func (log *Log) replay() (*replayed, error) {
	slot := log.control.durable
	found := &replayed{}
	for part := range slot.parts {
		found.end.generation = slot.generation + uint64(part)
		header, err := log.readHeader(found.end.generation)
		if err != nil {
			return nil, err
		}
		name := segmentName(log.place(found.end.generation))
		if part == 0 && header.checksum != slot.headerChecksum {
			return nil, corruptError(name, "its header is not the one of the checkpoint in force")
		}
		if part > 0 && header.previous != found.end.checksum {
			return nil, corruptError(name, "the checkpoint in the segment before it is damaged")
		}
		if err := log.replaySegment(found, header); err != nil {
			return nil, err
		}
	}
	if found.end.sequence < slot.floor {
		name := segmentName(log.place(found.end.generation))
		return nil, corruptError(name, "records that were durable are damaged")
	}
	return found, nil
}

// readHeader reads the header that a segment of the checkpoint in force must have.
func (log *Log) readHeader(generation uint64) (segmentHeader, error) {
	index := log.place(generation)
	data, err := readPadded(log.segments[index], segmentName(index), 0, segmentHeaderSize)
	if err != nil {
		return segmentHeader{}, err
	}
	header, intact := decodeSegmentHeader(data)
	if !intact || header.generation != generation {
		return header, corruptError(segmentName(index), "its header is missing or damaged")
	}
	return header, nil
}

// replaySegment reads the records of one segment up to the first that does not continue the chain.
func (log *Log) replaySegment(found *replayed, header segmentHeader) error {
	index := log.place(header.generation)
	found.end.offset = recordsStart
	found.end.sequence = header.firstSequence - 1
	found.end.checksum = header.checksum
	found.unsettled = recordsStart
	found.lastStamp = header.stamp
	section := io.NewSectionReader(log.segments[index], recordsStart, log.options.capacity())
	reader := bufio.NewReaderSize(section, readBufferSize)
	for {
		valid, err := log.replayRecord(found, reader)
		if err != nil {
			return readError(err, "read", segmentName(index))
		}
		if !valid {
			return nil
		}
	}
}

// replayRecord reads one record, and reports false if it does not continue the chain.
func (log *Log) replayRecord(found *replayed, reader io.Reader) (bool, error) {
	var encoded [recordHeaderSize]byte
	if complete, err := readFull(reader, encoded[:]); !complete {
		return false, err
	}
	header := decodeRecordHeader(encoded[:])
	free := log.options.SegmentBytes - found.end.offset - recordHeaderSize
	if header.sequence != found.end.sequence+1 || int64(header.length) > free {
		return false, nil
	}
	data := make([]byte, header.length)
	if complete, err := readFull(reader, data); !complete {
		return false, err
	}
	previous := log.defects.previous(found.end.checksum)
	if recordChecksum(previous, encoded[:], data) != header.checksum {
		return false, nil
	}
	found.add(header, data, log.control.durable.floor)
	return true, nil
}

// add takes in a valid record.
func (found *replayed) add(header recordHeader, data []byte, floor uint64) {
	record := Record{Group: header.group, Kind: header.kind, Data: data}
	start := found.end.offset
	found.records = append(found.records, record)
	found.end.offset += recordSize(record)
	found.end.sequence = header.sequence
	found.end.checksum = header.checksum
	switch {
	case header.sequence <= floor:
		found.unsettled = found.end.offset
	case header.stamp != found.lastStamp:
		found.unsettled = start
	}
	found.lastStamp = header.stamp
}

// readFull fills data, and reports false at the end of the file.
func readFull(reader io.Reader, data []byte) (bool, error) {
	_, err := io.ReadFull(reader, data)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false, nil
	}
	return err == nil, err
}

// settleTail writes the last batch once more, in its place, with zeros after it where the next
// record's header goes, so that neither the batch nor its end can change after this Open.
func (log *Log) settleTail(found *replayed) error {
	if log.defects.trustTail {
		return nil
	}
	index := log.place(found.end.generation)
	file := log.segments[index]
	end := min(found.end.offset+recordHeaderSize, log.options.SegmentBytes)
	if log.defects.openEnd {
		end = found.end.offset
	}
	for offset := found.unsettled; offset < end; offset += chunkSize {
		size := min(chunkSize, end-offset)
		data, err := readPadded(file, segmentName(index), offset, size)
		if err != nil {
			return err
		}
		if written := found.end.offset - offset; written < size {
			clear(data[max(written, 0):])
		}
		if _, err := file.WriteAt(data, offset); err != nil {
			return writeError(err, "write", segmentName(index))
		}
	}
	if err := file.Sync(); err != nil {
		return writeError(err, "sync", segmentName(index))
	}
	return nil
}
