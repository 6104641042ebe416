package calls

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/mesh/traffic"
	"sumacloft/internal/upstream"
)

// Job is one client's request on its way to workers; it serves core.Job.
type Job struct {
	calls     *Calls
	request   *Request
	allowance Allowance

	mu          sync.Mutex
	closed      bool     // the client has its final answer, or has left: nothing more is written
	held        *ticket  // of the last read, until it is taken or released
	reads       int      // calls to have the prompt read that workers took up or turned away
	failedReads int      // of them those that workers took up and failed
	readAtOnce  bool     // the first call had the prompt read
	sent        int      // calls to have the request run
	maybe       int      // of them those that may have run it
	paid        bool     // the allowance has one more arrival for this request that has not come about yet
	lost        bool     // a prompt's memory was once taken for lost and the prompt read anew
	failure     *Failure // a worker's answer that is no success; the last one
	connections []uint64 // on which an answer has come
	broke       []string // names of the workers at which the request's stream broke
	avoided     int      // times that one of them was chosen again
}

// ticket names a prompt's memory that a reading worker holds.
type ticket struct {
	reader  core.Worker
	id      string
	version int64 // of the weights that read it
	misses  int   // writers that could not have it
}

// Failure is a worker's answer that is no success, to be passed on as it is.
type Failure struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewJob makes the job of a request.
func NewJob(calls *Calls, request *Request, allowance Allowance) *Job {
	return &Job{calls: calls, request: request, allowance: allowance}
}

// Arrival serves core.Job.
func (j *Job) Arrival(id brain.RequestID) brain.Arrived { return j.request.arrival(id) }

// Done serves core.Job.
func (j *Job) Done() {}

// Close bars all that was not written yet. mayHaveRun tells whether a worker may have run the request, or may still.
func (j *Job) Close() (mayHaveRun bool, failure *Failure) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	return j.maybe > 0, j.failure
}

// Try serves core.Job.
func (j *Job) Try(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if err := j.avoid(worker); err != nil {
		return core.Reply{}, err
	}
	if worker.Role == RoleReading {
		return j.read(ctx, worker, clear)
	}
	return j.run(ctx, worker, clear)
}

// Release serves core.Job: the reader that holds the prompt's memory is told, whichever worker is named.
func (j *Job) Release(ctx context.Context, _ core.Worker) error {
	j.mu.Lock()
	held := j.held
	j.held = nil
	j.mu.Unlock()
	if held != nil {
		j.calls.release(ctx, held)
	}
	return nil
}

// mostFailedReads is how many workers may take a prompt up and fail: what more calls would take of the allowance, other
// requests need.
const mostFailedReads = 3

// read has a worker read the prompt, unless a few have failed to.
func (j *Job) read(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if j.again(func() bool { return j.failedReads >= mostFailedReads }) {
		return core.Reply{}, spent()
	}
	first := j.again(func() bool { return j.reads == 0 })
	if first && !j.allowance.Spare() || !first && !j.pay(FurtherRead) {
		return core.Reply{}, spent()
	}
	reply, err := j.askToRead(ctx, worker, clear)
	if ctx.Err() == nil {
		j.noteFailedRead(err)
	}
	return reply, err
}

// noteFailedRead counts the failure of a worker that may have begun to read. What was turned away does not count, nor
// what was called off.
func (j *Job) noteFailedRead(err error) {
	attempt, failed := err.(*core.AttemptError)
	if !failed || attempt.Stage < core.Written {
		return
	}
	if attempt.Verdict == core.NoVerdict || attempt.Verdict == core.Faulted {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.failedReads++
	}
}

// askToRead makes one call to have the prompt read.
func (j *Job) askToRead(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	own := []string{headerStage, RoleReading, headerMeantServer, worker.Name}
	answer, err := j.call(ctx, worker, traffic.Prefill, clear, own, func() {
		j.reads++
		if j.calls.OnRead != nil {
			j.calls.OnRead()
		}
	})
	first := j.again(func() bool { return j.reads == 1 && j.sent == 0 })
	if err != nil {
		return core.Reply{}, err
	}
	if err := j.own(answer); err != nil {
		return core.Reply{}, err
	}
	text, err := answer.Small()
	if err != nil && !notRun(answer) {
		return core.Reply{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return core.Reply{}, j.unread(answer, text)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readAtOnce = first
	j.held = &ticket{
		reader:  worker,
		id:      gjson.GetBytes(text, "prompt_ticket").String(),
		version: gjson.GetBytes(text, "version").Int(),
	}
	return core.Reply{}, nil
}

// unread takes a worker's word that it has not read the prompt. One that finds the prompt at fault speaks for all: the
// client gets its answer. Other failures are not the client's, as nothing has run.
func (j *Job) unread(answer *upstream.Answer, body []byte) error {
	e := refusal(answer)
	if e.Verdict == core.Rejected {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.failure = &Failure{Status: answer.StatusCode, Header: answer.Header, Body: body}
	}
	return e
}

// run has a worker run the request, unless as many have as may or the allowance has no room.
func (j *Job) run(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if j.again(j.exhausted) {
		return core.Reply{}, spent()
	}
	free := j.again(j.runIsFree)
	if !free && !j.pay(j.whyRun()) {
		return core.Reply{}, spent()
	}
	reply, err := j.askToRun(ctx, worker, clear)
	if free && err != nil && j.again(func() bool { return j.sent > 0 && j.reads > 0 }) {
		j.allowance.Charge(FurtherFailedRun) // of a request that has not run the read before it counts
	}
	return reply, err
}

// askToRun makes one call to have the request run, from the memory of the last read if there is one.
func (j *Job) askToRun(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	held := j.ticket()
	own := []string{headerMeantServer, worker.Name}
	if held != nil {
		own = append(own, headerKvFrom, held.reader.Addr+"/"+held.id)
	}
	answer, err := j.call(ctx, worker, traffic.Run, clear, own, func() {
		j.sent++
		j.maybe++
	})
	if err != nil {
		return core.Reply{}, j.judged(err)
	}
	if err := j.own(answer); err != nil {
		return core.Reply{}, err
	}
	return j.answered(worker, answer, held)
}

// call writes the request to a worker with headers of our own, names and values in turn, unless it is called off or closed
// by then. It is counted under the lock just before it is written.
func (j *Job) call(ctx context.Context, worker core.Worker, kind traffic.Kind, clear func() error, own []string, count func()) (*upstream.Answer, error) {
	written := func() ([]byte, error) {
		if err := clear(); err != nil {
			return nil, err
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.closed {
			return nil, core.ErrCancelled
		}
		count()
		j.paid = false
		return j.request.encode(deadlineOf(ctx, j.request), own...), nil
	}
	answer, err := j.calls.pool.DoAtWrite(ctx, worker.Addr, j.request.Method, kind, j.used, written)
	if err == nil {
		j.use(answer.Connection())
	}
	return answer, err
}

// used tells whether an answer to this request has come on a connection: a surplus one may still come there, and nothing
// tells it from the answer to another attempt.
func (j *Job) used(connection uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.connections, connection) && !j.calls.Faults.SameConnection
}

func (j *Job) use(connection uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.connections = append(j.connections, connection)
}

// answered takes the answer to a request that was sent to run.
func (j *Job) answered(worker core.Worker, answer *upstream.Answer, held *ticket) (core.Reply, error) {
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	if success && answer.Header.Get(headerSeal) == "" {
		answer.Close()
		return core.Reply{}, &core.AttemptError{Stage: core.Head, Verdict: core.NetworkFault, Err: errUnsealed}
	}
	if success && j.request.Terms.Flowing {
		if err := answer.First(); err != nil {
			return core.Reply{}, err
		}
		j.taken()
		return core.Reply{Stream: &Stream{Answer: answer, worker: worker.Name}}, nil
	}
	body, err := answer.Whole(maxBody)
	if notRun(answer) {
		j.turnedAway()
		e := refusal(answer)
		if held != nil && answer.StatusCode == http.StatusServiceUnavailable {
			j.missed(held, e)
		}
		return core.Reply{}, e
	}
	if err != nil {
		return core.Reply{}, err
	}
	if success {
		j.taken()
		return core.Reply{Stream: &wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}}, nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failure = &Failure{Status: answer.StatusCode, Header: answer.Header, Body: body}
	return core.Reply{}, refusal(answer)
}

// mostMisses is how many writers may turn away a request whose prompt was read anew: each is a further arrival, and what
// more of them would take of the allowance, other requests need.
const mostMisses = 4

// missed notes that a writer did not run the request for want of room or of the prompt's memory: the answer does not
// tell which. When a second writer says so, the memory is taken for lost, once for a request: after that it is the
// writers that are full, and reading the prompt again and again would take the readers from others. A few writers later
// the request ends.
func (j *Job) missed(held *ticket, e *core.AttemptError) {
	j.mu.Lock()
	defer j.mu.Unlock()
	held.misses++
	switch {
	case j.lost && held.misses >= mostMisses:
		e.Err = fmt.Errorf("%w: %w", e.Err, core.ErrSendingForbidden)
	case !j.lost && held.misses > 1:
		j.lost = true
		j.held = nil
		e.Verdict = core.StateGone
		go j.calls.release(context.Background(), held) // it may be there all the same, and nobody else would let go of it
	}
}

// taken notes that the prompt's memory is with the writer.
func (j *Job) taken() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.held = nil
}

// turnedAway notes a worker's word that it has not run the request.
func (j *Job) turnedAway() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.maybe--
}

// judged takes the error of a call without an answer: one that was not written whole can't have run.
func (j *Job) judged(err error) error {
	attempt, ok := err.(*core.AttemptError)
	if ok && attempt.Stage == core.PartlyWritten {
		j.turnedAway()
	}
	return err
}

func (j *Job) ticket() *ticket {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.held
}

// again asks about the job's counts under its lock.
func (j *Job) again(ask func() bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return ask()
}

// own checks that an answer belongs to this request: a surplus one may stand in its place. One without an id is taken for
// its own only where no other can have come, and its connection carries nothing more.
func (j *Job) own(answer *upstream.Answer) error {
	id := answer.Header.Get(headerRequestID)
	if id == j.request.ID && id != "" || j.calls.Faults.AnyAnswer {
		return nil
	}
	if id == "" {
		j.calls.withoutID.Add(1)
	}
	if id == "" && answer.Fresh() {
		answer.Last()
		return nil
	}
	answer.Close()
	return &core.AttemptError{Stage: core.Written, Verdict: core.NetworkFault, Err: errForeign}
}

// deadlineOf is when the worker's work is of no more use.
func deadlineOf(ctx context.Context, request *Request) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(request.Deadline) {
		return deadline
	}
	return request.Deadline
}
