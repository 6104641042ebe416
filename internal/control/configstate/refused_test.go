package configstate_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/configstate"
)

func TestRefusedOrderIsNotTakenLater(t *testing.T) {
	c := qt.New(t)
	// Given an order that was refused, as the version that it builds on was not there yet
	state := &configstate.State{}
	state.Apply(1, whole(0, 3, ""))
	early := whole(5, 7, "early")
	c.Assert(state.Apply(2, early).Status, qt.Equals, configstate.OtherVersion)
	// and that version, which comes after it
	c.Assert(state.Apply(3, whole(3, 5, "")).Status, qt.Equals, configstate.Taken)
	for _, replica := range []*configstate.State{state, restored(c, state)} {
		// when a copy of the order comes late, then it is refused still,
		outcome := replica.Apply(4, early)
		c.Assert(of(outcome), qt.Equals, verdict{configstate.OtherVersion, 5})
		var refused *configstate.RefusedError
		c.Assert(errors.As(outcome.Err, &refused), qt.IsTrue)
		// and another order on that version is taken.
		c.Assert(replica.Apply(5, whole(5, 7, "other")).Status, qt.Equals, configstate.Taken)
	}
}

// crowded is a state that refused as many orders on version 9000 as it remembers, and was asked for one more.
func crowded(c *qt.C, faults configstate.Faults) (*configstate.State, configstate.Outcome) {
	state := configstate.NewBroken(faults)
	for version := uint64(1); version <= configstate.MaxRefused; version++ {
		c.Assert(state.Apply(version, whole(9000, 9000+version, "")).Status, qt.Equals, configstate.OtherVersion)
	}
	return &state, state.Apply(configstate.MaxRefused+1, whole(9000, 9000+configstate.MaxRefused+1, ""))
}

func TestMemoryOfRefusedOrdersIsBounded(t *testing.T) {
	c := qt.New(t)
	// Given a state that refused as many orders as it remembers, when one more comes, then it is not refused for good,
	state, more := crowded(c, configstate.Faults{})
	c.Assert(more.Status, qt.Equals, configstate.Unknown)
	var crowd *configstate.CrowdedError
	c.Assert(errors.As(more.Err, &crowd), qt.IsTrue)
	c.Assert(state.Memory(), qt.Equals, configstate.Memory{Refused: configstate.MaxRefused})
	// and when their version has come, also after a restart, then all that were refused are refused still, the oldest among them.
	state.Apply(5000, whole(0, 9000, ""))
	state = restored(c, state)
	for version := uint64(9001); version <= 9000+configstate.MaxRefused; version++ {
		c.Assert(state.Check(whole(9000, version, "")).Status, qt.Equals, configstate.OtherVersion)
	}
	c.Assert(state.Check(whole(9000, 9000+configstate.MaxRefused+1, "")).Status, qt.Equals, configstate.Taken)
	// Once a later version is in force they are refused by their base alone, and there is room again.
	c.Assert(state.Apply(5001, whole(9000, 19000, "")).Status, qt.Equals, configstate.Taken)
	c.Assert(state.Memory().Refused, qt.Equals, 0)
	c.Assert(state.Check(whole(9000, 9001, "")).Status, qt.Equals, configstate.OtherVersion)
	c.Assert(state.Check(whole(30000, 30001, "")).Status, qt.Equals, configstate.OtherVersion)
}

func TestOrderBeyondTheMemoryIsNotRefusedForGood(t *testing.T) {
	c := qt.New(t)
	// Given a build that refuses for good what it can't remember, when the version has come, then the refused order is taken.
	state, more := crowded(c, configstate.Faults{RefuseUnremembered: true})
	c.Assert(more.Status, qt.Equals, configstate.OtherVersion)
	state.Apply(5000, whole(0, 9000, ""))
	taken := 0
	for version := uint64(9001); version <= 9001+configstate.MaxRefused; version++ {
		if state.Check(whole(9000, version, "")).Status == configstate.Taken {
			taken++
		}
	}
	c.Assert(taken > 0, qt.IsTrue)
}

func TestSnapshotOfTheSecondFormatIsRead(t *testing.T) {
	c := qt.New(t)
	// Given a snapshot in the second format, of a state that refused one order: format, index, no document, nothing taken, its
	// digest, nothing forgotten
	order := append([]byte{0x58, 0x20}, make([]byte, 32)...)
	image := append([]byte{0x87, 0x02, 0x04, 0x00, 0x40, 0x80, 0x81}, order...)
	image = append(image, 0x00)
	// when it is restored, then the order is remembered.
	state := &configstate.State{}
	c.Assert(state.Restore(image), qt.IsNil)
	c.Assert(state.Memory(), qt.Equals, configstate.Memory{Refused: 1})
}

func TestSnapshotOfTheReleaseBeforeIsRead(t *testing.T) {
	c := qt.New(t)
	// Given a snapshot in the first format, of a state that took one order: format, index, no document, its digest and version
	order := append([]byte{0x58, 0x20}, make([]byte, 32)...)
	image := append([]byte{0x85, 0x01, 0x04, 0x00, 0x40, 0x81, 0x82}, order...)
	image = append(image, 0x03)
	// when it is restored, then the state goes on from it.
	state := &configstate.State{}
	c.Assert(state.Restore(image), qt.IsNil)
	c.Assert(state.Index(), qt.Equals, uint64(4))
	c.Assert(state.Apply(5, whole(0, 3, "")).Status, qt.Equals, configstate.Taken)
}
