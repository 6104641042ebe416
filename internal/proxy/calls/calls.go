// Package calls makes the proxy's calls to workers: requests, reads of prompts (the first stage), the release of what
// a reader holds, and reports. It says of each how far it came and whether the worker may have run it.
package calls

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/upstream"
)

// The headers of the protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerSeal        = "X-Server-Seal"
	headerNotRun      = "X-Not-Run"
	headerTimeLeft    = "X-Time-Left"
	headerMeantServer = "X-Meant-Server"
	headerStage       = "X-Stage"
	headerKvFrom      = "Kv-From"
	headerPriority    = "Priority"
	headerLastEvent   = "Last-Event-Id"
)

// RoleReading is the role of a worker whose part is to read prompts, as its heartbeats name it.
const RoleReading = "reading"

// maxBody bounds an answer that is read whole before it is passed on, in bytes.
const maxBody = 16 << 20

// Calls makes calls over one pool of connections. Safe for concurrent use.
type Calls struct {
	Faults    Faults
	OnPrefill func() // told when a prompt is sent to be read; it must not block; nil: nobody is
	pool      *upstream.Pool
	withoutID atomic.Uint64 // answers that lacked the request's id
}

// Faults are deliberate violations, for the tests of the tests. All are off outside tests.
type Faults struct {
	AnyAnswer      bool // whatever comes on a connection is taken for the answer that is due
	SameConnection bool // attempts of one request may follow each other on one connection
}

// New makes calls over the pool's connections.
func New(pool *upstream.Pool) *Calls { return &Calls{pool: pool} }

// WithoutID is how many answers lacked the request's id. The connection of each carried nothing more.
func (c *Calls) WithoutID() uint64 { return c.withoutID.Load() }

// Probe asks a worker for its report, as a sign of life; it serves core.Prober.
func (c *Calls) Probe(ctx context.Context, worker core.Worker) error {
	answer, err := c.callWithoutBody(ctx, worker, http.MethodGet, "/v1/report")
	if err != nil {
		return err
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("report: status %d", answer.StatusCode)}
	}
	return nil // any other answer is a sign of life
}

// Forget closes the idle connections to a worker that gets nothing new; it serves core.Prober.
func (c *Calls) Forget(worker core.Worker) { c.pool.Drop(worker.Addr) }

// LimitConnections bounds the connections to each worker's address; to addresses that are not among them there is no bound.
func (c *Calls) LimitConnections(limits map[string]int) { c.pool.Allot(limits) }

// releaseTimeout bounds one try to have a reader free what it holds.
const releaseTimeout = 300 * time.Millisecond

// release has a reader free a prompt's memory. A reader that can't be reached frees it by itself when the ticket lapses.
func (c *Calls) release(ctx context.Context, held *ticket) {
	for range 2 {
		attempt, cancel := context.WithTimeout(ctx, releaseTimeout)
		_, err := c.callWithoutBody(attempt, held.reader, http.MethodDelete, "/v1/kv-handle/"+held.id)
		cancel()
		if err == nil {
			return
		}
	}
}

// callWithoutBody makes a call without a body and reads its answer whole.
func (c *Calls) callWithoutBody(ctx context.Context, worker core.Worker, method, path string) (*upstream.Answer, error) {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + worker.Addr + "\r\n" +
		headerMeantServer + ": " + worker.Name + "\r\n\r\n"
	answer, err := c.pool.Do(ctx, worker.Addr, method, []byte(head), nil)
	if err != nil {
		return nil, err
	}
	if answer.Header.Get(headerRequestID) != "" { // a surplus one to a request: calls of this kind have no id
		answer.Close()
		return nil, &core.AttemptError{Stage: core.Written, Verdict: core.Mishap, Err: errOtherRequest}
	}
	if _, err := answer.Small(); err != nil {
		return nil, err
	}
	return answer, nil
}
