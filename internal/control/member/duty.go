package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/partition"
	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/periodic"
	"sumacloft/internal/trial"
)

const (
	// reportInterval is how often the owner of a partition asks the workers of its services for their reports.
	reportInterval = time.Second
	// noteTime is how long the proxies are given to send a worker nothing more before it is ordered to change.
	noteTime = 150 * time.Millisecond
	// orderTime bounds one order to a worker.
	orderTime = 400 * time.Millisecond
	// leaseMargin of the lease must be left when an order that is under way ends at the latest.
	leaseMargin = 50 * time.Millisecond
	// changeLimit is how long a change of phase may take before it is given up.
	changeLimit = 5 * time.Second
	// turnMargin is how much longer than the operator's bound a new owner waits until it gives its first order.
	turnMargin = time.Second
)

// duty keeps the phases of workers with the load: a duty of the owner of each service's partition, under its lease.
type duty struct {
	member   *Member
	workers  *workerClient
	balances map[string]*phases.Balance // by service
	surveys  map[string]*survey         // by service
	pending  map[string]change          // by worker
	views    *views
	outdated map[partition.Group]uint64 // highest fence that a worker has refused
	number   uint64                     // of the newest order or its end
}

// change is an order under way.
type change struct {
	service string
	phase   string
	fence   uint64
	at      time.Duration
}

func newDuty(member *Member) *duty {
	return &duty{
		member:   member,
		workers:  newWorkerClient(member.network),
		balances: map[string]*phases.Balance{},
		surveys:  map[string]*survey{},
		pending:  map[string]change{},
		views:    &member.views,
		outdated: map[partition.Group]uint64{},
	}
}

func (d *duty) run(ctx context.Context) {
	periodic.Run(ctx, reportInterval, func() {
		for number := range servicePartitions {
			d.serve(ctx, firstServiceGroup+partition.Group(number))
		}
	})
}

// serve does the duty for one partition, if this member holds its lease.
func (d *duty) serve(ctx context.Context, group partition.Group) {
	lease, held := d.member.host.Lease(ctx, group)
	services := d.services(group)
	if !held {
		for service := range services {
			delete(d.balances, service)
			delete(d.surveys, service)
			d.views.forget(service)
		}
		return
	}
	if !lease.Settled(d.member.settings.Rules.Lease + turnMargin) {
		return // the holder before may have given an order just before it lost the lease
	}
	if lease.Fence <= d.outdated[group] {
		return // another member has ordered under a higher fence: nothing more under this one
	}
	for service, workers := range services {
		d.settle(workers, lease.Fence)
		d.balance(ctx, group, service, workers)
	}
}

// services are the services of a partition whose workers have phases, with those workers that are up.
func (d *duty) services(group partition.Group) map[string][]registry.Worker {
	d.member.mu.Lock()
	view := d.member.registry.View()
	d.member.mu.Unlock()
	services := map[string][]registry.Worker{}
	for _, service := range view.Services() {
		if groupOf(service) != group {
			continue
		}
		for _, worker := range view.Workers(service) {
			if worker.State == registry.Up && worker.Phase != "" {
				services[service] = append(services[service], worker)
			}
		}
	}
	return services
}

// settle ends the changes that the workers' heartbeats show as done, those that take too long, and those that an owner
// before has left behind.
func (d *duty) settle(workers []registry.Worker, fence uint64) {
	now := d.member.now()
	snapshot, _ := d.member.members.Node().Snapshot()
	for _, worker := range workers {
		entry, found := snapshot.Get(topic.Orders + worker.ID)
		if !found {
			continue
		}
		order, underWay := topic.OrderOf(entry)
		pending, own := d.pending[worker.ID]
		if underWay && own && order.Phase != worker.Phase && now-pending.at < changeLimit {
			continue
		}
		if own && order.Phase == worker.Phase {
			d.balanceOf(worker.Service).Took(now - pending.at)
		}
		delete(d.pending, worker.ID)
		if underWay {
			d.end(worker.ID, fence)
		}
	}
}

// end tells the fleet that no order for a worker is under way.
func (d *duty) end(worker string, fence uint64) {
	d.number++
	delete(d.pending, worker)
	d.member.members.Node().Put(topic.OrderTombstone(worker, fence, d.number))
}

// balance asks the workers of a service for their reports and sends the orders that follow.
func (d *duty) balance(ctx context.Context, group partition.Group, service string, workers []registry.Worker) {
	balance := d.balanceOf(service)
	orders := balance.Observe(d.member.now(), d.reports(ctx, service, workers))
	if d.leftOut(balance.View().Reason) {
		orders = nil
	}
	d.note(service, balance.View(), len(orders))
	addresses := map[string]string{}
	for _, worker := range workers {
		addresses[worker.ID] = worker.Address
	}
	var sent sync.WaitGroup
	for _, order := range orders {
		d.announce(ctx, group, service, order)
	}
	if len(orders) > 0 {
		time.Sleep(noteTime)
	}
	results := make([]error, len(orders))
	for i, order := range orders {
		sent.Add(1)
		go func() {
			defer sent.Done()
			results[i] = d.order(ctx, group, order, addresses[order.Worker])
		}()
	}
	sent.Wait()
	for i, order := range orders {
		d.member.log.Info().Str("worker", order.Worker).Str("phase", order.Phase).Err(results[i]).Msg("worker ordered to change its phase")
		if results[i] != nil {
			d.refused(group, d.pending[order.Worker].fence, results[i])
			d.end(order.Worker, d.pending[order.Worker].fence)
		}
	}
}

// balanceOf is the balance of a service's phases.
func (d *duty) balanceOf(service string) *phases.Balance {
	balance := d.balances[service]
	if balance == nil {
		balance = &phases.Balance{WithoutLinks: d.member.settings.Trial.Has(trial.LinkWork)}
		d.balances[service] = balance
	}
	return balance
}

// refused notes a fence that a worker has refused as too low.
func (d *duty) refused(group partition.Group, fence uint64, why error) {
	var outdated *outdatedError
	if errors.As(why, &outdated) {
		d.outdated[group] = max(d.outdated[group], fence)
	}
}

// leftOut tells whether a trial leaves out the orders that are given for a reason.
func (d *duty) leftOut(reason phases.Reason) bool {
	off := d.member.settings.Trial
	if reason == phases.ReasonCold {
		return off.Has(trial.ColdShare)
	}
	return off.Has(trial.Balance)
}

// announce writes an order down before it is sent, and has the proxies send its worker nothing new.
func (d *duty) announce(ctx context.Context, group partition.Group, service string, order phases.Order) {
	lease, held := d.member.host.Lease(ctx, group)
	if !held {
		return
	}
	command, err := cbor.Marshal(intent{Service: service, Worker: order.Worker, Phase: order.Phase, Fence: lease.Fence})
	if err != nil {
		panic(err) // a plain struct can always be encoded
	}
	proposing, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	if _, err := d.member.host.Propose(proposing, group, command); err != nil {
		return // it is not pending, so it is not sent
	}
	d.number++
	d.pending[order.Worker] = change{service: service, phase: order.Phase, fence: lease.Fence, at: d.member.now()}
	d.member.members.Node().Put(topic.OrderEntry(order.Worker, topic.PhaseOrder{Phase: order.Phase}, lease.Fence, d.number))
}

// order sends one order, if it ends well inside of the lease under which it was written down.
func (d *duty) order(ctx context.Context, group partition.Group, order phases.Order, address string) error {
	lease, held := d.member.host.Lease(ctx, group)
	pending, written := d.pending[order.Worker]
	limit, may := lease.TimeFor(pending.fence, orderTime, leaseMargin)
	if !held || !written || !may {
		return Error.New("the lease has ended: the next owner decides anew")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.workers.order(ctx, address, order, d.member.settings.Node, lease.Fence)
}

// reports are the workers as they describe themselves, or did when they were last asked; those that do not answer count as
// idle.
func (d *duty) reports(ctx context.Context, service string, workers []registry.Worker) []phases.Worker {
	known := d.surveys[service]
	if known == nil {
		known = &survey{}
		d.surveys[service] = known
	}
	due := known.due(workers)
	known.take(workers, d.ask(ctx, due))
	reports := known.all(workers)
	for i := range reports {
		_, reports[i].Changing = d.pending[reports[i].ID]
	}
	return reports
}

// ask has workers report, all at once.
func (d *duty) ask(ctx context.Context, workers []registry.Worker) []phases.Worker {
	reports := make([]phases.Worker, len(workers))
	var asked sync.WaitGroup
	for i, worker := range workers {
		asked.Add(1)
		go func() {
			defer asked.Done()
			reports[i] = d.workers.report(ctx, worker)
		}()
	}
	asked.Wait()
	return reports
}
