package fleettest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// inForce waits until an edge works by a configuration with one route of its own, and returns how long after its
// acknowledgement that was.
func inForce(f *Fleet, edge *Edge, route string, acknowledged time.Duration) time.Duration {
	f.t.Helper()
	f.Until(ackLimit, route+" at "+edge.Node, func() bool {
		return f.Client.Ask(edge, "/"+route+"/x").Status == http.StatusOK
	})
	return f.Now() - acknowledged
}

func TestConfigurationIsInForceEverywhereInTime(t *testing.T) {
	const rounds = 6
	troubles := map[string]func(f *Fleet, leader *Control){
		"nothing befalls the fleet": func(*Fleet, *Control) {},
		"links are slow": func(f *Fleet, _ *Control) {
			for _, edge := range f.Edges {
				f.each(edge.IP, f.routers(), func(one, other string) { f.Network.Delay(one, other, 80*time.Millisecond) })
			}
		},
		"the leader reaches no edge": func(f *Fleet, leader *Control) {
			for _, edge := range f.Edges {
				f.Network.Cut(leader.IP, edge.IP)
			}
		},
		"an edge reaches no member but one": func(f *Fleet, leader *Control) {
			for _, control := range f.Others(f.Others(leader)[0]) {
				f.Network.Cut(control.IP, f.Edges[0].IP)
			}
		},
		"edges reach no other edge": func(f *Fleet, _ *Control) {
			for i, one := range f.Edges {
				for _, other := range f.Edges[:i] {
					f.Network.Cut(one.IP, other.IP)
				}
			}
		},
		"half of the edges are lost": func(f *Fleet, _ *Control) {
			for _, edge := range f.Edges[4:] {
				edge.PowerOff()
			}
			f.Edges = f.Edges[:4]
		},
	}
	for name, befalls := range losses {
		troubles["a member "+name] = func(f *Fleet, leader *Control) { befalls(f, f.Others(leader)[0]) }
	}
	for name, inject := range troubles {
		t.Run(name, func(t *testing.T) {
			Run(t, Plan{Edges: 8, Zones: []string{"north", "south", "west"}}, func(c *qt.C, f *Fleet) {
				// Given edges that are in touch with the control plane.
				f.NewWorker(Plain, "", Behaviour{})
				f.Serve()
				leader := f.Leader(settingsPartition)
				inject(f, leader)
				worst := time.Duration(0)
				for version := range uint64(rounds) {
					// When the operator's order is acknowledged.
					route := fmt.Sprintf("r%d", version)
					orders(f, leader, version+1, Document(version+2, route))
					acknowledged := f.Now()
					// Then each of them works by it in time.
					for _, edge := range f.Edges {
						worst = max(worst, inForce(f, edge, route, acknowledged))
					}
				}
				c.Assert(worst <= settingsWithin, qt.IsTrue, qt.Commentf("%v", worst))
			})
		})
	}
}

func TestConfigurationIsInForceThoughItsLeaderIsLost(t *testing.T) {
	for _, wait := range []time.Duration{0, 2 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			Run(t, Plan{Edges: 8}, func(c *qt.C, f *Fleet) {
				// Given an order that was acknowledged.
				f.NewWorker(Plain, "", Behaviour{})
				f.Serve()
				leader := f.Leader(settingsPartition)
				orders(f, f.Others(leader)[0], 1, Document(2, "new"))
				acknowledged := f.Now()
				// When its leader loses power at that moment or soon after.
				time.Sleep(wait)
				leader.PowerOff()
				// Then all edges work by it in time.
				worst := time.Duration(0)
				for _, edge := range f.Edges {
					worst = max(worst, inForce(f, edge, "new", acknowledged))
				}
				c.Assert(worst <= settingsWithin, qt.IsTrue, qt.Commentf("%v", worst))
			})
		})
	}
}
