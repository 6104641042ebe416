package member

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/partition"
	"sumacloft/internal/mesh/rpc"
)

// LocksQuestion is a request for the locks that are held.
type LocksQuestion struct {
	Group partition.Group `cbor:"1,keyasint,omitempty"` // only this partition, if the member leads it; 0 means all
}

// LocksAnswer lists the locks, sorted by name.
type LocksAnswer struct {
	Locks []LockHeld `cbor:"1,keyasint,omitempty"`
	// Unknown lists the partitions whose leader could not be reached.
	Unknown []string `cbor:"2,keyasint,omitempty"`
}

// LockHeld is a lock that is held.
type LockHeld struct {
	Name   string `cbor:"1,keyasint"`
	Owner  string `cbor:"2,keyasint"`
	Fence  uint64 `cbor:"3,keyasint"`
	HoldMS uint64 `cbor:"4,keyasint"` // lease from the last renewal on
	LeftMS int64  `cbor:"5,keyasint"` // remaining lease by the leader's clock; if negative, the next caller gets the lock
}

// Calls of operators to a control member that serves applications.
const (
	CallLocks       rpc.Procedure[LocksQuestion, LocksAnswer]             = "/control/Locks"
	CallApplication rpc.Procedure[coordination.Call, coordination.Answer] = "/control/Application"
)

// handle registers the calls of other members and of operators.
func (c *coordinator) handle(mux *http.ServeMux) {
	callCoordinate.Handle(mux, c.serveForwarded)
	CallLocks.Handle(mux, c.locks)
	CallApplication.Handle(mux, func(ctx context.Context, call *coordination.Call) (*coordination.Answer, error) {
		answer := c.Do(ctx, *call)
		return &answer, nil
	})
}

// locks lists the locks that are held in one partition or all.
func (c *coordinator) locks(ctx context.Context, question *LocksQuestion) (*LocksAnswer, error) {
	if question.Group != 0 {
		return c.locksOf(ctx, question.Group)
	}
	listed := &LocksAnswer{}
	for group := range c.machines {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := atLeader(ctx, func() (*LocksAnswer, error) { return c.locksOf(ctx, group) },
			func(leader string) (*LocksAnswer, error) {
				return CallLocks.Call(ctx, c.member.client, leader, &LocksQuestion{Group: group})
			})
		cancel()
		if err != nil {
			listed.Unknown = append(listed.Unknown, partitionName(group))
			continue
		}
		listed.Locks = append(listed.Locks, answer.Locks...)
	}
	slices.SortFunc(listed.Locks, func(a, b LockHeld) int { return cmp.Compare(a.Name, b.Name) })
	return listed, nil
}

// locksOf lists the locks of one partition if this member leads it.
func (c *coordinator) locksOf(ctx context.Context, group partition.Group) (*LocksAnswer, error) {
	machine := c.machines[group]
	if machine == nil {
		return nil, Error.New("there is no partition %d of applications' names: ask a member of the same release", group)
	}
	answer := &LocksAnswer{}
	err := c.member.host.Read(ctx, group, func() {
		now := c.member.now()
		machine.state.Holdings(func(name string, held coordination.Holding) {
			answer.Locks = append(answer.Locks, LockHeld{
				Name:   name,
				Owner:  held.Owner,
				Fence:  held.Fence,
				HoldMS: held.HoldMS,
				LeftMS: machine.ages.Left(now, name, held).Milliseconds(),
			})
		})
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}
