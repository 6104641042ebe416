package fleettest

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostReads is how often a prompt may be read for one try of a client: as often as its route's tries.
const mostReads = 3

func TestPromptIsNotReadAgainAndAgainWhileWritersAreFull(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given writers that turn everything away.
		reader := f.NewWorker(Model, Reading, Behaviour{})
		f.NewWorker(Model, Writing, Behaviour{TurnAway: true})
		f.NewWorker(Model, Writing, Behaviour{TurnAway: true})
		f.Serve()
		// When a client asks for a stream, then its prompt is read a few times at most.
		answer := f.Client.Ask(f.Edges[0], StreamPath+"x")
		c.Assert(reader.Count(Prefill, answer.ID) <= mostReads, qt.IsTrue, qt.Commentf("read %d times", reader.Count(Prefill, answer.ID)))
	})
}

func TestWorkerWhoseMemberIsCutOffStaysInService(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a worker that is told to send its heartbeats to one control member.
		worker := f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		lost := f.Controls[2]
		worker.Prefer(lost)
		// When that member is cut off from the other members and the edges, but not from the worker.
		f.Cut(lost)
		// Then the edges, which can reach the worker, go on sending it requests.
		for _, answer := range sendContinuously(f, 15*time.Second) {
			c.Assert(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("at %v", answer.End))
		}
	})
}
