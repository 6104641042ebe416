package front_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"sumacloft/internal/bounds"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/proxy/run"
	"sumacloft/internal/upstream"
)

// The routes of a scene and their settings.
const (
	harmlessPath   = "/harmless/x"
	riskyPath      = "/risky/x"
	streamPath     = "/stream/x"
	resumablePath  = "/picked/x" // a stream that may be resumed, by many workers
	twoWorkersPath = "/two/x"    // the same, by at most two workers
	oneWorkerPath  = "/one/x"    // the same, by one worker
	giveUp         = 2 * time.Second
	tries          = 3
	manyTries      = 9
)

// The machines of a scene.
const (
	linkDelay     = time.Millisecond
	clientIP      = "10.0.0.1"
	proxyIP       = "10.0.0.2"
	frontAddress  = proxyIP + ":80"
	clientTimeout = 30 * time.Second // how long the client waits for an answer
	dialTimeout   = 700 * time.Millisecond
	idleTimeout   = 10 * time.Second
	settleTime    = 10 * time.Second // time for the remaining work to end after a test
	sceneExtra    = 100              // repeated arrivals that the proxy may cause
	sceneRoutes   = `{"version":1,"routes":[%s],"services":[{"name":"plain"},{"name":"model","runner":{"capacity":64,
		"memory_tokens":600000,"token_bytes":163840,"link_mbps":1500000,"ticket_hold_s":4,"change_s":0.9}}]}`
	sceneRoute = `{"name":%q,"domain":"h.example","path_start":%q,"route_type":%q,"give_up_ms":%d,"target_ms":500,"rank":0,
		"service":%q,"tries":%d,"pick_up":%t}`
)

// reply answers one request on its connection. It returns false if the connection gets no further answer.
type reply func(connection *memnet.Conn, request *http.Request) bool

// received is a request that reached a worker.
type received struct {
	*http.Request
	raw        string // its unparsed head
	at         time.Time
	connection int // number of the worker's connection that carried it
}

// worker is a worker with a handwritten HTTP server.
type worker struct {
	name, phase, ip string
	reply           reply

	mu           sync.Mutex
	requests     []received
	connections  int
	lastAnswerAt time.Time // time of its last answer
}

func (w *worker) address() string { return w.ip + ":9000" }

// received returns the requests that have reached the worker so far, except those for its load report.
func (w *worker) received() []received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]received(nil), w.requests...)
}

// lastAnswer returns when the worker finished its last answer, except answers to releases of its KV cache.
func (w *worker) lastAnswer() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAnswerAt
}

// serve serves all connections until the listener closes.
func (w *worker) serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connections++
		number := w.connections
		w.mu.Unlock()
		go w.serveConnection(connection.(*memnet.Conn), number)
	}
}

// serveConnection serves one connection.
func (w *worker) serveConnection(connection *memnet.Conn, number int) {
	defer func() { _ = connection.Close() }() // it may be closed already
	var raw strings.Builder
	reader := bufio.NewReader(io.TeeReader(connection, &raw))
	for {
		raw.Reset()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(raw.String(), "\r\n\r\n")
		if request.URL.Path == "/v1/report" {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		w.mu.Lock()
		w.requests = append(w.requests, received{Request: request, raw: head, at: time.Now(), connection: number})
		w.mu.Unlock()
		keepOpen := w.reply(connection, request)
		if request.Method != http.MethodDelete {
			w.mu.Lock()
			w.lastAnswerAt = time.Now()
			w.mu.Unlock()
		}
		if !keepOpen {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// scene is a proxy's front with its lanes, workers and a client, on a simulated network with a simulated clock.
type scene struct {
	fabric        *memnet.Fabric
	client        *memnet.Process
	front         *front.Front
	extraArrivals int // repeated arrivals that the proxy may cause, besides its share of the requests
	faults        calls.Faults
}

// runScene runs a test of a proxy with workers. A worker's phase determines its service.
func runScene(t *testing.T, workers []*worker, test func(c *qt.C, s *scene)) {
	t.Helper()
	runSceneWithExtra(t, sceneExtra, workers, test)
}

// runSceneWithExtra is runScene with its own bound on repeated arrivals.
func runSceneWithExtra(t *testing.T, extra int, workers []*worker, test func(c *qt.C, s *scene)) {
	t.Helper()
	runSceneWithFaults(t, calls.Faults{}, extra, workers, test)
}

// runSceneWithFaults is runSceneWithExtra with a proxy that has injected faults.
func runSceneWithFaults(t *testing.T, faults calls.Faults, extra int, workers []*worker, test func(c *qt.C, s *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &scene{fabric: memnet.New(linkDelay), extraArrivals: extra, faults: faults}
		s.client = s.fabric.Machine(clientIP).Process()
		proxy := s.fabric.Machine(proxyIP).Process()
		stops := []func(){s.client.Kill, proxy.Kill}
		for i, w := range workers {
			w.ip = fmt.Sprintf("10.0.1.%d", i)
			process := s.fabric.Machine(w.ip).Process()
			stops = append(stops, process.Kill)
			listener, err := process.Listen(w.address())
			c.Assert(err, qt.IsNil)
			go w.serve(listener)
		}
		defer func() {
			for _, end := range stops {
				end()
			}
			time.Sleep(settleTime) // the simulated clock stops once the test has returned
		}()
		defer s.startProxy(c, proxy, workers)()
		test(c, s)
	})
}

// routeTo returns a route of the scene's configuration. Its paths begin with its name.
func routeTo(name, kind, service string, tries int, pickUp bool) string {
	return fmt.Sprintf(sceneRoute, name, "/"+name+"/", kind, giveUp.Milliseconds(), service, tries, pickUp)
}

// startProxy starts the proxy and returns a function that stops its lanes.
func (s *scene) startProxy(c *qt.C, proxy *memnet.Process, workers []*worker) (end func()) {
	configuration, err := opconf.Parse([]byte(fmt.Sprintf(sceneRoutes, strings.Join([]string{
		routeTo("harmless", "harmless", "plain", tries, false),
		routeTo("risky", "risky", "plain", tries, false),
		routeTo("stream", "flowing", "model", tries, false),
		routeTo("picked", "flowing", "model", manyTries, true),
		routeTo("two", "flowing", "model", 2, true),
		routeTo("one", "flowing", "model", 1, true),
	}, ","))))
	c.Assert(err, qt.IsNil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	toWorkers := calls.New(upstream.NewPoolOn(run.WorkerTerms(proxy), upstream.NewBudget(1000), dialTimeout, idleTimeout))
	toWorkers.Faults = s.faults
	surroundings := lane.Environment{
		Calls: toWorkers, Zone: "zone", Zones: []string{"zone"}, Log: logger,
		Budget: budget.Terms{Window: 10 * time.Second, Ratio: 0.2, Extra: s.extraArrivals},
	}
	lanes := map[string]*lane.Lane{}
	for _, service := range configuration.Services {
		var routes []opconf.Route
		for _, route := range configuration.Routes {
			if route.Shares[0].Service == service.Name {
				routes = append(routes, route)
			}
		}
		var list []registry.Worker
		for _, w := range workers {
			if (service.Runner != nil) == (w.phase != "") {
				list = append(list, registry.Worker{ID: w.name, Service: service.Name, Address: w.address(), Zone: "zone",
					Capacity: 64, State: registry.Up, Phase: w.phase})
			}
		}
		served := lane.New(service, surroundings, 1)
		served.Configure(service, routes, 1)
		served.List(list, nil)
		lanes[service.Name] = served
	}
	s.front = &front.Front{Calls: toWorkers}
	s.front.SetRouting(&front.Routing{Table: configuration.Table(), Limits: configuration.Limits, Lanes: lanes})
	listener, err := proxy.Listen(frontAddress)
	c.Assert(err, qt.IsNil)
	limiter := bounds.New(nil)
	server := limiter.Server(s.front, log.New(io.Discard, "", 0))
	go func() { _ = server.Serve(limiter.Listen(listener)) }() // ends with the process
	return func() {
		for _, served := range lanes {
			served.Stop()
		}
	}
}

// answer is what a client received.
type answer struct {
	status   int // 0: no answer
	header   http.Header
	body     string
	chunked  bool
	complete bool
	took     time.Duration // until the answer's end
}

// send sends a request with the given header lines and body, and reads the answer.
func (s *scene) send(c *qt.C, path, body string, lines ...string) answer {
	return s.sendAs(c, "1", path, body, lines...)
}

// sendAs is send with a given request id.
func (s *scene) sendAs(c *qt.C, id, path, body string, lines ...string) answer {
	head := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Token-Count: 2000,20\r\nX-Prompt-Start: aa:1200,bb:800\r\n"
	lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	return s.exchange(c, head+strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
}

// exchange sends a raw request on a connection of its own and reads the answer.
func (s *scene) exchange(c *qt.C, request string) answer {
	connection, err := s.client.Dial(c.Context(), frontAddress, network.DialOptions{Timeout: time.Second})
	c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }() // the answer was read
	c.Assert(connection.SetDeadline(time.Now().Add(clientTimeout)), qt.IsNil)
	start := time.Now()
	go func() { _, _ = io.WriteString(connection, request) }()
	received := readAnswer(connection, start)
	// Guards against a success that no worker gave (docs/incidents/empty-200.md), whatever happens to the request.
	sealed := received.status/100 != 2 || received.header.Get("X-Server-Seal") != ""
	c.Check(sealed, qt.IsTrue, qt.Commentf("status %d with body %q and no X-Server-Seal", received.status, received.body))
	return received
}

// readAnswer reads an answer to its end.
func readAnswer(connection net.Conn, start time.Time) answer {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer{took: time.Since(start)}
	}
	text, err := io.ReadAll(response.Body)
	return answer{
		status:   response.StatusCode,
		header:   response.Header,
		body:     string(text),
		chunked:  len(response.TransferEncoding) > 0,
		complete: err == nil,
		took:     time.Since(start),
	}
}

// respond answers every request with the same bytes, once its body has been read.
func respond(text string) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, text)
		return true
	}
}

// delayed delays a reply.
func delayed(wait time.Duration, next reply) reply {
	return func(connection *memnet.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(wait)
		return next(connection, request)
	}
}

// neverRespond accepts a request and sends nothing until the caller disconnects.
func neverRespond(connection *memnet.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, connection)
	return false
}

const (
	notRun     = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	served     = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nserved"
	readPrompt = "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" + `{"prompt_ticket":"ticket","version":1}`
	flowing    = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
	event      = "id: 1\ndata: token\n\n"
)
