package calls

// ExtraReason is why a request arrives at a worker once more.
type ExtraReason string

// The reasons.
const (
	ExtraPrefill               ExtraReason = "the prompt is read at another worker"
	ExtraRun                   ExtraReason = "another worker is asked to run it"
	ExtraRunAfterFailedPrefill ExtraReason = "it is run after a read that failed"
	ExtraFailedFirstRun        ExtraReason = "the first run after its read failed"
)

// RetryBudget is the budget of further arrivals at the request's service.
type RetryBudget interface {
	Take(why ExtraReason) bool // one more, if there is room
	HasSpare() bool            // whether there is room for one that a first call would cause by failing
	Charge(why ExtraReason)    // one more, that could not be asked for
}

// runIsFirstAttempt tells whether a call to have the request run is no further arrival: the first call of all, or the one after a
// read that succeeded as the first call. The lock is held.
func (j *Job) runIsFirstAttempt() bool {
	if j.runs > 0 {
		return false
	}
	return j.prefills == 0 || j.prefills == 1 && j.prefilledFirst
}

// extraRunReason is why a run is a further arrival.
func (j *Job) extraRunReason() ExtraReason {
	if j.locked(func() bool { return j.runs > 0 }) {
		return ExtraRun
	}
	return ExtraRunAfterFailedPrefill
}

// takeExtra takes one more arrival from the allowance. What was taken for an attempt that was never written, for want of a
// connection, is still there.
func (j *Job) takeExtra(reason ExtraReason) bool {
	if j.locked(func() bool { return j.extraTaken }) {
		return true
	}
	if !j.budget.Take(reason) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.extraTaken = true
	return true
}
