package disklog

// chunkSize is the most that one write carries, and what the log keeps as its buffer, in bytes.
const chunkSize = 256 << 10

// position is the end of a chain of records.
type position struct {
	generation uint64
	// offset is where the next record goes in the segment.
	offset int64
	// sequence is that of the last record.
	sequence uint64
	// checksum is what the next record's checksum continues from.
	checksum uint32
}

// writer encodes records at a position and writes them in chunks.
type writer struct {
	file    File
	name    string
	offset  int64
	buffer  []byte
	end     position
	stamp   stamp
	defects defects
}

// header begins a segment at the position's generation.
func (w *writer) header(previous uint32) segmentHeader {
	header := segmentHeader{
		generation:    w.end.generation,
		firstSequence: w.end.sequence + 1,
		stamp:         w.stamp,
		previous:      previous,
	}
	w.buffer = header.encode(w.buffer)
	w.buffer = append(w.buffer, make([]byte, recordsStart-segmentHeaderSize)...)
	w.end.offset = recordsStart
	w.end.checksum = header.checksum
	return header
}

// record adds one record.
func (w *writer) record(record Record) error {
	w.end.sequence++
	previous := w.defects.previous(w.end.checksum)
	w.buffer, w.end.checksum = encodeRecord(w.buffer, record, w.end.sequence, w.stamp, previous)
	w.end.offset += recordSize(record)
	if len(w.buffer) < chunkSize {
		return nil
	}
	return w.flush()
}

// records adds records in order.
func (w *writer) records(records []Record) error {
	for _, record := range records {
		if err := w.record(record); err != nil {
			return err
		}
	}
	return nil
}

// flush writes what is in the buffer.
func (w *writer) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	if _, err := w.file.WriteAt(w.buffer, w.offset); err != nil {
		return writeError(err, "write", w.name)
	}
	w.offset += int64(len(w.buffer))
	w.buffer = w.buffer[:0]
	return nil
}

// sync writes what is left and makes all of it durable.
func (w *writer) sync() error {
	if err := w.flush(); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return writeError(err, "sync", w.name)
	}
	return nil
}
