// Package core carries requests through the scheduler of package brain. It knows requests, attempts and outcomes, but
// no wire format. It owns the Scheduler behind one lock, the clock, the timers and an inbox for each request that
// receives the scheduler's actions. Nothing blocks or does I/O under the lock.
package core

import (
	"container/heap"
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/brain"
)

// Worker is one entry of the list of workers.
type Worker struct {
	brain.Engine
	Name, Addr string
	Role       string // as spelled in the list
	Label      string // program version, where the list has it
}

// Stream is an answer that a worker has begun.
type Stream interface {
	// Next returns the next bytes as they came. Only io.EOF means that the answer is complete.
	Next() ([]byte, error)
	// Close abandons the answer. After its end it does nothing. It may be called while Next blocks.
	Close()
}

// Reply is what a worker answered: a Stream, or the confirmation that the prompt is prefilled.
type Reply struct {
	Stream       Stream
	CachedTokens float64 // prompt tokens that the reader found cached, if Stream is nil
}

// Job is one request as its front end accepted it: what the scheduler must know, and how it is sent to a worker.
type Job interface {
	// Arrival describes the request under the ID that the core has assigned to it.
	Arrival(id brain.RequestID) brain.Arrived
	// Try sends the request to a worker. Just before it writes anything it calls clear, also after a slow dial, and
	// ends with its error if there is one. Every error is an *AttemptError.
	Try(ctx context.Context, w Worker, clear func() error) (Reply, error)
	// Release frees all that is held for the request, at any worker.
	Release(ctx context.Context, w Worker) error
	// Done is called last: the request has its answer, and no attempt or release is under way.
	Done()
}

// Client is the receiving end of one request. It gets exactly one of Refuse, Fail, Finish and Break, unless it has
// left.
type Client interface {
	Refuse(holdOff time.Duration) // a retry is harmless
	Fail()                        // no promise: the request may have run
	Pass(events []byte) error
	Finish() // the stream was complete
	Break()  // it was not; the client must be able to tell
}

// Opener is a Client that gets the stream of its answer before its first Pass.
type Opener interface{ Open(Stream) }

// Prober tests a worker as the scheduler requests.
type Prober interface {
	Probe(ctx context.Context, w Worker) error
	// Forget frees what is kept for a worker that gets no new requests.
	Forget(w Worker)
}

// Core routes requests. Use New, then Run.
type Core struct {
	log    logrus.FieldLogger
	prober Prober
	start  time.Time
	unix   time.Duration // Unix time of start

	mu           sync.Mutex
	sched        *brain.Scheduler
	actions      []brain.Action
	workers      map[brain.EngineID]*Worker
	requests     map[brain.RequestID]*request
	lastID       brain.RequestID
	timers       timerHeap
	timerChanged chan struct{} // signals that the first timer has changed
	lastEvent    time.Duration // time of the last event
	paused       time.Duration // total time in which this process was not running
	refusing     bool          // no new request is accepted

	decisions Decisions
}

// New returns a core. The seed breaks the scheduler's ties.
func New(set brain.Settings, seed uint64, prober Prober, log logrus.FieldLogger) *Core {
	now := time.Now()
	return &Core{log: log, prober: prober, start: now, unix: time.Duration(now.UnixNano()),
		sched: brain.New(set, seed), workers: map[brain.EngineID]*Worker{},
		requests:     map[brain.RequestID]*request{},
		decisions:    Decisions{Refused: map[brain.Reason]uint64{}, Failed: map[brain.Reason]uint64{}},
		lastID:       brain.RequestID(now.UnixMicro()), // IDs of an earlier start are not reused
		timerChanged: make(chan struct{}, 1)}
}

// UpdateSettings applies new scheduler settings to requests that arrive from now on.
func (c *Core) UpdateSettings(set brain.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sched.UpdateSettings(set)
}

// now is the time by the monotonic clock, as Unix time, so that times from discovery compare with it.
func (c *Core) now() time.Duration { return c.unix + time.Since(c.start) }

// Listed updates the list of workers.
func (c *Core) Listed(kind brain.ListKind, list []Worker) {
	for _, w := range c.updateWorkers(kind, list) {
		c.prober.Forget(w)
	}
}

// updateWorkers updates the list and returns the workers that get no new requests from now on.
func (c *Core) updateWorkers(kind brain.ListKind, list []Worker) (retired []Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := make([]brain.Engine, len(list))
	listed := make(map[brain.EngineID]bool, len(list))
	for i, w := range list {
		engines[i], listed[w.ID] = w.Engine, true
		if old := c.workers[w.ID]; old != nil && old.Availability == brain.Ready && (w.Availability != brain.Ready || old.Addr != w.Addr) {
			retired = append(retired, *old)
		}
		c.workers[w.ID] = &w
	}
	for id, w := range c.workers {
		if unlisted := kind != brain.ListDelta && !listed[id]; w.Availability == brain.Removed || unlisted {
			if unlisted && w.Availability == brain.Ready {
				retired = append(retired, *w)
			}
			delete(c.workers, id)
		}
	}
	c.handle(brain.Listed{Kind: kind, Engines: engines})
	return retired
}

// handle passes one event to the scheduler and carries out the returned actions. The lock is held. A panic of the
// scheduler ends here: its missing decision is left to the deadline of the request.
func (c *Core) handle(ev brain.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("event", ev).Errorf("the scheduler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	now := c.now()
	c.notePause(now)
	c.actions = c.sched.Handle(now, ev, c.actions[:0])
	for _, action := range c.actions {
		c.dispatch(action)
	}
}

// minPause is the time without an event from which the process counts as paused. The scheduler's own timer fires
// several times as often.
const minPause = time.Second

// notePause detects at an event whether the process was paused before it. The lock is held.
func (c *Core) notePause(now time.Duration) {
	if gap := now - c.lastEvent; c.lastEvent > 0 && gap > minPause {
		c.paused += gap
		c.log.WithField("for", gap).Warn("the process was paused")
	}
	c.lastEvent = now
}

// took is how long a worker took since the send, without pauses of this process. Counted as the worker's time, a
// pause would make the scheduler refuse every request for its projected wait, and send nothing that could disprove
// it.
func (c *Core) took(sent time.Time, pausedThen time.Duration) time.Duration {
	c.notePause(c.now())
	return max(time.Since(sent)-(c.paused-pausedThen), 0)
}

func (c *Core) dispatch(action brain.Action) {
	switch a := action.(type) {
	case brain.Send:
		if r := c.requests[a.Request]; r != nil {
			r.send(c, a)
		}
	case brain.Cancel:
		if r := c.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].abort()
		}
	case brain.Refuse:
		if r := c.requests[a.Request]; r != nil {
			r.end(a)
		}
	case brain.Fail:
		if r := c.requests[a.Request]; r != nil {
			r.fail(a.Reason)
		}
	case brain.Release:
		if r := c.requests[a.Request]; r != nil {
			r.out++
			go func() {
				c.release(r.job)
				c.released(r)
			}()
		}
	case brain.Probe:
		if w := c.workers[a.Engine]; w != nil {
			go c.probe(*w)
		} else {
			go c.deliver(brain.Probed{Engine: a.Engine, Result: brain.ConnectFailed})
		}
	case brain.SetTimer:
		heap.Push(&c.timers, a)
		if c.timers[0] == a {
			select {
			case c.timerChanged <- struct{}{}:
			default:
			}
		}
	case brain.Log:
		c.log.Info(a.Text)
	}
}

// deliver is handle for callers that do not hold the lock.
func (c *Core) deliver(ev brain.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(ev)
}

// Run fires the scheduler's timers until ctx ends.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(c.fire())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.timerChanged:
		}
	}
}

// idlePoll is how often WaitIdle checks.
const idlePoll = 5 * time.Millisecond

// WaitIdle waits until no attempt and no release of any request is out, or until ctx ends. A client has its answer
// before its state is released, so a process that ended earlier would leave state pinned.
func (c *Core) WaitIdle(ctx context.Context) {
	every := time.NewTicker(idlePoll)
	defer every.Stop()
	for c.Open() > 0 {
		select {
		case <-ctx.Done():
			c.log.WithField("requests", c.Open()).Warn("shutting down with requests still open")
			return
		case <-every.C:
		}
	}
}

// Open returns the number of requests, including ended ones with attempts still out.
func (c *Core) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// TrackOpen returns a function that counts how many of the now open requests have not ended. Later requests are not
// counted.
func (c *Core) TrackOpen() (remaining func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastID
	return func() (n int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for id := range c.requests {
			if id <= last {
				n++
			}
		}
		return n
	}
}

// fire fires the due timers and returns the time until the next one.
func (c *Core) fire() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) > 0 {
		if left := c.timers[0].At - c.now(); left > 0 {
			return left
		}
		c.handle(brain.TimerFired{Key: heap.Pop(&c.timers).(brain.SetTimer).Key})
	}
	return time.Hour
}

// probeTimeout is the time limit of a probe.
const probeTimeout = 250 * time.Millisecond

func (c *Core) probe(w Worker) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	out := brain.Probed{Engine: w.ID}
	if err := c.prober.Probe(ctx, w); err != nil {
		out.Result, _ = result(err)
	}
	out.Took = time.Since(began)
	c.deliver(out)
}

// Timers of equal time fire in no particular order. The scheduler does not depend on one.
type timerHeap []brain.SetTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(brain.SetTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
