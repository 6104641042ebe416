package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sumacloft/internal/decide/sites"
	"sumacloft/internal/emu"
	"sumacloft/internal/world"
)

type daysLine struct {
	Routers  int         `help:"Over all sites." default:"50"`
	Servers  int         `help:"Over all sites." default:"200"`
	Sites    int         `help:"How many; the first is lost." default:"5"`
	Rate     float64     `help:"What a server carries, in answers a second." default:"20"`
	Seeds    int         `help:"How many days of each." default:"10"`
	From     uint64      `help:"The first seed." default:"1"`
	Declared float64     `help:"How the plan's capacities compare with the true ones." default:"1"`
	Fault    sites.Fault `help:"A third kind of day, with a plan that breaks a rule: no-pace or reversed."`
	Trace    string      `help:"Write what the plan takes beside the true load and room, of the first seed, into this file." placeholder:"FILE"`
	Kinds    string      `help:"Which days to run." enum:"both,plan,none" default:"both"`
	SVG      string      `help:"Draw the worth served by second, of the first seed, into this file." placeholder:"FILE"`
	common
}

// kind is a way to run a day.
type kind struct {
	name   string
	plan   bool
	broken sites.Fault
}

// ofDay are the figures of a day that are compared.
type ofDay struct {
	Worth   float64   `json:"worth"`      // served in time, as a part of what capacity allowed, whole day
	Loss    float64   `json:"worth_loss"` // the same from 5 s after the loss until the load falls
	Return  float64   `json:"worth_back"` // from the return on
	Worst   float64   `json:"worst_10s"`  // of the worth asked, in the worst 10 s
	Queries float64   `json:"queries"`    // in time, while the site is lost
	Filings float64   `json:"filings"`    // in time, while the site is lost
	BackS   float64   `json:"back_s"`     // from the loss until the time from which on the worth is 95% of what the rest allows; -1: never
	Wasted  float64   `json:"wasted"`     // requests that servers worked on in vain
	Falls   float64   `json:"falls"`      // servers pushed over
	Took    float64   `json:"-"`          // seconds, true ones
	Phases  []float64 `json:"phases"`     // worth in time, as a part of that asked
	Refused []float64 `json:"refused"`    // in the end, as a part of what was asked
}

// spans are the parts of a day that are compared one by one, in seconds.
var spans = []struct {
	name     string
	from, to int
}{{"all up, 60%", 0, 15}, {"lost, 150% of the rest, first 5 s", 15, 20}, {"then", 20, 45}, {"90% of the rest, first 2 s", 45, 47}, {"then", 47, 65}, {"cold return, first 10 s", 65, 75}, {"then", 75, 95}}

func (l *daysLine) settings(seed uint64, k kind) world.Settings {
	left := float64(l.Sites-1) / float64(l.Sites)
	slots := max(int(l.Rate*0.2), 1)
	return world.Settings{Sites: l.Sites, Routers: l.Routers, Servers: l.Servers, Plan: k.plan, Broken: k.broken, Declared: l.Declared, Seed: seed,
		Server: emu.Settings{Slots: slots, Service: time.Duration(float64(slots) / l.Rate * float64(time.Second)), Queue: 8 * slots, Keys: 1000,
			Warm: 6 * time.Second, Cold: 0.3, Over: 2.5, OverFor: 1500 * time.Millisecond, Away: 3 * time.Second},
		Phases: []world.Phase{{Name: "all up", For: 15 * time.Second, Load: 0.6}, {Name: "lost, 150% of the rest", For: 30 * time.Second, Load: 1.5 * left, Lost: true},
			{Name: "lost, 90% of the rest", For: 20 * time.Second, Load: 0.9 * left, Lost: true}, {Name: "cold return, 60%", For: 30 * time.Second, Load: 0.6}}}
}

func (l *daysLine) figures(set world.Settings, d world.Day) ofDay {
	whole := set.Server.Capacity() * float64(set.Servers)
	left := whole * float64(set.Sites-1) / float64(set.Sites)
	allowed := func(at int) float64 {
		t, capacity := time.Duration(0), whole
		load := 0.0
		for _, p := range set.Phases {
			if t += p.For; time.Duration(at)*time.Second < t {
				if load = p.Load * whole; p.Lost {
					capacity = left
				}
				break
			}
		}
		query := min(load*world.Classes[0].Part, capacity)
		return world.Classes[0].Worth*query + world.Classes[1].Worth*min(load*world.Classes[1].Part, capacity-query)
	}
	part := func(from, to int) float64 {
		got, best := 0.0, 0.0
		for i := from; i < to; i++ {
			got, best = got+d.Seconds[i].Worth(), best+allowed(i)
		}
		return got / best
	}
	out := ofDay{Worth: part(0, 95), Loss: part(20, 45), Return: part(65, 95), Worst: math.Inf(1), Wasted: d.Wasted, Falls: float64(d.Falls)}
	for i := 0; i+10 <= 95; i++ {
		got, asked := 0.0, 0.0
		for _, s := range d.Seconds[i : i+10] {
			got += s.Worth()
			asked += world.Classes[0].Worth*float64(s.Asked[0]) + world.Classes[1].Worth*float64(s.Asked[1])
		}
		out.Worst = min(out.Worst, got/asked)
	}
	var in, asked [2]float64
	for _, s := range d.Seconds[20:45] {
		for k := range in {
			in[k], asked[k] = in[k]+float64(s.InTime[k]), asked[k]+float64(s.Asked[k])
		}
	}
	out.BackS = -1
	for i := 15; i < 43; i++ {
		if part(i, 45) >= 0.95 {
			out.BackS = float64(i - 15)
			break
		}
	}
	for _, p := range spans {
		got, worth, refused, n := 0.0, 0.0, 0, 0
		for _, s := range d.Seconds[p.from:p.to] {
			got += s.Worth()
			for k, c := range world.Classes {
				worth, refused, n = worth+c.Worth*float64(s.Asked[k]), refused+s.Refused[k], n+s.Asked[k]
			}
		}
		out.Phases, out.Refused = append(out.Phases, got/worth), append(out.Refused, float64(refused)/float64(n))
	}
	out.Queries, out.Filings = in[0]/asked[0], in[1]/asked[1]
	return out
}

// Run runs days with and without a plan.
func (l *daysLine) Run(ctx context.Context, out io.Writer) error {
	if l.Sites < 2 || l.Routers%l.Sites != 0 || l.Servers%l.Sites != 0 {
		return fmt.Errorf("--routers and --servers must be multiples of --sites, which is at least 2")
	}
	kinds := []kind{{"no plan", false, ""}, {"plan", true, ""}}
	switch l.Kinds {
	case "plan":
		kinds = kinds[1:]
	case "none":
		kinds = kinds[:1]
	}
	if l.Fault != "" {
		kinds = append(kinds, kind{"plan, " + string(l.Fault), true, l.Fault})
	}
	figures := make([][]ofDay, len(kinds))
	first := make([]world.Day, len(kinds))
	var all sync.WaitGroup
	var mu sync.Mutex
	places := make(chan struct{}, runtime.NumCPU())
	for i, k := range kinds {
		figures[i] = make([]ofDay, l.Seeds)
		for n := range l.Seeds {
			all.Add(1)
			go func() {
				defer all.Done()
				places <- struct{}{}
				defer func() { <-places }()
				if ctx.Err() != nil {
					return
				}
				set, began := l.settings(l.From+uint64(n), k), time.Now()
				var traced io.WriteCloser
				if n == 0 && k.plan && l.Trace != "" {
					var err error
					if traced, err = os.Create(l.Trace); err == nil {
						set.Trace = traced
						defer traced.Close()
					}
				}
				d := world.Run(set)
				f := l.figures(set, d)
				f.Took = time.Since(began).Seconds()
				mu.Lock()
				defer mu.Unlock()
				figures[i][n] = f
				if n == 0 {
					first[i] = d
				}
				fmt.Fprintf(os.Stderr, "%s, seed %d: %.3f of the worth that capacity allows while the site is lost; took %.1f s\n", k.name, set.Seed, f.Loss, f.Took)
			}()
		}
	}
	all.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	if l.SVG != "" {
		if err := drawDays(l.SVG, kinds, first); err != nil {
			return err
		}
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"", "worth, lost", "worth, return", "worth, day", "worst 10 s", "queries, lost", "filings, lost", "95% after", "in vain", "pushed over"})
	shown := map[string][]ofDay{}
	for i, k := range kinds {
		shown[k.name] = figures[i]
		row := table.Row{k.name}
		for _, of := range []func(ofDay) float64{func(f ofDay) float64 { return f.Loss }, func(f ofDay) float64 { return f.Return }, func(f ofDay) float64 { return f.Worth },
			func(f ofDay) float64 { return f.Worst }, func(f ofDay) float64 { return f.Queries }, func(f ofDay) float64 { return f.Filings },
			func(f ofDay) float64 { return f.BackS }, func(f ofDay) float64 { return f.Wasted }, func(f ofDay) float64 { return f.Falls }} {
			row = append(row, interval(figures[i], of))
		}
		t.AppendRow(row)
	}
	return l.show(out, shown, t.Render()+"\n"+phasesTable(kinds, figures)+"\n")
}

// phasesTable shows days by phase: worth in time of what was asked, what was refused, and how each kind compares with the
// first, pair by pair of seeds.
func phasesTable(kinds []kind, figures [][]ofDay) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	head := table.Row{"worth in time, of that asked"}
	for i, k := range kinds {
		if head = append(head, k.name, "refused"); i > 0 {
			head = append(head, "less "+kinds[0].name)
		}
	}
	t.AppendHeader(head)
	for at, p := range spans {
		row := table.Row{p.name}
		for i := range kinds {
			row = append(row, interval(figures[i], func(f ofDay) float64 { return f.Phases[at] }), interval(figures[i], func(f ofDay) float64 { return f.Refused[at] }))
			if i > 0 {
				var pairs []float64
				for n := range figures[i] {
					pairs = append(pairs, figures[i][n].Phases[at]-figures[0][n].Phases[at])
				}
				row = append(row, mean95(pairs))
			}
		}
		t.AppendRow(row)
	}
	return t.Render()
}

// interval is that of a figure of days.
func interval(list []ofDay, of func(ofDay) float64) string {
	var values []float64
	for _, f := range list {
		values = append(values, of(f))
	}
	return mean95(values)
}

// mean95 is a mean with its 95% interval by Student's t.
func mean95(values []float64) string {
	mean, dev := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return fmt.Sprintf("%.3f", mean)
	}
	n := float64(len(values))
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)
	if math.Abs(mean) >= 100 {
		return fmt.Sprintf("%.0f ± %.0f", mean, half)
	}
	return fmt.Sprintf("%.3f ± %.3f", mean, half)
}

// drawDays draws the worth served by second.
func drawDays(file string, kinds []kind, days []world.Day) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth served in time, by the second it was asked", "seconds", "worth a second"
	p.Y.Min = 0
	for i, k := range kinds {
		var line plotter.XYs
		for at, s := range days[i].Seconds[:95] {
			line = append(line, plotter.XY{X: float64(at), Y: s.Worth()})
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(k.name, drawn)
	}
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
