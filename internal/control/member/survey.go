package member

import (
	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
)

// maxReportsPerRound is how many workers of a service are asked for their reports in one round. With more of them rounds take turns,
// so that the owner's work does not grow with the workers; the shares of phases need the mean, not each report.
const maxReportsPerRound = 100

// survey holds the latest reports of a service's workers.
type survey struct {
	latest map[string]phases.Worker // by id
	next   int                      // place of the first worker to ask in the next round
}

// nextWorkers are the workers to ask in this round.
func (s *survey) nextWorkers(workers []registry.Worker) []registry.Worker {
	if len(workers) <= maxReportsPerRound {
		return workers
	}
	selected := make([]registry.Worker, 0, maxReportsPerRound)
	for range maxReportsPerRound {
		s.next %= len(workers)
		selected = append(selected, workers[s.next])
		s.next++
	}
	return selected
}

// record keeps reports that have come, and forgets workers that are gone.
func (s *survey) record(workers []registry.Worker, reports []phases.Worker) {
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

// estimates describes each worker by its latest report; one without a report in its phase by the mean of that phase.
func (s *survey) estimates(workers []registry.Worker) []phases.Worker {
	means := s.means()
	estimated := make([]phases.Worker, 0, len(workers))
	for _, worker := range workers {
		report, found := s.latest[worker.ID]
		if !found {
			report = means[worker.Phase]
			report.ID, report.Zone, report.Phase, report.Capacity = worker.ID, worker.Zone, worker.Phase, worker.Capacity
		}
		estimated = append(estimated, report)
	}
	return estimated
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
