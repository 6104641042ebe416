package disklog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// formatVersion is the version of all the layouts in this file. Numbers are little-endian.
const formatVersion uint32 = 1

var (
	segmentMagic = [8]byte{'S', 'U', 'M', 'A', 'S', 'E', 'G', 'M'}
	controlMagic = [8]byte{'S', 'U', 'M', 'A', 'C', 'T', 'R', 'L'}
)

// Sizes in bytes.
const (
	recordHeaderSize  = 32
	segmentHeaderSize = 48
	controlSlotSize   = 64
	checksumSize      = 4
	// recordsStart is the offset of a segment's first record.
	recordsStart int64 = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// chain returns the CRC-32C that continues from the checksum before it.
func chain(previous uint32, data []byte) uint32 {
	return crc32.Update(previous, castagnoli, data)
}

// stamp tells one write of a batch from every other, over the whole life of a log.
type stamp uint64

// batchBits is the width of a stamp's count of batches; the bits above it count openings.
const batchBits = 40

func makeStamp(opening uint32, batch uint64) stamp {
	return stamp(uint64(opening)<<batchBits | batch)
}

// recordHeader stands before each record's data.
type recordHeader struct {
	length   uint32
	group    uint32
	sequence uint64
	stamp    stamp
	kind     Kind
	checksum uint32
}

// encodeRecord appends the record to buffer and returns it with the record's checksum.
func encodeRecord(buffer []byte, record Record, sequence uint64, write stamp, previous uint32) ([]byte, uint32) {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(record.Data)))
	buffer = binary.LittleEndian.AppendUint32(buffer, record.Group)
	buffer = binary.LittleEndian.AppendUint64(buffer, sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(write))
	buffer = append(buffer, byte(record.Kind), 0, 0, 0)
	checksum := chain(chain(previous, buffer[start:]), record.Data)
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum)
	return append(buffer, record.Data...), checksum
}

func decodeRecordHeader(data []byte) recordHeader {
	return recordHeader{
		length:   binary.LittleEndian.Uint32(data[0:]),
		group:    binary.LittleEndian.Uint32(data[4:]),
		sequence: binary.LittleEndian.Uint64(data[8:]),
		stamp:    stamp(binary.LittleEndian.Uint64(data[16:])),
		kind:     Kind(data[24]),
		checksum: binary.LittleEndian.Uint32(data[28:]),
	}
}

// recordChecksum returns the checksum a record must have after the previous one.
func recordChecksum(previous uint32, header, data []byte) uint32 {
	return chain(chain(previous, header[:recordHeaderSize-checksumSize]), data)
}

// recordSize returns the bytes that a record takes on disk.
func recordSize(record Record) int64 {
	return recordHeaderSize + int64(len(record.Data))
}

// segmentHeader begins a segment.
type segmentHeader struct {
	// generation counts the segments written since the log was made; it gives the place in the ring.
	generation    uint64
	firstSequence uint64
	stamp         stamp
	// previous is the last checksum of the segment before it in a checkpoint of several.
	previous uint32
	// checksum is that of the encoded header; the first record continues from it.
	checksum uint32
}

// encode appends the header to buffer and sets its checksum.
func (header *segmentHeader) encode(buffer []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, segmentMagic[:]...)
	buffer = binary.LittleEndian.AppendUint32(buffer, formatVersion)
	buffer = binary.LittleEndian.AppendUint32(buffer, header.previous)
	buffer = binary.LittleEndian.AppendUint64(buffer, header.generation)
	buffer = binary.LittleEndian.AppendUint64(buffer, header.firstSequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(header.stamp))
	buffer = append(buffer, 0, 0, 0, 0)
	header.checksum = chain(0, buffer[start:])
	return binary.LittleEndian.AppendUint32(buffer, header.checksum)
}

// decodeSegmentHeader reports false for anything but an intact header of this version.
func decodeSegmentHeader(data []byte) (segmentHeader, bool) {
	body, checksum := splitChecksum(data[:segmentHeaderSize])
	intact := chain(0, body) == checksum &&
		bytes.HasPrefix(body, segmentMagic[:]) &&
		binary.LittleEndian.Uint32(body[8:]) == formatVersion
	return segmentHeader{
		previous:      binary.LittleEndian.Uint32(body[12:]),
		generation:    binary.LittleEndian.Uint64(body[16:]),
		firstSequence: binary.LittleEndian.Uint64(body[24:]),
		stamp:         stamp(binary.LittleEndian.Uint64(body[32:])),
		checksum:      checksum,
	}, intact
}

// splitChecksum parts the checksum at the end from what it covers.
func splitChecksum(data []byte) ([]byte, uint32) {
	end := len(data) - checksumSize
	return data[:end], binary.LittleEndian.Uint32(data[end:])
}

// controlSlot says where the log begins.
type controlSlot struct {
	options Options
	// serial counts the slots written; it gives the slot's place.
	serial  uint64
	opening uint32
	// generation is that of the checkpoint's first segment, and parts the number of its segments.
	generation uint64
	parts      uint32
	// headerChecksum is that of the checkpoint's first segment header.
	headerChecksum uint32
	// floor is the last sequence known to be durable when the slot was written.
	floor uint64
}

func (slot controlSlot) encode() []byte {
	buffer := make([]byte, 0, controlSlotSize)
	buffer = append(buffer, controlMagic[:]...)
	buffer = binary.LittleEndian.AppendUint32(buffer, formatVersion)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(slot.options.Segments))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(slot.options.SegmentBytes))
	buffer = binary.LittleEndian.AppendUint64(buffer, slot.serial)
	buffer = binary.LittleEndian.AppendUint32(buffer, slot.opening)
	buffer = binary.LittleEndian.AppendUint32(buffer, slot.parts)
	buffer = binary.LittleEndian.AppendUint64(buffer, slot.generation)
	buffer = binary.LittleEndian.AppendUint64(buffer, slot.floor)
	buffer = binary.LittleEndian.AppendUint32(buffer, slot.headerChecksum)
	return binary.LittleEndian.AppendUint32(buffer, chain(0, buffer))
}

// decodeControlSlot reports false for a torn, empty or foreign slot. The version is for the
// caller to judge, and the rest holds only for formatVersion.
func decodeControlSlot(data []byte) (slot controlSlot, version uint32, intact bool) {
	body, checksum := splitChecksum(data[:controlSlotSize])
	intact = chain(0, body) == checksum && bytes.HasPrefix(body, controlMagic[:])
	slot = controlSlot{
		options: Options{
			Segments:     int(binary.LittleEndian.Uint32(body[12:])),
			SegmentBytes: int64(binary.LittleEndian.Uint64(body[16:])),
		},
		serial:         binary.LittleEndian.Uint64(body[24:]),
		opening:        binary.LittleEndian.Uint32(body[32:]),
		parts:          binary.LittleEndian.Uint32(body[36:]),
		generation:     binary.LittleEndian.Uint64(body[40:]),
		floor:          binary.LittleEndian.Uint64(body[48:]),
		headerChecksum: binary.LittleEndian.Uint32(body[56:]),
	}
	return slot, binary.LittleEndian.Uint32(body[8:]), intact
}
