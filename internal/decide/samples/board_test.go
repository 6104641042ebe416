package samples

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/standin"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 23)) }

func asKey(err error, e **KeyError) bool { return errors.As(err, e) }

func encode(s *State) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

// fleet simulates a store with a state, routers that report, workers and a tuner. Each router steps its own decider, and
// may wait for an arbitrary time between reading and writing.
type fleet struct {
	rng     *rand.Rand
	model   Model
	now     time.Duration
	history []*State // by revision
	tuner   *Published
	rev     int64
	workers []Worker
	running map[string]int64 // the version that each worker actually runs
	routers []*router
	key     uint64
	ended   map[uint64]bool
	broken  Fault
}

type router struct {
	report   Report
	isolated bool
	decider  Decider
	pending  *State // decided but not yet written
	read     int    // length of the history when it was read
}

func newFleet(seed uint64, routers, workers int) *fleet {
	f := &fleet{rng: newRand(seed), running: map[string]int64{}, ended: map[uint64]bool{}, tuner: &Published{Version: 1}, rev: 1,
		model: Model{Batch: 20, EpochMs: 1000, LateEpochs: 2, HoldMs: 1000}}
	for i := range workers {
		name := fmt.Sprint("w", i)
		f.workers = append(f.workers, Worker{Name: name, Boot: "1", Site: fmt.Sprint("s", i%3), Kind: "k", Label: 1})
		f.running[name] = 1
	}
	for i := range routers {
		f.routers = append(f.routers, &router{report: Report{Router: fmt.Sprint("r", i), Boot: "1", First: 1}, decider: Decider{Router: fmt.Sprint("r", i)}})
	}
	return f
}

func (f *fleet) last() *State {
	if len(f.history) == 0 {
		return nil
	}
	return f.history[len(f.history)-1]
}

// view returns what a decider reads: the last report of each router, or a silent report if the router is isolated.
func (f *fleet) view() View {
	v := View{Model: f.model, Policy: 1, Last: f.last(), Tuner: f.tuner, TunerRev: f.rev, Workers: f.workers}
	for _, r := range f.routers {
		one := r.report
		if r.isolated {
			one = Report{Router: one.Router, Boot: one.Boot, Silent: true}
		}
		v.Reports = append(v.Reports, one)
	}
	return v
}

// sample makes a sample of a worker that began in the given epoch.
func (f *fleet) sample(w Worker, epoch int64) Sample {
	f.key++
	f.ended[f.key] = true
	return Sample{Key: f.key, Worker: w.Name, Boot: w.Boot, Site: w.Site, Label: w.Label, Version: f.running[w.Name], StartEpoch: epoch, AgeMs: 1000,
		Tokens: 400 + f.rng.IntN(200), TookMs: 4000 + int64(f.rng.IntN(2000)), Accepted: true}
}

func (f *fleet) openEpoch() int64 {
	if s := f.last(); s != nil {
		return s.Open.Number
	}
	return 1
}

// produce has each router finish n samples.
func (f *fleet) produce(n int) {
	for _, r := range f.routers {
		for range n {
			f.finish(r, f.sample(f.workers[f.rng.IntN(len(f.workers))], f.openEpoch()))
		}
	}
}

func (f *fleet) finish(r *router, s Sample) { r.report.Samples = append(r.report.Samples, s) }

// acknowledge has routers drop the samples that the state has counted.
func (f *fleet) acknowledge() {
	for _, r := range f.routers {
		if watermark, ok := f.last().Watermarks[r.report.watermarkKey()]; ok && !r.isolated {
			n := min(max(watermark.Seq-r.report.First+1, 0), int64(len(r.report.Samples)))
			r.report.First, r.report.Samples = r.report.First+n, r.report.Samples[n:]
		}
	}
}

// decide has a router read and decide; write has it write if the state is still the one that it read.
func (f *fleet) decide(i int) {
	r := f.routers[i]
	r.decider.Fault = f.broken
	r.read, r.pending = len(f.history), r.decider.Next(f.view(), f.now)
}

func (f *fleet) write(i int) {
	r := f.routers[i]
	if r.pending != nil && (r.read == len(f.history) || f.broken == NoCompare) {
		s, err := ReadState(encode(r.pending))
		if err != nil {
			panic(err)
		}
		f.history = append(f.history, s)
		f.acknowledge()
	}
	r.pending = nil
}

func (f *fleet) step(i int, broken Fault) {
	f.broken = broken
	f.now += 100 * time.Millisecond
	f.decide(i)
	f.write(i)
}

// relabel has workers run a version and claim it.
func (f *fleet) relabel(version int64, names ...string) {
	for i := range f.workers {
		for _, name := range names {
			if w := &f.workers[i]; w.Name == name {
				w.Label, f.running[name] = version, version
			}
		}
	}
}

// publish has the tuner write its record.
func (f *fleet) publish(version, epoch int64) {
	f.tuner = &Published{Version: version, Epoch: epoch}
	f.rev++
}

// checkPlaced checks that each finished sample was counted, or is still in a report.
func (f *fleet) checkPlaced(tolerate bool) error {
	found := map[uint64]bool{}
	seen := map[int64]bool{}
	collect := func(e Epoch) {
		for key := range e.AllKeys {
			found[key] = true
		}
	}
	for _, s := range f.history {
		for _, e := range s.Closed {
			if !seen[e.Number] {
				seen[e.Number] = true
				collect(e)
			}
		}
	}
	if s := f.last(); s != nil {
		collect(s.Open)
	}
	for _, r := range f.routers {
		for _, s := range r.report.Samples {
			found[s.Key] = true
		}
	}
	for key := range f.ended {
		if !found[key] && !tolerate {
			return fmt.Errorf("sample %d is in no epoch and no report", key)
		}
	}
	return nil
}

// randomStep takes one random step.
func (f *fleet) randomStep(draw func(int) int) {
	i := draw(len(f.routers))
	r, w := f.routers[i], &f.workers[draw(len(f.workers))]
	switch draw(12) {
	case 0, 1, 2:
		for range 1 + draw(12) {
			f.finish(r, f.sample(f.workers[draw(len(f.workers))], max(f.openEpoch()-int64(draw(4)), 1)))
		}
	case 3, 4, 5:
		f.now += time.Duration(draw(400)) * time.Millisecond
		f.decide(i)
	case 6, 7, 8:
		f.write(i)
	case 9: // another router took over a reported request and reports it too
		if n := len(r.report.Samples); n > 0 {
			f.finish(f.routers[draw(len(f.routers))], r.report.Samples[draw(n)])
		}
	case 10:
		switch draw(4) {
		case 0:
			f.publish(f.tuner.Version+int64(draw(3)), max(f.openEpoch()-1-int64(draw(2)), 0))
		case 1:
			f.publish(max(f.tuner.Version-1, 0), 0)
		case 2:
			w.Label = f.tuner.Version
			f.running[w.Name] = max(w.Label-int64(draw(2)), 0) // some workers do not run the version that they claim
		case 3:
			w.Boot += "x"
		}
	case 11:
		r.isolated = !r.isolated
		r.report.Interactive = Load{Total: 40, Failed: float64(5 * i)}
	}
}

// The audit passes and no sample is lost under any order of reads, writes, takeovers, restarts and isolations.
func TestStateInvariants(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, 3, 5)
		for range rapid.IntRange(1, 200).Draw(t, "acts") {
			f.randomStep(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		}
		if err := errors.Join(Audit(f.history), f.checkPlaced(f.last() != nil && f.last().Totals.Beyond > 0)); err != nil {
			t.Fatal(err)
		}
	})
}

// Ten random runs for each injected fault: the audit detects each fault, and reports nothing without one.
func TestAuditDetectsInjectedFaults(t *testing.T) {
	rules := map[Fault]string{CountsTwice: "places", NoCompare: "numbers places closed", NoBound: "bound", NoReset: "anew", "": ""}
	for fault, rule := range rules {
		violations, sum := map[string]int{}, Totals{}
		for seed := range uint64(10) {
			f := newFleet(seed, 3, 5)
			f.broken = fault
			for range 400 {
				f.randomStep(f.rng.IntN)
			}
			totals := f.last().Totals
			sum.Counted, sum.Late, sum.Repeated, sum.Beyond = sum.Counted+totals.Counted, sum.Late+totals.Late,
				sum.Repeated+totals.Repeated, sum.Beyond+totals.Beyond
			var e *AuditError
			if err := Audit(f.history); errors.As(err, &e) {
				violations[e.Rule]++
				if !strings.Contains(rule, e.Rule) {
					t.Errorf("%q, seed %d: %v", fault, seed, err)
				}
			}
		}
		t.Logf("fault %q: violations by rule %v in 10 runs, %+v", fault, violations, sum)
		if fault == "" && (sum.Late == 0 || sum.Repeated == 0 || sum.Beyond == 0) {
			t.Errorf("the runs have no late, repeated or beyond samples: %+v", sum)
		}
		if fault != "" && len(violations) == 0 {
			t.Errorf("fault %q was not detected", fault)
		}
	}
}

func FuzzRead(f *testing.F) {
	g := newFleet(1, 2, 3)
	for range 6 {
		g.produce(8)
		g.step(0, "")
	}
	f.Add(encode(g.last()), []byte(`{"router":"a","boot":"1","first":1,"samples":[{"key":1,"worker":"w0"}]}`), []byte("7"))
	f.Add([]byte(`{"open":{"number":1},"workers":{"w":null}}`), []byte(`{}`), []byte(`{"version":2,"epoch":1}`))
	f.Fuzz(func(t *testing.T, state, report, tuner []byte) {
		v := View{Workers: []Worker{{Name: "w0", Boot: "1"}}}
		var e *RecordError
		s, err := ReadState(state)
		if err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
		if err == nil {
			v.Last = s
		}
		r, err := ReadReport(report)
		if err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
		if err == nil {
			v.Reports = []Report{r}
		}
		p, err := ReadPublished(tuner)
		if err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
		v.Tuner = &p
		if next := (&Decider{Router: "a"}).Next(v, time.Second); next != nil {
			if _, err := json.Marshal(next); err != nil {
				t.Fatal(err)
			}
		}
	})
}
