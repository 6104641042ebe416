// Command sumalab is the laboratory of processes: it starts fleets of the built program, injects faults between them by
// schedules drawn from seeds, and judges what their clients saw.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/lab"
)

type line struct {
	Draw   drawLine   `cmd:"" help:"Print the schedule of a seed."`
	Run    runLine    `cmd:"" help:"Run many schedules, drawn from seeds that follow one another."`
	Replay replayLine `cmd:"" help:"Run one schedule from its print."`
	Work   workLine   `cmd:"" help:"Run many schedules of faults on work in hand."`

	MeasureWork measureWorkLine `cmd:"" help:"Measure what writing work down costs: filings a second without it, with an entry of the log for each record, and with group commit; and how long a dead router's records take to be settled."`

	Days   daysLine   `cmd:"" help:"The same in virtual time, at any size, with and without the plan."`
	Reuse  reuseLine  `cmd:"" help:"Copy openings between regions in virtual time, by several policies, and compare what is read."`
	Server serverLine `cmd:"" help:"Run an emulated server, for a fleet of sites."`
	Site   siteLine   `cmd:"" help:"Lose a site at its worst hour, in real processes, and have it return: what was served, by phase."`

	Large largeLine `cmd:"" help:"Look at fleets of up to 1,000 routers and 2,000 servers in virtual time: what the control loop costs, releases of all servers, a day of incidents."`

	Samples samplesLine `cmd:"" help:"Weigh samples for tuning in virtual time, by the board's rules, all alike, and fresh ones only."`

	Tuning tuningLine `cmd:"" help:"Run many schedules of faults on samples for tuning: a board, a tuner, reloads under the budget."`

	Outage outageLine `cmd:"" help:"Run many schedules of releases and drains under one budget, with faults between the processes."`

	Copies copiesLine `cmd:"" help:"Run many schedules of copies between regions, with faults between the processes."`

	Joint jointLine `cmd:"" help:"Run the joint day: new weights, a new program, a site lost and a bad version, in one fleet, with its tables and without."`

	Measure measureLine `cmd:"" help:"Measure changes of policy under load, healthy and with a router or the leader gone."`
}

type drawLine struct {
	Seed    uint64 `arg:"" help:"The seed."`
	Daemons int    `help:"How many daemons." default:"5"`
}

// Run prints a schedule.
func (l *drawLine) Run(out io.Writer) error {
	_, err := fmt.Fprint(out, lab.Draw(l.Seed, l.Daemons))
	return err
}

type common struct {
	Bin    string `help:"The folder of sumacloft and sumactl." default:"bin"`
	Keep   string `help:"A folder in which files and logs of runs that failed are kept." default:"found"`
	Broken string `help:"The rule to break, with programs built with -tags broken: no-hold, no-lapse or from-cache, of the store own-copy."`
	Output string `help:"How to print: text or json." enum:"text,json" default:"text"`
}

type runLine struct {
	Seed     uint64 `help:"The first seed." default:"1"`
	Count    int    `help:"How many schedules." default:"20"`
	Daemons  int    `help:"How many daemons." default:"5"`
	Parallel int    `help:"How many at once." default:"4"`
	First    bool   `help:"End at the first violation."`
	common
}

// summary is what came of many schedules.
type summary struct {
	Ran        int            `json:"ran"`
	Failed     int            `json:"failed"` // the laboratory itself did
	Violations int            `json:"schedules_with_violations"`
	Seeds      []uint64       `json:"seeds_with_violations"`
	Requests   int            `json:"requests"`
	Refused    int            `json:"refused"`
	Lost       int            `json:"lost"`
	Proposed   int            `json:"proposed"`
	Committed  int            `json:"committed"`
	Aborted    int            `json:"aborted"`
	Rejected   int            `json:"rejected"`
	Faults     map[string]int `json:"faults"`
}

func (s *summary) add(r lab.Report) {
	s.Ran++
	s.Requests, s.Refused, s.Lost = s.Requests+r.Requests, s.Refused+r.Refused, s.Lost+r.Lost
	s.Proposed, s.Committed, s.Aborted, s.Rejected = s.Proposed+r.Proposed, s.Committed+r.Committed, s.Aborted+r.Aborted, s.Rejected+r.Rejected
	for _, f := range r.Faults {
		s.Faults[f]++
	}
	if len(r.Violations) > 0 {
		s.Violations++
		s.Seeds = append(s.Seeds, r.Seed)
	}
}

// many carries out the schedules of seeds that follow one another, some at once, and has done told of each, one after the
// other.
func many[R any](ctx context.Context, seed uint64, count, parallel int, carry func(seed uint64) (R, error), done func(uint64, R, error)) {
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, max(parallel, 1))
	for i := range uint64(count) {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		all.Add(1)
		go func() {
			defer func() { <-places; all.Done() }()
			rep, err := carry(seed + i)
			mu.Lock()
			defer mu.Unlock()
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				fmt.Fprintf(os.Stderr, "seed %d: the laboratory failed: %v\n", seed+i, err)
			}
			done(seed+i, rep, err)
		}()
	}
	all.Wait()
}

// Run runs schedules side by side.
func (l *runLine) Run(ctx context.Context, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	total := summary{Faults: map[string]int{}}
	many(ctx, l.Seed, l.Count, l.Parallel, func(seed uint64) (lab.Report, error) { return l.carry(ctx, lab.Draw(seed, l.Daemons)) }, func(seed uint64, rep lab.Report, err error) {
		if err != nil {
			total.Failed++
			return
		}
		total.add(rep)
		for _, v := range rep.Violations {
			fmt.Fprintf(os.Stderr, "seed %d: VIOLATION: %s\n", seed, v)
		}
		if len(rep.Violations) > 0 && l.First {
			stop()
		}
		fmt.Fprintf(os.Stderr, "%d of %d: seed %d in %.1f s, %d changes (%d committed), %d requests\n", total.Ran+total.Failed, l.Count, seed, rep.Took.Seconds(), rep.Proposed, rep.Committed, rep.Requests)
	})
	slices.Sort(total.Seeds)
	if err := l.show(out, total, fmt.Sprintf("%d schedules over %d daemons, %d with violations %v, %d that the laboratory failed at\n%d changes: %d committed, %d aborted, %d rejected\n%d requests under a version, %d refused, %d without an answer\nfaults: %v\n",
		total.Ran, l.Daemons, total.Violations, total.Seeds, total.Failed, total.Proposed, total.Committed, total.Aborted, total.Rejected, total.Requests, total.Refused, total.Lost, total.Faults)); err != nil {
		return err
	}
	if total.Violations+total.Failed > 0 {
		return fmt.Errorf("%d schedules broke the promise, the laboratory failed at %d", total.Violations, total.Failed)
	}
	return nil
}

func (c common) show(out io.Writer, value any, text string) error {
	if c.Output != "json" {
		_, err := fmt.Fprint(out, text)
		return err
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// carry carries out one schedule for changes of policy.
func (c common) carry(ctx context.Context, s lab.Schedule) (lab.Report, error) {
	return inFolder(ctx, c, s.Seed, s, func(o lab.Options) (lab.Report, []string, error) {
		rep, err := lab.Carry(ctx, s, o)
		return rep, rep.Violations, err
	})
}

// inFolder carries out one schedule in a folder of its own, which is kept only if something was wrong.
func inFolder[R any](ctx context.Context, c common, seed uint64, s fmt.Stringer, carry func(lab.Options) (R, []string, error)) (R, error) {
	var rep R
	dir, err := os.MkdirTemp("", "sumalab")
	if err != nil {
		return rep, err
	}
	defer os.RemoveAll(dir)
	o := lab.Options{Dir: dir, Bin: c.Bin}
	if c.Broken != "" {
		o.Env = []string{"SUMACLOFT_BROKEN=" + c.Broken}
	}
	rep, violations, err := carry(o)
	if (err != nil || len(violations) > 0) && ctx.Err() == nil {
		to := filepath.Join(c.Keep, fmt.Sprint("seed-", seed))
		failed := os.MkdirAll(c.Keep, 0o700)
		if failed == nil {
			failed = os.RemoveAll(to)
		}
		if failed == nil {
			failed = os.CopyFS(to, os.DirFS(dir))
		}
		if failed == nil {
			failed = os.WriteFile(filepath.Join(to, "schedule"), []byte(s.String()+"# "+strings.Join(violations, "\n# ")+"\n"), 0o600)
		}
		if failed != nil {
			fmt.Fprintln(os.Stderr, "what was found could not be kept:", failed)
		}
	}
	return rep, err
}

type replayLine struct {
	File string `arg:"" help:"A schedule, as 'draw' printed it or a failed run kept it; - is read from standard input."`
	common
}

// Run runs one schedule.
func (l *replayLine) Run(ctx context.Context, out io.Writer) error {
	in := os.Stdin
	if l.File != "-" {
		f, err := os.Open(l.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	s, err := lab.Parse(in)
	if err != nil {
		return fmt.Errorf("%s: %w", l.File, err)
	}
	rep, err := l.carry(ctx, s)
	if err != nil {
		return err
	}
	if err := l.show(out, rep, fmt.Sprintf("%+v\n", rep)); err != nil {
		return err
	}
	if len(rep.Violations) > 0 {
		return fmt.Errorf("the promise was broken; logs are in %s", l.Keep)
	}
	return nil
}

type workLine struct {
	Seed     uint64 `help:"The first seed." default:"1"`
	Count    int    `help:"How many schedules." default:"20"`
	Daemons  int    `help:"How many daemons." default:"5"`
	Parallel int    `help:"How many at once." default:"2"`
	Clients  int    `help:"How many clients ask at once." default:"40"`
	Quick    int    `help:"How many times quicker than usual the servers answer." default:"5"`
	common
}

// worked is what came of many schedules on work in hand.
type worked struct {
	Ran        int            `json:"ran"`
	Failed     int            `json:"failed"`
	Violations int            `json:"schedules_with_violations"`
	Seeds      []uint64       `json:"seeds_with_violations"`
	Requests   int            `json:"requests"`
	Filings    int            `json:"filings"`
	Answered   int            `json:"answered"`
	Unknown    int            `json:"unknown"`
	Repeats    int            `json:"repeats"`
	Faults     map[string]int `json:"faults"`
}

func (s *worked) add(r lab.WorkReport) {
	s.Ran++
	s.Requests, s.Filings, s.Answered = s.Requests+r.Requests, s.Filings+r.Filings, s.Answered+r.Answered
	s.Unknown, s.Repeats = s.Unknown+r.Unknown, s.Repeats+r.Repeats
	for _, f := range r.Faults {
		s.Faults[f]++
	}
	if len(r.Violations) > 0 {
		s.Violations++
		s.Seeds = append(s.Seeds, r.Seed)
	}
}

// Run runs schedules side by side.
func (l *workLine) Run(ctx context.Context, out io.Writer) error {
	total := worked{Faults: map[string]int{}}
	carry := func(seed uint64) (lab.WorkReport, error) {
		s := lab.DrawWork(seed, l.Daemons)
		return inFolder(ctx, l.common, s.Seed, s, func(o lab.Options) (lab.WorkReport, []string, error) {
			counter := lab.NewCounter(seed)
			counter.Quick = l.Quick
			o.Clients, o.Answers = l.Clients, counter
			rep, err := lab.CarryWork(ctx, s, o)
			return rep, rep.Violations, err
		})
	}
	many(ctx, l.Seed, l.Count, l.Parallel, carry, func(seed uint64, rep lab.WorkReport, err error) {
		if err != nil {
			total.Failed++
			return
		}
		total.add(rep)
		for _, v := range rep.Violations[:min(len(rep.Violations), 5)] {
			fmt.Fprintf(os.Stderr, "seed %d: VIOLATION: %s\n", seed, v)
		}
		fmt.Fprintf(os.Stderr, "%d of %d: seed %d in %.1f s, %d requests, %d filings so far\n", total.Ran+total.Failed, l.Count, seed, rep.Took.Seconds(), rep.Requests, total.Filings)
	})
	slices.Sort(total.Seeds)
	if err := l.show(out, total, fmt.Sprintf("%d schedules over %d daemons, %d with violations %v, %d that the laboratory failed at\n%d requests, %d of them filings: %d answered, %d settled as unknown; clients came again %d times\nfaults: %v\n",
		total.Ran, l.Daemons, total.Violations, total.Seeds, total.Failed, total.Requests, total.Filings, total.Answered, total.Unknown, total.Repeats, total.Faults)); err != nil {
		return err
	}
	if total.Violations+total.Failed > 0 {
		return fmt.Errorf("%d schedules broke a rule, the laboratory failed at %d", total.Violations, total.Failed)
	}
	return nil
}

// tempDir makes a directory for a fleet's files, which done takes away.
func tempDir() (dir string, done func(), err error) {
	dir, err = os.MkdirTemp("", "sumalab")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// printProgress prints the progress of a long run to standard error.
func printProgress(text string) { fmt.Fprintln(os.Stderr, text) }

type measureLine struct {
	Changes int `help:"How many changes with each trouble." default:"30"`
	LeaseS  int `help:"The routers' leases, in seconds." default:"3"`
	common
}

// Run measures.
func (l *measureLine) Run(ctx context.Context, out io.Writer) error {
	dir, done, err := tempDir()
	if err != nil {
		return err
	}
	defer done()
	list, err := lab.MeasurePolicy(ctx, lab.Options{Dir: dir, Bin: l.Bin, LeaseS: l.LeaseS}, l.Changes, printProgress)
	if err != nil {
		return err
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"trouble", "changes", "committed", "commit p50", "max ms", "quiet p50", "p99 ms", "in a change p50", "p99", "max ms", "requests", "refused"})
	for _, m := range list {
		t.AppendRow(table.Row{m.Trouble, m.Changes, m.Committed, m.CommitP50, m.CommitMax, m.QuietP50, m.QuietP99, m.ChangeP50, m.ChangeP99, m.ChangeMax, m.Requests, m.Refused})
	}
	return l.show(out, list, t.Render()+"\n")
}

type measureWorkLine struct {
	Runs   int           `help:"How many runs of each." default:"3"`
	Span   time.Duration `help:"How long each takes." default:"4s"`
	InHand int           `help:"How many records a dead router leaves behind." default:"1000"`
	common
}

// Run measures.
func (l *measureWorkLine) Run(ctx context.Context, out io.Writer) error {
	dir, done, err := tempDir()
	if err != nil {
		return err
	}
	defer done()
	list, err := lab.MeasureWork(ctx, lab.Options{Dir: dir, Bin: l.Bin, LeaseS: 3}, l.Runs, l.Span, printProgress)
	if err != nil {
		return err
	}
	settling, err := lab.MeasureSettling(ctx, lab.Options{Dir: dir, Bin: l.Bin, LeaseS: 3}, l.InHand)
	if err != nil {
		return err
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"how", "at once", "run", "filings/s", "p50 ms", "p99 ms"})
	for _, m := range list {
		t.AppendRow(table.Row{m.How, m.AtOnce, m.Run, fmt.Sprintf("%.0f", m.PerSecond), m.P50, m.P99})
	}
	return l.show(out, struct {
		Filings  []lab.WorkMeasure `json:"filings"`
		Settling lab.Settling      `json:"settling"`
	}{list, settling}, fmt.Sprintf("%s\n%d records of a dead router were settled %.1f s after its kill, %d s of them its lease\n", t.Render(), settling.InHand, settling.Seconds, settling.LeaseS))
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var l line
	k := kong.Parse(&l, kong.Name("sumalab"), kong.Description("Starts fleets of sumacloft, injects faults between them, and judges what clients saw."))
	k.BindTo(ctx, (*context.Context)(nil))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	k.FatalIfErrorf(k.Run())
}
