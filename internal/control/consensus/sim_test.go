package consensus

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The timing of simulated clusters.
const (
	simHeartbeat       = 20 * time.Millisecond
	simElectionTimeout = 100 * time.Millisecond
	simClockDrift      = 0.03
	simMaxBatchBytes   = 160
	simOneEntryBytes   = 48
	simCompactMargin   = 4
	simSnapshotEvery   = 15
	simMachineLimit    = 9
)

// event is something that happens in a simulated cluster.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].order < queue[right].order
}

func (queue eventQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
}

func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(event)) }

func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	*queue = (*queue)[:last]
	return item
}

// cluster is a simulated partition: machines with disks, a network and clients,
// all in one goroutine and in simulated time.
type cluster struct {
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	order    uint64
	machines []*machine
	network  *network
	checker  *checker
	clients  *clients
	operator *operator
	faults   faults
	nextID   MemberID
	voters   int
	// maxBatchBytes is small in some runs, so that entries travel alone.
	maxBatchBytes int
	// timeOfDay has members go by their machines' time of day, in a broken build.
	timeOfDay bool
	// ignoresRefusal has disks report what they refused as written, in a broken build.
	ignoresRefusal bool
	// repaired says that no more faults begin.
	repaired bool
}

// newCluster starts a cluster of voters.
func newCluster(seed uint64, voters int, broken faults) *cluster {
	simulated := newStoppedCluster(seed, voters, broken)
	for _, machine := range simulated.machines {
		machine.start(false)
	}
	return simulated
}

// newStoppedCluster returns a cluster of voters that are off.
func newStoppedCluster(seed uint64, voters int, broken faults) *cluster {
	simulated := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		checker: newChecker(),
		faults:  broken,
		voters:  voters,
	}
	simulated.maxBatchBytes = simMaxBatchBytes
	if simulated.chance(0.5) {
		simulated.maxBatchBytes = simOneEntryBytes
	}
	simulated.network = newNetwork(simulated)
	simulated.clients = &clients{cluster: simulated}
	simulated.operator = &operator{cluster: simulated}
	membership := Membership{}
	for range voters {
		added := simulated.addMachine()
		membership.Voters = append(membership.Voters, added.member())
	}
	for _, machine := range simulated.machines {
		machine.disk.snapshot = Bootstrap(membership)
	}
	return simulated
}

// addMachine adds a machine that is off, with an empty disk and a new identity.
func (simulated *cluster) addMachine() *machine {
	simulated.nextID++
	added := &machine{cluster: simulated, id: simulated.nextID}
	added.disk = newDisk(added)
	simulated.machines = append(simulated.machines, added)
	return added
}

// after has something run later.
func (simulated *cluster) after(delay time.Duration, run func()) {
	simulated.order++
	heap.Push(&simulated.events, event{at: simulated.now + delay, order: simulated.order, run: run})
}

// run lets time pass, and stops early at a violation.
func (simulated *cluster) run(span time.Duration) {
	end := simulated.now + span
	for len(simulated.events) > 0 && simulated.events[0].at <= end {
		if simulated.checker.violation != nil {
			return
		}
		next := heap.Pop(&simulated.events).(event)
		simulated.now = next.at
		next.run()
		simulated.checker.checkLeases(simulated)
	}
	simulated.now = end
}

// runUntil lets time pass until something holds, and reports whether it did.
func (simulated *cluster) runUntil(limit time.Duration, holds func() bool) bool {
	for end := simulated.now + limit; simulated.now < end && simulated.checker.violation == nil; {
		if holds() {
			return true
		}
		simulated.run(time.Millisecond)
	}
	return holds()
}

// between draws a time.
func (simulated *cluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(simulated.random.Int64N(int64(high-low)+1))
}

// chance draws an event of that probability.
func (simulated *cluster) chance(probability float64) bool {
	return simulated.random.Float64() < probability
}

// leader returns the running leader of the latest term, or nil.
func (simulated *cluster) leader() *machine {
	var found *machine
	for _, machine := range simulated.machines {
		if machine.node == nil || !machine.node.IsLeader() {
			continue
		}
		if found == nil || machine.node.hard.Term > found.node.hard.Term {
			found = machine
		}
	}
	return found
}

// machine returns the machine with an identity, or nil.
func (simulated *cluster) machine(id MemberID) *machine {
	for _, machine := range simulated.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

// pick returns one of the machines in use by number.
func (simulated *cluster) pick(number int) *machine {
	var inUse []*machine
	for _, machine := range simulated.machines {
		if !machine.retired {
			inUse = append(inUse, machine)
		}
	}
	return inUse[number%len(inUse)]
}

// repair ends all faults.
func (simulated *cluster) repair() {
	simulated.repaired = true
	simulated.network.heal()
	simulated.network.slow = false
	simulated.network.lossy = false
	for _, machine := range simulated.machines {
		if machine.retired {
			continue
		}
		machine.disk.stalled = false
		if machine.node == nil {
			machine.start(true)
		}
		machine.disk.recover()
	}
}
