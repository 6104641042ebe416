// Package memdisk is a disk in memory for tests: it loses power, fills up, refuses writes and
// syncs, and can be wiped.
//
// Its files follow the weakest rules that a disklog.FileSystem may have. After a loss of power a
// file holds what its last successful sync covered. Each later write or change of length, and
// each one that a failed sync covered, is present, absent or torn. A file whose own sync and
// whose folder's sync are both outstanding is kept or lost.
package memdisk

import (
	"errors"
	"syscall"

	"sumacloft/internal/control/disklog"
)

var (
	// ErrFull is the refusal of a full disk. It wraps syscall.ENOSPC.
	ErrFull error = syscall.ENOSPC
	// ErrRefused is the refusal set with FailWrites or FailSyncs. It wraps syscall.EIO.
	ErrRefused error = syscall.EIO
	// ErrStopped is what every call returns from the moment set with StopAfter until Restart or
	// LosePower.
	ErrStopped = errors.New("memdisk: the process has stopped")
)

// Draw returns a number from 0 up to, but not including, bound.
type Draw func(bound int) int

// Disk is one folder on the disk. It is for one goroutine.
type Disk struct {
	files map[string]*contents
	// generation counts restarts; files opened before one are stale.
	generation int

	full       bool
	failWrites streak
	failDraw   Draw
	failSyncs  streak
	stopping   bool
	stopAfter  int
	stopDraw   Draw
	stopped    bool
	operations int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*contents{}}
}

// SetFull makes the disk refuse every write, also over what is there, and every growth of a file.
func (disk *Disk) SetFull(full bool) {
	disk.full = full
}

// FailWrites lets skip writes pass and makes the count after them fail, each after a drawn first
// part of it.
func (disk *Disk) FailWrites(skip, count int, draw Draw) {
	disk.failWrites = streak{skip: skip, count: count}
	disk.failDraw = draw
}

// FailSyncs lets skip syncs of files or the folder pass and makes the count after them fail. A
// later sync of a file does not make durable what the failed one covered.
func (disk *Disk) FailSyncs(skip, count int) {
	disk.failSyncs = streak{skip: skip, count: count}
}

// StopAfter lets the process do that many more changes (writes, changes of length, syncs, new
// files). The one after them is done in part, if it is a write, and all calls then fail.
func (disk *Disk) StopAfter(operations int, draw Draw) {
	disk.stopping = true
	disk.stopAfter = operations
	disk.stopDraw = draw
}

// Restart ends a stop, and all refusals but that of a full disk. Nothing written is lost: the
// process alone ended.
func (disk *Disk) Restart() {
	disk.generation++
	disk.stopping = false
	disk.stopped = false
	disk.failWrites = streak{}
	disk.failSyncs = streak{}
}

// LosePower draws what is left of everything that was not durable, and restarts.
func (disk *Disk) LosePower(draw Draw) {
	fates := newFates(draw)
	for _, name := range sortedNames(disk.files) {
		file := disk.files[name]
		if !file.entryDurable && !fates.keep() {
			delete(disk.files, name)
			continue
		}
		file.losePower(fates)
	}
	disk.Restart()
}

// Wipe loses the disk's contents, as an empty disk in its place, and restarts.
func (disk *Disk) Wipe() {
	disk.files = map[string]*contents{}
	disk.Restart()
}

// Operations returns the number of changes so far.
func (disk *Disk) Operations() int {
	return disk.operations
}

// Contents returns a copy of the named file as a process sees it, or nil if there is none.
func (disk *Disk) Contents(name string) []byte {
	file, found := disk.files[name]
	if !found {
		return nil
	}
	return append([]byte{}, file.visible...)
}

// SetContents puts a durable file in place, as an operator or another program may.
func (disk *Disk) SetContents(name string, data []byte) {
	disk.files[name] = &contents{
		visible:      append([]byte{}, data...),
		base:         append([]byte{}, data...),
		entryDurable: true,
	}
}

// Remove removes the named file durably, as an operator may.
func (disk *Disk) Remove(name string) {
	delete(disk.files, name)
}

// Open implements disklog.FileSystem.
func (disk *Disk) Open(name string) (disklog.File, error) {
	if disk.stopped {
		return nil, ErrStopped
	}
	file, found := disk.files[name]
	if !found {
		if disk.full {
			return nil, ErrFull
		}
		if disk.change() {
			return nil, ErrStopped
		}
		file = &contents{}
		disk.files[name] = file
	}
	return &handle{disk: disk, file: file, generation: disk.generation}, nil
}

// SyncFolder implements disklog.FileSystem.
func (disk *Disk) SyncFolder() error {
	if disk.stopped || disk.change() {
		return ErrStopped
	}
	if disk.failSyncs.next() {
		return ErrRefused
	}
	for _, file := range disk.files {
		file.entryDurable = true
	}
	return nil
}

// change counts a change, and reports whether the process stops at it.
func (disk *Disk) change() bool {
	disk.operations++
	if !disk.stopping {
		return false
	}
	if disk.stopAfter > 0 {
		disk.stopAfter--
		return false
	}
	disk.stopped = true
	return true
}

// streak is a run of calls that fail, after some that pass.
type streak struct {
	skip  int
	count int
}

// next counts a call, and reports whether it fails.
func (streak *streak) next() bool {
	if streak.count == 0 {
		return false
	}
	if streak.skip > 0 {
		streak.skip--
		return false
	}
	streak.count--
	return true
}
