package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"sumacloft/internal/lab"
)

type outageLine struct {
	Seed     uint64 `help:"The first seed." default:"1"`
	Count    int    `help:"How many schedules." default:"20"`
	Parallel int    `help:"How many at once: each has eleven processes and more." default:"1"`
	hours
	common
}

// outaged is what came of many schedules.
type outaged struct {
	tally
	Permits   int `json:"permits"`
	Ended     int `json:"ended"`
	Halts     int `json:"halts"`
	Losses    int `json:"losses"`
	Replaced  int `json:"replaced"`
	Requests  int `json:"requests"`
	NotServed int `json:"not_served"`
}

// Run runs schedules of releases and drains.
func (l *outageLine) Run(ctx context.Context, out io.Writer) error {
	file, steps, err := l.replayed()
	if err != nil {
		return err
	}
	if file > 0 {
		l.Seed = file
	}
	schedule := func(seed uint64) lab.OutageSchedule {
		switch {
		case steps != nil:
			return lab.OutageSchedule{Seed: seed, Steps: steps}
		case l.Bad:
			return lab.DrawBadOutages(seed)
		}
		return lab.DrawOutages(seed)
	}
	if l.Draw {
		_, err := fmt.Fprint(out, schedule(l.Seed))
		return err
	}
	var total outaged
	carry := func(seed uint64) (lab.OutageReport, error) {
		s := schedule(seed)
		return inFolder(ctx, l.common, s.Seed, s, func(o lab.Options) (lab.OutageReport, []string, error) {
			o.Books = l.Bad
			rep, err := lab.CarryOutages(ctx, s, o)
			return rep, rep.Wrong, err
		})
	}
	many(ctx, l.Seed, l.Count, l.Parallel, carry, func(seed uint64, rep lab.OutageReport, err error) {
		if !total.took(seed, rep.Wrong, err) {
			return
		}
		total.kept(rep.Store)
		total.Permits, total.Ended, total.Halts, total.Losses = total.Permits+rep.Permits, total.Ended+rep.Ended, total.Halts+rep.Halts, total.Losses+rep.Lost
		total.Replaced, total.Requests, total.NotServed = total.Replaced+rep.Replaced, total.Requests+rep.Requests, total.NotServed+rep.Failed
		fmt.Fprintf(os.Stderr, "%d of %d: seed %d in %.1f s, %d permits, %d halts, release %s\n", total.Ran+total.Failed, l.Count, seed, rep.Took.Seconds(), rep.Permits, rep.Halts, rep.Phase)
	})
	return l.show(out, total, fmt.Sprintf("%d schedules, %d with violations %v, %d not carried out; %d permits, %d ended, %d halts, %d losses, %d replaced; %d requests, %d not served\n",
		total.Ran, total.Violations, total.Seeds, total.Failed, total.Permits, total.Ended, total.Halts, total.Losses, total.Replaced, total.Requests, total.NotServed)+total.books())
}
