package lab

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/samples"
)

// TuningReport is what came of a run.
type TuningReport struct {
	Seed     uint64         `json:"seed"`
	Epochs   int64          `json:"epochs"`
	Version  int64          `json:"version"`
	Taken    int            `json:"epochs_read"`
	Totals   samples.Totals `json:"totals"`
	Asked    int            `json:"samples_asked"`
	Answered int            `json:"samples_answered"`
	Statuses map[int]int    `json:"sample_statuses"`
	Twice    int64          `json:"published_twice"`
	Back     int64          `json:"published_back"`
	Held     []string       `json:"workers_held,omitempty"`
	Silent   int            `json:"closed_with_silent_routers"`
	Boards   int            `json:"boards"`
	Permits  int            `json:"permits"`
	Reloads  int            `json:"reloads"`
	Replaced int            `json:"replaced"`
	Most     int            `json:"most_down_by_reload"`
	Requests int            `json:"clerks_requests"`
	Worth    float64        `json:"clerks_worth_per_s"`
	Wanted   float64        `json:"clerks_worth_asked_per_s"`
	Took     time.Duration  `json:"took"`
	Store    BooksReport    `json:"store"`
	Wrong    []string       `json:"violations,omitempty"`
}

// TuningRate is the rate of interactive requests per second, TuningClients how many samples are asked for at once.
const (
	TuningRate    = 60
	TuningClients = 24
)

// tunRun is a schedule being carried out.
type tunRun struct {
	outRun
	t     *TuningFleet
	steps chan func(context.Context)
	load  *rollouts
	held  map[string]bool
}

// CarryTuning starts a fleet, carries out a schedule under interactive requests while clients ask for samples, so many at once, and
// judges what was seen. An error says that the laboratory itself failed; what the fleet did wrong is in the report.
func CarryTuning(ctx context.Context, s TuningSchedule, o Options, clients int) (TuningReport, error) {
	began := time.Now()
	rep := TuningReport{Seed: s.Seed}
	o.Seed = s.Seed
	f, err := OpenTuning(o)
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
	running, stop := context.WithCancel(ctx)
	defer stop()
	asking, quiet := context.WithCancel(ctx)
	defer quiet()
	r := &tunRun{outRun: outRun{OutageFleet: f.OutageFleet, ctx: ctx}, t: f, steps: make(chan func(context.Context)), load: newRollouts(f, s.Seed, clients), held: map[string]bool{}}
	var all, asked sync.WaitGroup
	var interactive []Asked
	loaded := time.Now()
	asked.Go(func() { interactive, _ = f.Load(asking, s.Seed, []Phase{{For: 10 * time.Minute, Rate: TuningRate}}) }) // ends with the schedule
	asked.Go(func() { r.load.run(ctx) })
	all.Go(func() { f.Deploy(running) })
	all.Go(func() { f.tuner.run(running, r.steps) })
	err = r.carry(s)
	took := time.Since(loaded).Seconds()
	r.mend()
	rep.Store, rep.Wrong = books()
	quiet()
	close(r.load.closed)
	asked.Wait()
	if err == nil {
		err = r.settle(&rep)
	}
	stop()
	all.Wait()
	if err != nil {
		return rep, err
	}
	r.judgeInteractive(&rep, interactive, took)
	audit, err := f.Audit(ctx)
	if err != nil {
		return rep, err
	}
	rep.Permits, rep.Replaced, rep.Most = audit.Permits, f.replaced, f.most
	if st := f.State(ctx); st != nil {
		for _, p := range st.EndedPermits {
			if p.For == outage.ForReload {
				rep.Reloads++
			}
		}
	}
	rep.Statuses = r.load.statuses
	for name := range r.held {
		rep.Held = append(rep.Held, name)
	}
	rep.Wrong = append(append(rep.Wrong, audit.Faults...), f.wrong...)
	rep.Took = time.Since(began)
	return rep, nil
}

// judgeInteractive reports how interactive requests were served, and whether a filing ran twice.
func (r *tunRun) judgeInteractive(rep *TuningReport, list []Asked, took float64) {
	ran, _, err := r.Ran()
	if err != nil {
		r.fault("%v", err)
	}
	shares := Shares(list, 0, time.Hour)
	rep.Requests, rep.Worth, rep.Wanted = len(list), Worth(shares)/took, (3*float64(shares["query"].Asked)+2*float64(shares["filing"].Asked))/took
	for _, a := range list {
		if a.Class == "filing" && ran[a.ID] > 1 {
			r.fault("filing %s ran %d times", a.ID, ran[a.ID])
		}
	}
}

// mend has all links pass, all processes run, and the tuner tune.
func (r *tunRun) mend() {
	r.Heal()
	r.deployer("on")
	if err := r.all(); err != nil {
		r.fault("%v", err)
	}
	r.reviveAll()
	r.tune(func(context.Context) { r.t.tuner.stop = false })
}

// tune has the tuner do something.
func (r *tunRun) tune(what func(context.Context)) {
	done := make(chan struct{})
	select {
	case r.steps <- func(ctx context.Context) { defer close(done); what(ctx) }:
		<-done
	case <-r.ctx.Done():
	}
}

// settle waits until each sample whose client has its answer stands in its place, and has the whole history looked at.
func (r *tunRun) settle(rep *TuningReport) error {
	keys, asked := r.load.answered()
	rep.Asked, rep.Answered = asked, len(keys)
	var list []*samples.State
	var unfenced, missing []string
	var lastErr error
	until(r.ctx, within, func() bool {
		time.Sleep(300 * time.Millisecond)
		if s := r.t.Board(r.ctx); s == nil || s.Totals.Reported-s.Totals.Repeated < int64(len(keys)) {
			return false
		}
		if list, unfenced, lastErr = r.t.Boards(r.ctx); lastErr != nil {
			return false
		}
		missing = r.placed(list, keys)
		return len(missing) == 0
	})
	if len(list) == 0 {
		var err error
		if list, unfenced, err = r.t.Boards(r.ctx); err != nil {
			return err
		}
	}
	rep.Wrong = append(rep.Wrong, unfenced...)
	rep.Wrong = append(rep.Wrong, missing...)
	if err := samples.Audit(list); err != nil {
		rep.Wrong = append(rep.Wrong, err.Error())
	}
	last := list[len(list)-1]
	rep.Totals, rep.Epochs, rep.Version, rep.Boards, rep.Twice, rep.Back, rep.Taken = last.Totals, last.Open.Number-1, last.Version, len(list), last.Republished, last.OlderPublished, len(r.t.tuner.epochs)
	rep.Wrong = append(rep.Wrong, r.read(rep, list)...)
	return nil
}

// placed compares the keys that clients have answers for with the places on the board, and those with what servers ran.
func (r *tunRun) placed(list []*samples.State, keys []string) (wrong []string) {
	at := map[uint64]bool{}
	note := func(e samples.Epoch) {
		for key := range e.AllKeys {
			at[key] = true
		}
	}
	for _, s := range list {
		for _, e := range s.Closed {
			note(e)
		}
		note(s.Open)
	}
	ran, _, err := r.Ran()
	if err != nil {
		return []string{err.Error()}
	}
	made := map[uint64]bool{}
	for id := range ran {
		made[samples.Key(id)] = true
	}
	nowhere := 0
	for _, key := range keys {
		if !at[samples.Key(key)] {
			nowhere++
		}
	}
	t := list[len(list)-1].Totals
	if nowhere > int(t.Beyond+t.Missing) {
		wrong = append(wrong, fmt.Sprintf("%d of %d samples with a final answer stand nowhere, %d beyond, %d missing", nowhere, len(keys), t.Beyond, t.Missing))
	}
	unmade := 0
	for key := range at {
		if !made[key] {
			unmade++
		}
	}
	if unmade > 0 {
		wrong = append(wrong, fmt.Sprintf("%d samples are counted that no server made", unmade))
	}
	return wrong
}

// read compares the epochs that the tuner read with those of the board, and notes who was held.
func (r *tunRun) read(rep *TuningReport, list []*samples.State) (wrong []string) {
	closed := map[int64]samples.Epoch{}
	for _, s := range list {
		for _, e := range s.Closed {
			if _, known := closed[e.Number]; !known {
				closed[e.Number] = e
				if e.Silent > 0 {
					rep.Silent++
				}
			}
		}
		for name, w := range s.Workers {
			if w.HoldReason != "" {
				r.held[name] = true
			}
		}
	}
	for i, e := range r.t.tuner.epochs {
		if is := closed[e.Number]; e.Number != int64(i+1) || is.Counted != e.Counted || is.Weighting != e.Weighting {
			wrong = append(wrong, fmt.Sprintf("the tuner read epoch %d as the %d., of %d samples; the board closed it with %d", e.Number, i+1, e.Counted, is.Counted))
		}
	}
	return wrong
}

func (r *tunRun) carry(s TuningSchedule) error {
	for _, step := range s.Steps {
		if err := r.step(strings.Fields(step)); err != nil {
			return fmt.Errorf("step %q: %w", step, err)
		}
	}
	return nil
}

// see waits for a condition on the board.
func (r *tunRun) see(what string, is func(s *samples.State) bool) error {
	var last *samples.State
	if until(r.ctx, within, func() bool {
		time.Sleep(20 * time.Millisecond)
		s := r.t.Board(r.ctx)
		if s == nil {
			return false
		}
		last, r.by = s, s.By
		return is(s)
	}) {
		return nil
	}
	if last == nil {
		return &NotSeenError{what, "not read"}
	}
	return &NotSeenError{what, fmt.Sprintf("board %d by %s, epoch %d of %d, taken %d, version %d, part %.2f, %q, totals %+v, reloads %+v, shares %v", last.Seq, last.By,
		last.Open.Number, last.Open.Counted, last.Taken, last.Version, last.AdmitFraction, last.Notice, last.Totals, last.Reloads, last.Shares)}
}

func (r *tunRun) step(w []string) error {
	arg := ""
	if len(w) > 1 {
		arg = w[1]
	}
	switch w[0] {
	case "await":
		if r.ofRouters(arg) {
			return r.outRun.step(w)
		}
		return r.await(w[1:])
	case "twice":
		r.tune(r.t.tuner.repeat)
	case "backwards":
		r.tune(r.t.tuner.goBack)
	case "jump":
		n, err := strconv.ParseInt(arg, 10, 64)
		r.tune(func(ctx context.Context) { r.t.tuner.version += n; r.t.tuner.insist(ctx) })
		return err
	case "tuner":
		r.tune(func(context.Context) { r.t.tuner.stop = arg == "off" })
	case "liar": // whatever it is told to load, it goes on with the first version
		r.t.liars[arg] = 1
	case "revoke": // its registration ends while it runs on and knows nothing of that yet
		return r.t.revoke(r.ctx, r.by)
	case "half":
		for _, d := range []string{"d1", "d3", "d6"} { // the others have three of five members of the store
			r.Isolate(d, Mode{Kind: Cut}, Mode{Kind: Cut})
		}
	default:
		return r.outRun.step(w)
	}
	return nil
}

func (r *tunRun) await(w []string) error {
	what, arg := w[0], ""
	if len(w) > 1 {
		arg = w[1]
	}
	was := r.by
	n := int64(1)
	if v, err := strconv.ParseInt(arg, 10, 64); err == nil {
		n = v
	}
	from := int64(-1)
	return r.see(strings.Join(w, " "), func(s *samples.State) bool {
		if from < 0 {
			from = s.Open.Number
		}
		switch what {
		case "closed":
			return s.Open.Number >= from+n
		case "reload":
			st := r.State(r.ctx)
			if st == nil {
				return false
			}
			for _, p := range st.Permits {
				if p.For == outage.ForReload {
					return true
				}
			}
			return false
		case "other":
			return s.By != was
		case "stalled":
			return s.AdmitFraction == 0
		case "reloaded":
			st := r.State(r.ctx)
			return st != nil && slices.ContainsFunc(st.EndedPermits, func(p outage.EndedPermit) bool { return p.For == outage.ForReload && p.End == "back" })
		case "bound":
			return s.AdmitFraction == 0 && strings.Contains(s.Notice, "past the bound")
		case "part":
			return s.AdmitFraction > 0
		case "held":
			return s.Workers[arg] != nil && s.Workers[arg].HoldReason != ""
		case "silent":
			return len(s.Closed) > 0 && s.Closed[len(s.Closed)-1].Silent > 0
		case "back":
			return s.OlderPublished > 0
		case "twice":
			return s.Republished > 0
		case "inhand": // a router has samples in hand: those of the open epoch are being made
			return s.AdmitFraction > 0 && s.Open.Counted > 0
		}
		return true
	})
}
