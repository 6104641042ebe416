package membership_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
)

// neighbour is a router that records the pushes that it receives.
type neighbour struct {
	mu     sync.Mutex
	pushes [][]replica.Entry
}

func (n *neighbour) record(_ context.Context, sync *message.Sync) (*message.SyncAnswer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pushes = append(n.pushes, sync.Entries)
	return &message.SyncAnswer{}, nil
}

// drain returns the number of pushes since its last call, and of the entries in them.
func (n *neighbour) drain() (pushes, entries int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, push := range n.pushes {
		entries += len(push)
	}
	pushes = len(n.pushes)
	n.pushes = nil
	return pushes, entries
}

const (
	ownAddress   = "10.0.0.1:7000"
	otherAddress = "10.0.0.2:7000"
)

// withNeighbour runs a test with a router that knows one other.
func withNeighbour(t *testing.T, run func(c *qt.C, own *membership.Membership, other *neighbour)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := memnet.New(time.Millisecond)
		other := &neighbour{}
		mux := http.NewServeMux()
		message.CallSync.Handle(mux, other.record)
		server := rpc.NewServer(fabric.Machine("10.0.0.2").Process(), mux, nil)
		c.Assert(server.Serve(otherAddress), qt.IsNil)
		own := membership.New(membership.Config{
			Prefix:   topic.Routers,
			Self:     topic.Peer{Node: "own", Address: ownAddress},
			Interval: time.Second,
			FanOut:   2,
			Client:   rpc.NewClient(fabric.Machine("10.0.0.1").Process()),
			Log:      zerolog.Nop(),
		})
		own.Node().Put(topic.PeerEntry(topic.Routers, topic.Peer{Node: "other", Address: otherAddress}, 1))
		time.Sleep(time.Second)
		other.drain()
		run(c, own, other)
		c.Assert(server.Close(), qt.IsNil)
		time.Sleep(time.Minute) // until idle connections are closed
	})
}

// entry is a worker's entry at a version.
func entry(number int, version uint64) replica.Entry {
	return replica.Entry{Key: fmt.Sprintf("%sw-%d", topic.Workers, number), Version: replica.Version{Minor: version}, Value: []byte("x")}
}

func TestSingleChangeIsForwardedAtOnce(t *testing.T) {
	withNeighbour(t, func(c *qt.C, own *membership.Membership, other *neighbour) {
		own.Node().Put(entry(1, 1))
		time.Sleep(10 * time.Millisecond) // three crossings of the link, with a margin
		pushes, entries := other.drain()
		c.Assert(pushes, qt.Equals, 1)
		c.Assert(entries, qt.Equals, 1)
	})
}

func TestFrequentChangesAreBatched(t *testing.T) {
	withNeighbour(t, func(c *qt.C, own *membership.Membership, other *neighbour) {
		// Given a thousand changes in a second, two of each worker,
		for number := range 1000 {
			own.Node().Put(entry(number%500, uint64(1+number/500)))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		// then the other router receives all of them in few calls.
		pushes, entries := other.drain()
		c.Assert(pushes <= 42, qt.IsTrue, qt.Commentf("%d pushes", pushes))
		c.Assert(entries, qt.Equals, 1000)
	})
}

func TestOnlyNewestEntryOfWorkerIsForwarded(t *testing.T) {
	withNeighbour(t, func(c *qt.C, own *membership.Membership, other *neighbour) {
		// Given one worker that changes continually,
		for version := range 100 {
			own.Node().Put(entry(1, uint64(version+1)))
		}
		time.Sleep(100 * time.Millisecond)
		// then at most the first and the last change are pushed.
		_, entries := other.drain()
		c.Assert(entries <= 2, qt.IsTrue, qt.Commentf("%d entries", entries))
	})
}
