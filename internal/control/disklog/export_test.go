package disklog

// Names that the external tests need. Their package is another one, as memdisk imports this one.

// OpenDefective opens a log with faults put in.
var OpenDefective = open

// Defects is the type of the faults.
type Defects = defects

// The faults, one each.
var (
	NoChain            = defects{noChain: true}
	ReuseStamps        = defects{reuseStamps: true}
	CommitUnsynced     = defects{commitUnsynced: true}
	KeepDoubtfulCommit = defects{keepDoubtfulCommit: true}
	TrustTail          = defects{trustTail: true}
	TrustSlot          = defects{trustSlot: true}
	OpenEnd            = defects{openEnd: true}
)

// Names and places of the files.
const (
	RecordsStart = recordsStart
	SlotSpace    = controlSlotSpace
)

// SegmentName returns the name of a segment's file.
var SegmentName = segmentName

// EncodeForeignVersion returns a control slot of a version that is not ours.
func EncodeForeignVersion() []byte {
	body, _ := splitChecksum(controlSlot{serial: 1}.encode())
	body[8] = 99
	checksum := chain(0, body)
	return append(body, byte(checksum), byte(checksum>>8), byte(checksum>>16), byte(checksum>>24))
}
