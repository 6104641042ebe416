package fleettest

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// inTouch is how long an edge may take, from its start or from the return of a majority, until it works by the newest
// configuration: limits_of_rules.in_touch_ms of the deployments.
const inTouch = 3 * time.Second

// serves tells whether an edge works by a configuration that has the route of a path.
func serves(f *Fleet, edge *Edge, path string) bool {
	return f.Client.Ask(edge, path).Status == http.StatusOK
}

// beside is a fleet in which a member was cut off from the other members, has missed a configuration, and has started
// again since: it knows only what its disk does, and the others take it for down.
func beside(f *Fleet) (stale *Control) {
	f.NewWorker(Plain, "", Behaviour{})
	f.Serve()
	stale = f.Controls[2]
	for _, other := range f.Others(stale) {
		f.Network.Cut(stale.IP, other.IP)
	}
	f.Operator.Acknowledge(1, Document(2, "new"))
	time.Sleep(6 * time.Second) // the others take it for down
	stale.Kill()
	time.Sleep(time.Second)
	stale.Start(false)
	return stale
}

func TestRouterThatStartsBesideAStaleMember(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge that starts while it reaches no member but a stale one, as the others are down for a moment.
		stale := beside(f)
		edge := f.Edges[0]
		edge.Stop()
		for _, other := range f.Others(stale) {
			other.PowerOff()
		}
		time.Sleep(time.Second)
		edge.Start()
		time.Sleep(2 * time.Second)
		// When the others are back.
		for _, other := range f.Others(stale) {
			other.PowerOn()
		}
		// Then the edge soon works by the newest configuration.
		f.Until(inTouch, "the newest configuration in force", func() bool { return serves(f, edge, "/new/x") })
	})
}
