package consensus_test

import (
	"fmt"
	"slices"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/reconfigure"
)

// actionKind is what can happen.
type actionKind uint8

const (
	// actionDeliver has a message arrive.
	actionDeliver actionKind = iota
	// actionDeliverKept has it arrive and stay on its way, to arrive once more.
	actionDeliverKept
	// actionDeliverLate has a request for a vote arrive after the receiver has heard of no leader for long enough.
	actionDeliverLate
	actionLapse
	actionBeat
	actionPersist
	actionCrash
	actionPropose
	actionReconfigure
	actionChange
	actionTransfer
	actionWipe
	// actionPass lets a unit of time pass; the clock of a member may miss it.
	actionPass
	// actionTick does what is due at a member.
	actionTick
	// actionOrder has the holder of a duty give an order.
	actionOrder
	// actionRefuse has a disk begin to refuse writes, and actionAccept take them again.
	actionRefuse
	actionAccept
	// actionJump sets the time of day of a member's machine back.
	actionJump
)

var actionNames = [...]string{"deliver", "deliver and keep", "deliver late", "lapse", "beat", "persist", "crash", "propose",
	"reconfigure", "change", "transfer", "wipe", "pass", "tick", "order", "refuse", "accept", "jump"}

// action is one thing that happens.
type action struct {
	kind   actionKind
	member consensus.MemberID
	// other is the member that leadership is handed to, or the number of a change.
	other    int8
	envelope *envelope
}

var messageNames = [...]string{"", "pre-vote", "pre-vote answer", "vote", "vote answer", "append", "append answer", "heartbeat",
	"heartbeat answer", "snapshot", "snapshot answer", "timeout now"}

// String names the action in a trace.
func (act action) String() string {
	name := actionNames[act.kind]
	if act.envelope == nil {
		return fmt.Sprintf("%s %d/%d", name, act.member, act.other)
	}
	message := act.envelope.message
	text := fmt.Sprintf("%s %s %d>%d term %d", name, messageNames[message.Kind], message.From, message.To, message.Term)
	if message.Reject {
		text += " no"
	}
	if message.Kind == consensus.MessageAppend {
		text += fmt.Sprintf(" +%d after %d", len(message.Entries), message.LogIndex)
	}
	return text
}

// actions lists what can happen.
func (w *world) actions() []action {
	list := make([]action, 0, 16)
	for position, sent := range w.network {
		if position > 0 && sent.print == w.network[position-1].print && w.plan.timing == nil {
			continue // the same again
		}
		list = w.deliveries(list, sent)
	}
	for _, member := range w.members {
		if member == nil {
			continue
		}
		list = w.happenings(list, member)
		if member.leads() {
			list = w.wishes(list, member)
		}
	}
	if w.plan.timing != nil {
		list = w.timings(list)
	}
	return list
}

func (w *world) deliveries(list []action, sent *envelope) []action {
	list = append(list, action{kind: actionDeliver, envelope: sent})
	if w.left.duplicates > 0 {
		list = append(list, action{kind: actionDeliverKept, envelope: sent})
	}
	receiver := w.members[sent.message.To-1]
	asks := sent.message.Kind == consensus.MessageVote || sent.message.Kind == consensus.MessagePreVote
	if asks && w.plan.timing == nil && !receiver.leads() && consensus.Sticks(receiver.node, receiver.clock) {
		list = append(list, action{kind: actionDeliverLate, envelope: sent})
	}
	return list
}

// happenings lists what can happen to a member.
func (w *world) happenings(list []action, member *actor) []action {
	if member.refuses {
		list = append(list, action{kind: actionAccept, member: member.id})
	}
	if len(member.writes) > 0 && (!member.refuses || w.plan.ignoresRefusal) {
		list = append(list, action{kind: actionPersist, member: member.id})
	}
	if w.left.refusals > 0 && !member.refuses && among(w.plan.refuse, member.id) {
		list = append(list, action{kind: actionRefuse, member: member.id})
	}
	if w.left.jumps > 0 {
		list = append(list, action{kind: actionJump, member: member.id})
	}
	if w.left.crashes > 0 && among(w.plan.crash, member.id) {
		list = append(list, action{kind: actionCrash, member: member.id})
	}
	if w.left.wipes > 0 && (w.left.wipes == w.plan.budget.wipes || w.repaired()) {
		list = append(list, action{kind: actionWipe, member: member.id})
	}
	if w.plan.timing == nil && w.mayLapse(member) {
		list = append(list, action{kind: actionLapse, member: member.id})
	}
	return list
}

// repaired reports whether the losses of disks before are made up for: a leader has as many voters as there were, all of
// them with their disks, by a membership that is committed.
func (w *world) repaired() bool {
	for _, member := range w.members {
		if member == nil || !member.leads() {
			continue
		}
		status := member.node.Status()
		if status.MembershipPending || len(status.Membership.Voters) != w.plan.voters {
			continue
		}
		if !slices.ContainsFunc(status.Membership.Voters, func(voter consensus.Member) bool { return w.members[voter.ID-1] == nil }) {
			return true
		}
	}
	return false
}

// among reports whether a member is one of those named; none: all are.
func among(named []consensus.MemberID, id consensus.MemberID) bool {
	return len(named) == 0 || slices.Contains(named, id)
}

// mayLapse reports whether a member's timeout may end. Where all members begin alike it is member 1 that stands first:
// any other beginning differs from one of these in the names of the members only.
func (w *world) mayLapse(member *actor) bool {
	if w.left.lapses == 0 || !among(w.plan.stand, member.id) {
		return false
	}
	if w.plan.inTurn && w.plan.stand[w.plan.budget.lapses-w.left.lapses] != member.id {
		return false
	}
	if w.left.lapses == w.plan.budget.lapses && !w.plan.settled && w.plan.disks == nil && member.id != 1 {
		return false
	}
	return member.leads() || consensus.TermOf(member.node) < w.plan.lastTerm
}

// wishes lists what a leader may be asked for.
func (w *world) wishes(list []action, member *actor) []action {
	if w.left.beats > 0 && w.plan.timing == nil {
		list = append(list, action{kind: actionBeat, member: member.id})
	}
	if w.left.proposals > 0 {
		list = append(list, action{kind: actionPropose, member: member.id})
	}
	if w.left.changes > 0 && w.plan.changes == nil {
		list = append(list, action{kind: actionReconfigure, member: member.id})
	}
	if w.left.changes > 0 {
		for number := range w.plan.changes {
			list = append(list, action{kind: actionChange, member: member.id, other: int8(number)})
		}
	}
	if w.left.transfers > 0 {
		for _, other := range w.members {
			if other != nil && other.id != member.id {
				list = append(list, action{kind: actionTransfer, member: member.id, other: int8(other.id)})
			}
		}
	}
	return list
}

// take returns the state after an action, or the promise it broke.
func (w *world) take(act action) (*world, error) {
	switch act.kind {
	case actionDeliver, actionDeliverKept, actionDeliverLate:
		return w.deliver(act)
	case actionPass:
		return w.pass(act)
	case actionWipe:
		return w.wipe(act)
	case actionOrder:
		return w.order(act)
	}
	next, member := w.clone(act.member)
	led := member.leads()
	next.perform(act, member)
	if led != member.leads() {
		member.led = member.clock
	}
	if err := next.settle(member); err != nil {
		return nil, err
	}
	return next, next.checkLeases()
}

func (w *world) deliver(act action) (*world, error) {
	next, member := w.clone(act.envelope.message.To)
	next.remove(act)
	if act.kind == actionDeliverLate {
		member.clock += longTimeout
	}
	led := member.leads()
	member.node.Step(member.clock, act.envelope.message)
	if led != member.leads() {
		member.led = member.clock
	}
	if err := next.settle(member); err != nil {
		return nil, err
	}
	return next, next.checkLeases()
}

// step is take for a search, which comes to the state before again where an arrival brought nothing new.
func (w *world) step(act action) (*world, error) {
	next, err := w.take(act)
	if err == nil && act.kind == actionDeliver && w.covers(next, act.envelope.message.To) {
		return w, nil
	}
	return next, err
}

// covers reports whether the arrival of a message changed nothing but the network, and added nothing to it. Nothing that
// can follow is new then: the message may as well be on its way for ever.
func (w *world) covers(next *world, id consensus.MemberID) bool {
	if len(next.network) >= len(w.network) {
		return false
	}
	before, member := w.members[id-1], next.members[id-1]
	if w.plan.timing != nil {
		return string(member.appendPrint(nil, true)) == string(before.appendPrint(nil, true))
	}
	if before.print == nil {
		before.print = before.appendPrint(nil, false)
	}
	member.print = member.appendPrint(nil, false)
	return string(member.print) == string(before.print)
}

// remove takes a message off the network.
func (w *world) remove(act action) {
	if act.kind == actionDeliverKept {
		w.left.duplicates--
		return
	}
	for position, sent := range w.network {
		sameTime := w.plan.timing == nil || sent.message.Sent == act.envelope.message.Sent
		if sameTime && sent.print == act.envelope.print {
			w.network = append(w.network[:position], w.network[position+1:]...)
			return
		}
	}
}

// perform has an action happen to a member.
func (w *world) perform(act action, member *actor) {
	switch act.kind {
	case actionLapse:
		w.left.lapses--
		member.clock += 2 * longTimeout
		member.node.Tick(member.clock)
	case actionBeat:
		w.left.beats--
		member.clock++
		member.node.Tick(member.clock)
	case actionTick:
		member.node.Tick(member.clock)
	case actionPersist:
		member.persist()
	case actionRefuse:
		w.left.refusals--
		member.refuse(w.plan)
	case actionAccept:
		member.accept(w.plan)
	case actionJump:
		w.left.jumps--
		if w.plan.timeOfDay {
			member.clock -= w.plan.timing.election
		}
	case actionCrash:
		w.left.crashes--
		if w.plan.restarts != nil {
			member.disk = w.plan.restarts(member.disk)
		}
		member.start(w.plan, true)
	case actionPropose:
		w.left.proposals--
		_, _, _ = member.node.Propose(member.clock, []byte{byte(w.left.proposals)}) // it may refuse
	case actionReconfigure:
		w.left.changes--
		w.reconfigure(member)
	case actionChange:
		w.left.changes--
		if wanted, possible := w.plan.changes[act.other](member.node.Status().Membership); possible {
			_ = member.node.ProposeMembership(member.clock, wanted) // it may refuse
		}
	case actionTransfer:
		w.left.transfers--
		_ = member.node.TransferLeadership(member.clock, consensus.MemberID(act.other)) // it may refuse
	}
}

// reconfigure has a leader take the step that follows from who asks to join.
func (w *world) reconfigure(leader *actor) {
	situation := reconfigure.Situation{Now: leader.clock, Status: leader.node.Status(), Target: w.plan.voters, Leaving: w.plan.leaving}
	situation.RecentCommit = situation.Status.Commit
	for _, member := range w.members {
		if member != nil && member.replaces != 0 {
			situation.Joining = append(situation.Joining, named(member.id, machineName(member.replaces)))
		}
	}
	if next, change := reconfigure.Next(situation); change {
		_ = leader.node.ProposeMembership(leader.clock, next) // it may refuse
	}
}

// wipe has a machine lose its disk and start anew: as another member, or, in a broken build, as who it was.
func (w *world) wipe(act action) (*world, error) {
	next, member := w.clone(act.member)
	next.left.wipes--
	if w.plan.keepsIdentity {
		member.disk = image{snapshot: consensus.Bootstrap(w.plan.founders())}
		member.start(w.plan, true)
		return next, next.settle(member)
	}
	next.members[act.member-1] = nil
	joins := &actor{id: consensus.MemberID(len(w.members) + 1), replaces: act.member}
	joins.start(w.plan, true)
	next.members = append(next.members, joins)
	next.forget()
	return next, next.settle(joins)
}
