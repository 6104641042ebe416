package lane

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"sumacloft/internal/opconf"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/trial"
)

func newLane(off trial.Off) *Lane {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(opconf.Service{Name: "model", Runner: &opconf.Runner{MemoryTokens: 1000}}, Surroundings{
		Log:    quiet,
		Zone:   "north",
		Zones:  []string{"north", "south"},
		Budget: budget.Terms{Window: 10 * time.Second, Extra: 5},
		Trial:  off,
	}, 1)
}

func TestDecisionsAreCountedByKindAndReason(t *testing.T) {
	c := qt.New(t)
	// Given a lane whose retry budget has room for four further arrivals that are asked for.
	l := newLane(nil)
	defer l.Stop()
	// When six are asked for, and one has come about by itself.
	for range 6 {
		l.Take(calls.FurtherRun)
	}
	l.Charge(calls.FurtherFailedRun)
	// Then each is counted with its reason and what became of it.
	c.Assert(l.Decisions(), qt.DeepEquals, []Decision{
		{Kind: Further, Why: string(calls.FurtherRun), Count: 4},
		{Kind: Further, Why: string(calls.FurtherFailedRun), Count: 1},
		{Kind: NotAllowed, Why: string(calls.FurtherRun), Count: 2},
	})
}

func TestTrialsLeaveMechanismsOut(t *testing.T) {
	c := qt.New(t)
	whole := newLane(nil)
	defer whole.Stop()
	c.Assert(whole.settings.MinPrefillTokens, qt.Equals, float64(wholeTokens))
	c.Assert(whole.settings.Zone, qt.Equals, noZone)
	c.Assert(whole.settings.Probing && whole.settings.Cancelling && whole.settings.HoldOff, qt.IsTrue)
	less := newLane(trial.Off{trial.ShortPrompts, trial.RereadWeight, trial.OneHome, trial.Probing, trial.CallOff, trial.HoldOff, trial.LateShare})
	defer less.Stop()
	c.Assert(less.settings.MinPrefillTokens, qt.Equals, 1.0)
	c.Assert(less.settings.RereadWeight, qt.Equals, 0.0)
	c.Assert(less.settings.LateShare, qt.Equals, 0.0)
	c.Assert(less.settings.Zone, qt.Equals, 0)
	c.Assert(less.settings.Probing || less.settings.Cancelling || less.settings.HoldOff, qt.IsFalse)
}
