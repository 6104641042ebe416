package front

import (
	"context"
	"errors"
	"strconv"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/events"
	"sumacloft/internal/proxy/lane"
)

// maxResumptions is how many times a broken stream may be resumed at another worker.
const maxResumptions = 2

// errNoContinuation reports that a resumed run can't continue the answer.
var errNoContinuation = errors.New("resumed run does not continue the answer")

// resumption is the state of a stream that another worker may resume. Only its complete events are forwarded.
type resumption struct {
	splitter events.Splitter
	sequence events.Sequence
	worker   string // whose run is being forwarded
}

// addFirst adds bytes of the first run and returns the events that they complete.
func (r *resumption) addFirst(piece []byte) (complete []byte) {
	for _, event := range r.splitter.Add(piece) {
		r.sequence.AddFirst(event)
		complete = append(complete, event.Text...)
	}
	return complete
}

// addResumed adds bytes of a resumed run and returns the events that continue the forwarded ones, up to the first
// error.
func (r *resumption) addResumed(piece []byte) (complete []byte, err error) {
	for _, event := range r.splitter.Add(piece) {
		pass, err := r.sequence.AddResumed(event)
		if err != nil {
			return complete, err
		}
		if pass {
			complete = append(complete, event.Text...)
		}
	}
	if r.splitter.TooLarge() {
		return complete, errNoContinuation
	}
	return complete, nil
}

// beginResumed discards the incomplete event before a resumed run.
func (r *resumption) beginResumed() {
	r.splitter = events.Splitter{}
	r.sequence.Resume()
}

// completeEvents returns what to forward of a piece of the first run. Once an event is too large to be buffered,
// everything is forwarded and the stream can't be resumed any more.
func (c *client) completeEvents(piece []byte) []byte {
	if c.resumption == nil {
		return piece
	}
	complete := c.resumption.addFirst(piece)
	if c.resumption.splitter.TooLarge() {
		complete = append(complete, c.resumption.splitter.Partial()...)
		c.resumption = nil
	}
	return complete
}

// finishEvents handles a regular end of the first run. It returns false if the end is not reliable: an end within an
// event may mean that the worker failed, unless the answer is framed.
func (c *client) finishEvents() bool {
	if c.resumption == nil || len(c.resumption.splitter.Partial()) == 0 {
		return true
	}
	return c.head.Framed && c.write(c.resumption.splitter.Partial()) == nil
}

// resume continues a broken stream at other workers, within the same answer.
func (c *client) resume(ctx context.Context, service *lane.Lane) {
	for range maxResumptions {
		run := c.newResumedRun(ctx)
		if run == nil {
			return
		}
		service.Resume(ctx, run, c.job)
		c.job.Close()
		if !run.broke {
			return
		}
	}
}

// newResumedRun prepares to resume a broken stream. It returns nil if the stream may not be resumed.
func (c *client) newResumedRun(ctx context.Context) *resumedRun {
	if !c.broken || c.unwritable || c.resumption == nil {
		return nil
	}
	if ctx.Err() != nil || !time.Now().Before(c.request.Deadline) {
		return nil
	}
	last, followed := c.resumption.sequence.Last()
	if !followed {
		return nil
	}
	job, allowed := c.job.Remainder(strconv.FormatUint(last, 10), c.resumption.worker)
	if !allowed {
		return nil
	}
	c.job = job
	c.resumption.beginResumed()
	return &resumedRun{client: c}
}

// resumedRun receives a run that resumes a client's answer. The answer counts as broken until the run reaches its end.
// It implements core.Client and core.Opener.
type resumedRun struct {
	client     *client
	mismatched bool // it does not continue the answer
	broke      bool // it started and broke
}

// Open implements core.Opener. The answer keeps the head of its first worker.
func (r *resumedRun) Open(stream core.Stream) {
	headed, ok := stream.(calls.Headed)
	if !ok {
		r.mismatched = true
		return
	}
	head := headed.Head()
	r.mismatched = head.Status != r.client.head.Status
	r.client.resumption.worker = head.Worker
}

// Refuse implements core.Client. The answer stays broken.
func (r *resumedRun) Refuse(time.Duration) {}

// Fail implements core.Client. The answer stays broken.
func (r *resumedRun) Fail() {}

// Pass implements core.Client.
func (r *resumedRun) Pass(piece []byte) error {
	if r.mismatched {
		return errNoContinuation
	}
	complete, err := r.client.resumption.addResumed(piece)
	r.mismatched = err != nil
	if len(complete) > 0 {
		if err := r.client.write(complete); err != nil {
			return err
		}
	}
	return err
}

// Finish implements core.Client.
func (r *resumedRun) Finish() {
	resumption := r.client.resumption
	if r.mismatched || len(resumption.splitter.Partial()) > 0 || !resumption.sequence.CaughtUp() {
		return
	}
	r.client.broken = false
	r.client.finishAnswer()
}

// Break implements core.Client.
func (r *resumedRun) Break() { r.broke = !r.mismatched }
