package agent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/boot"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/status"
)

func TestAgentReportHoldsReplicatedState(t *testing.T) {
	c := qt.New(t)
	// Given an agent that knows a configuration and another router
	settings := &boot.Settings{Node: "edge-1", IP: "10.0.0.1", Zone: "north", InsidePorts: boot.PortRange{First: 7700, Last: 7709}}
	agent := New(settings, network.System{}, zerolog.Nop())
	configuration, err := topic.SettingsEntry(9, []byte(`{"version":4}`))
	c.Assert(err, qt.IsNil)
	other := topic.Peer{Node: "edge-2", Address: "10.0.0.2:7701"}
	agent.members.Node().Put(configuration, topic.DownEntry(topic.Routers, other, 1))
	// when it is asked for its report
	report, err := agent.report(context.Background(), &status.Request{})
	// then the report holds both and the agent itself, and no partitions.
	c.Assert(err, qt.IsNil)
	c.Assert(report.Kind, qt.Equals, status.KindAgent)
	c.Assert(report.Node, qt.Equals, "edge-1")
	c.Assert(report.Zone, qt.Equals, "north")
	c.Assert(report.Configuration, qt.Equals, status.Configuration{Version: 4, Index: 9})
	c.Assert(report.Routers, qt.HasLen, 1)
	c.Assert(report.Routers[0].Down, qt.IsTrue)
	c.Assert(report.Partitions, qt.HasLen, 0)
	c.Assert(report.Disk, qt.IsNil)
}

func TestFeedAddressOfLoopbackMachines(t *testing.T) {
	c := qt.New(t)
	ports := boot.PortRange{First: 7700, Last: 7709}
	// Given a machine with an address of its own, then its agent serves the feed on the default loopback address.
	c.Assert(FeedAddress(&boot.Settings{IP: "10.0.0.1", InsidePorts: ports}), qt.Equals, "127.0.0.1:7702")
	// Given a machine whose address is in the loopback network, then the agent uses that address.
	c.Assert(FeedAddress(&boot.Settings{IP: "127.0.0.21", InsidePorts: ports}), qt.Equals, "127.0.0.21:7702")
	// Given a boot file without a valid address, then the agent uses the default address.
	c.Assert(FeedAddress(&boot.Settings{IP: "?", InsidePorts: ports}), qt.Equals, "127.0.0.1:7702")
}
