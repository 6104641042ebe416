package release

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
)

// budget is a fixed one of n servers, or with n = 0 one that follows room between three and fifteen, where the operator takes a
// server to have so many places, and would have so much of them used.
func budget(n, places, fill float64) outage.Model {
	m := outage.Model{Workers: n, ReportMs: 5000, PauseMs: 5000, LostMs: 5000, WarmMs: 90_000, ReturnMs: 1_800_000, WorkersSite: 20, WorkersRole: Servers, Halt: outage.Halt{OverMs: 3_600_000}}
	if n == 0 {
		m.HeadroomLimit = outage.HeadroomLimit{Min: 3, Max: 15, InHand: places, Fill: fill}
	}
	return m
}

// A release begun at night under a budget that follows room takes what the upper wall lets it.
func TestNight(t *testing.T) {
	r := Run(Setting{Seed: 1, Model: budget(0, Slots, 0.85), Peak: 0.8, Night: 0.2, Hour: 1, Window: 34 * time.Minute})
	if len(r.Faults) > 0 || r.Done == 0 || r.Most < 15 || r.Missed > 0.001*r.Asked {
		t.Errorf("done after %v, %d out, missed %.0f of %.0f, %v", r.Done, r.Most, r.Missed, r.Asked, r.Faults)
	}
}

// Releases begun at drawn hours, under fixed budgets and under ones that follow room, each with the same clerks and losses. The
// one that follows is done in less than seven tenths of the time of its lowest wall, at noon no later, and misses no more than
// that by a thousandth of what is asked.
func TestDays(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("two minutes: LAB_LONG=1")
	}
	const seeds, window = 10, 4 * time.Hour
	budgets := []struct {
		name  string
		model outage.Model
	}{{"fixed 3", budget(3, 0, 0)}, {"follows", budget(0, Slots, 0.85)}, {"fixed 9", budget(9, 0, 0)}, {"fixed 15", budget(15, 0, 0)},
		{"places 0.7", budget(0, 0.7*Slots, 0.85)}, {"places 1.3", budget(0, 1.3*Slots, 0.85)}, {"fill 0.95", budget(0, Slots, 0.95)}}
	for _, hours := range []struct {
		name     string
		from, to float64
		part     float64 // of the lowest wall's time
	}{{"any hour", 0, 24, 0.7}, {"9 to 15 h", 9, 15, 1.02}} {
		lowest := Result{}
		for i, b := range budgets {
			var sum Result
			minutes, undone := 0.0, 0
			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 9))
				hour, peak := hours.from+(hours.to-hours.from)*rng.Float64(), 0.75+0.15*rng.Float64()
				r := Run(Setting{Seed: seed, Model: b.model, Peak: peak, Night: 0.2, Hour: hour, Window: window})
				for _, fault := range r.Faults {
					t.Errorf("%s, seed %d: %s", b.name, seed, fault)
				}
				if r.Done == 0 {
					undone++
				}
				if testing.Verbose() {
					t.Logf("  %s, seed %d: %.1f h, peak %.2f, done after %.0f min, missed %.0f of %.0f, %d out", b.name, seed, hour, peak, r.Done.Minutes(), r.Missed, r.Asked, r.Most)
				}
				minutes += r.Done.Minutes()
				sum.Done, sum.Asked, sum.Missed, sum.Most = max(sum.Done, r.Done), sum.Asked+r.Asked, sum.Missed+r.Missed, max(sum.Most, r.Most)
			}
			t.Logf("%s, %s: done after %.0f min in the mean, %.0f at most, missed %.0f of %.0f (%.2f in a thousand), %d out, %d not done", hours.name, b.name, minutes/float64(seeds), sum.Done.Minutes(), sum.Missed, sum.Asked, 1000*sum.Missed/sum.Asked, sum.Most, undone)
			if i == 0 {
				lowest = sum
				lowest.Done = time.Duration(minutes * float64(time.Minute))
			}
			if b.name == "follows" && (undone > 0 || minutes*float64(time.Minute) >= hours.part*float64(lowest.Done) || sum.Missed > lowest.Missed+0.001*sum.Asked) {
				t.Errorf("%s: the budget that follows room does not pay: %.0f min and %.0f missed, beside %.0f min and %.0f", hours.name, minutes, sum.Missed, lowest.Done.Minutes(), lowest.Missed)
			}
		}
	}
}
