package partition

import (
	"context"
	"errors"

	"sumacloft/internal/control/consensus"
)

// ErrElsewhere says that another member leads the partition.
type ErrElsewhere struct{ Leader consensus.Member } // its Address is empty while none is known

// Error says what to do.
func (e ErrElsewhere) Error() string {
	if e.Leader.Address == "" {
		return "the partition has no leader now: try again"
	}
	return "the partition is led by " + e.Leader.Node + ": ask it"
}

// proposal waits for its command to be applied.
type proposal struct {
	term consensus.Term
	done chan result
}

type result struct {
	value any
	err   error
}

// Propose has a command committed and gives what the state machine made of it. ErrElsewhere says that nothing was done;
// any other error that it is not known what becomes of the command.
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

// Read runs a look at a partition's state once it holds all that was committed before. ErrElsewhere says that this
// member does not lead it, or can't be sure that it does.
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

// ReadUnconfirmed runs a look at a partition's state as it is here: others may know better.
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

// Lease gives this member's lease on a partition, as a majority granted it; false if it holds none.
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
