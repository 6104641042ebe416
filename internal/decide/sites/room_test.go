package sites

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A crowded site that answers all it was held to bear keeps its bearing; one that answers less soon bears what it answers,
// whatever part of it comes late, and one that answers more bears that.
func TestCapacityRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answered := rapid.Float64Range(0.55, 1.4).Draw(t, "answers, of what was declared")
		late := rapid.Float64Range(0.15, 0.9).Draw(t, "late")
		m := threeSites().WithDefaults()
		perPeriod := max(int(answered*m.Sites[0].Capacity*0.5), 1) // in a period
		lateCount := int(late * float64(perPeriod))
		seen := Observation{Served: perPeriod, InTime: perPeriod - lateCount, Late: lateCount, Rejected: perPeriod / 2}
		var d Decider
		for i := range 40 {
			d.updateEstimates(m, Decision{}, []Report{{Router: "r", Site: "b", Observations: map[string]Observation{"a": seen}}}, time.Duration(i+1)*second/2)
		}
		want := float64(perPeriod) / 0.5 / m.Sites[0].Capacity
		if got := d.capacityRatio["a"]; got < want/(1+maxChance/2)-0.02 || got > max(want, 1)+0.02 || want < 0.98 && got > want+0.1 {
			t.Fatalf("it answers %.3f of what was declared and is held to bear %.3f", want, got)
		}
	})
}

// A site that starts again and is seen by its own routers first is not held to be cut off.
func TestRestartIsNotCutOff(t *testing.T) {
	d := newSimulation(6)
	siteDown := func(from, to string) (Observation, bool) {
		if to == "a" {
			return unreachable, from != "a"
		}
		return healthy, from != "a"
	}
	d.runUntil(t, "a", Lost, siteDown)
	for range 12 { // reports of its routers from before are forgotten
		d.step(siteDown)
	}
	for range 3 {
		d.step(func(from, to string) (Observation, bool) {
			if to == "a" && from != "a" {
				return unreachable, true
			}
			return healthy, true
		})
		if v := d.state("a"); v.Kind == CutOff || d.last.Shares["query"]["a"]["a"] > 0 {
			t.Fatalf("%+v, its routers give it %v", v, d.last.Shares["query"]["a"]["a"])
		}
	}
}
