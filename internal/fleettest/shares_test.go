package fleettest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withConnections is a configuration whose workers take so many connections each.
func withConnections(version uint64, most int) string {
	return strings.ReplaceAll(Document(version), `"max_connections":100`, fmt.Sprintf(`"max_connections":%d`, most))
}

// crowd has clients send so many harmless requests to each edge at once, and counts those that were answered.
func overload(f *Fleet, edges []*Edge, requests int) (served int) {
	var answers []*Answer
	for range requests {
		for _, edge := range edges {
			answers = append(answers, f.Client.Start(edge, HarmlessPath+"x"))
		}
	}
	for _, answer := range answers {
		if <-answer.Done(); answer.Status == http.StatusOK {
			served++
		}
	}
	return served
}

func TestProxiesShareTheConnectionsOfAWorker(t *testing.T) {
	Run(t, Plan{Edges: 3}, func(c *qt.C, f *Fleet) {
		// Given three proxies and a worker that takes 13 connections from all callers together: 4 are each proxy's.
		const most, share = 13, 4
		worker := f.NewWorker(Plain, "", Behaviour{FirstTime: 50 * time.Millisecond})
		f.Serve()
		f.Operator.Acknowledge(1, withConnections(2, most))
		time.Sleep(time.Second)
		worker.MostOpen()
		// When many more requests come at once than there are connections.
		served := overload(f, f.Edges, 12)
		// Then the worker never has more than it takes, and requests that wait for a connection are served.
		open := worker.MostOpen()
		c.Assert(open <= most, qt.IsTrue, qt.Commentf("%d connections", open))
		c.Assert(open >= 3*(share-1), qt.IsTrue, qt.Commentf("%d connections", open))
		c.Assert(served, qt.Equals, 36)
		// When one proxy is left, then it has all but the reserve.
		for _, lost := range f.Edges[1:] {
			lost.KillProxy()
			lost.KillAgent()
		}
		time.Sleep(15 * time.Second)
		worker.MostOpen()
		served = overload(f, f.Edges[:1], 20)
		open = worker.MostOpen()
		c.Assert(open > share && open < most, qt.IsTrue, qt.Commentf("%d connections", open))
		c.Assert(served, qt.Equals, 20)
	})
}

// prefills counts the prompts that each reader was sent.
func prefills(readers []*Worker) (counts []int) {
	for _, reader := range readers {
		count := 0
		for _, call := range reader.Calls() {
			if call.Kind == Prefill {
				count++
			}
		}
		counts = append(counts, count)
	}
	return counts
}

func TestRequestBeyondTheShareGoesToAnotherWorker(t *testing.T) {
	Run(t, Plan{Edges: 2}, func(c *qt.C, f *Fleet) {
		// Given readers and writers that take 2 connections each, one for each proxy.
		readers := []*Worker{}
		for range 2 {
			readers = append(readers, f.NewWorker(Model, Reading, Behaviour{ReadTime: 150 * time.Millisecond}))
			f.NewWorker(Model, Writing, Behaviour{})
			f.NewWorker(Model, Writing, Behaviour{})
		}
		f.Serve()
		f.Operator.Acknowledge(1, withConnections(2, 2))
		time.Sleep(time.Second)
		before := prefills(readers)
		// When a proxy gets two prompts at once that begin alike, so that one reader is the best for both.
		first, second := f.Client.Start(f.Edges[0], StreamPath+"x"), f.Client.Start(f.Edges[0], StreamPath+"x")
		<-first.Done()
		<-second.Done()
		// Then the other reader reads one of them, and both are answered.
		c.Assert(first.Status, qt.Equals, http.StatusOK)
		c.Assert(second.Status, qt.Equals, http.StatusOK)
		after := prefills(readers)
		c.Assert([]int{after[0] - before[0], after[1] - before[1]}, qt.DeepEquals, []int{1, 1})
	})
}
