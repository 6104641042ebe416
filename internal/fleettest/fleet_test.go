package fleettest

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/status"
)

// alive counts the peers that are not down.
func alive(peers []status.Peer) int {
	n := 0
	for _, peer := range peers {
		if !peer.Down {
			n++
		}
	}
	return n
}

// knowsAlive waits until all members that run know of exactly so many living members and edges.
func knowsAlive(f *Fleet, at []*Control, controls, edges int) {
	f.t.Helper()
	f.Until(15*time.Second, "all know who lives", func() bool {
		for _, control := range at {
			report := control.Report()
			if report == nil || alive(report.Controls) != controls || alive(report.Routers) != edges {
				return false
			}
		}
		return true
	})
}

func TestRoutersFindEachOther(t *testing.T) {
	Run(t, Plan{Controls: 5, Edges: 4, Zones: []string{"north", "south", "west"}}, func(c *qt.C, f *Fleet) {
		// When a fleet starts, then all control members know of all routers.
		knowsAlive(f, f.Controls, 5, 4)
		// And when a member and an edge lose power, then all know that they are down.
		f.Controls[4].PowerOff()
		f.Edges[3].PowerOff()
		knowsAlive(f, f.Controls[:4], 4, 3)
		// And when they are back, that they live.
		f.Controls[4].PowerOn()
		f.Edges[3].PowerOn()
		knowsAlive(f, f.Controls, 5, 4)
	})
}

func TestDatagramsAreOnlyHelpers(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a network that loses all datagrams.
		f.Network.Loss(1)
		f.NewWorker(Model, Reading, Behaviour{ReadTime: 50 * time.Millisecond})
		f.NewWorker(Model, Writing, Behaviour{})
		f.Serve()
		// When clients ask for streams, then they are answered.
		for range 5 {
			c.Assert(f.Client.Ask(f.Edges[0], StreamPath+"x").Status, qt.Equals, http.StatusOK)
		}
	})
}
