// Package partition runs a control member's part in the partitions of the control state: for each a consensus node and a
// state machine, over one disk log and one sender for each peer. One goroutine owns all of it; the disk and the senders
// have their own and report back.
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

// Error is the class of this package's failures.
var Error = errs.Class("partition")

// ErrOutcomeUnknown says that it is not known what becomes of a command: it may be committed later.
var ErrOutcomeUnknown = errs.Class("partition: it is not known what becomes of the command; send it again")

// Group numbers a partition.
type Group uint32

const (
	// heartbeatInterval and electionTimeout are those of all partitions. A leader's loss is made up for within twice the
	// election timeout, well inside the time in which operators' orders are to be acknowledged.
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 600 * time.Millisecond
	// compactEntries and compactBytes are after how much log a snapshot is taken.
	compactEntries = 256
	compactBytes   = 1 << 20
	// compactMargin is how many entries are kept for members that lag a little.
	compactMargin = 32
	// maintenanceInterval is how often a leader looks at its membership.
	maintenanceInterval = 250 * time.Millisecond
)

// noLeaderYet is when a member that has known no leader yet knew one.
const noLeaderYet = time.Duration(-1 << 62)

// Config sets up a host.
type Config struct {
	Self      consensus.Member // its ID is 0 until it was read from the disk or drawn
	Founders  []consensus.Member
	Bootstrap bool // the whole system starts for the first time
	Voters    int  // wanted in each partition
	Files     disklog.FileSystem
	Sizes     disklog.Options // of the log on it; the zero value is the defaults
	Client    *rpc.Client
	Log       zerolog.Logger
	Machines  map[Group]StateMachine
	// Controls lists the inside addresses of all control members that are known.
	Controls func() []string
	// OnLead is told when the member becomes or stops being the leader of a partition. It must not block.
	OnLead func(group Group, leads bool)
	Faults Faults
}

// Faults are deliberate violations, for the tests of the tests. All are off outside tests.
type Faults struct {
	// DropFirst drops voters that end or are silent whoever is left.
	DropFirst bool
	// LongLeave remembers for ten seconds that a member said it ends.
	LongLeave bool
	// WaitOutside has a member that was dropped without hearing of it wait to be counted again.
	WaitOutside bool
}

// Host runs the partitions. Use Open, then Run.
type Host struct {
	config    Config
	startedAt time.Time
	events    chan func()
	ended     chan struct{} // closed once Run has ended
	writer    *writer
	senders
	groups         map[Group]*group
	joining        map[consensus.MemberID]joinRequest
	leaving        map[consensus.MemberID]leaveNotice
	leaveStarted   bool
	leaveState     leaveState
	leadersKnownAt atomic.Int64 // as time.Duration: all partitions had a leader
	voter          atomic.Bool  // in all partitions
	leading        atomic.Bool  // one of the partitions at least
}

// joinRequest is a machine that asked to join, and when.
type joinRequest struct {
	member consensus.Member
	at     time.Duration
}

// leaveNotice is when a member said that it ends, for the first and for the last time.
type leaveNotice struct{ first, last time.Duration }

// group is this member's part in one partition.
type group struct {
	number            Group
	node              *consensus.Node
	machine           StateMachine
	proposals         map[consensus.Index]*proposal
	awaitingPersist   []pendingMessage
	wasLeader         bool
	leaderSince       time.Duration
	applied           consensus.Index
	appliedEarly      consensus.Index // applied at the start from the disk's own word, before the others confirmed it
	committedOnDisk   consensus.Index // the commit index that the disk was last told
	reviewedCommit    consensus.Index // the commit index at the latest look at the membership
	membershipChanged bool            // a change of the membership was committed since
	// isApplication says that machine is an ApplicationMachine, and compactAfter after how many entries it is compacted.
	isApplication bool
	compactAfter  int
	// since the latest snapshot
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

// pendingMessage wait for a batch to be on disk.
type pendingMessage struct {
	after   uint64
	message consensus.Outgoing
}

// Open reads the disk and starts the nodes. It fails while the disk refuses writes, and may be called again.
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

// diskFailed tells the nodes that the disk began or ceased to refuse writes.
func (h *Host) diskFailed(failed bool) {
	for _, g := range h.groups {
		if failed {
			g.node.DiskFailed(h.now())
		} else {
			g.node.DiskRecovered(h.now())
		}
	}
}

// Self is this member, with its identity.
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

// Note is what Keep was given last, as the disk has it.
func (h *Host) Note() []byte { return h.writer.initialNote }

// SetNote has bytes kept on the disk beside the partitions, some time soon.
func (h *Host) SetNote(note []byte) { h.writer.writeNote(note) }

func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// post has the host's goroutine run an event; after Run has ended it does nothing.
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

// continueReconfigure takes the next step of memberships of which one was just committed.
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

// drainEvents runs the events that are there already, so that what they bring travels and is written together.
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

// untilTick is how long nothing has to be done unless something happens.
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

// flush carries out what the nodes want done.
func (h *Host) flush() {
	for _, g := range h.groups {
		h.handleOutput(g, g.node.TakeOutput())
		h.reportLeadership(g)
	}
	h.publishRoles()
	h.senders.flush()
}

// publishRoles notes for others how this member stands to its partitions.
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

// persisted notes that a batch is on disk and sends what waited for it.
func (h *Host) persisted(g *group, sequence uint64) {
	g.node.Persisted(h.now(), sequence)
	kept := g.awaitingPersist[:0]
	for _, held := range g.awaitingPersist {
		if held.after <= sequence {
			h.send(g.number, held.message)
			continue
		}
		kept = append(kept, held)
	}
	g.awaitingPersist = kept
}

// reportLeadership tells of changes of leadership.
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
