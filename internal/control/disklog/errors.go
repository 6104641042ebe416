package disklog

import "github.com/zeebo/errs"

// The classes of this package's errors. Each message says what an operator can do; the error of
// the disk itself, where there is one, can be found with errors.Is and errors.As.
var (
	// ErrSegmentFull says that the batch does not fit behind what the current segment holds.
	// Call Checkpoint, then append again.
	ErrSegmentFull = errs.Class("disk log: segment full")
	// ErrRecordTooLarge says that a record, or a batch as a whole, is larger than a segment.
	ErrRecordTooLarge = errs.Class("disk log: record too large")
	// ErrCheckpointTooLarge says that a checkpoint needs more than half of the ring.
	ErrCheckpointTooLarge = errs.Class("disk log: checkpoint too large")
	// ErrWrite says that the disk refused a write, a sync, or to open or make a file. Nothing of
	// the call counts as durable; it may be tried again.
	ErrWrite = errs.Class("disk log: write refused")
	// ErrRead says that the disk refused to read a file.
	ErrRead = errs.Class("disk log: read refused")
	// ErrCorrupt says that the files lack something that was durable.
	ErrCorrupt = errs.Class("disk log: corrupt")
	// ErrForeign says that a file is not one of this log, or of another format version.
	ErrForeign = errs.Class("disk log: foreign file")
	// ErrOptions says that the options make no log, or differ from those the log was made with.
	ErrOptions = errs.Class("disk log: options")
	// ErrClosed says that the log was used after Close.
	ErrClosed = errs.Class("disk log: closed")
)

// adviceOnWrite ends each message about a refused write.
const adviceOnWrite = "free space, repair the disk or " +
	"let this program write to the data folder; the call can be tried again"

// adviceOnRead ends each message about a refused read.
const adviceOnRead = "check the disk and the permissions of the data folder"

// adviceOnCorrupt ends each message about damaged files.
const adviceOnCorrupt = "empty the data folder, so that this member joins anew with an empty disk, " +
	"only while a majority of the other members is intact"

func writeError(err error, what, name string) error {
	return ErrWrite.New("%s %s: %w; %s", what, name, err, adviceOnWrite)
}

func readError(err error, what, name string) error {
	return ErrRead.New("%s %s: %w; %s", what, name, err, adviceOnRead)
}

func corruptError(name, finding string) error {
	return ErrCorrupt.New("%s: %s; %s", name, finding, adviceOnCorrupt)
}
