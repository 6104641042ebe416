package partition

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// ErrNotRestorable is the class of disks from which partitions can't be restored.
var ErrNotRestorable = errs.Class("partition: this disk can't be restored from")

// RestoreGap is how far the indexes and terms of restored partitions lie above those on the disk. What others may have
// seen beyond this disk, entries and elections, is less than that.
const RestoreGap = 1 << 20

// OfflineDisk is what the disk of a stopped member holds of the partitions. Use OpenRemains, then Close.
type OfflineDisk struct {
	log      *disklog.Log
	state    *diskState
	machines map[Group]StateMachine
}

// OfflineGroup is what it holds of one partition.
type OfflineGroup struct {
	Number    Group
	Term      consensus.Term  // the latest that the member has seen
	Committed consensus.Index // up to which the member knew the log to be committed
	Last      consensus.Index // of the log
	LastTerm  consensus.Term  // of the log's last entry: of two disks the one with the higher last term holds more, then the longer one
	Voters    []consensus.Member
}

// OpenOfflineDisk reads the disk of a member that does not run. The machines are those of all partitions, empty.
func OpenOfflineDisk(files disklog.FileSystem, machines map[Group]StateMachine) (*OfflineDisk, error) {
	sizes, err := disklog.Measures(files)
	if err != nil {
		return nil, err
	}
	log, records, err := disklog.Open(files, sizes)
	if err != nil {
		return nil, err
	}
	state, err := replayRecords(records)
	if err != nil {
		_ = log.Close() // what can't be read matters more
		return nil, err
	}
	return &OfflineDisk{log: log, state: state, machines: machines}, nil
}

// Close lets go of the disk.
func (r *OfflineDisk) Close() error { return r.log.Close() }

// Self is the member whose disk it is.
func (r *OfflineDisk) Self() consensus.Member { return r.state.identity }

// Groups lists what is there, by partition.
func (r *OfflineDisk) Groups() []OfflineGroup {
	var list []OfflineGroup
	for number, stored := range r.state.groups {
		list = append(list, stored.summary(number))
	}
	slices.SortFunc(list, func(a, b OfflineGroup) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

func (g *diskGroup) summary(number Group) OfflineGroup {
	summary := OfflineGroup{
		Number:    number,
		Term:      g.hardState.Term,
		Committed: max(g.committed, g.snapshot.Index),
		Last:      g.snapshot.Index,
		LastTerm:  g.snapshot.Term,
		Voters:    g.snapshot.Membership.Voters,
	}
	for _, entry := range g.entries {
		summary.Last, summary.LastTerm = entry.Index, entry.Term
		if entry.Kind == consensus.EntryMembership {
			var membership consensus.Membership
			if cbor.Unmarshal(entry.Data, &membership) == nil {
				summary.Voters = membership.Voters
			}
		}
	}
	summary.Term = max(summary.Term, summary.LastTerm)
	return summary
}

// Restore makes this disk the only member of all partitions, under a new identity, with all that it holds: also entries
// of which it is not known whether they were committed. Terms, and with them fences, and indexes go on RestoreGap above
// what the disk knows. The machine's other disks must never be used again, as their members would count for the old
// partitions. It changes the disk in one step, or fails and changes nothing.
func (r *OfflineDisk) Restore() error {
	if len(r.state.groups) == 0 || r.state.identity.ID == 0 {
		return ErrNotRestorable.New("it holds no partition: its member had not joined yet; use the disk of another member")
	}
	self := r.state.identity
	self.ID = consensus.MemberID(rand.Uint64() | 1)
	next := &diskState{identity: self, note: r.state.note, groups: map[Group]*diskGroup{}}
	for _, number := range slices.Sorted(maps.Keys(r.machines)) {
		stored := r.state.groups[number]
		if stored == nil && r.isUnused(number) {
			continue
		}
		if stored == nil {
			return ErrNotRestorable.New("partition %d is missing: its member had not joined it yet; use the disk of another member", number)
		}
		restored, err := stored.restored(self, r.machines[number])
		if err != nil {
			return err
		}
		next.groups[number] = restored
	}
	if err := r.log.Checkpoint(next.records()); err != nil {
		return err
	}
	r.state = next
	return nil
}

// isUnused tells whether a partition is one of applications' calls on a disk that holds none of these: they were not promised.
func (r *OfflineDisk) isUnused(number Group) bool {
	if _, ok := r.machines[number].(ApplicationMachine); !ok {
		return false
	}
	for other, machine := range r.machines {
		if _, ok := machine.(ApplicationMachine); ok && r.state.groups[other] != nil {
			return false
		}
	}
	return true
}

// Rebaser is a state machine whose state names indexes of the log.
type Rebaser interface {
	// Rebase has the state stand as if the entry at the index had set it.
	Rebase(index uint64)
}

// restored is the partition's state as one snapshot whose only member is self.
func (g *diskGroup) restored(self consensus.Member, machine StateMachine) (*diskGroup, error) {
	if len(g.snapshot.Data) > 0 {
		if err := machine.Restore(g.snapshot.Data); err != nil {
			return nil, err
		}
	}
	for _, entry := range g.entries {
		if entry.Index > g.snapshot.Index && entry.Kind == consensus.EntryCommand {
			machine.Apply(uint64(entry.Index), entry.Data)
		}
	}
	summary := g.summary(0)
	index, term := summary.Last+RestoreGap, summary.Term+RestoreGap
	if rebaser, ok := machine.(Rebaser); ok {
		rebaser.Rebase(uint64(index))
	}
	snapshot := consensus.Snapshot{
		Index:      index,
		Term:       term,
		Membership: consensus.Membership{Voters: []consensus.Member{self}},
		Data:       machine.Snapshot(),
	}
	return &diskGroup{hardState: consensus.HardState{Term: term}, snapshot: snapshot, committed: index}, nil
}
