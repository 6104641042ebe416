package partition

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog/memdisk"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
)

// statelessMachine is a state machine without state.
type statelessMachine struct{}

func (statelessMachine) Apply(uint64, []byte) any { return nil }
func (statelessMachine) Snapshot() []byte         { return nil }
func (statelessMachine) Restore([]byte) error     { return nil }

// openFollower opens a member of one partition that the other founder is expected to lead.
func openFollower(c *qt.C, self, leader consensus.Member) *Host {
	host, err := Open(Config{
		Self:      consensus.Member{Address: self.Address, Node: self.Node},
		Founders:  []consensus.Member{self, leader},
		Bootstrap: true,
		Voters:    2,
		Files:     memdisk.New(),
		Client:    rpc.NewClient(network.System{}),
		Log:       zerolog.Nop(),
		Machines:  map[Group]StateMachine{0: statelessMachine{}},
		Controls:  func() []string { return nil },
	})
	c.Assert(err, qt.IsNil)
	return host
}

// member returns a founder at the address.
func member(address string) consensus.Member {
	return consensus.Member{ID: FounderID(address), Address: address, Node: address}
}

func TestStepAnswerCarriesMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// Given a member that follows a leader,
		self, leader := member("127.0.0.1:1"), member("127.0.0.1:2")
		host := openFollower(c, self, leader)
		ctx, cancel := context.WithCancel(context.Background())
		go host.Run(ctx)
		heartbeat := Item{Message: consensus.Message{Kind: consensus.MessageHeartbeat, From: leader.ID, To: self.ID, Term: 2}}
		call := &Step{Items: []Item{heartbeat}, From: leader.Address}
		_, err := host.answerStep(ctx, call) // its answer is delayed until the new term is on disk
		c.Assert(err, qt.IsNil)
		time.Sleep(heartbeatInterval)
		// when the leader's next heartbeat arrives,
		answer, err := host.answerStep(ctx, call)
		c.Assert(err, qt.IsNil)
		// then the call's answer carries the heartbeat's answer, and no separate call is needed.
		c.Assert(answer.Items, qt.HasLen, 1)
		c.Assert(answer.Items[0].Message.Kind, qt.Equals, consensus.MessageHeartbeatAnswer)
		// A caller that sends no address gets an answer without messages.
		answer, err = host.answerStep(ctx, &Step{Items: []Item{heartbeat}})
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Items, qt.HasLen, 0)
		// Once the member has ended, calls fail at once.
		cancel()
		synctest.Wait()
		_, err = host.answerStep(context.Background(), call)
		c.Assert(err, qt.ErrorMatches, "partition: this member has ended.*")
	})
}
