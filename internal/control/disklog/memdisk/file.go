package memdisk

import (
	"io"
	"maps"
	"slices"
)

// sectorSize is the unit in which a disk most often tears a write, in bytes.
const sectorSize = 512

// certainty is what a loss of power may do to a change.
type certainty int

const (
	// unsynced changes become synced with the next sync, or lapsed if it fails.
	unsynced certainty = iota
	// synced changes are durable.
	synced
	// lapsed changes were covered by a failed sync, and no later sync makes them durable.
	lapsed
)

// change is one write, or one change of length if data is nil.
type change struct {
	offset    int64
	data      []byte
	certainty certainty
}

// contents is a file: what processes see, and what of it is on disk.
type contents struct {
	visible []byte
	// base is durable, and changes come on top of it in order.
	base         []byte
	changes      []change
	entryDurable bool
}

// apply adds a change that processes see.
func (file *contents) apply(made change) {
	file.visible = made.applyTo(file.visible)
	file.changes = append(file.changes, made)
}

// applyTo returns data with the change made.
func (made change) applyTo(data []byte) []byte {
	if made.data == nil {
		return resize(data, made.offset)
	}
	end := made.offset + int64(len(made.data))
	if int64(len(data)) < end {
		data = resize(data, end)
	}
	copy(data[made.offset:end], made.data)
	return data
}

func resize(data []byte, size int64) []byte {
	if int64(len(data)) >= size {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// sync makes the unsynced changes durable.
func (file *contents) sync() {
	file.entryDurable = true
	file.mark(synced)
	file.fold()
}

// mark gives the unsynced changes another certainty.
func (file *contents) mark(now certainty) {
	for index := range file.changes {
		if file.changes[index].certainty == unsynced {
			file.changes[index].certainty = now
		}
	}
}

// fold moves durable changes into the base, up to the first that is not.
func (file *contents) fold() {
	for len(file.changes) > 0 && file.changes[0].certainty == synced {
		file.base = file.changes[0].applyTo(file.base)
		file.changes = file.changes[1:]
	}
}

// losePower draws the fate of each change that is not durable.
func (file *contents) losePower(fates *fates) {
	for _, made := range file.changes {
		if made.certainty == synced {
			file.base = made.applyTo(file.base)
			continue
		}
		for _, left := range fates.of(made) {
			file.base = left.applyTo(file.base)
		}
	}
	file.changes = nil
	file.visible = slices.Clone(file.base)
}

// fates draws what a loss of power leaves.
type fates struct {
	draw Draw
	// nothing says that this loss of power removes every change it can.
	nothing bool
}

func newFates(draw Draw) *fates {
	return &fates{draw: draw, nothing: draw(4) == 0}
}

// keep draws whether a whole thing is kept.
func (fates *fates) keep() bool {
	return !fates.nothing && fates.draw(2) == 0
}

// of returns what is left of the change.
func (fates *fates) of(made change) []change {
	if fates.nothing {
		return nil
	}
	fate := fates.draw(4)
	switch {
	case fate == 0:
		return nil
	case fate == 1 || made.data == nil:
		return []change{made}
	case fate == 2:
		return fates.sectors(made)
	default:
		return fates.span(made)
	}
}

// sectors keeps a drawn subset of the write's sectors.
func (fates *fates) sectors(made change) []change {
	var left []change
	end := made.offset + int64(len(made.data))
	for start := made.offset; start < end; {
		next := min(end, (start/sectorSize+1)*sectorSize)
		if fates.draw(2) == 0 {
			left = append(left, made.part(start, next))
		}
		start = next
	}
	return left
}

// span keeps a drawn run of the write's bytes, or all but that run.
func (fates *fates) span(made change) []change {
	size := len(made.data)
	first := int64(fates.draw(size + 1))
	last := first + int64(fates.draw(size+1-int(first)))
	first += made.offset
	last += made.offset
	if fates.draw(2) == 0 {
		return []change{made.part(first, last)}
	}
	return []change{made.part(made.offset, first), made.part(last, made.offset+int64(size))}
}

// part returns the write's bytes from start up to end, both offsets in the file.
func (made change) part(start, end int64) change {
	return change{offset: start, data: made.data[start-made.offset : end-made.offset]}
}

func sortedNames(files map[string]*contents) []string {
	return slices.Sorted(maps.Keys(files))
}

// handle is an open file.
type handle struct {
	disk       *Disk
	file       *contents
	generation int
}

// dead reports whether the process that opened the file has ended.
func (handle *handle) dead() bool {
	return handle.disk.stopped || handle.generation != handle.disk.generation
}

func (handle *handle) ReadAt(data []byte, offset int64) (int, error) {
	if handle.dead() {
		return 0, ErrStopped
	}
	visible := handle.file.visible
	if offset >= int64(len(visible)) {
		return 0, io.EOF
	}
	count := copy(data, visible[offset:])
	if count < len(data) {
		return count, io.EOF
	}
	return count, nil
}

func (handle *handle) WriteAt(data []byte, offset int64) (int, error) {
	disk := handle.disk
	if handle.dead() {
		return 0, ErrStopped
	}
	if disk.change() {
		return handle.writePart(data, offset, disk.stopDraw), ErrStopped
	}
	if disk.full {
		return 0, ErrFull
	}
	if disk.failWrites.next() {
		return handle.writePart(data, offset, disk.failDraw), ErrRefused
	}
	return handle.write(data, offset), nil
}

// writePart writes a drawn first part.
func (handle *handle) writePart(data []byte, offset int64, draw Draw) int {
	return handle.write(data[:draw(len(data)+1)], offset)
}

func (handle *handle) write(data []byte, offset int64) int {
	copied := append([]byte{}, data...)
	handle.file.apply(change{offset: offset, data: copied})
	return len(data)
}

func (handle *handle) Truncate(size int64) error {
	if handle.dead() || handle.disk.change() {
		return ErrStopped
	}
	if handle.disk.full && size > int64(len(handle.file.visible)) {
		return ErrFull
	}
	handle.file.apply(change{offset: size})
	return nil
}

func (handle *handle) Size() (int64, error) {
	if handle.dead() {
		return 0, ErrStopped
	}
	return int64(len(handle.file.visible)), nil
}

func (handle *handle) Sync() error {
	if handle.dead() || handle.disk.change() {
		return ErrStopped
	}
	if handle.disk.failSyncs.next() {
		handle.file.mark(lapsed)
		return ErrRefused
	}
	handle.file.sync()
	return nil
}

func (handle *handle) Close() error {
	return nil
}
