package lane

import (
	"context"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/proxy/hints"
)

// WaitingSource returns the prompt tokens that all proxies have queued at engines.
type WaitingSource interface {
	// Ask returns the tokens queued at engines, by engine number. It omits what it cannot learn within a few
	// milliseconds.
	Ask(ctx context.Context, engines []uint64) hints.Waiting
}

// maxCandidates is how many readers of a prompt are queried: its home and the readers that it may spill to.
const maxCandidates = 3

// refreshWaiting updates the decision module with the tokens queued at the candidate readers of a job's prompt.
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
