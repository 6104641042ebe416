package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/fleet/siting"
)

type siteLine struct {
	Status siteStatusLine `cmd:"" default:"1" help:"Show what the fleet has agreed on about each site, and what is taken of each class."`
	Plan   sitePlanLine   `cmd:"" help:"Dry run: where each class goes if sites are lost, and what is refused."`
	Lose   siteLoseLine   `cmd:"" help:"Declare a site lost, whatever is seen: nothing goes there until it is released."`
	Hold   siteHoldLine   `cmd:"" help:"Hold a site's return where it is, or give it no more than a part."`
	Free   siteFreeLine   `cmd:"" help:"Take back what was ordered of a site: it returns as it bears."`
}

func (c *ctl) sites() siting.Store { return siting.Store{Client: c.store.Client} }

// model is the plan of the policy in force.
func (c *ctl) model() (sites.Model, error) {
	ctx, done := c.call()
	defer done()
	v, err := c.store.Version(ctx, 0)
	if err != nil {
		return sites.Model{}, err
	}
	return modelOf(v.Text)
}

func modelOf(text string) (sites.Model, error) {
	d, err := config.ReadPolicy(text)
	if err != nil {
		return sites.Model{}, err
	}
	if d.Sites == nil {
		return sites.Model{}, errors.New("the policy has no [sites]: add the plan to it, check it with 'sumactl site plan --file', apply it with 'sumactl policy apply'")
	}
	return config.Chat{Classes: d.Chat.Classes}.Plan(*d.Sites), nil
}

type siteStatusLine struct{}

// Run shows the posture.
func (l *siteStatusLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	v, err := c.sites().View(ctx, false)
	if err != nil {
		return err
	}
	if v.Last == nil {
		return errors.New("no router has written a posture yet: is there a [sites] in the policy ('sumactl policy show'), and a router that follows it ('sumactl routers')?")
	}
	var rows []table.Row
	for _, name := range slices.Sorted(maps.Keys(v.Last.Sites)) {
		s, o := v.Last.Sites[name], v.Orders[name]
		reached := 0
		for _, r := range v.Reports {
			if r.Observations[name].Answered > 0 {
				reached++
			}
		}
		rows = append(rows, table.Row{name, s.State, s.Kind, fmt.Sprintf("%.0f%%", 100*s.Ramp), s.Losses, fmt.Sprintf("%d of %d", reached, len(v.Reports)),
			fmt.Sprintf("%.2f", v.Last.CapacityRatio[name]), ordered(o), s.Reason})
	}
	return c.print(v, func(w io.Writer) error {
		if err := tabled(table.Row{"site", "state", "kind", "given", "losses", "reached by", "bears", "ordered", "why"}, rows)(w); err != nil {
			return err
		}
		for _, class := range slices.Sorted(maps.Keys(v.Last.Admit)) {
			for _, from := range slices.Sorted(maps.Keys(v.Last.Admit[class])) {
				if _, err := fmt.Fprintf(w, "%s: routers of %s take %.0f%%\n", class, from, 100*v.Last.Admit[class][from]); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

func ordered(o sites.Orders) string {
	var out []string
	if o.Lose {
		out = append(out, "lost")
	}
	if o.Hold {
		out = append(out, "held")
	}
	if o.Pace > 0 {
		out = append(out, fmt.Sprintf("at most %.0f%%", 100*o.Pace))
	}
	return strings.Join(out, ", ")
}

// order changes what is ordered of a site.
func (c *ctl) order(site string, o sites.Orders) error {
	m, err := c.model()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(m.Sites, func(s sites.Site) bool { return s.Name == site }) {
		return fmt.Errorf("the plan has no site %q: 'sumactl site' lists them", site)
	}
	ctx, done := c.call()
	defer done()
	if err := c.sites().SetOrders(ctx, site, o); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.notes, "%s: %s; 'sumactl site' shows what the routers make of it\n", site, orNothing(ordered(o)))
	return err
}

func orNothing(text string) string {
	if text == "" {
		return "nothing is ordered any more"
	}
	return text
}

type siteLoseLine struct {
	Name string `arg:"" help:"The site."`
}

// Run declares a site lost.
func (l *siteLoseLine) Run(c *ctl) error { return c.order(l.Name, sites.Orders{Lose: true}) }

type siteHoldLine struct {
	Name string  `arg:"" help:"The site."`
	Pace float64 `help:"Give it this part at most, from 0 to 1, instead of holding it where it is."`
}

// Run holds or paces a return.
func (l *siteHoldLine) Run(c *ctl) error {
	if l.Pace < 0 || l.Pace > 1 {
		return fmt.Errorf("--pace: %g, must be from 0 to 1", l.Pace)
	}
	return c.order(l.Name, sites.Orders{Hold: l.Pace == 0, Pace: l.Pace})
}

type siteFreeLine struct {
	Name string `arg:"" help:"The site."`
}

// Run takes orders back.
func (l *siteFreeLine) Run(c *ctl) error { return c.order(l.Name, sites.Orders{}) }

type sitePlanLine struct {
	IfLost []string `help:"Sites that are lost; none shows the plan with all up. Without this flag each single loss is shown."`
	File   string   `help:"A policy's file, instead of the policy in force."`
	Load   float64  `help:"The declared demand times this." default:"1"`
	SVG    string   `help:"Write a plot of what is served and refused to this file." placeholder:"FILE"`
}

// planned is the plan for one loss, as it is shown.
type planned struct {
	Lost     []string       `json:"lost"`
	How      string         `json:"how"`
	Worth    float64        `json:"worth_per_s"`
	Classes  []plannedClass `json:"classes"`
	Warnings []string       `json:"warnings,omitempty"`
}

type plannedClass struct {
	Class   string             `json:"class"`
	Asked   float64            `json:"asked_per_s"`
	Served  float64            `json:"served_per_s"`
	Refused float64            `json:"refused_per_s"`
	To      map[string]float64 `json:"to"`
}

func plannedFor(m sites.Model, lost []string, load float64) planned {
	s := m.Declared().Without(m, lost...)
	for k := range s.Demand {
		for i := range s.Demand[k] {
			s.Demand[k][i] *= load
		}
	}
	p := sites.Solve(m, s)
	out := planned{Lost: lost, How: p.Method, Worth: p.Worth(m)}
	for k, c := range m.Classes {
		one := plannedClass{Class: c.Name, Served: p.Served(k), Refused: p.Refused(k), To: map[string]float64{}}
		one.Asked = one.Served + one.Refused
		for from := range m.Sites {
			for to, site := range m.Sites {
				one.To[site.Name] += p.Flow[k][from][to]
			}
		}
		out.Classes = append(out.Classes, one)
	}
	return out
}

// Run shows plans.
func (l *sitePlanLine) Run(c *ctl) error {
	m, err := l.model(c)
	if err != nil {
		return err
	}
	warnings, err := m.Check()
	if err != nil {
		return err
	}
	cases := [][]string{l.IfLost}
	if len(l.IfLost) == 0 {
		for _, s := range m.Sites {
			cases = append(cases, []string{s.Name})
		}
	}
	for _, name := range l.IfLost {
		if !slices.ContainsFunc(m.Sites, func(s sites.Site) bool { return s.Name == name }) {
			return fmt.Errorf("--if-lost: the plan has no site %q", name)
		}
	}
	var list []planned
	var rows []table.Row
	for _, lost := range cases {
		p := plannedFor(m, lost, l.Load)
		list = append(list, p)
		for _, k := range p.Classes {
			row := table.Row{orAll(lost), k.Class, fmt.Sprintf("%.4g", k.Asked), fmt.Sprintf("%.4g", k.Served), fmt.Sprintf("%.4g", k.Refused)}
			for _, s := range m.Sites {
				row = append(row, fmt.Sprintf("%.4g", k.To[s.Name]))
			}
			rows = append(rows, row)
		}
	}
	if l.SVG != "" {
		if err := drawPlans(l.SVG, list); err != nil {
			return err
		}
	}
	for _, w := range warnings {
		if _, err := fmt.Fprintln(c.notes, "note:", w); err != nil {
			return err
		}
	}
	header := table.Row{"lost", "class", "asked/s", "served/s", "refused/s"}
	for _, s := range m.Sites {
		header = append(header, "at "+s.Name)
	}
	return c.print(list, tabled(header, rows))
}

func (l *sitePlanLine) model(c *ctl) (sites.Model, error) {
	if l.File == "" {
		return c.model()
	}
	text, err := os.ReadFile(l.File)
	if err != nil {
		return sites.Model{}, err
	}
	return modelOf(string(text))
}

func orAll(lost []string) string {
	if len(lost) == 0 {
		return "none"
	}
	return strings.Join(lost, "+")
}

// drawPlans draws what is served of each class, and refused, by loss.
func drawPlans(file string, list []planned) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Served (full) and refused (empty), by lost site", "requests a second"
	p.Legend.Top = true
	width := vg.Points(40 / float64(max(len(list[0].Classes), 1)))
	var names []string
	for _, one := range list {
		names = append(names, orAll(one.Lost))
	}
	for k, class := range list[0].Classes {
		var served, refused plotter.Values
		for _, one := range list {
			served, refused = append(served, one.Classes[k].Served), append(refused, one.Classes[k].Refused)
		}
		below, err := plotter.NewBarChart(served, width)
		if err != nil {
			return err
		}
		above, err := plotter.NewBarChart(refused, width)
		if err != nil {
			return err
		}
		below.Color, above.Color = plotutil.Color(k), nil
		below.Offset = width * vg.Length(float64(k)-float64(len(list[0].Classes)-1)/2)
		above.Offset = below.Offset
		above.StackOn(below)
		p.Add(below, above)
		p.Legend.Add(class.Class, below)
	}
	p.NominalX(names...)
	return p.Save(6*vg.Inch, 4*vg.Inch, file)
}
