package member

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/phases"
	"sumacloft/internal/control/registry"
)

// makeWorkers are so makeWorkers workers, every second of which writes.
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

// makeReports are reports in which writers run 30 requests and readers 2.
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
	// Given more workers than a round asks
	workers := makeWorkers(5*maxReportsPerRound/2 + 1)
	var s survey
	asked := map[string]int{}
	// when three rounds have passed
	for range 3 {
		due := s.nextWorkers(workers)
		c.Assert(due, qt.HasLen, maxReportsPerRound)
		for _, worker := range due {
			asked[worker.ID]++
		}
	}
	// then each has been asked, and none more than twice.
	c.Assert(asked, qt.HasLen, len(workers))
	for id, times := range asked {
		c.Assert(times <= 2, qt.IsTrue, qt.Commentf("%s was asked %d times", id, times))
	}
}

func TestWorkerWithoutReportGetsMeanOfItsPhase(t *testing.T) {
	c := qt.New(t)
	// Given many workers of which one round has asked some, and one of which has changed its phase since
	workers := makeWorkers(3 * maxReportsPerRound)
	var s survey
	due := s.nextWorkers(workers)
	s.record(workers, makeReports(due))
	workers[0].Phase = phases.Reading
	s.record(workers, nil)
	// when all are estimated
	estimated := s.estimates(workers)
	// then each is what workers of its phase report.
	c.Assert(estimated, qt.DeepEquals, makeReports(workers))
	// And workers that are gone are forgotten.
	s.record(workers[:10], nil)
	c.Assert(len(s.latest) <= 10, qt.IsTrue)
}
