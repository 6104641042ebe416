package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"sumacloft/internal/decide/outage"
)

// JointDayOptions set up a joint day.
type JointDayOptions struct {
	Options
	// Without has the day run without the tables that are under proof: what goes through the fleet goes by a script and an
	// operator's hand, which count nothing.
	Without  bool
	Rate     float64       // requests a second; 0: JointRate
	Until    string        // the day ends after this phase; "": the evening
	Within   time.Duration // that each condition may take to come about; 0: dayWithin
	Progress func(string)
}

// JointRate is the rate of interactive requests per second: less than half of what six of the nine servers carry.
const JointRate = 90

// JointPhase is a part of the day, from one event to the next.
type JointPhase struct {
	Name   string           `json:"phase"`
	Took   float64          `json:"took_s"`
	Asked  float64          `json:"worth_asked"`
	Served float64          `json:"worth_in_time"`
	Shares map[string]Share `json:"shares"`
}

// JointReport is what came of a day.
type JointReport struct {
	Seed     uint64       `json:"seed"`
	Without  bool         `json:"without"`
	Phases   []JointPhase `json:"phases"`
	Asked    float64      `json:"worth_asked"`
	Served   float64      `json:"worth_in_time"`
	Requests int          `json:"requests"`
	Again    int          `json:"came_again"`     // times that clients came again
	Cut      int          `json:"without_answer"` // times that a connection broke before an answer
	Unknown  int          `json:"settled_unknown"`
	Bad      int          `json:"failed"` // final answers that were faults of a server
	Permits  int          `json:"permits"`
	Ended    int          `json:"ended"`
	Halts    int          `json:"halts"`
	Lost     int          `json:"losses"`
	Replaced int          `json:"replaced"`
	Most     int          `json:"most_down_by_release"`
	Falls    int          `json:"servers_pushed_over"`
	Read     float64      `json:"openings_read"`   // the part of the answers for which the opening had to be read
	ReadB    float64      `json:"openings_read_b"` // of those of region b for what is hot in a
	Tuning   TuningReport `json:"samples,omitzero"`
	Copies   CopiesReport `json:"copies,omitzero"`
	Took     float64      `json:"took_s"`
	Wrong    []string     `json:"violations,omitempty"`
}

// jointDay is a day under way.
type jointDay struct {
	*outRun
	o      JointDayOptions
	site   string // that is lost
	load   *jointLoad
	tables *jointTables // nil: a day without
	phases []mark
}

// mark is where a phase begins.
type mark struct {
	name string
	at   time.Duration
}

// part is what happens in a phase, and what is waited for.
type part struct {
	name string
	do   func() error
}

// pass goes through the parts of the day, to the one that it is to end with.
func (d *jointDay) pass(parts []part) error {
	for _, p := range parts {
		d.phases = append(d.phases, mark{p.name, d.load.now()})
		d.say("%s", p.name)
		if err := p.do(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if p.name == d.o.Until {
			break
		}
	}
	return nil
}

// dayWithin is how long each condition of a day may take to come about: a release of six routers is one.
const dayWithin = 100 * time.Second

func (d *jointDay) within() time.Duration { return cmp.Or(d.o.Within, dayWithin) }

// see waits for a condition on the state, and does not ask so often that the store would feel it.
func (d *jointDay) see(what string, is func(s *outage.State) bool) error {
	var last *outage.State
	if until(d.ctx, d.within(), func() bool {
		time.Sleep(50 * time.Millisecond)
		s := d.State(d.ctx)
		if s == nil {
			return false
		}
		last = s
		return is(s)
	}) {
		d.say("seen: %s", what)
		return nil
	}
	return &NotSeenError{what, fmt.Sprintf("%+v", last)}
}

func (d *jointDay) say(format string, args ...any) {
	if d.o.Progress != nil {
		d.o.Progress(fmt.Sprintf("%6.1f s: ", d.load.now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

// CarryJoint runs a day: new weights and a new program go through the fleet under interactive requests, a site is lost in the midst
// of it and returns, and a program that fails one request in four is met and taken back. An error says that the laboratory
// failed or that something did not come about; what the fleet did wrong until then is in the report.
func CarryJoint(ctx context.Context, o JointDayOptions) (JointReport, error) {
	began := time.Now()
	rep := JointReport{Seed: o.Seed, Without: o.Without}
	f, err := openJoint(ctx, o.Options, o.Without)
	if err != nil {
		return rep, err
	}
	defer f.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := &jointDay{outRun: &outRun{OutageFleet: f.OutageFleet, ctx: ctx}, o: o, site: siteNames[o.Seed%uint64(len(siteNames))], load: newJointLoad(f.SiteFleet, o.Seed)}
	var loading sync.WaitGroup
	loading.Go(func() { d.load.run(ctx, cmp.Or(o.Rate, JointRate)) })
	if o.Without {
		err = d.pass(d.byHand())
	} else {
		d.tables = f.tables(ctx, o.Seed)
		err = d.pass(d.byTables())
	}
	end := d.load.now()
	d.load.close() // what was asked is asked to its end, with all up
	loading.Wait()
	if d.tables != nil {
		d.tables.quiet()
		defer d.tables.all.Wait()
		defer d.tables.stop()
	}
	d.judge(&rep, end)
	if d.tables != nil {
		err = errors.Join(err, d.tables.end(ctx, &rep))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rep.Replaced, rep.Most = f.replaced, f.most
	rep.Wrong = append(rep.Wrong, f.wrong...)
	rep.Took = time.Since(began).Seconds()
	return rep, err
}

// byTables has the fleet go through the day by its own decisions.
func (d *jointDay) byTables() []part {
	halted := func(s *outage.State) bool { return s.Release.Phase == outage.Halted }
	ctl := func(does string) error {
		if code, out := d.Ctl(d.ctx, d.memberDesks(), "release", does); code != 0 {
			return errors.New(out)
		}
		return nil
	}
	return slices.Concat([]part{
		{"all up", func() error {
			if err := d.see("all known", func(s *outage.State) bool { return len(s.Known) == 6 && s.Budget.Servers == 9 }); err != nil {
				return err
			}
			return d.rest()
		}},
		{"new weights", func() error {
			d.tables.run.tune(func(ctx context.Context) {
				t := d.tables.f.tuning.tuner
				t.version += jump
				t.insist(ctx)
			})
			return d.loaded(1 + jump)
		}},
		{"two die", d.dies},
		{"new program", func() error {
			if err := d.release(outage.Server, "p2", "waves = [1, 2]"); err != nil {
				return err
			}
			return d.see("the half has it", func(s *outage.State) bool { return reached(s) >= 4 })
		}},
	}, d.siteGone(func() error { return d.see("the loss halts the release", halted) }), []part{
		{"the rest of the servers", func() error {
			if err := ctl("resume"); err != nil {
				return err
			}
			return d.over(outage.Done)
		}},
		{"the routers", func() error {
			if err := d.release(outage.Router, "v2", "waves = [1, 1]"); err != nil {
				return err
			}
			return d.over(outage.Done)
		}},
		{"a bad program", func() error {
			if err := d.release(outage.Server, "p3", "waves = [1, 2]"); err != nil {
				return err
			}
			return d.see("the evidence halts it", halted)
		}},
		{"it is taken back", func() error {
			if err := ctl("back"); err != nil {
				return err
			}
			return d.over(outage.RolledBack)
		}},
		{"evening", d.rest},
	})
}

// loaded waits until every server has weights that are new enough.
func (d *jointDay) loaded(least int64) error {
	var last map[string]string
	if until(d.ctx, d.within(), func() bool {
		time.Sleep(200 * time.Millisecond)
		have, err := d.Labels(d.ctx, outage.Server)
		if err != nil || len(have) < 9 {
			return false
		}
		last = have
		for _, label := range have {
			if _, weights := labelled(label); weights < least {
				return false
			}
		}
		return true
	}) {
		return nil
	}
	return &NotSeenError{fmt.Sprintf("every server has weights %d", least), fmt.Sprint(last)}
}

// reached is how many targets of a release have its label.
func reached(s *outage.State) (n int) {
	for _, t := range s.Release.Targets {
		if t.State == outage.Reached {
			n++
		}
	}
	return n
}

// release starts one; servers come with the weights that are the newest as it begins.
func (d *jointDay) release(kind outage.Kind, to, more string) error {
	d.kind = kind
	if kind == outage.Server {
		var weights int64
		d.tables.run.tune(func(context.Context) { weights = d.tables.f.tuning.tuner.version })
		to = jointLabel(to, weights)
	}
	if code, out := d.Release(d.ctx, kind, to, more); code != 0 {
		return errors.New(out)
	}
	return nil
}

// over waits for the end of the release, and compares programs with what it says. Weights go on changing.
func (d *jointDay) over(phase outage.Phase) error {
	what, halted := fmt.Sprintf("the release is %s", phase), ""
	if err := d.see(what, func(s *outage.State) bool {
		if s.Release.Phase == outage.Halted {
			halted = s.Release.Why
		}
		for _, p := range s.Permits {
			if p.For == s.Release.Name {
				return halted != ""
			}
		}
		return halted != "" || s.Release.Phase == phase
	}); err != nil {
		return err
	}
	if halted != "" {
		return &NotSeenError{what, "halted: " + halted}
	}
	d.labels(func(t outage.Target, want, has string, phase outage.Phase) string {
		is, _ := labelled(has)
		if should, _ := labelled(want); t.State != outage.Reached || is != should {
			return fmt.Sprintf("%s is %s (%s) and has %q, release %s to %q", t.Name, t.State, t.Why, has, phase, want)
		}
		return ""
	})
	return nil
}

// lull is how long a phase goes on once all that it waits for has come about, so that there is something to count.
const lull = 3 * time.Second

func (d *jointDay) rest() error { return d.pauses(lull) }
