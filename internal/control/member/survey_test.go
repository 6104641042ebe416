package member

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
)

// makeWorkers returns count workers, every second one a writer.
func makeWorkers(count int) []registry.Worker {
	workers := make([]registry.Worker, 0, count)
	for number := range count {
		phase := phases.Reading
		if number%2 == 0 {
			phase = phases.Writing
		}
		workers = append(workers, registry.Worker{ID: fmt.Sprintf("w-%04d", number), Zone: "north", Phase: phase, Capacity: 64})
	}
	return workers
}

// makeReports returns reports in which writers run 30 requests and readers 2.
func makeReports(workers []registry.Worker) []phases.Worker {
	reports := make([]phases.Worker, 0, len(workers))
	for _, worker := range workers {
		report := phases.Worker{ID: worker.ID, Zone: worker.Zone, Phase: worker.Phase, Capacity: worker.Capacity, Working: 2}
		if worker.Phase == phases.Writing {
			report.Working, report.Memory = 30, 0.5
		}
		reports = append(reports, report)
	}
	return reports
}

func TestFewWorkersAreAllSampledEachRound(t *testing.T) {
	c := qt.New(t)
	workers := makeWorkers(maxReportsPerRound)
	var s survey
	for range 3 {
		c.Assert(s.nextWorkers(workers), qt.DeepEquals, workers)
	}
}

func TestManyWorkersAreSampledInRotation(t *testing.T) {
	c := qt.New(t)
	// Given more workers than are asked in one round,
	workers := makeWorkers(5*maxReportsPerRound/2 + 1)
	var s survey
	asked := map[string]int{}
	// when three rounds have passed,
	for range 3 {
		due := s.nextWorkers(workers)
		c.Assert(due, qt.HasLen, maxReportsPerRound)
		for _, worker := range due {
			asked[worker.ID]++
		}
	}
	// then each worker has been asked once or twice.
	c.Assert(asked, qt.HasLen, len(workers))
	for id, times := range asked {
		c.Assert(times <= 2, qt.IsTrue, qt.Commentf("%s was asked %d times", id, times))
	}
}

func TestWorkerWithoutReportGetsMeanOfItsPhase(t *testing.T) {
	c := qt.New(t)
	// Given many workers of which one round has asked some, and one that has changed its phase since,
	workers := makeWorkers(3 * maxReportsPerRound)
	var s survey
	due := s.nextWorkers(workers)
	s.record(workers, makeReports(due))
	workers[0].Phase = phases.Reading
	s.record(workers, nil)
	// when the load of all workers is estimated,
	estimated := s.estimates(workers)
	// then each worker has the load that workers of its phase report.
	c.Assert(estimated, qt.DeepEquals, makeReports(workers))
	// Reports of workers that no longer exist are dropped.
	s.record(workers[:10], nil)
	c.Assert(len(s.latest) <= 10, qt.IsTrue)
}
