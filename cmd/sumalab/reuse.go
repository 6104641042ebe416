package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	decide "sumacloft/internal/decide/reuse"
	"sumacloft/internal/world/reuse"
)

type reuseLine struct {
	Seeds  int          `help:"How many days of each." default:"10"`
	From   uint64       `help:"The first seed." default:"1"`
	Abroad float64      `help:"How often a region's own openings are used in another, beside at home." default:"0.005"`
	Fault  decide.Fault `help:"Run the decider with a rule broken: no-hysteresis or counts-scan."`
	Wait   float64      `help:"Run releases of a region's servers instead, without a wait for copies and with one of so many milliseconds at most." placeholder:"MS"`
	Output string       `help:"How to print: text or json." enum:"text,json" default:"text"`
	Plot   string       `help:"Draw what is saved against what is sent into this file." placeholder:"FILE"`
}

// Run compares policies that copy openings between regions.
func (l *reuseLine) Run(ctx context.Context, out io.Writer) error {
	if l.Wait > 0 {
		return l.releases(ctx, out)
	}
	n, all := 0, l.Seeds*len(reuse.Drifts)*len(reuse.Conditions)*len(reuse.Policies)
	rows, err := reuse.Measure(ctx, l.From, l.Seeds, func(s *reuse.Settings) { s.Abroad, s.Broken = l.Abroad, l.Fault }, func(s reuse.Settings, d reuse.Day) {
		n++
		fmt.Fprintf(os.Stderr, "%d of %d: %s, %s, seed %d: %.2f million tokens read, %.2f sent\n", n, all, s.Drift, s.Policy, s.Seed, d.Read/1e6, d.Sent/1e6)
	})
	if err != nil {
		return err
	}
	if l.Plot != "" {
		if err := drawReuse(l.Plot, rows); err != nil {
			return err
		}
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"drift", "links", "policy", "saved", "of openings", "of the future's", "of openings", "sent, millions", "of pull's", "worth more", "query in time", "filing in time", "query p95 ms", "filing p95 ms"})
	three := func(i reuse.Interval) string { return fmt.Sprintf("%.3f ± %.3f", i.Mean, i.Half) }
	for _, r := range rows {
		t.AppendRow(table.Row{r.Drift, r.Condition, r.Policy, three(r.Saved), three(r.Openings), three(r.OfKnowing), three(r.OfOpen), fmt.Sprintf("%.2f ± %.2f", r.Sent.Mean, r.Sent.Half), three(r.OfPull),
			fmt.Sprintf("%.4f ± %.4f", r.Worth.Mean, r.Worth.Half), fmt.Sprintf("%.4f", r.InTime[0].Mean), fmt.Sprintf("%.4f", r.InTime[1].Mean), fmt.Sprintf("%.0f ± %.0f", r.P95[0].Mean, r.P95[0].Half), fmt.Sprintf("%.0f ± %.0f", r.P95[1].Mean, r.P95[1].Half)})
	}
	return common{Output: l.Output}.show(out, rows, t.Render()+"\n")
}

// releases measures what releases cost.
func (l *reuseLine) releases(ctx context.Context, out io.Writer) error {
	rows, err := reuse.MeasureReleases(ctx, l.From, l.Seeds, time.Duration(l.Wait*float64(time.Millisecond)), func(s reuse.ReleaseSettings, d reuse.Released) {
		fmt.Fprintf(os.Stderr, "%s, seed %d, wait %s: %.2f million tokens read, %.2f of openings, %d copies\n", s.Drift, s.Seed, s.Wait, d.Read/1e6, d.Openings/1e6, d.Copies)
	})
	if err != nil {
		return err
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"drift", "wait ms", "openings, thousands", "all reads", "copied", "late", "took s", "faults"})
	whole := func(i reuse.Interval) string { return fmt.Sprintf("%.0f ± %.0f", i.Mean, i.Half) }
	for _, r := range rows {
		t.AppendRow(table.Row{r.Drift, r.Wait, whole(r.Openings), whole(r.All), whole(r.Moved), r.Late, whole(r.TookS), len(r.Faults)})
	}
	return common{Output: l.Output}.show(out, rows, t.Render()+"\n")
}

// drawReuse draws each day as a point: what it saved of what was read without copies, and what it sent.
func drawReuse(file string, rows []reuse.Row) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Reads saved against tokens sent, links whole", "millions of tokens over links", "millions of tokens not read"
	none := map[string]float64{}
	points := map[reuse.Policy]plotter.XYs{}
	for _, r := range rows {
		if r.Condition != reuse.Whole {
			continue
		}
		for i, d := range r.Days {
			key := fmt.Sprint(r.Drift, i)
			if r.Policy == reuse.None {
				none[key] = d.Read
			}
			points[r.Policy] = append(points[r.Policy], plotter.XY{X: d.Sent / 1e6, Y: (none[key] - d.Read) / 1e6})
		}
	}
	for i, policy := range reuse.Policies {
		s, err := plotter.NewScatter(points[policy])
		if err != nil {
			return err
		}
		s.Color, s.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(s)
		p.Legend.Add(string(policy), s)
	}
	p.Legend.Left = true
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
