package consensus

import (
	"slices"
	"time"
)

// diskWrite is a batch or a snapshot the caller took itself.
type diskWrite struct {
	batch    *PersistBatch
	snapshot *Snapshot
}

// disk is a simulated disk that writes one thing after the other.
type disk struct {
	machine  *machine
	hard     HardState
	snapshot Snapshot
	entries  []Entry
	queue    []diskWrite
	// generation changes when the write in progress is lost.
	generation int
	busy       bool
	stalled    bool
	failed     bool
}

// newDisk returns an empty disk.
func newDisk(machine *machine) *disk {
	return &disk{machine: machine}
}

// restored returns what a member starts from.
func (disk *disk) restored(restarted bool) Restored {
	return Restored{
		HardState: disk.hard,
		Snapshot:  disk.snapshot,
		Entries:   slices.Clone(disk.entries),
		Restarted: restarted,
	}
}

// write queues a write.
func (disk *disk) write(write diskWrite) {
	disk.queue = append(disk.queue, write)
	disk.proceed()
}

// proceed begins the next write.
func (disk *disk) proceed() {
	if disk.busy || len(disk.queue) == 0 {
		return
	}
	disk.busy = true
	generation := disk.generation
	simulated := disk.machine.cluster
	simulated.after(simulated.between(200*time.Microsecond, 4*time.Millisecond), func() {
		if generation == disk.generation {
			disk.finish()
		}
	})
}

// finish ends the write in progress, unless the disk does not let it.
func (disk *disk) finish() {
	disk.busy = false
	lost := disk.failed && disk.machine.cluster.ignoresRefusal
	if disk.stalled || disk.failed && !lost {
		disk.busy = true
		generation := disk.generation
		disk.machine.cluster.after(time.Millisecond, func() {
			if generation == disk.generation {
				disk.finish()
			}
		})
		return
	}
	write := disk.queue[0]
	disk.queue = disk.queue[1:]
	if !lost {
		disk.apply(write)
	}
	disk.proceed()
	disk.report(write)
}

// apply changes what is on the disk.
func (disk *disk) apply(write diskWrite) {
	if write.snapshot != nil {
		if write.snapshot.Index > disk.snapshot.Index {
			disk.snapshot = *write.snapshot
		}
		return
	}
	batch := write.batch
	if batch.HardState != nil {
		disk.hard = *batch.HardState
	}
	if batch.Snapshot != nil {
		disk.snapshot = *batch.Snapshot
		disk.entries = nil
	}
	if len(batch.Entries) == 0 {
		return
	}
	first := batch.Entries[0].Index
	if disk.machine.cluster.ignoresRefusal && first > disk.last()+1 {
		return // what they follow was lost
	}
	keep := slices.IndexFunc(disk.entries, func(entry Entry) bool { return entry.Index >= first })
	if keep >= 0 {
		disk.entries = slices.Clip(disk.entries[:keep])
	}
	disk.entries = append(disk.entries, batch.Entries...)
}

// last returns the index of the last entry on the disk.
func (disk *disk) last() Index {
	if count := len(disk.entries); count > 0 {
		return disk.entries[count-1].Index
	}
	return disk.snapshot.Index
}

// report tells the member that a write is done.
func (disk *disk) report(write diskWrite) {
	machine := disk.machine
	if write.snapshot != nil {
		if err := machine.node.Compact(*write.snapshot); err != nil {
			machine.cluster.checker.fail("member %d does not compact: %v", machine.id, err)
		}
		return
	}
	machine.reported = write.batch.Sequence
	machine.node.Persisted(machine.clock(), write.batch.Sequence)
	machine.drain()
}

// loseQueue drops what is not on the disk; the write in progress may just have
// made it.
func (disk *disk) loseQueue() {
	if disk.busy && !disk.stalled && !disk.failed && disk.machine.cluster.chance(0.3) {
		disk.apply(disk.queue[0])
	}
	disk.queue = nil
	disk.busy = false
	disk.failed = false
	disk.generation++
}

// fail makes the disk refuse writes.
func (disk *disk) fail() {
	if disk.machine.node == nil || disk.failed {
		return
	}
	disk.failed = true
	if disk.machine.cluster.ignoresRefusal {
		return
	}
	disk.machine.node.DiskFailed(disk.machine.clock())
	disk.machine.drain()
}

// recover makes the disk take writes again.
func (disk *disk) recover() {
	if disk.machine.node == nil || !disk.failed {
		return
	}
	disk.failed = false
	disk.machine.node.DiskRecovered(disk.machine.clock())
	disk.machine.drain()
}
