package detector_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/mesh/detector"
)

const (
	timeout  = 1000 * time.Millisecond
	interval = 100 * time.Millisecond
)

// run calls Check at regular intervals in (from, to] and collects the reported members.
func run(watcher *detector.Detector, from, to time.Duration) []detector.Down {
	var downs []detector.Down
	for now := from + interval; now <= to; now += interval {
		downs = append(downs, watcher.Check(now)...)
	}
	return downs
}

func TestSilentMembersAreReported(t *testing.T) {
	c := qt.New(t)

	c.Run("given a member with heartbeats, when they stop, then it is reported once", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a", "b"})
		c.Assert(watcher.Heartbeat(50*time.Millisecond, "a", 7), qt.IsFalse)
		watcher.Heartbeat(60*time.Millisecond, "b", 8)
		c.Assert(run(watcher, 0, 900*time.Millisecond), qt.HasLen, 0)
		watcher.Heartbeat(950*time.Millisecond, "b", 8)
		want := detector.Down{ID: "a", Incarnation: 7, Silent: 1050 * time.Millisecond}
		c.Assert(run(watcher, 900*time.Millisecond, 1500*time.Millisecond), qt.DeepEquals, []detector.Down{want})
	})

	c.Run("given a member without any heartbeat, when the timeout has passed, then it is reported", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		c.Assert(run(watcher, 0, timeout), qt.HasLen, 0)
		want := detector.Down{ID: "a", Silent: 1100 * time.Millisecond}
		c.Assert(run(watcher, timeout, 2*timeout), qt.DeepEquals, []detector.Down{want})
	})

	c.Run("given several members without heartbeats, when reported, then they are sorted", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"c", "a", "b"})
		downs := run(watcher, 0, 2*timeout)
		c.Assert(downs, qt.HasLen, 3)
		c.Assert(downs[0].ID+downs[1].ID+downs[2].ID, qt.Equals, "abc")
	})

	c.Run("given a reported member, when it sends a heartbeat, then it is back and may be reported again", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		c.Assert(run(watcher, 0, 2*timeout), qt.HasLen, 1)
		c.Assert(watcher.Heartbeat(2*timeout, "a", 1), qt.IsTrue)
		c.Assert(watcher.Heartbeat(2*timeout, "a", 1), qt.IsFalse)
		c.Assert(run(watcher, 2*timeout, 4*timeout), qt.HasLen, 1)
	})
}

func TestExpectedMembersAreWatched(t *testing.T) {
	c := qt.New(t)

	c.Run("given a newly expected member, when another is close to its timeout, then the new one has the full timeout", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		run(watcher, 0, 900*time.Millisecond)
		watcher.Expect(900*time.Millisecond, []string{"a", "b"})
		downs := run(watcher, 900*time.Millisecond, 1900*time.Millisecond)
		c.Assert(downs, qt.HasLen, 1)
		c.Assert(downs[0].ID, qt.Equals, "a")
	})

	c.Run("given an expected member, when Expect is repeated, then its timeout is not restarted", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		run(watcher, 0, 900*time.Millisecond)
		watcher.Expect(900*time.Millisecond, []string{"a"})
		c.Assert(run(watcher, 900*time.Millisecond, 1200*time.Millisecond), qt.HasLen, 1)
	})

	c.Run("given a member no longer expected, when it sends no heartbeat, then it is not reported", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		watcher.Expect(interval, nil)
		c.Assert(run(watcher, 0, 3*timeout), qt.HasLen, 0)
	})

	c.Run("given an unknown member or an earlier incarnation, when it sends a heartbeat, then it is ignored", func(c *qt.C) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		watcher.Heartbeat(0, "a", 5)
		run(watcher, 0, 900*time.Millisecond)
		c.Assert(watcher.Heartbeat(900*time.Millisecond, "a", 4), qt.IsFalse)
		c.Assert(watcher.Heartbeat(900*time.Millisecond, "stranger", 4), qt.IsFalse)
		downs := run(watcher, 900*time.Millisecond, 1200*time.Millisecond)
		c.Assert(downs, qt.HasLen, 1)
		c.Assert(downs[0].Incarnation, qt.Equals, uint64(5))
	})
}

func TestOwnPauseRestartsTimeouts(t *testing.T) {
	c := qt.New(t)
	// Given a watching process that was halted for longer than half the timeout,
	watcher := detector.New(timeout)
	watcher.Expect(0, []string{"a"})
	run(watcher, 0, 300*time.Millisecond)
	_, paused := watcher.TakePause()
	c.Assert(paused, qt.IsFalse)
	// when it checks again, then no member is reported, and the pause is reported once,
	c.Assert(watcher.Check(5*time.Second), qt.HasLen, 0)
	pause, paused := watcher.TakePause()
	c.Assert(paused, qt.IsTrue)
	c.Assert(pause.Length, qt.Equals, 4700*time.Millisecond)
	_, paused = watcher.TakePause()
	c.Assert(paused, qt.IsFalse)
	// and the member has the full timeout from then on.
	c.Assert(run(watcher, 5*time.Second, 6*time.Second), qt.HasLen, 0)
	c.Assert(run(watcher, 6*time.Second, 7*time.Second), qt.HasLen, 1)
}

// Given regular checks and any heartbeats, then a member is reported exactly when its last heartbeat is older than the
// timeout.
func TestReportsMatchTimeouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watcher := detector.New(timeout)
		watcher.Expect(0, []string{"a"})
		lastHeartbeat := time.Duration(0)
		reported := false
		for now := interval; now < 10*time.Second; now += interval {
			if rapid.IntRange(0, 9).Draw(t, "heartbeat") == 0 {
				assert(t, watcher.Heartbeat(now, "a", 1), qt.Equals, reported)
				lastHeartbeat, reported = now, false
			}
			timedOut := now-lastHeartbeat > timeout
			downs := watcher.Check(now)
			assert(t, len(downs) == 1, qt.Equals, timedOut && !reported)
			reported = reported || timedOut
		}
	})
}
