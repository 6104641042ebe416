package chat

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func hash(text []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(text) // never fails
	return h.Sum64()
}

// client is the answering side of a request.
type client struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	job     *job
	started bool
	broken  bool
}

// Refuse says that trying again is harmless, and when.
func (c *client) Refuse(holdOff time.Duration) {
	if c.job != nil && c.job.shut.Load() { // no word on the load
		retryAfter(c.w, comeAgain)
		fail(c.w, http.StatusServiceUnavailable, "server_error", "policy_unsettled", "this router may send nothing just now; the request has not run, or may safely run again")
		return
	}
	c.job.refused()
	if holdOff > 0 {
		retryAfter(c.w, holdOff)
	}
	fail(c.w, http.StatusServiceUnavailable, "server_error", "overloaded", "no server can take the request now; it has not run")
}

// refused tells the meter, if there is one, that the module turned the request away.
func (j *job) refused() {
	if j != nil && j.meter != nil {
		j.meter.Refused(j.className, j.arrival.Rank)
	}
}

// Fail tells that the request may have run; no client library may repeat it by itself.
func (c *client) Fail() {
	if c.job != nil && c.job.safe {
		retryAfter(c.w, comeAgain)
		fail(c.w, http.StatusServiceUnavailable, "server_error", "overloaded", "the request may have run, and may safely run again")
		return
	}
	c.w.Header().Set(noRetry, "false")
	fail(c.w, statusUnknown, "server_error", "outcome_unknown",
		"the request may have run: find out before you send it again")
}

// Pass passes on what a server answered, as it came and at once.
func (c *client) Pass(events []byte) error {
	if !c.started {
		c.started = true
		c.job.served(c.w.Header())
		c.w.WriteHeader(c.job.status)
	}
	if err := c.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return c.rc.Flush()
}

// Finish leaves the last chunk to the server.
func (c *client) Finish() {
	if !c.started {
		_ = c.Pass(nil) // an answer that is a status alone
	}
	_ = c.rc.SetWriteDeadline(time.Time{}) // a connection gone by now is seen by the server
}

// Break has the connection closed without the last chunk.
func (c *client) Break() { c.broken = true }

// fail writes an error in OpenAI's form.
func fail(w http.ResponseWriter, status int, kind, code, message string) {
	answer(w, status, map[string]any{"error": map[string]any{"message": message, "type": kind, "param": nil, "code": code}})
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // a client that has left is no error of ours
}

// lastData closes a stream, in an event of its own; maxLast bounds the line that can hold it.
const lastData, maxLast = "[DONE]", 32

// closing watches a stream for its closing event, which may come in pieces.
type closing struct {
	line []byte // the unfinished last line, cut to what matters
	seen bool
}

// done tells whether the line so far is the closing event.
func (c *closing) done() bool {
	data, ok := strings.CutPrefix(string(c.line), "data:")
	return ok && strings.TrimSpace(data) == lastData
}

func (c *closing) watch(events []byte) {
	for _, b := range events {
		if b != '\n' && b != '\r' {
			if len(c.line) < maxLast {
				c.line = append(c.line, b)
			}
			continue
		}
		c.seen = c.seen || c.done()
		c.line = c.line[:0]
	}
}
