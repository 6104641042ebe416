package main

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
)

// still is a state machine without state.
type still struct{}

func (still) Apply(uint64, []byte) any { return nil }
func (still) Snapshot() []byte         { return nil }
func (still) Restore([]byte) error     { return nil }

// contentsOf are the files of a folder, by name.
func contentsOf(c *qt.C, folder string) map[string]string {
	held := map[string]string{}
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		c.Assert(err, qt.IsNil)
		held[entry.Name()] = string(text)
	}
	return held
}

func TestDiskOfARunningMemberIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	// Given the disk of a member at whose address something answers
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	self := consensus.Member{ID: partition.FounderID(listener.Addr().String()), Address: listener.Addr().String(), Node: "control-1"}
	folder := filepath.Join(c.TempDir(), "data")
	files, err := disklog.OS(folder)
	c.Assert(err, qt.IsNil)
	_, err = partition.Open(partition.Config{
		Self:      consensus.Member{Address: self.Address, Node: self.Node},
		Founders:  []consensus.Member{self},
		Bootstrap: true,
		Voters:    1,
		Files:     files,
		Sizes:     disklog.Options{SegmentBytes: 64 << 10},
		Client:    rpc.NewClient(network.System{}),
		Log:       zerolog.Nop(),
		Machines:  map[partition.Group]partition.StateMachine{0: still{}, 1: still{}, 2: still{}},
		Controls:  func() []string { return nil },
	})
	c.Assert(err, qt.IsNil)
	before := contentsOf(c, folder)
	// when a command is to work on it, then it refuses, and no byte there has changed.
	_, err = openRemains(folder)
	c.Assert(err, qt.ErrorMatches, ".*end it first")
	c.Assert(contentsOf(c, folder), qt.DeepEquals, before)
	// When nothing answers there any more, then the disk is opened.
	c.Assert(listener.Close(), qt.IsNil)
	remains, err := openRemains(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(remains.Self().Address, qt.Equals, self.Address)
	c.Assert(remains.Close(), qt.IsNil)
}
