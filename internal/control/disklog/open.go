package disklog

import (
	"errors"
	"io"
)

// Open opens the log in the folder, or makes it, and returns the records from the newest
// checkpoint on, in order. All returned records are durable. Open writes and syncs, so it fails
// with ErrWrite while the disk refuses writes; it may then be called again.
func Open(fs FileSystem, options Options) (*Log, []Record, error) {
	return open(fs, options, defects{})
}

func open(fs FileSystem, options Options, defects defects) (*Log, []Record, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, nil, err
	}
	log := &Log{options: options, defects: defects}
	log.control.defects = defects
	records, err := log.start(fs)
	if err != nil {
		_ = log.Close() // what kept the log from opening matters more
		return nil, nil, err
	}
	return log, records, nil
}

// start brings the files in order and replays them.
func (log *Log) start(fs FileSystem) ([]Record, error) {
	if err := log.openFiles(fs); err != nil {
		return nil, err
	}
	contents, err := readControl(log.control.file)
	if err != nil {
		return nil, err
	}
	if contents.found {
		err = log.adopt(fs, contents.newest)
	} else {
		err = log.create(fs)
	}
	if err != nil {
		return nil, err
	}
	found, err := log.replay()
	if err != nil {
		return nil, err
	}
	if err := log.settleTail(found); err != nil {
		return nil, err
	}
	if err := log.claim(found.end); err != nil {
		return nil, err
	}
	return found.records, nil
}

// openFiles opens every file, and makes those that are missing.
func (log *Log) openFiles(fs FileSystem) error {
	file, err := fs.Open(controlName)
	if err != nil {
		return writeError(err, "open or make", controlName)
	}
	log.control.file = file
	for index := range log.options.Segments {
		file, err := fs.Open(segmentName(index))
		if err != nil {
			return writeError(err, "open or make", segmentName(index))
		}
		log.segments = append(log.segments, file)
	}
	return nil
}

// adopt takes over a log that was made before.
func (log *Log) adopt(fs FileSystem, slot controlSlot) error {
	if slot.options != log.options {
		return ErrOptions.New("the log has %d segments of %d bytes and the options say %d of %d; set them back, or %s",
			slot.options.Segments, slot.options.SegmentBytes,
			log.options.Segments, log.options.SegmentBytes, adviceOnCorrupt)
	}
	log.control.durable = slot
	return log.preallocate(fs, false)
}

// create makes a log in a folder without one. Its control file is durable before anything is
// written to a segment, so a segment with contents and no control file is not ours to write over.
func (log *Log) create(fs FileSystem) error {
	if err := log.refuseForeignSegments(); err != nil {
		return err
	}
	if err := log.preallocate(fs, true); err != nil {
		return err
	}
	log.created = true
	w := log.writer(position{}, 0)
	header, err := log.writePart(w, nil, 0)
	log.keepBuffer(w)
	if err != nil {
		return err
	}
	return log.control.commit(controlSlot{
		options:        log.options,
		parts:          1,
		headerChecksum: header.checksum,
	})
}

// refuseForeignSegments checks, if there is no control file, that the segments are empty too.
func (log *Log) refuseForeignSegments() error {
	size, err := log.control.file.Size()
	if err != nil {
		return readError(err, "size of", controlName)
	}
	if size > 0 {
		return nil
	}
	for index, file := range log.segments {
		data, err := readPadded(file, segmentName(index), 0, recordsStart)
		if err != nil {
			return err
		}
		if !isZero(data) {
			return corruptError(segmentName(index), "has contents, but "+controlName+" is missing or empty")
		}
	}
	return nil
}

// preallocate gives each file that is short its length, or every file if all is set.
func (log *Log) preallocate(fs FileSystem, all bool) error {
	if err := extend(log.control.file, controlName, controlFileSize, all); err != nil {
		return err
	}
	for index, file := range log.segments {
		if err := extend(file, segmentName(index), log.options.SegmentBytes, all); err != nil {
			return err
		}
	}
	if err := fs.SyncFolder(); err != nil {
		return writeError(err, "sync", "the data folder")
	}
	return nil
}

// extend gives a file its length and syncs it. A file that has it already is left, unless always.
func extend(file File, name string, size int64, always bool) error {
	found, err := file.Size()
	if err != nil {
		return readError(err, "size of", name)
	}
	if found > size {
		return ErrForeign.New("%s has %d bytes instead of %d; if the folder is another program's, "+
			"set another data folder, otherwise %s", name, found, size, adviceOnCorrupt)
	}
	if found == size && !always {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return writeError(err, "set the length of", name)
	}
	if err := file.Sync(); err != nil {
		return writeError(err, "sync", name)
	}
	return nil
}

// claim makes the number of this opening durable, so that no stamp is ever used again, together
// with how far the log is known to reach. The slot found is first written once more, as its
// sync may have failed: if it were lost, a torn claim would leave no slot at all.
func (log *Log) claim(end position) error {
	slot := log.control.durable
	if err := log.control.rewrite(); err != nil {
		return err
	}
	slot.opening++
	slot.floor = end.sequence
	if err := log.control.commit(slot); err != nil {
		return err
	}
	log.end = end
	return nil
}

// readPadded reads size bytes, with zeros for what lies past the end of the file.
func readPadded(file File, name string, offset, size int64) ([]byte, error) {
	data := make([]byte, size)
	_, err := file.ReadAt(data, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, readError(err, "read", name)
	}
	return data, nil
}

func isZero(data []byte) bool {
	for _, value := range data {
		if value != 0 {
			return false
		}
	}
	return true
}
