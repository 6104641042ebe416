package search

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"sumacloft/internal/decide/outage"
)

// allOnce allows one event of nearly every kind. Its state space is too large for a full search, so searches are
// limited.
var allOnce = Bounds{ServerCrashes: 1, RouterCrashes: 1, DeciderPauses: 1, WrongLabels: 1, Regressions: 1, Halts: 1,
	Resumes: 1, Rollbacks: 2, BudgetCuts: 1, DrainRequests: 1}

// checkNoFaults searches the unmodified decider. A fault fails the test with a trace that can be replayed.
func checkNoFaults(t *testing.T, o Options) {
	t.Helper()
	start := time.Now()
	r := o.Run()
	line, _ := json.Marshal(struct {
		Options
		Result
		Seconds float64 `json:"seconds"`
	}{o, r, time.Since(start).Seconds()})
	t.Logf("%s", line)
	if len(r.Faults) > 0 {
		t.Errorf("%v\n%s", r.Faults, r.Trace)
	}
	if !r.Complete && r.States < o.States && r.Depth < o.Depth {
		t.Errorf("the search ended early: %+v", r)
	}
}

func TestSearchFindsNoViolation(t *testing.T) {
	checkNoFaults(t, Options{Depth: 18, RollbackEvery: 64})
	checkNoFaults(t, Options{Bounds: allOnce, States: 3000, RollbackEvery: 64})
}

// Random walks of 300 events of every kind, deeper than a search reaches, each with its own seed.
func TestRandomWalks(t *testing.T) {
	walks := 25
	if os.Getenv("LAB_LONG") != "" {
		walks = 50_000
	}
	steps, ways, b := 0, 0, Bounds{ServerCrashes: 4, RouterCrashes: 3, DeciderPauses: 4, WrongLabels: 2, Regressions: 2,
		Halts: 2, Resumes: 3, Rollbacks: 3, BudgetCuts: 1, DrainRequests: 3}
	for seed := range uint64(walks) {
		r := Options{Bounds: b}.Walk(seed, 300)
		if steps, ways = steps+r.Steps, ways+r.Rollbacks; len(r.Faults) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, r.Faults, r.Trace)
		}
	}
	t.Logf("%d walks with %d steps in total, %d rollbacks tried to their end", walks, steps, ways)
}

// The full search, run by make search. Counts go to stdout as lines of JSON, progress to stderr.
func TestSearchWhole(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("set LAB_LONG=1 for the full search")
	}
	most := 1_000_000 // of each kind
	if n, err := strconv.Atoi(os.Getenv("STATES")); err == nil {
		most = n
	}
	kinds := map[string]Bounds{"nothing": {}, "lowers": {BudgetCuts: 1}, "halts": {Halts: 1, Resumes: 1},
		"hands": {DrainRequests: 1}, "backs": {Rollbacks: 2}, "crashes": {ServerCrashes: 1},
		"odd": {WrongLabels: 1}, "worse": {Regressions: 1}, "stops": {DeciderPauses: 1}, "ends": {RouterCrashes: 1},
		"crashes-backs": {ServerCrashes: 1, Rollbacks: 1}, "odd-backs": {WrongLabels: 1, Rollbacks: 1},
		"worse-backs": {Regressions: 1, Resumes: 1, Rollbacks: 1}, "stops-ends": {DeciderPauses: 1, RouterCrashes: 1},
		"hands-crashes": {DrainRequests: 2, ServerCrashes: 1}, "all": allOnce}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		b := kinds[name]
		t.Run(name, func(t *testing.T) {
			checkNoFaults(t, Options{Bounds: b, States: most, RollbackEvery: 256, OnLevel: func(r Result) {
				line, _ := json.Marshal(r)
				fmt.Fprintf(os.Stderr, "%s %s\n", name, line)
			}})
		})
	}
}

// Each fault is detected by the shortest trace there is, and detected again when the trace is replayed.
func TestSearchDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		broken Fault
		bounds Bounds
	}{{outage.ExpiresPermits, Bounds{}}, {outage.CountsReleasesOnly, Bounds{DrainRequests: 2}},
		{outage.IgnoresHalt, Bounds{Regressions: 1}}, {outage.IgnoresHalt, Bounds{Halts: 1}}, {outage.SkipsRollback, Bounds{Rollbacks: 1}},
		{outage.ExceedsBudget, Bounds{DrainRequests: 2}}, {outage.SkipsAcknowledgement, Bounds{}},
		{outage.NoFence, Bounds{}}, {NoRevision, Bounds{}}, {NoRegistration, Bounds{DeciderPauses: 1}}, {NoPolicy, Bounds{BudgetCuts: 1, DrainRequests: 2}}} {
		o := Options{Bounds: c.bounds, Broken: c.broken, States: 30_000, RollbackEvery: 1}
		r := o.Run()
		if len(r.Faults) == 0 {
			t.Errorf("%s was not detected in %d states", c.broken, r.States)
			continue
		}
		t.Logf("%s: %d states, %s: %v", c.broken, r.States, r.Trace, r.Faults)
		again, err := ParseTrace(r.Trace.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := o.Replay(again); len(faults) == 0 {
			t.Errorf("%s is not detected again by %s", c.broken, r.Trace)
		}
		o.Broken = ""
		if _, faults := o.Replay(again); len(faults) > 0 {
			t.Errorf("%s: without the fault the same steps break %v", c.broken, faults)
		}
	}
	if _, err := ParseTrace("read r9"); err == nil {
		t.Error("a word that names no event was accepted")
	}
}
