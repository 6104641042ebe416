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
	// coordinationPromise is the name of the rule that enables applications' calls.
	coordinationPromise = "coord"
	// firstCoordinationGroup is the first of the partitions that hold the state of applications' calls.
	firstCoordinationGroup = firstServiceGroup + servicePartitions
	// coordinationPartitions is the number of these partitions. It must be the same at all members.
	coordinationPartitions = 2

	// callTimeout bounds the handling of a call. It is shorter than the callers' timeout of one second.
	callTimeout = 850 * time.Millisecond
	// forwardTimeout bounds one attempt at another member, so that the call can be retried if that member hangs or is
	// partitioned.
	forwardTimeout = 350 * time.Millisecond
	// watchSlice is how long a watch waits at the leader before the receiving member looks up the leader again.
	watchSlice = 500 * time.Millisecond
	// watchRecheckInterval is how often a waiting watch checks whether its member still leads.
	watchRecheckInterval = 250 * time.Millisecond
	// maxWatches bounds the concurrent watches at a member.
	maxWatches = 1024
	// sweepInterval is the interval of the removal of old events and lock holdings.
	sweepInterval = time.Second
	// historyFactor and historyMargin extend the guaranteed history to the time for which events are kept.
	historyFactor = 1.5
	historyMargin = 5 * time.Second
)

// callCoordinate forwards a call to the leader of its partition. A member that does not lead answers Elsewhere.
const callCoordinate rpc.Procedure[coordination.Call, coordination.Answer] = "/control/Coordinate"

// coordinator executes applications' calls at the leader of their partition, whichever member receives them. It implements
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

// coordinationGroup returns the partition of a call, chosen by the hash of its group of names.
func coordinationGroup(call coordination.Call) partition.Group {
	return firstCoordinationGroup + partition.Group(xxhash.Sum64String(call.Scope())%coordinationPartitions)
}

// Do implements steering.Coordination. Elsewhere and Full guarantee that the call has not taken effect and never will.
// Unclear guarantees nothing. An attempt with an unclear outcome may be retried; the caller gets the answer to the last one.
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

// decide executes a call other than a watch. It retries until the call is answered or times out.
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

// attempt executes a call locally, or at the leader if that is another member.
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

// serveForwarded answers a call that another member forwarded.
func (c *coordinator) serveForwarded(ctx context.Context, call *coordination.Call) (*coordination.Answer, error) {
	answer, _ := c.executeAsLeader(ctx, *call)
	return &answer, nil
}

// executeAsLeader executes a call if this member leads its partition. Otherwise it returns the address of the leader, if known.
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

// readAsLeader reads the state of a partition if this member leads it. The read may still run after the context has ended.
// The channel is buffered so that such a read does not block.
func (c *coordinator) readAsLeader(ctx context.Context, group partition.Group, read func() coordination.Answer) (coordination.Answer, string) {
	result := make(chan coordination.Answer, 1)
	if err := c.member.host.Read(ctx, group, func() { result <- read() }); err != nil {
		return answerOrStatus(coordination.Answer{}, err)
	}
	return <-result, ""
}

// startLock acquires a lock. Whether the lease of another holder has lapsed is decided by the clock of this leader. The
// command names the lapsed holding. If it was renewed meanwhile, or another leader granted the lock, the command has no effect.
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
		c.member.log.Error().Err(err).Msg("cannot encode a call")
		return coordination.Answer{Status: coordination.Elsewhere}, ""
	}
	value, err := c.member.host.Propose(ctx, group, command)
	answer, is := value.(coordination.Answer)
	if err == nil && !is {
		return coordination.Answer{Status: coordination.Unclear}, ""
	}
	return answerOrStatus(answer, err)
}

// answerOrStatus returns the answer, or the status and leader address that correspond to an error of the partition host.
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

// sweep periodically removes old events and lapsed holdings until the context ends.
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

// dropOld proposes a sweep. It has an effect only if this member leads. After a failure the next sweep tries again.
func (c *coordinator) dropOld(ctx context.Context, group partition.Group, sweep coordination.Sweep) {
	command, err := sweep.Encode()
	if err != nil {
		c.member.log.Error().Err(err).Msg("cannot encode a sweep")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.member.host.Propose(ctx, group, command)
}
