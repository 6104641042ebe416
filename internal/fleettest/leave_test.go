package fleettest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/member"
)

const (
	// processesDown is how long processes are down that are started again.
	processesDown = 900 * time.Millisecond
	// endServesOn is how long workers serve on after their end was acknowledged.
	endServesOn = 10 * time.Second
)

// workerEnd is a way in which workers end and processes are lost right after the acknowledgement.
type workerEnd struct {
	controls  int
	workers   int  // that end, one after the other
	heartbeat bool // they say so by a heartbeat, otherwise by Servers.Leave
	edges     bool // the edges' processes are lost too
	power     bool // the machines lose power, otherwise the processes are killed
	forGood   bool // the control members' processes are not started again; links to the edges are slower than their disks
}

// String implements fmt.Stringer.
func (e workerEnd) String() string {
	text := fmt.Sprintf("%d workers, %d members", e.workers, e.controls)
	for _, word := range []struct {
		is   bool
		text string
	}{{e.heartbeat, "by heartbeat"}, {e.edges, "edges too"}, {e.power, "power"}, {e.forGood, "for good"}} {
		if word.is {
			text += ", " + word.text
		}
	}
	return text
}

// endings returns all ways.
func endings() (all []workerEnd) {
	flags := []bool{false, true}
	for _, controls := range []int{3, 5} {
		for workers := 1; workers <= 2; workers++ {
			for _, heartbeat := range flags {
				for _, power := range flags {
					for _, edges := range flags {
						all = append(all, workerEnd{controls: controls, workers: workers, heartbeat: heartbeat, power: power, edges: edges})
					}
					all = append(all, workerEnd{controls: controls, workers: workers, heartbeat: heartbeat, power: power, forGood: true})
				}
			}
		}
	}
	return all
}

// leaveFor says to a control member that the worker ends, until that is acknowledged, and returns when it was. The worker sends
// no further heartbeats and serves on.
func (w *Worker) leaveFor(at *Control, heartbeat bool) time.Duration {
	if heartbeat {
		w.Prefer(at)
		acknowledged := w.Leave()
		w.cancel()
		return acknowledged
	}
	w.cancel()
	for {
		if _, ok := w.post(w.fleet.t.Context(), at.Steering(), "/v1/Servers.Leave/"+w.ID, "{}"); ok {
			return w.fleet.Now()
		}
		time.Sleep(checkInterval)
	}
}

// edgeDelay is longer than control members take to store the end of a worker.
const edgeDelay = 50 * time.Millisecond

// delayEdges delays what control members and edges send to each other.
func (f *Fleet) delayEdges(delay time.Duration) {
	for _, control := range f.Controls {
		for _, edge := range f.Edges {
			f.Network.Delay(control.IP, edge.IP, delay)
		}
	}
}

// lose ends the processes that the scenario loses at the same moment, and starts them again.
func (e workerEnd) lose(f *Fleet) (backAt time.Duration) {
	for _, control := range f.Controls {
		if e.power {
			control.PowerOff()
		} else {
			control.Kill()
		}
	}
	if e.edges {
		for _, edge := range f.Edges {
			if e.power {
				edge.PowerOff()
			} else {
				edge.KillAgent()
				edge.KillProxy()
			}
		}
	}
	time.Sleep(processesDown)
	if !e.forGood {
		for _, control := range f.Controls {
			if e.power {
				control.PowerOn()
			} else {
				control.Start(false)
			}
		}
	}
	if e.edges {
		for _, edge := range f.Edges {
			if e.power {
				edge.PowerOn()
			} else {
				edge.Start()
			}
		}
	}
	return f.Now()
}

// story returns how many requests reached workers later than empty_out_ms after their end was acknowledged, from routers that
// have run all the time or that have been back for inTouch.
func (e workerEnd) story(t *testing.T, faults Faults) (late int) {
	plan := Plan{Controls: e.controls, Edges: 3, Zones: []string{"north", "south", "west"}, Faults: faults}
	runAlone(t, plan, func(c *qt.C, f *Fleet) {
		f.NewWorker(Plain, "", Behaviour{}) // stays; each of the others is alone in its zone
		var leaving []*Worker
		for range e.workers {
			leaving = append(leaving, f.NewWorker(Plain, "", Behaviour{}))
		}
		f.Serve()
		time.Sleep(inTouch)
		if e.forGood {
			f.delayEdges(edgeDelay)
		}
		acknowledged := map[*Worker]time.Duration{}
		for _, w := range leaving {
			acknowledged[w] = w.leaveFor(f.Controls[0], e.heartbeat)
		}
		backAt := e.lose(f)
		countedFrom := time.Duration(0)
		if e.edges {
			countedFrom = backAt + inTouch
		}
		served := 0
		for _, answer := range sendContinuously(f, endServesOn) {
			if answer.Status == http.StatusOK {
				served++
			}
		}
		c.Assert(served > 0, qt.IsTrue)
		for _, w := range leaving {
			for _, call := range w.Calls() {
				if call.At > acknowledged[w]+emptyOut && call.At > countedFrom {
					late++
				}
			}
		}
	})
	return late
}

// Guards against a worker's acknowledged end that is forgotten when processes are killed right after it
// (docs/incidents/forgotten-leave.md).
func TestAcknowledgedEndOutlastsAllProcesses(t *testing.T) {
	for _, e := range endings() {
		t.Run(e.String(), func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(e.story(t, Faults{}), qt.Equals, 0)
		})
	}
}

func TestForgottenEndsAreFound(t *testing.T) {
	for name, broken := range map[string]struct {
		faults member.Faults
		ending workerEnd
	}{
		"on no disk, one worker, all processes": {member.Faults{AcknowledgeUnsaved: true}, workerEnd{controls: 3, workers: 1, edges: true}},
		"on no disk, two workers":               {member.Faults{AcknowledgeUnsaved: true, AcknowledgeUndelivered: true}, workerEnd{controls: 3, workers: 2}},
		"at no router":                          {member.Faults{AcknowledgeUndelivered: true}, workerEnd{controls: 3, workers: 2, forGood: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(broken.ending.story(t, Faults{Member: broken.faults}) > 0, qt.IsTrue)
		})
	}
}
