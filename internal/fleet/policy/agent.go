package policy

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
)

// Options set up an agent.
type Options[T any] struct {
	Name      string // the router's, unique in its fleet
	Boot      string // of this process, drawn if it is empty
	Listen    string // where it serves, for people
	Label     string // of the program's version, for releases
	Endpoints []string
	Dir       string // "": none, and nothing is kept over a restart
	OnLapse   string // rollout.Refuse or rollout.Keep
	Lease     time.Duration
	// Margin is taken off the lease for clocks that don't run alike.
	Margin   time.Duration
	First    func(ctx context.Context) (string, error) // the policy that comes into force where the store has none
	Patience time.Duration                             // how long an arrival waits for the outcome of a change
	Most     int                                       // how many may wait
	// Check tells why this router can't carry a policy. It changes nothing.
	Check func(text string) error
	// TakeUp makes the terms of a version that passed Check, before the first request is taken under it.
	TakeUp func(v rollout.Version) (T, error)
	// Enter is asked after each registration, before the gate opens under it; an error gives the registration back. nil:
	// nobody is.
	Enter func(ctx context.Context) error
	// Seen is told of each view that is acted on; nil: nobody is.
	Seen func(rollout.View)
	Log  logrus.FieldLogger
	// Broken makes an agent that breaks one rule on purpose, so that checkers can be shown to find it.
	Broken Fault
}

// Fault is a rule that an agent breaks.
type Fault string

// The faults.
const (
	NoHold    Fault = "no-hold"    // it prepares, and takes requests under the old version all the same
	NoLapse   Fault = "no-lapse"   // it does not look at its lease
	FromCache Fault = "from-cache" // it starts from its copy, whatever has happened since
)

// Agent keeps a router in its fleet. Use Open, then Run; Gate is what arrivals pass.
type Agent[T any] struct {
	o      Options[T]
	store  Store
	home   *home
	boot   string
	gate   *Gate[T]
	driver rollout.Driver

	// What follows belongs to Run.
	seen     atomic.Int64 // the revision of the last view
	made     T            // the terms of madeOf
	madeOf   *rollout.Version
	verdicts map[string]error // of the policies that were checked last, by text
	lease    *lease
	reg      atomic.Int64 // the revision of the registration; 0: there is none
	copy     copied
}

var (
	errLost  = errors.New("the registration is gone")
	errTaken = errors.New("the name is held by another daemon")
)

// Open makes an agent; the router's gate is closed until Run has registered it.
func Open[T any](o Options[T]) (*Agent[T], error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	h, err := openHome(o.Dir)
	if err != nil {
		return nil, errors.Join(err, client.Close())
	}
	if o.Boot == "" {
		o.Boot = uuid.NewString()
	}
	return &Agent[T]{o: o, store: Store{client}, home: h, boot: o.Boot, gate: NewGate[T](o.Patience, o.Most),
		driver: rollout.Driver{Router: o.Name}, verdicts: map[string]error{}}, nil
}

// Gate is the gate that arrivals pass.
func (a *Agent[T]) Gate() *Gate[T] { return a.gate }

// Close lets go of the connections and the directory. The router must be stopped by now.
func (a *Agent[T]) Close() error { return errors.Join(a.store.Close(), a.home.close()) }

const (
	retryAfter = 100 * time.Millisecond
	// renewals are made this often in a lease's time.
	renewals = 4
)

// Run keeps the router registered and following until ctx ends; then it takes the registration back. The gate is
// closed from then on.
func (a *Agent[T]) Run(ctx context.Context) {
	a.fromCopy()
	said := ""
	for ctx.Err() == nil {
		err := a.session(ctx)
		if ctx.Err() != nil {
			break
		}
		if err.Error() != said { // a store that is away for long is said once
			said = err.Error()
			a.o.Log.WithField("router", a.o.Name).WithError(err).Warn("policy: registering again")
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryAfter):
		}
	}
	a.gate.set(state[T]{why: "the router has stopped", terms: a.made, lease: newLease(0)})
	a.leave()
	a.reg.Store(0)
}

// fromCopy lets a router that serves on without the store start from its copy, unless it had prepared a change.
func (a *Agent[T]) fromCopy() {
	broken := a.o.Broken == FromCache
	if a.home.dir == "" || (a.o.OnLapse != rollout.Keep && !broken) {
		return
	}
	c, err := a.home.read()
	if err != nil {
		a.o.Log.WithError(err).Error("policy: the copy can't be read")
		return
	}
	if c == nil || c.Version == nil || (c.Prepared != "" && !broken) {
		return
	}
	a.copy = *c
	a.lease = newLease(endless)
	if _, err := a.terms(*c.Version); err != nil {
		a.o.Log.WithError(err).Error("policy: the copy can't be carried")
		return
	}
	a.open(c.Version)
	a.o.Log.WithField("version", c.Version.Version).Warn("policy: serving from the copy until the store answers")
}

// session registers the router and follows the policy until the registration is gone or ctx ends.
func (a *Agent[T]) session(ctx context.Context) error {
	ttl := int64(a.o.Lease / time.Second)
	asked := clock()
	id, err := a.store.Grant(ctx, ttl)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	v, err := a.register(ctx, id)
	if err != nil {
		_ = a.store.Revoke(context.WithoutCancel(ctx), id) // else it ends by itself
		return err
	}
	if a.o.Enter != nil {
		if err := a.o.Enter(ctx); err != nil {
			_ = a.store.Revoke(context.WithoutCancel(ctx), id) // else it ends by itself
			return err
		}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	until := asked + a.o.Lease - a.o.Margin
	if a.o.OnLapse == rollout.Keep || a.o.Broken == NoLapse {
		until = endless
	}
	a.lease = newLease(until)
	triggers := make(chan int, 1) // the place of an endpoint to read from, or byLeader
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		a.keep(ctx, id, a.lease, triggers, stop)
	}()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		a.store.Notify(ctx, live, func(endpoint int) { trigger(triggers, endpoint) })
	}()
	err = a.follow(ctx, v, triggers)
	stop(err)
	<-kept
	<-watched
	if a.o.OnLapse == rollout.Refuse && a.o.Broken != NoLapse {
		a.gate.set(state[T]{why: err.Error(), terms: a.made, lease: newLease(0)})
	}
	return err
}

const byLeader = -1

// trigger has the policy read once more. One that waits already is as good: it is read later.
func trigger(c chan int, endpoint int) {
	select {
	case c <- endpoint:
	default:
	}
}

// follow acts on every view until the registration is gone.
func (a *Agent[T]) follow(ctx context.Context, v rollout.View, triggers chan int) error {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		next, err := a.act(ctx, v)
		if err != nil {
			return err
		}
		wake.Reset(next)
	read:
		for {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-wake.C:
				break read
			case from := <-triggers:
				read, err := a.read(ctx, from)
				if err == nil && read.Revision >= a.seen.Load() {
					v = read
					a.seen.Store(read.Revision)
					break read
				}
			}
		}
	}
}

func (a *Agent[T]) read(ctx context.Context, from int) (rollout.View, error) {
	if from == byLeader {
		return a.store.View(ctx)
	}
	return a.store.copyView(ctx, from)
}

// again is when a view is acted on once more if a write has failed.
const again = 200 * time.Millisecond

// act does what a view asks for, and tells when to do so once more.
func (a *Agent[T]) act(ctx context.Context, v rollout.View) (time.Duration, error) {
	s, registered := rollout.Member{Name: a.o.Name, Boot: a.boot}.Directive(v, a.carries)
	if !registered {
		a.gate.set(state[T]{why: errLost.Error(), terms: a.made, lease: newLease(0)})
		return 0, errLost
	}
	if a.o.Seen != nil {
		a.o.Seen(v)
	}
	if err := a.stand(s, v.Running()); err != nil {
		a.o.Log.WithError(err).Error("policy: the copy can't be written; this router does not go along with a change")
		return again, nil
	}
	if s.Ack != nil {
		r, err := a.store.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(routers+a.o.Name, a.reg.Load())}, Success: []*pb.RequestOp{put(acks+a.o.Name, *s.Ack, 0)}})
		if err != nil {
			return again, nil
		}
		if !r.Succeeded {
			return 0, errLost
		}
		if v.Acks[a.o.Name] = *s.Ack; v.Running() == nil {
			return time.Hour, nil // the watch brings it back
		}
	}
	now := clock()
	next, wake := a.driver.Next(v, now)
	if next == nil {
		if wake == 0 {
			return time.Hour, nil
		}
		return max(wake-now, time.Millisecond), nil
	}
	moved, err := a.store.move(ctx, v.Change.Rev, next)
	if moved {
		a.o.Log.WithFields(logrus.Fields{"change": next.ID, "phase": next.Phase, "round": next.Round, "router": next.Router, "reason": next.Reason}).Info("policy: a change moved on")
	}
	if err != nil {
		return again, nil
	}
	return max(wake-now, time.Millisecond), nil
}

// carries tells whether this router can serve a policy.
func (a *Agent[T]) carries(text string) error {
	if err, known := a.verdicts[text]; known {
		return err
	}
	err := a.o.Check(text)
	if len(a.verdicts) >= 8 {
		clear(a.verdicts)
	}
	a.verdicts[text] = err
	return err
}

// terms are those of a version; they are made once.
func (a *Agent[T]) terms(v rollout.Version) (T, error) {
	if a.madeOf != nil && *a.madeOf == v {
		return a.made, nil
	}
	made, err := a.o.TakeUp(v)
	if err == nil {
		a.made, a.madeOf = made, &v
	}
	return a.made, err
}

// stand sets the gate, and what is kept of it, before anybody is told.
func (a *Agent[T]) stand(s rollout.Directive, running *rollout.Change) error {
	now := a.gate.state.Load()
	switch s.Mode {
	case rollout.Closed:
		if now.mode != rollout.Closed || now.why != s.Reason {
			a.o.Log.WithField("why", s.Reason).Error("policy: not ready")
			a.gate.set(state[T]{why: s.Reason, terms: a.made, lease: newLease(0)})
		}
	case rollout.Holding:
		if err := a.remember(copied{Version: a.copy.Version, Prepared: running.ID}); err != nil {
			return err
		}
		if a.o.Broken == NoHold {
			return nil
		}
		if now.mode != rollout.Holding || now.lease != a.lease {
			a.gate.set(state[T]{mode: rollout.Holding, version: now.version, terms: a.made, lease: a.lease})
		}
	case rollout.Serving:
		if now.mode == rollout.Serving && now.lease == a.lease && a.madeOf != nil && *a.madeOf == *s.Version {
			return nil
		}
		if _, err := a.terms(*s.Version); err != nil { // carries has said that it can be
			a.gate.set(state[T]{why: err.Error(), terms: a.made, lease: newLease(0)})
			return nil
		}
		if err := a.remember(copied{Version: s.Version}); err != nil {
			return err
		}
		a.open(s.Version)
		if now.version != s.Version.Version {
			a.o.Log.WithFields(logrus.Fields{"version": s.Version.Version, "change": s.Version.Change, "by": s.Version.By}).Info("policy: taken up")
		}
	}
	return nil
}

func (a *Agent[T]) open(v *rollout.Version) {
	a.gate.set(state[T]{mode: rollout.Serving, version: v.Version, terms: a.made, lease: a.lease})
}

// remember keeps a copy for a start without the store. Where it can't be written, an old one must not stand for it.
func (a *Agent[T]) remember(c copied) error {
	if a.home.dir == "" || (a.o.OnLapse != rollout.Keep && a.o.Broken != FromCache) || a.copy == c {
		return nil
	}
	if err := a.home.write(c); err != nil {
		a.o.Log.WithError(err).Error("policy: the copy can't be written; it is taken away")
		if err := a.home.forget(); err != nil {
			return err
		}
	}
	a.copy = c
	return nil
}
