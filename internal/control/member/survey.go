package member

import (
	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
)

// maxReportsPerRound bounds the workers of a service that are asked for reports in one round. Larger services are sampled in
// rotation, so that the owner's work does not grow with the number of workers. The balance of phases needs the mean load of a
// phase, not every report.
const maxReportsPerRound = 100

// survey collects the latest reports of a service's workers.
type survey struct {
	latest map[string]phases.Worker // by id
	next   int                      // index of the first worker to ask in the next round
}

// nextWorkers returns the workers to ask in this round.
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

// record stores new reports. It drops reports of workers that no longer exist or have changed their phase.
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

// estimates returns the latest report of each worker. A worker without a report in its current phase gets the mean of that
// phase.
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

// means returns the mean report by phase. Silent workers are not counted.
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
