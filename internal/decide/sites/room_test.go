package sites

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A crowded site that answers as much as estimated keeps its capacity ratio. One that answers less or more soon gets
// the ratio that it answers, whatever share of its answers is late.
func TestCapacityRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answered := rapid.Float64Range(0.55, 1.4).Draw(t, "answers, relative to the declared capacity")
		late := rapid.Float64Range(0.15, 0.9).Draw(t, "late")
		m := threeSites().WithDefaults()
		perPeriod := max(int(answered*m.Sites[0].Capacity*0.5), 1) // answers per period
		lateCount := int(late * float64(perPeriod))
		seen := Observation{Served: perPeriod, InTime: perPeriod - lateCount, Late: lateCount, Rejected: perPeriod / 2}
		var d Decider
		for i := range 40 {
			d.updateEstimates(m, Decision{}, []Report{{Router: "r", Site: "b", Observations: map[string]Observation{"a": seen}}}, time.Duration(i+1)*second/2)
		}
		want := float64(perPeriod) / 0.5 / m.Sites[0].Capacity
		if got := d.capacityRatio["a"]; got < want/(1+maxChance/2)-0.02 || got > max(want, 1)+0.02 || want < 0.98 && got > want+0.1 {
			t.Fatalf("the site answers %.3f of its declared capacity, the estimated ratio is %.3f", want, got)
		}
	})
}

// A restarting site that its own routers see first is not taken for cut off.
func TestRestartIsNotCutOff(t *testing.T) {
	d := newSimulation(6)
	siteDown := func(from, to string) (Observation, bool) {
		if to == "a" {
			return unreachable, from != "a"
		}
		return healthy, from != "a"
	}
	d.runUntil(t, "a", Lost, siteDown)
	for range 12 { // old reports of its routers expire
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
			t.Fatalf("verdict %+v, its own routers send it a share of %v", v, d.last.Shares["query"]["a"]["a"])
		}
	}
}
