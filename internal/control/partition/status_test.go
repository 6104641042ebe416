package partition_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog/memdisk"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
)

// counter is a state machine that counts commands.
type counter struct{ commands int }

func (m *counter) Apply(uint64, []byte) any {
	m.commands++
	return m.commands
}

func (m *counter) Snapshot() []byte { return nil }

func (m *counter) Restore([]byte) error { return nil }

func TestStatusReflectsCommits(t *testing.T) {
	c := qt.New(t)
	// Given the only member of two partitions, with a new disk,
	const address = "127.0.0.1:1"
	self := consensus.Member{ID: partition.FounderID(address), Address: address, Node: "control-1"}
	leads := make(chan partition.Group, 2)
	host, err := partition.Open(partition.Config{
		Self:      consensus.Member{Address: address, Node: "control-1"},
		Founders:  []consensus.Member{self},
		Bootstrap: true,
		Voters:    1,
		Files:     memdisk.New(),
		Client:    rpc.NewClient(network.System{}),
		Log:       zerolog.Nop(),
		Machines:  map[partition.Group]partition.StateMachine{0: &counter{}, 1: &counter{}},
		Controls:  func() []string { return []string{address} },
		OnLead:    func(group partition.Group, _ bool) { leads <- group },
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		host.Run(ctx)
	}()
	before, err := host.Status(ctx)
	c.Assert(err, qt.IsNil)
	// when it leads both and a command is committed in the second one,
	c.Assert(<-leads, qt.Not(qt.Equals), <-leads)
	_, err = host.Propose(ctx, 1, []byte("x"))
	c.Assert(err, qt.IsNil)
	// then the status shows a higher commit index, more records on disk, and both partitions in order.
	after, err := host.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Self, qt.Equals, self)
	c.Assert(after.Groups, qt.HasLen, 2)
	c.Assert(after.Groups[0].Number, qt.Equals, partition.Group(0))
	c.Assert(after.Groups[1].Role, qt.Equals, consensus.RoleLeader)
	c.Assert(after.Groups[1].Commit > before.Groups[1].Commit, qt.IsTrue)
	c.Assert(after.Disk.Sequence > before.Disk.Sequence, qt.IsTrue)
	// When the host has ended, then Status fails instead of blocking.
	cancel()
	<-ended
	_, err = host.Status(context.Background())
	c.Assert(err, qt.ErrorMatches, `partition: this member is ending: ask another`)
}
