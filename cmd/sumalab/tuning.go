package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"sumacloft/internal/lab"
)

type tuningLine struct {
	Seed    uint64 `help:"The first seed." default:"1"`
	Count   int    `help:"How many schedules." default:"20"`
	Clients int    `help:"How many samples are asked for at once." default:"24"`
	hours
	common
}

// tuned is what came of many schedules.
type tuned struct {
	tally
	Epochs   int64 `json:"epochs"`
	Asked    int   `json:"samples_asked"`
	Answered int   `json:"samples_answered"`
	Counted  int64 `json:"counted"`
	Late     int64 `json:"late"`
	Repeated int64 `json:"repeated"`
	Beyond   int64 `json:"beyond"`
	Missing  int64 `json:"missing"`
	Reloads  int   `json:"reloads"`
	Requests int   `json:"clerks_requests"`
}

// Run runs schedules of samples.
func (l *tuningLine) Run(ctx context.Context, out io.Writer) error {
	file, steps, err := l.replayed()
	if err != nil {
		return err
	}
	if file > 0 {
		l.Seed = file
	}
	schedule := func(seed uint64) lab.TuningSchedule {
		switch {
		case steps != nil:
			return lab.TuningSchedule{Seed: seed, Steps: steps}
		case l.Bad:
			return lab.DrawBadTuning(seed)
		}
		return lab.DrawTuning(seed)
	}
	if l.Draw {
		_, err := fmt.Fprint(out, schedule(l.Seed))
		return err
	}
	var total tuned
	carry := func(seed uint64) (lab.TuningReport, error) {
		s := schedule(seed)
		return inFolder(ctx, l.common, s.Seed, s, func(o lab.Options) (lab.TuningReport, []string, error) {
			o.Books = l.Bad
			rep, err := lab.CarryTuning(ctx, s, o, l.Clients)
			return rep, rep.Wrong, err
		})
	}
	many(ctx, l.Seed, l.Count, 1, carry, func(seed uint64, rep lab.TuningReport, err error) {
		if !total.took(seed, rep.Wrong, err) {
			return
		}
		total.kept(rep.Store)
		t := rep.Totals
		total.Epochs, total.Asked, total.Answered = total.Epochs+rep.Epochs, total.Asked+rep.Asked, total.Answered+rep.Answered
		total.Counted, total.Late, total.Repeated, total.Beyond = total.Counted+t.Counted, total.Late+t.Late, total.Repeated+t.Repeated, total.Beyond+t.Beyond
		total.Missing, total.Reloads, total.Requests = total.Missing+t.Missing, total.Reloads+rep.Reloads, total.Requests+rep.Requests
		fmt.Fprintf(os.Stderr, "%d of %d: seed %d in %.1f s, %d epochs, %d of %d samples answered, %+v, %d reloads\n", total.Ran+total.Failed, l.Count, seed, rep.Took.Seconds(),
			rep.Epochs, rep.Answered, rep.Asked, t, rep.Reloads)
	})
	return l.show(out, total, fmt.Sprintf("%d schedules, %d with violations %v, %d not carried out; %d epochs, %d of %d samples answered, %d counted, %d late, %d repeated, %d beyond, %d missing; %d reloads, %d clerks' requests\n",
		total.Ran, total.Violations, total.Seeds, total.Failed, total.Epochs, total.Answered, total.Asked, total.Counted, total.Late, total.Repeated, total.Beyond, total.Missing, total.Reloads, total.Requests)+total.books())
}
