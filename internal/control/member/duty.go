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
	// announceDelay is the time between the announcement of an order and the order itself. In this time the proxies stop sending
	// requests to the worker.
	announceDelay = 150 * time.Millisecond
	// orderSendTimeout bounds the request that sends an order to a worker.
	orderSendTimeout = 400 * time.Millisecond
	// leaseMargin is the part of the lease that must be left when the request of an order times out.
	leaseMargin = 50 * time.Millisecond
	// phaseChangeTimeout is how long a phase change may take before it is abandoned.
	phaseChangeTimeout = 5 * time.Second
	// takeoverMargin is added to the configured lease time that a new owner waits before it sends its first order.
	takeoverMargin = time.Second
)

// duty adapts the phases of workers to the load. The owner of each service's partition does this while it holds the lease.
type duty struct {
	member   *Member
	workers  *workerClient
	balances map[string]*phases.Balance // by service
	surveys  map[string]*survey         // by service
	pending  map[string]change          // by worker
	views    *views
	outdated map[partition.Group]uint64 // highest fence that a worker has refused
	sequence uint64                     // sequence number of the newest order or its end
}

// change is a phase change in progress.
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

// serve balances the phases of one partition if this member holds its lease.
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
	if !lease.Settled(d.member.settings.Rules.Lease + takeoverMargin) {
		return // the previous owner may have sent an order just before it lost the lease
	}
	if lease.Fence <= d.outdated[group] {
		return // another member has sent orders with a higher fence
	}
	for service, workers := range services {
		d.finishChanges(workers, lease.Fence)
		d.balance(ctx, group, service, workers)
	}
}

// services returns the services of a partition whose workers have phases, with the workers that are up.
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

// finishChanges ends changes that the workers' heartbeats show as complete, that have timed out, or that a previous owner left
// unfinished.
func (d *duty) finishChanges(workers []registry.Worker, fence uint64) {
	now := d.member.now()
	snapshot, _ := d.member.members.Node().Snapshot()
	for _, worker := range workers {
		entry, found := snapshot.Get(topic.Orders + worker.ID)
		if !found {
			continue
		}
		order, inProgress := topic.OrderOf(entry)
		pending, own := d.pending[worker.ID]
		if inProgress && own && order.Phase != worker.Phase && now-pending.at < phaseChangeTimeout {
			continue
		}
		if own && order.Phase == worker.Phase {
			d.balanceOf(worker.Service).Took(now - pending.at)
		}
		delete(d.pending, worker.ID)
		if inProgress {
			d.clearOrder(worker.ID, fence)
		}
	}
}

// clearOrder publishes that no order for a worker is pending.
func (d *duty) clearOrder(worker string, fence uint64) {
	d.sequence++
	delete(d.pending, worker)
	d.member.members.Node().Put(topic.OrderTombstone(worker, fence, d.sequence))
}

// balance requests the reports of a service's workers and sends the resulting orders.
func (d *duty) balance(ctx context.Context, group partition.Group, service string, workers []registry.Worker) {
	balance := d.balanceOf(service)
	orders := balance.Observe(d.member.now(), d.reports(ctx, service, workers))
	if d.disabledByTrial(balance.View().Reason) {
		orders = nil
	}
	d.recordView(service, balance.View(), len(orders))
	addresses := map[string]string{}
	for _, worker := range workers {
		addresses[worker.ID] = worker.Address
	}
	var sent sync.WaitGroup
	for _, order := range orders {
		d.announce(ctx, group, service, order)
	}
	if len(orders) > 0 {
		time.Sleep(announceDelay)
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
			d.recordRefusal(group, d.pending[order.Worker].fence, results[i])
			d.clearOrder(order.Worker, d.pending[order.Worker].fence)
		}
	}
}

// balanceOf returns the phase balance of a service and creates it if needed.
func (d *duty) balanceOf(service string) *phases.Balance {
	balance := d.balances[service]
	if balance == nil {
		balance = &phases.Balance{WithoutLinks: d.member.settings.Trial.Has(trial.LinkWork)}
		d.balances[service] = balance
	}
	return balance
}

// recordRefusal records a fence that a worker has refused as too low.
func (d *duty) recordRefusal(group partition.Group, fence uint64, cause error) {
	var outdated *outdatedError
	if errors.As(cause, &outdated) {
		d.outdated[group] = max(d.outdated[group], fence)
	}
}

// disabledByTrial reports whether the trial settings disable orders with the given reason.
func (d *duty) disabledByTrial(reason phases.Reason) bool {
	off := d.member.settings.Trial
	if reason == phases.ReasonCold {
		return off.Has(trial.ColdShare)
	}
	return off.Has(trial.Balance)
}

// announce commits an order to the log before it is sent, and publishes it so that the proxies send the worker no new requests.
func (d *duty) announce(ctx context.Context, group partition.Group, service string, order phases.Order) {
	lease, held := d.member.host.Lease(ctx, group)
	if !held {
		return
	}
	command, err := cbor.Marshal(intent{Service: service, Worker: order.Worker, Phase: order.Phase, Fence: lease.Fence})
	if err != nil {
		panic(err) // encoding a plain struct cannot fail
	}
	proposing, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := d.member.host.Propose(proposing, group, command); err != nil {
		return // without a pending entry the order is not sent
	}
	d.sequence++
	d.pending[order.Worker] = change{service: service, phase: order.Phase, fence: lease.Fence, at: d.member.now()}
	d.member.members.Node().Put(topic.OrderEntry(order.Worker, topic.PhaseOrder{Phase: order.Phase}, lease.Fence, d.sequence))
}

// order sends one order if the request can complete within the lease under which the order was committed.
func (d *duty) order(ctx context.Context, group partition.Group, order phases.Order, address string) error {
	lease, held := d.member.host.Lease(ctx, group)
	pending, announced := d.pending[order.Worker]
	limit, allowed := lease.TimeFor(pending.fence, orderSendTimeout, leaseMargin)
	if !held || !announced || !allowed {
		return Error.New("the lease has ended before the order could be sent")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.workers.order(ctx, address, order, d.member.settings.Node, lease.Fence)
}

// reports returns the current or latest report of each worker. Workers that do not answer count as idle.
func (d *duty) reports(ctx context.Context, service string, workers []registry.Worker) []phases.Worker {
	reportSurvey := d.surveys[service]
	if reportSurvey == nil {
		reportSurvey = &survey{}
		d.surveys[service] = reportSurvey
	}
	selected := reportSurvey.nextWorkers(workers)
	reportSurvey.record(workers, d.requestReports(ctx, selected))
	reports := reportSurvey.estimates(workers)
	for i := range reports {
		_, reports[i].Changing = d.pending[reports[i].ID]
	}
	return reports
}

// requestReports requests the reports of workers concurrently.
func (d *duty) requestReports(ctx context.Context, workers []registry.Worker) []phases.Worker {
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
