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

// fed is a feed with routers of two zones and workers.
func fed() (*node.Node, *feed) {
	copied := node.New("edge-1", nil, zerolog.Nop(), nil, nil)
	copied.Put(
		topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-1", Address: "10.0.0.1:7000", Zone: "north"}, 1),
		topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-2", Address: "10.0.0.2:7000", Zone: "south"}, 1),
		workerEntry("w1", 1), workerEntry("w2", 1),
	)
	open := make(chan struct{})
	close(open)
	return copied, newFeed(copied, "north", open, func() message.Link { return message.LinkConfirmed })
}

func workerEntry(id string, version uint64) replica.Entry {
	return replica.Entry{Key: topic.Workers + id, Version: replica.Version{Minor: version}, Value: []byte(id)}
}

// ask asks the feed as a proxy does that knows an answer.
func ask(c *qt.C, f *feed, known *message.Snapshot) *message.Snapshot {
	question := &message.Watch{}
	if known != nil {
		question = &message.Watch{Revision: known.Revision, Settings: known.Settings, AgentRun: known.AgentRun}
	}
	answer, err := f.watch(context.Background(), question)
	c.Assert(err, qt.IsNil)
	return answer
}

func keysOf(entries []replica.Entry) (keys []string) {
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

func TestProxyIsToldWhatHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a proxy that asks for the first time, then it is told all.
		copied, f := fed()
		first := ask(c, f, nil)
		c.Assert(first.Delta, qt.IsFalse)
		c.Assert(keysOf(first.Workers), qt.DeepEquals, []string{"worker/w1", "worker/w2"})
		c.Assert(first.Routers, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2"})
		c.Assert(first.SameZone, qt.DeepEquals, []string{"10.0.0.1"})
		// When one worker changes and another is forgotten, then it is told of these two alone.
		copied.Put(workerEntry("w2", 2))
		copied.Forget(topic.Workers + "w1")
		second := ask(c, f, first)
		c.Assert(second.Delta, qt.IsTrue)
		c.Assert(keysOf(second.Workers), qt.DeepEquals, []string{"worker/w2"})
		c.Assert(second.Removed, qt.DeepEquals, []string{"worker/w1"})
		c.Assert(second.RoutersUnchanged, qt.IsTrue)
		// When a router comes, then it is told of the routers.
		copied.Put(topic.PeerEntry(topic.Routers, topic.Peer{Node: "edge-3", Address: "10.0.0.3:7000", Zone: "north"}, 1))
		third := ask(c, f, second)
		c.Assert(third.Delta, qt.IsTrue)
		c.Assert(third.Workers, qt.HasLen, 0)
		c.Assert(third.SameZone, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.3"})
		// When an answer was lost, so that it asks with what it knew before, then it is told all.
		copied.Put(workerEntry("w3", 1))
		again := ask(c, f, second)
		c.Assert(again.Delta, qt.IsFalse)
		c.Assert(keysOf(again.Workers), qt.DeepEquals, []string{"worker/w2", "worker/w3"})
		// When nothing changes, then it is told so, with how the agent stands to the control plane.
		began := time.Now()
		same := ask(c, f, again)
		c.Assert(same.Unchanged, qt.IsTrue)
		c.Assert(same.Link, qt.Equals, message.LinkConfirmed)
		c.Assert(time.Since(began), qt.Equals, watchLimit)
	})
}

func TestAnswersRestWhileMuchChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a worker with news every millisecond for a second, when a proxy follows, then it is told some fifty times.
		copied, f := fed()
		known := ask(c, f, nil)
		go func() {
			for version := range uint64(1000) {
				copied.Put(workerEntry("w1", version+2))
				time.Sleep(time.Millisecond)
			}
		}()
		answers := 0
		for began := time.Now(); time.Since(began) < time.Second; answers++ {
			known = ask(c, f, known)
		}
		c.Assert(answers <= 52, qt.IsTrue, qt.Commentf("%d answers", answers))
		time.Sleep(time.Second)
	})
}
