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
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
)

const (
	contactLimit = 2 * time.Second
	slowLink     = 200 * time.Millisecond
)

// controlMember runs a test with a control member that serves calls to itself and has one other starter address.
func controlMember(t *testing.T, starter string, run func(c *qt.C, fabric *memnet.Fabric, member *membership.Membership)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := memnet.New(time.Millisecond)
		process := fabric.Machine("10.0.0.1").Process()
		member := membership.New(membership.Config{
			Prefix:   topic.Controls,
			Self:     topic.Peer{Node: "own", Address: ownAddress},
			Starters: []string{ownAddress, starter},
			Interval: time.Second,
			Client:   rpc.NewClient(process),
			Log:      zerolog.Nop(),
		})
		own := serveWithLeader(c, process, ownAddress)
		other := serveWithLeader(c, fabric.Machine("10.0.0.2").Process(), otherAddress)
		run(c, fabric, member)
		c.Assert(own.Close(), qt.IsNil)
		c.Assert(other.Close(), qt.IsNil)
		time.Sleep(time.Minute) // until idle connections are closed
	})
}

// serveWithLeader answers heartbeats at an address as a member in contact with the leader of every partition.
func serveWithLeader(c *qt.C, process *memnet.Process, address string) *rpc.Server {
	mux := http.NewServeMux()
	message.CallBeat.Handle(mux, func(context.Context, *message.Beat) (*message.BeatAnswer, error) {
		return &message.BeatAnswer{Authority: message.LeaderBacked}, nil
	})
	server := rpc.NewServer(process, mux, nil)
	c.Assert(server.Serve(address), qt.IsNil)
	return server
}

// A member that is itself a starter must not count its own answer as contact with the others.
func TestOwnAnswerIsNotContact(t *testing.T) {
	const unreachable = "10.0.0.3:7000"
	controlMember(t, unreachable, func(c *qt.C, _ *memnet.Fabric, member *membership.Membership) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go member.Run(ctx)
		c.Assert(member.Starters(), qt.DeepEquals, []string{unreachable})
		for range 60 {
			time.Sleep(time.Second)
			c.Assert(member.InContact(contactLimit), qt.IsFalse)
		}
	})
}

// Contact counts from the time when a call was sent, because a delayed answer proves nothing about the time since.
func TestContactCountsFromSendTime(t *testing.T) {
	controlMember(t, otherAddress, func(c *qt.C, fabric *memnet.Fabric, member *membership.Membership) {
		c.Assert(member.InContact(contactLimit), qt.IsFalse)
		_, err := member.Synchronize(context.Background(), otherAddress)
		c.Assert(err, qt.IsNil)
		c.Assert(member.InContact(contactLimit), qt.IsTrue)
		time.Sleep(contactLimit)
		fabric.Delay("10.0.0.1", "10.0.0.2", slowLink)
		_, err = member.Synchronize(context.Background(), otherAddress) // over the open connection
		c.Assert(err, qt.IsNil)
		c.Assert(member.InContact(2*slowLink-time.Millisecond), qt.IsFalse)
		c.Assert(member.InContact(2*slowLink+time.Millisecond), qt.IsTrue)
	})
}
