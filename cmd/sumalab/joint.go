package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/lab"
)

type jointLine struct {
	Seed  uint64  `help:"The first seed: of the interactive requests, and of which site is lost." default:"1"`
	Count int     `help:"How many days of each kind." default:"1"`
	Rate  float64 `help:"Interactive requests per second." default:"90"`
	Days  string  `help:"Which days: with the tables, without, or both, one after the other." enum:"with,without,both" default:"both"`
	Until string  `help:"End the day after this phase, as 'it returns'."`
	Files bool    `help:"Keep the files and logs of all fleets."`
	common
}

// Run runs joint days.
func (l *jointLine) Run(ctx context.Context, out io.Writer) error {
	var all []lab.JointReport
	wrong, failed := 0, 0
	for i := range uint64(l.Count) {
		for _, without := range []bool{false, true} {
			if without && l.Days == "with" || !without && l.Days == "without" || ctx.Err() != nil {
				continue
			}
			rep, err := l.day(ctx, l.Seed+i, without)
			if err != nil {
				failed++
				fmt.Fprintf(os.Stderr, "seed %d, without %v: not carried out: %v\n", l.Seed+i, without, err)
			}
			for _, w := range rep.Wrong {
				fmt.Fprintf(os.Stderr, "seed %d, without %v: VIOLATION: %s\n", l.Seed+i, without, w)
			}
			if wrong += len(rep.Wrong); err == nil {
				all = append(all, rep)
			}
		}
	}
	if err := l.show(out, all, days(all)); err != nil {
		return err
	}
	if wrong+failed > 0 {
		return fmt.Errorf("%d violations, %d days not carried out", wrong, failed)
	}
	return nil
}

func (l *jointLine) day(ctx context.Context, seed uint64, without bool) (lab.JointReport, error) {
	dir, done, err := tempDir()
	if err != nil {
		return lab.JointReport{}, err
	}
	if l.Files {
		printProgress("files and logs: " + dir)
	} else {
		defer done()
	}
	o := lab.JointDayOptions{Options: lab.Options{Dir: dir, Bin: l.Bin, Seed: seed}, Without: without, Rate: l.Rate, Until: l.Until, Progress: printProgress}
	if l.Broken != "" {
		o.Env = []string{"SUMACLOFT_BROKEN=" + l.Broken}
	}
	return lab.CarryJoint(ctx, o)
}

// days shows each day by its phases, in the worth that was asked and not served in time.
func days(all []lab.JointReport) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"seed", "day", "phase", "took s", "worth asked", "in time", "missed", "queries in time", "refused", "failed", "filings in time", "refused", "failed"})
	for _, r := range all {
		name := "with"
		if r.Without {
			name = "without"
		}
		for _, p := range r.Phases {
			q, f := p.Shares["query"], p.Shares["filing"]
			t.AppendRow(table.Row{r.Seed, name, p.Name, fmt.Sprintf("%.1f", p.Took), p.Asked, fmt.Sprintf("%.4f", p.Served/p.Asked), p.Asked - p.Served,
				fmt.Sprintf("%.4f", q.Served), q.Refused, q.Failed, fmt.Sprintf("%.4f", f.Served), f.Refused, f.Failed})
		}
		t.AppendRow(table.Row{r.Seed, name, "the day", fmt.Sprintf("%.1f", r.Took), r.Asked, fmt.Sprintf("%.4f", r.Served/r.Asked), r.Asked - r.Served})
		t.AppendSeparator()
	}
	text := t.Render() + "\n"
	for _, r := range all {
		text += fmt.Sprintf("seed %d, without %v: %d requests, came again %d times, %d settled as unknown, %d without an answer, %d faults of servers, %d fell; %d permits, %d ended, %d halts, %d losses, %d replaced, %d down at most; openings read for %.3f of the answers, for %.3f of b's with what is hot in a; %d copies, %d reads in background, believed in %.0f ms at most after a restart; %d samples answered, %d epochs, %d reloads remembered; %d violations\n",
			r.Seed, r.Without, r.Requests, r.Again, r.Unknown, r.Cut, r.Bad, r.Falls, r.Permits, r.Ended, r.Halts, r.Lost, r.Replaced, r.Most, r.Read, r.ReadB, r.Copies.Here, r.Copies.Warmed, r.Copies.BeliefMs, r.Tuning.Answered, r.Tuning.Epochs, r.Tuning.Reloads, len(r.Wrong))
	}
	return text
}
