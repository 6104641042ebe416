package policy

import (
	"context"
	"fmt"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
)

// register writes the registration, with the lease, and reads all that is alive in the same transaction: whatever
// runs then, this router knows of it before it takes a request.
func (a *Agent[T]) register(ctx context.Context, id int64) (rollout.View, error) {
	v, err := a.store.View(ctx)
	if err == nil && v.Current == nil {
		var first string
		if first, err = a.o.First(ctx); err == nil {
			err = a.store.seed(ctx, first, a.o.Name)
		}
		if err == nil {
			v, err = a.store.View(ctx)
		}
	}
	if err != nil {
		return v, fmt.Errorf("store: %w", err)
	}
	old, held := v.Routers[a.o.Name]
	if held && old.Boot != a.boot && (a.home.id == "" || old.Home != a.home.id) {
		return v, fmt.Errorf("%w: name %q, listening at %s; if that one is gone its lease ends by itself (with on_lapse = \"keep\": sumactl routers remove)", errTaken, a.o.Name, old.Listen)
	}
	me := rollout.Router{Name: a.o.Name, Boot: a.boot, Home: a.home.id, OnLapse: a.o.OnLapse, Listen: a.o.Listen, Label: a.o.Label, LeaseMs: a.o.Lease.Milliseconds()}
	ops := []*pb.RequestOp{put(routers+a.o.Name, me, id)}
	if a.o.OnLapse == rollout.Keep {
		ops = []*pb.RequestOp{put(routers+a.o.Name, me, 0), put(alive+a.o.Name, a.boot, id)}
	}
	r, err := a.store.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(routers+a.o.Name, old.Rev)}, Success: append(ops, etcd.Get(etcd.Under(live, false)))})
	switch {
	case err != nil:
		return v, fmt.Errorf("store: %w", err)
	case !r.Succeeded:
		return v, fmt.Errorf("%w: name %q, taken at the same moment", errTaken, a.o.Name)
	}
	v, err = view(r.Responses[len(r.Responses)-1].GetResponseRange(), r.Header.Revision)
	if err != nil {
		return v, err
	}
	a.reg.Store(r.Header.Revision)
	a.seen.Store(r.Header.Revision)
	return v, nil
}

// keep renews the lease until ctx ends or the lease is gone, which ends the session. The time that counts is when a
// renewal was asked for. A renewal that shows the store to be ahead of what was read has it read again.
func (a *Agent[T]) keep(ctx context.Context, id int64, l *lease, triggers chan int, stop context.CancelCauseFunc) {
	every := time.NewTicker(a.o.Lease / renewals)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		asked := clock()
		alive, revision, err := a.store.KeepAlive(ctx, id)
		switch {
		case err != nil: // the lease goes on until it is over; the next renewal may pass
		case !alive:
			stop(errLost)
			return
		default:
			l.extend(asked + a.o.Lease - a.o.Margin)
			if revision > a.seen.Load() {
				trigger(triggers, byLeader)
			}
		}
	}
}

// Fence gives the comparisons that hold while this router's registration is alive; false: it is not registered. A write
// of the fleet's state goes with them, so that a router that was passed over meanwhile writes nothing.
func (a *Agent[T]) Fence() ([]*pb.Compare, bool) {
	reg := a.reg.Load()
	if reg == 0 {
		return nil, false
	}
	out := []*pb.Compare{etcd.At(routers+a.o.Name, reg)}
	if a.o.OnLapse == rollout.Keep { // the registration outlives its lease there
		out = append(out, etcd.At(alive+a.o.Name, reg))
	}
	return out, true
}

// leave takes the registration back, so that no change waits for it. What can't be taken back ends with its lease.
func (a *Agent[T]) leave() {
	ctx, done := context.WithTimeout(context.Background(), callLimit)
	defer done()
	if a.home.dir != "" && a.o.Broken != FromCache {
		if err := a.home.forget(); err != nil {
			a.o.Log.WithError(err).Warn("policy: the copy can't be taken away")
			return // it stands as long as the registration does
		}
	}
	_, err := a.store.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(routers+a.o.Name, a.reg.Load())},
		Success: []*pb.RequestOp{etcd.Del(routers + a.o.Name), etcd.Del(alive + a.o.Name), etcd.Del(acks + a.o.Name)}})
	if err != nil {
		a.o.Log.WithError(err).Warn("policy: the registration was not taken back; it ends with its lease")
	}
}
