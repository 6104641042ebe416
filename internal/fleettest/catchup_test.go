package fleettest

import (
	"flag"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// missed is how many changes a member misses in TestMemberThatMissedManyChangesCatchesUp.
var missed = flag.Int("missed", 300, "how many changes a member misses in TestMemberThatMissedManyChangesCatchesUp")

// slowRate is 10 Mbit/s, in bytes a second.
const slowRate = 10e6 / 8

// absence is how a member misses changes; it gives how that ends.
type absence struct {
	name  string
	begin func(f *Fleet, lost *Control) (end func())
}

var absences = []absence{
	{"without power", func(_ *Fleet, lost *Control) func() {
		lost.PowerOff()
		return lost.PowerOn
	}},
	{"cut off", func(f *Fleet, lost *Control) func() {
		f.Cut(lost)
		return func() { f.Heal(lost) }
	}},
	{"full disk", func(_ *Fleet, lost *Control) func() {
		lost.Fill(true)
		return func() { lost.Fill(false) }
	}},
	{"stalled disk, then killed", func(_ *Fleet, lost *Control) func() {
		lost.StallDisk()
		return func() {
			lost.Kill()
			lost.Start(false)
		}
	}},
	{"disk lost", func(_ *Fleet, lost *Control) func() {
		lost.Kill()
		lost.Wipe()
		return func() { lost.Start(false) }
	}},
}

// manyRoutes names so many routes.
func manyRoutes(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("many%d", i))
	}
	return names
}

// A member that missed many changes holds what was committed at its return within the time after which it no longer counts
// as lost, while changes go on; over links of 10 Mbit/s, and where its disk came to its end many times.
func TestMemberThatMissedManyChangesCatchesUp(t *testing.T) {
	for _, size := range []struct {
		name          string
		routes, every int // the configuration's, and after how many small changes the whole is sent
	}{{"small configuration", 0, 1}, {"largest configuration", 400, 20}} {
		for _, away := range absences {
			t.Run(size.name+", "+away.name, func(t *testing.T) {
				Run(t, Plan{Edges: -1}, func(c *qt.C, f *Fleet) {
					// Given a member that was away while many changes were made
					routes := manyRoutes(size.routes)
					f.Operator.Acknowledge(0, Document(1, routes...))
					version := uint64(1)
					change := func() {
						document := Document(version+1, routes...)
						small := fmt.Sprintf(`{"version":%d,"add":{"services":[{"name":"other%d"}]}}`, version+1, version%7)
						f.Until(recovery, "a change taken", func() bool {
							at := f.Leader(settingsPartition)
							if size.every > 1 && int(version)%size.every != 0 {
								return f.Operator.Change(at, version, small) == http.StatusOK
							}
							return f.Operator.Replace(at, version, document) == http.StatusOK
						})
						version++
					}
					lost := f.Others(f.Leader(settingsPartition))[0]
					end := away.begin(f, lost)
					for range *missed / size.every * max(size.every/4, 1) {
						change()
					}
					for _, other := range f.Others(lost) {
						f.Network.Rate(lost.IP, other.IP, slowRate)
					}
					// when it is back, and changes go on,
					carried := f.carriedTo(lost)
					end()
					began, wanted := f.Now(), f.Leader(settingsPartition).Partition(settingsPartition).Commit
					for {
						part := lost.Partition(settingsPartition)
						if part != nil && part.Applied >= wanted {
							break
						}
						c.Assert(f.Now()-began <= catchUp, qt.IsTrue, qt.Commentf("%+v, wanted %d", part, wanted))
						change()
					}
					// then it soon holds all that was committed when it came back.
					c.Logf("%d changes of %d bytes missed: %v, %d KB", version-1, len(Document(version, routes...)),
						f.Now()-began, (f.carriedTo(lost)-carried)>>10)
				})
			})
		}
	}
}

// carriedTo is how many bytes the other members have sent to one.
func (f *Fleet) carriedTo(one *Control) (bytes int64) {
	for _, other := range f.Others(one) {
		bytes += f.Network.Carried(other.IP, one.IP)
	}
	return bytes
}
