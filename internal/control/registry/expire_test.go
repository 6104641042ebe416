package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// expireUntil calls Expire at regular ticks in (from, to] and collects the returned keys.
func expireUntil(member *registry.Registry, from, to time.Duration) []string {
	var keys []string
	for now := from + tick; now <= to; now += tick {
		keys = append(keys, member.Expire(now)...)
	}
	return keys
}

func TestEndedWorkersExpireAfterGrace(t *testing.T) {
	c := qt.New(t)
	workerKey := []string{registry.Key("w")}

	c.Run("given a gone worker, when the grace period has passed, then its key is returned once", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		member.Beat(0, beat("other", 1))
		member.Leave(0, "w", 2)
		c.Assert(expireUntil(member, 0, grace), qt.HasLen, 0)
		c.Assert(expireUntil(member, grace, 3*grace), qt.DeepEquals, workerKey)
		c.Assert(member.Entries(), qt.HasLen, 1)
		_, known := member.Find("w")
		c.Assert(known, qt.IsFalse)
	})

	c.Run("given a gone worker, when another tombstone arrives, then its grace period is not restarted", func(c *qt.C) {
		member, other := newMember("a"), newMember("b")
		member.Leave(0, "w", 2)
		expireUntil(member, 0, grace/2)
		other.Leave(0, "w", 7)
		member.Merge(grace/2, other.Entries())
		c.Assert(expireUntil(member, grace/2, grace+tick), qt.DeepEquals, workerKey)
	})

	c.Run("given a leaving worker, when time passes, then it is not forgotten", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, leavingBeat("w", 1))
		c.Assert(expireUntil(member, 0, 3*grace), qt.HasLen, 0)
	})

	c.Run("given a forgotten gone worker, when heartbeats or a leave arrive, then nothing changes", func(c *qt.C) {
		member := newMember("a")
		member.Leave(0, "w", 2)
		expireUntil(member, 0, 2*grace)
		c.Assert(member.Beat(2*grace, beat("w", 9)), qt.IsFalse)
		c.Assert(member.Leave(2*grace, "w", 10), qt.IsFalse)
		c.Assert(member.Entries(), qt.HasLen, 0)
	})

	c.Run("given a forgotten lapsed worker, when a later heartbeat arrives, then it is up again", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 4))
		lapseUntil(member, 0, 2*heartbeatTimeout)
		expireUntil(member, 2*heartbeatTimeout, 2*grace)
		c.Assert(member.Beat(2*grace, beat("w", 4)), qt.IsFalse)
		c.Assert(member.Beat(2*grace, beat("w", 5)), qt.IsTrue)
		c.Assert(stateOf(member, "w"), qt.Equals, registry.Up)
	})

	c.Run("given a forgotten lapsed worker, when it leaves, then that is a change", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 4))
		lapseUntil(member, 0, 2*heartbeatTimeout)
		expireUntil(member, 2*heartbeatTimeout, 2*grace)
		c.Assert(member.Leave(2*grace, "w", 5), qt.IsTrue)
		worker, _ := member.Find("w")
		c.Assert(worker.State, qt.Equals, registry.Gone)
		c.Assert(worker.Service, qt.Equals, "chat")
	})
}

func TestStaleGossipDoesNotReviveWorkers(t *testing.T) {
	c := qt.New(t)
	setup := func() (forgetful *registry.Registry, alive, tombstone []replica.Entry) {
		forgetful = newMember("a")
		forgetful.Beat(0, beat("w", 1))
		alive = forgetful.Entries()
		forgetful.Leave(0, "w", 2)
		tombstone = forgetful.Entries()
		expireUntil(forgetful, 0, 2*grace)
		return forgetful, alive, tombstone
	}

	c.Run("given a forgotten worker, when its tombstone arrives again, then that is no change", func(c *qt.C) {
		member, _, tombstone := setup()
		c.Assert(member.Merge(2*grace, tombstone), qt.HasLen, 0)
		c.Assert(member.Entries(), qt.HasLen, 0)
		// Expire returns the key once more, since the replicated map may hold the entry again.
		c.Assert(expireUntil(member, 2*grace, 5*grace), qt.DeepEquals, []string{registry.Key("w")})
	})

	c.Run("given a forgotten worker, when an older up entry arrives, then the tombstone is restored", func(c *qt.C) {
		member, alive, tombstone := setup()
		changed := member.Merge(2*grace, alive)
		c.Assert(changed, qt.HasLen, 1)
		c.Assert(changed[0].State, qt.Equals, registry.Gone)
		c.Assert(member.Entries(), qt.DeepEquals, tombstone)
		c.Assert(expireUntil(member, 2*grace, 5*grace), qt.HasLen, 1)
	})

	c.Run("given a lapse received again after its grace period, when the worker returns, then it is not forgotten", func(c *qt.C) {
		member := newMember("a")
		member.Beat(0, beat("w", 1))
		lapseUntil(member, 0, 2*heartbeatTimeout)
		lapsed := member.Entries()
		expireUntil(member, 2*heartbeatTimeout, 2*grace)
		c.Assert(member.Merge(2*grace, lapsed), qt.HasLen, 0)
		c.Assert(member.Beat(2*grace, beat("w", 2)), qt.IsTrue)
		c.Assert(expireUntil(member, 2*grace, 5*grace), qt.HasLen, 0)
		c.Assert(member.Entries(), qt.HasLen, 1)
	})

	c.Run("given a forgotten worker, when a newer tombstone arrives, then it is kept without counting as a change", func(c *qt.C) {
		member, _, _ := setup()
		other := newMember("b")
		other.Leave(0, "w", 7)
		c.Assert(member.Merge(2*grace, other.Entries()), qt.HasLen, 0)
		c.Assert(member.Entries(), qt.DeepEquals, other.Entries())
	})

	c.Run("given a member partitioned for long, when it reconnects, then both registries agree", func(c *qt.C) {
		member, alive, _ := setup()
		isolated := newMember("b")
		isolated.Merge(0, alive)
		answers := member.Merge(2*grace, isolated.Entries())
		c.Assert(isolated.Merge(2*grace, []replica.Entry{member.Entry(answers[0])}), qt.HasLen, 1)
		c.Assert(stateOf(isolated, "w"), qt.Equals, registry.Gone)
		c.Assert(isolated.Entries(), qt.DeepEquals, member.Entries())
	})
}
