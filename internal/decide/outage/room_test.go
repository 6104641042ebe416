package outage_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/standin"
)

// randomLoad draws the load of ten servers over time. faults lists limits that exceed the headroom, at present or at any
// time in the rise period before an increase. audited lists the auditor's findings.
func randomLoad(rt *rapid.T, broken outage.Fault) (faults, audited []string) {
	m := outage.Model{Routers: 1, ReportMs: 1000, HeadroomLimit: outage.HeadroomLimit{Min: 1, Max: 4, InHand: 10, Fill: 0.8, RiseMs: 20_000}}
	audit := outage.Auditor{Model: func(int64) (outage.Model, bool) { return m, true }}
	d := &outage.Decider{Router: "a", Fault: broken}
	type sample struct {
		at   time.Duration
		fits int
	}
	var (
		last  *outage.State
		rev   int64
		looks []sample
		now   = time.Second
	)
	for range rapid.IntRange(2, 6).Draw(rt, "spells") {
		busy := rapid.IntRange(0, 12).Draw(rt, "in hand")
		for range rapid.IntRange(1, 30).Draw(rt, "seconds") {
			now += time.Second
			rev++
			r := outage.Report{Router: "a", Boot: "1", Rev: rev, Observed: map[string]outage.Observation{}}
			for i := range 10 {
				r.Observed[string(rune('A'+i))] = outage.Observation{Boot: "1", Probed: true, Busy: busy}
			}
			limit := min(max(int(10*(1-float64(busy)/10/0.8)), 1), 4)
			looks = append(looks, sample{now, limit})
			next := d.Next(outage.View{Model: m, Version: 1, Last: last, Reports: []outage.Report{r},
				Routers: map[string]outage.Registration{"a": {Boot: "1", Live: true}}}, now)
			if next == nil {
				continue
			}
			next.Rev = rev
			most := next.Headroom.Limit
			if most > limit {
				faults = append(faults, "the limit exceeds the headroom")
			}
			if last != nil && most > last.Headroom.Limit {
				for _, l := range looks {
					if now-l.at <= 20*time.Second && l.fits < most {
						faults = append(faults, "the limit rose above the headroom of the rise period")
					}
				}
			}
			audit.Check(next)
			last = next
		}
	}
	return faults, audit.Faults
}

// The limit stays within its bounds, falls at once and rises after its delay. The auditor detects deciders that do
// otherwise.
func TestServerLimitFollowsHeadroom(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		if faults, audited := randomLoad(rt, ""); len(faults)+len(audited) > 0 {
			rt.Fatalf("%v %v", faults, audited)
		}
	})
	for _, broken := range []outage.Fault{outage.RisesAtOnce, outage.IgnoresBounds} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if _, audited := randomLoad(rt, broken); len(audited) > 0 {
				found++
			}
		})
		if t.Logf("%s: found in %d random runs", broken, found); found == 0 {
			t.Errorf("%s was not detected", broken)
		}
	}
}
