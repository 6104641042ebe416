// Package core carries requests through the decision module: it knows requests, attempts and outcomes, and no
// wire. It owns the module's Scheduler behind one lock, the clock, the timers, and a mailbox for each request,
// into which the module's actions go; nothing waits or does I/O under the lock.
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
	Role       string // as the list words it
	Label      string // of the program's version, where the list tells
}

// Stream is the answer of a worker that has begun.
type Stream interface {
	// Next gives the next bytes as they came. io.EOF, and nothing else, says that the answer is whole.
	Next() ([]byte, error)
	// Close gives the answer up, or does nothing after its end. It may be called while Next waits.
	Close()
}

// Reply is what a worker answered: a Stream, or the word that the prompt has been read.
type Reply struct {
	Stream       Stream
	CachedTokens float64 // prompt tokens that the reader found kept; where Stream is nil
}

// Job is one request as its front took it: what the module must know, and how it is sent to a worker.
type Job interface {
	// Arrival describes the request under the id that the core has minted for it.
	Arrival(id brain.RequestID) brain.Arrived
	// Try sends the request to a worker. Just before it writes anything it asks clear, also after a slow dial,
	// and ends with that error if there is one. Every error is an *AttemptError.
	Try(ctx context.Context, w Worker, clear func() error) (Reply, error)
	// Release lets go, at whatever worker, of all that is held for the request.
	Release(ctx context.Context, w Worker) error
	// Done is told last: the request has its answer, no attempt is out and no release under way.
	Done()
}

// Client is the receiving end of one request. It gets exactly one of Refuse, Fail, Finish and Break, unless it
// has left.
type Client interface {
	Refuse(holdOff time.Duration) // trying again is harmless
	Fail()                        // nothing is promised: it may have run
	Pass(events []byte) error
	Finish() // the stream was whole
	Break()  // it was not: the client must be able to tell
}

// Opener is a Client that is shown the answer that it will get before its first Pass.
type Opener interface{ Open(Stream) }

// Prober tests a worker as the module asks.
type Prober interface {
	Probe(ctx context.Context, w Worker) error
	// Forget lets go of what is kept for a worker to which nothing new goes.
	Forget(w Worker)
}

// Core routes requests. Use New, then Run.
type Core struct {
	log    logrus.FieldLogger
	prober Prober
	start  time.Time
	unix   time.Duration // of zero

	mu           sync.Mutex
	sched        *brain.Scheduler
	actions      []brain.Action
	workers      map[brain.EngineID]*Worker
	requests     map[brain.RequestID]*request
	lastID       brain.RequestID
	timers       timerHeap
	timerChanged chan struct{} // the first timer has changed
	lastEvent    time.Duration // when the module was last told anything
	paused       time.Duration // for how long in all this process was not running
	refusing     bool          // nothing new is taken any more

	decisions Decisions
}

// New makes a core. The seed settles the module's draws.
func New(set brain.Settings, seed uint64, prober Prober, log logrus.FieldLogger) *Core {
	now := time.Now()
	return &Core{log: log, prober: prober, start: now, unix: time.Duration(now.UnixNano()),
		sched: brain.New(set, seed), workers: map[brain.EngineID]*Worker{},
		requests:     map[brain.RequestID]*request{},
		decisions:    Decisions{Refused: map[brain.Reason]uint64{}, Failed: map[brain.Reason]uint64{}},
		lastID:       brain.RequestID(now.UnixMicro()), // ids of an earlier start do not come again
		timerChanged: make(chan struct{}, 1)}
}

// UpdateSettings has the module take new settings for requests that come from now on.
func (c *Core) UpdateSettings(set brain.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sched.UpdateSettings(set)
}

// now is the time by the monotonic clock, counted like Unix time so that discovery's times compare with it.
func (c *Core) now() time.Duration { return c.unix + time.Since(c.start) }

// Listed brings news of the workers.
func (c *Core) Listed(kind brain.ListKind, list []Worker) {
	for _, w := range c.updateWorkers(kind, list) {
		c.prober.Forget(w)
	}
}

// updateWorkers takes the news and gives the workers that get nothing new by it.
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

// handle hands one event to the module and carries out what comes back. The lock is held. A panic of the
// module ends there: what it should have decided is left to the deadline of the request.
func (c *Core) handle(ev brain.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("event", ev).Errorf("the module panicked: %v\n%s", p, debug.Stack())
		}
	}()
	now := c.now()
	c.notePause(now)
	c.actions = c.sched.Handle(now, ev, c.actions[:0])
	for _, action := range c.actions {
		c.dispatch(action)
	}
}

// minPause is the time without an event from which the process counts as not having run: the module's own timer
// comes several times as often.
const minPause = time.Second

// notePause notes at an event whether the process was paused before it. The lock is held.
func (c *Core) notePause(now time.Duration) {
	if gap := now - c.lastEvent; c.lastEvent > 0 && gap > minPause {
		c.paused += gap
		c.log.WithField("for", gap).Warn("the process was paused")
	}
	c.lastEvent = now
}

// took is how long a worker took for what was sent: a pause of ours is not its time. Were it taken for that, the
// module would turn all away for what the worker is thought to take, and send nothing that could disprove it.
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

// deliver is handle for those who do not hold the lock.
func (c *Core) deliver(ev brain.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(ev)
}

// Run fires the module's timers until ctx ends.
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

// idlePoll is how often Settle looks.
const idlePoll = 5 * time.Millisecond

// WaitIdle waits until nothing is out for any request, no attempt and no release of what is held, or until ctx ends. A
// process that ended before would leave its states pinned: the client has its answer sooner than its state is let go.
func (c *Core) WaitIdle(ctx context.Context) {
	every := time.NewTicker(idlePoll)
	defer every.Stop()
	for c.Open() > 0 {
		select {
		case <-ctx.Done():
			c.log.WithField("requests", c.Open()).Warn("ending with work still out")
			return
		case <-every.C:
		}
	}
}

// Open is how many requests there are, ended ones among them whose attempts are still out.
func (c *Core) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// TrackOpen has the requests that are open by now counted until they have ended: those that come later are not.
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

// fire fires what is due and tells how long to wait for the next.
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

// probeTimeout is how long a probe is waited for.
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

// Timers of one time fire in the order in which they were set only by chance; the module does not depend on it.
type timerHeap []brain.SetTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a timer; it serves container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(brain.SetTimer)) }

// Pop removes the last; it serves container/heap.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
