package disklog

// Checkpoint writes the records to the next segments of the ring, in place of all records
// before. On nil they are durable and the older segments free. On an error the log stands where
// it was; until the next success, Open may find either the old records or the checkpoint.
//
// ErrCheckpointTooLarge says that the records do not fit in half of the ring: the rest holds
// the checkpoint before.
func (log *Log) Checkpoint(records []Record) error {
	if log.closed {
		return ErrClosed.New("checkpoint; open the log again")
	}
	parts, err := log.layOut(records)
	if err != nil {
		return err
	}
	if err := log.control.settle(); err != nil {
		return err
	}
	slot := log.control.durable
	slot.generation = log.end.generation + 1
	slot.parts = uint32(len(parts))
	slot.floor = log.end.sequence + uint64(len(records))
	return log.replace(parts, slot)
}

// layOut shares the records out among segments. The last one keeps a reserve for appends.
func (log *Log) layOut(records []Record) ([][]Record, error) {
	capacity := log.options.capacity()
	reserve := capacity / reserveDivisor
	parts := [][]Record{nil}
	free := capacity
	first := 0
	for index, record := range records {
		size := recordSize(record)
		if size > capacity {
			return nil, ErrRecordTooLarge.New("record of %d bytes, a segment takes %d; "+
				"make a log of larger segments", size, capacity)
		}
		if size > free {
			parts = append(parts, nil)
			first = index
			free = capacity
		}
		parts[len(parts)-1] = records[first : index+1]
		free -= size
	}
	if free < reserve {
		parts = append(parts, nil)
	}
	limit := log.options.Segments / 2
	if len(parts) > limit {
		return nil, ErrCheckpointTooLarge.New("%d records need %d segments, %d may be used; "+
			"make a log of more or larger segments", len(records), len(parts), limit)
	}
	return parts, nil
}

// replace writes the parts of a checkpoint, and commits the slot once all of them are durable.
func (log *Log) replace(parts [][]Record, slot controlSlot) error {
	write := log.nextStamp()
	end := log.end
	var previous uint32
	for index, part := range parts {
		end.generation = slot.generation + uint64(index)
		end.offset = 0
		w := log.writer(end, write)
		header, err := log.writePart(w, part, previous)
		log.keepBuffer(w)
		if err != nil {
			return err
		}
		if index == 0 {
			slot.headerChecksum = header.checksum
		}
		end = w.end
		previous = end.checksum
	}
	if err := log.control.commit(slot); err != nil {
		return err
	}
	log.end = end
	return nil
}

// writePart writes and syncs one segment.
func (log *Log) writePart(w *writer, part []Record, previous uint32) (segmentHeader, error) {
	header := w.header(previous)
	if err := w.records(part); err != nil {
		return header, err
	}
	if log.defects.commitUnsynced {
		return header, w.flush()
	}
	return header, w.sync()
}
