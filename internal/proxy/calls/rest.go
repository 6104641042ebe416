package calls

import (
	"errors"
	"fmt"
	"slices"

	"sumacloft/internal/core"
)

// maxAvoided is how often a worker may be chosen again after the request's stream broke there. If there is no other
// worker, the request does not wait for one.
const maxAvoided = 4

// errStreamBroke is why a worker was not called.
var errStreamBroke = errors.New("the request's stream broke there")

// Remainder returns the job for the rest of a request whose stream broke at a worker after an event. The counts of the
// request carry over. Close the job first. It is not allowed if the maximum number of workers may have run the request.
func (j *Job) Remainder(lastEvent, brokenAt string) (remainder *Job, allowed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.exhausted() {
		return nil, false
	}
	request := *j.request
	request.Header = j.request.Header.Clone()
	request.Header.Set(headerLastEvent, lastEvent)
	return &Job{
		calls:          j.calls,
		request:        &request,
		budget:         j.budget,
		prefills:       j.prefills,
		failedPrefills: j.failedPrefills,
		prefilledFirst: j.prefilledFirst,
		runs:           j.runs,
		mayHaveRun:     j.mayHaveRun,
		extraTaken:     j.extraTaken,
		stateLost:      j.stateLost,
		connections:    j.connections,
		brokenAt:       append(slices.Clone(j.brokenAt), brokenAt),
	}, true
}

// exhausted reports whether the maximum number of workers may have run the request. The caller holds the lock.
func (j *Job) exhausted() bool { return j.mayHaveRun >= max(j.request.Terms.MaxRuns, 1) }

// avoid returns an error for a worker at which the request's stream broke, so that another one is chosen.
func (j *Job) avoid(worker core.Worker) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.brokenAt, worker.Name) {
		return nil
	}
	j.avoided++
	if j.avoided > maxAvoided {
		return noAttemptLeft()
	}
	return &core.AttemptError{Stage: core.NotConnected, Err: fmt.Errorf("%w: %w", errStreamBroke, core.ErrNotReady)}
}
