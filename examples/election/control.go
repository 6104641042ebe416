package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// callLimit is how long one control member has to answer; then another is asked.
const callLimit = time.Second

// controlClient asks control members in turn.
type controlClient struct {
	addresses []string
	turn      int
}

// lockCall is the body of calls about locks.
type lockCall struct {
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence_number,omitempty"`
	HoldMS int64  `json:"hold_ms,omitempty"`
}

// post makes a call, at another member each time until one answers with 200 or 409. Calls may be made again: a repeated
// start gives a higher fence, and renewals and ends change nothing when they come twice.
func (c *controlClient) post(ctx context.Context, method, lock string, call lockCall) (status int, fence uint64, err error) {
	body, err := json.Marshal(call)
	if err != nil {
		return 0, 0, electionError.Wrap(err)
	}
	for range c.addresses {
		address := c.addresses[c.turn%len(c.addresses)]
		status, fence, err = c.once(ctx, fmt.Sprintf("http://%s/v1/Locks.%s/%s", address, method, lock), string(body))
		if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
			return status, fence, nil
		}
		c.turn++
	}
	if err == nil {
		err = electionError.New("no control member could decide (last status %d): see fleetd status", status)
	}
	return 0, 0, err
}

func (c *controlClient) once(ctx context.Context, url, body string) (int, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, 0, electionError.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, electionError.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }() // it was read
	var told struct {
		Fence uint64 `json:"fence_number"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&told); err != nil {
		return 0, 0, electionError.Wrap(err)
	}
	return answer.StatusCode, told.Fence, nil
}
