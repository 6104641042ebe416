package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
)

// ProbeTimeout is how long a probe of a server is waited for.
const ProbeTimeout = 250 * time.Millisecond

// ProbeSubscription is what a room wants to hear of servers that it may send nothing to.
type ProbeSubscription struct {
	// Interval is how often it asks; 0: not at all just now.
	Interval func() time.Duration
	// Select chooses, of the workers as listed, by name, those that are asked this time.
	Select func(list []core.Worker) []core.Worker
	// OnResult is told of each of them: it answered, whatever it said, or err tells why not.
	OnResult func(w core.Worker, responded bool, err error)
}

// SubscribeProbes registers a room that has servers probed.
func (r *Roster) SubscribeProbes(subscription ProbeSubscription) {
	r.subscriptions = append(r.subscriptions, subscription)
}

// RunProbes asks servers for a sign of life, again and again, until ctx ends. A server that several rooms ask for at a time
// is asked once.
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
		next := now.Add(ProbeTimeout) // a room that asks for nothing may do so soon
		subscribers := map[brain.EngineID][]int{}
		for i, subscription := range r.subscriptions {
			period := subscription.Interval()
			if period <= 0 {
				due[i] = now
				continue
			}
			if now.Add(period / 4).After(due[i]) { // rooms of about one time ask together
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

// probe asks a server and tells the rooms that asked for it.
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
