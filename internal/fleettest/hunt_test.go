package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"

	"sumacloft/internal/fleettest/memnet"
)

const (
	// huntRounds is how many troubles a hunt has.
	huntRounds = 4
	// leastAnswered is the part of all requests that are answered: those sent to an edge that is down are not.
	leastAnswered = 0.7
	// troubleTime is how long each lasts.
	troubleTime = 6 * time.Second
)

// hunts is how many hunts there are: one keeps the tests quick, a search for faults takes many.
var hunts = flag.Int("hunts", 1, "how many hunts TestHunt makes")

// trouble is something that befalls one machine; undo ends it.
type trouble struct {
	name string
	do   func(f *Fleet) (undo func())
}

func anyOf[T any](list []T) T { return list[rand.IntN(len(list))] }

var troubles = []trouble{
	{"a member is killed", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		lost.Kill()
		return func() { lost.Start(false) }
	}},
	{"a member loses power", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		lost.PowerOff()
		return lost.PowerOn
	}},
	{"a member loses its disk", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		lost.Kill()
		lost.Wipe()
		return func() { lost.Start(false) }
	}},
	{"a member is cut off", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		f.Cut(lost)
		return func() { f.Heal(lost) }
	}},
	{"a member ends in good order", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		lost.Stop()
		return func() { lost.Start(false) }
	}},
	{"a member's disk is full", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		lost.Fill(true)
		return func() { lost.Fill(false) }
	}},
	{"an edge is cut off", func(f *Fleet) func() {
		lost := anyOf(f.Edges)
		f.CutOffEdge(lost)
		return func() { f.HealEdge(lost) }
	}},
	{"an edge loses power", func(f *Fleet) func() {
		lost := anyOf(f.Edges)
		lost.PowerOff()
		return lost.PowerOn
	}},
	{"a proxy is killed", func(f *Fleet) func() {
		lost := anyOf(f.Edges)
		lost.KillProxy()
		return lost.StartProxy
	}},
	{"a proxy ends in good order", func(f *Fleet) func() {
		lost := anyOf(f.Edges)
		ended := lost.StopProxy()
		return func() {
			<-ended
			lost.StartProxy()
		}
	}},
	{"an agent is killed", func(f *Fleet) func() {
		lost := anyOf(f.Edges)
		lost.KillAgent()
		return lost.StartAgent
	}},
	{"a member hears nobody", func(f *Fleet) func() {
		lost := anyOf(f.Controls)
		f.each(lost.IP, f.routers(), func(one, other string) { f.Network.Set(other, one, memnet.Silent) })
		return func() { f.Heal(lost) }
	}},
	{"the load changes", func(f *Fleet) func() {
		load(f, 4+rand.IntN(12))
		return func() { load(f, 0) }
	}},
	{"a worker resets connections", func(f *Fleet) func() {
		lost := anyOf(f.Workers())
		lost.Behave(Behaviour{Reset: true})
		return func() { lost.Behave(Behaviour{}) }
	}},
	{"a worker is full", func(f *Fleet) func() {
		lost := anyOf(f.Workers())
		lost.Behave(Behaviour{TurnAway: true})
		return func() { lost.Behave(Behaviour{}) }
	}},
}

// orderOn keeps the operator ordering until the hunt ends, and returns the version that was acknowledged last.
func orderOn(f *Fleet, ended <-chan struct{}) <-chan uint64 {
	last := make(chan uint64, 1)
	go func() {
		version := uint64(1)
		for turn := 0; ; turn++ {
			select {
			case <-ended:
				last <- version
				return
			case <-time.After(300 * time.Millisecond):
			}
			document := Document(version+1, fmt.Sprintf("r%d", version+1))
			if f.Operator.Replace(f.Controls[turn%len(f.Controls)], version, document) == http.StatusOK {
				version++
			}
		}
	}()
	return last
}

// sendRepeatedly keeps clients asking until the hunt ends, and returns their answers.
func sendRepeatedly(f *Fleet, ended <-chan struct{}) <-chan []*Answer {
	all := make(chan []*Answer, 1)
	paths := []string{HarmlessPath + "x", RiskyPath + "x", StreamPath + "x"}
	go func() {
		var answers []*Answer
		for turn := 0; ; turn++ {
			select {
			case <-ended:
				all <- answers
				return
			case <-time.After(100 * time.Millisecond):
			}
			answers = append(answers, f.Client.Start(f.Edges[turn%len(f.Edges)], paths[turn%len(paths)]))
		}
	}()
	return all
}

// Whatever befalls one machine at a time: what was acknowledged stays, nobody is told that a route is missing, nothing
// that may not be repeated runs twice, and no two holders' orders to workers are closer than the lease.
func TestHunt(t *testing.T) {
	for hunt := range *hunts {
		t.Run(fmt.Sprint(hunt), func(t *testing.T) {
			Run(t, Plan{}, func(c *qt.C, f *Fleet) {
				for range 3 {
					f.NewWorker(Plain, "", Behaviour{})
					f.NewWorker(Model, Reading, Behaviour{})
					f.NewWorker(Model, Writing, Behaviour{})
				}
				f.Serve()
				ended := make(chan struct{})
				last, answers := orderOn(f, ended), sendRepeatedly(f, ended)
				for range huntRounds {
					next := anyOf(troubles)
					c.Logf("at %v: %s", f.Now(), next.name)
					undo := next.do(f)
					time.Sleep(troubleTime)
					undo()
					time.Sleep(troubleTime)
				}
				close(ended)
				version := <-last
				c.Assert(version > 10, qt.IsTrue, qt.Commentf("only version %d", version))
				checkVersion(c, f, version)
				checkAnswers(c, f, <-answers)
				keepsLease(c, ordersOf(f))
			})
		})
	}
}

// checkVersion checks that all members give the version acknowledged last, or the one after it: an order without an
// answer may have been taken.
func checkVersion(c *qt.C, f *Fleet, version uint64) {
	for _, control := range f.Controls {
		var found uint64
		f.Until(recovery, "an answer of "+control.Node, func() bool {
			status, document := f.Operator.Read(control)
			found = gjson.Get(document, "version").Uint()
			return status == http.StatusOK
		})
		c.Assert(found == version || found == version+1, qt.IsTrue, qt.Commentf("%s has %d, not %d", control.Node, found, version))
	}
}

// runs counts by request how often workers may have run it.
func runs(f *Fleet) map[string]int {
	ran := map[string]int{}
	for _, worker := range f.Workers() {
		for _, call := range worker.Calls() {
			if call.Kind == Decode && call.Outcome != TurnedAway {
				ran[call.Request]++
			}
		}
	}
	return ran
}

func checkAnswers(c *qt.C, f *Fleet, answers []*Answer) {
	for _, answer := range answers {
		<-answer.Done()
	}
	ran := runs(f)
	answered := 0
	for _, answer := range answers {
		c.Assert(answer.Status, qt.Not(qt.Equals), http.StatusNotFound)
		if !answer.Harmless {
			c.Assert(ran[answer.ID] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", answer.ID, ran[answer.ID]))
		}
		if answer.Status == http.StatusOK && answer.Whole {
			answered++
		}
	}
	c.Assert(float64(answered) > leastAnswered*float64(len(answers)), qt.IsTrue, qt.Commentf("%d of %d", answered, len(answers)))
}
