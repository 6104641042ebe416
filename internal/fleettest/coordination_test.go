package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/member"
)

// coordinationHistories is how many histories TestCoordinationKeepsItsPromises draws.
var coordinationHistories = flag.Int("coordinations", 150, "how many histories TestCoordinationKeepsItsPromises draws")

const (
	testHold    = 1500 * time.Millisecond
	testHistory = 20 * time.Second
)

func coordinationPlan(faults member.Faults) Plan {
	return Plan{
		Edges:    -1,
		Promises: []string{"coord"},
		Rules:    func(rules *boot.Rules) { rules.History = testHistory },
		Faults:   Faults{Member: faults},
	}
}

// anyClear makes a call at one member after the other until its answer is clear.
func (f *Fleet) anyClear(what string, call func(at *Control) reply) reply {
	f.t.Helper()
	var got reply
	f.Until(recovery, what, func() bool {
		got = call(f.anyControl())
		return got.clear()
	})
	return got
}

func TestApplicationsLocksNumbersAndKeys(t *testing.T) {
	Run(t, coordinationPlan(member.Faults{}), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		one, other := f.newApplication("one", notes), f.newApplication("other", notes)
		// Given a lock that one holds,
		first := f.anyClear("a lock", func(at *Control) reply { return one.Start(at, "l1", testHold) })
		c.Assert(first.Status, qt.Equals, http.StatusOK)
		for _, control := range f.Controls {
			// then another is told so at every member, and the holder gets more time,
			c.Assert(other.Start(control, "l1", testHold).Status, qt.Equals, http.StatusConflict)
			c.Assert(one.Beat(control, "l1", first.Fence, testHold).Status, qt.Equals, http.StatusOK)
			c.Assert(one.Beat(control, "l1", first.Fence-1, testHold).Status, qt.Equals, http.StatusConflict)
		}
		// and gets it once more with a higher fence, so that what it said of the first hold does not count any more,
		second := one.Start(f.Controls[1], "l1", testHold)
		c.Assert(second.Fence > first.Fence, qt.IsTrue)
		c.Assert(one.call(f.Controls[0], http.MethodPost, "/v1/Locks.Finish/l1", fmt.Sprintf(`{"owner":"one","fence_number":%d}`, first.Fence), time.Second).Status, qt.Equals, http.StatusOK)
		c.Assert(other.Start(f.Controls[2], "l1", testHold).Status, qt.Equals, http.StatusConflict)
		// until its time has passed, or it gives the lock back.
		time.Sleep(testHold + 200*time.Millisecond)
		third := other.Start(f.Controls[0], "l1", testHold)
		c.Assert(third.Status, qt.Equals, http.StatusOK)
		c.Assert(one.Beat(f.Controls[0], "l1", second.Fence, testHold).Status, qt.Equals, http.StatusConflict)
		c.Assert(other.Finish(f.Controls[1], "l1", third.Fence).Status, qt.Equals, http.StatusOK)
		c.Assert(one.Start(f.Controls[0], "l1", testHold).Status, qt.Equals, http.StatusOK)
		// Numbers rise,
		for i := range 6 {
			c.Assert(one.Number(f.Controls[i%3], "n1").Status, qt.Equals, http.StatusOK)
		}
		// and keys of a group share a count of revisions.
		c.Assert(one.Put(f.Controls[0], "g.a", "v1", 0).Revision, qt.Equals, uint64(1))
		c.Assert(one.Put(f.Controls[1], "g.b", "v2", 0).Revision, qt.Equals, uint64(2))
		c.Assert(one.Put(f.Controls[2], "g.a", "v3", 1).Revision, qt.Equals, uint64(3))
		c.Assert(one.Put(f.Controls[1], "g.a", "v1", 0).Revision, qt.Equals, uint64(1)) // again
		refused := one.Put(f.Controls[1], "g.a", "v4", 1)
		c.Assert(refused.Status, qt.Equals, http.StatusPreconditionFailed)
		c.Assert(refused.Revision, qt.Equals, uint64(3))
		c.Assert(one.Read(f.Controls[2], "g.a").text(), qt.Equals, "v3")
		c.Assert(one.Read(f.Controls[2], "g.c").Status, qt.Equals, http.StatusNotFound)
		c.Assert(other.Watch(f.Controls[2], "g.", 0, 0).Revision, qt.Equals, uint64(3))
		c.Assert(other.Watch(f.Controls[2], "g.", 1, time.Second).Events, qt.HasLen, 2)
		c.Assert(notes.judge(), qt.Equals, "")
	})
}

// A watch that waits is answered as soon as a put is committed, whichever member holds it, and with none after its time.
func TestWatchIsAnsweredAtOnce(t *testing.T) {
	Run(t, coordinationPlan(member.Faults{}), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		one, other := f.newApplication("one", notes), f.newApplication("other", notes)
		f.anyClear("a put", func(at *Control) reply { return one.Put(at, "g.a", "v0", 0) })
		for i, control := range f.Controls {
			revision := uint64(i + 1)
			told := make(chan time.Duration, 1)
			go func() {
				c.Check(other.Watch(control, "g.", revision, 5*time.Second).Events, qt.HasLen, 1)
				told <- f.Now()
			}()
			time.Sleep(1200 * time.Millisecond)
			c.Assert(one.Put(f.Controls[0], "g.a", fmt.Sprint("w", i), revision).Status, qt.Equals, http.StatusOK)
			put := f.Now()
			c.Assert(<-told-put < 10*linkDelay, qt.IsTrue)
		}
		began := f.Now()
		empty := other.Watch(f.Controls[1], "g.", 4, 3*time.Second)
		c.Assert(empty.Status, qt.Equals, http.StatusOK)
		c.Assert(empty.Events, qt.HasLen, 0)
		c.Assert(f.Now()-began >= 3*time.Second && f.Now()-began < 3200*time.Millisecond, qt.IsTrue)
		c.Assert(notes.judge(), qt.Equals, "")
	})
}

// Events can be resumed from for as long as is promised, over restarts of all members, and are forgotten some time later.
func TestEventsAreRememberedForTheirTime(t *testing.T) {
	Run(t, coordinationPlan(member.Faults{}), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		one := f.newApplication("one", notes)
		f.anyClear("a put", func(at *Control) reply { return one.Put(at, "g.a", "v1", 0) })
		for i := uint64(1); i < 200; i++ {
			f.anyClear("a put", func(at *Control) reply { return one.Put(at, "g.a", fmt.Sprint("v", i+1), i) })
		}
		f.PowerOff()
		time.Sleep(2 * time.Second)
		f.PowerOn()
		time.Sleep(testHistory - 4*time.Second)
		resumed := f.anyClear("a watch", func(at *Control) reply { return one.Watch(at, "g.", 1, time.Second) })
		c.Assert(resumed.Events, qt.HasLen, 199)
		c.Assert(notes.judge(), qt.Equals, "")
		time.Sleep(3 * testHistory)
		late := f.anyClear("a late watch", func(at *Control) reply { return one.Watch(at, "g.", 1, time.Second) })
		c.Assert(late.Status, qt.Equals, http.StatusGone)
		c.Assert(f.anyClear("a read", func(at *Control) reply { return one.Read(at, "g.a") }).text(), qt.Equals, "v200")
	})
}

// anyHold draws how long a call asks for a lock, at most for so long: each call has its own time.
func anyHold(longest time.Duration) time.Duration { return longest / time.Duration(1+rand.IntN(4)) }

// useLock has an application hold a lock again and again, renew it, end it, die with it or sleep past its time.
func useLock(f *Fleet, a *Application, longest, until time.Duration) {
	for f.Now() < until {
		time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
		lock := fmt.Sprint("l", rand.IntN(2))
		got := a.Start(f.anyControl(), lock, anyHold(longest))
		if got.Status != http.StatusOK {
			continue
		}
		for range rand.IntN(4) {
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			if f.Now() >= a.notes.until(a, lock, got.Fence) {
				break
			}
			a.Beat(f.anyControl(), lock, got.Fence, anyHold(longest))
		}
		if rand.IntN(3) > 0 {
			a.Finish(f.anyControl(), lock, got.Fence)
		}
	}
}

// useKeys has an application read, put and repeat.
func useKeys(f *Fleet, a *Application, until time.Duration) {
	for turn := 0; f.Now() < until; turn++ {
		time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
		key := fmt.Sprintf("g.%d", rand.IntN(3))
		if rand.IntN(4) == 0 {
			a.Number(f.anyControl(), "n")
		}
		read := a.Read(f.anyControl(), key)
		if !read.clear() {
			continue
		}
		amount := fmt.Sprintf("%s.%d", a.Owner, turn)
		put := func() reply { return a.Put(f.anyControl(), key, amount, read.Revision) }
		if rand.IntN(3) == 0 {
			put = func() reply { return a.PutAlways(f.anyControl(), key, amount) }
		}
		for range 6 {
			if put().clear() {
				break
			}
		}
	}
}

// useWatch has an application follow a group.
func useWatch(f *Fleet, a *Application, until time.Duration) {
	after := uint64(0)
	for f.Now() < until {
		got := a.Watch(f.anyControl(), "g.", after, time.Duration(rand.IntN(1500))*time.Millisecond)
		if got.Status == http.StatusOK {
			after = max(after, got.Revision)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// lostAnswers is how many answers of drawn histories come to one that is lost.
const lostAnswers = 10

// losingApplication returns an application that some answers do not reach.
func losingApplication(f *Fleet, owner string, notes *coordinationNotes) *Application {
	application := f.newApplication(owner, notes)
	application.loses = func() bool { return rand.IntN(lostAnswers) == 0 }
	return application
}

// drawCoordination has applications go on while troubles come over the control members, and returns what was broken.
func drawCoordination(t *testing.T, faults member.Faults) string {
	return drawCoordinationWith(t, faults, testHold)
}

func drawCoordinationWith(t *testing.T, faults member.Faults, longest time.Duration) (fault string) {
	runAlone(t, coordinationPlan(faults), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		time.Sleep(2 * time.Second)
		end := f.Now() + historyTime
		var running sync.WaitGroup
		for i := range 3 {
			running.Go(func() { useLock(f, losingApplication(f, fmt.Sprint("l", i), notes), longest, end) })
			running.Go(func() { useKeys(f, losingApplication(f, fmt.Sprint("k", i), notes), end) })
		}
		running.Go(func() { useWatch(f, losingApplication(f, "w", notes), end) })
		names := injectTroubles(f, end-4*time.Second)
		running.Wait()
		last := f.newApplication("last", notes)
		for i := range 3 {
			f.anyClear("a read", func(at *Control) reply { return last.Read(at, fmt.Sprintf("g.%d", i)) })
		}
		f.anyClear("a number", func(at *Control) reply { return last.Number(at, "n") })
		f.anyClear("a watch", func(at *Control) reply { return last.Watch(at, "g.", 1, 0) })
		time.Sleep(2 * longest)
		for i := range 2 {
			got := f.anyClear("a lock", func(at *Control) reply { return last.Start(at, fmt.Sprint("l", i), testHold) })
			c.Check(got.Status, qt.Equals, http.StatusOK)
		}
		if text := notes.judge(); text != "" {
			fault = fmt.Sprintf("%v\n%s", names, text)
		}
	})
	return fault
}

// Whatever befalls the control members, no two callers hold a lock at once, fences and numbers rise, revisions are given
// once, no read is old, no event is left out and nothing that was refused takes effect.
func TestCoordinationKeepsItsPromises(t *testing.T) {
	nothingIsBroken(t, *coordinationHistories, drawCoordination)
}

func TestCoordinationHistoriesFindBrokenMembers(t *testing.T) {
	t.Parallel()
	brokenMembersAreFound(t, map[string]member.Faults{
		"grants on a lapse of any holding": {Coordination: coordination.Faults{GrantLapsed: true}},
		"fences are counted anew":          {Coordination: coordination.Faults{FencePerLock: true}},
		"puts that come again are new":     {Coordination: coordination.Faults{ForgetPuts: true}},
		"renewals shorten holdings":        {Coordination: coordination.Faults{ShortenHolds: true}},
	}, drawCoordination)
}

// longHold is longer than a caller waits for an answer.
const longHold = 5 * time.Second

// A member that guesses that an answer arrived is found with holds that are longer than callers wait for answers.
func TestCoordinationHistoriesFindMembersThatGuess(t *testing.T) {
	t.Parallel()
	brokenMembersAreFound(t, map[string]member.Faults{
		"silence of a second is trusted": {Coordination: coordination.Faults{TrustSilence: true}},
	}, func(t *testing.T, faults member.Faults) string { return drawCoordinationWith(t, faults, longHold) })
}

// drawUnheardRenewals has a caller renew a long hold for a short time while no member's answer reaches it, and another ask
// for the lock all the time. It returns what was broken.
func drawUnheardRenewals(t *testing.T, faults member.Faults) (fault string) {
	runAlone(t, coordinationPlan(faults), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		holder, other := f.newApplication("holder", notes), f.newApplication("other", notes)
		held := f.anyClear("a lock", func(at *Control) reply { return holder.Start(at, "l", longHold) })
		c.Assert(held.Status, qt.Equals, http.StatusOK)
		holder.loses = func() bool { return true }
		got := make(chan reply, 1)
		go func() {
			got <- f.anyClear("the lock", func(at *Control) reply {
				asked := other.Start(at, "l", testHold)
				if asked.Status == http.StatusConflict {
					return reply{}
				}
				return asked
			})
		}()
		// The second renewal is sent a second after the first; then the holder sleeps.
		for _, control := range f.Controls[:2] {
			c.Assert(holder.Beat(control, "l", held.Fence, testHold/3).Status, qt.Equals, 0)
		}
		c.Assert((<-got).Status, qt.Equals, http.StatusOK)
		fault = notes.judge()
	})
	return fault
}

// Guards against a lock that is given to a second caller while the first, who has heard nothing of its renewals for less
// time, still counts on the first grant (docs/incidents/shortened-lock.md).
func TestLockOutlastsRenewalsWhoseAnswersAreLost(t *testing.T) {
	nothingIsBroken(t, 1, drawUnheardRenewals)
	brokenMembersAreFound(t, map[string]member.Faults{
		"renewals shorten holdings":      {Coordination: coordination.Faults{ShortenHolds: true}},
		"silence of a second is trusted": {Coordination: coordination.Faults{TrustSilence: true}},
	}, drawUnheardRenewals)
}

// Fences, numbers and keys go on above all that was given after the partitions were restored from one disk.
func TestApplicationsGoOnAfterARestoreFromOneDisk(t *testing.T) {
	Run(t, coordinationPlan(member.Faults{}), func(c *qt.C, f *Fleet) {
		notes := newCoordinationNotes()
		one := f.newApplication("one", notes)
		f.Operator.Acknowledge(0, Document(1))
		before := f.anyClear("a lock", func(at *Control) reply { return one.Start(at, "l", testHold) })
		f.anyClear("a number", func(at *Control) reply { return one.Number(at, "n") })
		f.anyClear("a put", func(at *Control) reply { return one.Put(at, "g.a", "v1", 0) })
		time.Sleep(catchUp)
		left := f.Controls[0]
		f.loseMajority(left)
		_, err := left.Restore()
		c.Assert(err, qt.IsNil)
		for _, control := range f.Controls {
			control.PowerOn()
		}
		after := f.anyClear("a lock again", func(at *Control) reply { return one.Start(at, "l", testHold) })
		c.Assert(after.Fence > before.Fence+1<<19, qt.IsTrue)
		f.anyClear("a number again", func(at *Control) reply { return one.Number(at, "n") })
		c.Assert(f.anyClear("a read", func(at *Control) reply { return one.Read(at, "g.a") }).text(), qt.Equals, "v1")
		c.Assert(f.anyClear("a put again", func(at *Control) reply { return one.Put(at, "g.a", "v2", 1) }).Revision, qt.Equals, uint64(2))
		c.Assert(notes.judge(), qt.Equals, "")
	})
}
