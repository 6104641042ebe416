// Package front is the proxy's side towards clients: it matches requests to routes, reads them, hands them to the lane
// of their service, and writes exactly one final answer each.
package front

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/bounds"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/lane"
)

const (
	// unknownRetry is the advice to clients while no configuration is known.
	unknownRetry = 500 * time.Millisecond
	// streamSlack is how long a stream may go on past its route's time: its worker ends it by itself at that time, and
	// what it said last is still passed on.
	streamSlack = 150 * time.Millisecond
	headerRetry = "Retry-After"
	// goldenStep spreads consecutive draws evenly over 64 bits: the odd number nearest to 2^64 over the golden ratio.
	goldenStep = 0x9e3779b97f4a7c15
)

// Routing is what the front works by: one immutable state of the fleet.
type Routing struct {
	Table  *opconf.Table
	Limits opconf.Limits
	Lanes  map[string]*lane.Lane // by service
}

// Front serves clients. Its zero value knows no configuration and refuses.
type Front struct {
	Calls  *calls.Calls
	Bounds *bounds.Limiter // of clients' connections, told the limits in force; may be nil

	NoPickUp bool // streams that break stay broken: for trials

	routing atomic.Pointer[Routing]
	leaving atomic.Bool
	open    atomic.Int64
	shares  atomic.Uint64
}

// Use has all requests from now on follow the routing.
func (f *Front) Use(routing *Routing) {
	f.routing.Store(routing)
	if f.Bounds != nil {
		f.Bounds.SetLimits(routing.Limits)
	}
}

// Drain asks clients to leave with their next answer.
func (f *Front) Drain() { f.leaving.Store(true) }

// Open is how many requests are being served.
func (f *Front) Open() int64 { return f.open.Load() }

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	taken := time.Now()
	routing := f.routing.Load()
	if routing == nil {
		f.refuse(w, unknownRetry)
		return
	}
	route, found := routing.Table.Match(request.Host, request.URL.Path)
	if !found {
		f.end(w, http.StatusNotFound, "no such route")
		return
	}
	body, err := readBody(w, request, routing.Limits, taken.Add(route.GiveUp))
	if err != nil {
		f.unreadable(w, err)
		return
	}
	service, class := f.choose(routing, route)
	if service == nil {
		f.refuse(w, unknownRetry)
		return
	}
	asked := f.request(request, route, body, taken, class)
	f.serve(w, request, route, service, asked, taken)
}

// serve has the lane carry the request.
func (f *Front) serve(w http.ResponseWriter, request *http.Request, route *opconf.Route, service *lane.Lane, asked *calls.Request, taken time.Time) {
	job := calls.NewJob(f.Calls, asked, service)
	out := &client{front: f, writer: w, control: http.NewResponseController(w), job: job, request: asked}
	if route.Kind == opconf.Flowing && route.PickUp && !f.NoPickUp {
		out.joint = &joint{}
	}
	ctx, cancel := context.WithDeadline(request.Context(), taken.Add(route.GiveUp+streamSlack))
	defer cancel()
	service.Do(ctx, out, job)
	job.Close()
	out.pickUp(ctx, service)
	if out.broken {
		panic(http.ErrAbortHandler) // the server closes the connection without the end of the answer
	}
}

// choose draws the service of a route and gives its lane and the route's class there; nil where no lane is known.
func (f *Front) choose(routing *Routing, route *opconf.Route) (*lane.Lane, int) {
	service := routing.Lanes[f.draw(route)]
	if service == nil {
		return nil, 0
	}
	return service, service.Class(route.Name)
}

// draw draws the service of a route by its weights.
func (f *Front) draw(route *opconf.Route) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	at := float64(f.shares.Add(goldenStep)>>11) / (1 << 53) * total
	for _, share := range route.Shares {
		if at -= share.Weight; at < 0 && share.Weight > 0 {
			return share.Service
		}
	}
	return ""
}

// request is the request as it goes on.
func (f *Front) request(request *http.Request, route *opconf.Route, body []byte, taken time.Time, class int) *calls.Request {
	patience := route.GiveUp
	if left, err := strconv.ParseInt(request.Header.Get("X-Time-Left"), 10, 48); err == nil && left > 0 {
		patience = min(patience, time.Duration(left)*time.Millisecond)
	}
	return &calls.Request{
		ID:       request.Header.Get("X-Request-Id"),
		Method:   request.Method,
		URI:      request.RequestURI,
		Host:     request.Host,
		Header:   request.Header,
		Body:     body,
		Deadline: taken.Add(patience),
		Terms: calls.Terms{
			Flowing:    route.Kind == opconf.Flowing,
			Repeatable: route.Idempotent(),
			Tries:      route.Tries,
			Priority:   priority(route.Rank),
		},
		Class:  class,
		Prompt: calls.ReadPrompt(request.Header),
	}
}

const (
	// firstPriority is that of the rank that matters most; each further rank comes priorityStep behind.
	firstPriority = 2
	priorityStep  = 2
	lastPriority  = 9
)

// priority is how urgent a route's requests are to workers.
func priority(rank int) int { return min(firstPriority+priorityStep*rank, lastPriority) }

// refuse promises that the request has not run and never will.
func (f *Front) refuse(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set(headerRetry, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	f.end(w, http.StatusServiceUnavailable, "refused")
}

// end writes a short answer of our own.
func (f *Front) end(w http.ResponseWriter, status int, text string) {
	f.part(w)
	http.Error(w, text, status)
}

// part tells a client with its answer that the connection ends, if it does.
func (f *Front) part(w http.ResponseWriter) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}
