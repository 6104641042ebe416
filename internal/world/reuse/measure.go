package reuse

import (
	"context"
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Condition is what the links of a day are like.
type Condition string

// The conditions.
const (
	Whole Condition = "links whole"
	Eight Condition = "links 8 times slower"
	Cut   Condition = "a region cut off"
)

// Conditions are all of them.
var Conditions = []Condition{Whole, Eight, Cut}

// Interval is a mean with half of its 95% interval by Student's t.
type Interval struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

func interval(values []float64) Interval {
	mean, dev := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{Mean: mean}
	}
	n := float64(len(values))
	return Interval{mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)}
}

// Row compares a policy with none on the same days.
type Row struct {
	Drift     Drift       `json:"drift"`
	Condition Condition   `json:"condition"`
	Policy    Policy      `json:"policy"`
	Saved     Interval    `json:"saved"`    // of the tokens read with no copies: the part that was not read
	Openings  Interval    `json:"openings"` // the same of openings alone
	OfKnowing Interval    `json:"of_knowing"`
	OfOpen    Interval    `json:"of_knowing_openings"` // saved, as parts of what the policy saves that knows the future
	Sent      Interval    `json:"sent"`                // tokens over links, millions
	OfPull    Interval    `json:"of_pull"`             // as a part of those of pull-through
	Worth     Interval    `json:"worth"`               // by how much more was served, as a part of that without copies
	InTime    [2]Interval `json:"in_time"`             // by class
	Median    [2]Interval `json:"median_ms"`           // time to the first token, by class
	P95       [2]Interval `json:"p95_ms"`
	Days      []Day       `json:"days"`
}

// With is a standard day under a condition.
func With(seed uint64, drift Drift, c Condition, policy Policy) Settings {
	s := Standard(seed, drift, policy)
	switch c {
	case Eight:
		s.Link /= 8
	case Cut:
		s.Cut = true
	}
	return s
}

// Measure runs days of seeds that follow one another for each drift, condition and policy, and compares policies on equal
// days; change may alter their settings, done is told of each day, from one goroutine at a time. It ends early with ctx.
func Measure(ctx context.Context, from uint64, seeds int, change func(*Settings), done func(Settings, Day)) ([]Row, error) {
	type cell struct {
		d Drift
		c Condition
		p Policy
	}
	days := map[cell][]Day{}
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, d := range Drifts {
		for _, c := range Conditions {
			for _, p := range Policies {
				days[cell{d, c, p}] = make([]Day, seeds)
				for i := range seeds {
					places <- struct{}{}
					if err := ctx.Err(); err != nil {
						all.Wait()
						return nil, err
					}
					all.Add(1)
					go func() {
						defer func() { <-places; all.Done() }()
						set := With(from+uint64(i), d, c, p)
						change(&set)
						day := Run(set)
						mu.Lock()
						defer mu.Unlock()
						days[cell{d, c, p}][i] = day
						done(set, day)
					}()
				}
			}
		}
	}
	all.Wait()
	var rows []Row
	for _, d := range Drifts {
		for _, c := range Conditions {
			none, pull, knows := days[cell{d, c, None}], days[cell{d, c, Pull}], days[cell{d, c, Knowing}]
			for _, p := range Policies {
				list := days[cell{d, c, p}]
				of := func(f func(i int) float64) Interval {
					var v []float64
					for i := range list {
						v = append(v, f(i))
					}
					return interval(v)
				}
				r := Row{Drift: d, Condition: c, Policy: p, Days: list,
					Saved:     of(func(i int) float64 { return 1 - list[i].Read/none[i].Read }),
					Openings:  of(func(i int) float64 { return 1 - list[i].Openings/none[i].Openings }),
					OfKnowing: of(func(i int) float64 { return (none[i].Read - list[i].Read) / (none[i].Read - knows[i].Read) }),
					OfOpen: of(func(i int) float64 {
						return (none[i].Openings - list[i].Openings) / (none[i].Openings - knows[i].Openings)
					}),
					Sent:   of(func(i int) float64 { return list[i].Sent / 1e6 }),
					OfPull: of(func(i int) float64 { return list[i].Sent / pull[i].Sent }),
					Worth:  of(func(i int) float64 { return list[i].Worth/none[i].Worth - 1 })}
				for k := range r.InTime {
					r.InTime[k] = of(func(i int) float64 { return list[i].InTime[k] })
					r.Median[k] = of(func(i int) float64 { return list[i].Median[k] })
					r.P95[k] = of(func(i int) float64 { return list[i].P95[k] })
				}
				rows = append(rows, r)
			}
		}
	}
	return rows, nil
}
