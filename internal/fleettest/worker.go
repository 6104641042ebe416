package fleettest

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/mesh/network"
)

// The phases of workers.
const (
	Reading = "reading"
	Writing = "writing"
)

const (
	// beatInterval is how often workers send heartbeats.
	beatInterval = time.Second
	// emptyOut is how long a worker serves on after the acknowledgement that it leaves.
	emptyOut = 2 * time.Second
	// ticketHold is how long a worker holds the memory of a prompt.
	ticketHold = 4 * time.Second
	// changeTime is how long a change of phase takes.
	changeTime = 800 * time.Millisecond
)

// Behaviour is how a worker treats requests. The zero value answers at once, with one event.
type Behaviour struct {
	TurnAway  bool          // with the word that the request has not run
	Reset     bool          // the connection, once the request has been read
	ReadTime  time.Duration // of a prompt
	FirstTime time.Duration // until a request's answer, or its first event
	Events    int           // of a stream; 0: 1
	CutAfter  int           // event of a stream behind which the connection is reset, within the next; 0: none
	Pace      time.Duration // between events
	Working   int           // requests that reports tell of while it writes
}

// Worker is a stand-in for a worker.
type Worker struct {
	ID       string
	Service  string
	IP       string
	Zone     string
	Capacity int

	fleet   *Fleet
	machine *memnet.Machine
	process *memnet.Process
	client  *http.Client
	server  *http.Server
	cancel  context.CancelFunc
	nudge   chan struct{} // a heartbeat is due now

	mu           sync.Mutex
	phase        string
	changing     bool
	leaving      bool
	behaviour    Behaviour
	beats        uint64
	orders       int // taken
	fence        uint64
	beatTo       string
	acknowledged time.Duration // of the word that it leaves
	left         chan struct{} // closed once that is acknowledged
	calls        []Call
	open         int // connections
	mostOpen     int // at once, since it was last asked
	tickets      map[string]*ticket
	lastTicket   int
}

// NewWorker starts a worker; phase is empty for services without phases. Its id names its zone and number.
func (f *Fleet) NewWorker(service, phase string, behaviour Behaviour) *Worker {
	f.mu.Lock()
	number := len(f.workers)
	f.mu.Unlock()
	w := &Worker{
		ID:        fmt.Sprintf("w-%d", number),
		Service:   service,
		IP:        fmt.Sprintf("10.2.%d.1", number),
		Zone:      f.zone(number),
		Capacity:  16,
		fleet:     f,
		phase:     phase,
		behaviour: behaviour,
		nudge:     make(chan struct{}, 1),
		left:      make(chan struct{}),
		tickets:   map[string]*ticket{},
	}
	f.mu.Lock()
	f.workers[w.Address()] = w
	f.mu.Unlock()
	w.start()
	return w
}

// Address is where the worker takes requests.
func (w *Worker) Address() string { return fmt.Sprintf("%s:%d", w.IP, workerPort) }

func (w *Worker) start() {
	w.machine = w.fleet.Network.Machine(w.IP)
	w.process = w.machine.Process()
	w.client = clientOn(w.process, false)
	listener, err := w.process.Listen(w.Address())
	if err != nil {
		w.fleet.t.Fatal(err)
	}
	w.server = &http.Server{Handler: w.handler(), ConnState: w.connection}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.fleet.process(func() { _ = w.server.Serve(listener) }, w.Crash) // ends with the process
	w.fleet.process(func() { w.beat(ctx) }, cancel)
}

// clientOn makes an HTTP client whose connections leave from a process.
func clientOn(process network.Network, keep bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression: true,
			DisableKeepAlives:  !keep,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return process.Dial(ctx, address, network.DialOptions{Timeout: time.Second})
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connection counts the connections that come and go.
func (w *Worker) connection(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.open++
		w.mostOpen = max(w.mostOpen, w.open)
	case http.StateClosed, http.StateHijacked:
		w.open--
	}
}

// MostOpen is how many connections the worker had at once since it was last asked.
func (w *Worker) MostOpen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := w.mostOpen
	w.mostOpen = w.open
	return most
}

// Behave changes how the worker treats requests.
func (w *Worker) Behave(behaviour Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviour = behaviour
}

// SeeFence has the worker refuse orders under lower fences.
func (w *Worker) SeeFence(fence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fence = fence
}

// Crash ends the worker without a word.
func (w *Worker) Crash() {
	w.cancel()
	w.process.Kill()
}

// Leave has the worker say that it leaves and wait until that is acknowledged; it serves on. It returns the time of the
// acknowledgement.
func (w *Worker) Leave() time.Duration {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.nudge <- struct{}{}
	<-w.left
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged
}

// Phase is the worker's phase.
func (w *Worker) Phase() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase
}

// Calls are the calls that reached the worker.
func (w *Worker) Calls() []Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

// Count is how many calls of a kind reached the worker for a request.
func (w *Worker) Count(kind Kind, request string) int {
	n := 0
	for _, call := range w.Calls() {
		if call.Kind == kind && call.Request == request {
			n++
		}
	}
	return n
}

// Workers are all workers, in the order of their ids.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.SortedFunc(maps.Values(f.workers), func(a, b *Worker) int { return len(a.ID) - len(b.ID) })
}

// Count is how many calls of a kind reached any worker for a request.
func (f *Fleet) Count(kind Kind, request string) int {
	n := 0
	for _, w := range f.Workers() {
		n += w.Count(kind, request)
	}
	return n
}

// worker is the one at an address; nil: there is none.
func (f *Fleet) worker(address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[address]
}
