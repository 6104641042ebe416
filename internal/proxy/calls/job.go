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
	calls   *Calls
	request *Request
	budget  RetryBudget

	mu             sync.Mutex
	closed         bool     // the client has its final answer, or has left: nothing more is written
	held           *ticket  // of the last read, until it is taken or released
	prefills       int      // calls to have the prompt read that workers took up or turned away
	failedPrefills int      // of them those that workers took up and failed
	prefilledFirst bool     // the first call had the prompt read
	runs           int      // calls to have the request run
	mayHaveRun     int      // of them those that may have run it
	extraTaken     bool     // the allowance has one more arrival for this request that has not come about yet
	stateLost      bool     // a prompt's memory was once taken for lost and the prompt read anew
	failure        *Failure // a worker's answer that is no success; the last one
	connections    []uint64 // on which an answer has come
	brokenAt       []string // names of the workers at which the request's stream broke
	avoided        int      // times that one of them was chosen again
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
func NewJob(calls *Calls, request *Request, budget RetryBudget) *Job {
	return &Job{calls: calls, request: request, budget: budget}
}

// Arrival serves core.Job.
func (j *Job) Arrival(id brain.RequestID) brain.Arrived { return j.request.arrival(id) }

// Over serves core.Job.
func (j *Job) Over() {}

// Close bars all that was not written yet. mayHaveRun tells whether a worker may have run the request, or may still.
func (j *Job) Close() (mayHaveRun bool, failure *Failure) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	return j.mayHaveRun > 0, j.failure
}

// Try serves core.Job.
func (j *Job) Try(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if err := j.avoid(worker); err != nil {
		return core.Reply{}, err
	}
	if worker.Role == RoleReading {
		return j.prefill(ctx, worker, clear)
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

// maxFailedPrefills is how many workers may take a prompt up and fail: what more calls would take of the allowance, other
// requests need.
const maxFailedPrefills = 3

// prefill has a worker prefill the prompt, unless a few have failed to.
func (j *Job) prefill(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if j.locked(func() bool { return j.failedPrefills >= maxFailedPrefills }) {
		return core.Reply{}, noAttemptLeft()
	}
	first := j.locked(func() bool { return j.prefills == 0 })
	if first && !j.budget.HasSpare() || !first && !j.takeExtra(ExtraPrefill) {
		return core.Reply{}, noAttemptLeft()
	}
	reply, err := j.sendPrefill(ctx, worker, clear)
	if ctx.Err() == nil {
		j.countFailedPrefill(err)
	}
	return reply, err
}

// countFailedPrefill counts the failure of a worker that may have begun to read. What was turned away does not count, nor
// what was called off.
func (j *Job) countFailedPrefill(err error) {
	attempt, failed := err.(*core.AttemptError)
	if !failed || attempt.Stage < core.Written {
		return
	}
	if attempt.Verdict == core.NoVerdict || attempt.Verdict == core.Faulted {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.failedPrefills++
	}
}

// sendPrefill makes one call to have the prompt read.
func (j *Job) sendPrefill(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	headers := []string{headerStage, RoleReading, headerMeantServer, worker.Name}
	answer, err := j.call(ctx, worker, traffic.Read, clear, headers, func() {
		j.prefills++
		if j.calls.OnPrefill != nil {
			j.calls.OnPrefill()
		}
	})
	first := j.locked(func() bool { return j.prefills == 1 && j.runs == 0 })
	if err != nil {
		return core.Reply{}, err
	}
	if err := j.checkOwner(answer); err != nil {
		return core.Reply{}, err
	}
	body, err := answer.Small()
	if err != nil && !notRun(answer) {
		return core.Reply{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return core.Reply{}, j.prefillError(answer, body)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.prefilledFirst = first
	j.held = &ticket{
		reader:  worker,
		id:      gjson.GetBytes(body, "prompt_ticket").String(),
		version: gjson.GetBytes(body, "version").Int(),
	}
	return core.Reply{}, nil
}

// prefillError takes a worker's word that it has not read the prompt. One that finds the prompt at fault speaks for all: the
// client gets its answer. Other failures are not the client's, as nothing has run.
func (j *Job) prefillError(answer *upstream.Answer, body []byte) error {
	e := errorOf(answer)
	if e.Verdict == core.Rejected {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.failure = &Failure{Status: answer.StatusCode, Header: answer.Header, Body: body}
	}
	return e
}

// run has a worker run the request, unless as many have as may or the allowance has no room.
func (j *Job) run(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if j.locked(j.exhausted) {
		return core.Reply{}, noAttemptLeft()
	}
	first := j.locked(j.runIsFirstAttempt)
	if !first && !j.takeExtra(j.extraRunReason()) {
		return core.Reply{}, noAttemptLeft()
	}
	reply, err := j.sendRun(ctx, worker, clear)
	if first && err != nil && j.locked(func() bool { return j.runs > 0 && j.prefills > 0 }) {
		j.budget.Charge(ExtraFailedFirstRun) // of a request that has not run the read before it counts
	}
	return reply, err
}

// sendRun makes one call to have the request run, from the memory of the last read if there is one.
func (j *Job) sendRun(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	held := j.ticket()
	headers := []string{headerMeantServer, worker.Name}
	if held != nil {
		headers = append(headers, headerKvFrom, held.reader.Addr+"/"+held.id)
	}
	answer, err := j.call(ctx, worker, traffic.Run, clear, headers, func() {
		j.runs++
		j.mayHaveRun++
	})
	if err != nil {
		return core.Reply{}, j.recordUnwritten(err)
	}
	if err := j.checkOwner(answer); err != nil {
		return core.Reply{}, err
	}
	return j.handleAnswer(worker, answer, held)
}

// call writes the request to a worker with headers of our own, names and values in turn, unless it is called off or closed
// by then. It is counted under the lock just before it is written.
func (j *Job) call(ctx context.Context, worker core.Worker, kind traffic.Kind, clear func() error, headers []string, count func()) (*upstream.Answer, error) {
	encode := func() ([]byte, error) {
		if err := clear(); err != nil {
			return nil, err
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.closed {
			return nil, core.ErrCalledOff
		}
		count()
		j.extraTaken = false
		return j.request.encode(workerDeadline(ctx, j.request), headers...), nil
	}
	answer, err := j.calls.pool.DoAtWrite(ctx, worker.Addr, j.request.Method, kind, j.connectionUsed, encode)
	if err == nil {
		j.recordConnection(answer.Connection())
	}
	return answer, err
}

// connectionUsed tells whether an answer to this request has come on a connection: a surplus one may still come there, and nothing
// tells it from the answer to another attempt.
func (j *Job) connectionUsed(connection uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.connections, connection) && !j.calls.Faults.SameConnection
}

func (j *Job) recordConnection(connection uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.connections = append(j.connections, connection)
}

// handleAnswer takes the answer to a request that was sent to run.
func (j *Job) handleAnswer(worker core.Worker, answer *upstream.Answer, held *ticket) (core.Reply, error) {
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	if success && answer.Header.Get(headerSeal) == "" {
		answer.Close()
		return core.Reply{}, &core.AttemptError{Stage: core.Head, Verdict: core.Mishap, Err: errNoSeal}
	}
	if success && j.request.Terms.Streaming {
		if err := answer.First(); err != nil {
			return core.Reply{}, err
		}
		j.dropTicket()
		return core.Reply{Stream: &Stream{Answer: answer, worker: worker.Name}}, nil
	}
	body, err := answer.Whole(maxBody)
	if notRun(answer) {
		j.recordNotRun()
		e := errorOf(answer)
		if held != nil && answer.StatusCode == http.StatusServiceUnavailable {
			j.recordMiss(held, e)
		}
		return core.Reply{}, e
	}
	if err != nil {
		return core.Reply{}, err
	}
	if success {
		j.dropTicket()
		return core.Reply{Stream: &bufferedAnswer{status: answer.StatusCode, header: answer.Header, body: body}}, nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failure = &Failure{Status: answer.StatusCode, Header: answer.Header, Body: body}
	return core.Reply{}, errorOf(answer)
}

// maxMisses is how many writers may turn away a request whose prompt was read anew: each is a further arrival, and what
// more of them would take of the allowance, other requests need.
const maxMisses = 4

// recordMiss notes that a writer did not run the request for want of room or of the prompt's memory: the answer does not
// tell which. When a second writer says so, the memory is taken for lost, once for a request: after that it is the
// writers that are full, and reading the prompt again and again would take the readers from others. A few writers later
// the request ends.
func (j *Job) recordMiss(held *ticket, e *core.AttemptError) {
	j.mu.Lock()
	defer j.mu.Unlock()
	held.misses++
	switch {
	case j.stateLost && held.misses >= maxMisses:
		e.Err = fmt.Errorf("%w: %w", e.Err, core.ErrShut)
	case !j.stateLost && held.misses > 1:
		j.stateLost = true
		j.held = nil
		e.Verdict = core.StateGone
		go j.calls.release(context.Background(), held) // it may be there all the same, and nobody else would let go of it
	}
}

// dropTicket notes that the prompt's memory is with the writer.
func (j *Job) dropTicket() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.held = nil
}

// recordNotRun notes a worker's word that it has not run the request.
func (j *Job) recordNotRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.mayHaveRun--
}

// recordUnwritten takes the error of a call without an answer: one that was not written whole can't have run.
func (j *Job) recordUnwritten(err error) error {
	attempt, ok := err.(*core.AttemptError)
	if ok && attempt.Stage == core.PartlyWritten {
		j.recordNotRun()
	}
	return err
}

func (j *Job) ticket() *ticket {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.held
}

// locked asks about the job's counts under its lock.
func (j *Job) locked(check func() bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return check()
}

// checkOwner checks that an answer belongs to this request: a surplus one may stand in its place. One without an id is taken for
// its checkOwner only where no other can have come, and its connection carries nothing more.
func (j *Job) checkOwner(answer *upstream.Answer) error {
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
	return &core.AttemptError{Stage: core.Written, Verdict: core.Mishap, Err: errOtherRequest}
}

// workerDeadline is when the worker's work is of no more use.
func workerDeadline(ctx context.Context, request *Request) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(request.Deadline) {
		return deadline
	}
	return request.Deadline
}
