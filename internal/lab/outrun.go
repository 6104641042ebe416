package lab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"sumacloft/internal/decide/outage"
)

// OutageReport is what came of a run.
type OutageReport struct {
	Seed     uint64        `json:"seed"`
	Permits  int           `json:"permits"`
	Ended    int           `json:"ended"`
	Halts    int           `json:"halts"`
	Lost     int           `json:"losses"`
	Replaced int           `json:"replaced"`
	Most     int           `json:"most_down_by_release"`
	Requests int           `json:"requests"`
	Failed   int           `json:"failed"`
	Phase    outage.Phase  `json:"phase"`
	Took     time.Duration `json:"took"`
	Store    BooksReport   `json:"store"`
	Wrong    []string      `json:"violations,omitempty"`
}

// within is how long each condition of a schedule may take to come about: no rule is about that time, so a starved machine may use it.
const within = 90 * time.Second

// outRun is a schedule being carried out.
type outRun struct {
	*OutageFleet
	ctx  context.Context
	by   string // who wrote the state that was seen last
	kind outage.Kind
	away string // the site that was lost last as the leader's
}

// CarryOutages starts a fleet, carries out a schedule under load and judges what was seen, also if the schedule could not
// be carried out to its end. An error says that the laboratory itself failed; what the fleet did wrong is in the report.
func CarryOutages(ctx context.Context, s OutageSchedule, o Options) (OutageReport, error) {
	began := time.Now()
	rep := OutageReport{Seed: s.Seed}
	o.Seed = s.Seed
	plan, rate, steps, err := s.arrange(&o)
	if err != nil {
		return rep, err
	}
	f, err := OpenOutages(o, plan)
	if err != nil {
		return rep, err
	}
	defer f.Close()
	if err := f.Up(ctx); err != nil {
		return rep, err
	}
	books, err := f.Books(ctx)
	if err != nil {
		return rep, err
	}
	deploying, stop := context.WithCancel(ctx)
	ended := make(chan []Asked, 1)
	go func() {
		list, _ := f.Load(deploying, s.Seed, []Phase{{For: 10 * time.Minute, Rate: rate}}) // ends with the schedule
		ended <- list
	}()
	deployed := make(chan struct{})
	go func() { defer close(deployed); f.Deploy(deploying) }()
	r := &outRun{OutageFleet: f, ctx: ctx}
	failed := r.carry(steps)
	store, read := books()
	stop()
	<-deployed
	requests := <-ended
	for _, request := range requests {
		rep.Requests++
		if request.Status != http.StatusOK {
			rep.Failed++
		}
	}
	rep.Store = store
	err = errors.Join(failed, r.judge(&rep, requests))
	rep.Wrong = append(rep.Wrong, read...)
	rep.Took = time.Since(began)
	return rep, err
}

// judge fills a report with what the history of the state, the fleet and the servers show.
func (r *outRun) judge(rep *OutageReport, requests []Asked) error {
	audit, err := r.Audit(r.ctx)
	if err != nil {
		return err
	}
	rep.Permits, rep.Ended, rep.Halts, rep.Lost = audit.Permits, audit.Ended, audit.Halts, audit.Lost
	rep.Wrong = append(audit.Faults, r.wrong...)
	rep.Replaced, rep.Most = r.replaced, r.most
	if state := r.State(r.ctx); state != nil && state.Release != nil {
		rep.Phase = state.Release.Phase
	}
	ran, _, err := r.Ran()
	if err != nil {
		return err
	}
	rep.Wrong = append(rep.Wrong, overrun(requests, ran)...)
	return nil
}

// overrun are requests that ran more often than they may: a query at most three times each time that its client asked (a refused
// one comes again, and a safe one may be refused after it was tried), a filing once, however often.
func overrun(requests []Asked, ran map[string]int) (wrong []string) {
	for _, request := range requests {
		most := 1
		if request.Class == "query" {
			most = 3 * request.Times
		}
		if ran[request.ID] > most {
			wrong = append(wrong, fmt.Sprintf("request %s, a %s asked %d times, ran %d times", request.ID, request.Class, request.Times, ran[request.ID]))
		}
	}
	return wrong
}

// see waits for a condition on the state.
func (r *outRun) see(what string, is func(s *outage.State) bool) error {
	var last *outage.State
	if until(r.ctx, within, func() bool {
		s := r.State(r.ctx)
		if s == nil {
			return false
		}
		last, r.by = s, s.By
		return is(s)
	}) {
		return nil
	}
	return &NotSeenError{what, fmt.Sprintf("%+v", last)}
}

// NotSeenError says that a condition of a schedule did not come about.
type NotSeenError struct{ What, Last string }

func (e *NotSeenError) Error() string { return "not seen: " + e.What + "; the state was " + e.Last }

func (r *outRun) carry(steps []string) error {
	if err := r.see("all known", func(s *outage.State) bool { return len(s.Known) == 6 && s.Budget.Servers == 9 }); err != nil {
		return err
	}
	for _, step := range steps {
		if err := r.step(strings.Fields(step)); err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	return r.settle()
}

// settle mends all, and waits until the release has come to its end and no permit is left.
func (r *outRun) settle() error {
	r.Heal()
	_ = os.Remove(r.sickFile()) // it is there only in a bad hour
	r.mu.Lock()
	r.off, r.manner = false, ""
	clear(r.gone)
	r.mu.Unlock()
	r.remove()
	if err := r.all(); err != nil {
		return err
	}
	r.reviveAll()
	if err := r.see("the end", func(s *outage.State) bool {
		for target, p := range s.Permits {
			if p.For == outage.ByHand && !p.Serve {
				_, name := outage.Split(target)
				r.Ctl(r.ctx, r.memberDesks(), "serve", name)
			}
		}
		for target := range s.PermitRequests {
			_, name := outage.Split(target)
			r.Ctl(r.ctx, r.memberDesks(), "serve", name)
		}
		if s.Release.Phase == outage.Halted {
			what := "back"
			if s.Release.HaltedFrom == outage.RollingBack { // halted on its way back
				what = "resume"
			}
			if code, out := r.Ctl(r.ctx, r.memberDesks(), "release", what); code != 0 {
				r.fault("release %s while it is halted: %s", what, out)
			}
			return false
		}
		return s.Release.Phase.Finished() && len(s.Permits) == 0
	}); err != nil {
		return err
	}
	r.labels(func(t outage.Target, want, has string, phase outage.Phase) string {
		if t.State == outage.Reached && has != want {
			return fmt.Sprintf("%s is told to have label %q and has %q (release %s)", t.Name, want, has, phase)
		}
		return ""
	})
	return nil
}

// labels compares what each target bears with what the release that is over says of it, until nothing is wrong, or for long.
func (r *outRun) labels(judge func(t outage.Target, want, has string, phase outage.Phase) string) {
	var wrong string
	if !until(r.ctx, within, func() bool {
		time.Sleep(100 * time.Millisecond)
		have, err := r.Labels(r.ctx, r.kind)
		s := r.State(r.ctx)
		if err != nil || s == nil {
			return false
		}
		wrong = ""
		for _, t := range s.Release.Targets {
			want := s.Release.To
			if s.Release.Phase == outage.RolledBack {
				want = t.From
			}
			if what := judge(t, want, have[t.Name], s.Release.Phase); what != "" {
				wrong = what
			}
		}
		return wrong == ""
	}) {
		r.fault("%s", wrong)
	}
}

// all has every daemon run and waits until they are ready.
func (r *outRun) all() error {
	for _, d := range r.Daemons {
		d.Continue()
		s := r.State(r.ctx)
		if s != nil {
			if _, out := s.Permits[outage.ID(outage.Router, d.Name)]; out {
				continue // the deployer brings it back
			}
		}
		if err := r.Start(d); err != nil {
			return err
		}
	}
	return nil
}

// reviveAll starts servers that were crashed, with the label that their record has.
func (r *outRun) reviveAll() {
	for i, sv := range r.servers {
		s := r.State(r.ctx)
		if s == nil || sv.running() || r.unrecoverable(outage.ID(outage.Server, serverName(i))) {
			continue
		}
		if p, out := s.Permits[outage.ID(outage.Server, serverName(i))]; out && p.For != outage.ByHand {
			continue // the deployer's
		}
		have, err := r.Labels(r.ctx, outage.Server)
		if err == nil {
			r.Serve(r.ctx, i, have[serverName(i)])
		}
	}
}
