package member

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/periodic"
)

const (
	// coordinationPromise is the part of the rules under which applications' calls are served.
	coordinationPromise = "coord"
	// firstCoordinationGroup is the first of the partitions that order applications' calls.
	firstCoordinationGroup = firstServiceGroup + servicePartitions
	// coordinationPartitions is how many they are. It must be the same at all members.
	coordinationPartitions = 2

	// callTimeout bounds how long a call is worked on: callers wait for a second.
	callTimeout = 850 * time.Millisecond
	// forwardTimeout bounds one attempt at another member: the call goes on when that one is frozen or cut off.
	forwardTimeout = 350 * time.Millisecond
	// watchSlice is how long a watch waits at the leader before the member that was asked looks again who leads.
	watchSlice = 500 * time.Millisecond
	// watchRecheckInterval is how often a waiting watch looks whether its member still leads.
	watchRecheckInterval = 250 * time.Millisecond
	// maxWatches bounds the watches that wait at a member.
	maxWatches = 1024
	// sweepInterval is how often old events and holdings are looked for.
	sweepInterval = time.Second
	// historyFactor and historyMargin make the time for which events are remembered of the one that is promised.
	historyFactor = 1.5
	historyMargin = 5 * time.Second
)

// callCoordinate brings a call to the member that leads its partition. It is answered Elsewhere by one that does not.
const callCoordinate rpc.Procedure[coordination.Call, coordination.Answer] = "/control/Coordinate"

// coordinator has applications' calls answered by the leader of their partition, wherever they come in. It serves
// steering.Coordination.
type coordinator struct {
	member   *Member
	machines map[partition.Group]*coordinationMachine
	watches  atomic.Int64
	counts   callCounts
}

func newCoordinator(member *Member) *coordinator {
	c := &coordinator{member: member, machines: map[partition.Group]*coordinationMachine{}}
	for number := range partition.Group(coordinationPartitions) {
		c.machines[firstCoordinationGroup+number] = newCoordinationMachine(member.now, member.log, member.faults.Coordination)
	}
	return c
}

// coordinationGroup is the partition that orders a call, by the hash of its group of names.
func coordinationGroup(call coordination.Call) partition.Group {
	return firstCoordinationGroup + partition.Group(xxhash.Sum64String(call.Scope())%coordinationPartitions)
}

// Do serves steering.Coordination. Elsewhere and Full promise that the call has not taken effect and never will; Unclear
// promises nothing. An attempt whose outcome is unclear may be made again: its caller gets the answer to the latest.
func (c *coordinator) Do(ctx context.Context, call coordination.Call) coordination.Answer {
	var answer coordination.Answer
	if call.Kind == coordination.WatchCells {
		answer = c.watch(ctx, call)
	} else {
		answer = c.decide(ctx, call)
	}
	c.counts.add(call.Kind, answer.Status)
	return answer
}

// decide has a call answered that does not wait for others.
func (c *coordinator) decide(ctx context.Context, call coordination.Call) coordination.Answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	unclear := false
	for {
		answer := c.attempt(ctx, call)
		unclear = unclear || answer.Status == coordination.Unclear && call.Kind != coordination.ReadCell
		switch answer.Status {
		case coordination.Unclear, coordination.Elsewhere:
		case coordination.Full:
			if !unclear {
				return answer
			}
		default:
			return answer
		}
		if !pause(ctx, leaderRetryInterval) {
			return unansweredStatus(unclear)
		}
	}
}

func unansweredStatus(unclear bool) coordination.Answer {
	if unclear {
		return coordination.Answer{Status: coordination.Unclear}
	}
	return coordination.Answer{Status: coordination.Elsewhere}
}

// attempt has a call answered here, or by the leader where that is another member.
func (c *coordinator) attempt(ctx context.Context, call coordination.Call) coordination.Answer {
	answer, leader := c.executeAsLeader(ctx, call)
	if answer.Status != coordination.Elsewhere || leader == "" {
		return answer
	}
	limit := forwardTimeout + time.Duration(call.QueueMS)*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	forwarded, err := callCoordinate.Call(ctx, c.member.client, leader, &call)
	var failed *net.OpError
	switch {
	case err == nil:
		return *forwarded
	case errors.As(err, &failed) && failed.Op == "dial":
		return coordination.Answer{Status: coordination.Elsewhere}
	}
	return coordination.Answer{Status: coordination.Unclear}
}

// serveForwarded answers a call that another member passed on.
func (c *coordinator) serveForwarded(ctx context.Context, call *coordination.Call) (*coordination.Answer, error) {
	answer, _ := c.executeAsLeader(ctx, *call)
	return &answer, nil
}

// executeAsLeader answers a call, if this member leads its partition. Else it gives the address of the leader, if that is known.
func (c *coordinator) executeAsLeader(ctx context.Context, call coordination.Call) (coordination.Answer, string) {
	group := coordinationGroup(call)
	machine := c.machines[group]
	switch call.Kind {
	case coordination.ReadCell:
		return c.readAsLeader(ctx, group, func() coordination.Answer { return machine.state.Read(call.Name) })
	case coordination.WatchCells:
		return c.awaitEvents(ctx, group, call)
	case coordination.StartLock:
		return c.startLock(ctx, group, call)
	}
	return c.propose(ctx, group, call, 0)
}

// readAsLeader gives what a readAsLeader at the partition's state tells, if this member leads it. A readAsLeader may still run once the context has
// ended; nobody takes its answer then.
func (c *coordinator) readAsLeader(ctx context.Context, group partition.Group, read func() coordination.Answer) (coordination.Answer, string) {
	result := make(chan coordination.Answer, 1)
	if err := c.member.host.Read(ctx, group, func() { result <- read() }); err != nil {
		return answerOrStatus(coordination.Answer{}, err)
	}
	return <-result, ""
}

// startLock has a lock granted. A holding of another counts as lapsed by this leader's own clock alone, and the command names
// it: if it was renewed meanwhile, or another leader granted the lock, the command changes nothing.
func (c *coordinator) startLock(ctx context.Context, group partition.Group, call coordination.Call) (coordination.Answer, string) {
	machine := c.machines[group]
	var lapsed uint64
	var held bool
	err := c.member.host.Read(ctx, group, func() {
		lapsed, held = machine.ages.Lapsed(c.member.now(), machine.state, call.Name, call.Owner)
	})
	if err != nil || held {
		return answerOrStatus(coordination.Answer{Status: coordination.Held}, err)
	}
	return c.propose(ctx, group, call, lapsed)
}

func (c *coordinator) propose(ctx context.Context, group partition.Group, call coordination.Call, lapsed uint64) (coordination.Answer, string) {
	command, err := call.Encode(lapsed)
	if err != nil {
		c.member.log.Error().Err(err).Msg("a call can't be encoded")
		return coordination.Answer{Status: coordination.Elsewhere}, ""
	}
	value, err := c.member.host.Propose(ctx, group, command)
	answer, is := value.(coordination.Answer)
	if err == nil && !is {
		return coordination.Answer{Status: coordination.Unclear}, ""
	}
	return answerOrStatus(answer, err)
}

// answerOrStatus is an answer unless the partition's host failed to give one.
func answerOrStatus(answer coordination.Answer, err error) (coordination.Answer, string) {
	var elsewhere partition.ErrElsewhere
	switch {
	case err == nil:
		return answer, ""
	case errors.As(err, &elsewhere):
		return coordination.Answer{Status: coordination.Elsewhere}, elsewhere.Leader.Address
	}
	return coordination.Answer{Status: coordination.Unclear}, ""
}

// sweep has what is old dropped until the context ends.
func (c *coordinator) sweep(ctx context.Context) {
	history := time.Duration(historyFactor*float64(c.member.settings.Rules.History)) + historyMargin
	periodic.Run(ctx, sweepInterval, func() {
		for group, machine := range c.machines {
			var sweep coordination.Sweep
			err := c.member.host.ReadUnconfirmed(ctx, group, func() {
				sweep = machine.ages.Sweep(c.member.now(), machine.state, history)
			})
			if err != nil || sweep.Empty() {
				continue
			}
			c.dropOld(ctx, group, sweep)
		}
	})
}

// dropOld has the leader, if this member is it, drop what is old. What fails is made up for by the next sweep.
func (c *coordinator) dropOld(ctx context.Context, group partition.Group, sweep coordination.Sweep) {
	command, err := sweep.Encode()
	if err != nil {
		c.member.log.Error().Err(err).Msg("a sweep can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.member.host.Propose(ctx, group, command)
}
