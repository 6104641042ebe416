package core

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"sumacloft/brain"
)

// request is one request between its arrival and the end of its last attempt. The core's lock guards it.
type request struct {
	id       brain.RequestID
	job      Job
	deadline time.Time
	inbox    []any // *attempt to start, *startedAttempt, brain.Refuse or brain.Fail, in order
	wake     chan struct{}
	attempts []*attempt
	out      int // attempts whose end was not reported to the scheduler, and releases under way
	decided  bool
	detached bool // its task has ended: nothing reads the inbox

	decisions *Decisions // of the core
}

// attempt is one send of a request to a worker.
type attempt struct {
	number    int
	worker    Worker
	sent      time.Time
	paused    time.Duration // the core's total pause when it was sent
	ctx       context.Context
	cancel    context.CancelCauseFunc
	cancelled bool // cancelled, or never to be started
	cleared   bool // may be written: from here on the worker may have it
	started   bool
}

// startedAttempt is an attempt whose answer has begun.
type startedAttempt struct {
	*attempt
	stream Stream
}

// Do serves one request from its arrival to its final answer: it carries out what the scheduler decides. ctx is cancelled
// when the client has left; only then may the client get no answer. It may also have a deadline, which ends the answer.
func (c *Core) Do(ctx context.Context, job Job, client Client) {
	r := c.arrive(job)
	defer c.detach(r)
	for {
		switch m := c.next(ctx, r).(type) {
		case *attempt: // the scheduler has chosen a worker; the attempt itself reports its end
			go c.try(r, m)
		case *startedAttempt: // from here on the request belongs to this attempt
			c.relay(ctx, r, m, client)
			return
		case brain.Refuse:
			client.Refuse(m.HoldOff)
			return
		case brain.Fail:
			client.Fail()
			return
		case nil:
			c.abandon(ctx, r)
			return
		}
	}
}

func (c *Core) arrive(job Job) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	arrived := job.Arrival(c.lastID)
	r := &request{id: c.lastID, job: job, deadline: time.Now().Add(arrived.Timeout), wake: make(chan struct{}, 1), decisions: &c.decisions}
	c.requests[r.id] = r
	if c.refusing {
		r.fail(reasonUndecided)
		return r
	}
	c.handle(arrived)
	return r
}

// overdueAfter is how long after its deadline an undecided request fails. It is a little later than the scheduler's
// own timer, which may be late on a busy core, and well within the time in which an answer still counts.
const overdueAfter = 25 * time.Millisecond

// next waits for the next inbox entry. It returns nil if the client has left. If the scheduler has not decided by the
// deadline, the request fails here, since an answer is owed. Only a fault of the scheduler or a pause of this process can
// cause that. A context that ends by its own deadline does not mean that the client has left.
func (c *Core) next(ctx context.Context, r *request) any {
	overdue := time.NewTimer(time.Until(r.deadline) + overdueAfter)
	defer overdue.Stop()
	for {
		c.mu.Lock()
		if len(r.inbox) > 0 {
			m := r.inbox[0]
			r.inbox = r.inbox[1:]
			c.mu.Unlock()
			return m
		}
		c.mu.Unlock()
		select {
		case <-r.wake:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil
			}
			c.overdue(r) // the answer is in the inbox now
			ctx = context.Background()
		case <-overdue.C:
			c.overdue(r)
		}
	}
}

// abandon ends a request whose client has left.
func (c *Core) abandon(ctx context.Context, r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisions.Abandoned++
	c.log.WithField("request", r.id).WithField("decided", r.decided).WithError(context.Cause(ctx)).Debug("the client left before its answer")
	c.handle(brain.ClientGone{Request: r.id})
}

func (c *Core) overdue(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.decided {
		c.log.WithField("request", r.id).Error("the scheduler did not decide by the deadline")
		r.fail(reasonUndecided)
		c.handle(brain.ClientGone{Request: r.id})
	}
}

// RefuseNew refuses every request that arrives from now on. Nothing of it is sent, and the client may retry elsewhere
// at once. Requests accepted before go on.
func (c *Core) RefuseNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
}

// EndUndecided ends every request without an answer like one that the scheduler did not decide in time. It is called
// when the process is about to be killed: state held for those requests would otherwise stay held. Each request
// fails, which promises nothing, or is refused if it was never sent. The scheduler gets a ClientGone for it, so it
// cancels the attempts and releases what they hold. Streams that have begun continue, since their state is already
// fetched. Requests that still arrive on open connections are refused at once: there is no time left to serve them.
func (c *Core) EndUndecided() (ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
	for _, r := range c.requests {
		if !r.decided && !r.detached {
			r.fail(reasonUndecided)
			c.handle(brain.ClientGone{Request: r.id})
			ended++
		}
	}
	return ended
}

// post adds an entry to the inbox. The lock is held.
func (r *request) post(m any) {
	r.inbox = append(r.inbox, m)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end sets the final answer, once, and counts it.
func (r *request) end(answer brain.Action) {
	if !r.decided {
		r.decided = true
		r.decisions.count(answer)
		r.post(answer)
	}
}

// fail ends a request as one that may have run. If it was never sent, it is refused instead: what is still to be
// written never will be, and the client learns that a retry is harmless.
func (r *request) fail(reason brain.Reason) {
	if r.decided {
		return
	}
	if slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.cleared }) {
		r.end(brain.Fail{Request: r.id, Reason: reason})
		return
	}
	for _, a := range r.attempts {
		a.abort()
	}
	r.end(brain.Refuse{Request: r.id, Reason: reason})
}

// send creates the next attempt. One that can no longer be made is reported as not sent, since each Send has exactly
// one end. The report is asynchronous, because the scheduler is still handling an event.
func (r *request) send(c *Core, s brain.Send) {
	a := &attempt{number: len(r.attempts), sent: time.Now(), paused: c.paused}
	a.worker.ID = s.Engine
	limit := r.deadline
	if s.Timeout > 0 && a.sent.Add(s.Timeout).Before(limit) {
		limit = a.sent.Add(s.Timeout)
	}
	ctx, stop := context.WithDeadlineCause(context.Background(), limit, ErrExpired)
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx, a.cancel = ctx, func(cause error) { cancel(cause); stop() }
	r.attempts = append(r.attempts, a)
	r.out++
	w := c.workers[s.Engine]
	if w == nil || r.detached || r.decided {
		go c.ended(r, a, brain.Ended{Result: brain.NotSent})
		return
	}
	a.worker = *w
	r.post(a)
}

func (a *attempt) abort() {
	if !a.started {
		a.cancelled = true
		a.cancel(ErrCancelled)
	}
}

// try makes one attempt and reports its end, or hands over the answer that begins. A panic ends here, as an attempt
// that may have run.
func (c *Core) try(r *request, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Errorf("attempt panicked: %v\n%s", p, debug.Stack())
			c.ended(r, a, brain.Ended{Result: brain.Broke})
		}
	}()
	reply, err := r.job.Try(a.ctx, a.worker, func() error { return c.clear(a) })
	switch {
	case err != nil:
		e := brain.Ended{}
		e.Result, e.NoState = result(err)
		e.Last = errors.Is(err, ErrSendingForbidden) // another worker would not get it either
		c.log.WithFields(logFields(r, a)).WithError(err).Debug("attempt ended")
		c.ended(r, a, e)
	case reply.Stream == nil:
		c.ended(r, a, brain.Ended{Result: brain.Read, CachedTokens: reply.CachedTokens})
	case !c.claim(r, a, reply.Stream):
		reply.Stream.Close()
		c.ended(r, a, brain.Ended{Result: brain.Cancelled})
	}
}

func logFields(r *request, a *attempt) map[string]any {
	return map[string]any{"request": r.id, "attempt": a.number, "worker": a.worker.Name}
}

// clear is called just before a write. The list may have changed since the scheduler chose the worker, and a dial
// takes time. A write long after the worker's drain was announced violates an invariant.
func (c *Core) clear(a *attempt) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.cancelled {
		return ErrCancelled
	}
	if w := c.workers[a.worker.ID]; w == nil || w.Availability != brain.Ready {
		return ErrNotReady
	}
	a.cleared = true
	return nil
}

// claim gives the request to the attempt whose answer has begun, unless it is decided or the attempt was cancelled.
// Both are settled under the lock, so no client gets two answers.
func (c *Core) claim(r *request, a *attempt, s Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.cancelled || r.decided || r.detached {
		return false
	}
	a.started, r.decided = true, true
	r.post(&startedAttempt{a, s})
	c.handle(brain.Started{Request: r.id, Attempt: a.number, Engine: a.worker.ID, Took: c.took(a.sent, a.paused)})
	return true
}

// relay forwards the stream to its end. No deadline applies, and nothing more is sent for the request.
func (c *Core) relay(ctx context.Context, r *request, b *startedAttempt, client Client) {
	if opener, ok := client.(Opener); ok {
		opener.Open(b.stream)
	}
	stop := context.AfterFunc(ctx, b.stream.Close)
	defer stop()
	defer b.stream.Close()
	for {
		events, err := b.stream.Next()
		if len(events) > 0 && client.Pass(events) != nil {
			err = context.Canceled
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			c.ended(r, b.attempt, brain.Ended{Result: brain.Served, Last: true})
			client.Finish()
			return
		case ctx.Err() != nil || errors.Is(err, context.Canceled):
			c.deliver(brain.ClientGone{Request: r.id})
			c.ended(r, b.attempt, brain.Ended{Result: brain.Cancelled, Last: true})
			client.Break()
			return
		default:
			c.log.WithFields(logFields(r, b.attempt)).WithError(err).Info("stream broke before its end")
			client.Break()
			e := brain.Ended{Last: true}
			e.Result, _ = result(err)
			c.ended(r, b.attempt, e)
			return
		}
	}
}

// ended reports the end of an attempt to the scheduler, once for each.
func (c *Core) ended(r *request, a *attempt, e brain.Ended) {
	a.cancel(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Request, e.Attempt, e.Engine, e.Took = r.id, a.number, a.worker.ID, c.took(a.sent, a.paused)
	r.out--
	if e.Last {
		r.fail(reasonUndecided) // no effect if it has its answer
	}
	c.handle(e)
	c.forget(r)
}

// detach ends the request's task. Attempts that it did not start will never be started.
func (c *Core) detach(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.detached = true
	for _, m := range r.inbox {
		switch m := m.(type) {
		case *attempt:
			go c.ended(r, m, brain.Ended{Result: brain.NotSent})
		case *startedAttempt: // its answer began as the client left
			m.stream.Close()
			go c.ended(r, m.attempt, brain.Ended{Result: brain.Cancelled, Last: true})
		}
	}
	r.inbox = nil
	c.forget(r)
}

// forget drops a request that has its answer and nothing under way.
func (c *Core) forget(r *request) {
	if r.detached && r.out == 0 {
		delete(c.requests, r.id)
		r.job.Done()
	}
}

// released records the end of a release.
func (c *Core) released(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.out--
	c.forget(r)
}

// ready lists the ready workers in random order, so that a silent one is not the first that every release asks.
func (c *Core) ready() []Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Worker, 0, len(c.workers))
	for _, w := range c.workers {
		if w.Availability == brain.Ready {
			list = append(list, *w)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
