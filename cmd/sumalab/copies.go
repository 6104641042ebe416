package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"sumacloft/internal/lab"
)

type copiesLine struct {
	Seed     uint64 `help:"The first seed." default:"1"`
	Count    int    `help:"How many schedules." default:"20"`
	Parallel int    `help:"How many at once: each has fifteen processes." default:"1"`
	hours
	None bool `help:"Without the table: the same clients and faults, and no copies."`
	common
}

// copiesMade is what came of many schedules.
type copiesMade struct {
	tally
	Ordered   int     `json:"ordered"`
	Here      int     `json:"here"`
	Released  int     `json:"released"`
	Warmed    int     `json:"warmed"`
	Requests  int     `json:"requests"`
	NotServed int     `json:"not_served"`
	Twice     int     `json:"filings_run_twice"`
	Worth     float64 `json:"worth"`
	BeliefMs  float64 `json:"belief_ms"`
}

// Run runs schedules of copies between regions.
func (l *copiesLine) Run(ctx context.Context, out io.Writer) error {
	file, steps, err := l.replayed()
	if err != nil {
		return err
	}
	if file > 0 {
		l.Seed = file
	}
	schedule := func(seed uint64) lab.CopySchedule {
		switch {
		case steps != nil:
			return lab.CopySchedule{Seed: seed, Steps: steps}
		case l.Bad:
			return lab.DrawBadCopies(seed)
		}
		return lab.DrawCopies(seed)
	}
	if l.Draw {
		_, err := fmt.Fprint(out, schedule(l.Seed))
		return err
	}
	var total copiesMade
	carry := func(seed uint64) (lab.CopiesReport, error) {
		s := schedule(seed)
		return inFolder(ctx, l.common, s.Seed, s, func(o lab.Options) (lab.CopiesReport, []string, error) {
			o.Books = l.Bad
			rep, err := lab.CarryCopies(ctx, s, o, !l.None)
			return rep, rep.Wrong, err
		})
	}
	many(ctx, l.Seed, l.Count, l.Parallel, carry, func(seed uint64, rep lab.CopiesReport, err error) {
		if !total.took(seed, rep.Wrong, err) {
			return
		}
		total.kept(rep.Store)
		total.Ordered, total.Here, total.Released, total.Warmed = total.Ordered+rep.Ordered, total.Here+rep.Here, total.Released+rep.Released, total.Warmed+rep.Warmed
		total.Requests, total.NotServed, total.Twice = total.Requests+rep.Requests, total.NotServed+rep.NotServed, total.Twice+rep.Twice
		total.Worth, total.BeliefMs = total.Worth+rep.Worth, max(total.BeliefMs, rep.BeliefMs)
		fmt.Fprintf(os.Stderr, "%d of %d: seed %d in %.1f s, %d ordered, %d here, %d warmed, %d requests, %d not served, worth %.0f, read %v, flash %d asked %d read %d at first, belief %.0f ms\n",
			total.Ran+total.Failed, l.Count, seed, rep.Took.Seconds(), rep.Ordered, rep.Here, rep.Warmed, rep.Requests, rep.NotServed, rep.Worth, rep.Read, rep.FlashAsked, rep.FlashRead, rep.FirstRead, rep.BeliefMs)
	})
	return l.show(out, total, fmt.Sprintf("%d schedules, %d with violations %v, %d not carried out; %d copies ordered, %d made, %d ended, %d reads in background; %d requests, %d not served, %d filings run twice; belief %.0f ms at most\n",
		total.Ran, total.Violations, total.Seeds, total.Failed, total.Ordered, total.Here, total.Released, total.Warmed, total.Requests, total.NotServed, total.Twice, total.BeliefMs)+total.books())
}
