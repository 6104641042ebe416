package lab

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
)

// believed is how long a copy may stand after its server's restart, drain or leaving: a report and a turn or two, while
// processes share a machine and a leader may have to be found first.
const believed = 6 * time.Second

// copyRun is a schedule being carried out.
type copyRun struct {
	*outRun
	f       *CopiesFleet
	on      bool // there are copies
	emptied bool // servers wait for copies before they are let out
	state   *reuse.State
	shut    map[int]int // servers that are let out: lines in their logs from 1 s on
	belief  time.Duration
	flashed int64 // the generation whose flash is looked at
}

// CarryCopies starts a fleet, carries out a schedule under load and judges what was seen; without copies it is the same fleet
// with no table for them. An error says that the laboratory itself failed; what the fleet did wrong is in the report.
func CarryCopies(ctx context.Context, s CopySchedule, o Options, copies bool) (CopiesReport, error) {
	began := time.Now()
	rep := CopiesReport{Seed: s.Seed}
	o.Seed = s.Seed
	f, err := OpenCopies(ctx, o, copies, slices.Contains(s.Steps, "sited"), slices.Contains(s.Steps, "emptied"))
	if err != nil {
		return rep, err
	}
	defer f.Close()
	books, err := f.Books(ctx)
	if err != nil {
		return rep, err
	}
	asking, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); f.Ask(asking, s.Seed) }()
	r := &copyRun{outRun: &outRun{OutageFleet: f.OutageFleet, ctx: ctx}, f: f, on: copies, emptied: slices.Contains(s.Steps, "emptied"), shut: map[int]int{}}
	err = r.carry(s)
	stop()
	rep.Store, rep.Wrong = books()
	<-ended
	if err != nil {
		rep.Wrong = append(rep.Wrong, f.wrong...)
		return rep, err
	}
	if copies {
		audit, err := f.AuditCopies(ctx)
		if err != nil {
			return rep, err
		}
		rep.States, rep.Ordered, rep.Here, rep.Released, rep.Most = audit.States, audit.OrderedCopies, audit.ArrivedCopies, audit.ReleasedCopies, audit.MaxCopies
		rep.Wrong = append(rep.Wrong, audit.Violations...)
	}
	if err := f.served(&rep); err != nil {
		return rep, err
	}
	if err := f.warmed(&rep); err != nil {
		return rep, err
	}
	rep.BeliefMs = float64(r.belief.Milliseconds())
	rep.Wrong = append(rep.Wrong, f.wrong...)
	rep.Took = time.Since(began)
	return rep, nil
}

// sees waits for a condition on the state of copies.
func (r *copyRun) sees(what string, is func(s *reuse.State) bool) error {
	if until(r.ctx, within, func() bool {
		s := r.f.Copies(r.ctx)
		if s == nil {
			return false
		}
		r.state, r.by = s, s.By
		return is(s)
	}) {
		return nil
	}
	return &NotSeenError{what, fmt.Sprintf("%+v", r.state)}
}

// hotter gives the copies of what is hot in a just now.
func (r *copyRun) hotter(s *reuse.State, phase reuse.Phase) (out []reuse.Copy) {
	now := map[reuse.Key]bool{}
	for i := range hots {
		_, k := opening(hot(r.f.generation.Load(), i))
		now[k] = true
	}
	for _, c := range s.Copies {
		if now[c.Prefix] && c.Phase == phase && c.From != "" { // what a region holds of its own is no copy
			out = append(out, c)
		}
	}
	return out
}

// holder waits for a copy of what is hot in a, and gives the place of its server.
func (r *copyRun) holder(phase reuse.Phase) (c reuse.Copy, at int, err error) {
	err = r.sees("a copy that is "+string(phase), func(s *reuse.State) bool {
		list := r.hotter(s, phase)
		if len(list) > 0 {
			c = list[0]
		}
		return len(list) > 0
	})
	return c, r.place(c.Server), err
}

// unbelieved waits until no copy stands that is not to be believed in, and notes how long that took.
func (r *copyRun) unbelieved(what string, is func(c reuse.Copy) bool) {
	began := time.Now()
	if !until(r.ctx, believed, func() bool {
		s := r.f.Copies(r.ctx)
		return s != nil && !slices.ContainsFunc(s.Copies, is)
	}) {
		r.fault("%s: copies are believed in %v later", what, believed)
	}
	r.belief = max(r.belief, time.Since(began))
}

func (r *copyRun) carry(s CopySchedule) error {
	for _, step := range s.Steps {
		if err := r.do(strings.Fields(step)); err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	r.f.mu.Lock()
	r.f.steps = time.Since(r.f.zero)
	r.f.mu.Unlock()
	if slices.Contains(s.Steps, "abrupt") {
		return nil
	}
	return r.end()
}

// end mends all, and sees that copies are made again.
func (r *copyRun) end() error {
	r.Heal()
	if err := r.all(); err != nil {
		return err
	}
	r.reviveAll()
	if err := r.serve(); err != nil {
		return err
	}
	if !r.on {
		return nil
	}
	r.f.scan.Store(false)
	r.f.jam.Store(false)
	r.f.flash.Store(false)
	r.f.generation.Add(1)
	_, _, err := r.holder(reuse.Present)
	return err
}

// serve ends all drains by hand; nothing new may have come to what was let out.
func (r *copyRun) serve() error {
	for i, had := range r.shut {
		if now := lines(r.servers[i].log); now > had {
			r.fault("%s was sent %d requests later than 1 s after its drain", serverName(i), now-had)
		}
	}
	clear(r.shut)
	return r.see("no drain by hand", func(s *outage.State) bool {
		for target, p := range s.Permits {
			if _, name := outage.Split(target); p.For == outage.ByHand && !p.Serve {
				r.Ctl(r.ctx, r.memberDesks(), "serve", name)
			}
		}
		return len(s.Permits) == 0 && len(s.PermitRequests) == 0
	})
}

func (r *copyRun) do(w []string) error {
	switch step := strings.Join(w, " "); step {
	case "sited", "emptied", "abrupt":
	case "new hot":
		r.f.generation.Add(1)
	case "flash on", "flash off":
		r.f.flash.Store(w[1] == "on")
	case "jam on", "jam off":
		r.f.jam.Store(w[1] == "on")
	case "scan on", "scan off":
		r.f.scan.Store(w[1] == "on")
	case "restart holder":
		c, at, err := r.holder(reuse.Present)
		if err != nil {
			return err
		}
		r.servers[at].kill()
		r.Serve(r.ctx, at, "v1")
		r.unbelieved(c.Server+" started again", func(o reuse.Copy) bool { return o.Server == c.Server && o.Boot == c.Boot })
	case "crash target":
		_, at, err := r.holder(reuse.Ordered)
		if err != nil {
			return err
		}
		r.servers[at].kill()
	case "kill source":
		c, _, err := r.holder(reuse.Ordered)
		if err != nil {
			return err
		}
		daemons, _ := r.parts(c.From)
		for _, d := range daemons {
			d.Kill()
		}
	case "drain holder":
		return r.drain()
	case "serve all":
		return r.serve()
	case "lose b", "return b":
		return r.site(w[0] == "lose")
	case "oneway b":
		for _, d := range r.Daemons {
			for i := range r.servers {
				if r.f.o.site(i, len(r.servers)) == "b" && r.f.o.site(slices.Index(r.Daemons, d), len(r.Daemons)) != "b" {
					r.back[[2]string{d.Name, serverName(i)}].Set(Mode{}, Mode{Kind: Silent})
				}
			}
		}
	case "mute a":
		r.Isolate("d2", Mode{Kind: Silent}, Mode{Kind: Silent})
	case "kill decider", "stop decider", "kill leader":
		if s := r.f.Copies(r.ctx); s != nil {
			r.by = s.By
		}
		return r.step(w)
	case "await other":
		was := r.by
		if !r.on {
			return nil
		}
		return r.sees(step, func(s *reuse.State) bool { return s.By != was })
	default:
		if w[0] == "await" && !r.ofRouters(w[1]) {
			return r.await(w)
		}
		return r.step(w)
	}
	return nil
}

// await waits for so many copies of what is hot in a; without copies it lets as long pass as that takes.
func (r *copyRun) await(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	if w[2] == "asked" { // so many requests of b for what is hot in a
		until(r.ctx, within, func() bool {
			r.f.mu.Lock()
			defer r.f.mu.Unlock()
			seen := 0
			for _, a := range r.f.asked {
				if a.Region == "b" && strings.HasPrefix(a.Opening, "hot-") {
					seen++
				}
			}
			return seen >= n
		})
		return nil
	}
	if !r.on {
		time.Sleep(4 * time.Second)
		return nil
	}
	return r.sees(strings.Join(w, " "), func(s *reuse.State) bool {
		to := r.hotter(s, reuse.Present)
		return len(slices.DeleteFunc(to, func(c reuse.Copy) bool { return c.To != "b" })) >= n
	})
}

// drain lets the server of a copy out by hand, and sees that nothing is held there any more.
func (r *copyRun) drain() error {
	c, at, err := r.holder(reuse.Present)
	if err != nil {
		return err
	}
	if r.emptied { // one at which openings are at home that its region asks for all the time
		at = 2
		c.Server = serverName(at)
	}
	began := time.Now()
	if code, out := r.Ctl(r.ctx, r.memberDesks(), "drain", c.Server, "--wait", "20s"); code != 0 {
		return fmt.Errorf("drain %s: %d %s", c.Server, code, out)
	}
	if took := time.Since(began); r.emptied {
		if took > emptying {
			r.fault("%s was let out after %v: its wait ended by time", c.Server, took)
		}
		if err := r.sees("copies of what "+c.Server+" held", func(s *reuse.State) bool {
			return slices.ContainsFunc(s.Copies, func(o reuse.Copy) bool { return o.DrainServer == c.Server && o.Phase == reuse.Present })
		}); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	r.unbelieved(c.Server+" drains", func(o reuse.Copy) bool { return o.Server == c.Server })
	r.shut[at] = lines(r.servers[at].log)
	return nil
}

// site loses region b with all that runs there, or has it return.
func (r *copyRun) site(lost bool) error {
	if !lost {
		return r.Return("b")
	}
	r.Lose("b", false)
	if err := r.seesLost(); err != nil {
		return err
	}
	r.unbelieved("region b is lost", func(c reuse.Copy) bool { return c.To == "b" })
	return nil
}

func (r *copyRun) seesLost() error {
	if !until(r.ctx, within, func() bool {
		p := r.Posture(r.ctx).Last
		return p != nil && p.Sites["b"].State == "lost"
	}) {
		return &NotSeenError{"the loss of b", ""}
	}
	return nil
}
