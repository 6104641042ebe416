package samples

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/standin"
)

func drawGroups(t *rapid.T) []Group {
	var list []Group
	for i := range rapid.IntRange(1, 12).Draw(t, "groups") {
		n := rapid.IntRange(1, 60).Draw(t, "n")
		list = append(list, Group{Worker: fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker")), Boot: fmt.Sprint(i), Site: fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "site")),
			Version: 10 - int64(rapid.IntRange(0, 6).Draw(t, "lag")), Count: n, WorkerSamples: float64(n) + rapid.Float64Range(0, 100).Draw(t, "seen")})
		if rapid.IntRange(0, 9).Draw(t, "held") == 0 {
			list[i].HoldReason = "why"
		}
	}
	return list
}

// For any groups: no group that is held or beyond the staleness bound has weight, the mean weight is 1, and caps and floor
// are satisfied or the relaxation is recorded.
func TestWeighInvariants(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(t *rapid.T) {
		m := Model{WorkerCap: rapid.Float64Range(0.05, 1).Draw(t, "worker cap"), SiteCap: rapid.Float64Range(0.1, 1).Draw(t, "site cap"),
			VersionCap: rapid.Float64Range(0.1, 1).Draw(t, "version cap"), Floor: rapid.Float64Range(0.05, 1).Draw(t, "floor")}.WithDefaults()
		groups := drawGroups(t)
		weighting := m.Weigh(groups, 10, "")
		e := Epoch{Number: 1, Version: 10, Groups: groups, Weighting: weighting,
			Bounds: &Bounds{m.StaleMost, m.SpreadMost, [3]float64{m.WorkerCap, m.SiteCap, m.VersionCap}, m.Floor}}
		for i := range groups {
			for k := range groups[i].Count {
				groups[i].Keys = append(groups[i].Keys, uint64(i*1000+k))
			}
			groups[i].WorkerSamples = 1
			e.Counted += groups[i].Count
		}
		s := &State{Seq: 1, Version: 10, Open: Epoch{Number: 2}, Closed: []Epoch{e}, Totals: Totals{Reported: int64(e.Counted), Counted: int64(e.Counted)}}
		s.openWeights(e)
		if err := Audit([]*State{s}); err != nil {
			t.Fatal(err)
		}
	})
}

// Values computed by hand.
func TestWeigh(t *testing.T) {
	weights := func(m Model, groups ...Group) ([]float64, Weighting) {
		for i := range groups {
			groups[i].Boot, groups[i].WorkerSamples = fmt.Sprint(i), 1e12
		}
		weighting := m.WithDefaults().Weigh(groups, 10, "")
		var out []float64
		for _, g := range groups {
			out = append(out, g.Weight)
		}
		return out, weighting
	}
	uncapped := Model{WorkerCap: 1, SiteCap: 1, VersionCap: 1, Floor: 0.01}
	capped, floored := uncapped, uncapped
	capped.WorkerCap, floored.Floor = 0.5, 0.95
	for _, c := range []struct {
		name   string
		m      Model
		groups []Group
		want   []float64
	}{
		{"weight halves with each half-life", uncapped, []Group{{Worker: "a", Version: 10, Count: 1}, {Worker: "b", Version: 8, Count: 1}, {Worker: "c", Version: 6, Count: 1},
			{Worker: "d", Version: 5, Count: 1}}, []float64{12. / 7, 6. / 7, 3. / 7, 0}},
		{"a spanned version counts as half a version", uncapped, []Group{{Worker: "a", Version: 9, Count: 1}, {Worker: "b", Version: 10, End: 11, Count: 1}},
			[]float64{2 / (1 + math.Sqrt2*math.Exp2(-0.25)), 2 - 2/(1+math.Sqrt2*math.Exp2(-0.25))}},
		{"cap on a worker", capped, []Group{{Worker: "a", Version: 10, Count: 80}, {Worker: "b", Version: 10, Count: 10}, {Worker: "c", Version: 10, Count: 10}},
			[]float64{50. / 80, 2.5, 2.5}},
		{"a single worker has all weight", capped, []Group{{Worker: "a", Version: 10, Count: 80}}, []float64{1}},
	} {
		got, _ := weights(c.m, c.groups...)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 1e-6 {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
				break
			}
		}
	}
	// Caps that would give 20 samples the weight of 800 are relaxed to satisfy the floor.
	few, tight := []Group{{Worker: "a", Version: 10, Count: 800}, {Worker: "b", Version: 10, Count: 10}, {Worker: "c", Version: 10, Count: 10}}, capped
	tight.Floor = 0.5
	if got, weighting := weights(tight, few...); weighting.EffectiveSize < 410 || weighting.CapsRelaxed == 0 || weighting.CapsRelaxed == 1 || got[1] < 1.5 {
		t.Errorf("%v, %+v", got, weighting)
	}
	_, weighting := weights(floored, Group{Worker: "a", Version: 10, Count: 10}, Group{Worker: "b", Version: 6, Count: 10})
	// For two halves with weights 1 ± d the effective part is 1/(1+d²). With a floor of 0.95, d is reduced from 0.6 to 0.2294.
	if math.Abs(weighting.EffectiveSize-19) > 1e-6 || math.Abs(weighting.EqualPart-(1-math.Sqrt(1/0.95-1)/0.6)) > 1e-6 {
		t.Errorf("%+v", weighting)
	}
}

// A worker's rate is that of its kind without samples, and moves to its own with more samples while its error falls.
func TestRatesShrink(t *testing.T) {
	workers := map[string]*WorkerStats{}
	rng := newRand(7)
	for i := range 8 {
		w := &WorkerStats{Kind: "k"}
		for range 200 {
			speed := 100 * math.Exp(0.3*float64(i%2)) * math.Exp(0.2*rng.NormFloat64())
			w.observe(Sample{Tokens: int(speed * 10), TookMs: 10_000, Accepted: true})
		}
		workers[fmt.Sprint(i)] = w
	}
	few := &WorkerStats{Kind: "k"}
	few.observe(Sample{Tokens: 8000, TookMs: 10_000, Accepted: true}) // one sample of 800 tokens a second
	workers["few"], workers["none"] = few, &WorkerStats{Kind: "k"}
	estimateRates(workers)
	if r := workers["none"].Rate; r < 100 || r > 150 {
		t.Errorf("rate without samples: %g", r)
	}
	if workers["few"].Rate > 600 || workers["few"].Rate < 150 {
		t.Errorf("rate after one sample of 800: %g", workers["few"].Rate)
	}
	if r := workers["1"].Rate / workers["0"].Rate; math.Abs(r-math.Exp(0.3)) > 0.08 {
		t.Errorf("ratio of the rates of two workers with many samples is %g", r)
	}
	if !(workers["0"].RelError < workers["few"].RelError && workers["few"].RelError < workers["none"].RelError) {
		t.Errorf("errors %g, %g, %g", workers["0"].RelError, workers["few"].RelError, workers["none"].RelError)
	}
}

// A worker whose answers are far shorter is held with a reason; a slow one is not. A hold ends once the worker is near the
// others again, but not before the minimum duration.
func TestOutliers(t *testing.T) {
	m := Model{}.WithDefaults()
	rng := newRand(3)
	workers := map[string]*WorkerStats{}
	fill := func(name string, tokens, speed float64) {
		w := workers[name]
		if w == nil {
			w = &WorkerStats{Kind: "k"}
			workers[name] = w
		}
		for range 40 {
			n := tokens * math.Exp(0.1*rng.NormFloat64())
			w.observe(Sample{Tokens: int(n), TookMs: int64(1000 * n / speed), Accepted: true})
		}
	}
	for i := range 9 {
		fill(fmt.Sprint(i), 500, 100)
	}
	fill("short", 20, 100)
	fill("slow", 500, 12)
	fill("quick", 500, 4000)
	m.holdOutliers(workers)
	for name, w := range workers {
		if want := name == "short" || name == "quick"; (w.HoldReason != "") != want {
			t.Errorf("%s held: %q", name, w.HoldReason)
		}
	}
	*workers["short"] = WorkerStats{Kind: "k", HoldReason: workers["short"].HoldReason, HeldMs: m.HoldMs - 1}
	fill("short", 500, 100)
	if m.holdOutliers(workers); workers["short"].HoldReason == "" {
		t.Error("hold ended before its minimum duration")
	}
	workers["short"].HeldMs++
	if m.holdOutliers(workers); workers["short"].HoldReason != "" {
		t.Error("hold did not end")
	}
}

func TestCheck(t *testing.T) {
	if err := (Model{}).Check(); err != nil {
		t.Error(err)
	}
	for want, m := range map[string]Model{
		"samples.stale_most: -1, must be from 1 to 1000": {StaleMost: -1},
		"samples.worker_cap: 2, must be from 0.001 to 1": {WorkerCap: 2},
		"samples.batch: 5000, must be from 1 to 1024":    {Batch: 5000},
		"samples.floor: NaN, must be from 0.01 to 1":     {Floor: math.NaN()},
		"samples.ahead: 9, must be from 1 to 4":          {Ahead: 9},
	} {
		var e *KeyError
		if err := m.Check(); err == nil || err.Error() != want || !asKey(err, &e) || e.Advice() == "" {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// 100 routers report 20 samples each of 200 workers, and a batch is closed.
func BenchmarkNext(b *testing.B) {
	f := newFleet(1, 100, 200)
	f.model = Model{Batch: 1024, LateEpochs: 6, Ahead: 4}
	for range 14 {
		f.produce(10)
		f.step(0, "")
		f.publish(f.tuner.Version, max(f.openEpoch()-3, 0))
	}
	f.produce(10)
	v := f.view()
	size := len(encode(v.Last))
	defer func() { b.ReportMetric(float64(size), "B/state") }()
	for b.Loop() {
		if d := (&Decider{Router: "r0"}); d.Next(v, time.Second) == nil {
			b.Fatal("no new state")
		}
	}
}
