package registry_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

const (
	heartbeatTimeout = 3 * time.Second
	grace            = 60 * time.Second
)

func newMember(self string) *registry.Registry {
	return registry.New(registry.Config{Self: self, HeartbeatTimeout: heartbeatTimeout, Grace: grace})
}

// beat returns a heartbeat of a worker that is up.
func beat(id string, callCount uint64) registry.Beat {
	return registry.Beat{
		ID:        id,
		Service:   "chat",
		Address:   "10.0.0.9:8080",
		Capacity:  64,
		State:     registry.Up,
		Phase:     "writing",
		Models:    []registry.Model{{Name: "m", Version: 1}},
		CallCount: callCount,
	}
}

func leavingBeat(id string, callCount uint64) registry.Beat {
	leaving := beat(id, callCount)
	leaving.State = registry.Leaving
	return leaving
}

func stateOf(member *registry.Registry, id string) registry.State {
	worker, _ := member.Find(id)
	return worker.State
}

func TestUnchangedHeartbeatsAreNotReplicated(t *testing.T) {
	c := qt.New(t)

	c.Run("given a new worker, when its heartbeat arrives, then that is a change", func(c *qt.C) {
		member := newMember("a")
		c.Assert(member.Beat(0, beat("w", 1)), qt.IsTrue)
		worker, known := member.Find("w")
		c.Assert(known, qt.IsTrue)
		c.Assert(worker.Home, qt.Equals, "a")
		c.Assert(worker.State, qt.Equals, registry.Up)
	})

	c.Run("given a known worker, when only call count and cold time change, then its entry is unchanged", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		entries, revision := member.Entries(), member.View().Revision()
		unchanged := beat("w", 2)
		unchanged.ColdLeft = time.Second
		unchanged.Models = []registry.Model{{Name: "m", Version: 1, AddOns: []string{}}}
		c.Assert(member.Beat(time.Second, unchanged), qt.IsFalse)
		c.Assert(member.Entries(), qt.DeepEquals, entries)
		c.Assert(member.View().Revision(), qt.Equals, revision)
	})

	c.Run("given a known worker, when its phase changes, then the entry carries that call count", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		member.Beat(0, beat("w", 2))
		reading := beat("w", 3)
		reading.Phase = "reading"
		c.Assert(member.Beat(0, reading), qt.IsTrue)
		worker, _ := member.Find("w")
		c.Assert(worker.CallCount, qt.Equals, uint64(3))
		c.Assert(worker.Phase, qt.Equals, "reading")
	})

	c.Run("given a known worker, when a late heartbeat differs, then nothing changes", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		member.Beat(0, beat("w", 5))
		late := beat("w", 4)
		late.Phase = "reading"
		c.Assert(member.Beat(0, late), qt.IsFalse)
		worker, _ := member.Find("w")
		c.Assert(worker.Phase, qt.Equals, "writing")
	})

	c.Run("given a worker of member a, when it moves to b, then b is its home at both members", func(c *qt.C) {
		a, b := newMember("a"), newMember("b")
		a.Beat(0, beat("w", 1))
		b.Merge(0, a.Entries())
		c.Assert(b.Beat(0, beat("w", 2)), qt.IsTrue)
		c.Assert(a.Merge(0, b.Entries()), qt.HasLen, 1)
		worker, _ := a.Find("w")
		c.Assert(worker.Home, qt.Equals, "b")
	})
}

func TestLeavingAndGoneAreFinal(t *testing.T) {
	c := qt.New(t)

	c.Run("given a leaving worker, when a heartbeat reports up, then it stays leaving", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, leavingBeat("w", 1))
		c.Assert(member.Beat(0, beat("w", 2)), qt.IsFalse)
		c.Assert(stateOf(member, "w"), qt.Equals, registry.Leaving)
	})

	c.Run("given a worker that is gone, when a late heartbeat arrives, then it stays gone", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		c.Assert(member.Leave(0, "w", 0), qt.IsTrue)
		c.Assert(member.Leave(0, "w", 9), qt.IsFalse)
		c.Assert(member.Beat(0, beat("w", 7)), qt.IsFalse)
		c.Assert(stateOf(member, "w"), qt.Equals, registry.Gone)
		c.Assert(member.View().Workers("chat"), qt.HasLen, 0)
	})

	c.Run("given a leave of an unknown worker, when its heartbeat arrives later, then it stays gone", func(c *qt.C) {
		member := newMember("a")
		c.Assert(member.Leave(0, "w", 3), qt.IsTrue)
		c.Assert(member.Beat(0, beat("w", 4)), qt.IsFalse)
		c.Assert(stateOf(member, "w"), qt.Equals, registry.Gone)
	})

	c.Run("given a worker leaving at b and up at a with a higher call count, when merged, then it is leaving at both", func(c *qt.C) {
		a, b := newMember("a"), newMember("b")
		b.Beat(0, leavingBeat("w", 2))
		a.Beat(0, beat("w", 9))
		c.Assert(b.Merge(0, a.Entries()), qt.HasLen, 0)
		c.Assert(a.Merge(0, b.Entries()), qt.HasLen, 1)
		c.Assert(stateOf(a, "w"), qt.Equals, registry.Leaving)
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Leaving)
	})
}

func TestViews(t *testing.T) {
	c := qt.New(t)
	member := newMember("a")
	other := beat("v", 1)
	other.Service = "seals"
	member.Beat(0, beat("w2", 1))
	member.Beat(0, beat("w1", 1))
	member.Beat(0, other)

	c.Run("given workers of two services, when listed, then each service has its own workers, sorted", func(c *qt.C) {
		view := member.View()
		c.Assert(view.Services(), qt.DeepEquals, []string{"chat", "seals"})
		workers := view.Workers("chat")
		c.Assert(workers, qt.HasLen, 2)
		c.Assert(workers[0].ID, qt.Equals, "w1")
		c.Assert(view.All(), qt.HasLen, 3)
		c.Assert(view.Workers("none"), qt.HasLen, 0)
	})

	c.Run("given a view, when a worker ends, then that view is unchanged and the next one lacks the worker", func(c *qt.C) {
		before := member.View()
		member.Leave(0, "v", 2)
		c.Assert(before.Services(), qt.DeepEquals, []string{"chat", "seals"})
		c.Assert(member.View().Services(), qt.DeepEquals, []string{"chat"})
		c.Assert(member.View().Revision() > before.Revision(), qt.IsTrue)
		gone, known := member.View().Worker("v")
		c.Assert(known, qt.IsTrue)
		c.Assert(gone.State, qt.Equals, registry.Gone)
	})
}

func TestJournalIsBounded(t *testing.T) {
	c := qt.New(t)
	// Given a journal limited to three events, when five events are recorded.
	member := registry.New(registry.Config{Self: "a", HeartbeatTimeout: heartbeatTimeout, JournalLimit: 3})
	for _, id := range []string{"v", "w", "x", "y"} {
		member.Beat(0, beat(id, 1))
	}
	member.Leave(0, "v", 2)
	// Then it holds the last three, in order.
	events := member.Events(0)
	c.Assert(events, qt.HasLen, 3)
	c.Assert(events[0].Sequence, qt.Equals, uint64(3))
	c.Assert(events[0].Worker.ID, qt.Equals, "x")
	c.Assert(events[2].Cause, qt.Equals, registry.LeaveReceived)
	c.Assert(member.Events(4), qt.HasLen, 1)
	c.Assert(member.Events(5), qt.HasLen, 0)
}

func TestEntryEncoding(t *testing.T) {
	c := qt.New(t)

	c.Run("given a worker, when its entry is decoded, then it equals the worker", func(c *qt.C) {
		worker := registry.Worker{
			ID: "w", Service: "chat", Address: "h:1", Zone: "east", Version: "v2", Capacity: 64,
			State: registry.Lapsed, ColdLeft: time.Second, Phase: "reading",
			Models: []registry.Model{{Name: "m", Version: 2, AddOns: []string{"x"}}}, CallCount: 7, Home: "a",
		}
		entry := newMember("a").Entry(worker)
		c.Assert(entry.Key, qt.Equals, "worker/w")
		c.Assert(entry.Version, qt.Equals, replica.Version{Major: 0, Minor: 15})
		read, err := registry.WorkerOf(entry)
		c.Assert(err, qt.IsNil)
		c.Assert(read, qt.DeepEquals, worker)
	})

	c.Run("given entries of other kinds and invalid ones, when merged, then they are skipped or recorded", func(c *qt.C) {
		member := newMember("a")
		inconsistent := registry.EntryOf(registry.Worker{ID: "w", State: registry.Up, CallCount: 1})
		inconsistent.Version.Major = 2
		bad := []replica.Entry{
			{Key: "router/r1", Value: []byte("other")},
			{Key: "worker/w", Value: []byte("nonsense")},
			{Key: "worker/w"},
			inconsistent,
		}
		c.Assert(member.Merge(0, bad), qt.HasLen, 0)
		events := member.Events(0)
		c.Assert(events, qt.HasLen, 3)
		var fault *registry.EntryFault
		c.Assert(errors.As(events[0].Fault, &fault), qt.IsTrue)
		c.Assert(fault.Key, qt.Equals, "worker/w")
		c.Assert(events[2].Fault, qt.ErrorMatches, ".*same release.*")
		c.Assert(member.View().Revision(), qt.Equals, uint64(0))
	})
}
