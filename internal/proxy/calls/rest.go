package calls

import (
	"errors"
	"fmt"
	"slices"

	"sumacloft/internal/core"
)

// maxAvoided is how often a worker may be chosen at which the request's stream broke: where there is no other, none is
// waited for.
const maxAvoided = 4

// errStreamBroke says why a worker was not asked.
var errStreamBroke = errors.New("the request's stream broke there")

// Remainder makes the job of what is left of a request whose stream broke at a worker behind an event. All that was counted for
// the request counts for it as well. Close the job before. It is not allowed once as many workers may have run the request
// as its terms say.
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

// exhausted tells whether as many workers may have run the request as its terms say. The lock is held.
func (j *Job) exhausted() bool { return j.mayHaveRun >= max(j.request.Terms.MaxRuns, 1) }

// avoid has another worker chosen in place of one at which the request's stream broke; nil for all others.
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
