package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
)

// arrange reads the steps that come before all others and say how the fleet is set up:
//
//	with sites         the policy has a plan for the loss of a site
//	with lease N       registrations stand for so many seconds
//	with load N        so many requests a second come
//	with seen N        the wave after a canary waits for so many requests of the new version
func (s OutageSchedule) arrange(o *Options) (plan string, rate float64, rest []string, err error) {
	plan, rate = OutagePlan, 60
	for i, step := range s.Steps {
		w := strings.Fields(step)
		if len(w) == 0 || w[0] != "with" {
			return plan, rate, s.Steps[i:], nil
		}
		switch {
		case len(w) == 2 && w[1] == "sites":
			plan += SitePlan(SiteRate)
		case len(w) == 3 && w[1] == "lease":
			o.LeaseS, err = strconv.Atoi(w[2])
		case len(w) == 3 && w[1] == "seen":
			plan += "seen = " + w[2] + "\n" // its last table is that of halts
		case len(w) == 3 && w[1] == "load":
			rate, err = strconv.ParseFloat(w[2], 64)
		default:
			err = fmt.Errorf("%q sets up nothing", step)
		}
		if err != nil {
			return plan, rate, nil, err
		}
	}
	return plan, rate, nil, nil
}

// step carries out one step; its words are
//
//	release KIND LABEL [SITE]   a release begins, of one site or all; of label "bad" one request in four fails, of "bad20" one in twenty
//	halt, resume, back          the release is told so
//	await WHAT [X]              see awaited
//	drain X, serve all          by hand; drains X Y ...: each at an endpoint of its own, at once
//	clash                       halt, resume and a drain at three endpoints at once, three times
//	kill X, stop X              a daemon, the "decider" of the last state or the store's "leader"
//	start all, continue all     every daemon runs
//	crash X, revive all         a server
//	lose X, return X            a site, with its routers and their members of the store
//	isolate X, deaf X, mute X   a daemon is cut off from the others; nothing comes to it; nothing it sends comes to them
//	split, half, shatter        d1 and d2 from the others; half the fleet, with three of five members; no side has most
//	late, heal                  every link between stores is late by 40 ms; all links pass again
//	sick PART, sick off         all servers fail so many requests, whatever their version
//	deployer on, off            whether it works
//	deployer never, old, twice  what it does wrong with the next server: it never comes back, with its old label, or twice
//	deployer slow               it looks for late requests for 1 s before it stops a server
//	remove dead                 what never comes back is declared gone
//	budget N                    the policy lets so many servers out
//	wait MS                     how long a fault lasts that shows in no state
//
// and those of bad hours, see bad.
func (r *outRun) step(w []string) error {
	arg := func(i int) string {
		if i < len(w) {
			return w[i]
		}
		return ""
	}
	desks := r.memberDesks()
	switch w[0] {
	case "release":
		r.kind = outage.Kind(arg(1))
		more := "waves = [1, 2]"
		if site := arg(3); site != "" {
			more += fmt.Sprintf("\nsites = [%q]", site)
		}
		if code, out := r.Release(r.ctx, r.kind, arg(2), more); code != 0 {
			return errors.New(out)
		}
	case "await":
		return r.awaited(arg(1), arg(2))
	case "kill", "stop":
		d := r.Daemon(r.by)
		switch arg(1) {
		case "decider":
		case "leader":
			d = r.Leader(r.ctx)
		default:
			d = r.Daemon(arg(1))
		}
		if d == nil {
			d = r.Daemons[0]
		}
		if w[0] == "kill" {
			d.Kill()
		} else {
			d.Stop()
		}
	case "start", "continue":
		return r.all()
	case "crash":
		r.servers[r.place(arg(1))].kill()
	case "revive":
		r.reviveAll()
	case "drain":
		if code, out := r.Ctl(r.ctx, desks, "drain", arg(1)); code != 0 && code != 3 {
			r.fault("drain %s: %d %s", arg(1), code, out)
		}
	case "serve":
		for i := range r.servers {
			r.Ctl(r.ctx, desks, "serve", serverName(i))
		}
	case "drains", "six":
		list := w[1:]
		if w[0] == "six" {
			list = []string{"s1", "s2", "s3", "s4", "s5", "s6"}
		}
		r.drains(list)
	case "clash":
		r.clash()
	case "lose":
		if r.away = arg(1); r.away == "leader" {
			r.away = r.leads()
		}
		r.mu.Lock()
		r.gone[r.away] = true
		r.mu.Unlock()
		r.Lose(r.away, true)
	case "return":
		r.mu.Lock()
		delete(r.gone, r.named(arg(1)))
		r.mu.Unlock()
		if err := r.all(); err != nil {
			return err
		}
		r.reviveAll()
	case "sick":
		if arg(1) == "off" {
			return os.Remove(r.sickFile())
		}
		return os.WriteFile(r.sickFile(), []byte(arg(1)+"\n"), 0o600)
	case "remove":
		r.remove()
	case "halt", "resume", "back":
		code, out := r.Ctl(r.ctx, desks, "release", w[0])
		if code != 0 && !strings.Contains(out, "refused") {
			r.fault("release %s: %d %s", w[0], code, out)
		}
	case "isolate":
		r.Isolate(arg(1), Mode{Kind: Cut}, Mode{Kind: Cut})
	case "deaf":
		r.Isolate(arg(1), Mode{}, Mode{Kind: Silent})
	case "mute":
		r.Isolate(arg(1), Mode{Kind: Silent}, Mode{})
	case "late":
		late := Mode{Kind: Late, Delay: 40 * time.Millisecond}
		for _, d := range r.Daemons {
			r.Isolate(d.Name, late, late)
		}
	case "split":
		r.apart([]string{"d1", "d2"}, []string{"d3", "d4", "d5", "d6"})
	case "half":
		r.apart([]string{"d1", "d2", "d3"}, []string{"d4", "d5", "d6"})
	case "shatter":
		r.apart([]string{"d1", "d2"}, []string{"d3", "d4"}, []string{"d5", "d6"})
	case "heal":
		r.Heal()
	case "deployer":
		r.deployer(arg(1))
	case "budget":
		return r.budget(arg(1))
	case "wait":
		n, err := strconv.Atoi(arg(1))
		time.Sleep(time.Duration(n) * time.Millisecond)
		return err
	default:
		return r.bad(w)
	}
	return nil
}

// awaited waits for what a schedule names:
//
//	permit, halted, over   of the release; each also comes about when it has come to its end
//	other                  another router writes the state
//	lost                   something is lost or out, if there is anything that could be
//	out X, in X            every server of a site is out; no server or router of it is lost
//	gone X, here X         a router's registration has ended, or it is let out; it stands
//	dark [X], light [X]    a router, or every one, takes no requests; takes them
func (r *outRun) awaited(what, which string) error {
	was := r.by
	switch what {
	case "able":
		return r.able()
	case "answers":
		return r.see(what, func(*outage.State) bool { return true })
	}
	which = r.named(which)
	if what == "dark" || what == "light" {
		for _, d := range r.Daemons {
			if (which == "" || which == d.Name) && !until(r.ctx, within, func() bool { return d.Healthy(r.ctx) == (what == "light") }) {
				return &NotSeenError{What: d.Name + " " + what}
			}
		}
		return nil
	}
	return r.see(what+" "+which, func(s *outage.State) bool {
		over := s.Release != nil && s.Release.Phase.Finished()
		halted := s.Release != nil && s.Release.Phase == outage.Halted
		_, gone := s.Lost[outage.ID(outage.Router, which)]
		switch what {
		case "permit":
			return over || len(s.Permits) > 0 || halted
		case "halted":
			return over || halted || s.Release != nil && s.Release.Phase == outage.RollingBack
		case "over":
			return over
		case "other":
			return over || s.By != was || halted
		case "lost":
			return len(s.Lost) > 0 || len(s.Permits) > 0 || r.whole()
		case "gone":
			_, let := s.Permits[outage.ID(outage.Router, which)]
			return gone || let
		case "here":
			_, known := s.Known[which]
			return known && !gone
		case "out", "in":
			return r.site(s, which, what == "out")
		}
		return true
	})
}

// whole tells whether every server runs that is not gone for good.
func (r *outRun) whole() bool {
	for i, sv := range r.servers {
		if !sv.running() && !r.unrecoverable(outage.ID(outage.Server, serverName(i))) {
			return false
		}
	}
	return true
}

// site tells whether all servers of a site are out, or none of its servers and routers is lost.
func (r *outRun) site(s *outage.State, site string, out bool) bool {
	for i := range r.servers {
		target := outage.ID(outage.Server, serverName(i))
		_, lost := s.Lost[target]
		_, let := s.Permits[target]
		if r.siteOf(target) == site && (out && !lost && !let || !out && lost) {
			return false
		}
	}
	for _, d := range r.Daemons {
		target := outage.ID(outage.Router, d.Name)
		if _, lost := s.Lost[target]; r.siteOf(target) == site && !out && lost {
			return false
		}
	}
	return true
}

// drains asks for servers by hand, each at another endpoint, at once. Without a release none comes back meanwhile: no more
// may be told that they are out than the budget has, nor two of one site.
func (r *outRun) drains(list []string) {
	codes := make([]int, len(list))
	var all sync.WaitGroup
	for i, name := range list {
		all.Go(func() { codes[i], _ = r.Ctl(r.ctx, []string{r.memberDesks()[i%5]}, "drain", name, "--wait", "1s") })
	}
	all.Wait()
	out, sites := 0, map[string]int{}
	for i, name := range list {
		if codes[i] == 0 {
			out++
			sites[r.siteOf(outage.ID(outage.Server, name))]++
		}
	}
	for site, n := range sites {
		if r.kind == "" && (n > 1 || out > 2) {
			r.fault("%d of %v were told to be out, %d of site %s", out, list, n, site)
		}
	}
}

// clash has operators at three endpoints ask for what can't be had together.
func (r *outRun) clash() {
	for range 3 {
		var all sync.WaitGroup
		for i, args := range [][]string{{"release", "halt"}, {"release", "resume"}, {"drain", "s7"}, {"release", "halt"}, {"serve", "s7"}} {
			all.Go(func() { r.Ctl(r.ctx, []string{r.memberDesks()[i]}, args...) }) // who is refused is a matter of moments
		}
		all.Wait()
	}
	r.Ctl(r.ctx, r.memberDesks(), "release", "resume")
}

// apart cuts groups of daemons from each other.
func (r *outRun) apart(groups ...[]string) {
	for i, one := range groups {
		for _, other := range groups[i+1:] {
			for _, a := range one {
				for _, b := range other {
					r.Between(a, b, Mode{Kind: Cut}, Mode{Kind: Cut})
				}
			}
		}
	}
}

// deployer has the deployer work, or not, or do its next replacement of a server wrong.
func (r *outRun) deployer(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch how {
	case "on", "off":
		r.off = how == "off"
	case "slow":
		r.watch = time.Second
	default:
		r.manner = how
	}
}

// remove declares gone what the deployer never brings back, and takes it off every list.
func (r *outRun) remove() {
	r.mu.Lock()
	var list []string
	for name, dead := range r.dead {
		if dead && r.lost[name] {
			list = append(list, name)
			delete(r.lost, name)
		}
	}
	r.mu.Unlock()
	slices.Sort(list)
	for _, name := range list {
		if code, out := r.Ctl(r.ctx, r.memberDesks(), "remove", name); code != 0 {
			r.fault("remove %s: %d %s", name, code, out)
		}
		txn := &pb.TxnRequest{}
		for _, d := range r.Daemons {
			txn.Success = append(txn.Success, etcd.Del(memberKey(d, name)))
		}
		if !until(r.ctx, within, func() bool { _, err := r.kv.Txn(r.ctx, txn); return err == nil }) {
			r.fault("%s could not be taken off the lists", name)
		}
	}
}

func (r *outRun) sickFile() string { return filepath.Join(r.dir, "sick") }

var workersKey = regexp.MustCompile(`(?m)^(\s*)workers = .*$`)

// budget changes the policy to let so many servers out, be there more out than that or not.
func (r *outRun) budget(workers string) error {
	ctx, done := context.WithTimeout(r.ctx, within)
	defer done()
	r.kv.Patient = true
	v, err := policy.Store{Client: r.kv}.Version(ctx, 0)
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, "policy-"+workers+".toml")
	if err := os.WriteFile(path, []byte(workersKey.ReplaceAllString(v.Text, "${1}workers = "+workers)), 0o600); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if code, _ := r.Ctl(ctx, r.memberDesks(), "policy", "apply", path); code == 0 {
			return nil
		}
	}
	return ctx.Err()
}
