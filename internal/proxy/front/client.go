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
	// writeTimeout is how long a client may take to accept a piece of its answer.
	writeTimeout = 15 * time.Second
	// minRetryAfter is the minimum Retry-After value. Values are drawn from it up to twice that, so that clients that
	// were refused together do not return together.
	minRetryAfter = 100 * time.Millisecond
	// deadlineMargin is the time before its deadline within which a request counts as having reached it.
	deadlineMargin = 50 * time.Millisecond
)

// client writes the answer to one request. It implements core.Client and core.Opener.
type client struct {
	front       *Front
	writer      http.ResponseWriter
	control     *http.ResponseController
	job         *calls.Job
	request     *calls.Request
	head        calls.Head
	headWritten bool
	broken      bool
	unwritable  bool        // a write to the client has failed
	resumption  *resumption // state of a stream that another worker may resume, else nil
}

// connectionHeaders apply to one connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

// Open implements core.Opener.
func (c *client) Open(stream core.Stream) {
	if headed, ok := stream.(calls.Headed); ok {
		c.head = headed.Head()
	}
	if c.resumption == nil {
		return
	}
	c.resumption.worker = c.head.Worker
	if c.head.Length >= 0 {
		c.resumption = nil // the announced length is that of this worker's answer
	}
}

// Refuse answers that the request has not run, with the time to wait before a retry.
func (c *client) Refuse(holdOff time.Duration) {
	mayHaveRun, failure := c.job.Close()
	if mayHaveRun && !c.request.Terms.Repeatable {
		c.answerUnclear(mayHaveRun, failure)
		return
	}
	c.front.refuse(c.writer, max(holdOff, minRetryAfter+rand.N(minRetryAfter)))
}

// Fail answers a request that may have run. A worker's own failure is forwarded.
func (c *client) Fail() {
	mayHaveRun, failure := c.job.Close()
	if !mayHaveRun && failure == nil {
		c.front.refuse(c.writer, minRetryAfter+rand.N(minRetryAfter))
		return
	}
	c.answerUnclear(mayHaveRun, failure)
}

// notRunStatuses are the statuses that promise a client that its request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// wouldPromise reports whether forwarding a worker's failure would promise that the request did not run although it may
// have.
func (c *client) wouldPromise(mayHaveRun bool, failure *calls.Failure) bool {
	return mayHaveRun && !c.request.Terms.Repeatable && slices.Contains(notRunStatuses, failure.Status)
}

// answerUnclear answers without promising that the request has not run.
func (c *client) answerUnclear(mayHaveRun bool, failure *calls.Failure) {
	if failure != nil && !c.wouldPromise(mayHaveRun, failure) {
		c.copyHeader(failure.Header)
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(failure.Body)))
		c.front.announceClose(c.writer)
		c.writer.WriteHeader(failure.Status)
		_, _ = c.writer.Write(failure.Body) // the server detects a disconnected client
		return
	}
	if time.Until(c.request.Deadline) < deadlineMargin {
		c.front.writeAnswer(c.writer, http.StatusGatewayTimeout, "the time is up")
		return
	}
	c.front.writeAnswer(c.writer, http.StatusBadGateway, "the worker failed")
}

// Pass forwards a piece of the answer immediately. If the stream can be resumed, it forwards only complete events.
func (c *client) Pass(piece []byte) error {
	complete := c.completeEvents(piece)
	if len(complete) == 0 {
		return nil
	}
	return c.write(complete)
}

// write writes a piece of the answer and records a failure.
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
		return nil // it is flushed at its end
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

// copyHeader copies the headers that do not apply to the worker's connection. If the answer has no Content-Type, none
// is set; otherwise the server would guess one from the body.
func (c *client) copyHeader(source http.Header) {
	header := c.writer.Header()
	header["Content-Type"] = nil
	for name, values := range source {
		if !slices.Contains(connectionHeaders, name) {
			header[name] = values
		}
	}
}

// Finish completes the answer. The server writes its end.
func (c *client) Finish() {
	if !c.finishEvents() {
		c.broken = true
		return
	}
	c.finishAnswer()
}

// finishAnswer completes the answer.
func (c *client) finishAnswer() {
	c.writeHead()
	_ = c.control.SetWriteDeadline(time.Time{}) // the server detects a closed connection
}

// Break closes the connection before the end of the answer.
func (c *client) Break() { c.broken = true }
