package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/node"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// newTestFeed returns a feed with routers in two zones and two workers.
func newTestFeed() (*node.Node, *feed) {
	replicaNode := node.New("edge-1", nil, zerolog.Nop(), nil, nil)
	replicaNode.Put(
		topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-1", Address: "10.0.0.1:7000", Zone: "north"}, 1),
		topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-2", Address: "10.0.0.2:7000", Zone: "south"}, 1),
		workerEntry("w1", 1), workerEntry("w2", 1),
	)
	released := make(chan struct{})
	close(released)
	return replicaNode, newFeed(replicaNode, "north", released, func() message.Link { return message.LinkConfirmed })
}

func workerEntry(id string, version uint64) replica.Entry {
	return replica.Entry{Key: topic.Workers + id, Version: replica.Version{Minor: version}, Value: []byte(id)}
}

// watchOnce watches the feed as a proxy that has the known answer.
func watchOnce(c *qt.C, f *feed, known *message.Snapshot) *message.Snapshot {
	request := &message.Watch{}
	if known != nil {
		request = &message.Watch{Revision: known.Revision, Settings: known.Settings, AgentRun: known.AgentRun}
	}
	answer, err := f.watch(context.Background(), request)
	c.Assert(err, qt.IsNil)
	return answer
}

func keysOf(entries []replica.Entry) (keys []string) {
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

func TestWatchReturnsChangesSinceLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a proxy's first watch, then it receives the full state.
		replicaNode, f := newTestFeed()
		first := watchOnce(c, f, nil)
		c.Assert(first.Delta, qt.IsFalse)
		c.Assert(keysOf(first.Workers), qt.DeepEquals, []string{"worker/w1", "worker/w2"})
		c.Assert(first.Routers, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2"})
		c.Assert(first.SameZone, qt.DeepEquals, []string{"10.0.0.1"})
		// When one worker changes and another is removed, then the answer holds only these two.
		replicaNode.Put(workerEntry("w2", 2))
		replicaNode.Forget(topic.Workers + "w1")
		second := watchOnce(c, f, first)
		c.Assert(second.Delta, qt.IsTrue)
		c.Assert(keysOf(second.Workers), qt.DeepEquals, []string{"worker/w2"})
		c.Assert(second.Removed, qt.DeepEquals, []string{"worker/w1"})
		c.Assert(second.RoutersUnchanged, qt.IsTrue)
		// When a router joins, then the answer holds the routers.
		replicaNode.Put(topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-3", Address: "10.0.0.3:7000", Zone: "north"}, 1))
		third := watchOnce(c, f, second)
		c.Assert(third.Delta, qt.IsTrue)
		c.Assert(third.Workers, qt.HasLen, 0)
		c.Assert(third.SameZone, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.3"})
		// When an answer is lost, so that the proxy watches from an older revision, then it receives the full state.
		replicaNode.Put(workerEntry("w3", 1))
		afterLoss := watchOnce(c, f, second)
		c.Assert(afterLoss.Delta, qt.IsFalse)
		c.Assert(keysOf(afterLoss.Workers), qt.DeepEquals, []string{"worker/w2", "worker/w3"})
		// When nothing changes, then the answer says so and holds the state of the link to the control plane.
		start := time.Now()
		unchanged := watchOnce(c, f, afterLoss)
		c.Assert(unchanged.Unchanged, qt.IsTrue)
		c.Assert(unchanged.Link, qt.Equals, message.LinkConfirmed)
		c.Assert(time.Since(start), qt.Equals, watchTimeout)
	})
}

func TestWatchRateIsLimitedUnderFrequentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a worker that changes every millisecond for a second, when a proxy follows, then it receives about
		// fifty answers.
		replicaNode, f := newTestFeed()
		known := watchOnce(c, f, nil)
		go func() {
			for version := range uint64(1000) {
				replicaNode.Put(workerEntry("w1", version+2))
				time.Sleep(time.Millisecond)
			}
		}()
		answers := 0
		for start := time.Now(); time.Since(start) < time.Second; answers++ {
			known = watchOnce(c, f, known)
		}
		c.Assert(answers <= 52, qt.IsTrue, qt.Commentf("%d answers", answers))
		time.Sleep(time.Second)
	})
}
