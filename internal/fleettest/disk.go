package fleettest

import (
	"sync"
	"time"

	"sumacloft/internal/control/disklog"
	disks "sumacloft/internal/control/disklog/memdisk"
)

type memdisk = disks.Disk

// syncTime is how long a sync takes. What is acknowledged before its end may be lost with the power.
const syncTime = 10 * time.Millisecond

// disk lets a test's goroutine and a member's share a disk.
type disk struct {
	mu      sync.Mutex
	held    *memdisk
	stalled chan struct{} // closed at the end of the stall; nil: there is none
}

func newDisk() *disk { return &disk{held: disks.New()} }

// with has the test do something to the disk.
func (d *disk) with(do func(*memdisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do(d.held)
}

// stall makes syncs take until it is over.
func (d *disk) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled == nil {
		d.stalled = make(chan struct{})
	}
}

// resumeSyncs ends a stall.
func (d *disk) resumeSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// wait waits for as long as a sync takes.
func (d *disk) wait() {
	d.mu.Lock()
	stalled := d.stalled
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
		return
	}
	time.Sleep(syncTime)
}

// mount is the folder for one life of a process: once the disk was restarted, files opened before refuse everything.
func (d *disk) mount() disklog.FileSystem { return folder{d} }

type folder struct{ disk *disk }

// Open implements disklog.FileSystem.
func (f folder) Open(name string) (disklog.File, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	opened, err := f.disk.held.Open(name)
	if err != nil {
		return nil, err
	}
	return file{disk: f.disk, held: opened}, nil
}

// SyncFolder implements disklog.FileSystem.
func (f folder) SyncFolder() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.held.SyncFolder()
}

type file struct {
	disk *disk
	held disklog.File
}

// ReadAt implements disklog.File.
func (f file) ReadAt(data []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.ReadAt(data, offset)
}

// WriteAt implements disklog.File.
func (f file) WriteAt(data []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.WriteAt(data, offset)
}

// Truncate implements disklog.File.
func (f file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.Truncate(size)
}

// Size implements disklog.File.
func (f file) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.Size()
}

// Sync implements disklog.File.
func (f file) Sync() error {
	f.disk.wait()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.Sync()
}

// Close implements disklog.File.
func (f file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.held.Close()
}
