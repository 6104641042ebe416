package lab

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/outage"
)

// JointClasses are the classes of the joint day: filings are work in hand, whose clients come again with their key.
const JointClasses = SiteClasses + "whole_ms = 4000\nhandover = true\n" // its last class is that of filings

// jointTuning is how samples are weighed: a version every ten seconds, and who is four behind reloads.
const (
	jointTuning = `[samples]
batch = 40
epoch_ms = 5000
stale_most = 3
hold_ms = 2000
half_life_ms = 20000
clerks_most = 0.2
clerks_calm_ms = 1000
clerks_rise_ms = 3000
report_ms = 200
`
	jointPace = 10 * time.Second
	jump      = 4 // versions that the day's new weights are ahead
	// jointClients is how many samples are asked for at once.
	jointClients = 8
)

// jointPlan is the day's policy: the plan of sites, and the tables under proof.
func jointPlan(without bool) (classes, plan string) {
	plan = strings.ReplaceAll(SitePlan(SiteRate*3/2), "servers = 2", "servers = 3")
	if without {
		return JointClasses, plan
	}
	return JointClasses + sampleClass, plan + "[[sites.class]]\nname = \"sample\"\n" + OutagePlan + CopiesPlan + jointTuning
}

// jointFleet is the fleet of a joint day: one of outages, seen as one of copies and one of tuning too.
type jointFleet struct {
	*OutageFleet
	copies *CopiesFleet
	tuning *TuningFleet
	belief *belief // under mu
}

// jointLabel is a server's label: its program and the version of the weights that it has loaded.
func jointLabel(program string, weights int64) string { return fmt.Sprintf("%s-w%d", program, weights) }

// labelled takes a label apart.
func labelled(label string) (program string, weights int64) {
	program, of, _ := strings.Cut(label, "-w")
	weights, _ = strconv.ParseInt(of, 10, 64) // 0: none is told
	return program, weights
}

// openJoint makes the fleet, has it run, and waits until it knows itself.
func openJoint(ctx context.Context, o Options, without bool) (*jointFleet, error) {
	classes, plan := jointPlan(without)
	args := func(_ int, label string) []string {
		_, weights := labelled(label)
		return []string{"--mark", fmt.Sprint("w", weights)}
	}
	o.Classes, o.Emulated, o.Watched = classes, []string{"--hit", "0.6", "--keys", "60"}, true
	o.Args = func(i int) []string { return args(i, jointLabel("p1", 1)) }
	outages, err := OpenOutages(o, plan)
	if err != nil {
		return nil, err
	}
	f := &jointFleet{OutageFleet: outages, copies: &CopiesFleet{OutageFleet: outages}, tuning: &TuningFleet{OutageFleet: outages, liars: map[string]int64{}}, belief: newBelief()}
	f.onServerStart = f.belief.started
	for i := range prompts {
		f.copies.shared = append(f.copies.shared, prompt(i))
	}
	f.args, f.bad["p3"] = args, "0.25"
	f.tuning.tuner = &tuner{f: f.tuning, version: 1, pace: jointPace}
	if err := f.up(ctx, without); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *jointFleet) up(ctx context.Context, without bool) error {
	model, err := config.ReuseOf("[chat]\n" + JointClasses + CopiesPlan)
	if err != nil {
		return err
	}
	f.copies.model = model.WithDefaults()
	if err := f.Up(ctx); err != nil {
		return err
	}
	if err := f.copies.list(ctx); err != nil {
		return err
	}
	if err := f.recordAll(ctx, jointLabel("p1", 1)); err != nil {
		return err
	}
	if without {
		return nil
	}
	return f.tuning.tuned(ctx)
}

// jointTables is what runs beside the interactive requests where the tables are there: the deployer, the tuner, those who ask for samples.
type jointTables struct {
	f     *jointFleet
	run   *tunRun
	stop  func()
	all   sync.WaitGroup
	asked sync.WaitGroup
}

func (f *jointFleet) tables(ctx context.Context, seed uint64) *jointTables {
	running, stop := context.WithCancel(ctx)
	t := &jointTables{f: f, stop: stop, run: &tunRun{outRun: outRun{OutageFleet: f.OutageFleet, ctx: ctx}, t: f.tuning,
		steps: make(chan func(context.Context)), load: newRollouts(f.tuning, seed, jointClients), held: map[string]bool{}}}
	t.asked.Go(func() { t.run.load.run(ctx) })
	t.all.Go(func() { f.Deploy(running) })
	t.all.Go(func() { f.believes(running) })
	t.all.Go(func() { f.tuning.tuner.run(running, t.run.steps) })
	return t
}

// quiet has nothing new asked, and waits until all samples that were asked for have their answers.
func (t *jointTables) quiet() {
	close(t.run.load.closed)
	t.asked.Wait()
}

// end waits for each sample's place, ends the deployer and the tuner, and has all histories looked at.
func (t *jointTables) end(ctx context.Context, rep *JointReport) error {
	err := t.run.settle(&rep.Tuning)
	t.stop()
	t.all.Wait()
	if err != nil {
		return err
	}
	audit, err := t.f.Audit(ctx)
	if err != nil {
		return err
	}
	rep.Permits, rep.Ended, rep.Halts, rep.Lost = audit.Permits, audit.Ended, audit.Halts, audit.Lost
	if s := t.f.State(ctx); s != nil {
		for _, p := range s.EndedPermits {
			if p.For == outage.ForReload {
				rep.Tuning.Reloads++ // of the last permits that are remembered
			}
		}
	}
	copies, err := t.f.copies.AuditCopies(ctx)
	if err != nil {
		return err
	}
	c := &rep.Copies
	c.States, c.Ordered, c.Here, c.Released, c.Most = copies.States, copies.OrderedCopies, copies.ArrivedCopies, copies.ReleasedCopies, copies.MaxCopies
	if err := t.f.copies.warmed(c); err != nil {
		return err
	}
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	c.BeliefMs = float64(t.f.belief.worst.Milliseconds())
	rep.Wrong = slices.Concat(rep.Wrong, audit.Faults, copies.Violations, t.f.belief.wrong, rep.Tuning.Wrong)
	rep.Tuning.Wrong = nil
	return nil
}
