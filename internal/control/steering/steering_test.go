package steering_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/control/steering"
)

// stub is a fake control member. It records the last request and returns preset results.
type stub struct {
	beat     registry.Beat
	left     string
	order    configstate.Order
	beatTo   string
	outcome  configstate.Outcome
	document []byte
	err      error
}

func (s *stub) Beat(_ context.Context, beat registry.Beat) (string, error) {
	s.beat = beat
	return s.beatTo, s.err
}

func (s *stub) Leave(_ context.Context, id string) error {
	s.left = id
	return s.err
}

func (s *stub) Submit(_ context.Context, order configstate.Order) (configstate.Outcome, error) {
	s.order = order
	return s.outcome, s.err
}

func (s *stub) Read(context.Context) ([]byte, error) { return s.document, s.err }

// call sends one request to the handler and returns the response.
func call(s *stub, method, path, builtOn, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if builtOn != "" {
		request.Header.Set("X-Built-On", builtOn)
	}
	answer := httptest.NewRecorder()
	steering.Handler(s, s, nil).ServeHTTP(answer, request)
	return answer
}

const (
	replacePath = "/v1/Settings.Replace"
	changePath  = "/v1/Settings.Change"
	readPath    = "/v1/Settings.Read"
)

func TestOrderOutcomeStatusCodes(t *testing.T) {
	cause := errors.New("why")
	for name, test := range map[string]struct {
		stub   stub
		status int
		body   string
	}{
		"taken":            {stub{outcome: configstate.Outcome{Status: configstate.Taken, Version: 7}}, http.StatusOK, `{"version":7}`},
		"already taken":    {stub{outcome: configstate.Outcome{Status: configstate.AlreadyTaken, Version: 7}}, http.StatusOK, `{"version":7}`},
		"stale base":       {stub{outcome: configstate.Outcome{Status: configstate.OtherVersion, Err: cause}}, http.StatusPreconditionFailed, `{"error":"why"}`},
		"invalid":          {stub{outcome: configstate.Outcome{Status: configstate.Invalid, Err: cause}}, http.StatusBadRequest, `{"error":"why"}`},
		"not remembered":   {stub{outcome: configstate.Outcome{Status: configstate.Unknown, Err: cause}}, http.StatusServiceUnavailable, `{"error":"why"}`},
		"without a leader": {stub{err: cause}, http.StatusServiceUnavailable, `{"error":"why"}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for path, kind := range map[string]configstate.OrderKind{replacePath: configstate.Replace, changePath: configstate.Change} {
				answer := call(&test.stub, http.MethodPost, path, "5", "{}")
				c.Assert(answer.Code, qt.Equals, test.status)
				c.Assert(answer.Body.String(), qt.Equals, test.body)
				c.Assert(test.stub.order.Kind, qt.Equals, kind)
				c.Assert(test.stub.order.BuiltOn, qt.Equals, uint64(5))
				c.Assert(string(test.stub.order.Body), qt.Equals, "{}")
			}
		})
	}
}

func TestMalformedOrdersAreRejected(t *testing.T) {
	c := qt.New(t)
	s := &stub{}
	// Orders without a base version, with an invalid one, or above the size limit are rejected without calling the member.
	c.Assert(call(s, http.MethodPost, replacePath, "", "{}").Code, qt.Equals, http.StatusBadRequest)
	c.Assert(call(s, http.MethodPost, replacePath, "-1", "{}").Code, qt.Equals, http.StatusBadRequest)
	c.Assert(call(s, http.MethodPost, replacePath, "1", strings.Repeat(" ", 8<<20+1)).Code, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(s.order.Kind, qt.Equals, configstate.OrderKind(0))
}

func TestReadReturnsWholeDocument(t *testing.T) {
	c := qt.New(t)
	answer := call(&stub{document: []byte(`{"version":3}`)}, http.MethodGet, readPath, "", "")
	c.Assert(answer.Code, qt.Equals, http.StatusOK)
	c.Assert(answer.Body.String(), qt.Equals, `{"version":3}`)
	c.Assert(call(&stub{}, http.MethodGet, readPath, "", "").Code, qt.Equals, http.StatusNotFound)
	// A member that cannot confirm that its document is current returns 503.
	c.Assert(call(&stub{err: errors.New("no leader")}, http.MethodGet, readPath, "", "").Code, qt.Equals, http.StatusServiceUnavailable)
}

func TestWorkerBeatAndLeave(t *testing.T) {
	c := qt.New(t)
	const beat = `{"service":"s","address":"10.0.0.9:1","zone":"z","version":"v1","capacity":4,"state":"up","call_count":3}`
	s := &stub{beatTo: "10.0.0.4:8080"}
	answer := call(s, http.MethodPost, "/v1/Servers.Beat/i-1", "", beat)
	c.Assert(answer.Code, qt.Equals, http.StatusOK)
	c.Assert(answer.Body.String(), qt.Equals, `{"beat_to":"10.0.0.4:8080"}`)
	c.Assert(s.beat.ID, qt.Equals, "i-1")
	c.Assert(s.beat.CallCount, qt.Equals, uint64(3))
	// Without a beatTo address the response is empty. Invalid and oversized heartbeats are rejected.
	s.beatTo = ""
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Beat/i-1", "", beat).Body.String(), qt.Equals, "{}")
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Beat/i-1", "", "{").Code, qt.Equals, http.StatusBadRequest)
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Beat/i-1", "", strings.Repeat(" ", 64<<10+1)).Code, qt.Equals, http.StatusBadRequest)
	// A leave request is passed on with the worker's id.
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Leave/i-1", "", "{}").Code, qt.Equals, http.StatusOK)
	c.Assert(s.left, qt.Equals, "i-1")
	// A partitioned member acknowledges neither.
	s.err = errors.New("cut off")
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Beat/i-1", "", beat).Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(call(s, http.MethodPost, "/v1/Servers.Leave/i-1", "", "{}").Code, qt.Equals, http.StatusServiceUnavailable)
}
