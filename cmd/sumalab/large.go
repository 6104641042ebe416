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

	"sumacloft/internal/world/fleet"
	"sumacloft/internal/world/reuse"
)

type largeLine struct {
	Part     []string  `help:"What to measure: costs of the control loop, releases of all servers, a day of incidents." enum:"costs,releases,day" default:"costs,releases,day"`
	Seeds    int       `help:"How many releases of each." default:"10"`
	From     uint64    `help:"The first seed." default:"1"`
	Routers  int       `help:"Routers of releases and days." default:"1000"`
	Servers  int       `help:"Servers of releases and days." default:"2000"`
	Peaks    []float64 `help:"Loads of the busiest region, as parts of what it can serve." default:"0.9,1"`
	Policies []int     `help:"Which of the policies: 1 and 2 the decider with what is kept least first and by chance, 3 in one wave, 4 and 5 scripts by name and by chance. A day has the first." default:"1,2,3,4,5"`
	Output   string    `help:"How to print: text or json." enum:"text,json" default:"text"`
	Plot     string    `help:"Draw each release's time against the prompt tokens that it lost into this file." placeholder:"FILE"`
}

// large is what was measured.
type large struct {
	Costs    []fleet.Cost `json:"costs,omitempty"`
	Releases []fleet.Row  `json:"releases,omitempty"`
	Day      *fleet.Day   `json:"day,omitempty"`
}

// Run measures large fleets in virtual time.
func (l *largeLine) Run(ctx context.Context, out io.Writer) error {
	var all large
	text := ""
	if len(l.Policies) == 0 {
		l.Policies = []int{1}
	}
	size := fleet.Size{Routers: l.Routers, Servers: l.Servers, Regions: 10, Tuning: 200}
	for _, part := range l.Part {
		var t table.Writer
		switch part {
		case "costs":
			if err := l.costs(ctx, &all); err != nil {
				return err
			}
			t = costTable(all.Costs)
		case "releases":
			var policies []fleet.Policy
			for _, i := range l.Policies {
				policies = append(policies, fleet.Policies[(max(i, 1)-1)%len(fleet.Policies)])
			}
			for _, peak := range l.Peaks {
				n, of := 0, l.Seeds*len(policies)
				rows, err := fleet.Measure(ctx, size, l.From, l.Seeds, peak, policies, func(s fleet.Settings, d fleet.Day) {
					n++
					fmt.Fprintf(os.Stderr, "%d of %d at %g: %s, seed %d: %.0f min, %d halts, %.0f million tokens lost, in %.1f s\n", n, of, peak, s.Policy, s.Seed, d.Took/60, d.Halts, d.Kept, d.Machine)
				})
				if err != nil {
					return err
				}
				all.Releases = append(all.Releases, rows...)
			}
			if l.Plot != "" {
				if err := drawReleases(l.Plot, all.Releases); err != nil {
					return err
				}
			}
			t = releaseTable(all.Releases)
		case "day":
			set := fleet.Incidents(l.From, size)
			set.Policy = fleet.Policies[(max(l.Policies[0], 1)-1)%len(fleet.Policies)]
			d := fleet.Run(set)
			all.Day = &d
			t = table.NewWriter()
			t.AppendHeader(table.Row{"release, min", "permits", "halts", "most out", "of a region", "beyond", "states", "bytes of one", "decisions", "with the bad version", "rules broken", "machine s"})
			t.AppendRow(table.Row{fmt.Sprintf("%.0f", d.Took/60), d.Permits, d.Halts, d.Most, d.Site, d.Beyond, d.States, fmt.Sprintf("%.0f", d.Bytes), d.Steps, d.Bad, len(d.Faults), fmt.Sprintf("%.1f", d.Machine)})
		}
		t.SetStyle(table.StyleLight)
		text += t.Render() + "\n"
	}
	return common{Output: l.Output}.show(out, all, text)
}

// costs measures the loops at each size.
func (l *largeLine) costs(ctx context.Context, all *large) error {
	for _, s := range fleet.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		gathered, err := fleet.GatheredCost(s, l.From)
		if err != nil {
			return err
		}
		each := fleet.OutageCost(s, l.From)
		all.Costs = append(all.Costs, each, fleet.FewCost(each), gathered, fleet.SamplesCost(s, l.From), fleet.CopiesCost(s, l.From))
		fmt.Fprintf(os.Stderr, "%d routers, %d servers: measured\n", s.Routers, s.Servers)
	}
	return nil
}

func costTable(costs []fleet.Cost) table.Writer {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"loop", "routers", "period ms", "a report, KB", "the state, KB", "writes/s", "written MB/s", "read MB/s", "a change, MB", "sent MB/s", "decode ms", "decide ms"})
	for _, c := range costs {
		t.AppendRow(table.Row{c.Loop, c.Routers, c.PeriodMs, fmt.Sprintf("%.2f", c.Report/1e3), fmt.Sprintf("%.0f", float64(c.State)/1e3), fmt.Sprintf("%.1f", c.Writes), fmt.Sprintf("%.2f", c.Written/1e6),
			fmt.Sprintf("%.1f", c.Read/1e6), fmt.Sprintf("%.1f", c.Change/1e6), fmt.Sprintf("%.2f", c.Sent/1e6), fmt.Sprintf("%.1f", c.ReadMs), fmt.Sprintf("%.1f", c.DecideMs)})
	}
	return t
}

func releaseTable(rows []fleet.Row) table.Writer {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"peak", "policy", "minutes", "of these halted", "halts", "worth lost, %", "kept lost, millions", "less than by chance", "most out", "of a region", "taken beyond", "without label"})
	show := func(i reuse.Interval, by float64, digits int) string {
		return fmt.Sprintf("%.*f ± %.*f", digits, by*i.Mean, digits, by*i.Half)
	}
	for _, r := range rows {
		t.AppendRow(table.Row{r.Peak, r.Policy, show(r.Minutes, 1, 1), show(r.Halted, 1, 1), show(r.Halts, 1, 1), show(r.Worth, 100, 3), show(r.Kept, 1, 0), show(r.Saved, 1, 3), show(r.Most, 1, 1), show(r.Site, 1, 1), show(r.Beyond, 1, 1), show(r.Left, 1, 1)})
	}
	return t
}

// drawReleases draws each release as a point: how long it took, and what servers kept that it lost.
func drawReleases(file string, rows []fleet.Row) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Releases of 2,000 servers", "minutes", "billions of kept prompt tokens lost"
	for i, policy := range fleet.Policies {
		var points plotter.XYs
		for _, r := range rows {
			for _, d := range r.Days {
				if r.Policy == policy {
					points = append(points, plotter.XY{X: d.Took / 60, Y: d.Kept / 1e3})
				}
			}
		}
		if len(points) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		s.Color, s.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(s)
		p.Legend.Add(string(policy), s)
	}
	p.Legend.Top = true
	p.Y.Max += (p.Y.Max - p.Y.Min) / 2 // room for the legend
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
