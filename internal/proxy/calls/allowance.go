package calls

// ExtraReason is why a request is sent to a worker again.
type ExtraReason string

// The reasons for extra attempts.
const (
	ExtraPrefill               ExtraReason = "the prompt is read at another worker"
	ExtraRun                   ExtraReason = "another worker is asked to run it"
	ExtraRunAfterFailedPrefill ExtraReason = "it is run after a read that failed"
	ExtraFailedFirstRun        ExtraReason = "the first run after its read failed"
)

// RetryBudget limits the extra attempts at the request's service.
type RetryBudget interface {
	Take(reason ExtraReason) bool // takes one extra attempt if the budget allows it
	HasSpare() bool               // whether the budget allows the extra attempt that the failure of a first attempt would cause
	Charge(reason ExtraReason)    // counts an extra attempt that could not be requested in advance
}

// runIsFirstAttempt reports whether a run is not an extra attempt. That holds for the first call of a request, and for
// the first run after a prefill that succeeded as the first call. The caller holds the lock.
func (j *Job) runIsFirstAttempt() bool {
	if j.runs > 0 {
		return false
	}
	return j.prefills == 0 || j.prefills == 1 && j.prefilledFirst
}

// extraRunReason returns why a run is an extra attempt.
func (j *Job) extraRunReason() ExtraReason {
	if j.locked(func() bool { return j.runs > 0 }) {
		return ExtraRun
	}
	return ExtraRunAfterFailedPrefill
}

// takeExtra takes one extra attempt from the retry budget. An attempt that was taken but not written, for lack of a
// connection, is used first.
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
