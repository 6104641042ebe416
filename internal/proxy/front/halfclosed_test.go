package front_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"sumacloft/internal/bounds"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/proxy/run"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// Guards against the empty 200 for a client that closes its sending side after its request (docs/incidents/empty-200.md):
// net/http cannot tell it from one that has left, so the connection ends without an answer.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	c := qt.New(t)
	configuration, err := opconf.Parse([]byte(`{"version":1,"routes":[` + routeTo("risky", "risky", "plain", tries, false) +
		`],"services":[{"name":"plain"}]}`))
	c.Assert(err, qt.IsNil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	toWorkers := calls.New(upstream.NewPoolOn(run.WorkerTerms(network.System{}), upstream.NewBudget(10), dialTimeout, idleTimeout))
	waiting := lane.New(configuration.Services[0], lane.Environment{
		Calls: toWorkers, Zone: "zone", Zones: []string{"zone"}, Log: logger, Budget: budget.Terms{Window: time.Second, Ratio: 0.2, Extra: 1},
	}, 1)
	c.Cleanup(waiting.Stop)
	waiting.Configure(configuration.Services[0], configuration.Routes, 1)
	served := &front.Front{Calls: toWorkers, Bounds: bounds.New(nil)}
	served.SetRouting(&front.Routing{Table: configuration.Table(), Limits: configuration.Limits, Lanes: map[string]*lane.Lane{"plain": waiting}})
	listener := standin.Listen(t)
	server := served.Bounds.Server(served, nil)
	go func() { _ = server.Serve(served.Bounds.Listen(listener)) }()
	c.Cleanup(func() { _ = server.Close() })

	received := standin.HalfClosed(t, listener.Addr().String(),
		"POST "+riskyPath+" HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	c.Assert(received, qt.Equals, "")
	c.Assert(waiting.Core().Decisions().Abandoned, qt.Equals, uint64(1))
}
