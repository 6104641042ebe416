// Package chat is the OpenAI-style front: chat completions, streamed and not, on the same core and under the
// same rules as the platform's front. A request's body goes on to a server as it came, and so does the answer.
package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/downstream"
)

const (
	writeTime = 15 * time.Second
	// tokenBytes is about how much text makes a token: prompts are not counted, only estimated.
	tokenBytes = 4
	// statusUnknown answers a filing that may have run. The public client libraries repeat 408, 409, 429 and
	// everything from 500 on by themselves; this one they hand to their caller.
	statusUnknown = http.StatusFailedDependency
	noRetry       = "X-Should-Retry"
	idHeader      = "X-Request-Id"
)

// Front takes chat requests. Use New or NewGated.
type Front struct {
	core        *core.Core
	servers     *Servers
	gate        Gate
	showVersion bool      // answers name the version that they were decided under
	handover    *Handover // nil: no class has it
	meter       Meter     // nil: there is no plan for sites
	openings    Openings  // nil: nobody asks for them
	guard       func() error
	closing     atomic.Bool
	mux         *http.ServeMux
}

// New makes a front whose terms never change.
func New(c *core.Core, servers *Servers, set config.Chat) *Front {
	return NewGated(c, servers, fixed{NewTerms(set, nil, 0)}, false)
}

// NewGated makes a front that takes each request under the terms that a gate gives for it.
func NewGated(c *core.Core, servers *Servers, gate Gate, showVersion bool) *Front {
	f := &Front{core: c, servers: servers, gate: gate, showVersion: showVersion, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /v1/chat/completions", f.complete)
	f.mux.HandleFunc("GET /v1/models", f.listModels)
	f.mux.HandleFunc("GET /v1/models/{model}", f.oneModel)
	f.mux.HandleFunc("GET /health", f.health)
	f.mux.HandleFunc("/v1/chat/completions", wrongMethod("POST"))
	f.mux.HandleFunc("/v1/models", wrongMethod("GET"))
	f.mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		fail(w, http.StatusNotFound, "invalid_request_error", "not_found", "no such path: "+req.URL.Path)
	})
	return f
}

// Meter counts requests for the fleet's plan for the loss of a site.
type Meter interface {
	// Arrived tells of a request, and gives its rank in the order in which its class is taken.
	Arrived(class string, session uint64) (rank float64)
	// Tried tells how an attempt ended that was not called off.
	Tried(Attempt)
	// Refused tells of a request that the module turned away.
	Refused(class string, rank float64)
}

// Attempt is an attempt at a server that ended by itself.
type Attempt struct {
	Worker  core.Worker
	Class   string
	Session uint64
	Heard   bool          // the server answered, whatever it said
	InTime  bool          // within its class's aim
	Failed  bool          // it did not answer the request, and did not turn it away
	First   time.Duration // from sending until the answer began
}

// Count has a meter told of all requests from now on; it is called before any is served.
func (f *Front) Count(m Meter) { f.meter = m }

// Guard has each request that is not written down ask once more just before it is sent; an error ends it as one that was
// not sent. (What is written down asks its book.) It is called before any is served.
func (f *Front) Guard(ask func() error) { f.guard = ask }

// Drain makes the health check fail and asks clients to leave after their next answer.
func (f *Front) Drain() { f.Duck(true) }

// Duck is Drain that can be taken back.
func (f *Front) Duck(on bool) { f.closing.Store(on) }

// ServeHTTP serves http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	f.mux.ServeHTTP(w, req)
}

func wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Allow", allowed)
		fail(w, http.StatusMethodNotAllowed, "invalid_request_error", "method_not_allowed", req.Method+" is not allowed here")
	}
}

func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	if f.closing.Load() {
		fail(w, http.StatusServiceUnavailable, "server_error", "shutting_down", "shutting down")
		return
	}
	if err := f.gate.Ready(); err != nil {
		fail(w, http.StatusServiceUnavailable, "server_error", "policy_unsettled", err.Error())
		return
	}
	answer(w, http.StatusOK, map[string]string{"status": "ok"})
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (f *Front) listModels(w http.ResponseWriter, req *http.Request) {
	t, ok := f.take(w, req)
	if !ok {
		return
	}
	list := make([]model, 0, len(t.models))
	for _, m := range t.models {
		list = append(list, model{m, "model", 0, "sumacloft"})
	}
	answer(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (f *Front) oneModel(w http.ResponseWriter, req *http.Request) {
	t, ok := f.take(w, req)
	if !ok {
		return
	}
	name := req.PathValue("model")
	if _, known := t.class[name]; !known {
		fail(w, http.StatusNotFound, "invalid_request_error", "model_not_found", fmt.Sprintf("the model %q does not exist", name))
		return
	}
	answer(w, http.StatusOK, model{name, "model", 0, "sumacloft"})
}

// complete is one chat completion: whatever is malformed is answered here and reaches no server.
func (f *Front) complete(w http.ResponseWriter, req *http.Request) {
	body, free, err := downstream.Body(w, req)
	if err != nil {
		refuseBody(w, err)
		return
	}
	came := time.Now()
	t, ok := f.take(w, req)
	if !ok {
		free()
		return
	}
	j, status, err := f.parse(t, req, body)
	if err != nil {
		free()
		code := "invalid_value"
		if status == http.StatusNotFound {
			code = "model_not_found"
		}
		fail(w, status, "invalid_request_error", code, err.Error())
		return
	}
	j.free = free
	j.arrival.Timeout -= time.Since(came) // it may have waited for a change of policy
	if f.meter != nil && j.class < len(t.set.Classes) {
		k := t.set.Classes[j.class]
		j.meter, j.className, j.aim, j.came = f.meter, k.Name, config.Millis(k.AimMs), came
		j.arrival.Rank = f.meter.Arrived(k.Name, j.arrival.Session)
	}
	if class, ok := t.handsOver(j.class); ok && f.handover != nil {
		f.handover.serve(w, req, t, j, class)
		return
	}
	f.run(w, req, j)
}

// run has the core serve a request whose client is the only one that will ever hear of it.
func (f *Front) run(w http.ResponseWriter, req *http.Request, j *job) {
	out := &client{w: w, rc: http.NewResponseController(w), job: j}
	f.core.Do(req.Context(), j, out)
	if out.broken {
		panic(http.ErrAbortHandler) // the server then closes the connection without the last chunk
	}
}

// refuseBody answers a body that was not taken; no server has heard of it.
func refuseBody(w http.ResponseWriter, err error) {
	fault := &downstream.Fault{Status: http.StatusInternalServerError, Text: "the body can't be read"}
	errors.As(err, &fault)
	kind, code := "invalid_request_error", "unreadable_body"
	switch fault.Status {
	case http.StatusRequestEntityTooLarge:
		code = "request_too_large"
	case http.StatusServiceUnavailable:
		kind, code = "server_error", "overloaded"
	}
	fail(w, fault.Status, kind, code, fault.Text)
}

// asked is what is taken out of a body.
type asked struct {
	Model    *string           `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
	Max      *float64          `json:"max_tokens"`
	MaxNew   *float64          `json:"max_completion_tokens"`
}

// read takes out of a body what a request is decided by, and checks it.
func (t *Terms) read(body []byte) (a asked, limit float64, err error) {
	if err := json.Unmarshal(body, &a); err != nil {
		return a, 0, fmt.Errorf("the body is not a chat completion request: %w", err)
	}
	if a.Model == nil || *a.Model == "" {
		return a, 0, errors.New("model: missing")
	}
	if len(a.Messages) == 0 {
		return a, 0, errors.New("messages: missing or empty")
	}
	limit = t.set.MaxTokens
	for _, v := range []*float64{a.Max, a.MaxNew} {
		if v != nil {
			if !(*v >= 1) {
				return a, 0, errors.New("max_tokens: must be at least 1")
			}
			limit = *v
		}
	}
	return a, limit, nil
}

func (f *Front) parse(t *Terms, req *http.Request, body []byte) (*job, int, error) {
	a, limit, err := t.read(body)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	class, known := t.class[*a.Model]
	if name := req.Header.Get(t.set.ClassHeader); name != "" {
		if class, known = t.named[name]; !known {
			return nil, http.StatusBadRequest, fmt.Errorf("%s: %q is not a class", t.set.ClassHeader, name)
		}
	}
	if !known {
		if t.set.Unknown == config.UnknownReject {
			return nil, http.StatusNotFound, fmt.Errorf("the model %q does not exist", *a.Model)
		}
		class = len(t.set.Classes) // the last one: it must never run twice
	}
	j := f.job(t, a, limit, class, body)
	j.auth, j.contentType, j.idempotency = req.Header.Get("Authorization"), req.Header.Get("Content-Type"), req.Header.Get(keyHeader)
	f.measure(j, a.Messages, req.Header.Get(t.set.SessionHeader))
	return j, 0, nil
}

// job makes a request of a class, by its place in the terms.
func (f *Front) job(t *Terms, a asked, limit float64, class int, body []byte) *job {
	safe := class < len(t.set.Classes) && t.set.Classes[class].Effect == "safe"
	return &job{servers: f.servers, body: body, model: *a.Model, stream: a.Stream, class: class, safe: safe, guard: f.guard,
		arrival: brain.Arrived{Class: t.places[class], MaxTokens: limit, Timeout: t.patience(class, a.Stream)}}
}

// patience is how long the answer may take to begin. One that does not stream begins when it is whole.
func (t *Terms) patience(class int, stream bool) time.Duration {
	longest := 0.0
	for i, k := range t.set.Classes {
		wait := k.DeadlineMs
		if !stream {
			wait = k.WholeMs
		}
		if i == class {
			return config.Millis(wait)
		}
		longest = max(longest, wait)
	}
	return config.Millis(longest)
}

// measure estimates lengths and names the opening and the conversation: the first message is what
// conversations share, the first two tell them apart where the client does not.
func (f *Front) measure(j *job, messages []json.RawMessage, session string) {
	a := &j.arrival
	for _, m := range messages {
		a.PromptTokens += float64(len(m)) / tokenBytes
	}
	if len(messages) > 1 {
		a.Prefix, a.PrefixTokens = hash(messages[0]), float64(len(messages[0]))/tokenBytes
		j.first = messages[0]
		if j.openings = f.openings; j.openings != nil {
			a.Homes = j.openings.Homes(a.Prefix)
		}
	}
	if session != "" {
		a.Session = hash([]byte(session))
	} else {
		a.Session = hash(bytes.Join([][]byte{messages[0], messages[min(1, len(messages)-1)]}, []byte{0}))
	}
}
