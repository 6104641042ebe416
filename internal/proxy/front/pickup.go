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

// mostPickUps is how often a broken stream is picked up at another worker.
const mostPickUps = 2

// errOther says that a further run can't go on with the answer.
var errOther = errors.New("the run does not go on with the answer")

// joint is what is known of a stream that may be picked up at another worker: only whole events of it are passed on.
type joint struct {
	split  events.Splitter
	order  events.Sequence
	worker string // whose run is passed on
}

// take takes bytes of the first run and gives those of them that are whole events.
func (j *joint) take(piece []byte) (whole []byte) {
	for _, event := range j.split.Add(piece) {
		j.order.AddFirst(event)
		whole = append(whole, event.Text...)
	}
	return whole
}

// join takes bytes of a further run and gives what goes on behind the events that were passed on, as far as it does.
func (j *joint) join(piece []byte) (whole []byte, err error) {
	for _, event := range j.split.Add(piece) {
		pass, err := j.order.AddResumed(event)
		if err != nil {
			return whole, err
		}
		if pass {
			whole = append(whole, event.Text...)
		}
	}
	if j.split.TooLarge() {
		return whole, errOther
	}
	return whole, nil
}

// again drops what came of an event that is not whole, before a further run.
func (j *joint) again() {
	j.split = events.Splitter{}
	j.order.Resume()
}

// whole gives what is to be passed on of a piece of the first run. Once an event is too large to be kept, everything is,
// and the stream can't be picked up any more.
func (c *client) whole(piece []byte) []byte {
	if c.joint == nil {
		return piece
	}
	whole := c.joint.take(piece)
	if c.joint.split.TooLarge() {
		whole = append(whole, c.joint.split.Partial()...)
		c.joint = nil
	}
	return whole
}

// endWhole takes the proper end of the first run; false: it is none, as it comes in the middle of an event and may be the
// end of the worker as well.
func (c *client) endWhole() bool {
	if c.joint == nil || len(c.joint.split.Partial()) == 0 {
		return true
	}
	return c.head.Framed && c.write(c.joint.split.Partial()) == nil
}

// pickUp goes on with a stream that broke at other workers, within the same answer.
func (c *client) pickUp(ctx context.Context, service *lane.Lane) {
	for range mostPickUps {
		run := c.furtherRun(ctx)
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

// furtherRun prepares to go on with a stream that broke; nil where it may not be picked up.
func (c *client) furtherRun(ctx context.Context) *furtherRun {
	if !c.broken || c.gone || c.joint == nil {
		return nil
	}
	if ctx.Err() != nil || !time.Now().Before(c.request.Deadline) {
		return nil
	}
	last, followed := c.joint.order.Last()
	if !followed {
		return nil
	}
	job, allowed := c.job.Rest(strconv.FormatUint(last, 10), c.joint.worker)
	if !allowed {
		return nil
	}
	c.job = job
	c.joint.again()
	return &furtherRun{client: c}
}

// furtherRun is the receiving end of a run that goes on with a client's answer, which is broken until it has come to its
// end; it serves core.Client and core.Opener.
type furtherRun struct {
	client *client
	other  bool // it does not go on with the answer
	broke  bool // it began, and broke
}

// Open serves core.Opener. The answer keeps the head of its first worker.
func (r *furtherRun) Open(stream core.Stream) {
	headed, ok := stream.(calls.Headed)
	if !ok {
		r.other = true
		return
	}
	head := headed.Head()
	r.other = head.Status != r.client.head.Status
	r.client.joint.worker = head.Worker
}

// Refuse serves core.Client: the answer stays broken.
func (r *furtherRun) Refuse(time.Duration) {}

// Fail serves core.Client: the answer stays broken.
func (r *furtherRun) Fail() {}

// Pass serves core.Client.
func (r *furtherRun) Pass(piece []byte) error {
	if r.other {
		return errOther
	}
	whole, err := r.client.joint.join(piece)
	r.other = err != nil
	if len(whole) > 0 {
		if err := r.client.write(whole); err != nil {
			return err
		}
	}
	return err
}

// Finish serves core.Client.
func (r *furtherRun) Finish() {
	joint := r.client.joint
	if r.other || len(joint.split.Partial()) > 0 || !joint.order.CaughtUp() {
		return
	}
	r.client.broken = false
	r.client.end()
}

// Break serves core.Client.
func (r *furtherRun) Break() { r.broke = !r.other }
