package reuse

import (
	"math"
	"testing"
)

// The tokens by which a session's prefix has grown count as cold, the others as reused.
func TestGrowthCountsAsCold(t *testing.T) {
	s := NewSampler(1e6)
	s.Use(1, 100)
	s.Use(1, 300)
	reused := 0.0
	for _, v := range s.hist.Buckets {
		reused += v
	}
	if math.Abs(s.hist.Cold-300) > 1e-6 || math.Abs(reused-100) > 1e-6 {
		t.Errorf("%g cold tokens, want 300; %g reused, want 100", s.hist.Cold, reused)
	}
}

// A prefix used in one region is expected in another at once. It is no longer expected after a long silence there, and sooner where
// few prefixes are shared. A prefix that is silent in all regions is expected less than one that is silent in one region only.
func TestExpectedRate(t *testing.T) {
	m := Model{Regions: []Region{{"a", 1e6}, {"b", 1e6}, {"c", 1e6}}}.WithDefaults()
	expected := func(share float64, hot ...[]Use) float64 {
		var reports []Report
		for a, list := range hot {
			reports = append(reports, Report{Region: m.Regions[a].Name, Hot: list})
		}
		d := &Decider{abandoned: initialAbandoned}
		d.usage.aggregate(m, reports, "", d.abandoned)
		d.learnSpillover(m, &State{}, &d.usage)
		for i := range d.spillovers {
			d.spillovers[i] = spillover{[2]float64{share, 0.9}, 1}
		}
		return d.newValuer(m, View{}, &d.usage, nil).expectedRate(&d.usage.prefixes[0], 1)
	}
	uses := func(count float64, age, idle int64) []Use {
		return []Use{{Prefix: flashKey, Tokens: 1000, Count: count, AgeMs: age * 1000, IdleMs: idle * 1000}}
	}
	early, late, rare := expected(0.5, uses(10, 10, 1)), expected(0.5, uses(25, 300, 1)), expected(0.1, uses(10, 10, 1))
	if early < 0.01 || late > early/10 || rare > early/2 {
		t.Errorf("expected rates: early %g, late %g, rarely shared %g", early, late, rare)
	}
	silentEverywhere, silentThere := expected(0.5, uses(20, 300, 150), uses(20, 300, 150)), expected(0.5, uses(20, 300, 1), uses(20, 300, 150))
	used := expected(0.5, uses(20, 300, 1), uses(20, 300, 1))
	if silentEverywhere > used/3 || silentThere > used/2 {
		t.Errorf("expected rates: used %g, silent in the region %g, silent in all regions %g", used, silentThere, silentEverywhere)
	}
	t.Logf("expected rates: early %.4f, late %.6f, rarely shared %.4f; used %.4f, silent in the region %.4f, silent in all regions %.4f",
		early, late, rare, used, silentThere, silentEverywhere)
}
