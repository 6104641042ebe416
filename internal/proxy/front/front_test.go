package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/opconf"
)

const document = `{"version":3,"routes":[
	{"name":"a","domain":"h.example","path_start":"/a/","route_type":"harmless","give_up_ms":500,"target_ms":100,"rank":0,"service":"s","tries":1}],
	"services":[{"name":"s","health_path":"/health","max_connections":9,"protocol":"h1","tls":false}],
	"limits":{"header_bytes":1000,"body_bytes":10,"header_wait_ms":100,"quiet_ms":1000}}`

// serveRequest returns the front's answer to a request.
func serveRequest(front *Front, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, request)
	return recorder
}

// newConfiguredFront returns a front with a configuration and no lane for its service.
func newConfiguredFront(c *qt.C) *Front {
	configuration, err := opconf.Parse([]byte(document))
	c.Assert(err, qt.IsNil)
	front := &Front{}
	front.SetRouting(&Routing{Table: configuration.Table(), Limits: configuration.Limits})
	return front
}

func TestRefusesWithoutConfiguration(t *testing.T) {
	c := qt.New(t)
	// Given a front without a configuration, when any request arrives.
	got := serveRequest(&Front{}, "GET", "/a/x", "")
	// Then it is refused with a Retry-After header instead of being answered 404.
	c.Assert(got.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(got.Header().Get("Retry-After"), qt.Equals, "0.500")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	c := qt.New(t)
	front := newConfiguredFront(c)
	c.Assert(serveRequest(front, "GET", "/b/x", "").Code, qt.Equals, http.StatusNotFound)
	// A known route whose service has no lane is refused.
	c.Assert(serveRequest(front, "GET", "/a/x", "").Code, qt.Equals, http.StatusServiceUnavailable)
}

func TestBodySizeIsLimited(t *testing.T) {
	c := qt.New(t)
	front := newConfiguredFront(c)
	got := serveRequest(front, "POST", "/a/x", strings.Repeat("x", 11))
	c.Assert(got.Code, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(got.Header().Get("Connection"), qt.Equals, "close")
}

func TestDrainingFrontClosesConnections(t *testing.T) {
	c := qt.New(t)
	front := newConfiguredFront(c)
	c.Assert(serveRequest(front, "GET", "/b/x", "").Header().Get("Connection"), qt.Equals, "")
	front.Drain()
	c.Assert(serveRequest(front, "GET", "/b/x", "").Header().Get("Connection"), qt.Equals, "close")
}

func TestPriorityFollowsRank(t *testing.T) {
	c := qt.New(t)
	last := -1
	for rank := range 3 {
		c.Assert(priority(rank) > last, qt.IsTrue)
		last = priority(rank)
	}
	c.Assert(priority(100), qt.Equals, lastPriority)
}

// Services are drawn in proportion to their weights. A service of weight 0 is never drawn.
func TestServicesAreDrawnByWeight(t *testing.T) {
	c := qt.New(t)
	front := &Front{}
	counts := map[string]int{}
	route := &opconf.Route{Shares: []opconf.Share{{Service: "none", Weight: 0}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for range 10_000 {
		counts[front.drawService(route)]++
	}
	c.Assert(counts["none"], qt.Equals, 0)
	c.Assert(counts["a"] > 8_900 && counts["a"] < 9_100, qt.IsTrue, qt.Commentf("%v", counts))
}
