package consensus

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// snapshotPadding makes snapshots of the register take several parts.
const snapshotPadding = 3 * simMaxBatchBytes

// register is the replicated state: the value written last.
type register struct {
	value uint64
	index Index
}

// machine is a simulated machine with at most one running member.
type machine struct {
	cluster *cluster
	id      MemberID
	node    *Node
	disk    *disk
	// life counts the starts, so that what belongs to a former one is dropped.
	life     int
	retired  bool
	offset   time.Duration
	rate     float64
	jumped   time.Duration // the machine's time of day
	held     []Outgoing
	reported uint64
	state    register
	// saved is the index of the latest snapshot taken.
	saved   Index
	waiting map[Index]*operation
	tickAt  time.Duration
}

// member returns the machine's entry in a membership.
func (machine *machine) member() Member {
	return Member{ID: machine.id, Address: fmt.Sprintf("address-%d", machine.id), Node: "node"}
}

// maxJump is how far the time of day of a machine jumps at most.
const maxJump = 12 * time.Hour

// clock returns the machine's own time: a steady one, unless the build is broken.
func (machine *machine) clock() time.Duration {
	if machine.cluster.timeOfDay {
		return machine.steady() + machine.jumped
	}
	return machine.steady()
}

// steady returns the time since the machine's start, which no change of the time of day moves.
func (machine *machine) steady() time.Duration {
	return machine.offset + time.Duration(float64(machine.cluster.now)*machine.rate)
}

// jump changes the machine's time of day.
func (machine *machine) jump(by time.Duration) {
	machine.jumped += by
	if machine.node != nil {
		machine.scheduleTick()
	}
}

// trueTime returns when the machine's clock shows a time.
func (machine *machine) trueTime(local time.Duration) time.Duration {
	if local == never {
		return never
	}
	if machine.cluster.timeOfDay {
		local -= machine.jumped
	}
	return time.Duration(math.Ceil(float64(local-machine.offset)/machine.rate)) + 1
}

// start runs a member from what is on the disk.
func (machine *machine) start(restarted bool) {
	simulated := machine.cluster
	machine.life++
	machine.rate = 1 + simClockDrift*(2*simulated.random.Float64()-1)
	machine.offset = simulated.between(0, time.Hour)
	machine.held = nil
	machine.reported = 0
	machine.waiting = map[Index]*operation{}
	machine.tickAt = never
	node, err := New(Config{
		Self:            machine.id,
		Heartbeat:       simHeartbeat,
		ElectionTimeout: simElectionTimeout,
		Seed:            simulated.random.Uint64(),
		MaxBatchBytes:   simulated.maxBatchBytes,
		MaxInflight:     4,
		CompactMargin:   simCompactMargin,
		faults:          simulated.faults,
	}, machine.clock(), machine.disk.restored(restarted))
	if err != nil {
		simulated.checker.fail("member %d does not start: %v", machine.id, err)
		return
	}
	machine.node = node
	machine.state = decodeRegister(machine.disk.snapshot)
	machine.saved = machine.disk.snapshot.Index
	machine.drain()
}

// stop cuts the power: everything but the disk is gone.
func (machine *machine) stop() {
	machine.life++
	machine.node = nil
	machine.held = nil
	machine.disk.loseQueue()
	for _, operation := range machine.waiting {
		operation.giveUp()
	}
	machine.waiting = nil
}

// restart cuts the power and starts the member again at once.
func (machine *machine) restart() {
	machine.stop()
	machine.start(true)
}

// drain does what the member wants done.
func (machine *machine) drain() {
	checker := machine.cluster.checker
	output := machine.node.TakeOutput()
	checker.checkLeader(machine.node)
	if output.Persist != nil {
		machine.disk.write(diskWrite{batch: output.Persist})
	}
	machine.held = append(machine.held, output.Messages...)
	machine.release()
	if output.Restore != nil {
		machine.state = decodeRegister(*output.Restore)
		machine.saved = output.Restore.Index
		machine.forget(output.Restore.Index)
	}
	for _, entry := range output.Committed {
		machine.apply(entry)
	}
	machine.save()
	machine.scheduleTick()
}

// release sends the messages whose batch is on disk.
func (machine *machine) release() {
	var rest []Outgoing
	for _, outgoing := range machine.held {
		if outgoing.AfterPersist > machine.reported {
			rest = append(rest, outgoing)
			continue
		}
		machine.cluster.network.send(machine.id, outgoing)
	}
	machine.held = rest
}

// apply applies a committed entry.
func (machine *machine) apply(entry Entry) {
	checker := machine.cluster.checker
	if entry.Index != machine.state.index+1 {
		checker.fail("member %d applies index %d after %d", machine.id, entry.Index, machine.state.index)
		return
	}
	checker.checkApplied(machine.node, entry, machine.cluster.clients.tick())
	machine.state.index = entry.Index
	if entry.Kind == EntryCommand {
		machine.state.value = binary.BigEndian.Uint64(entry.Data)
	}
	if operation := machine.waiting[entry.Index]; operation != nil {
		delete(machine.waiting, entry.Index)
		operation.applied(entry.Term)
	}
}

// forget gives up on operations whose entries a snapshot replaced.
func (machine *machine) forget(upTo Index) {
	for index, operation := range machine.waiting {
		if index <= upTo {
			delete(machine.waiting, index)
			operation.giveUp()
		}
	}
}

// save takes a snapshot now and then.
func (machine *machine) save() {
	if machine.state.index < machine.saved+simSnapshotEvery {
		return
	}
	snapshot, err := machine.node.SnapshotAt(machine.state.index, encodeRegister(machine.state))
	if err != nil {
		machine.cluster.checker.fail("member %d takes no snapshot: %v", machine.id, err)
		return
	}
	machine.saved = snapshot.Index
	machine.disk.write(diskWrite{snapshot: &snapshot})
}

// scheduleTick has Tick called when the member wants it.
func (machine *machine) scheduleTick() {
	at := machine.trueTime(machine.node.NextTick())
	if at == never || at == machine.tickAt {
		return
	}
	machine.tickAt = at
	life := machine.life
	machine.cluster.after(max(at-machine.cluster.now, 0), func() {
		if machine.life != life || machine.tickAt != at {
			return
		}
		machine.tickAt = never
		machine.node.Tick(machine.clock())
		machine.drain()
	})
}

// receive takes in a message.
func (machine *machine) receive(message Message) {
	if machine.node == nil {
		return
	}
	machine.node.Step(machine.clock(), message)
	machine.drain()
}

// encodeRegister returns the state for a snapshot.
func encodeRegister(state register) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, snapshotPadding), state.value)
}

// decodeRegister returns the state in a snapshot.
func decodeRegister(snapshot Snapshot) register {
	state := register{index: snapshot.Index}
	if len(snapshot.Data) > 0 {
		state.value = binary.BigEndian.Uint64(snapshot.Data[snapshotPadding:])
	}
	return state
}
