package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/upstream"
)

const notStarted = "Not-Started"

// Workers makes the protocol's calls to workers.
type Workers struct{ pool *upstream.Pool }

// NewWorkers makes the calls over the pool's connections.
func NewWorkers(pool *upstream.Pool) *Workers { return &Workers{pool: pool} }

// Probe asks for a sign of life.
func (ws *Workers) Probe(ctx context.Context, w core.Worker) error {
	return ws.bare(ctx, w, http.MethodGet, "/ping", http.StatusOK)
}

// Forget serves core.Prober.
func (ws *Workers) Forget(w core.Worker) { ws.pool.Drop(w.Addr) }

// bare makes a call without a body and wants one status.
func (ws *Workers) bare(ctx context.Context, w core.Worker, method, path string, want int) error {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + w.Addr + "\r\n\r\n"
	answer, err := ws.pool.Do(ctx, w.Addr, method, []byte(head), nil)
	if err != nil {
		return err
	}
	if _, err := answer.Small(); err != nil {
		return err
	}
	if answer.StatusCode == want {
		return nil
	}
	return refusal(answer)
}

// job is one client's request on its way to workers.
type job struct {
	workers     *Workers
	arrival     brain.Arrived
	id          string
	method, uri string
	host        string
	contentType string
	body        []byte
	free, over  func() // give back the body's memory, and the id
	fault       int    // the status by which a worker found the request at fault; 0: none did
}

// Done serves core.Job.
func (j *job) Done() {
	j.free()
	j.over()
}

// Arrival serves core.Job. The id on the wire stays the client's own.
func (j *job) Arrival(id brain.RequestID) brain.Arrived {
	j.arrival.Request = id
	return j.arrival
}

// Try serves core.Job.
func (j *job) Try(ctx context.Context, w core.Worker, clear func() error) (core.Reply, error) {
	answer, err := j.workers.pool.Do(ctx, w.Addr, j.method, j.bytes(ctx), clear)
	if err != nil {
		return core.Reply{}, err
	}
	if answer.StatusCode == http.StatusOK {
		if err := answer.First(); err != nil {
			return core.Reply{}, err
		}
		return core.Reply{Stream: answer}, nil
	}
	body, err := answer.Small()
	if answer.StatusCode == http.StatusAccepted && err == nil {
		var read struct {
			Kept float64 `json:"cached_tokens"`
		}
		_ = json.Unmarshal(body, &read) // without a count the prompt has been read all the same
		return core.Reply{CachedTokens: read.Kept}, nil
	}
	if err != nil && answer.Header.Get(notStarted) != "1" {
		return core.Reply{}, err
	}
	e := refusal(answer)
	if e.Verdict == core.Rejected {
		j.fault = answer.StatusCode
	}
	return core.Reply{}, e
}

// refusal reads an answer that serves nothing. Only the worker's own word that it did not start proves that.
func refusal(answer *upstream.Answer) *core.AttemptError {
	e := &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("status %d", answer.StatusCode)}
	proof, status := answer.Header.Get(notStarted) == "1", answer.StatusCode
	switch {
	case proof && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
		e.Verdict = core.NotStarted
	case proof && status == http.StatusGone:
		e.Verdict = core.StateGone
	case status >= 400 && status < 500 && status != http.StatusGone:
		e.Verdict = core.Rejected // no word on the worker: any other would say the same
	}
	return e
}

// bytes is the request as it goes to a worker, with the time that this attempt is waited for.
func (j *job) bytes(ctx context.Context) []byte {
	out := make([]byte, 0, 512+len(j.body))
	out = append(out, j.method+" "+j.uri+" HTTP/1.1\r\nHost: "+j.host+"\r\nRequest-Id: "+j.id+"\r\n"...)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Microseconds(), 1)
		out = append(out, "Request-Timeout: "+strconv.FormatInt(left, 10)+"u\r\n"...)
	}
	if j.contentType != "" {
		out = append(out, "Content-Type: "+j.contentType+"\r\n"...)
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(j.body))+"\r\n\r\n"...)
	return append(out, j.body...)
}

// Release serves core.Job.
func (j *job) Release(ctx context.Context, w core.Worker) error {
	return j.workers.bare(ctx, w, http.MethodDelete, "/v1/holds/"+j.id, http.StatusNoContent)
}
