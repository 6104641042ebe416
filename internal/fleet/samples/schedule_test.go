package samples

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/samples"
	"sumacloft/internal/standin"
)

// Routers that are stopped between reading and writing, die with samples that others take over, and come back under other
// boots, with a tuner that takes, repeats itself and goes backwards: by the store's history each sample stands at one place. A run
// replays its acts, not their interleaving.
func TestSchedules(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 23))
			f := start(t, "")
			boots := map[string]int{}
			all := []string{"a", "b", "c", "d"}
			up := func(name string) {
				boots[name]++
				pause := rand.New(rand.NewPCG(seed, uint64(boots[name])))
				a, err := Open(Options{Name: name, Boot: fmt.Sprint(boots[name]), Endpoints: []string{f.endpoint}, Roster: keeper(), Log: standin.Log(),
					Fence: func() ([]*pb.Compare, bool) { // between reading and writing
						if pause.IntN(4) == 0 {
							time.Sleep(time.Duration(pause.IntN(200)) * time.Millisecond)
						}
						return nil, true
					}})
				if err != nil {
					t.Fatal(err)
				}
				a.Took(Terms{Model: samples.Model{Batch: 8, EpochMs: 500, Ahead: 4, ReportMs: 50}, On: true, Version: 1})
				listed(a)
				f.run(name, a)
			}
			down := func(name string) { // what it had not reported is taken over, under the epoch it began in
				f.ends[name]()
				left := f.agents[name].ended
				delete(f.ends, name)
				delete(f.agents, name)
				for _, s := range left {
					for _, other := range all {
						if a := f.agents[other]; a != nil {
							a.Take()
							a.Ended(&s)
							break
						}
					}
				}
			}
			for _, name := range all {
				up(name)
			}
			version, took := int64(3), int64(0)
			f.put("3")
			for range 80 {
				name := all[rng.IntN(len(all))]
				switch act := rng.IntN(12); {
				case act < 6 && f.agents[name] != nil:
					for range 1 + rng.IntN(5) {
						f.sample(name, f.next())
					}
				case act < 8 && f.agents[name] != nil && len(f.ran) > 0:
					f.sample(name, f.ran[rng.IntN(len(f.ran))]) // another had it in hand too
				case act == 8 && f.agents[name] != nil && len(f.agents) > 2:
					down(name)
				case act == 9 && f.agents[name] == nil:
					up(name)
				case act >= 10:
					if s := f.any().Board(); s != nil {
						version, took = version+int64(rng.IntN(3))-1, max(took, s.Open.Number-1)
						f.put(fmt.Sprintf(`{"version": %d, "epoch": %d}`, max(version, 0), took))
					}
				}
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
			standin.Eventually(t, 20*time.Second, "all samples stand somewhere", func() bool {
				s := f.any().Board()
				if s == nil {
					return false
				}
				f.put(fmt.Sprintf(`{"version": 9, "epoch": %d}`, s.Open.Number-1))
				time.Sleep(100 * time.Millisecond)
				return s.Totals.Counted+s.Totals.Late+s.Totals.Beyond >= int64(len(f.ran))
			})
			// Whether a decider saw one of the drawn older versions is left to chance, as the next one may replace it before it is
			// read: one more stays until it was seen.
			standin.Eventually(t, 5*time.Second, "an older version is counted", func() bool {
				board := f.any().Board()
				f.put(fmt.Sprintf(`{"version": 8, "epoch": %d}`, board.Open.Number-1))
				return board.OlderPublished > 0
			})
			history := f.history()
			if err := samples.Audit(history); err != nil {
				t.Fatal(err)
			}
			last := history[len(history)-1]
			t.Logf("%d samples, %d boards, %d epochs, %d boots, %+v, twice %d, back %d", len(f.ran), len(history), last.Open.Number-1, boots["a"]+boots["b"]+boots["c"]+boots["d"], last.Totals, last.Republished, last.OlderPublished)
			if last.Totals.Missing != 0 || last.Totals.Repeated == 0 || last.OlderPublished == 0 {
				t.Errorf("%+v, back %d", last.Totals, last.OlderPublished)
			}
		})
	}
}

func (f *fleet) any() *Agent {
	var names []string
	for name := range f.agents {
		names = append(names, name)
	}
	return f.agents[slices.Min(names)]
}
