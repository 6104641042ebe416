// Package partition runs a control member's replicas of the control state's partitions. Each partition has a consensus node and
// a state machine. All share one disk log and one sender per peer. A single goroutine owns the nodes and state machines. The
// disk writer and the senders run in their own goroutines and report back to it.
package partition

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/mesh/rpc"
)

// Error is the class of this package's errors.
var Error = errs.Class("partition")

// ErrOutcomeUnknown reports that the outcome of a command is unknown: it may still be committed later.
var ErrOutcomeUnknown = errs.Class("partition: it is not known what becomes of the command; send it again")

// Group is the number of a partition.
type Group uint32

const (
	// heartbeatInterval and electionTimeout apply to all partitions. A lost leader is replaced within twice the election
	// timeout, well within the time limit for acknowledging operators' orders.
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 600 * time.Millisecond
	// compactEntries and compactBytes are the log sizes at which a snapshot is taken.
	compactEntries = 256
	compactBytes   = 1 << 20
	// compactMargin is the number of entries kept for members that lag slightly.
	compactMargin = 32
	// maintenanceInterval is how often memberships are reviewed.
	maintenanceInterval = 250 * time.Millisecond
)

// noLeaderYet is the value of Host.leadersKnownAt before any leader is known.
const noLeaderYet = time.Duration(-1 << 62)

// Config configures a Host.
type Config struct {
	Self      consensus.Member // its ID is 0 until it is read from disk or generated
	Founders  []consensus.Member
	Bootstrap bool // the cluster starts for the first time
	Voters    int  // target number of voters in each partition
	Files     disklog.FileSystem
	Sizes     disklog.Options // of the disk log; the zero value takes the defaults
	Client    *rpc.Client
	Log       zerolog.Logger
	Machines  map[Group]StateMachine
	// Controls returns the internal addresses of all known control members.
	Controls func() []string
	// OnLead is called when this member becomes or stops being the leader of a partition. It must not block.
	OnLead func(group Group, leads bool)
	Faults Faults
}

// Faults are deliberate faults, injected to verify that the tests detect them. All are off outside tests.
type Faults struct {
	// DropFirst drops voters that leave or are silent regardless of which voters remain.
	DropFirst bool
	// LongLeave keeps leave notices for ten seconds.
	LongLeave bool
	// WaitOutside stops a member that was dropped without learning of it from asking to rejoin.
	WaitOutside bool
}

// Host runs a member's replicas of all partitions. Use Open, then Run.
type Host struct {
	config    Config
	startedAt time.Time
	events    chan func()
	ended     chan struct{} // closed when Run returns
	writer    *writer
	senders
	groups         map[Group]*group
	joining        map[consensus.MemberID]joinRequest
	leaving        map[consensus.MemberID]leaveNotice
	leaveStarted   bool
	leaveState     leaveState
	leadersKnownAt atomic.Int64 // a time.Duration: when all partitions last had a known leader
	voter          atomic.Bool  // votes in all partitions
	leading        atomic.Bool  // leads at least one partition
}

// joinRequest is a member that asked to join, and the time of its latest request.
type joinRequest struct {
	member consensus.Member
	at     time.Duration
}

// leaveNotice holds the times of a member's first and latest leave notice.
type leaveNotice struct{ first, last time.Duration }

// group is this member's replica of one partition.
type group struct {
	number            Group
	node              *consensus.Node
	machine           StateMachine
	proposals         map[consensus.Index]*proposal
	awaitingPersist   []pendingMessage
	wasLeader         bool
	leaderSince       time.Duration
	applied           consensus.Index
	appliedEarly      consensus.Index // applied at the start on the disk's record, before a leader confirmed it
	committedOnDisk   consensus.Index // the commit index last written to disk
	reviewedCommit    consensus.Index // the commit index at the latest review of the membership
	membershipChanged bool            // a membership change was committed since the latest review
	// isApplication is set if machine is an ApplicationMachine. compactAfter is the number of entries between snapshots.
	isApplication bool
	compactAfter  int
	// Counted since the latest snapshot.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

// pendingMessage is a message that must not be sent before a batch is on disk.
type pendingMessage struct {
	after   uint64
	message consensus.Outgoing
}

// Open reads the disk and starts the nodes. It fails while disk writes fail, and may then be called again.
func Open(config Config) (*Host, error) {
	log, records, err := disklog.Open(config.Files, config.Sizes)
	if err != nil {
		return nil, err
	}
	h := &Host{
		config:    config,
		startedAt: time.Now(),
		events:    make(chan func(), 256),
		ended:     make(chan struct{}),
		groups:    map[Group]*group{},
		joining:   map[consensus.MemberID]joinRequest{},
		leaving:   map[consensus.MemberID]leaveNotice{},
	}
	h.leadersKnownAt.Store(int64(noLeaderYet))
	state, err := replayRecords(records)
	if err != nil {
		return nil, err
	}
	h.writer = newWriter(log, state, config.Log, h.post)
	if err := h.assignIdentity(state); err != nil {
		return nil, err
	}
	for number, machine := range config.Machines {
		if err := h.open(number, machine, state.groups[number]); err != nil {
			return nil, err
		}
	}
	h.senders = senders{
		client:   config.Client,
		log:      config.Log,
		self:     h.config.Self.Address,
		onAnswer: func(items []Item) { h.post(func() { h.step(items) }) },
		peers:    map[string]*sender{},
	}
	h.writer.onDiskFailure = h.diskFailed
	h.publishRoles()
	return h, nil
}

// diskFailed notifies the nodes that disk writes started to fail or succeed again.
func (h *Host) diskFailed(failed bool) {
	for _, g := range h.groups {
		if failed {
			g.node.DiskFailed(h.now())
		} else {
			g.node.DiskRecovered(h.now())
		}
	}
}

// Self returns this member, with its identity.
func (h *Host) Self() consensus.Member { return h.config.Self }

// open starts the node of one partition.
func (h *Host) open(number Group, machine StateMachine, disk *diskGroup) error {
	restored := consensus.Restored{Restarted: true}
	if disk != nil {
		restored.HardState = disk.hardState
		restored.Snapshot = disk.snapshot
		restored.Entries = disk.entries
	}
	if len(restored.Snapshot.Data) > 0 {
		if err := machine.Restore(restored.Snapshot.Data); err != nil {
			return err
		}
	}
	settings := consensus.Config{
		Self:            h.config.Self.ID,
		Heartbeat:       heartbeatInterval,
		ElectionTimeout: electionTimeout,
		Seed:            uint64(h.config.Self.ID) ^ uint64(number),
		CompactMargin:   compactMargin,
	}
	node, err := consensus.New(settings, h.now(), restored)
	if err != nil {
		return err
	}
	g := &group{
		number:    number,
		node:      node,
		machine:   machine,
		proposals: map[consensus.Index]*proposal{},
		applied:   restored.Snapshot.Index,

		compactAfter: compactEntries,
	}
	if application, ok := machine.(ApplicationMachine); ok {
		g.isApplication, g.compactAfter = true, application.SnapshotEntries()
	}
	h.groups[number] = g
	if disk != nil {
		g.applyEarly(disk)
	}
	return nil
}

func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// post queues an event for the host's goroutine. It does nothing after Run has returned.
func (h *Host) post(event func()) {
	select {
	case h.events <- event:
	case <-h.ended:
	}
}

// Run runs the partitions until the context ends.
func (h *Host) Run(ctx context.Context) {
	defer close(h.ended)
	go h.writer.run(ctx)
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(h.untilTick())
		select {
		case <-ctx.Done():
			return
		case event := <-h.events:
			event()
			h.drainEvents()
		case <-timer.C:
			h.tick()
		case <-maintenance.C:
			h.maintain(ctx)
		}
		h.flush()
		h.continueReconfigure()
	}
}

// continueReconfigure takes the next membership step in partitions where one was just committed.
func (h *Host) continueReconfigure() {
	for _, g := range h.groups {
		if !g.membershipChanged {
			continue
		}
		g.membershipChanged = false
		if status := g.node.Status(); status.Role == consensus.RoleLeader {
			h.reconfigure(g, status)
			h.flush()
		}
	}
}

// drainEvents runs the events that are already queued, so that their messages and records are batched.
func (h *Host) drainEvents() {
	for range cap(h.events) {
		select {
		case event := <-h.events:
			event()
		default:
			return
		}
	}
}

// untilTick returns the time until the next node needs a tick.
func (h *Host) untilTick() time.Duration {
	wait := time.Hour
	now := h.now()
	for _, g := range h.groups {
		wait = min(wait, g.node.NextTick()-now)
	}
	return max(wait, 0)
}

func (h *Host) tick() {
	now := h.now()
	for _, g := range h.groups {
		g.node.Tick(now)
	}
}

// flush handles the nodes' pending output.
func (h *Host) flush() {
	for _, g := range h.groups {
		h.handleOutput(g, g.node.TakeOutput())
		h.reportLeadership(g)
	}
	h.publishRoles()
	h.senders.flush()
}

// publishRoles updates the flags that other goroutines read: known leaders, voter and leading.
func (h *Host) publishRoles() {
	led, voter, leading := len(h.groups) > 0, len(h.groups) > 0, false
	for _, g := range h.groups {
		leading = leading || g.node.IsLeader()
		if g.isApplication {
			continue
		}
		_, known := g.node.Leader()
		led = led && known
		voter = voter && g.node.IsVoter()
	}
	if led {
		h.leadersKnownAt.Store(int64(h.now()))
	}
	h.voter.Store(voter)
	h.leading.Store(leading)
}

func (h *Host) handleOutput(g *group, output consensus.Output) {
	if output.Persist != nil {
		h.writer.add(g.number, output.Persist, func() { h.persisted(g, output.Persist.Sequence) })
	}
	for _, message := range output.Messages {
		if message.AfterPersist == 0 {
			h.send(g.number, message)
			continue
		}
		g.awaitingPersist = append(g.awaitingPersist, pendingMessage{after: message.AfterPersist, message: message})
	}
	if output.Restore != nil {
		h.restore(g, output.Restore)
	}
	for _, entry := range output.Committed {
		h.apply(g, entry)
	}
	if len(output.Committed) > 0 && g.applied > g.committedOnDisk && !g.isApplication {
		g.committedOnDisk = g.applied
		h.writer.writeCommitted(g.number, g.applied)
	}
	h.compact(g)
}

// persisted tells the node that a batch is on disk and sends the messages that waited for it.
func (h *Host) persisted(g *group, sequence uint64) {
	g.node.Persisted(h.now(), sequence)
	kept := g.awaitingPersist[:0]
	for _, pending := range g.awaitingPersist {
		if pending.after <= sequence {
			h.send(g.number, pending.message)
			continue
		}
		kept = append(kept, pending)
	}
	g.awaitingPersist = kept
}

// reportLeadership logs a change of leadership and calls OnLead.
func (h *Host) reportLeadership(g *group) {
	leads := g.node.IsLeader()
	if leads == g.wasLeader {
		return
	}
	g.wasLeader = leads
	g.leaderSince = h.now()
	g.reviewedCommit = g.node.Status().Commit
	h.config.Log.Info().Uint32("partition", uint32(g.number)).Bool("leads", leads).Msg("leadership changed")
	if h.config.OnLead != nil {
		h.config.OnLead(g.number, leads)
	}
}
