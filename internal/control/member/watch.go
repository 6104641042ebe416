package member

import (
	"context"
	"time"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
)

// watch executes a watch at the leader in slices, so that a change of leader is noticed at the next slice.
func (c *coordinator) watch(ctx context.Context, call coordination.Call) coordination.Answer {
	if c.watches.Add(1) > maxWatches {
		c.watches.Add(-1)
		return coordination.Answer{Status: coordination.Full}
	}
	defer c.watches.Add(-1)
	queue := time.Duration(call.QueueMS) * time.Millisecond
	end := c.member.now() + queue
	ctx, cancel := context.WithTimeout(ctx, queue+callTimeout)
	defer cancel()
	for {
		left := max(end-c.member.now(), 0)
		slice := call
		slice.QueueMS = uint64(min(left, watchSlice).Milliseconds())
		answer := c.attempt(ctx, slice)
		switch {
		case answer.Status == coordination.Elsewhere || answer.Status == coordination.Unclear:
			if !pause(ctx, leaderRetryInterval) {
				return coordination.Answer{Status: coordination.Elsewhere}
			}
		case answer.Status != coordination.Done || call.After == 0 || len(answer.Events) > 0 || slice.QueueMS == 0:
			return answer
		}
	}
}

// awaitEvents executes a watch at the leader. It returns the first events above the revision, or none after the timeout.
func (c *coordinator) awaitEvents(ctx context.Context, group partition.Group, call coordination.Call) (coordination.Answer, string) {
	machine := c.machines[group]
	end := c.member.now() + time.Duration(call.QueueMS)*time.Millisecond
	for {
		watchers := machine.waiters.join(call.Name) // before the read, so that no write is missed
		answer, leader := c.readAsLeader(ctx, group, func() coordination.Answer { return machine.state.Watch(call.Name, call.After) })
		left := end - c.member.now()
		mustWait := answer.Status == coordination.Done && call.After != 0 && len(answer.Events) == 0 && left > 0
		if mustWait {
			watchers.wait(ctx, min(left, watchRecheckInterval))
		}
		machine.waiters.leave(call.Name, watchers)
		switch {
		case !mustWait:
			return answer, leader
		case ctx.Err() != nil:
			return coordination.Answer{Status: coordination.Elsewhere}, ""
		}
	}
}
