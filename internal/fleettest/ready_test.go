package fleettest

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"
)

// ready asks an edge for its readiness; 0: it does not answer.
func (f *Fleet) ready(edge *Edge) (status int, body string) {
	answer, err := f.Client.http.Get(fmt.Sprintf("http://%s:%d/v1/ready", edge.IP, readyPort))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }() // it was read
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

// untilLink waits until an edge says how it stands to the control plane, and returns the status of that answer.
func (f *Fleet) untilLink(edge *Edge, link string) (status int) {
	f.t.Helper()
	f.Until(15*time.Second, edge.Node+" "+link, func() bool {
		var body string
		status, body = f.ready(edge)
		return gjson.Get(body, "link").String() == link
	})
	return status
}

func TestRouterSaysHowItStandsToTheControlPlane(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a router in touch, then it is ready and confirmed.
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		edge := f.Edges[0]
		c.Assert(f.untilLink(edge, "confirmed"), qt.Equals, http.StatusOK)
		// When it is cut off from all others, then it serves on, and says that it is out of contact and what to look at.
		f.CutOffEdge(edge)
		c.Assert(f.untilLink(edge, "out of contact"), qt.Equals, http.StatusOK)
		_, body := f.ready(edge)
		c.Assert(gjson.Get(body, "reasons.0").String(), qt.Contains, "look at this machine's links")
		// When it starts again there, then it takes no clients, and says that nobody has told it of a configuration.
		edge.PowerOff()
		edge.PowerOn()
		c.Assert(f.untilLink(edge, "seeking"), qt.Equals, http.StatusServiceUnavailable)
		_, body = f.ready(edge)
		c.Assert(gjson.Get(body, "reasons.#").Int() >= 2, qt.IsTrue, qt.Commentf("%s", body))
		// When it reaches one member that is cut off from the others, then it serves by what that one knows, and says so.
		lone := f.Controls[0]
		f.each(lone.IP, f.routers(), f.Network.Cut)
		f.Network.Heal(lone.IP, edge.IP)
		f.untilLink(edge, "unconfirmed")
		f.Until(3*time.Second, "ready again", func() bool {
			status, body := f.ready(edge)
			return status == http.StatusOK && gjson.Get(body, "link").String() == "unconfirmed"
		})
		// When all is healed, then it is confirmed again.
		f.Heal(lone)
		f.HealEdge(edge)
		c.Assert(f.untilLink(edge, "confirmed"), qt.Equals, http.StatusOK)
	})
}
