package fleettest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/member"
	"sumacloft/internal/status"
)

// Restore makes the disk of a member that does not run the only one of the partitions.
func (c *Control) Restore() (status.Configuration, error) {
	remains, err := member.OpenOfflineDisk(c.disk.mount())
	if err != nil {
		return status.Configuration{}, err
	}
	restored, err := remains.Restore()
	if err != nil {
		return status.Configuration{}, err
	}
	return restored, remains.Close()
}

// loseMajority has all control members lose their power, and all but one their disks.
func (f *Fleet) loseMajority(left *Control) {
	for _, control := range f.Controls {
		control.PowerOff()
		if control != left {
			control.Wipe()
		}
	}
}

// term is the highest term of a partition that a member tells of.
func (f *Fleet) term(number uint32) uint64 {
	term := uint64(0)
	for _, control := range f.Controls {
		if part := control.Partition(number); part != nil {
			term = max(term, part.Term)
		}
	}
	return term
}

func TestPartitionsAreRestoredFromOneDisk(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprintf("of member %d", place), func(t *testing.T) {
			Run(t, Plan{}, func(c *qt.C, f *Fleet) { restoredFrom(c, f, f.Controls[place]) })
		})
	}
}

// restoredFrom has a majority of the disks lost, and the partitions restored from the one that is left.
func restoredFrom(c *qt.C, f *Fleet, left *Control) {
	// Given a fleet whose control members all lose their power, and all but one their disks for good,
	f.NewWorker(Plain, "", Behaviour{})
	f.Serve()
	f.Operator.Acknowledge(1, Document(2, "before"))
	time.Sleep(catchUp)
	before := f.term(settingsPartition)
	f.loseMajority(left)
	time.Sleep(5 * time.Second)
	// when the partitions are restored from the disk that is left, and all start again,
	restored, err := left.Restore()
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Version, qt.Equals, uint64(2))
	for _, control := range f.Controls {
		control.PowerOn()
	}
	// then the configuration is there, which routers worked by meanwhile and do still,
	readsVersion(f, left, 2)
	c.Assert(serves(f, f.Edges[0], "/before/x"), qt.IsTrue)
	// fences go on above all that were given, three members vote, and orders are taken and in force again,
	hasVoters(f, 3, "")
	for number := range uint32(3) {
		c.Assert(f.term(number) > before, qt.IsTrue)
	}
	f.Operator.Acknowledge(2, Document(3, "after"))
	for _, edge := range f.Edges {
		inForce(f, edge, "after", f.Now())
	}
	// which the loss of the disk that was left does not undo.
	left.PowerOff()
	left.Wipe()
	left.PowerOn()
	f.Operator.Acknowledge(3, Document(4, "later"))
	inForce(f, f.Edges[0], "later", f.Now())
}

func TestRestoreRefusesADiskThatHoldsNothing(t *testing.T) {
	Run(t, Plan{Edges: -1}, func(c *qt.C, f *Fleet) {
		// Given a member whose disk is empty, when it is to be restored from, then that is refused.
		f.Operator.Acknowledge(0, Document(1))
		lost := f.Controls[0]
		lost.PowerOff()
		lost.Wipe()
		_, err := lost.Restore()
		c.Assert(err, qt.ErrorMatches, ".*there is no log in this folder.*")
	})
}
