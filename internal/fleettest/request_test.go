package fleettest

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRiskyRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given workers that reset the connection once they have read a request.
		f.NewWorker(Plain, "", Behaviour{Reset: true})
		f.NewWorker(Plain, "", Behaviour{Reset: true})
		f.Serve()
		for range 5 {
			// When a client sends a risky request.
			answer := f.Client.Ask(f.Edges[0], RiskyPath+"x")
			// Then it has reached one worker, and the answer promises nothing.
			c.Assert(f.Count(Decode, answer.ID), qt.Equals, 1)
			c.Assert(answer.Status == http.StatusBadGateway || answer.Status == http.StatusGatewayTimeout, qt.IsTrue,
				qt.Commentf("status %d", answer.Status))
		}
	})
}

func TestHarmlessRequestIsSentAgain(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a worker that resets connections, and one that does not.
		f.NewWorker(Plain, "", Behaviour{Reset: true})
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		for range 5 {
			// When a client sends a request that may be repeated, then it is answered.
			c.Assert(f.Client.Ask(f.Edges[0], HarmlessPath+"x").Status, qt.Equals, http.StatusOK)
		}
	})
}

func TestRequestThatWasTurnedAwayGoesToAnotherWorker(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a worker that turns requests away, and one that takes them.
		full := f.NewWorker(Plain, "", Behaviour{TurnAway: true})
		free := f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		for range 10 {
			// When a client sends a risky request.
			answer := f.Client.Ask(f.Edges[0], RiskyPath+"x")
			// Then the other worker has run it, once.
			c.Assert(answer.Status, qt.Equals, http.StatusOK)
			c.Assert(answer.Header.Get("X-Server-Seal"), qt.Equals, "seal-"+free.ID)
			c.Assert(free.Count(Decode, answer.ID), qt.Equals, 1)
		}
		c.Assert(len(full.Calls()) > 0, qt.IsTrue)
	})
}

// sendContinuously has clients send harmless requests to all edges for a time, and returns the answers.
func sendContinuously(f *Fleet, length time.Duration) []*Answer {
	var answers []*Answer
	for end := f.Now() + length; f.Now() < end; time.Sleep(50 * time.Millisecond) {
		for _, edge := range f.Edges {
			answers = append(answers, f.Client.Start(edge, HarmlessPath+"x"))
		}
	}
	for _, answer := range answers {
		<-answer.Done()
	}
	return answers
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	// A cut-off member neither hears the other members nor the edges, nor do they hear it. In the second case it is the
	// one that the worker talks to.
	for name, heard := range map[string]bool{"another member is cut off": false, "its own member is cut off": true} {
		t.Run(name, func(t *testing.T) {
			Run(t, Plan{}, func(c *qt.C, f *Fleet) {
				// Given two workers, and a control member that is cut off.
				leaving := f.NewWorker(Plain, "", Behaviour{})
				stays := f.NewWorker(Plain, "", Behaviour{})
				f.Serve()
				stays.Prefer(f.Controls[0])
				lost := f.Controls[2]
				f.Cut(lost)
				if heard {
					leaving.Prefer(lost)
				} else {
					f.Network.Cut(lost.IP, leaving.IP)
				}
				// When one worker says that it leaves and that is acknowledged, under a steady load.
				acknowledged := make(chan time.Duration, 1)
				go func() { acknowledged <- leaving.Leave() }()
				answers := sendContinuously(f, 6*time.Second)
				at := <-acknowledged
				// Then it gets nothing new from the end of its time on, and all clients are answered.
				for _, call := range leaving.Calls() {
					c.Assert(call.At <= at+emptyOut, qt.IsTrue, qt.Commentf("call at %v, acknowledged at %v", call.At, at))
				}
				for _, answer := range answers {
					c.Assert(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s at %v, %d times at workers; leaving since %v",
						answer.ID, answer.End, f.Count(Decode, answer.ID), at))
				}
			})
		})
	}
}

func TestWorkerThatCrashedIsLeftAlone(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given two workers, one of which has crashed.
		lost := f.NewWorker(Plain, "", Behaviour{})
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		lost.Crash()
		// When clients send harmless requests, then all are answered.
		for _, answer := range sendContinuously(f, 3*time.Second) {
			c.Assert(answer.Status, qt.Equals, http.StatusOK)
		}
	})
}

func TestEdgeThatIsCutOffServesOn(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge that has lost all control members and the other edges.
		f.NewWorker(Plain, "", Behaviour{})
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		f.CutOffEdge(f.Edges[0])
		// When clients send requests to it for a long time, then all are answered.
		for _, answer := range sendContinuously(f, 10*time.Second) {
			c.Assert(answer.Status, qt.Equals, http.StatusOK)
		}
	})
}

func TestProxyServesOnWithoutItsAgent(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge whose agent has been killed.
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		f.Edges[0].KillAgent()
		time.Sleep(5 * time.Second)
		// When a client sends a request, then it is answered.
		c.Assert(f.Client.Ask(f.Edges[0], HarmlessPath+"x").Status, qt.Equals, http.StatusOK)
		// And with a new agent, what has changed meanwhile comes into force.
		f.Operator.Acknowledge(1, Document(2, "more"))
		f.Edges[0].StartAgent()
		f.Until(5*time.Second, "the new route", func() bool {
			return f.Client.Ask(f.Edges[0], "/more/x").Status == http.StatusOK
		})
	})
}
