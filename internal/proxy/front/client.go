package front

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/proxy/calls"
)

const (
	// writeTimeout is how long a client may take to accept some of its answer.
	writeTimeout = 15 * time.Second
	// minRetryAfter is the least advice on when to come back; longer ones are drawn up to twice it, so that clients
	// refused together do not return together.
	minRetryAfter = 100 * time.Millisecond
	// deadlineMargin is how close to its deadline a request counts as having reached it.
	deadlineMargin = 50 * time.Millisecond
)

// client is the answering side of one request; it serves core.Client and core.Opener.
type client struct {
	front       *Front
	writer      http.ResponseWriter
	control     *http.ResponseController
	job         *calls.Job
	request     *calls.Request
	head        calls.Head
	headWritten bool
	broken      bool
	unwritable  bool        // nothing can be written to it any more
	resumption  *resumption // of a stream that may be picked up at another worker, else nil
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

// Open serves core.Opener.
func (c *client) Open(stream core.Stream) {
	if headed, ok := stream.(calls.Headed); ok {
		c.head = headed.Head()
	}
	if c.resumption == nil {
		return
	}
	c.resumption.worker = c.head.Worker
	if c.head.Length >= 0 {
		c.resumption = nil // the length that the client is told is that of this worker's answer
	}
}

// Refuse says that trying again is harmless, and when.
func (c *client) Refuse(holdOff time.Duration) {
	mayHaveRun, failure := c.job.Close()
	if mayHaveRun && !c.request.Terms.Repeatable {
		c.answerUnclear(mayHaveRun, failure)
		return
	}
	c.front.refuse(c.writer, max(holdOff, minRetryAfter+rand.N(minRetryAfter)))
}

// Fail ends a request that may have run: a worker's own failure is passed on as it came.
func (c *client) Fail() {
	mayHaveRun, failure := c.job.Close()
	if !mayHaveRun && failure == nil {
		c.front.refuse(c.writer, minRetryAfter+rand.N(minRetryAfter))
		return
	}
	c.answerUnclear(mayHaveRun, failure)
}

// notRunStatuses are the statuses that tell a client that its request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// wouldPromise tells whether a worker's failure would promise a client what is not known: that its request did not run.
func (c *client) wouldPromise(mayHaveRun bool, failure *calls.Failure) bool {
	return mayHaveRun && !c.request.Terms.Repeatable && slices.Contains(notRunStatuses, failure.Status)
}

// answerUnclear answers without a promise.
func (c *client) answerUnclear(mayHaveRun bool, failure *calls.Failure) {
	if failure != nil && !c.wouldPromise(mayHaveRun, failure) {
		c.copyHeader(failure.Header)
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(failure.Body)))
		c.front.announceClose(c.writer)
		c.writer.WriteHeader(failure.Status)
		_, _ = c.writer.Write(failure.Body) // a client that has left is noticed by the server
		return
	}
	if time.Until(c.request.Deadline) < deadlineMargin {
		c.front.writeAnswer(c.writer, http.StatusGatewayTimeout, "the time is up")
		return
	}
	c.front.writeAnswer(c.writer, http.StatusBadGateway, "the worker failed")
}

// Pass writes a piece of the answer as it came, at once, or the whole events of it where a stream may be picked up.
func (c *client) Pass(piece []byte) error {
	whole := c.completeEvents(piece)
	if len(whole) == 0 {
		return nil
	}
	return c.write(whole)
}

// write writes a piece of the answer at once.
func (c *client) write(piece []byte) error {
	err := c.writeAndFlush(piece)
	c.unwritable = c.unwritable || err != nil
	return err
}

func (c *client) writeAndFlush(piece []byte) error {
	c.writeHead()
	if err := c.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.writer.Write(piece); err != nil {
		return err
	}
	if c.head.Length >= 0 {
		return nil // it is written out with its end
	}
	return c.control.Flush()
}

// writeHead writes the head of the worker's answer, once.
func (c *client) writeHead() {
	if c.headWritten {
		return
	}
	c.headWritten = true
	c.copyHeader(c.head.Header)
	if c.head.Length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(c.head.Length, 10))
	}
	c.front.announceClose(c.writer)
	c.writer.WriteHeader(c.head.Status)
}

// copyHeader takes over what does not concern the worker's connection. An answer without a type stays without one: the
// server would guess it from the body.
func (c *client) copyHeader(source http.Header) {
	header := c.writer.Header()
	header["Content-Type"] = nil
	for name, values := range source {
		if !slices.Contains(connectionHeaders, name) {
			header[name] = values
		}
	}
}

// Finish leaves the end of the answer to the server.
func (c *client) Finish() {
	if !c.finishEvents() {
		c.broken = true
		return
	}
	c.finishAnswer()
}

// finishAnswer ends the answer.
func (c *client) finishAnswer() {
	c.writeHead()
	_ = c.control.SetWriteDeadline(time.Time{}) // a connection that is gone is noticed by the server
}

// Break has the connection closed before the answer's end.
func (c *client) Break() { c.broken = true }
