package lane

import (
	"context"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/proxy/hints"
)

// WaitingSource knows what prompt tokens wait at engines for all proxies.
type WaitingSource interface {
	// Ask gives what waits at engines, by their numbers, as far as that is known within a few milliseconds.
	Ask(ctx context.Context, engines []uint64) hints.Waiting
}

// maxCandidates is how many readers of a prompt are asked about: its home and those that it may spill to.
const maxCandidates = 3

// refreshWaiting tells the module what waits at the readers that a job's prompt is considered for.
func (l *Lane) refreshWaiting(ctx context.Context, job core.Job) {
	if l.env.Waiting == nil {
		return
	}
	readers := l.core.Candidates(job, maxCandidates)
	if len(readers) < 2 {
		return
	}
	numbers := make([]uint64, 0, len(readers))
	for _, reader := range readers {
		numbers = append(numbers, uint64(reader))
	}
	waiting := map[brain.EngineID]float64{}
	for number, tokens := range l.env.Waiting.Ask(ctx, numbers) {
		waiting[brain.EngineID(number)] = tokens
	}
	l.core.Reported(waiting)
}
