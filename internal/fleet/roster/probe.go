package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
)

// ProbeTimeout bounds one probe of a server.
const ProbeTimeout = 250 * time.Millisecond

// ProbeSubscription describes which servers a component wants probed, including servers that get no requests from it.
type ProbeSubscription struct {
	// Interval returns the time between probes; 0 pauses the subscription.
	Interval func() time.Duration
	// Select returns the workers to probe in this round. The list is sorted by name.
	Select func(list []core.Worker) []core.Worker
	// OnResult receives the result of each probe. responded is true for any answer, also a refusal; else err has the cause.
	OnResult func(w core.Worker, responded bool, err error)
}

// SubscribeProbes adds a subscription.
func (r *Roster) SubscribeProbes(p ProbeSubscription) { r.subscriptions = append(r.subscriptions, p) }

// RunProbes probes the selected servers periodically until ctx ends. A server that several subscriptions select in the
// same round is probed once.
func (r *Roster) RunProbes(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	due := make([]time.Time, len(r.subscriptions))
	for i := range due {
		due[i] = time.Now().Add(ProbeTimeout)
	}
	timer := time.NewTimer(ProbeTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		list, now := r.Workers(), time.Now()
		next := now.Add(ProbeTimeout) // a paused subscription may resume before the next timer
		subscribers := map[brain.EngineID][]int{}
		for i, subscription := range r.subscriptions {
			period := subscription.Interval()
			if period <= 0 {
				due[i] = now
				continue
			}
			if now.Add(period / 4).After(due[i]) { // subscriptions that are due at nearly the same time share a round
				due[i] = now.Add(period)
				for _, w := range subscription.Select(list) {
					subscribers[w.ID] = append(subscribers[w.ID], i)
				}
			}
			if due[i].Before(next) {
				next = due[i]
			}
		}
		timer.Reset(next.Sub(now))
		for _, w := range list {
			if indexes := subscribers[w.ID]; len(indexes) > 0 {
				probes.Go(func() { r.probe(ctx, w, indexes) })
			}
		}
	}
}

// probe probes a server and passes the result to the subscriptions with the given indexes.
func (r *Roster) probe(ctx context.Context, w core.Worker, indexes []int) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	err := r.options.Probe(ctx, w)
	var attemptErr *core.AttemptError
	responded := err == nil || errors.As(err, &attemptErr) && attemptErr.Verdict != core.NoVerdict
	for _, i := range indexes {
		r.subscriptions[i].OnResult(w, responded, err)
	}
}
