package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
)

const tick = 500 * time.Millisecond

// lapseUntil calls Lapse at regular ticks in (from, to] and collects the returned workers.
func lapseUntil(member *registry.Registry, from, to time.Duration) []registry.Worker {
	var ended []registry.Worker
	for now := from + tick; now <= to; now += tick {
		ended = append(ended, member.Lapse(now)...)
	}
	return ended
}

// adoptUntil is like lapseUntil for AdoptLapsed.
func adoptUntil(member *registry.Registry, from, to time.Duration, deadHomes ...string) []registry.Worker {
	var ended []registry.Worker
	for now := from + tick; now <= to; now += tick {
		ended = append(ended, member.AdoptLapsed(now, deadHomes)...)
	}
	return ended
}

func TestWorkersLapseOnHeartbeatTimeout(t *testing.T) {
	c := qt.New(t)

	c.Run("given a worker, when its heartbeats stop, then its home lapses it once, at its newest call count", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		member.Beat(tick, beat("w", 2))
		c.Assert(lapseUntil(member, 0, heartbeatTimeout+tick), qt.HasLen, 0)
		ended := lapseUntil(member, heartbeatTimeout+tick, 3*heartbeatTimeout)
		c.Assert(ended, qt.HasLen, 1)
		c.Assert(ended[0].State, qt.Equals, registry.Lapsed)
		c.Assert(ended[0].CallCount, qt.Equals, uint64(2))
	})

	c.Run("given a lapsed worker, when its heartbeats resume, then it is up again at all members", func(c *qt.C) {
		a, b := newMember("a"), newMember("b")
		a.Beat(0, beat("w", 1))
		b.Merge(0, a.Entries())
		lapseUntil(a, 0, 2*heartbeatTimeout)
		b.Merge(2*heartbeatTimeout, a.Entries())
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Lapsed)
		c.Assert(a.Beat(2*heartbeatTimeout, beat("w", 1)), qt.IsFalse)
		c.Assert(a.Beat(2*heartbeatTimeout, beat("w", 2)), qt.IsTrue)
		b.Merge(2*heartbeatTimeout, a.Entries())
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Up)
	})

	c.Run("given a leaving worker, when its heartbeats stop, then it is gone", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, leavingBeat("w", 1))
		ended := lapseUntil(member, 0, 2*heartbeatTimeout)
		c.Assert(ended, qt.HasLen, 1)
		c.Assert(ended[0].State, qt.Equals, registry.Gone)
	})

	c.Run("given a worker of another home, when it sends no heartbeats here, then this member does not lapse it", func(c *qt.C) {
		a, b := newMember("a"), newMember("b")
		a.Beat(0, beat("w", 1))
		b.Merge(0, a.Entries())
		c.Assert(lapseUntil(b, 0, 3*heartbeatTimeout), qt.HasLen, 0)
		c.Assert(b.Homes(), qt.DeepEquals, []string{"a"})
	})

	c.Run("given a restarted member, when it learns that it is the home, then the worker has the full timeout", func(c *qt.C) {
		before, after := newMember("a"), newMember("a")
		before.Beat(0, beat("w", 1))
		after.Merge(10*time.Second, before.Entries())
		c.Assert(lapseUntil(after, 10*time.Second, 10*time.Second+heartbeatTimeout), qt.HasLen, 0)
		c.Assert(lapseUntil(after, 10*time.Second+heartbeatTimeout, 20*time.Second), qt.HasLen, 1)
	})
}

func TestLocalPauseRestartsTimeouts(t *testing.T) {
	c := qt.New(t)
	// Given a member that paused for longer than the heartbeat timeout.
	member := newMember("a")
	member.Beat(0, beat("w", 1))
	lapseUntil(member, 0, time.Second)
	// When it resumes, then no worker lapses, the pause is in the journal, and the timeouts restart.
	c.Assert(member.Lapse(time.Minute), qt.HasLen, 0)
	events := member.Events(1)
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Cause, qt.Equals, registry.LocalPause)
	c.Assert(lapseUntil(member, time.Minute, time.Minute+heartbeatTimeout), qt.HasLen, 0)
	c.Assert(lapseUntil(member, time.Minute+heartbeatTimeout, 2*time.Minute), qt.HasLen, 1)
}

func TestWorkersOfDeadHomesAreAdopted(t *testing.T) {
	c := qt.New(t)
	setup := func() (a, b, third *registry.Registry) {
		a, b, third = newMember("a"), newMember("b"), newMember("c")
		a.Beat(0, beat("w", 1))
		b.Merge(0, a.Entries())
		third.Merge(0, a.Entries())
		return a, b, third
	}

	c.Run("given a dead home, when its worker sends no heartbeats, then all other members lapse it with equal entries", func(c *qt.C) {
		_, b, third := setup()
		adoptUntil(b, 0, 10*time.Second)
		adoptUntil(third, 0, 10*time.Second)
		c.Assert(adoptUntil(b, 10*time.Second, 10*time.Second+tick+heartbeatTimeout, "a"), qt.HasLen, 0)
		c.Assert(adoptUntil(b, 10*time.Second+tick+heartbeatTimeout, 20*time.Second, "a"), qt.HasLen, 1)
		c.Assert(adoptUntil(third, 10*time.Second, 20*time.Second, "a"), qt.HasLen, 1)
		c.Assert(b.Entries(), qt.DeepEquals, third.Entries())
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Lapsed)
	})

	c.Run("given a dead home, when the worker sends a heartbeat to b in time, then it stays up", func(c *qt.C) {
		_, b, third := setup()
		adoptUntil(b, 0, heartbeatTimeout, "a")
		adoptUntil(third, 0, heartbeatTimeout, "a")
		b.Beat(heartbeatTimeout, beat("w", 2))
		third.Merge(heartbeatTimeout, b.Entries())
		c.Assert(adoptUntil(b, heartbeatTimeout, 10*time.Second, "a"), qt.HasLen, 0)
		c.Assert(adoptUntil(third, heartbeatTimeout, 10*time.Second, "a"), qt.HasLen, 0)
	})

	c.Run("given a dead home, when a change from it arrives late, then the timeout restarts", func(c *qt.C) {
		a, b, _ := setup()
		adoptUntil(b, 0, heartbeatTimeout, "a")
		reading := beat("w", 2)
		reading.Phase = "reading"
		a.Beat(heartbeatTimeout, reading)
		b.Merge(heartbeatTimeout, a.Entries())
		c.Assert(adoptUntil(b, heartbeatTimeout, 2*heartbeatTimeout, "a"), qt.HasLen, 0)
		c.Assert(adoptUntil(b, 2*heartbeatTimeout, 3*heartbeatTimeout, "a"), qt.HasLen, 1)
	})

	c.Run("given a home that recovered, when it dies again, then the timeout restarts", func(c *qt.C) {
		_, b, _ := setup()
		adoptUntil(b, 0, heartbeatTimeout, "a")
		adoptUntil(b, heartbeatTimeout, 2*heartbeatTimeout)
		c.Assert(adoptUntil(b, 2*heartbeatTimeout, 3*heartbeatTimeout, "a"), qt.HasLen, 0)
		c.Assert(adoptUntil(b, 3*heartbeatTimeout, 4*heartbeatTimeout, "a"), qt.HasLen, 1)
	})

	c.Run("given a partitioned home, when the lapse reaches it, then it republishes its newest heartbeat", func(c *qt.C) {
		a, b, _ := setup()
		for now := time.Second; now <= 10*time.Second; now += time.Second {
			a.Beat(now, beat("w", uint64(now/time.Second)+1))
		}
		adoptUntil(b, 0, 10*time.Second, "a")
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Lapsed)
		answers := a.Merge(10*time.Second, b.Entries())
		c.Assert(answers, qt.HasLen, 1)
		c.Assert(answers[0].State, qt.Equals, registry.Up)
		c.Assert(answers[0].CallCount, qt.Equals, uint64(11))
		b.Merge(10*time.Second, a.Entries())
		c.Assert(stateOf(b, "w"), qt.Equals, registry.Up)
	})

	c.Run("given a member listed among the dead homes, when it adopts, then it skips its own workers", func(c *qt.C) {
		a, _, _ := setup()
		c.Assert(adoptUntil(a, 0, 2*heartbeatTimeout, "a"), qt.HasLen, 0)
	})
}
