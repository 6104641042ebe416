package membership_test

import (
	"context"
	"net/http"
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

// isClosed reports whether a delivery is complete.
func isClosed(delivered <-chan struct{}) bool {
	select {
	case <-delivered:
		return true
	default:
		return false
	}
}

func TestPublishIsDeliveredOnceARouterHasTheEntry(t *testing.T) {
	withNeighbour(t, func(c *qt.C, own *membership.Membership, other *neighbour) {
		// Given a change that was just pushed, so that the next one waits in a batch.
		<-own.Publish(entry(1, 1))
		other.drain()
		delivered := own.Publish(entry(2, 1))
		time.Sleep(5 * time.Millisecond)
		c.Assert(isClosed(delivered), qt.IsFalse)
		// Then it is delivered once the other router has it, also if nothing has changed since.
		<-delivered
		_, entries := other.drain()
		c.Assert(entries, qt.Equals, 1)
		<-own.Publish(entry(2, 1))
		_, entries = other.drain()
		c.Assert(entries, qt.Equals, 1)
	})
}

// A peer of an earlier release acknowledges entries without storing them on disk: it does not count.
func TestPeerThatDoesNotStoreEntriesDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := memnet.New(time.Millisecond)
		stores := false
		mux := http.NewServeMux()
		message.CallSync.Handle(mux, func(_ context.Context, sync *message.Sync) (*message.SyncAnswer, error) {
			return &message.SyncAnswer{Durable: sync.Durable && stores}, nil
		})
		server := rpc.NewServer(fabric.Machine("10.0.0.2").Process(), mux, nil)
		c.Assert(server.Serve(otherAddress), qt.IsNil)
		own := membership.New(membership.Config{
			Prefix:   topic.Controls,
			Self:     topic.Peer{Node: "own", Address: ownAddress},
			Interval: time.Second,
			Client:   rpc.NewClient(fabric.Machine("10.0.0.1").Process()),
			Log:      zerolog.Nop(),
		})
		own.Node().Put(topic.PeerEntry(topic.Controls, topic.Peer{Node: "other", Address: otherAddress}, 1))
		persist := func(context.Context, []replica.Entry) error { return nil }
		entries := []replica.Entry{entry(1, 1)}
		c.Assert(own.Confirm(t.Context(), entries, persist, own.Majority(3)), qt.IsFalse)
		stores = true
		c.Assert(own.Confirm(t.Context(), entries, persist, own.Majority(3)), qt.IsTrue)
		c.Assert(server.Close(), qt.IsNil)
		time.Sleep(time.Minute) // until idle connections are closed
	})
}
