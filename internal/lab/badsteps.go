package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"sumacloft/internal/decide/outage"
)

// bad carries out a step of a bad hour; its words are
//
//	group NAME         says which bad hour begins
//	lose leader        the site where the store's leader is, with its routers, servers and members
//	return lost        that site; "await out lost" and "await in lost" are of it too
//	shift leader       the store's leader is stopped until another leads
//	freeze             three of the store's five members are stopped, its leader first
//	bounce X Y ...     daemons are killed at once and started at once
//	hush A B           nothing that the stores and servers of site A send comes to the routers of site B; requests to B's
//	                   servers pass, since a link holds what it does not let pass, and they would come late
//	crawl MS           every link of any kind is late by so much, each way
//	clock X MS         the wall clock of a daemon, or of all, is wrong by so much (programs of a broken build only)
//	await able         every router answers its health check but those that are let out
//	await answers      the store does
func (r *outRun) bad(w []string) error {
	arg := append(slices.Clone(w[1:]), "", "")
	switch w[0] {
	case "group":
	case "shift":
		return r.shift()
	case "freeze":
		r.freeze()
	case "bounce":
		var all sync.WaitGroup
		for _, name := range w[1:] {
			d := r.Daemon(name)
			if d == nil {
				return fmt.Errorf("no daemon %q", name)
			}
			all.Go(d.Kill)
		}
		all.Wait()
		return r.all()
	case "hush":
		r.hush(arg[0], arg[1])
	case "crawl":
		ms, err := strconv.Atoi(arg[0])
		if err != nil {
			return err
		}
		late := Mode{Kind: Late, Delay: time.Duration(ms) * time.Millisecond}
		for _, l := range r.links {
			l.Set(late, late)
		}
	case "clock":
		if _, err := strconv.Atoi(arg[1]); err != nil {
			return err
		}
		for _, d := range r.Daemons {
			if arg[0] == d.Name || arg[0] == "all" {
				if err := os.WriteFile(r.clock(d), []byte(arg[1]+"\n"), 0o600); err != nil {
					return err
				}
			}
		}
	default:
		return fmt.Errorf("%q is no step", w[0])
	}
	return nil
}

// clock is the file that has a daemon's wall clock wrong.
func (f *Fleet) clock(d *Daemon) string { return filepath.Join(f.o.Dir, d.Name+".clock") }

// leads is the site where the store's leader is; that of the first daemon while none is found.
func (r *outRun) leads() string {
	var lead *Daemon
	until(r.ctx, within, func() bool { lead = r.Leader(r.ctx); return lead != nil })
	if lead == nil {
		lead = r.Daemons[0]
	}
	return r.siteOf(outage.ID(outage.Router, lead.Name))
}

// named is a site, by its name or as the one that was lost last.
func (r *outRun) named(site string) string {
	if site == "lost" {
		return r.away
	}
	return site
}

// shift has the store's leader stand still until another leads.
func (r *outRun) shift() error {
	was := r.Leader(r.ctx)
	if was == nil {
		return nil // it moves just now
	}
	was.Stop()
	defer was.Continue()
	if !until(r.ctx, within, func() bool { now := r.Leader(r.ctx); return now != nil && now != was }) {
		return &NotSeenError{"another leader than " + was.Name, ""}
	}
	return nil
}

// freeze stops most of the store's members, its leader among them.
func (r *outRun) freeze() {
	members := r.Daemons[:r.o.Members]
	first := max(slices.Index(members, r.Leader(r.ctx)), 0)
	for i := range len(members)/2 + 1 {
		members[(first+i)%len(members)].Stop()
	}
}

// hush has nothing come to the routers of a site that the routers and servers of another send; the other way all passes.
func (r *outRun) hush(from, to string) {
	for i, d := range r.Daemons {
		if r.o.site(i, len(r.Daemons)) != to {
			continue
		}
		for j, e := range r.Daemons {
			if r.o.site(j, len(r.Daemons)) == from {
				r.Between(e.Name, d.Name, Mode{Kind: Silent}, Mode{})
			}
		}
		for j := range r.servers {
			if r.o.site(j, len(r.servers)) == from {
				r.back[[2]string{d.Name, serverName(j)}].Set(Mode{}, Mode{Kind: Silent})
			}
		}
	}
}

// ofRouters tells whether something awaited is seen at the routers and the store, whatever a run's schedule is about.
func (r *outRun) ofRouters(what string) bool {
	return what == "able" || what == "answers" || what == "dark" || what == "light"
}

// able waits until every router that is not let out takes requests.
func (r *outRun) able() error {
	var not string
	if !until(r.ctx, within, func() bool {
		s := r.State(r.ctx)
		for _, d := range r.Daemons {
			if s != nil {
				if _, out := s.Permits[outage.ID(outage.Router, d.Name)]; out {
					continue
				}
			}
			if !d.Healthy(r.ctx) {
				not = d.Name
				return false
			}
		}
		return s != nil
	}) {
		return &NotSeenError{What: "able; the last that was not: " + not}
	}
	return nil
}
