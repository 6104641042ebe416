package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/member"
	"sumacloft/internal/control/partition"
)

// repairs is how many runs of repairs TestLossesRightAfterRepairs draws for each size.
var repairs = flag.Int("repairs", 30, "how many runs TestLossesRightAfterRepairs draws for each size")

const (
	// catchUp is how long after its return, or its successor's start, a member counts as lost: limits_of_rules.catch_up_s.
	catchUp = 4 * time.Second
	// ackWithin is how long an order may take while no more members are lost than are borne.
	ackWithin = 4 * time.Second
	// repairSteps is how many losses follow one another in a run.
	repairSteps = 5
)

// loss is something that a fleet bears; it lasts until the member, or its successor, has started.
type loss struct {
	name string
	do   func(f *Fleet, lost *Control)
}

// someTime is between a part of a second and two seconds.
func someTime() time.Duration { return time.Duration(100+rand.IntN(1900)) * time.Millisecond }

// freshAddress is one that no member had.
func (f *Fleet) freshAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh++
	return fmt.Sprintf("10.0.%d.1", 100+f.fresh)
}

var repairable = []loss{
	{"its disk is lost", func(f *Fleet, lost *Control) {
		lost.Kill()
		lost.Wipe()
		time.Sleep(someTime())
		lost.Start(false)
	}},
	{"it is lost for good, an empty one comes", func(f *Fleet, lost *Control) {
		f.Replace(f.place(lost), f.freshAddress())
	}},
	{"an empty one comes, then it ends", func(f *Fleet, lost *Control) {
		fresh := f.Add(lost, f.freshAddress())
		time.Sleep(someTime())
		lost.Stop()
		lost.PowerOff()
		f.put(f.place(lost), fresh)
	}},
	{"it ends and starts again", func(f *Fleet, lost *Control) {
		lost.Stop()
		time.Sleep(someTime())
		lost.Start(false)
	}},
	{"it is without power", func(f *Fleet, lost *Control) {
		lost.PowerOff()
		time.Sleep(someTime())
		lost.PowerOn()
	}},
	{"it is cut off", func(f *Fleet, lost *Control) {
		f.Cut(lost)
		time.Sleep(time.Second + 2*someTime())
		f.Heal(lost)
	}},
}

// repairStory has losses follow one another, so many at once as the fleet bears, each as soon as those before count as
// repaired. It returns what was wrong.
func repairStory(t *testing.T, bear int, faults member.Faults) (wrong string) {
	runAlone(t, Plan{Controls: 2*bear + 1, Edges: -1, Faults: Faults{Member: faults}}, func(c *qt.C, f *Fleet) {
		f.Operator.Acknowledge(0, Document(1))
		time.Sleep(catchUp)
		version, said := uint64(1), []string{}
		for step := 0; step < repairSteps && wrong == ""; step++ {
			said = append(said, f.loseSome(bear)...)
			version, wrong = f.orderWithin(version, ackWithin)
		}
		for _, control := range f.Controls {
			if wrong == "" && !f.reads(control, version) {
				wrong = fmt.Sprintf("at %v %s does not give version %d", f.Now(), control.Node, version)
			}
		}
		if wrong != "" {
			for _, control := range f.Controls {
				status, document := f.Operator.Read(control)
				t.Logf("%s %s: read %d %.40s, %+v", control.Node, control.Inside(), status, document, control.Partition(settingsPartition))
			}
			wrong = fmt.Sprintf("after %s: %s", strings.Join(said, "; "), wrong)
		}
	})
	return wrong
}

// loseSome has so many members lost at the same time, and waits until they count as repaired.
func (f *Fleet) loseSome(count int) (said []string) {
	var under sync.WaitGroup
	for _, place := range rand.Perm(len(f.Controls))[:count] {
		lost, befalls := f.Controls[place], anyOf(repairable)
		said = append(said, fmt.Sprintf("at %v %s: %s", f.Now(), lost.Node, befalls.name))
		under.Go(func() {
			time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
			befalls.do(f, lost)
		})
	}
	under.Wait()
	time.Sleep(catchUp)
	return said
}

// orderWithin has an order acknowledged within a time, at any member.
func (f *Fleet) orderWithin(version uint64, limit time.Duration) (next uint64, wrong string) {
	return f.orderAt(f.anyControl, version, limit)
}

// orderAt has an order acknowledged within a time, at the members that are given one after the other.
func (f *Fleet) orderAt(next func() *Control, version uint64, limit time.Duration) (after uint64, wrong string) {
	order := Document(version + 1)
	for end := f.Now() + limit; f.Now() < end; {
		status := f.Operator.Replace(next(), version, order)
		switch {
		case status == http.StatusOK:
			return version + 1, ""
		case status != 0 && status < http.StatusInternalServerError:
			return version, fmt.Sprintf("at %v: order %d was refused with %d", f.Now(), version+1, status)
		}
		time.Sleep(checkInterval)
	}
	return version, fmt.Sprintf("at %v: order %d was not acknowledged within %v", f.Now(), version+1, limit)
}

// turns returns one member after the other.
func turns(members ...*Control) func() *Control {
	asked := 0
	return func() *Control {
		asked++
		return members[asked%len(members)]
	}
}

// place is where a member stands among the members.
func (f *Fleet) place(control *Control) int { return slices.Index(f.Controls, control) }

// Whatever is lost and repaired, the next loss, right after a repair counts as done, leaves a majority that holds all that
// was acknowledged.
func TestLossesRightAfterRepairs(t *testing.T) {
	for bear := 1; bear <= 2; bear++ {
		for i := range *repairs {
			t.Run(fmt.Sprintf("%d borne, %d", bear, i), func(t *testing.T) {
				t.Parallel()
				qt.New(t).Assert(repairStory(t, bear, member.Faults{}), qt.Equals, "")
			})
		}
	}
}

func TestBrokenRepairsAreFound(t *testing.T) {
	for name, faults := range map[string]member.Faults{
		"voters are dropped whoever is left": {Partitions: partition.Faults{DropFirst: true, LongLeave: true}},
		"a member that was dropped waits":    {Partitions: partition.Faults{WaitOutside: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := false
			for i := 0; i < 150 && !found; i++ {
				found = repairStory(t, 1+i%2, faults) != ""
			}
			qt.New(t).Assert(found, qt.IsTrue)
		})
	}
}

// endsWhileAnotherIsCutOff has a member end while another is cut off, and tells whether orders were taken all the while and
// the member ended once the other was back.
func endsWhileAnotherIsCutOff(t *testing.T, faults member.Faults) (wrong string) {
	runAlone(t, Plan{Edges: -1, Faults: Faults{Member: faults}}, func(c *qt.C, f *Fleet) {
		// Given a member that is cut off and lacks an order.
		f.Operator.Acknowledge(0, Document(1))
		time.Sleep(catchUp)
		leader := f.Leader(settingsPartition)
		behind, ending := f.Others(leader)[0], f.Others(leader)[1]
		f.Cut(behind)
		inTouch := turns(leader, ending)
		version, wrongs := f.orderAt(inTouch, 1, ackWithin)
		// When another is told to end.
		began := f.Now()
		ended := make(chan time.Duration, 1)
		go func() {
			ending.Stop()
			ended <- f.Now()
		}()
		// Then it goes on as long as the others need it: the two that are in touch take orders,
		for f.Now() < began+3*time.Second && wrongs == "" {
			time.Sleep(300 * time.Millisecond)
			version, wrongs = f.orderAt(inTouch, version, time.Second)
		}
		// and ends well within its grace once the other has all that it lacked.
		f.Heal(behind)
		took := <-ended - began
		if wrongs == "" && took > 3*time.Second+catchUp {
			wrongs = fmt.Sprintf("it took %v to end", took)
		}
		if wrongs == "" {
			_, wrongs = f.orderWithin(version, ackWithin)
		}
		wrong = wrongs
	})
	return wrong
}

func TestMemberThatEndsWaitsForTheOthers(t *testing.T) {
	t.Parallel()
	qt.New(t).Assert(endsWhileAnotherIsCutOff(t, member.Faults{}), qt.Equals, "")
	qt.New(t).Assert(endsWhileAnotherIsCutOff(t, member.Faults{LeaveAtOnce: true}), qt.Not(qt.Equals), "")
}

func TestOfTwoMembersThatEndOneIsLetGo(t *testing.T) {
	Run(t, Plan{Edges: -1}, func(c *qt.C, f *Fleet) {
		// Given three members, when two are told to end, one a moment after the other.
		f.Operator.Acknowledge(0, Document(1))
		time.Sleep(catchUp)
		leader := f.Leader(settingsPartition)
		others := f.Others(leader)
		ended := make(chan int, len(others))
		for i, one := range others {
			go func() {
				one.Stop()
				ended <- i
			}()
			time.Sleep(300 * time.Millisecond)
		}
		// Then the first ends, and orders go on with the second,
		c.Assert(<-ended, qt.Equals, 0)
		_, wrong := f.orderWithin(1, ackWithin)
		c.Assert(wrong, qt.Equals, "")
		// which ends within its grace, too, or at once where the first is back.
		others[0].Start(false)
		began := f.Now()
		c.Assert(<-ended, qt.Equals, 1)
		c.Assert(f.Now()-began <= catchUp, qt.IsTrue, qt.Commentf("%v", f.Now()-began))
	})
}

func TestOfTwoMembersThatEndAtOnceTheSecondSaysWhyItWaits(t *testing.T) {
	Run(t, Plan{Edges: -1}, func(c *qt.C, f *Fleet) {
		// Given three members, when two are told to end at the same moment,
		f.Operator.Acknowledge(0, Document(1))
		time.Sleep(catchUp)
		others := f.Others(f.Leader(settingsPartition))
		ended := make(chan *Control, len(others))
		for _, one := range others {
			go func() {
				one.Stop()
				ended <- one
			}()
		}
		// then one ends, and the other says that without it no majority would be left.
		first := <-ended
		held := others[0]
		if held == first {
			held = others[1]
		}
		f.Until(time.Second, "a reason", func() bool {
			report := held.Report()
			return report != nil && len(report.Ending) > 0 && strings.Contains(report.Ending[0].For, "no majority would be left")
		})
		first.Start(false)
		c.Assert(<-ended, qt.Equals, held)
	})
}

func TestTwoOfFiveMembersThatEndAtOnceAreBothLetGo(t *testing.T) {
	Run(t, Plan{Controls: 5, Edges: -1}, func(c *qt.C, f *Fleet) {
		// Given five members, when two are told to end at the same moment, the leader among them,
		f.Operator.Acknowledge(0, Document(1))
		time.Sleep(catchUp)
		leader := f.Leader(settingsPartition)
		began := f.Now()
		ended := make(chan struct{}, 2)
		for _, one := range []*Control{leader, f.Others(leader)[0]} {
			go func() {
				one.Stop()
				ended <- struct{}{}
			}()
		}
		// then both end well before their grace does, and orders go on.
		<-ended
		<-ended
		c.Assert(f.Now()-began < 4*time.Second, qt.IsTrue, qt.Commentf("%v", f.Now()-began))
		f.Controls = f.Others(leader)
		f.Operator.Acknowledge(1, Document(2))
	})
}

func TestMemberThatIsAloneEndsAtOnce(t *testing.T) {
	Run(t, Plan{Controls: 1, Edges: -1}, func(c *qt.C, f *Fleet) {
		f.Operator.Acknowledge(0, Document(1))
		began := f.Now()
		f.Controls[0].Stop()
		c.Assert(f.Now()-began < 2*time.Second, qt.IsTrue, qt.Commentf("%v", f.Now()-began))
	})
}
