package calls

// Further is why a request arrives at a worker once more.
type Further string

// The reasons.
const (
	FurtherRead      Further = "the prompt is read at another worker"
	FurtherRun       Further = "another worker is asked to run it"
	FurtherFirstRun  Further = "it is run after a read that failed"
	FurtherFailedRun Further = "the first run after its read failed"
)

// Allowance is the budget of further arrivals at the request's service.
type Allowance interface {
	Take(why Further) bool // one more, if there is room
	Spare() bool           // whether there is room for one that a first call would cause by failing
	Charge(why Further)    // one more, that could not be asked for
}

// runIsFree tells whether a call to have the request run is no further arrival: the first call of all, or the one after a
// read that succeeded as the first call. The lock is held.
func (j *Job) runIsFree() bool {
	if j.sent > 0 {
		return false
	}
	return j.reads == 0 || j.reads == 1 && j.readAtOnce
}

// whyRun is why a run is a further arrival.
func (j *Job) whyRun() Further {
	if j.again(func() bool { return j.sent > 0 }) {
		return FurtherRun
	}
	return FurtherFirstRun
}

// pay takes one more arrival from the allowance. What was taken for an attempt that was never written, for want of a
// connection, is still there.
func (j *Job) pay(why Further) bool {
	if j.again(func() bool { return j.paid }) {
		return true
	}
	if !j.allowance.Take(why) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.paid = true
	return true
}
