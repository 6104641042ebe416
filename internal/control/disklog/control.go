package disklog

// ControlName is the name of the file that a folder with a log holds.
const ControlName = "control.log"

const (
	controlName = ControlName
	// controlSlots are written in turn, so that a torn write leaves the slot before it.
	controlSlots = 2
	// controlSlotSpace keeps the slots apart from each other by more than a disk's block.
	controlSlotSpace int64 = 4096
	controlFileSize        = controlSlots * controlSlotSpace
)

// controlFile holds the slot in force.
type controlFile struct {
	file File
	// durable is the newest slot known to be on disk.
	durable controlSlot
	// doubtful says that a newer slot was written whose outcome is unknown.
	doubtful bool
	defects  defects
}

// slotOffset returns the place of the slot with this serial.
func slotOffset(serial uint64) int64 {
	return int64(serial%controlSlots) * controlSlotSpace
}

// commit puts the slot in force. It takes the serial after the durable one, so a second try
// writes over the first and never over the durable slot.
func (control *controlFile) commit(slot controlSlot) error {
	slot.serial = control.durable.serial + 1
	control.doubtful = true
	if err := control.write(slot); err != nil {
		return err
	}
	control.durable = slot
	control.doubtful = false
	return nil
}

// settle takes back a commit of unknown outcome.
func (control *controlFile) settle() error {
	if !control.doubtful || control.defects.keepDoubtfulCommit {
		return nil
	}
	return control.commit(control.durable)
}

// rewrite writes the slot in force once more, in its place.
func (control *controlFile) rewrite() error {
	if control.defects.trustSlot {
		return nil
	}
	return control.write(control.durable)
}

// write writes the slot to its place and syncs it.
func (control *controlFile) write(slot controlSlot) error {
	if _, err := control.file.WriteAt(slot.encode(), slotOffset(slot.serial)); err != nil {
		return writeError(err, "write", controlName)
	}
	if err := control.file.Sync(); err != nil {
		return writeError(err, "sync", controlName)
	}
	return nil
}

// controlContents is what a look at the control file found.
type controlContents struct {
	newest controlSlot
	// found says that newest is valid.
	found bool
	// unfinished says that the log was never opened in full, so that it holds nothing.
	unfinished bool
}

// readControl reads both slots. A log that was once open has written both, one after the other,
// so at most one of them can be torn.
func readControl(file File) (controlContents, error) {
	var contents controlContents
	data, err := readPadded(file, controlName, 0, controlFileSize)
	if err != nil {
		return contents, err
	}
	for place := range uint64(controlSlots) {
		slot, version, intact := decodeControlSlot(data[slotOffset(place):])
		if !intact {
			continue
		}
		if version != formatVersion {
			return contents, ErrForeign.New("%s has format version %d, this program reads %d; "+
				"run the program that wrote it, or %s", controlName, version, formatVersion, adviceOnCorrupt)
		}
		if !contents.found || slot.serial > contents.newest.serial {
			contents.newest = slot
			contents.found = true
		}
	}
	if contents.found {
		return contents, nil
	}
	contents.unfinished = isZero(data[:controlSlotSpace])
	if !contents.unfinished {
		return contents, ErrForeign.New("%s holds no valid slot; if the folder is another program's, "+
			"set another data folder, otherwise %s", controlName, adviceOnCorrupt)
	}
	return contents, nil
}
