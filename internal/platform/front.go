// Package platform is the thin front for the platform's protocol and its calls to workers. Method, path, query,
// body and the request's id go on as they came; only what the module needs is taken out of the headers.
package platform

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/downstream"
)

const (
	// writeTime is how long a client may take to accept some of its answer.
	writeTime = 15 * time.Second
	healthURL = "/_health"
	maxID     = 64
)

// Front takes requests from clients. Its zero value is not ready: see New.
type Front struct {
	core    *core.Core
	workers *Workers
	class   func(name string) int
	closing atomic.Bool               // for good
	ducked  atomic.Pointer[time.Time] // since when, for a while; nil: not

	mu   sync.Mutex
	open map[string]struct{} // ids of requests of which something is out, or held at a worker
}

// New makes a front. class gives the place of a class by its name, or less than 0.
func New(c *core.Core, w *Workers, class func(string) int) *Front {
	return &Front{core: c, workers: w, class: class, open: map[string]struct{}{}}
}

// Drain makes the health check fail and asks clients to leave after their next answer. Requests are taken and
// answered as before.
func (f *Front) Drain() { f.closing.Store(true) }

// duckServes is how long after the call a router that is emptied for a while takes requests on connections that are left. One
// that comes later could hold its connection past the time in which the router is to be empty.
const duckServes = 1500 * time.Millisecond

// Duck makes the health check fail and asks clients to leave after their next answer, as Drain does, until it is
// called off. Requests that come after duckServes are refused at once.
func (f *Front) Duck(on bool) {
	if !on {
		f.ducked.Store(nil)
		return
	}
	now := time.Now()
	f.ducked.CompareAndSwap(nil, &now)
}

// tooLate tells whether requests are no longer taken while the router is emptied for a while.
func (f *Front) tooLate() bool {
	since := f.ducked.Load()
	return since != nil && time.Since(*since) > duckServes
}

// ServeHTTP answers the health check and passes everything else on.
func (f *Front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == healthURL {
		if f.part(w); f.leaving() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	if f.tooLate() {
		f.part(w)
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	job, err := f.read(w, req)
	f.part(w)
	if err != nil {
		status := http.StatusBadRequest
		if fault := (*downstream.Fault)(nil); errors.As(err, &fault) {
			status = fault.Status
		}
		http.Error(w, err.Error(), status)
		return
	}
	out := &client{front: f, w: w, rc: http.NewResponseController(w), job: job}
	f.core.Do(req.Context(), job, out)
	if out.broken {
		panic(http.ErrAbortHandler) // the server then closes the connection without the last chunk
	}
}

func (f *Front) leaving() bool { return f.closing.Load() || f.ducked.Load() != nil }

// part tells the client with its answer that the connection ends, if it does. It is asked as late as can be: a router
// may be told to end while a request is still coming, or waits.
func (f *Front) part(w http.ResponseWriter) {
	if f.leaving() {
		w.Header().Set("Connection", "close")
	}
}

// read takes out of a request what is needed.
func (f *Front) read(w http.ResponseWriter, req *http.Request) (*job, error) {
	j := &job{workers: f.workers, id: req.Header.Get("Request-Id"), method: req.Method, uri: req.RequestURI,
		host: req.Host, contentType: req.Header.Get("Content-Type")}
	if !plain(j.id) {
		return nil, errors.New("Request-Id: missing or malformed")
	}
	if !strings.HasPrefix(j.uri, "/") {
		return nil, errors.New("the request's target is not a path")
	}
	if private(req.URL.Path) {
		return nil, &downstream.Fault{Status: http.StatusNotFound, Text: "no such path"}
	}
	a := &j.arrival
	if a.Class = f.class(req.Header.Get("Request-Class")); a.Class < 0 {
		return nil, errors.New("Request-Class: missing or unknown")
	}
	var err error
	if a.Timeout, err = timeout(req.Header.Get("Request-Timeout")); err != nil {
		return nil, err
	}
	if err := info(req.Header.Get("Request-Info"), a); err != nil {
		return nil, err
	}
	a.Session = key(req.Header.Get("Affinity-Key"))
	a.Resumed = req.Header.Get("Client-Retry") == "again"
	if j.body, j.free, err = downstream.Body(w, req); err != nil {
		return nil, err
	}
	if !f.enter(j) {
		j.free()
		return nil, &downstream.Fault{Status: http.StatusConflict, Text: "Request-Id: of a request that is still open"}
	}
	return j, nil
}

// enter takes the job's id until its Done. What another request holds under the same id must not be sent, cancelled
// or released by this one.
func (f *Front) enter(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.open[j.id]; taken {
		return false
	}
	f.open[j.id] = struct{}{}
	j.over = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, j.id)
	}
	return true
}

// private tells whether a path is one of the workers' own calls, which no client may make through a router.
func private(target string) bool {
	target = strings.ToLower(path.Clean("/" + target))
	return target == "/ping" || target == "/_load" || target == "/v1/holds" || strings.HasPrefix(target, "/v1/holds/")
}

// plain tells whether an id can stand in a path and a header as it is.
func plain(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// maxTimeout bounds what a client can make the router wait.
const maxTimeout = 10 * time.Minute

// timeout reads a time such as 4800m (milliseconds) or 250000u (microseconds).
func timeout(text string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if n := len(text); n > 1 {
		v, err := strconv.ParseFloat(text[:n-1], 64)
		if unit := units[text[n-1]]; err == nil && unit > 0 && v > 0 && v <= float64(maxTimeout/unit) {
			return time.Duration(v * float64(unit)), nil
		}
	}
	return 0, fmt.Errorf("Request-Timeout: %q is not a number with the unit m or u", text)
}

// maxTokens bounds the lengths that a client may state.
const maxTokens = 1e9

// info reads the lengths and the shared beginning. Fields that are not known are passed over.
func info(text string, a *brain.Arrived) error {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var to *float64
		switch name {
		case "prefix":
			a.Prefix = key(value)
			continue
		case "prompt_len":
			to = &a.PromptTokens
		case "prefix_len":
			to = &a.PrefixTokens
		case "max_out":
			to = &a.MaxTokens
		default:
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxTokens) {
			return fmt.Errorf("Request-Info: %s is %q, not a length", name, value)
		}
		*to = v
	}
	return nil
}

// key turns a name into the module's number for it, the same at every router; 0 stands for none.
func key(name string) uint64 {
	if name == "" {
		return 0
	}
	if v, err := strconv.ParseUint(name, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// client is the answering side of a request.
type client struct {
	front   *Front
	w       http.ResponseWriter
	rc      *http.ResponseController
	job     *job
	started bool
	broken  bool
}

// Refuse says that trying again is harmless, and when.
func (c *client) Refuse(holdOff time.Duration) {
	c.front.part(c.w)
	if holdOff > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
	}
	http.Error(c.w, "refused", http.StatusServiceUnavailable)
}

// Fail promises nothing, and says so if a worker found the request itself at fault.
func (c *client) Fail() {
	c.front.part(c.w)
	http.Error(c.w, "failed", cmp.Or(c.job.fault, http.StatusInternalServerError))
}

// Pass writes events as they came, at once.
func (c *client) Pass(events []byte) error {
	c.start()
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return c.rc.Flush()
}

// start writes the head of the answer, once.
func (c *client) start() {
	if c.started {
		return
	}
	c.started = true
	c.front.part(c.w)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
}

// Finish leaves the last chunk to the server.
func (c *client) Finish() {
	c.start()                              // an answer may have no events
	_ = c.rc.SetWriteDeadline(time.Time{}) // a connection gone by now is seen by the server
}

// Break has the connection closed without the last chunk.
func (c *client) Break() { c.broken = true }
