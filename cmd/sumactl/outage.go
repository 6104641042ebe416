package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/discovery"
	fleetoutage "sumacloft/internal/fleet/outage"
	"sumacloft/internal/fleet/policy"
)

func (c *ctl) outages() fleetoutage.Store { return fleetoutage.NewStore(c.store.Client) }

// budget is the one of the policy in force; without it nothing is counted.
func (c *ctl) budget() (outage.Model, error) {
	ctx, done := c.call()
	defer done()
	v, err := c.store.Version(ctx, 0)
	if none := (*policy.NoVersionError)(nil); errors.As(err, &none) {
		return outage.Model{}, nil
	}
	if err != nil {
		return outage.Model{}, err
	}
	return config.OutageOf(v.Text)
}

// me names who asks, for people.
func me() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "an operator"
}

// revise changes the state of outages under the budget in force.
func (c *ctl) revise(m outage.Model, how func(v outage.View) (*outage.State, error)) (*outage.State, error) {
	ctx, done := c.call()
	defer done()
	return c.outages().Change(ctx, m, how)
}

type drainLine struct {
	ID     string        `arg:"" help:"The member, or with --router a router."`
	Wait   time.Duration `help:"With a budget in the policy: how long to wait for the permit." default:"0s"`
	Router bool          `help:"A router is let out: it fails its health check, hands over what waits, and keeps running until it is replaced."`
}

// Run drains a member: at once where the policy has no budget, else once it is let out.
func (l *drainLine) Run(c *ctl) error {
	m, err := c.budget()
	if err != nil {
		return err
	}
	if !m.On() {
		if l.Router {
			return &outage.RefusedError{Thing: l.ID, Why: "the policy has no [outage]", Do: "stop the router with SIGTERM, or add a budget to the policy"}
		}
		return c.change(l.ID, func(m *discovery.Member) { m.Phase = "DRAINING" }, false)
	}
	thing := outage.ID(outage.Server, l.ID)
	if l.Router {
		thing = outage.ID(outage.Router, l.ID)
	}
	for end := time.Now().Add(l.Wait); ; {
		permitted := false
		s, err := c.revise(m, func(v outage.View) (*outage.State, error) {
			if !known(v, thing) {
				return nil, &outage.RefusedError{Thing: thing, Why: "no router has it in its list", Do: "'sumactl members' and 'sumactl routers' list what there is"}
			}
			next, out := v.Last.Drain(thing, me())
			permitted = out
			return next, nil
		})
		if err != nil {
			return err
		}
		if permitted {
			return c.print(s.Permits[thing], func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s is out (permit %d): nothing new goes there\n", thing, s.Permits[thing].ID)
				return err
			})
		}
		if time.Now().After(end) {
			why := s.PermitRequests[thing].WaitReason
			if p, given := s.Permits[thing]; given {
				why = fmt.Sprintf("permit %d is given, not every router has said that it knows", p.ID)
			}
			return &exit{exitUnknown, fmt.Sprintf("%s waits its turn: %s; ask again with the same command, or take the wish back with 'sumactl serve'", thing, why)}
		}
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func known(v outage.View, thing string) bool {
	kind, name := outage.Split(thing)
	if kind == outage.Router {
		_, is := v.Last.Router(name)
		return is
	}
	return slices.ContainsFunc(v.Reports, func(r outage.Report) bool { _, is := r.Observed[name]; return is })
}

// served takes back what was asked of a thing by hand; false: the policy has no budget, or nothing was asked.
func (c *ctl) served(thing string) (bool, error) {
	m, err := c.budget()
	if err != nil || !m.On() {
		return false, nil // as without a budget
	}
	did := false
	_, err = c.revise(m, func(v outage.View) (*outage.State, error) {
		next := v.Last.Serve(thing, me())
		did = next != nil
		return next, nil
	})
	return did, err
}

// gone declares that a thing will not come back, for the budget.
func (c *ctl) gone(thing string) (bool, error) {
	m, err := c.budget()
	if err != nil || !m.On() {
		return false, nil
	}
	did := false
	_, err = c.revise(m, func(v outage.View) (*outage.State, error) {
		if kind, name := outage.Split(thing); kind == outage.Router && v.Routers[name].Live {
			return nil, &outage.RefusedError{Thing: thing, Why: "it is registered and alive", Do: "stop it first"}
		}
		next := v.Last.DeclareGone(thing, me())
		did = next != nil
		return next, nil
	})
	return did, err
}

type releaseLine struct {
	Start  releaseStartLine  `cmd:"" help:"Begin a release: its targets go out in waves, each under a permit, and come back with the new label."`
	Status releaseStatusLine `cmd:"" default:"1" help:"Show the release, what is out, what waits and why."`
	Halt   releaseHaltLine   `cmd:"" help:"Halt it: no permit is given from then on; what is out may come back."`
	Resume releaseResumeLine `cmd:"" help:"Go on where it stopped."`
	Back   releaseBackLine   `cmd:"" help:"Take its targets back to the labels that they had, the newest first."`
}

type releaseStartLine struct {
	File string `arg:"" help:"The release as TOML." type:"existingfile"`
}

// Run begins a release.
func (l *releaseStartLine) Run(c *ctl) error {
	var spec outage.Spec
	meta, err := toml.DecodeFile(l.File, &spec)
	if err != nil {
		return &outage.ReleaseError{Key: l.File, Why: err.Error()}
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return &outage.ReleaseError{Key: extra[0].String(), Why: "no such key"}
	}
	return c.release(func(v outage.View) (*outage.State, error) { return v.Start(spec, me()) })
}

// release changes the release and shows it.
func (c *ctl) release(how func(v outage.View) (*outage.State, error)) error {
	m, err := c.budget()
	if err != nil {
		return err
	}
	s, err := c.revise(m, how)
	if err != nil {
		return err
	}
	return c.showOutages(s)
}

type releaseStatusLine struct{}

// Run shows what there is.
func (l *releaseStatusLine) Run(c *ctl) error {
	return c.release(func(outage.View) (*outage.State, error) { return nil, nil })
}

type releaseHaltLine struct {
	Why string `help:"The reason, for people."`
}

// Run halts it.
func (l *releaseHaltLine) Run(c *ctl) error {
	return c.release(func(v outage.View) (*outage.State, error) { return v.Last.Halt(me(), l.Why) })
}

type releaseResumeLine struct{}

// Run resumes it.
func (l *releaseResumeLine) Run(c *ctl) error {
	return c.release(func(v outage.View) (*outage.State, error) { return v.Resume(me()) })
}

type releaseBackLine struct{}

// Run takes it back.
func (l *releaseBackLine) Run(c *ctl) error {
	return c.release(func(v outage.View) (*outage.State, error) { return v.Last.RollBack(me()) })
}

// showOutages shows a state.
func (c *ctl) showOutages(s *outage.State) error {
	if s == nil {
		return errors.New("nothing was decided yet: is there an [outage] in the policy ('sumactl policy show'), and a router that follows it ('sumactl routers')?")
	}
	d := &decided{State: s}
	if err := c.beside(d); err != nil {
		return err
	}
	return c.print(d, func(w io.Writer) error {
		b := s.Budget
		if _, err := fmt.Fprintf(w, "servers out: %d of %d, %d may be; routers out: %d of %d, %d may be\n", b.ServersOut, b.Servers, b.ServersLimit, b.RoutersOut, b.Routers, b.RoutersLimit); err != nil {
			return err
		}
		var rows []table.Row
		for _, thing := range slices.Sorted(maps.Keys(s.Permits)) {
			p := s.Permits[thing]
			rows = append(rows, table.Row{thing, p.Stage, fmt.Sprintf("permit %d for %s", p.ID, p.For), p.To})
		}
		for _, thing := range slices.Sorted(maps.Keys(s.Lost)) {
			rows = append(rows, table.Row{thing, "lost", s.Lost[thing].Why, ""})
		}
		for _, thing := range slices.Sorted(maps.Keys(s.PermitRequests)) {
			rows = append(rows, table.Row{thing, "waits", s.PermitRequests[thing].WaitReason, ""})
		}
		if len(rows) > 0 {
			if err := tabled(table.Row{"thing", "state", "why", "to come back as"}, rows)(w); err != nil {
				return err
			}
		}
		if err := showRoom(w, s); err != nil {
			return err
		}
		if err := d.showBeside(w); err != nil {
			return err
		}
		r := s.Release
		if r == nil {
			return nil
		}
		if _, err := fmt.Fprintf(w, "release %s to %s: %s %s\n", r.Name, r.To, r.Phase, strings.TrimSpace(r.Why)); err != nil {
			return err
		}
		rows = nil
		for _, t := range r.Targets {
			rows = append(rows, table.Row{t.Name, t.Site, t.From, t.State, t.Why})
		}
		return tabled(table.Row{"target", "site", "was", "state", "why"}, rows)(w)
	})
}

// note tells people something.
func (c *ctl) note(text string) { _, _ = fmt.Fprintln(c.notes, "sumactl:", text) }
