package consensus

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// calm is long enough for an election and for what follows it.
const calm = 6 * simElectionTimeout

// startedCluster returns a cluster that has elected a leader.
func startedCluster(c *qt.C, voters int) (*cluster, *machine) {
	simulated := newCluster(1, voters, faults{})
	simulated.run(calm)
	leader := simulated.leader()
	c.Assert(leader, qt.IsNotNil)
	return simulated, leader
}

// follower returns a running member that is not the leader.
func (simulated *cluster) follower() *machine {
	leader := simulated.leader()
	for _, machine := range simulated.machines {
		if machine != leader && machine.node != nil && !machine.retired {
			return machine
		}
	}
	return nil
}

func TestElections(t *testing.T) {
	c := qt.New(t)

	c.Run("given a partition of one, when it starts, then it leads and commits alone", func(c *qt.C) {
		_, leader := startedCluster(c, 1)
		c.Assert(leader.state.index, qt.Equals, Index(2))
	})

	c.Run("given a leader, when it is stopped, then another one is elected", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		leader.stop()
		simulated.run(calm)
		c.Assert(simulated.leader(), qt.IsNotNil)
	})

	c.Run("given a leader, when nobody answers it, then it steps down", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		simulated.network.isolate(leader.id)
		simulated.run(simElectionTimeout)
		c.Assert(leader.node.IsLeader(), qt.IsFalse)
		c.Assert(leader.node.LeaseUntil(), qt.Equals, time.Duration(0))
	})

	c.Run("given a member cut off for long, when it comes back, then term and leader stay", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		term := leader.node.Status().Term
		simulated.network.isolate(simulated.follower().id)
		simulated.run(10 * calm)
		simulated.network.heal()
		simulated.run(calm)
		c.Assert(simulated.leader(), qt.Equals, leader)
		c.Assert(leader.node.Status().Term, qt.Equals, term)
	})

	c.Run("given a member that restarts, when asked for a vote at once, then it refuses", func(c *qt.C) {
		simulated, _ := startedCluster(c, 3)
		voter := simulated.follower()
		voter.restart()
		request := Message{Kind: MessageVote, From: 9, To: voter.id, Term: 99, LogIndex: 99, LogTerm: 99}
		c.Assert(voter.node.grants(request), qt.IsFalse)
		voter.node.advance(voter.clock() + simElectionTimeout)
		c.Assert(voter.node.grants(request), qt.IsTrue)
	})
}

func TestProposals(t *testing.T) {
	c := qt.New(t)

	c.Run("given a follower, when a command is proposed, then it names the leader", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		follower := simulated.follower()
		_, _, err := follower.node.Propose(follower.clock(), nil)
		var notLeader ErrNotLeader
		c.Assert(errors.As(err, &notLeader), qt.IsTrue)
		c.Assert(notLeader.Leader, qt.Equals, leader.member())
	})

	c.Run("given a leader whose disk stalls, when the others have a command, then it is committed", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		leader.disk.stalled = true
		written := simulated.clients.write(0, leader)
		simulated.run(simElectionTimeout)
		c.Assert(written.outcome, qt.Equals, outcomeDone)
	})

	c.Run("given a leader, when its disk fails, then another one leads soon", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		leader.disk.fail()
		moved := simulated.runUntil(simElectionTimeout, func() bool {
			return simulated.leader() != nil && simulated.leader() != leader
		})
		c.Assert(moved, qt.IsTrue)
	})

	c.Run("given an idle cluster, when only heartbeats travel, then messages are tiny", func(c *qt.C) {
		simulated, _ := startedCluster(c, 3)
		simulated.network.largest = 0
		simulated.run(calm)
		c.Assert(simulated.network.largest < 32, qt.IsTrue, qt.Commentf("%d bytes", simulated.network.largest))
	})
}

func TestTransfer(t *testing.T) {
	c := qt.New(t)

	c.Run("given a leader, when it hands over, then the successor leads without an election timeout", func(c *qt.C) {
		simulated, leader := startedCluster(c, 3)
		successor := simulated.follower()
		c.Assert(leader.node.TransferLeadership(leader.clock(), successor.id), qt.IsNil)
		c.Assert(leader.node.LeaseUntil(), qt.Equals, time.Duration(0))
		_, _, err := leader.node.Propose(leader.clock(), nil)
		c.Assert(err, qt.Equals, ErrTransferring{To: successor.id})
		leader.drain()
		simulated.run(simElectionTimeout / 2)
		c.Assert(simulated.leader(), qt.Equals, successor)
	})

	c.Run("given a leader, when it shall hand over to a stranger, then it refuses", func(c *qt.C) {
		_, leader := startedCluster(c, 3)
		err := leader.node.TransferLeadership(leader.clock(), 99)
		c.Assert(err, qt.Equals, ErrTransferTarget{To: 99})
	})
}

// getsSnapshot tells whether a member gets to the end of a snapshot though a newer one is taken after each of its parts.
func getsSnapshot(c *qt.C, broken faults) bool {
	simulated := newCluster(1, 3, broken)
	simulated.run(calm)
	leader, lagging := simulated.leader(), simulated.follower()
	c.Assert(leader, qt.IsNotNil)
	node := leader.node
	node.snapshot = Snapshot{Index: node.commit, Term: node.hard.Term, Data: make([]byte, 3*simMaxBatchBytes)}
	progress := node.leading.progress[lagging.id]
	node.startSnapshot(lagging.id, progress)
	for range 20 {
		node.snapshot.Index++
		wanted := min(progress.offset+simMaxBatchBytes, uint64(len(progress.snapshot.Data)))
		answer := Message{From: lagging.id, Kind: MessageSnapshotAnswer, LogIndex: progress.snapshot.Index, Offset: progress.offset, Wanted: wanted}
		node.handleSnapshotAnswer(answer)
		if progress.offset == uint64(len(progress.snapshot.Data)) {
			return true
		}
		node.sendSnapshotPart(lagging.id, progress)
	}
	return false
}

func TestSnapshots(t *testing.T) {
	c := qt.New(t)

	c.Run("given a member that missed more than the log holds, when it is back, then it gets a snapshot in parts", func(c *qt.C) {
		simulated, _ := startedCluster(c, 3)
		lagging := simulated.follower()
		lagging.stop()
		simulated.clients.start(3)
		simulated.run(20 * calm)
		simulated.clients.stopped = true
		lagging.start(true)
		before := lagging.node.Status().SnapshotIndex
		simulated.run(calm)
		c.Assert(lagging.node.Status().SnapshotIndex > before, qt.IsTrue)
		c.Assert(lagging.state, qt.Equals, simulated.leader().state)
	})

	c.Run("given a newer snapshot after each part of one, when a member gets it, then it comes to its end", func(c *qt.C) {
		c.Assert(getsSnapshot(c, faults{}), qt.IsTrue)
		c.Assert(getsSnapshot(c, faults{restartSnapshot: true}), qt.IsFalse)
	})

	c.Run("given state not yet applied, when a snapshot claims it, then it is refused", func(c *qt.C) {
		_, leader := startedCluster(c, 1)
		c.Assert(Error.Has(leader.node.Compact(Snapshot{Index: 99})), qt.IsTrue)
		_, err := leader.node.SnapshotAt(99, nil)
		c.Assert(Error.Has(err), qt.IsTrue)
	})
}
