package lab

import (
	"context"
	"strings"
	"testing"
	"time"
)

// tunes carries out a schedule over processes and gives what was seen.
func tunes(t *testing.T, bin, broken string, seed uint64, clients int, steps string, env ...string) TuningReport {
	t.Helper()
	ctx, done := context.WithTimeout(t.Context(), 4*time.Minute)
	defer done()
	s := TuningSchedule{Seed: seed, Steps: strings.Split(steps, ";")}
	o := Options{Dir: logsIn(t), Bin: bin, Env: env}
	if broken != "" {
		o.Env = append(o.Env, "SUMACLOFT_BROKEN="+broken)
	}
	rep, err := CarryTuning(ctx, s, o, clients)
	if err != nil && broken == "" {
		t.Errorf("%v\n%s", err, s)
	} else if err != nil {
		t.Log(err)
	}
	inLogs(t, 6, o.Dir)
	t.Logf("seed %d: %d epochs, %d read, version %d; %d of %d samples answered (%v), %+v; %d boards, %d twice, %d back, held %v, %d closed with silent routers; %d permits, %d reloads, %d replaced, %d down at most; clerks %d requests, worth %.1f of %.1f a second; %.1f s",
		rep.Seed, rep.Epochs, rep.Taken, rep.Version, rep.Answered, rep.Asked, rep.Statuses, rep.Totals, rep.Boards, rep.Twice, rep.Back, rep.Held, rep.Silent,
		rep.Permits, rep.Reloads, rep.Replaced, rep.Most, rep.Requests, rep.Worth, rep.Wanted, rep.Took.Seconds())
	return rep
}

// Each case over six routers, five members of the store and nine servers, with a tuner, a deployer and interactive clients of its own.
func TestTuningHardCases(t *testing.T) {
	bin := build(t, "")
	for _, c := range []struct {
		name  string
		long  bool
		steps string
		seen  func(rep TuningReport) bool
	}{
		{"a router is lost with samples in hand, the tuner publishes twice and goes backwards", false,
			"await closed 1;await inhand;kill d1;await closed 1;start all;twice;await twice;backwards;await back;await closed 1",
			func(rep TuningReport) bool { return rep.Back >= 1 && rep.Twice >= 1 && rep.Answered >= 100 }},
		{"all workers are past the bound and reload within the budget", false,
			"await closed 1;jump 6;await bound;await reload;await part;await reloaded;await closed 1",
			func(rep TuningReport) bool { return rep.Reloads >= 1 && rep.Most <= 2 }},
		{"a decider is stopped between reading and writing, then goes on; one loses its registration, one dies", true,
			"await closed 1;stop decider;await other;await closed 1;continue all;await closed 1;revoke decider;await closed 1;kill decider;await other;start all;await closed 1",
			func(rep TuningReport) bool { return rep.Epochs >= 5 }},
		{"an epoch is closed while half of the routers are cut off", true,
			"await closed 1;half;await silent;await closed 2;heal;await closed 2",
			func(rep TuningReport) bool { return rep.Silent >= 1 }},
		{"a worker claims versions that it does not run", true,
			"await closed 1;liar s2;jump 5;await held s2;await closed 1",
			func(rep TuningReport) bool { return len(rep.Held) == 1 && rep.Held[0] == "s2" }},
		{"the tuner is away: generation stops as many batches ahead as it may be", true,
			"await closed 1;tuner off;await stalled;wait 1500;tuner on;await part;await closed 1",
			func(rep TuningReport) bool { return rep.Epochs >= 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			brief(t, c.long)
			rep := tunes(t, bin, "", 1, TuningClients, c.steps)
			for _, w := range rep.Wrong {
				t.Error(w)
			}
			if !c.seen(rep) {
				t.Errorf("it did not come about: %+v", rep)
			}
		})
	}
}

// What interactive clients are served beside samples, against the same schedule without any.
func TestTuningClerksGoFirst(t *testing.T) {
	brief(t, true)
	bin := build(t, "")
	const steps = "wait 15000"
	without := tunes(t, bin, "", 7, 0, steps)
	with := tunes(t, bin, "", 7, TuningClients, steps)
	for _, w := range append(without.Wrong, with.Wrong...) {
		t.Error(w)
	}
	if part, alone := with.Worth/with.Wanted, without.Worth/without.Wanted; part < alone-0.03 {
		t.Errorf("interactive requests are served %.3f of their worth beside samples, %.3f without", part, alone)
	}
}

// Programs that break a rule are found by the checkers, over processes.
func TestTuningCheckersBite(t *testing.T) {
	bin := build(t, "broken")
	for _, c := range []struct {
		broken, rule string
		long         bool
		steps        string
		env          []string
	}{
		{"counts-twice", "places", false, "await closed 1;await inhand;kill d1;await closed 1;await inhand;kill d2;await closed 1;start all", nil},
		{"no-compare", "", true, "await closed 2", []string{"SUMACLOFT_SAMPLES_PAUSE_MS=150"}},
		{"no-fence", "not registered", true, "await closed 1;revoke decider;await inhand;wait 700;await inhand;revoke decider;wait 700;await inhand;revoke decider;wait 700;await inhand;revoke decider;wait 700;await closed 1", nil},
	} {
		t.Run(c.broken, func(t *testing.T) {
			brief(t, c.long)
			rep := tunes(t, bin, c.broken, 2, TuningClients, c.steps, c.env...)
			if !strings.Contains(strings.Join(rep.Wrong, "\n"), c.rule) || len(rep.Wrong) == 0 {
				t.Errorf("%s was not found", c.broken)
			}
			t.Log(rep.Wrong)
		})
	}
}
