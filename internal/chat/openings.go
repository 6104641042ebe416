package chat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
)

// Openings knows which servers keep what requests begin with, and learns it from those that are served.
type Openings interface {
	// Homes are the servers that are thought to keep an opening besides; one is asked for each request that has an opening.
	Homes(prefix uint64) []brain.EngineID
	Served(Opening)
}

// Opening is what a request began with that a server has answered, or begun to.
type Opening struct {
	Prefix  uint64
	Tokens  float64 // as estimated
	Session uint64
	Model   string
	First   []byte // the first message as it came; it is not to be kept
	Server  string
	Answer  []byte // whole, not to be kept or changed; nil: it streams
}

// Hold has openings asked and told of all requests from now on; it is called before any is served.
func (f *Front) Hold(o Openings) { f.openings = o }

// opened tells of a request that was served.
func (j *job) opened(w core.Worker, reply core.Reply) {
	o := Opening{Prefix: j.arrival.Prefix, Tokens: j.arrival.PrefixTokens, Session: j.arrival.Session, Model: j.model, First: j.first, Server: w.Name}
	if all, whole := reply.Stream.(*whole); whole {
		o.Answer = all.body
	}
	j.openings.Served(o)
}

const (
	// warmHeader marks a read in background: a server may tell it apart from clients' work.
	warmHeader = "X-Sumacloft-Warm"
	// warmsFor is how long such a read may take.
	warmsFor = 10 * time.Second
)

// Warm has a server read an opening in background, as a request of that message alone which asks for one token. It goes to a
// server that is ready only, while guard lets requests pass (nil: always), with no client's credentials, and is not tried again.
func (s *Servers) Warm(ctx context.Context, c *core.Core, id brain.EngineID, model string, first []byte, guard func() error) error {
	ctx, done := context.WithTimeout(ctx, warmsFor)
	defer done()
	body, err := json.Marshal(map[string]any{"model": model, "messages": []json.RawMessage{first}, "max_tokens": 1})
	if err != nil {
		return err
	}
	return c.CallReady(ctx, id, func(ctx context.Context, w core.Worker, clear func() error) error {
		asks := clear
		if guard != nil {
			asks = func() error { return errors.Join(guard(), clear()) }
		}
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: " + w.Addr + "\r\nContent-Type: application/json\r\n" + warmHeader + ": 1\r\nContent-Length: " +
			strconv.Itoa(len(body)) + "\r\n\r\n"
		a, err := s.pool.Do(ctx, w.Addr, http.MethodPost, append([]byte(head), body...), asks)
		if err != nil {
			return err
		}
		_, err = a.Whole(maxWhole)
		if err == nil && a.StatusCode != http.StatusOK {
			err = &core.AttemptError{Stage: core.Head, Verdict: core.Faulted, Err: fmt.Errorf("status %d", a.StatusCode)}
		}
		return err
	})
}
