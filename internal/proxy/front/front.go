// Package front is the client-facing side of the proxy. It matches requests to routes, reads them, passes them to the
// lane of their service, and writes exactly one final answer to each.
package front

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sumacloft/internal/bounds"
	"sumacloft/internal/inflight"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/lane"
)

const (
	// noRoutingRetryAfter is the Retry-After value while no configuration is known.
	noRoutingRetryAfter = 500 * time.Millisecond
	// streamGrace is how long a stream may continue past its route's timeout. Its worker ends it at the timeout, and
	// the worker's last output is still forwarded.
	streamGrace      = 150 * time.Millisecond
	headerRetryAfter = "Retry-After"
	// goldenStep spreads consecutive draws evenly over 64 bits. It is the odd number nearest to 2^64 divided by the
	// golden ratio.
	goldenStep = 0x9e3779b97f4a7c15
)

// Routing is one immutable state of the fleet, by which the front routes requests.
type Routing struct {
	Table  *opconf.Table
	Limits opconf.Limits
	Lanes  map[string]*lane.Lane // by service
}

// Front serves clients. Its zero value has no configuration and refuses all requests.
type Front struct {
	Calls  *calls.Calls
	Bounds *bounds.Limiter // of clients' connections, updated with the limits in force; may be nil

	NoResume bool // disables the resumption of broken streams, for trials

	routing      atomic.Pointer[Routing]
	draining     atomic.Bool
	openRequests atomic.Int64
	draws        atomic.Uint64
}

// SetRouting applies the routing to all requests from now on.
func (f *Front) SetRouting(routing *Routing) {
	f.routing.Store(routing)
	if f.Bounds != nil {
		f.Bounds.SetLimits(routing.Limits)
	}
}

// Drain makes the front close each client's connection with its next answer.
func (f *Front) Drain() { f.draining.Store(true) }

// OpenRequests returns how many requests are being served.
func (f *Front) OpenRequests() int64 { return f.openRequests.Load() }

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	received := time.Now()
	routing := f.routing.Load()
	if routing == nil {
		f.refuse(w, noRoutingRetryAfter)
		return
	}
	route, found := routing.Table.Match(request.Host, request.URL.Path)
	if !found {
		f.writeAnswer(w, http.StatusNotFound, "no such route")
		return
	}
	holder := bounds.Holder(request)
	body, err := readBody(w, request, routing.Limits, received.Add(route.GiveUp))
	if err == nil {
		err = holder.Grow(inflight.RequestBytes)
	}
	if err == nil {
		err = holder.Pin() // from here on the request may run
	}
	if err != nil {
		inflight.DropHead(request)
		f.refuseBody(w, holder, err)
		return
	}
	service, class := f.chooseLane(routing, route)
	if service == nil {
		f.refuse(w, noRoutingRetryAfter)
		return
	}
	call := f.newRequest(request, route, body, received, class)
	call.Holder = holder
	f.serve(w, request, route, service, call, received)
}

// serve has the service's lane execute the request, and resumes its stream if it breaks.
func (f *Front) serve(w http.ResponseWriter, request *http.Request, route *opconf.Route, service *lane.Lane, call *calls.Request,
	received time.Time) {
	job := calls.NewJob(f.Calls, call, service)
	answering := &client{front: f, writer: w, control: http.NewResponseController(w), job: job, request: call}
	if route.Kind == opconf.Flowing && route.PickUp && !f.NoResume {
		answering.resumption = &resumption{}
	}
	ctx, cancel := context.WithDeadline(request.Context(), received.Add(route.GiveUp+streamGrace))
	defer cancel()
	service.Do(ctx, answering, job)
	job.Close()
	answering.resume(ctx, service)
	if answering.broken && !answering.headWritten && request.Context().Err() == nil {
		answering.answerUnclear(true, nil) // the worker's answer broke, or the time ended, before anything was passed on
		return
	}
	if answering.broken {
		panic(http.ErrAbortHandler) // the server closes the connection without the end of the answer
	}
}

// chooseLane draws a service of the route. It returns its lane and the route's class there, or nil if no lane is known.
func (f *Front) chooseLane(routing *Routing, route *opconf.Route) (*lane.Lane, int) {
	service := routing.Lanes[f.drawService(route)]
	if service == nil {
		return nil, 0
	}
	return service, service.Class(route.Name)
}

// drawService draws a service of the route by weight.
func (f *Front) drawService(route *opconf.Route) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	point := float64(f.draws.Add(goldenStep)>>11) / (1 << 53) * total
	for _, share := range route.Shares {
		if point -= share.Weight; point < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}

// newRequest builds the request that is sent to workers.
func (f *Front) newRequest(request *http.Request, route *opconf.Route, body []byte, received time.Time, class int) *calls.Request {
	timeout := route.GiveUp
	if left, err := strconv.ParseInt(request.Header.Get("X-Time-Left"), 10, 48); err == nil && left > 0 {
		timeout = min(timeout, time.Duration(left)*time.Millisecond)
	}
	return &calls.Request{
		ID:       request.Header.Get("X-Request-Id"),
		Method:   request.Method,
		URI:      request.RequestURI,
		Host:     request.Host,
		Header:   request.Header,
		Body:     body,
		Deadline: received.Add(timeout),
		Terms: calls.Terms{
			Streaming:  route.Kind == opconf.Flowing,
			Repeatable: route.Idempotent(),
			MaxRuns:    route.Tries,
			Priority:   priority(route.Rank),
		},
		Class:  class,
		Prompt: calls.ReadPrompt(request.Header),
	}
}

const (
	// firstPriority is the priority of rank 0, the most important. Each further rank adds priorityStep.
	firstPriority = 2
	priorityStep  = 2
	lastPriority  = 9
)

// priority returns the priority of a route's requests at workers.
func priority(rank int) int { return min(firstPriority+priorityStep*rank, lastPriority) }

// refuse answers that the request has not run and never will.
func (f *Front) refuse(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	f.writeAnswer(w, http.StatusServiceUnavailable, "refused")
}

// writeAnswer writes a short answer of the proxy itself.
func (f *Front) writeAnswer(w http.ResponseWriter, status int, text string) {
	f.announceClose(w)
	http.Error(w, text, status)
}

// announceClose marks an answer as the last on its connection if the front is draining.
func (f *Front) announceClose(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}
