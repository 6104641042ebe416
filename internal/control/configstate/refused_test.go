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

func TestMemoryOfRefusedOrdersIsBounded(t *testing.T) {
	c := qt.New(t)
	// Given a state that refused one order more than it remembers
	state := &configstate.State{}
	for version := uint64(1); version <= configstate.MaxRefused+1; version++ {
		c.Assert(state.Apply(version, whole(9000, 9000+version, "")).Status, qt.Equals, configstate.OtherVersion)
	}
	state.Apply(5000, whole(0, 9000, ""))
	state = restored(c, state)
	// when their version has come, then all are refused but the oldest.
	c.Assert(state.Check(whole(9000, 9002, "")).Status, qt.Equals, configstate.OtherVersion)
	c.Assert(state.Check(whole(9000, 9000+configstate.MaxRefused+1, "")).Status, qt.Equals, configstate.OtherVersion)
	c.Assert(state.Check(whole(9000, 9001, "")).Status, qt.Equals, configstate.Taken)
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
