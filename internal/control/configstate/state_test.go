package configstate_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/opconf"
)

// whole returns an order for a whole configuration, told from others of its version by mark.
func whole(builtOn, version uint64, mark string) configstate.Order {
	body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}],"mark":%q}`, version, mark)
	return configstate.Order{Kind: configstate.Replace, BuiltOn: builtOn, Body: []byte(body)}
}

// change returns an order that adds a service.
func change(builtOn, version uint64, service string) configstate.Order {
	body := fmt.Sprintf(`{"version":%d,"add":{"services":[{"name":%q}]}}`, version, service)
	return configstate.Order{Kind: configstate.Change, BuiltOn: builtOn, Body: []byte(body)}
}

// verdict is an Outcome without its error.
type verdict struct {
	Status  configstate.OutcomeStatus
	Version uint64
}

// of returns the verdict of an outcome.
func of(outcome configstate.Outcome) verdict {
	return verdict{Status: outcome.Status, Version: outcome.Version}
}

func TestOrdersFollowOneAnother(t *testing.T) {
	c := qt.New(t)
	// Given a state without a configuration
	state := &configstate.State{}
	c.Assert(state.Current(), qt.IsNil)
	steps := []struct {
		about string
		order configstate.Order
		want  verdict
	}{
		{"not the first", whole(5, 6, ""), verdict{configstate.OtherVersion, 0}},
		{"the first", whole(0, 3, "a"), verdict{configstate.Taken, 3}},
		{"the first again", whole(0, 3, "a"), verdict{configstate.AlreadyTaken, 3}},
		{"another first of the same number", whole(0, 3, "b"), verdict{configstate.OtherVersion, 3}},
		{"same number", whole(3, 3, "a"), verdict{configstate.Invalid, 3}},
		{"lower number", whole(3, 2, "a"), verdict{configstate.Invalid, 3}},
		{"a change", change(3, 7, "t"), verdict{configstate.Taken, 7}},
		{"another change of the same number", change(3, 7, "u"), verdict{configstate.OtherVersion, 7}},
		{"another change on the same version", change(3, 9, "t"), verdict{configstate.OtherVersion, 7}},
		{"invalid and on an old version", change(3, 1, "u"), verdict{configstate.OtherVersion, 7}},
		{"unreadable", configstate.Order{Kind: configstate.Change, BuiltOn: 7, Body: []byte("{")},
			verdict{configstate.Invalid, 7}},
		{"unknown kind", configstate.Order{Kind: 9, BuiltOn: 7, Body: whole(7, 8, "").Body},
			verdict{configstate.Invalid, 7}},
		{"a whole one", whole(7, 8, "z"), verdict{configstate.Taken, 8}},
		{"the first once more", whole(0, 3, "a"), verdict{configstate.AlreadyTaken, 3}},
		{"the change once more", change(3, 7, "t"), verdict{configstate.AlreadyTaken, 7}},
	}
	for index, step := range steps {
		// when orders come in this order, then each has its outcome, and Check says so ahead.
		c.Assert(of(state.Check(step.order)), qt.Equals, step.want, qt.Commentf(step.about))
		outcome := state.Apply(uint64(index+1), step.order)
		c.Assert(of(outcome), qt.Equals, step.want, qt.Commentf(step.about))
		c.Assert(outcome.Err == nil, qt.Equals, outcome.Status.Acknowledged(), qt.Commentf(step.about))
	}
	c.Assert(string(state.Current().Raw()), qt.Equals, string(whole(7, 8, "z").Body))
	c.Assert(state.Index(), qt.Equals, uint64(13))
}

func TestErrorsAreTyped(t *testing.T) {
	c := qt.New(t)
	// Given a state with a configuration
	state := &configstate.State{}
	state.Apply(1, whole(0, 3, ""))
	// when orders are refused, then the kind of error says why.
	var otherVersion *configstate.OtherVersionError
	c.Assert(errors.As(state.Check(whole(1, 4, "")).Err, &otherVersion), qt.IsTrue)
	c.Assert(*otherVersion, qt.Equals, configstate.OtherVersionError{BuiltOn: 1, Current: 3})
	var version *configstate.VersionError
	c.Assert(errors.As(state.Check(whole(3, 3, "")).Err, &version), qt.IsTrue)
	c.Assert(*version, qt.Equals, configstate.VersionError{Version: 3, Current: 3})
	var kind *configstate.KindError
	c.Assert(errors.As(state.Check(configstate.Order{BuiltOn: 3}).Err, &kind), qt.IsTrue)
	var invalid *opconf.InvalidError
	outcome := state.Check(configstate.Order{Kind: configstate.Replace, BuiltOn: 3, Body: []byte("{}")})
	c.Assert(errors.As(outcome.Err, &invalid), qt.IsTrue)
	c.Assert(configstate.Error.Has(outcome.Err), qt.IsTrue)
}

func TestMemoryOfTakenOrdersIsBounded(t *testing.T) {
	c := qt.New(t)
	// Given a state that took one order more than it remembers
	state := &configstate.State{}
	orders := uint64(configstate.MaxRemembered + 1)
	for version := uint64(1); version <= orders; version++ {
		c.Assert(state.Apply(version, whole(version-1, version, "")).Status, qt.Equals, configstate.Taken)
	}
	for _, replica := range []*configstate.State{state, restored(c, state)} {
		// when the oldest orders are sent again, then of the first nothing is known, it is neither taken twice nor refused,
		// and the second is known.
		c.Assert(of(replica.Check(whole(0, 1, ""))), qt.Equals, verdict{configstate.Unknown, orders})
		c.Assert(of(replica.Check(whole(1, 2, ""))), qt.Equals, verdict{configstate.AlreadyTaken, 2})
		c.Assert(of(replica.Check(whole(orders-1, orders, ""))), qt.Equals, verdict{configstate.AlreadyTaken, orders})
		// and when another is taken, then the second is forgotten too.
		c.Assert(replica.Apply(orders+1, whole(orders, orders+1, "")).Status, qt.Equals, configstate.Taken)
		c.Assert(replica.Check(whole(1, 2, "")).Status, qt.Equals, configstate.Unknown)
		// and one on an old version that is above all forgotten ones can't have been taken.
		c.Assert(replica.Check(whole(1, 3, "x")).Status, qt.Equals, configstate.OtherVersion)
		c.Assert(replica.Check(whole(2, 3, "")).Status, qt.Equals, configstate.AlreadyTaken)
		c.Assert(len(replica.Snapshot()) < 64*configstate.MaxRemembered, qt.IsTrue)
	}
}

// restored returns a new state that is restored from a snapshot of state.
func restored(c *qt.C, state *configstate.State) *configstate.State {
	replica := &configstate.State{}
	c.Assert(replica.Restore(state.Snapshot()), qt.IsNil)
	return replica
}

func TestDamagedSnapshotsChangeNothing(t *testing.T) {
	c := qt.New(t)
	// Given a state, and a snapshot of it
	state := &configstate.State{}
	state.Apply(4, whole(0, 3, strings.Repeat("long ", 100)))
	image := state.Snapshot()
	for length := range len(image) {
		// when a part of the snapshot is restored, then that fails and the state is as it was.
		c.Assert(configstate.Error.Has(state.Restore(image[:length])), qt.IsTrue)
		c.Assert(state.Version(), qt.Equals, uint64(3))
	}
	c.Assert(string(state.Snapshot()), qt.Equals, string(image))
}

func TestSnapshotOfAnotherFormatIsRefused(t *testing.T) {
	c := qt.New(t)
	// Given a snapshot whose format is unknown
	image := (&configstate.State{}).Snapshot()
	image[1] = 9 // the format is the first item of the array
	// when it is restored, then the error says so.
	var format *configstate.FormatError
	c.Assert(errors.As((&configstate.State{}).Restore(image), &format), qt.IsTrue)
	c.Assert(format.Format, qt.Equals, 9)
}

func TestOrdersKeepTheirFormInTheLog(t *testing.T) {
	c := qt.New(t)
	// Given an order, when it is written and read, then it is the same; a damaged one is no order.
	order := change(3, 9, "s")
	entry, err := order.Encode()
	c.Assert(err, qt.IsNil)
	again, err := configstate.DecodeOrder(entry)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Kind, qt.Equals, order.Kind)
	c.Assert(again.BuiltOn, qt.Equals, order.BuiltOn)
	c.Assert(string(again.Body), qt.Equals, string(order.Body))
	_, err = configstate.DecodeOrder(entry[:len(entry)-1])
	c.Assert(configstate.Error.Has(err), qt.IsTrue)
}
