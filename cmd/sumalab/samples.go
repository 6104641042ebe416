package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sumacloft/internal/decide/samples"
	"sumacloft/internal/world/tuning"
)

type samplesLine struct {
	Workers int     `help:"How many make samples." default:"64"`
	Slower  float64 `help:"By what factor slow workers are slower." default:"4"`
	Most    float64 `name:"stale-most" help:"The board's bound of staleness, in versions." default:"4"`
	Half    float64 `name:"stale-half" help:"The versions by which a sample's weight halves." default:"2"`
	Seeds   int     `help:"How many runs of each." default:"10"`
	From    uint64  `help:"The first seed." default:"1"`
	Plot    string  `help:"Draw the tuner's distance to the optimum by second, of the first seed with a quarter of the workers slow, into this file." placeholder:"FILE"`
	Output  string  `help:"How to print: text or json." enum:"text,json" default:"text"`
}

// weighed is what came of one way at one number of slow workers, by seed.
type weighed struct {
	Slow int             `json:"slow"`
	Way  tuning.Way      `json:"way"`
	Runs []tuning.Result `json:"runs"`
}

// figures are those of a run that are compared.
func (l *samplesLine) figures() (heads table.Row, of []func(tuning.Result) float64) {
	add := func(head string, f func(tuning.Result) float64) { heads, of = append(heads, head), append(of, f) }
	for i, bias := range tuning.Biases {
		add(fmt.Sprintf("RMSE, bias %g", bias), func(r tuning.Result) float64 { return r.RMSE[i] })
	}
	add("wasted", func(r tuning.Result) float64 { return r.Wasted })
	add("tokens/s", func(r tuning.Result) float64 { return r.Tokens })
	add("that weigh", func(r tuning.Result) float64 { return r.Useful })
	for i, rate := range tuning.Rates {
		add(fmt.Sprintf("s to target, step %g", rate), func(r tuning.Result) float64 { return r.Seconds[i] })
	}
	add("batches", func(r tuning.Result) float64 { return r.Steps })
	add("behind", func(r tuning.Result) float64 { return r.Lag })
	return heads, of
}

// Run carries the runs out, one seed after the other, and compares the ways seed by seed.
func (l *samplesLine) Run(ctx context.Context, out io.Writer) error {
	if l.Workers < 20 || l.Workers > 200 || l.Seeds < 1 || !(l.Slower >= 1) {
		return fmt.Errorf("--workers must be from 20 to 200, --seeds and --slower 1 or more")
	}
	if err := (samples.Model{StaleMost: l.Most, StaleHalf: l.Half}).Check(); err != nil {
		return err
	}
	var all []weighed
	for _, slow := range []int{1, 5, l.Workers / 4} {
		for _, way := range tuning.Ways {
			all = append(all, weighed{Slow: slow, Way: way, Runs: make([]tuning.Result, l.Seeds)})
		}
	}
	many(ctx, 0, len(all)*l.Seeds, 2, func(n uint64) (tuning.Result, error) {
		set := tuning.Usual(l.Workers)
		set.Model.StaleMost, set.Model.StaleHalf = l.Most, l.Half
		one := all[int(n)/l.Seeds]
		set.Slow, set.Way, set.Slower, set.Seed = one.Slow, one.Way, l.Slower, l.From+n%uint64(l.Seeds)
		return tuning.Run(set), nil
	}, func(n uint64, r tuning.Result, _ error) {
		one := all[int(n)/l.Seeds]
		one.Runs[int(n)%l.Seeds] = r
		fmt.Fprintf(os.Stderr, "%d slow of %d, %s, seed %d: %.0f batches, %.0f tokens a second\n", one.Slow, l.Workers, one.Way, l.From+n%uint64(l.Seeds), r.Steps, r.Tokens)
	})
	if err := ctx.Err(); err != nil {
		return err
	}
	if l.Plot != "" {
		if err := l.draw(all[len(all)-len(tuning.Ways):]); err != nil {
			return err
		}
	}
	heads, of := l.figures()
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(append(table.Row{"slow", "way"}, heads...))
	for i, one := range all {
		row, paired := table.Row{one.Slow, one.Way}, table.Row{"", "board less " + string(one.Way)}
		board := all[i-i%len(tuning.Ways)]
		for _, f := range of {
			var values, off []float64
			for n, r := range one.Runs {
				values, off = append(values, f(r)), append(off, f(board.Runs[n])-f(r))
			}
			row, paired = append(row, mean95(values)), append(paired, mean95(off))
		}
		t.AppendRow(row)
		if one.Way != tuning.Board {
			t.AppendRow(paired)
		}
		if (i+1)%len(tuning.Ways) == 0 {
			t.AppendSeparator()
		}
	}
	return common{Output: l.Output}.show(out, all, fmt.Sprintf("%d workers, slow ones %g times slower, seeds %d to %d; paired differences with 95%% intervals\n%s\n", l.Workers, l.Slower, l.From, l.From+uint64(l.Seeds)-1, t.Render()))
}

// draw draws the distances of the ways, with the bolder of the tuner's steps.
func (l *samplesLine) draw(ways []weighed) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "The tuner's distance to the optimum, a quarter of the workers slow", "seconds", "distance"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, one := range ways {
		var line plotter.XYs
		for at, v := range one.Runs[0].Distance[len(tuning.Rates)-1] {
			line = append(line, plotter.XY{X: float64(at), Y: v})
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(string(one.Way), drawn)
	}
	p.Legend.Top = true
	return p.Save(7*vg.Inch, 4*vg.Inch, l.Plot)
}
