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

// maxResumptions is how often a broken stream is picked up at another worker.
const maxResumptions = 2

// errNoContinuation says that a further run can't go on with the answer.
var errNoContinuation = errors.New("the run does not go on with the answer")

// resumption is what is known of a stream that may be picked up at another worker: only whole events of it are passed on.
type resumption struct {
	splitter events.Splitter
	sequence events.Sequence
	worker   string // whose run is passed on
}

// addFirst takes bytes of the first run and gives those of them that are whole events.
func (r *resumption) addFirst(piece []byte) (whole []byte) {
	for _, event := range r.splitter.Add(piece) {
		r.sequence.AddFirst(event)
		whole = append(whole, event.Text...)
	}
	return whole
}

// addResumed takes bytes of a further run and gives what goes on behind the events that were passed on, as far as it does.
func (r *resumption) addResumed(piece []byte) (whole []byte, err error) {
	for _, event := range r.splitter.Add(piece) {
		pass, err := r.sequence.AddResumed(event)
		if err != nil {
			return whole, err
		}
		if pass {
			whole = append(whole, event.Text...)
		}
	}
	if r.splitter.TooLarge() {
		return whole, errNoContinuation
	}
	return whole, nil
}

// beginResumed drops what came of an event that is not whole, before a further run.
func (r *resumption) beginResumed() {
	r.splitter = events.Splitter{}
	r.sequence.Resume()
}

// completeEvents gives what is to be passed on of a piece of the first run. Once an event is too large to be kept, everything is,
// and the stream can't be picked up any more.
func (c *client) completeEvents(piece []byte) []byte {
	if c.resumption == nil {
		return piece
	}
	whole := c.resumption.addFirst(piece)
	if c.resumption.splitter.TooLarge() {
		whole = append(whole, c.resumption.splitter.Partial()...)
		c.resumption = nil
	}
	return whole
}

// finishEvents takes the proper end of the first run; false: it is none, as it comes in the middle of an event and may be the
// end of the worker as well.
func (c *client) finishEvents() bool {
	if c.resumption == nil || len(c.resumption.splitter.Partial()) == 0 {
		return true
	}
	return c.head.Framed && c.write(c.resumption.splitter.Partial()) == nil
}

// resume goes on with a stream that broke at other workers, within the same answer.
func (c *client) resume(ctx context.Context, service *lane.Lane) {
	for range maxResumptions {
		run := c.newResumedRun(ctx)
		if run == nil {
			return
		}
		service.PickUp(ctx, run, c.job)
		c.job.Close()
		if !run.broke {
			return
		}
	}
}

// newResumedRun prepares to go on with a stream that broke; nil where it may not be picked up.
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
	job, allowed := c.job.Rest(strconv.FormatUint(last, 10), c.resumption.worker)
	if !allowed {
		return nil
	}
	c.job = job
	c.resumption.beginResumed()
	return &resumedRun{client: c}
}

// resumedRun is the receiving end of a run that goes on with a client's answer, which is broken until it has come to its
// end; it serves core.Client and core.Opener.
type resumedRun struct {
	client     *client
	mismatched bool // it does not go on with the answer
	broke      bool // it began, and broke
}

// Open serves core.Opener. The answer keeps the head of its first worker.
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

// Refuse serves core.Client: the answer stays broken.
func (r *resumedRun) Refuse(time.Duration) {}

// Fail serves core.Client: the answer stays broken.
func (r *resumedRun) Fail() {}

// Pass serves core.Client.
func (r *resumedRun) Pass(piece []byte) error {
	if r.mismatched {
		return errNoContinuation
	}
	whole, err := r.client.resumption.addResumed(piece)
	r.mismatched = err != nil
	if len(whole) > 0 {
		if err := r.client.write(whole); err != nil {
			return err
		}
	}
	return err
}

// Finish serves core.Client.
func (r *resumedRun) Finish() {
	resumption := r.client.resumption
	if r.mismatched || len(resumption.splitter.Partial()) > 0 || !resumption.sequence.CaughtUp() {
		return
	}
	r.client.broken = false
	r.client.finishAnswer()
}

// Break serves core.Client.
func (r *resumedRun) Break() { r.broke = !r.mismatched }
