package partition

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/consensus"
)

// singleVoterAt returns a node that is the only voter, and the time at which it was elected and committed its first entry.
func singleVoterAt(c *qt.C) (*consensus.Node, time.Duration) {
	voter := consensus.Member{ID: 1, Address: "a", Node: "a"}
	snapshot := consensus.Bootstrap(consensus.Membership{Voters: []consensus.Member{voter}})
	config := consensus.Config{Self: voter.ID, Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout}
	node, err := consensus.New(config, 0, consensus.Restored{Snapshot: snapshot})
	c.Assert(err, qt.IsNil)
	at := node.NextTick()
	node.Tick(at)
	for output := node.TakeOutput(); output.Persist != nil; output = node.TakeOutput() {
		node.Persisted(at, output.Persist.Sequence)
	}
	return node, at
}

func TestLeaseFenceIsTheTerm(t *testing.T) {
	c := qt.New(t)
	// Given a leader, when its lease is read, then its fence is the term.
	node, elected := singleVoterAt(c)
	later := elected + time.Second
	lease := LeaseOf(node, later, elected)
	c.Assert(lease.Fence, qt.Equals, uint64(node.Status().Term))
	c.Assert(lease.Held, qt.Equals, time.Second)
	c.Assert(lease.Left, qt.Equals, node.LeaseUntil()-later)
	// When its disk fails and it steps down, then the lease is empty.
	node.DiskFailed(later)
	c.Assert(LeaseOf(node, later, elected), qt.Equals, Lease{})
}

func TestLeaseSettledAfterWait(t *testing.T) {
	c := qt.New(t)
	c.Assert(Lease{Left: 1, Held: 9}.Settled(10), qt.IsFalse)
	c.Assert(Lease{Left: 1, Held: 10}.Settled(10), qt.IsTrue)
	c.Assert(Lease{Held: 10}.Settled(10), qt.IsFalse)
}

func TestTimeForEndsBeforeLease(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		left    time.Duration
		fence   uint64
		time    time.Duration
		allowed bool
	}{{left: 100, fence: 7, time: 40, allowed: true}, {left: 30, fence: 7, time: 25, allowed: true}, {left: 4, fence: 7},
		{left: 0, fence: 7}, {left: 100, fence: 6}} {
		limit, allowed := Lease{Fence: 7, Left: test.left}.TimeFor(test.fence, 40, 5)
		c.Check(allowed, qt.Equals, test.allowed, qt.Commentf("%+v", test))
		c.Check(limit, qt.Equals, test.time, qt.Commentf("%+v", test))
	}
}
