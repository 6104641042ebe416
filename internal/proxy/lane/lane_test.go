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

func newLane(disabled trial.Off) *Lane {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(opconf.Service{Name: "model", Runner: &opconf.Runner{MemoryTokens: 1000}}, Environment{
		Log:      logger,
		Zone:     "north",
		Zones:    []string{"north", "south"},
		Budget:   budget.Terms{Window: 10 * time.Second, Extra: 5},
		Disabled: disabled,
	}, 1)
}

func TestDecisionsAreCountedByKindAndReason(t *testing.T) {
	c := qt.New(t)
	// Given a lane whose retry budget allows four extra attempts,
	l := newLane(nil)
	defer l.Stop()
	// when six are requested and one is charged afterwards,
	for range 6 {
		l.Take(calls.ExtraRun)
	}
	l.Charge(calls.ExtraFailedFirstRun)
	// then each is counted by its reason and whether it was allowed.
	c.Assert(l.Decisions(), qt.DeepEquals, []Decision{
		{Kind: ExtraAttempt, Reason: string(calls.ExtraRun), Count: 4},
		{Kind: ExtraAttempt, Reason: string(calls.ExtraFailedFirstRun), Count: 1},
		{Kind: ExtraDenied, Reason: string(calls.ExtraRun), Count: 2},
	})
}

func TestTrialDisablesMechanisms(t *testing.T) {
	c := qt.New(t)
	full := newLane(nil)
	defer full.Stop()
	c.Assert(full.settings.MinPrefillTokens, qt.Equals, float64(minPrefillTokens))
	c.Assert(full.settings.Zone, qt.Equals, noZone)
	c.Assert(full.settings.Probing && full.settings.Cancelling && full.settings.HoldOff, qt.IsTrue)
	reduced := newLane(trial.Off{trial.ShortPrompts, trial.RereadWeight, trial.OneHome, trial.Probing, trial.CallOff, trial.HoldOff, trial.LateShare})
	defer reduced.Stop()
	c.Assert(reduced.settings.MinPrefillTokens, qt.Equals, 1.0)
	c.Assert(reduced.settings.RereadWeight, qt.Equals, 0.0)
	c.Assert(reduced.settings.LateShare, qt.Equals, 0.0)
	c.Assert(reduced.settings.Zone, qt.Equals, 0)
	c.Assert(reduced.settings.Probing || reduced.settings.Cancelling || reduced.settings.HoldOff, qt.IsFalse)
}
