package samples

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Sample requests are withheld at once when interactive requests are refused or late, until there has been a healthy
// period, and are then admitted again in steps. A single late answer in a quiet minute does not withhold them. After a
// change of decider they are admitted later, never sooner.
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
	setLoad(1, 0.3) // 0.9 of 3: less than 5% of the minimum request count
	if fractions := run(0, time.Second); fractions[len(fractions)-1] != 1 {
		t.Fatalf("one late answer among few withholds samples: %v", fractions)
	}
	setLoad(50, 5)
	if fractions := run(0, 200*time.Millisecond); fractions[0] != 0 || !strings.Contains(f.last().Notice, "clerks") {
		t.Fatalf("one in ten is late, but samples are admitted: %v, %q", fractions, f.last().Notice)
	}
	setLoad(50, 2) // better, but not yet healthy
	if fractions := run(0, 3*time.Second); fractions[len(fractions)-1] != 0 {
		t.Fatalf("samples are admitted before a healthy period: %v", fractions)
	}
	setLoad(50, 0)
	run(0, time.Second)
	fractions := run(1, 1900*time.Millisecond) // another decider, which has not seen the healthy period
	if fractions[len(fractions)-1] != 0 {
		t.Fatalf("samples are admitted after a healthy period that the new decider has not seen: %v", fractions)
	}
	fractions = run(1, 6*time.Second)
	for i, p := range fractions {
		if i > 0 && (p < fractions[i-1] || p-fractions[i-1] > f.model.WithDefaults().Hysteresis+1e-9) {
			t.Fatalf("fraction %d falls or rises too fast: %v", i, fractions)
		}
	}
	if fractions[len(fractions)-1] != 1 || f.last().Backoff != 0 {
		t.Fatalf("samples are still withheld after %v without failures: %v", 7*time.Second, fractions)
	}
	setLoad(50, 50)
	if fractions = run(2, 200*time.Millisecond); fractions[0] != 0 {
		t.Fatalf("samples are admitted although answers are late again: %v", fractions)
	}
	f.routers[0].report.Interactive = Load{Total: math.NaN()}
	if _, faults := f.view().Sanitize(); len(faults) != 1 {
		t.Errorf("a NaN count: %v", faults)
	}
	if err := Audit(f.history); err != nil {
		t.Error(err)
	}
}
