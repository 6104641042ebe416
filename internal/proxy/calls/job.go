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

// Job is a client's request that is being sent to workers. It implements core.Job.
type Job struct {
	calls   *Calls
	request *Request
	budget  RetryBudget

	mu             sync.Mutex
	closed         bool     // the client has its final answer or has disconnected; nothing more is written
	held           *ticket  // of the last prefill, until it is consumed or released
	prefills       int      // prefill calls that were written to workers
	failedPrefills int      // prefill calls that workers accepted and failed
	prefilledFirst bool     // the first call was a successful prefill
	runs           int      // run calls that were written to workers
	mayHaveRun     int      // run calls after which the request may have run
	extraTaken     bool     // the retry budget has counted an extra attempt that was not written yet
	stateLost      bool     // a KV cache was treated as lost once, and the prompt prefilled again
	failure        *Failure // the last unsuccessful answer of a worker
	connections    []uint64 // IDs of connections on which an answer arrived
	brokenAt       []string // names of the workers at which the request's stream broke
	avoided        int      // how often such a worker was chosen again
}

// ticket refers to the KV cache of a prompt at a reader.
type ticket struct {
	reader  core.Worker
	id      string
	version int64 // of the model weights used for the prefill
	misses  int   // writers that could not use it
}

// Failure is an unsuccessful answer of a worker, to be forwarded unchanged.
type Failure struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewJob creates the job of a request.
func NewJob(calls *Calls, request *Request, budget RetryBudget) *Job {
	return &Job{calls: calls, request: request, budget: budget}
}

// Arrival implements core.Job.
func (j *Job) Arrival(id brain.RequestID) brain.Arrived { return j.request.arrival(id) }

// Done implements core.Job.
func (j *Job) Done() {}

// Close prevents all further writes. mayHaveRun reports whether a worker may have run the request or may still be
// running it.
func (j *Job) Close() (mayHaveRun bool, failure *Failure) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	return j.mayHaveRun > 0, j.failure
}

// Try implements core.Job.
func (j *Job) Try(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	if err := j.avoid(worker); err != nil {
		return core.Reply{}, err
	}
	if worker.Role == RoleReading {
		return j.prefill(ctx, worker, clear)
	}
	return j.run(ctx, worker, clear)
}

// Release implements core.Job. It calls the reader that holds the KV cache, whichever worker is passed.
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

// maxFailedPrefills is how many workers may accept a prompt and fail. More attempts would use up the retry budget that
// other requests need.
const maxFailedPrefills = 3

// prefill has a worker prefill the prompt, unless too many have failed to.
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

// countFailedPrefill counts the failure of a worker that may have started the prefill. Rejected and cancelled calls do
// not count.
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

// sendPrefill makes one prefill call.
func (j *Job) sendPrefill(ctx context.Context, worker core.Worker, clear func() error) (core.Reply, error) {
	headers := []string{headerStage, RoleReading, headerMeantServer, worker.Name}
	answer, err := j.call(ctx, worker, traffic.Prefill, clear, headers, func() {
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

// prefillError handles an answer of a worker that has not prefilled the prompt. If the worker rejects the prompt as
// invalid, the client gets its answer, since any worker would reject it. The client does not get other failures, as
// nothing has run.
func (j *Job) prefillError(answer *upstream.Answer, body []byte) error {
	e := errorOf(answer)
	if e.Verdict == core.Rejected {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.failure = &Failure{Status: answer.StatusCode, Header: answer.Header, Body: body}
	}
	return e
}

// run has a worker run the request, unless the maximum number of runs is reached or the retry budget denies it.
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
		j.budget.Charge(ExtraFailedFirstRun) // until the request has run, its prefill counts as an extra attempt
	}
	return reply, err
}

// sendRun makes one run call, with the KV cache of the last prefill if there is one.
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

// call writes the request to a worker with additional headers, given as alternating names and values. It writes nothing
// if the job was cancelled or closed before. count runs under the lock just before the write.
func (j *Job) call(ctx context.Context, worker core.Worker, kind traffic.Kind, clear func() error, headers []string, count func()) (*upstream.Answer, error) {
	encode := func() (upstream.Message, error) {
		if err := clear(); err != nil {
			return upstream.Message{}, err
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.closed {
			return upstream.Message{}, core.ErrCancelled
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

// connectionUsed reports whether an answer to this request has arrived on a connection. A duplicate of that answer may
// still arrive there, and could not be told from the answer to another attempt.
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

// handleAnswer handles the answer to a run call.
func (j *Job) handleAnswer(worker core.Worker, answer *upstream.Answer, held *ticket) (core.Reply, error) {
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	if success && answer.Header.Get(headerSeal) == "" {
		answer.Close()
		return core.Reply{}, &core.AttemptError{Stage: core.Head, Verdict: core.NetworkFault, Err: errNoSeal}
	}
	if success && j.request.Terms.Streaming {
		if err := answer.First(); err != nil {
			return core.Reply{}, err
		}
		j.dropTicket()
		return core.Reply{Stream: &Stream{Answer: answer, worker: worker.Name}}, nil
	}
	body, err := answer.WholeFor(maxBody, j.request.Holder)
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

// maxMisses is how many writers may turn a request away after its prompt was prefilled again. Each is an extra attempt,
// and more of them would use up the retry budget that other requests need.
const maxMisses = 4

// recordMiss counts a writer that did not run the request because it was full or could not get the KV cache. The answer
// does not distinguish the two. After the second such writer the KV cache is treated as lost, but only once per
// request. Later misses mean that the writers are full, and repeated prefills would take reader capacity from other
// requests. The request ends after maxMisses writers.
func (j *Job) recordMiss(held *ticket, e *core.AttemptError) {
	j.mu.Lock()
	defer j.mu.Unlock()
	held.misses++
	switch {
	case j.stateLost && held.misses >= maxMisses:
		e.Err = fmt.Errorf("%w: %w", e.Err, core.ErrSendingForbidden)
	case !j.stateLost && held.misses > 1:
		j.stateLost = true
		j.held = nil
		e.Verdict = core.StateGone
		go j.calls.release(context.Background(), held) // the KV cache may still be there, and nothing else would release it
	}
}

// dropTicket records that the writer has taken over the KV cache.
func (j *Job) dropTicket() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.held = nil
}

// recordNotRun records a worker's guarantee that it has not run the request.
func (j *Job) recordNotRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.mayHaveRun--
}

// recordUnwritten handles the error of a call without an answer. A request that was only partly written can't have run.
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

// locked evaluates a condition under the job's lock.
func (j *Job) locked(check func() bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return check()
}

// checkOwner checks that an answer belongs to this request, as a duplicate of an earlier answer may arrive first. An
// answer without an ID is accepted only on a fresh connection, where no other answer can arrive, and that connection is
// not reused.
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
	return &core.AttemptError{Stage: core.Written, Verdict: core.NetworkFault, Err: errOtherRequest}
}

// workerDeadline returns when the worker's result becomes useless.
func workerDeadline(ctx context.Context, request *Request) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(request.Deadline) {
		return deadline
	}
	return request.Deadline
}
