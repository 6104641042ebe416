package samples

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Samples give way at once when clerks' requests are refused or late, stay away until it was calm, return in steps, and
// not at all for one late answer in a quiet minute. Through a decider that is new they return later, never sooner.
func TestInteractiveRequestsTakePriority(t *testing.T) {
	f := newFleet(1, 3, 4)
	f.model.InteractiveFailedMax, f.model.InteractiveCalmMs, f.model.InteractiveRiseMs, f.model.EpochMs = 0.05, 2000, 4000, 100_000
	f.step(0, "")
	setLoad := func(n, bad float64) {
		for _, r := range f.routers {
			r.report.Interactive = Load{Total: n, Failed: bad}
		}
	}
	run := func(i int, d time.Duration) (fractions []float64) {
		for end := f.now + d; f.now < end; {
			f.step(i, "")
			fractions = append(fractions, f.last().AdmitFraction)
		}
		return fractions
	}
	setLoad(1, 0.3) // 0.9 of 3: less than one in twenty of the least that counts
	if fractions := run(0, time.Second); fractions[len(fractions)-1] != 1 {
		t.Fatalf("one late answer among few: %v", fractions)
	}
	setLoad(50, 5)
	if fractions := run(0, 200*time.Millisecond); fractions[0] != 0 || !strings.Contains(f.last().Notice, "clerks") {
		t.Fatalf("one in ten is late: %v, %q", fractions, f.last().Notice)
	}
	setLoad(50, 2) // better, not calm
	if fractions := run(0, 3*time.Second); fractions[len(fractions)-1] != 0 {
		t.Fatalf("it is not calm: %v", fractions)
	}
	setLoad(50, 0)
	run(0, time.Second)
	fractions := run(1, 1900*time.Millisecond) // another decides, which has seen no calm yet
	if fractions[len(fractions)-1] != 0 {
		t.Fatalf("samples are back after a calm that its decider has not seen: %v", fractions)
	}
	fractions = run(1, 6*time.Second)
	for i, p := range fractions {
		if i > 0 && (p < fractions[i-1] || p-fractions[i-1] > f.model.Filled().Hysteresis+1e-9) {
			t.Fatalf("part %d: %v", i, fractions)
		}
	}
	if fractions[len(fractions)-1] != 1 || f.last().Backoff != 0 {
		t.Fatalf("calm for %v: %v", 7*time.Second, fractions)
	}
	setLoad(50, 50)
	if fractions = run(2, 200*time.Millisecond); fractions[0] != 0 {
		t.Fatalf("late again: %v", fractions)
	}
	f.routers[0].report.Interactive = Load{Total: math.NaN()}
	if _, faults := f.view().Sanitize(); len(faults) != 1 {
		t.Errorf("a count that is none: %v", faults)
	}
	if err := Audit(f.history); err != nil {
		t.Error(err)
	}
}
