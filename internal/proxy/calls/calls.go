// Package calls makes the proxy's calls to workers: runs of requests, prefills, releases of a reader's KV cache, and
// reports. The error of a call says how far the call got and whether the worker may have run the request.
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

// The headers of the protocol between proxies and workers.
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

// RoleReading is the role of workers that prefill prompts, as used in their heartbeats.
const RoleReading = "reading"

// maxBody limits an answer that is buffered before it is forwarded, in bytes.
const maxBody = 16 << 20

// Calls makes calls over one connection pool. It is safe for concurrent use.
type Calls struct {
	Faults    Faults
	OnPrefill func() // called when a prefill is sent; must not block; may be nil
	pool      *upstream.Pool
	withoutID atomic.Uint64 // answers without the request's ID
}

// Faults are deliberate violations that check that the tests detect them. All are off outside tests.
type Faults struct {
	AnyAnswer      bool // accept any answer on a connection as the answer to the current request
	SameConnection bool // attempts of one request may share a connection
}

// New makes calls over the pool's connections.
func New(pool *upstream.Pool) *Calls { return &Calls{pool: pool} }

// WithoutID returns how many answers lacked the request's ID. The connections of such answers are not reused.
func (c *Calls) WithoutID() uint64 { return c.withoutID.Load() }

// Probe requests a worker's report as a health check. It implements core.Prober.
func (c *Calls) Probe(ctx context.Context, worker core.Worker) error {
	answer, err := c.callWithoutBody(ctx, worker, http.MethodGet, "/v1/report")
	if err != nil {
		return err
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("report: status %d", answer.StatusCode)}
	}
	return nil // any other answer shows that the worker is alive
}

// Forget closes the idle connections to a worker that gets no new work. It implements core.Prober.
func (c *Calls) Forget(worker core.Worker) { c.pool.Drop(worker.Addr) }

// LimitConnections sets the connection limit of each worker address. Other addresses have no limit.
func (c *Calls) LimitConnections(limits map[string]int) { c.pool.Allot(limits) }

// releaseTimeout bounds one attempt to release a reader's KV cache.
const releaseTimeout = 300 * time.Millisecond

// release has a reader free the KV cache of a prompt. A reader that can't be reached frees it when the ticket expires.
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

// callWithoutBody makes a call without a body and reads the whole answer.
func (c *Calls) callWithoutBody(ctx context.Context, worker core.Worker, method, path string) (*upstream.Answer, error) {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + worker.Addr + "\r\n" +
		headerMeantServer + ": " + worker.Name + "\r\n\r\n"
	answer, err := c.pool.Do(ctx, worker.Addr, method, []byte(head), nil)
	if err != nil {
		return nil, err
	}
	if answer.Header.Get(headerRequestID) != "" { // a duplicate answer to a request; these calls have no ID
		answer.Close()
		return nil, &core.AttemptError{Stage: core.Written, Verdict: core.NetworkFault, Err: errOtherRequest}
	}
	if _, err := answer.Small(); err != nil {
		return nil, err
	}
	return answer, nil
}
