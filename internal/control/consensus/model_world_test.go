package consensus_test

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/modelcheck"
)

// budget says how often each thing may still happen, so that there is an end of states.
type budget struct {
	lapses     int8 // timeouts: a member stands for election, or a leader steps down
	proposals  int8
	crashes    int8 // losses of what is not on disk, with a restart
	duplicates int8 // messages that arrive once more
	beats      int8 // rounds of heartbeats
	changes    int8 // of the membership
	wipes      int8 // losses of a disk, whose machine joins anew
	transfers  int8 // of leadership
	stalls     int8 // units of time that a clock misses
	orders     int8 // of the duty's holder
	refusals   int8 // disks that refuse writes for a while
	jumps      int8 // of a machine's time of day
}

// scenario is what is searched.
type scenario struct {
	voters   int
	learners int
	// settled begins once member 1 was elected in term 2 and all know of it.
	settled bool
	// slowDisk has a disk end each write at any later time; else it is done at once.
	slowDisk bool
	// oneEntry has each append carry one entry only.
	oneEntry bool
	// lastTerm is the term that no election goes beyond.
	lastTerm consensus.Term
	budget   budget
	// stand and crash name the members whose timeouts end, and those that crash; none: all of them.
	stand   []consensus.MemberID
	leaving []consensus.MemberID // members that say they are about to end
	crash   []consensus.MemberID
	// inTurn has the members of stand lapse one after the other, once each.
	inTurn bool
	// disks are what the members find at their start, if they do not begin anew.
	disks []image
	// changes are what an operator may ask for; without any, reconfigure decides.
	changes []change
	broken  consensus.Faults
	// restarts is what a restart makes of a disk, in a broken build.
	restarts func(image) image
	// keepsIdentity has a member whose disk is lost come back as who it was, in a broken build.
	keepsIdentity bool
	timing        *timing
	refuse        []consensus.MemberID // members whose disks may refuse writes; none: all of them
	// ignoresRefusal takes what the disk refused for written, in a broken build.
	ignoresRefusal bool
	// timeOfDay has members go by their machines' time of day, in a broken build.
	timeOfDay bool
}

// change makes another membership of one; false: it can't be made.
type change func(consensus.Membership) (consensus.Membership, bool)

// envelope is a message on its way.
type envelope struct {
	message consensus.Message
	print   string
}

// world is a state of the model.
type world struct {
	plan *scenario
	// members are found at their identity less one; nil: its disk is lost, it never comes back.
	members []*actor
	// network holds what is on its way, in the order of the prints. A message that never arrives is a lost one.
	network []*envelope
	left    budget
	past    *history
	duty    dutyRecord
}

// longTimeout makes all time that passes without a lapse too short to matter, where times do not count.
const longTimeout = time.Hour

func (plan *scenario) config(id consensus.MemberID) consensus.Config {
	config := consensus.Config{Self: id, Heartbeat: 1, ElectionTimeout: longTimeout, CompactMargin: -1, Seed: 1}
	if plan.oneEntry {
		config.MaxBatchBytes = 1
	}
	if plan.timing != nil {
		config.Heartbeat = plan.timing.heartbeat
		config.ElectionTimeout = plan.timing.election
		config.ClockDriftMargin = plan.timing.margin
	}
	return consensus.WithFaults(config, plan.broken)
}

func named(id consensus.MemberID, machine string) consensus.Member {
	return consensus.Member{ID: id, Address: machine, Node: machine}
}

func machineName(id consensus.MemberID) string { return "machine-" + string(rune('0'+id)) }

func (plan *scenario) founders() consensus.Membership {
	var membership consensus.Membership
	for number := range plan.voters + plan.learners {
		id := consensus.MemberID(number + 1)
		if number < plan.voters {
			membership.Voters = append(membership.Voters, named(id, machineName(id)))
		} else {
			membership.Learners = append(membership.Learners, named(id, machineName(id)))
		}
	}
	return membership
}

// first returns the state a search begins with.
func (plan *scenario) first() *world {
	w := &world{plan: plan, past: &history{}}
	for number := range plan.voters + plan.learners {
		disk := image{snapshot: consensus.Bootstrap(plan.founders())}
		if plan.disks != nil {
			disk.hard = plan.disks[number].hard
			disk.entries = plan.disks[number].entries
		}
		member := &actor{id: consensus.MemberID(number + 1), disk: disk}
		member.start(plan, plan.disks != nil)
		w.members = append(w.members, member)
	}
	if plan.settled {
		w.settleFirstLeader()
		w.members[0].led -= longestHold
	}
	w.left = plan.budget
	return w
}

// settleFirstLeader has member 1 elected and all messages arrive. For the duty it counts as the leader of long ago, whose
// lease was just renewed.
func (w *world) settleFirstLeader() {
	w.left = budget{lapses: 1}
	start := action{kind: actionLapse, member: 1}
	if w.plan.timing != nil {
		w.setClocks(2 * w.plan.timing.election)
		start = action{kind: actionTick, member: 1}
	}
	w.must(start)
	for len(w.network) > 0 {
		w.must(action{kind: actionDeliver, envelope: w.network[0]})
	}
}

// must takes an action, and has all disks end their writes.
func (w *world) must(act action) {
	after, err := w.take(act)
	if err != nil {
		panic(err) // an election without faults breaks nothing
	}
	*w = *after
	w.persistAll()
}

// persistAll has all disks end their writes.
func (w *world) persistAll() {
	for position := 0; position < len(w.members); position++ {
		for len(w.members[position].writes) > 0 {
			after, err := w.take(action{kind: actionPersist, member: w.members[position].id})
			if err != nil {
				panic(err) // an election without faults breaks nothing
			}
			*w = *after
		}
	}
}

// start runs a member from what is on its disk.
func (member *actor) start(plan *scenario, restarted bool) {
	node, err := consensus.New(plan.config(member.id), member.clock, consensus.Restored{
		HardState: member.disk.hard,
		Snapshot:  member.disk.snapshot,
		Entries:   member.disk.entries,
		Restarted: restarted,
	})
	if err != nil {
		panic(err) // the model's disks are in order
	}
	consensus.DrawEarliest(node)
	member.node = node
	member.writes = nil
	member.held = nil
	member.reported = 0
	member.refuses = false
}

// clone returns a state that may be changed, with one member that may be, too.
func (w *world) clone(id consensus.MemberID) (*world, *actor) {
	next := *w
	next.members = slices.Clone(w.members)
	next.network = slices.Clone(w.network)
	past := *w.past
	next.past = &past
	if id == 0 {
		return &next, nil
	}
	member := w.members[id-1].clone()
	next.members[id-1] = member
	return &next, member
}

// settle carries out what a member wants done and checks what it did.
func (w *world) settle(member *actor) error {
	for {
		led := member.node.IsLeader()
		output := member.node.TakeOutput()
		if err := w.observe(member, output); err != nil {
			return err
		}
		if output.Persist != nil {
			member.writes = append(member.writes, output.Persist)
		}
		member.held = append(member.held, output.Messages...)
		if err := w.release(member); err != nil {
			return err
		}
		if w.plan.slowDisk || len(member.writes) == 0 || member.refuses && !w.plan.ignoresRefusal {
			break
		}
		member.persist()
		if led != member.node.IsLeader() {
			member.led = member.clock
		}
	}
	w.forget()
	return w.compareLogs(member)
}

// persist ends the oldest write.
func (member *actor) persist() {
	batch := member.writes[0]
	member.writes = member.writes[1:]
	if !member.refuses && member.disk.connects(batch) {
		member.disk = member.disk.write(batch)
	}
	member.reported = batch.Sequence
	member.node.Persisted(member.clock, batch.Sequence)
}

// observe notes what a member takes for true.
func (w *world) observe(member *actor, output consensus.Output) error {
	if member.leads() {
		if err := w.past.lead(member); err != nil {
			return err
		}
	}
	for _, entry := range output.Committed {
		if err := w.past.commit(member, entry); err != nil {
			return err
		}
	}
	return nil
}

// release sends the messages whose batch is on disk.
func (w *world) release(member *actor) error {
	var rest []consensus.Outgoing
	for _, outgoing := range member.held {
		if outgoing.AfterPersist > member.reported {
			rest = append(rest, outgoing)
			continue
		}
		if err := w.past.sent(outgoing.Message); err != nil {
			return err
		}
		w.send(outgoing.Message)
	}
	member.held = rest
	return nil
}

// send puts a message on its way.
func (w *world) send(message consensus.Message) {
	sent := &envelope{message: message, print: string(consensus.AppendMessage(nil, message))}
	place, _ := slices.BinarySearchFunc(w.network, sent, func(left, right *envelope) int {
		return strings.Compare(left.print, right.print)
	})
	w.network = slices.Insert(w.network, place, sent)
}

// forget drops messages that can never have an effect again.
func (w *world) forget() {
	w.network = slices.DeleteFunc(w.network, func(sent *envelope) bool {
		to := int(sent.message.To)
		return to > len(w.members) || w.members[to-1] == nil || w.members[to-1].forgets(sent.message)
	})
}

// compareLogs compares a member's log with all others.
func (w *world) compareLogs(member *actor) error {
	for _, other := range w.members {
		if other == nil || other.id == member.id {
			continue
		}
		if err := matching(member, other); err != nil {
			return err
		}
	}
	return nil
}

// fingerprint tells states apart.
func (w *world) fingerprint() uint64 {
	timed := w.plan.timing != nil
	bytes := make([]byte, 0, 1024)
	for _, member := range w.members {
		switch {
		case member == nil:
			bytes = append(bytes, 0)
			continue
		case timed:
			bytes = member.appendPrint(append(bytes, 1), true)
			continue
		case member.print == nil:
			member.print = member.appendPrint(nil, false)
		}
		bytes = append(bytes, 1)
		bytes = append(bytes, member.print...)
	}
	for _, sent := range w.network {
		bytes = append(bytes, sent.print...)
		if timed {
			bytes = append(bytes, w.age(sent))
		}
	}
	left := w.left
	bytes = append(bytes, byte(left.lapses), byte(left.proposals), byte(left.crashes), byte(left.duplicates), byte(left.beats),
		byte(left.changes), byte(left.wipes), byte(left.transfers), byte(left.stalls), byte(left.orders),
		byte(left.refusals), byte(left.jumps))
	bytes = w.duty.appendPrint(bytes)
	return xxhash.Sum64(w.past.appendPrint(bytes))
}

// search searches a scenario.
func (plan *scenario) search(bounds modelcheck.Bounds) modelcheck.Result[action] {
	return modelcheck.Run(plan.model(), bounds)
}

func (plan *scenario) model() modelcheck.Model[*world, action] {
	return modelcheck.Model[*world, action]{
		First:       plan.first(),
		Actions:     (*world).actions,
		Take:        (*world).step,
		Fingerprint: (*world).fingerprint,
	}
}
