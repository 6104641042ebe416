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

// serves reports whether an edge works by a configuration that has the route of a path.
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

// startsBesideStale reports whether an edge that starts beside a stale member, while the others are down for a moment, soon
// works by the newest configuration.
func startsBesideStale(t *testing.T, faults Faults) (works bool) {
	runAlone(t, Plan{Faults: faults}, func(c *qt.C, f *Fleet) {
		stale := beside(f)
		edge := f.Edges[0]
		edge.Stop()
		for _, other := range f.Others(stale) {
			other.PowerOff()
		}
		time.Sleep(time.Second)
		edge.Start()
		time.Sleep(2 * time.Second)
		// The others are back; the member stays cut off from them.
		for _, other := range f.Others(stale) {
			other.PowerOn()
		}
		for end := f.Now() + inTouch; !works && f.Now() < end; time.Sleep(checkInterval) {
			works = serves(f, edge, "/new/x")
		}
	})
	return works
}

func TestRouterThatStartsBesideAStaleMember(t *testing.T) {
	t.Parallel()
	for range 5 {
		qt.New(t).Assert(startsBesideStale(t, Faults{}), qt.IsTrue)
	}
}

func TestRouterWhoseStartersAreAllGoneIsFound(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge whose boot file names a member that is cut off, and addresses where nobody is any more.
		stale := beside(f)
		edge := f.Edges[0]
		edge.Stop()
		time.Sleep(time.Second)
		edge.starters = []string{stale.Steering(), "10.0.200.1:7100", "10.0.201.1:7100"}
		// When it starts, then the others look for it where it was, and it works by the newest configuration.
		edge.Start()
		f.Until(2*inTouch, "the newest configuration in force", func() bool { return serves(f, edge, "/new/x") })
	})
}
