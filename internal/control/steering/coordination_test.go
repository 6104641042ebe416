package steering_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/steering"
)

// fakeCoordination returns the same answer to every call and records the last call.
type fakeCoordination struct {
	answer coordination.Answer
	call   coordination.Call
}

func (d *fakeCoordination) Do(_ context.Context, call coordination.Call) coordination.Answer {
	d.call = call
	return d.answer
}

// request sends one application call to the handler.
func (d *fakeCoordination) request(method, path, body string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	s := &stub{}
	steering.Handler(s, s, d).ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer
}

func TestCoordinationCalls(t *testing.T) {
	done := coordination.Answer{Status: coordination.Done, Fence: 41, Number: 5120, Amount: `a"b`, Revision: 931}
	withEvent := coordination.Answer{Status: coordination.Done, Revision: 934,
		Events: []coordination.Event{{Key: "g1.2d", Amount: "5c", Revision: 931}}}
	for name, test := range map[string]struct {
		method, path, body string
		answer             coordination.Answer
		call               coordination.Call
		text               string
	}{
		"a lock": {http.MethodPost, "/v1/Locks.Start/l1f", `{"owner":"a3.7","hold_ms":3000}`, done,
			coordination.Call{Kind: coordination.StartLock, Name: "l1f", Owner: "a3.7", HoldMS: 3000}, `{"fence_number":41}`},
		"a lock renewal": {http.MethodPost, "/v1/Locks.Beat/l1f", `{"owner":"a3.7","fence_number":41,"hold_ms":3000}`, done,
			coordination.Call{Kind: coordination.BeatLock, Name: "l1f", Owner: "a3.7", Fence: 41, HoldMS: 3000}, `{}`},
		"a lock release": {http.MethodPost, "/v1/Locks.Finish/l1f", `{"owner":"a3.7","fence_number":41}`, done,
			coordination.Call{Kind: coordination.FinishLock, Name: "l1f", Owner: "a3.7", Fence: 41}, `{}`},
		"a counter": {http.MethodPost, "/v1/numbers/n2", `{}`, done,
			coordination.Call{Kind: coordination.DrawNumber, Name: "n2"}, `{"amount":5120}`},
		"a conditional write": {http.MethodPost, "/v1/Cells.Replace/g1.2d", `{"amount":"5c","expected":907}`, done,
			coordination.Call{Kind: coordination.ReplaceCell, Name: "g1.2d", Amount: "5c", Expected: 907}, `{"revision":931}`},
		"an unconditional write": {http.MethodPost, "/v1/Cells.Replace/g1.2d", `{"amount":"5c"}`, done,
			coordination.Call{Kind: coordination.ReplaceCell, Name: "g1.2d", Amount: "5c", Always: true}, `{"revision":931}`},
		"a read": {http.MethodGet, "/v1/Cells.Read/g1.2d", "", done,
			coordination.Call{Kind: coordination.ReadCell, Name: "g1.2d"}, `{"amount":"a\"b","revision":931}`},
		"a watch": {http.MethodGet, "/v1/watch/g1.?after=930&queue_ms=2000", "", withEvent,
			coordination.Call{Kind: coordination.WatchCells, Name: "g1.", After: 930, QueueMS: 2000},
			`{"events":[{"name":"g1.2d","amount":"5c","revision":931}],"revision":934}`},
		"a watch without events": {http.MethodGet, "/v1/watch/g1.", "", coordination.Answer{Status: coordination.Done},
			coordination.Call{Kind: coordination.WatchCells, Name: "g1."}, `{"events":[],"revision":0}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := &fakeCoordination{answer: test.answer}
			answer := d.request(test.method, test.path, test.body)
			c.Assert(answer.Code, qt.Equals, http.StatusOK)
			c.Assert(answer.Body.String(), qt.Equals, test.text)
			c.Assert(d.call, qt.DeepEquals, test.call)
		})
	}
}

func TestCoordinationStatusCodes(t *testing.T) {
	for outcome, status := range map[coordination.Status]int{
		coordination.Held:      http.StatusConflict,
		coordination.Lost:      http.StatusConflict,
		coordination.Different: http.StatusPreconditionFailed,
		coordination.Missing:   http.StatusNotFound,
		coordination.TooOld:    http.StatusGone,
		coordination.Full:      http.StatusTooManyRequests,
		coordination.Elsewhere: http.StatusServiceUnavailable,
		coordination.Unclear:   http.StatusGatewayTimeout,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			c := qt.New(t)
			d := &fakeCoordination{answer: coordination.Answer{Status: outcome, Revision: 922}}
			answer := d.request(http.MethodPost, "/v1/Cells.Replace/g.a", `{"amount":"5c","expected":907}`)
			c.Assert(answer.Code, qt.Equals, status)
			c.Assert(answer.Header().Get("Retry-After") != "", qt.Equals, outcome == coordination.Full)
			if outcome == coordination.Different {
				c.Assert(answer.Body.String(), qt.Equals, `{"revision":922}`)
			}
		})
	}
}

func TestInvalidCoordinationCallsAreRejected(t *testing.T) {
	for name, test := range map[string]struct{ path, body, text string }{
		"no owner":                     {"/v1/Locks.Start/l", `{"hold_ms":1}`, `{"error":"owner: give it, as a text"}`},
		"an empty owner":               {"/v1/Locks.Start/l", `{"owner":"","hold_ms":1}`, `{"error":"owner: give 1 to 512 bytes"}`},
		"too long a lease":             {"/v1/Locks.Start/l", `{"owner":"o","hold_ms":600001}`, `{"error":"hold_ms: give a whole number from 0 to 600000"}`},
		"a fractional fence":           {"/v1/Locks.Finish/l", `{"owner":"o","fence_number":1.5}`, `{"error":"fence_number: give a whole number from 0 to 4611686018427387904"}`},
		"a revision that is no number": {"/v1/Cells.Replace/g.a", `{"amount":"5c","expected":"1"}`, `{"error":"expected: give it, as a whole number"}`},
		"a large value":                {"/v1/Cells.Replace/g.a", `{"amount":"` + strings.Repeat("x", 5000) + `","expected":0}`, `{"error":"amount: give 1 to 4096 bytes"}`},
		"a long name":                  {"/v1/numbers/" + strings.Repeat("n", 513), `{}`, `{"error":"the name is longer than 512 bytes"}`},
		"too many bytes":               {"/v1/numbers/n", strings.Repeat(" ", 17<<10), `{"error":"the call can't be read, or is larger than 16 KiB"}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := &fakeCoordination{}
			answer := d.request(http.MethodPost, test.path, test.body)
			c.Assert(answer.Code, qt.Equals, http.StatusBadRequest)
			c.Assert(answer.Body.String(), qt.Equals, test.text)
			c.Assert(d.call, qt.DeepEquals, coordination.Call{})
		})
	}
	c := qt.New(t)
	c.Assert((&fakeCoordination{}).request(http.MethodGet, "/v1/watch/g.?after=x", "").Code, qt.Equals, http.StatusBadRequest)
	c.Assert((&fakeCoordination{}).request(http.MethodGet, "/v1/watch/g.?queue_ms=-1", "").Code, qt.Equals, http.StatusBadRequest)
}

// blockingCoordination blocks each call until proceed is closed.
type blockingCoordination struct {
	started chan struct{}
	proceed chan struct{}
}

func (w *blockingCoordination) Do(context.Context, coordination.Call) coordination.Answer {
	w.started <- struct{}{}
	<-w.proceed
	return coordination.Answer{Status: coordination.Done}
}

func TestCallerLimitDoesNotAffectOtherCallers(t *testing.T) {
	c := qt.New(t)
	calls := &blockingCoordination{started: make(chan struct{}), proceed: make(chan struct{})}
	handler := steering.Handler(&stub{}, &stub{}, calls)
	ask := func(caller string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/numbers/n", strings.NewReader("{}"))
		request.RemoteAddr = caller
		handler.ServeHTTP(answer, request)
		return answer
	}
	// Given a caller with 64 concurrent calls,
	answers := make(chan int, 65)
	for port := range 64 {
		go func() { answers <- ask(fmt.Sprintf("10.0.0.1:%d", 1000+port)).Code }()
		<-calls.started
	}
	// a further call is rejected immediately, while a call of another caller is admitted.
	refused := ask("10.0.0.1:9999")
	c.Assert(refused.Code, qt.Equals, http.StatusTooManyRequests)
	c.Assert(refused.Header().Get("Retry-After"), qt.Equals, "1")
	go func() { answers <- ask("10.0.0.2:1000").Code }()
	<-calls.started
	close(calls.proceed)
	for range 65 {
		c.Assert(<-answers, qt.Equals, http.StatusOK)
	}
	// Once they complete, the caller is admitted again.
	go func() { answers <- ask("10.0.0.1:9999").Code }()
	<-calls.started
	c.Assert(<-answers, qt.Equals, http.StatusOK)
}
