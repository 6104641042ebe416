package partition

import (
	"context"
	"errors"

	"sumacloft/internal/control/consensus"
)

// ErrElsewhere reports that another member leads the partition.
type ErrElsewhere struct{ Leader consensus.Member } // its Address is empty if no leader is known

// Error names the member to ask.
func (e ErrElsewhere) Error() string {
	if e.Leader.Address == "" {
		return "the partition has no leader now: try again"
	}
	return "the partition is led by " + e.Leader.Node + ": ask it"
}

// proposal is a command that waits to be applied.
type proposal struct {
	term consensus.Term
	done chan result
}

type result struct {
	value any
	err   error
}

// Propose commits a command and returns the state machine's result. ErrElsewhere means that the command was not proposed. After
// any other error its outcome is unknown.
func (h *Host) Propose(ctx context.Context, number Group, command []byte) (any, error) {
	done := make(chan result, 1)
	h.post(func() { h.propose(number, command, done) })
	select {
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown.Wrap(ctx.Err())
	case r := <-done:
		return r.value, r.err
	}
}

func (h *Host) propose(number Group, command []byte, done chan result) {
	g := h.groups[number]
	index, term, err := g.node.Propose(h.now(), command)
	if err != nil {
		done <- result{err: notLeaderError(err)}
		return
	}
	if superseded := g.proposals[index]; superseded != nil {
		superseded.done <- result{err: ErrOutcomeUnknown.New("another leader took over")}
	}
	g.proposals[index] = &proposal{term: term, done: done}
}

func notLeaderError(err error) error {
	var notLeader consensus.ErrNotLeader
	if errors.As(err, &notLeader) {
		return ErrElsewhere{Leader: notLeader.Leader}
	}
	return ErrElsewhere{}
}

// Read runs inspect on a partition's state once that includes everything committed before the call. ErrElsewhere means that this
// member is not the leader or cannot confirm that it is.
func (h *Host) Read(ctx context.Context, number Group, inspect func()) error {
	done := make(chan error, 1)
	h.post(func() { done <- h.read(number, inspect) })
	select {
	case <-ctx.Done():
		return ErrOutcomeUnknown.Wrap(ctx.Err())
	case err := <-done:
		return err
	}
}

func (h *Host) read(number Group, inspect func()) error {
	g := h.groups[number]
	index, ready := g.node.ReadIndexReady(h.now())
	if !ready || g.applied < index {
		leader, known := g.node.Leader()
		if !known || leader.ID == h.config.Self.ID {
			return ErrElsewhere{}
		}
		return ErrElsewhere{Leader: leader}
	}
	inspect()
	return nil
}

// ReadUnconfirmed runs inspect on the local state, which may be stale.
func (h *Host) ReadUnconfirmed(ctx context.Context, number Group, inspect func()) error {
	done := make(chan struct{})
	h.post(func() {
		inspect()
		close(done)
	})
	select {
	case <-ctx.Done():
		return ErrOutcomeUnknown.Wrap(ctx.Err())
	case <-done:
		return nil
	}
}

// Lease returns this member's lease on a partition as granted by a majority, and false if it holds none.
func (h *Host) Lease(ctx context.Context, number Group) (Lease, bool) {
	done := make(chan Lease, 1)
	h.post(func() { done <- h.lease(number) })
	select {
	case <-ctx.Done():
		return Lease{}, false
	case lease := <-done:
		return lease, lease.Left > 0
	}
}

func (h *Host) lease(number Group) Lease {
	g := h.groups[number]
	return LeaseOf(g.node, h.now(), g.leaderSince)
}
