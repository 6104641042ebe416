package fleettest

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"

	"sumacloft/internal/boot"
	"sumacloft/internal/fleettest/memnet"
)

// recovery is how long the control state may take to be served again after a loss.
const recovery = 12 * time.Second

// settingsPartition is the number of the partition that holds the configuration.
const settingsPartition = 0

// readsVersion waits until a member gives the configuration of a version.
func readsVersion(f *Fleet, at *Control, version uint64) {
	f.t.Helper()
	f.Until(recovery, "version "+strconv.FormatUint(version, 10)+" at "+at.Node, func() bool {
		status, document := f.Operator.Read(at)
		return status == http.StatusOK && gjson.Get(document, "version").Uint() == version
	})
}

// reads reports whether a member gives the configuration of a version within the time of a recovery.
func (f *Fleet) reads(at *Control, version uint64) bool {
	for end := f.Now() + recovery; f.Now() < end; time.Sleep(checkInterval) {
		if status, document := f.Operator.Read(at); status == http.StatusOK && gjson.Get(document, "version").Uint() == version {
			return true
		}
	}
	return false
}

// becomesVoter waits until a member is a voter of the settings' partition, under an identity other than one.
func becomesVoter(f *Fleet, control *Control, other string) {
	f.t.Helper()
	f.Until(30*time.Second, control.Node+" a voter", func() bool {
		id, voter := control.Identity(settingsPartition)
		return voter && id != other
	})
}

// hasVoters waits until the leader counts exactly so many voters, none of them at an address, and no learner.
func hasVoters(f *Fleet, count int, without string) {
	f.t.Helper()
	f.Until(40*time.Second, strconv.Itoa(count)+" voters", func() bool {
		part := f.Leader(settingsPartition).Partition(settingsPartition)
		if part == nil || part.Pending || len(part.Members) != count {
			return false
		}
		for _, one := range part.Members {
			if !one.Voter || one.Address == without {
				return false
			}
		}
		return true
	})
}

func TestConfigurationSurvives(t *testing.T) {
	// Each loss gives how many members can serve after it.
	losses := map[string]func(f *Fleet) []*Control{
		"the kill of the leader": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			leader.Kill()
			return f.Others(leader)
		},
		"the loss of power of the leader": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			leader.PowerOff()
			return f.Others(leader)
		},
		"the loss of the leader's disk": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			leader.Kill()
			leader.Wipe()
			leader.Start(false)
			return f.Controls
		},
		"the leader being cut off": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			f.Cut(leader)
			return f.Others(leader)
		},
		"the leader hearing nobody": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			for _, other := range f.Others(leader) {
				f.Network.Set(other.IP, leader.IP, memnet.Silent)
			}
			return f.Others(leader)
		},
		"the leader being heard by nobody": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			for _, other := range f.Others(leader) {
				f.Network.Set(leader.IP, other.IP, memnet.Silent)
			}
			return f.Others(leader)
		},
		"the leader's disk being full": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			leader.Fill(true)
			return f.Others(leader)
		},
		"the orderly end of the leader": func(f *Fleet) []*Control {
			leader := f.Leader(settingsPartition)
			leader.Stop()
			return f.Others(leader)
		},
		"the loss of all power": func(f *Fleet) []*Control {
			f.PowerOff()
			time.Sleep(time.Second)
			f.PowerOn()
			return f.Controls
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			Run(t, Plan{}, func(c *qt.C, f *Fleet) {
				// Given a configuration that was acknowledged a moment ago.
				f.NewWorker(Plain, "", Behaviour{})
				f.Serve()
				f.Operator.Acknowledge(1, Document(4, "new"))
				// When the loss happens.
				left := lose(f)
				// Then the members that are left give that very configuration, and take one that builds on it.
				for _, control := range left {
					readsVersion(f, control, 4)
				}
				f.Until(recovery, "the next configuration taken", func() bool {
					return f.Operator.Replace(left[0], 4, Document(5, "new", "newer")) == http.StatusOK
				})
				// And the edges work by it.
				for _, edge := range f.Edges {
					f.Until(recovery, "the new route", func() bool {
						return f.Client.Ask(edge, "/newer/x").Status == http.StatusOK
					})
				}
			})
		})
	}
}

func TestWipedMemberComesBackAsAnother(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a member whose disk was lost.
		f.Serve()
		lost := f.Leader(settingsPartition)
		before, _ := lost.Identity(settingsPartition)
		lost.Kill()
		lost.Wipe()
		// When it starts again.
		lost.Start(false)
		// Then it is taken in under another identity, and the old one is gone.
		becomesVoter(f, lost, before)
		hasVoters(f, 3, "")
		// And with it the loss of another member is borne.
		f.Others(lost)[0].Kill()
		f.Until(recovery, "the next configuration taken", func() bool {
			return f.Operator.Replace(lost, 1, Document(2)) == http.StatusOK
		})
	})
}

func TestMachineInPlaceOfAnotherIsTakenIn(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given a fleet that has lost a control member's machine for good.
		f.Serve()
		lost := f.Controls[1]
		// When a machine with an empty disk starts in its place, at another address.
		fresh := f.Replace(1, "10.0.77.1")
		// Then it takes the lost one's place.
		becomesVoter(f, fresh, "")
		hasVoters(f, 3, lost.Inside())
		readsVersion(f, fresh, 1)
		// And with it the loss of another member is borne.
		f.Controls[0].PowerOff()
		f.Until(recovery, "the next configuration taken", func() bool {
			return f.Operator.Replace(fresh, 1, Document(2)) == http.StatusOK
		})
	})
}

func TestOfTwoOrdersOnOneBaseOneWins(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		f.Serve()
		for round := range uint64(5) {
			base := 1 + 10*round
			// When two operators send at once to two members, building on the same version.
			first, second := make(chan int, 1), make(chan int, 1)
			go func() { first <- f.Operator.Replace(f.Controls[0], base, Document(base+10, "one")) }()
			go func() { second <- f.Operator.Replace(f.Controls[1], base, Document(base+10, "two")) }()
			statuses := []int{<-first, <-second}
			// Then one is acknowledged, and the other told that another version is in force.
			slices.Sort(statuses)
			c.Assert(statuses, qt.DeepEquals, []int{http.StatusOK, http.StatusPreconditionFailed})
		}
	})
}

func TestSameOrderIsAcknowledgedAgain(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an order that was taken, and one after it.
		f.Serve()
		order := Document(3, "one")
		f.Operator.Acknowledge(1, order)
		f.Operator.Acknowledge(3, Document(7, "one", "two"))
		// When the first one is sent again, then any member acknowledges it.
		for _, control := range f.Controls {
			c.Assert(f.Operator.Replace(control, 1, order), qt.Equals, http.StatusOK)
		}
		// And also after the leader was lost; the newest configuration stays.
		leader := f.Leader(settingsPartition)
		leader.Kill()
		for _, control := range f.Others(leader) {
			f.Until(recovery, "acknowledged again", func() bool { return f.Operator.Replace(control, 1, order) == http.StatusOK })
			readsVersion(f, control, 7)
		}
		// And another order on that base is not taken.
		c.Assert(f.Operator.Replace(f.Others(leader)[0], 1, Document(9)), qt.Equals, http.StatusPreconditionFailed)
	})
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		f.Serve()
		for _, document := range []string{
			"{",
			strings.ReplaceAll(Document(2), `"service":"plain"`, `"service":"missing"`),
			strings.ReplaceAll(Document(2), `"give_up_ms":4000`, `"give_up_ms":0`),
		} {
			// When a configuration can't be used, then it is refused, and the one before stays.
			c.Assert(f.Operator.Replace(f.Controls[0], 1, document), qt.Equals, http.StatusBadRequest)
			readsVersion(f, f.Controls[1], 1)
		}
	})
}

func TestRestartedProxyRefusesUntilItKnowsTheConfiguration(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge that is cut off from all others and starts anew.
		f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		edge := f.Edges[0]
		f.CutOffEdge(edge)
		edge.PowerOff()
		time.Sleep(time.Second)
		edge.PowerOn()
		time.Sleep(linkDelay)
		// When a client asks, then it is refused with the promise that nothing has run, and told when to return.
		for range 20 {
			answer := f.Client.Ask(edge, HarmlessPath+"x")
			c.Assert(answer.Status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Assert(edge.Ready(), qt.IsFalse)
			time.Sleep(100 * time.Millisecond)
		}
		// And once the edge is in touch again, it serves, without a 404 on the way there.
		f.HealEdge(edge)
		f.Until(10*time.Second, "answered", func() bool {
			status := f.Client.Ask(edge, HarmlessPath+"x").Status
			c.Assert(status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", status))
			return status == http.StatusOK
		})
	})
}

func TestChangeOverSlowLinks(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given an edge and a member that are far from the others.
		f.NewWorker(Plain, "", Behaviour{})
		for _, far := range []string{f.Edges[1].IP, f.Controls[2].IP} {
			f.each(far, f.routers(), func(one, other string) { f.Network.Delay(one, other, 80*time.Millisecond) })
		}
		f.Serve()
		// When the operator takes a route away, at the far member.
		change := `{"version":2,"remove":{"routes":["harmless"]}}`
		f.Until(recovery, "the change taken", func() bool { return f.Operator.Change(f.Controls[2], 1, change) == http.StatusOK })
		// Then it is gone at all edges in time, and the others stay.
		time.Sleep(boot.DefaultSettingsWithin)
		for _, edge := range f.Edges {
			c.Assert(f.Client.Ask(edge, HarmlessPath+"x").Status, qt.Equals, http.StatusNotFound)
			c.Assert(f.Client.Ask(edge, RiskyPath+"x").Status, qt.Equals, http.StatusOK)
		}
	})
}
