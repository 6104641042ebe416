package lane

import (
	"context"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/proxy/hints"
)

// Board knows what prompt tokens wait at engines for all proxies.
type Board interface {
	// Ask gives what waits at engines, by their numbers, as far as that is known within a few milliseconds.
	Ask(ctx context.Context, engines []uint64) hints.Waiting
}

// lookedAt is how many readers of a prompt are asked about: its home and those that it may spill to.
const lookedAt = 3

// look tells the module what waits at the readers that a job's prompt is considered for.
func (l *Lane) look(ctx context.Context, job core.Job) {
	if l.around.Board == nil {
		return
	}
	readers := l.core.Candidates(job, lookedAt)
	if len(readers) < 2 {
		return
	}
	numbers := make([]uint64, 0, len(readers))
	for _, reader := range readers {
		numbers = append(numbers, uint64(reader))
	}
	waiting := map[brain.EngineID]float64{}
	for number, tokens := range l.around.Board.Ask(ctx, numbers) {
		waiting[brain.EngineID(number)] = tokens
	}
	l.core.Reported(waiting)
}
