package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// candidate stands for election, and writes to the store while it is elected.
type candidate struct {
	name  string
	lock  string
	hold  time.Duration
	calls *controlClient
	store string
	say   func(text string, values ...any)
	count int // of writes
}

// run stands for election again and again until the context ends.
func (c *candidate) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		status, fence, err := c.calls.post(ctx, "Start", c.lock, lockCall{Owner: c.name, HoldMS: c.hold.Milliseconds()})
		switch {
		case err != nil:
			c.say("%v", err)
		case status == http.StatusOK:
			c.say("elected with fence %d", fence)
			c.lead(ctx, fence, sent.Add(c.hold))
		}
		c.rest(ctx)
	}
}

// lead writes and renews until the election no longer counts: until the hold has passed since the last good call was sent.
func (c *candidate) lead(ctx context.Context, fence uint64, until time.Time) {
	defer func() {
		_, _, _ = c.calls.post(context.WithoutCancel(ctx), "Finish", c.lock, lockCall{Owner: c.name, Fence: fence})
	}() // else it lapses
	for ctx.Err() == nil && time.Now().Before(until) {
		if err := c.writeBefore(ctx, until, fence); err != nil {
			c.say("%v", err)
			return
		}
		c.rest(ctx)
		until = c.renew(ctx, fence, until)
	}
}

// renew asks for another hold and returns until when the election counts. An answer that comes when its time has run out
// counts for nothing, also if it says that the hold was renewed.
func (c *candidate) renew(ctx context.Context, fence uint64, until time.Time) time.Time {
	sent := time.Now()
	timed, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	status, _, err := c.calls.post(timed, "Beat", c.lock, lockCall{Owner: c.name, Fence: fence, HoldMS: c.hold.Milliseconds()})
	got := time.Now()
	switch {
	case err != nil:
		c.say("%v", err)
	case status == http.StatusConflict:
		c.say("fence %d is lost", fence)
		return got
	case !got.Before(until):
		c.say("fence %d was renewed too late: the election no longer counts", fence)
	default:
		return sent.Add(c.hold)
	}
	return until
}

// writeBefore writes unless that takes until the election no longer counts.
func (c *candidate) writeBefore(ctx context.Context, until time.Time, fence uint64) error {
	timed, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return c.write(timed, fence)
}

// write puts a line into the store under the fence.
func (c *candidate) write(ctx context.Context, fence uint64) error {
	c.count++
	line := fmt.Sprintf("%s wrote this %d", c.name, c.count)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.store+"/", strings.NewReader(line))
	if err != nil {
		return electionError.Wrap(err)
	}
	request.Header.Set(fenceHeader, strconv.FormatUint(fence, 10))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return electionError.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }() // its status says all
	if answer.StatusCode != http.StatusOK {
		return electionError.New("the store refused fence %d with status %d", fence, answer.StatusCode)
	}
	return nil
}

// rest waits for a third of the hold.
func (c *candidate) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(c.hold / 3):
	}
}
