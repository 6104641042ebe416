package member

import (
	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
)

// mostReports is how many workers of a service are asked for their reports in one round. With more of them rounds take turns,
// so that the owner's work does not grow with the workers; the shares of phases need the mean, not each report.
const mostReports = 100

// survey holds the latest reports of a service's workers.
type survey struct {
	latest map[string]phases.Worker // by id
	next   int                      // place of the first worker to ask in the next round
}

// due are the workers to ask in this round.
func (s *survey) due(workers []registry.Worker) []registry.Worker {
	if len(workers) <= mostReports {
		return workers
	}
	due := make([]registry.Worker, 0, mostReports)
	for range mostReports {
		s.next %= len(workers)
		due = append(due, workers[s.next])
		s.next++
	}
	return due
}

// take keeps reports that have come, and forgets workers that are gone.
func (s *survey) take(workers []registry.Worker, reports []phases.Worker) {
	latest := make(map[string]phases.Worker, len(workers))
	for _, worker := range workers {
		if known, found := s.latest[worker.ID]; found && known.Phase == worker.Phase {
			latest[worker.ID] = known
		}
	}
	for _, report := range reports {
		latest[report.ID] = report
	}
	s.latest = latest
}

// all describes each worker by its latest report; one without a report in its phase by the mean of that phase.
func (s *survey) all(workers []registry.Worker) []phases.Worker {
	means := s.means()
	described := make([]phases.Worker, 0, len(workers))
	for _, worker := range workers {
		one, found := s.latest[worker.ID]
		if !found {
			one = means[worker.Phase]
			one.ID, one.Zone, one.Phase, one.Capacity = worker.ID, worker.Zone, worker.Phase, worker.Capacity
		}
		described = append(described, one)
	}
	return described
}

// means are what workers report on the average, by phase.
func (s *survey) means() map[string]phases.Worker {
	counts := map[string]int{}
	sums := map[string]phases.Worker{}
	for _, report := range s.latest {
		if report.Silent {
			continue
		}
		counts[report.Phase]++
		sum := sums[report.Phase]
		sum.Working += report.Working
		sum.Queued += report.Queued
		sum.Memory += report.Memory
		sums[report.Phase] = sum
	}
	for phase, sum := range sums {
		count := counts[phase]
		sums[phase] = phases.Worker{Working: sum.Working / count, Queued: sum.Queued / count, Memory: sum.Memory / float64(count)}
	}
	return sums
}
