package member

import (
	"context"
	"time"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
)

// watch has a watch answered by the leader, in slices: whoever leads later is found at the next.
func (c *coordinator) watch(ctx context.Context, call coordination.Call) coordination.Answer {
	if c.watches.Add(1) > mostWatches {
		c.watches.Add(-1)
		return coordination.Answer{Status: coordination.Full}
	}
	defer c.watches.Add(-1)
	queue := time.Duration(call.QueueMS) * time.Millisecond
	end := c.member.now() + queue
	ctx, cancel := context.WithTimeout(ctx, queue+callLimit)
	defer cancel()
	for {
		left := max(end-c.member.now(), 0)
		slice := call
		slice.QueueMS = uint64(min(left, watchSlice).Milliseconds())
		answer := c.attempt(ctx, slice)
		switch {
		case answer.Status == coordination.Elsewhere || answer.Status == coordination.Unclear:
			if !pause(ctx, leaderPause) {
				return coordination.Answer{Status: coordination.Elsewhere}
			}
		case answer.Status != coordination.Done || call.After == 0 || len(answer.Events) > 0 || slice.QueueMS == 0:
			return answer
		}
	}
}

// wait answers a watch at the leader: with the first events above its revision, or with none once its time has passed.
func (c *coordinator) wait(ctx context.Context, group partition.Group, call coordination.Call) (coordination.Answer, string) {
	machine := c.machines[group]
	end := c.member.now() + time.Duration(call.QueueMS)*time.Millisecond
	for {
		joined := machine.waiters.join(call.Name) // before the look: no put is missed
		answer, leader := c.look(ctx, group, func() coordination.Answer { return machine.state.Watch(call.Name, call.After) })
		left := end - c.member.now()
		waits := answer.Status == coordination.Done && call.After != 0 && len(answer.Events) == 0 && left > 0
		if waits {
			joined.wait(ctx, min(left, watchLook))
		}
		machine.waiters.leave(call.Name, joined)
		switch {
		case !waits:
			return answer, leader
		case ctx.Err() != nil:
			return coordination.Answer{Status: coordination.Elsewhere}, ""
		}
	}
}
