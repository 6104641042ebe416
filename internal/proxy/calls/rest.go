package calls

import (
	"errors"
	"fmt"
	"slices"

	"sumacloft/internal/core"
)

// mostAvoided is how often a worker may be chosen at which the request's stream broke: where there is no other, none is
// waited for.
const mostAvoided = 4

// errBroke says why a worker was not asked.
var errBroke = errors.New("the request's stream broke there")

// Rest makes the job of what is left of a request whose stream broke at a worker behind an event. All that was counted for
// the request counts for it as well. Close the job before. It is not allowed once as many workers may have run the request
// as its terms say.
func (j *Job) Rest(lastEvent, broke string) (rest *Job, allowed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.exhausted() {
		return nil, false
	}
	request := *j.request
	request.Header = j.request.Header.Clone()
	request.Header.Set(headerLastEvent, lastEvent)
	return &Job{
		calls:       j.calls,
		request:     &request,
		allowance:   j.allowance,
		reads:       j.reads,
		failedReads: j.failedReads,
		readAtOnce:  j.readAtOnce,
		sent:        j.sent,
		maybe:       j.maybe,
		paid:        j.paid,
		lost:        j.lost,
		connections: j.connections,
		broke:       append(slices.Clone(j.broke), broke),
	}, true
}

// exhausted tells whether as many workers may have run the request as its terms say. The lock is held.
func (j *Job) exhausted() bool { return j.maybe >= max(j.request.Terms.Tries, 1) }

// avoid has another worker chosen in place of one at which the request's stream broke; nil for all others.
func (j *Job) avoid(worker core.Worker) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.broke, worker.Name) {
		return nil
	}
	j.avoided++
	if j.avoided > mostAvoided {
		return spent()
	}
	return &core.AttemptError{Stage: core.NotConnected, Err: fmt.Errorf("%w: %w", errBroke, core.ErrNotReady)}
}
