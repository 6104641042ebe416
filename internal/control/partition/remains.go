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

// ErrNotRestorable is the class of errors for disks from which partitions cannot be restored.
var ErrNotRestorable = errs.Class("partition: this disk can't be restored from")

// RestoreGap is added to the indexes and terms on disk when partitions are restored. Entries and elections that other members
// may have seen beyond this disk must stay below this gap.
const RestoreGap = 1 << 20

// OfflineDisk is the stored state of a stopped member. Use OpenOfflineDisk, then Close.
type OfflineDisk struct {
	log      *disklog.Log
	state    *diskState
	machines map[Group]StateMachine
}

// OfflineGroup is the stored state of one partition.
type OfflineGroup struct {
	Number    Group
	Term      consensus.Term  // highest term that the member has seen
	Committed consensus.Index // highest commit index known to the member
	Last      consensus.Index // last index of the log
	LastTerm  consensus.Term  // term of the log's last entry; the disk with the higher LastTerm is more recent, at equal terms the longer log
	Voters    []consensus.Member
}

// OpenOfflineDisk reads the disk of a stopped member. The machines must be those of all partitions, empty.
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
		_ = log.Close() // the replay error takes precedence
		return nil, err
	}
	return &OfflineDisk{log: log, state: state, machines: machines}, nil
}

// Close closes the disk log.
func (r *OfflineDisk) Close() error { return r.log.Close() }

// Self returns the member that the disk belongs to.
func (r *OfflineDisk) Self() consensus.Member { return r.state.identity }

// Groups returns the stored partitions in the order of their numbers.
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

// Restore makes this disk the only member of all partitions, under a new identity. It keeps all entries on the disk, including
// those not known to be committed. Terms (and so fences) and indexes continue RestoreGap above those on disk. The other members'
// disks must never be used again, since they still count as members of the old partitions. The change is atomic: on error the
// disk is unchanged.
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

// isUnused reports whether a partition holds application calls and the disk has no partition of that kind at all. Such a
// disk is complete without them.
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

// Rebaser is a state machine whose state contains log indexes.
type Rebaser interface {
	// Rebase changes the state as if the entry at the index had set it.
	Rebase(index uint64)
}

// restored returns the partition's state as one snapshot whose only member is self.
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
