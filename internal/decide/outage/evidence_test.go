package outage_test

import (
	"strings"
	"testing"

	"sumacloft/internal/decide/outage"
)

// The wave after the canary waits, for a limited time, until enough requests of the new version were seen. A rollback
// does not wait.
func TestWaveWaitsForEvidence(t *testing.T) {
	for _, c := range []struct {
		name        string
		phase       outage.Phase
		seen        int64 // by each of three routers
		pauseMs     float64
		starts      bool
		whyContains string
	}{
		{"too few", outage.Running, 9, 1000, false, ""},
		{"enough", outage.Running, 10, 1000, true, "wave 2"},
		{"too few for long", outage.Running, 9, 8000, true, "27 of 30 requests"},
		{"enough, in the pause", outage.Running, 10, -1500, false, ""},
		{"a rollback", outage.RollingBack, 0, 1000, true, "wave 2"},
	} {
		last := &outage.State{Format: outage.Format, Seq: 1, Release: &outage.Release{Spec: outage.Spec{Name: "up", Kind: outage.Server, To: "new"},
			Run: "up-1", Phase: c.phase, Paused: true, PauseMs: c.pauseMs,
			Targets: []outage.Target{{Name: "s0", From: "old", State: outage.Reached, Order: 1}, {Name: "s1", From: "old", State: outage.Waiting, Order: 2}}}}
		label := "old"
		if c.phase == outage.RollingBack {
			label = "new"
		}
		observation := outage.Observation{Boot: "1", Label: label}
		v := viewWith(last, observation, observation, observation)
		v.Model.Halt = outage.Halt{Least: 1000, Seen: 30, SeenMs: 5000}
		for i := range v.Reports {
			v.Reports[i].Release, v.Reports[i].Counts = "up-1", outage.Counts{Old: outage.Tally{N: 500}, New: outage.Tally{N: c.seen}}
		}
		next := stepAfterTwoSeconds(v) // the state is 2 s old, the pause is 1 s
		starts := next != nil && !next.Release.Paused
		if starts != c.starts || starts && !strings.Contains(next.Why, c.whyContains) {
			t.Errorf("%s: starts %v, %+v", c.name, starts, next)
		}
	}
}
