package fleettest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

const (
	// answerWithin and settingsWithin are the operators' bounds, answer_ms and settings_ms.
	answerWithin   = boot.DefaultAnswerWithin
	settingsWithin = boot.DefaultSettingsWithin
	// stallTime is how long bytes of a member that stalls travel.
	stallTime = 10 * time.Second
	// orderPause is how long the operator waits before it asks again.
	orderPause = 50 * time.Millisecond
)

// losses are what may happen to one control member.
var losses = map[string]func(f *Fleet, lost *Control){
	"is killed":          func(_ *Fleet, lost *Control) { lost.Kill() },
	"loses power":        func(_ *Fleet, lost *Control) { lost.PowerOff() },
	"stalls":             func(f *Fleet, lost *Control) { f.Stall(lost, stallTime) },
	"has a stalled disk": func(_ *Fleet, lost *Control) { lost.StallDisk() },
	"has a full disk":    func(_ *Fleet, lost *Control) { lost.Fill(true) },
	"is cut off":         func(f *Fleet, lost *Control) { f.Cut(lost) },
	"hears nobody":       func(f *Fleet, lost *Control) { f.Deafen(lost) },
	"is heard by nobody": func(f *Fleet, lost *Control) { f.Mute(lost) },
}

// orders sends a configuration to one member until it is acknowledged, and returns how long that took.
func orders(f *Fleet, at *Control, builtOn uint64, document string) time.Duration {
	f.t.Helper()
	began := f.Now()
	f.Until(ackLimit, "an acknowledgement by "+at.Node, func() bool {
		if f.Operator.Replace(at, builtOn, document) == http.StatusOK {
			return true
		}
		time.Sleep(orderPause)
		return false
	})
	return f.Now() - began
}

func TestOrderIsAcknowledgedInTime(t *testing.T) {
	for name, befalls := range losses {
		for number := range 4 {
			leads, asked := number%2 == 0, number/2
			who := map[bool]string{true: "the leader ", false: "a follower "}[leads]
			t.Run(fmt.Sprintf("%s%s, member %d of the others asked", who, name, asked), func(t *testing.T) {
				Run(t, Plan{Edges: 1}, func(c *qt.C, f *Fleet) {
					// Given a member that is lost.
					f.Serve()
					lost := f.Leader(settingsPartition)
					if !leads {
						lost = f.Others(lost)[0]
					}
					befalls(f, lost)
					// When the operator asks one of the others at that moment, and a few times more.
					at := f.Others(lost)[asked]
					for version := range uint64(3) {
						took := orders(f, at, version+1, Document(version+2, fmt.Sprintf("r%d", version)))
						// Then the order is acknowledged in time.
						c.Assert(took <= answerWithin, qt.IsTrue, qt.Commentf("%v", took))
					}
				})
			})
		}
	}
}

func TestOrderIsAcknowledgedWhicheverMemberIsAsked(t *testing.T) {
	Run(t, Plan{Controls: 5, Edges: 1, Zones: []string{"north", "south", "west"}}, func(c *qt.C, f *Fleet) {
		// Given a fleet in good order, when the operator asks any member.
		f.Serve()
		for version := range uint64(10) {
			at := f.Controls[version%5]
			status := f.Operator.Replace(at, version+1, Document(version+2))
			// Then it acknowledges the order at the first time of asking.
			c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s asked", at.Node))
		}
	})
}
